/// Encoding and decoding of session tokens. A token is the URL-safe base64 of
/// "ACCOUNT LF (GROUP SP TERM SP INDEX LF)*" followed by its HMAC-SHA-256.
#include <bronzespar/session_token.hpp>

#include <bronzespar/base64.hpp>

#include <boost/leaf/error.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace bronzespar {

namespace {

constexpr std::size_t MacBytes = 32;
constexpr std::size_t MaxTokenLength = 8192; // characters

using mac = std::array<unsigned char, MacBytes>;

mac computeMac(std::string_view Text, std::string_view TokenKey) {
  mac Digest{};
  unsigned Written = 0;
  HMAC(EVP_sha256(), TokenKey.data(), static_cast<int>(TokenKey.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
       Digest.data(), &Written);
  return Digest;
}

std::string toBase64Url(std::string_view Bytes) {
  std::string Text = encodeBase64(Bytes);
  std::replace(Text.begin(), Text.end(), '+', '-');
  std::replace(Text.begin(), Text.end(), '/', '_');
  Text.erase(Text.find_last_not_of('=') + 1);
  return Text;
}

std::optional<std::string> fromBase64Url(std::string_view Text) {
  std::string Padded(Text);
  std::replace(Padded.begin(), Padded.end(), '-', '+');
  std::replace(Padded.begin(), Padded.end(), '_', '/');
  Padded.append((4 - Padded.size() % 4) % 4, '=');
  return decodeBase64(Padded);
}

std::string serialize(const session_state &Session) {
  std::string Text = Session.Account.Value + '\n';
  for (const session_position &Entry : Session.Positions) {
    Text += Entry.Group.Value + ' ' + std::to_string(Entry.Position.Term) +
            ' ' + std::to_string(Entry.Position.Index) + '\n';
  }
  return Text;
}

std::string_view splitAt(std::string_view &Text, char Separator) {
  const std::size_t Length = std::min(Text.find(Separator), Text.size());
  const std::string_view Part = Text.substr(0, Length);
  Text.remove_prefix(std::min(Length + 1, Text.size()));
  return Part;
}

std::optional<std::uint64_t> toNumber(std::string_view Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End)
    return std::nullopt;
  return Number;
}

std::optional<session_state> deserialize(std::string_view Text) {
  session_state Session;
  Session.Account = account_id(std::string(splitAt(Text, '\n')));
  while (!Text.empty()) {
    std::string_view Line = splitAt(Text, '\n');
    const group_id Group{std::string(splitAt(Line, ' '))};
    const auto Term = toNumber(splitAt(Line, ' '));
    const auto Index = toNumber(Line);
    if (Group.empty() || !Term || !Index)
      return std::nullopt;
    raiseSessionPosition(Session, Group, {*Term, *Index});
  }
  return Session;
}

auto fault(token_fault_kind Kind) {
  return boost::leaf::new_error(token_fault{Kind});
}

} // namespace

log_position sessionPositionOf(const session_state &Session,
                               const group_id &Group) {
  for (const session_position &Entry : Session.Positions) {
    if (Entry.Group == Group)
      return Entry.Position;
  }
  return {};
}

void raiseSessionPosition(session_state &Session, const group_id &Group,
                          log_position Position) {
  const auto Found = std::lower_bound(
      Session.Positions.begin(), Session.Positions.end(), Group,
      [](const session_position &Candidate, const group_id &Wanted) {
        return Candidate.Group < Wanted;
      });
  if (Found == Session.Positions.end() || Found->Group != Group) {
    Session.Positions.insert(Found, {Group, Position});
    return;
  }
  Found->Position = std::max(Found->Position, Position);
}

std::string encodeToken(const session_state &Session,
                        std::string_view TokenKey) {
  std::string Text = serialize(Session);
  const mac Mac = computeMac(Text, TokenKey);
  Text.append(reinterpret_cast<const char *>(Mac.data()), Mac.size());
  return toBase64Url(Text);
}

boost::leaf::result<session_state> decodeToken(std::string_view Token,
                                               const account_id &Account,
                                               std::string_view TokenKey) {
  if (Token.size() > MaxTokenLength)
    return fault(token_fault_kind::Malformed);
  const auto Bytes = fromBase64Url(Token);
  if (!Bytes || Bytes->size() < MacBytes)
    return fault(token_fault_kind::Malformed);
  const std::string_view Decoded = *Bytes;
  const std::string_view Text = Decoded.substr(0, Decoded.size() - MacBytes);
  const mac Expected = computeMac(Text, TokenKey);
  if (CRYPTO_memcmp(Expected.data(), Decoded.data() + Text.size(), MacBytes) !=
      0)
    return fault(token_fault_kind::WrongAuthentication);
  auto Session = deserialize(Text);
  if (!Session)
    return fault(token_fault_kind::Malformed);
  if (Session->Account != Account)
    return fault(token_fault_kind::OtherAccount);
  return std::move(*Session);
}

} // namespace bronzespar

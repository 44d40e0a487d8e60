/// Checks of callers' keys. Only digests are kept and compared; the table is
/// looked up by digest, so no time depends on a stored key's characters.
#include <bronzespar/key_table.hpp>

#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace bronzespar {

namespace {

constexpr std::size_t DigestBytes = 32;

std::string toHex(const std::array<unsigned char, DigestBytes> &Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(DigestBytes * 2);
  for (const unsigned char Byte : Bytes) {
    Text += Digits[Byte >> 4U];
    Text += Digits[Byte & 15U];
  }
  return Text;
}

bool isWithdrawnEarly(const key_table &Table, const key_id &Key) {
  return std::find(Table.WithdrawnEarly.begin(), Table.WithdrawnEarly.end(),
                   Key) != Table.WithdrawnEarly.end();
}

} // namespace

std::string digestKey(const secret &Key) {
  std::array<unsigned char, DigestBytes> Bytes{};
  const std::string_view Text = Key.reveal();
  unsigned Written = 0;
  EVP_Digest(Text.data(), Text.size(), Bytes.data(), &Written, EVP_sha256(),
             nullptr);
  return toHex(Bytes);
}

void configureKeys(key_table &Table, const fleet_settings &Fleet) {
  Table.ByDigest.clear();
  for (const key_settings &Key : Fleet.Keys)
    Table.ByDigest.insert_or_assign(Key.Digest, Key);
  std::erase_if(Table.WithdrawnEarly, [&Fleet](const key_id &Withdrawn) {
    const auto Found = std::find_if(
        Fleet.Keys.begin(), Fleet.Keys.end(),
        [&](const key_settings &Key) { return Key.Id == Withdrawn; });
    return Found == Fleet.Keys.end() || Found->Withdrawn;
  });
}

void withdrawKey(key_table &Table, const key_id &Key) {
  if (!isWithdrawnEarly(Table, Key))
    Table.WithdrawnEarly.push_back(Key);
}

std::optional<account_id> accountOfKey(const key_table &Table,
                                       const secret &Key) {
  const auto Found = Table.ByDigest.find(digestKey(Key));
  if (Found == Table.ByDigest.end() || Found->second.Withdrawn)
    return std::nullopt;
  if (isWithdrawnEarly(Table, Found->second.Id))
    return std::nullopt;
  return Found->second.Account;
}

} // namespace bronzespar

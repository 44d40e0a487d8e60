/// Base64 by OpenSSL.
#include <bronzespar/base64.hpp>

#include <openssl/evp.h>

namespace bronzespar {

namespace {

constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupDigits = 4;

const unsigned char *bytes(std::string_view Text) noexcept {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

std::string encodeBase64(std::string_view Bytes) {
  const std::size_t Groups = (Bytes.size() + GroupBytes - 1) / GroupBytes;
  std::string Text(Groups * GroupDigits + 1, '\0'); // room for the final zero
  const int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      bytes(Bytes), static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  if (Text.empty())
    return std::string();
  if (Text.size() % GroupDigits != 0)
    return std::nullopt;
  std::string Bytes(Text.size() / GroupDigits * GroupBytes, '\0');
  const int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      bytes(Text), static_cast<int>(Text.size()));
  if (Length < 0)
    return std::nullopt;
  const std::size_t Padding =
      Text.ends_with("==") ? 2 : (Text.ends_with('=') ? 1 : 0);
  Bytes.resize(static_cast<std::size_t>(Length) - Padding);
  if (encodeBase64(Bytes) != Text)
    return std::nullopt;
  return Bytes;
}

} // namespace bronzespar

/// Frames between hosts: length, authentication code and payload.
#include <bronzespar/wire/peer_codec.hpp>

#include "peer_body.hpp"

#include <boost/leaf/error.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace bronzespar {

namespace {

using digest = std::array<unsigned char, DigestBytes>;

digest authenticate(std::string_view PeerKey, std::string_view Nonce,
                    std::string_view Payload) {
  std::string Signed;
  Signed.reserve(Nonce.size() + Payload.size());
  Signed += Nonce;
  Signed += Payload;
  digest Code{};
  unsigned int Length = 0;
  HMAC(EVP_sha256(), PeerKey.data(), static_cast<int>(PeerKey.size()),
       reinterpret_cast<const unsigned char *>(Signed.data()), Signed.size(),
       Code.data(), &Length);
  return Code;
}

auto fault(wire_fault_kind Kind, const char *Reason) {
  return boost::leaf::new_error(wire_fault{Kind, Reason});
}

} // namespace

std::string encodeFrame(const peer_frame &Frame, std::string_view PeerKey,
                        std::string_view Nonce) {
  const std::string Payload = impl::encodePayload(Frame);
  const digest Code = authenticate(PeerKey, Nonce, Payload);
  const std::size_t Length = DigestBytes + Payload.size();
  std::string Bytes;
  Bytes.reserve(LengthBytes + Length);
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Bytes += static_cast<char>((Length >> static_cast<unsigned>(Shift)) & 0xFF);
  Bytes.append(reinterpret_cast<const char *>(Code.data()), Code.size());
  return Bytes += Payload;
}

boost::leaf::result<std::size_t> decodeFrameLength(std::string_view Start) {
  if (Start.size() != LengthBytes)
    return fault(wire_fault_kind::Malformed, "the length is cut short");
  std::size_t Length = 0;
  for (const char Byte : Start)
    Length = (Length << 8U) | static_cast<unsigned char>(Byte);
  if (Length > MaxFrameBytes)
    return fault(wire_fault_kind::TooLarge, "the frame is too long");
  if (Length <= DigestBytes)
    return fault(wire_fault_kind::Malformed, "the frame is too short");
  return Length;
}

boost::leaf::result<peer_frame> decodeFrame(std::string_view Rest,
                                            std::string_view PeerKey,
                                            std::string_view Nonce) {
  if (Rest.size() <= DigestBytes)
    return fault(wire_fault_kind::Malformed, "the frame is too short");
  const std::string_view Payload = Rest.substr(DigestBytes);
  const digest Code = authenticate(PeerKey, Nonce, Payload);
  if (CRYPTO_memcmp(Code.data(), Rest.data(), DigestBytes) != 0)
    return fault(wire_fault_kind::WrongAuthentication,
                 "the frame's authentication code does not fit");
  return impl::decodePayload(Payload);
}

} // namespace bronzespar

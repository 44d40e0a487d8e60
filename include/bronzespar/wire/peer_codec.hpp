/// Codec of frames between hosts: FlatBuffers, authenticated by HMAC-SHA-256.
///
/// The acceptor of a connection sends NonceBytes random bytes. Every frame of
/// the dialler is authenticated over that nonce and its own payload, which
/// holds a sequence number, so no frame can be replayed, dropped or reordered
/// on this connection or any other.
#pragma once

#include <bronzespar/peer_messages.hpp>
#include <bronzespar/wire/wire_fault.hpp>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace bronzespar {

/// \brief First frame on a link: who dials, and whom it means to reach.
struct peer_hello {
  host_id Host;
  data_centre_id DataCentre;
  std::uint64_t Incarnation = 0;
  host_id Recipient;
};

using peer_body = std::variant<peer_hello, peer_message>;

struct peer_frame {
  std::uint64_t Sequence = 0; ///< From 0, one more for each frame of a link.
  peer_body Body;
};

inline constexpr std::size_t NonceBytes = 32;
inline constexpr std::size_t LengthBytes = 4;
inline constexpr std::size_t DigestBytes = 32;
/// Settings are up to a megabyte; no frame is longer than this.
inline constexpr std::size_t MaxFrameBytes = 2U << 20U;

/// \brief Writes a whole frame, its length first.
[[nodiscard]] std::string encodeFrame(const peer_frame &Frame,
                                      std::string_view PeerKey,
                                      std::string_view Nonce);

/// \brief Reads the length that a frame starts with.
/// \param Start The first LengthBytes bytes.
/// \returns Bytes that follow, or an error carrying wire_fault.
[[nodiscard]] boost::leaf::result<std::size_t>
decodeFrameLength(std::string_view Start);

/// \brief Checks and reads what follows the length.
/// \param Rest Digest and payload; aligned to 16 bytes.
[[nodiscard]] boost::leaf::result<peer_frame>
decodeFrame(std::string_view Rest, std::string_view PeerKey,
            std::string_view Nonce);

} // namespace bronzespar

/// FlatBuffers payload of frames between hosts.
#pragma once

#include <bronzespar/wire/peer_codec.hpp>

namespace bronzespar::impl {

[[nodiscard]] std::string encodePayload(const peer_frame &Frame);

/// \brief Verifies and reads a payload.
/// \returns The frame, or an error carrying wire_fault.
[[nodiscard]] boost::leaf::result<peer_frame>
decodePayload(std::string_view Payload);

} // namespace bronzespar::impl

/// Codec of the FlatBuffers frames between session hosts.
#pragma once

#include <bronzespar/proxy/interface.hpp>

#include <session_peer_generated.h>

#include <cstdint>
#include <optional>
#include <string>

namespace bronzespar::serve {

namespace wire = session_wire;

/// What hosts leave to each other when they forward statements, such as which
/// of them decides the position that a read requires. It is raised when that
/// changes, as processes of two versions run side by side during an update.
constexpr std::uint16_t ForwardProtocol = 0;

/// \brief Encodes a frame.
/// \param Body Builds the frame's body with the builder that it is given.
template <class Build>
[[nodiscard]] std::string encodeFrame(wire::SessionBody Kind, Build Body) {
  flatbuffers::FlatBufferBuilder Builder;
  const auto Offset = Body(Builder).Union();
  Builder.Finish(wire::CreateSessionFrame(Builder, Kind, Offset));
  return {reinterpret_cast<const char *>(Builder.GetBufferPointer()),
          Builder.GetSize()};
}

/// \brief Text of a field, empty if the frame lacks it.
[[nodiscard]] inline std::string textOf(const flatbuffers::String *Text) {
  return Text == nullptr ? std::string() : Text->str();
}

[[nodiscard]] std::string encodeForward(const proxy::effects::forward &Effect);
[[nodiscard]] std::string encodeVoteRequest(const proxy::vote_request &Request);
[[nodiscard]] std::string encodeVote(const proxy::vote &Vote);
[[nodiscard]] std::string encodePosition(const proxy::shared_position &Shared);
[[nodiscard]] std::string
encodeAnswer(const proxy::effects::answer_forward &Effect);

/// \returns Nothing when a number stands for no known value.
[[nodiscard]] std::optional<proxy::forwarded_statement>
decodeForward(const wire::ForwardAsk &Ask);
[[nodiscard]] proxy::vote_request decodeVoteRequest(const wire::VouchAsk &Wire);
[[nodiscard]] proxy::vote decodeVote(const wire::VouchAnswer &Wire);
/// \returns Nothing when the position is missing.
[[nodiscard]] std::optional<proxy::shared_position>
decodePosition(const wire::PositionAnswer &Wire);
/// \returns Nothing when a number stands for no known value.
[[nodiscard]] std::optional<proxy::answer>
decodeAnswer(const wire::ForwardAnswer &Wire);

} // namespace bronzespar::serve

/// Connections that send without reading.
#pragma once

#include "sockets.hpp"

#include <vector>

namespace bronzespar::crowds {

/// \brief A connection of a crowd, and how much of its text is sent.
struct crowd_member {
  descriptor Socket;
  std::size_t Sent = 0;
  bool Ended = false; ///< The host has closed it.
};

using crowd = std::vector<crowd_member>;

/// \brief Opens connections; those that are refused are missing.
[[nodiscard]] crowd gather(std::size_t Count, std::uint16_t Port);

/// \brief Sends a text on all connections by turns, in pieces, until it is sent
/// or the host takes no more, and reads nothing.
/// \param PieceBytes At most so many bytes in a turn.
void pushText(crowd &Crowd, std::string_view Text, std::size_t PieceBytes);

} // namespace bronzespar::crowds

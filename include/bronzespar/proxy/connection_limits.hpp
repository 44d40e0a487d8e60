/// Shares of a process's file descriptors, and which client's connection makes
/// room for a new one. Answers the load of clients that open connections and do
/// nothing on them (docs/design/unruly-clients.md).
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bronzespar::proxy {

/// \brief Connections that clients may have open.
struct connection_limits {
  std::size_t Callers = 0;
  std::size_t UnprovenPeers = 0; ///< Accepted, without a valid frame so far.
  std::size_t Monitors = 0;      ///< Of each of the two HTTP ports.
};

/// \param MaxDescriptors Of the process.
[[nodiscard]] connection_limits
makeConnectionLimits(std::size_t MaxDescriptors);

/// \brief How little is lost when a connection is closed; the first is closed
/// first.
enum class connection_use { Unstarted, Idle, InTransaction, Busy };

/// \brief A connection that may make room.
struct connection_candidate {
  std::uint64_t Number = 0;
  connection_use Use = connection_use::Unstarted;
  std::uint64_t LastActivity = 0; ///< Order of the last message; 0: none.
};

/// \brief Chooses connections that make room: those whose end costs least, and
/// of them the longest without a message. Busy ones stay.
/// \returns At most Count numbers.
[[nodiscard]] std::vector<std::uint64_t>
chooseEvicted(std::vector<connection_candidate> Candidates, std::size_t Count);

} // namespace bronzespar::proxy

/// Silence of a connection to another host. A device on the way may have lost
/// track of a connection, so that nothing arrives any more while new
/// connections work. A connection on which a request waits too long is checked
/// over a new one. If the host answers there, and still nothing arrives on the
/// old one, only the connection is lost and the new one replaces it at once;
/// without an answer, the host itself may be lost.
#pragma once

#include <bronzespar/instant.hpp>

#include <cstdint>
#include <optional>

namespace bronzespar::proxy {

/// \brief What is known of one connection's silence.
/// Invariant: CheckNumber is 0 unless a check is under way.
struct link_watch {
  std::uint64_t KnownBytes = 0; ///< Received when the watch last looked.
  /// Sending of the first request since KnownBytes arrived; empty: none waits.
  std::optional<instant> WaitingSince;
  std::uint64_t CheckNumber = 0;  ///< Of the check under way, or 0.
  instant CheckedAt{};            ///< When the latest check began.
  std::uint64_t BytesAtCheck = 0; ///< Received when it began.
};

/// \brief Notes a request that the other host answers, or reports on, without
/// waiting for anything else.
/// \param ReceivedBytes Bytes that have arrived on the connection so far.
void noteRequest(link_watch &Watch, std::uint64_t ReceivedBytes, instant Now);

/// \brief Whether a check may begin now: the one before it has ended.
[[nodiscard]] bool mayCheck(const link_watch &Watch, instant Now) noexcept;

/// \brief Whether the connection has been silent for so long that it should be
/// checked now.
[[nodiscard]] bool needsCheck(link_watch &Watch, std::uint64_t ReceivedBytes,
                              instant Now);

/// \brief Notes that a check was sent over another connection.
void beginCheck(link_watch &Watch, std::uint64_t ReceivedBytes,
                std::uint64_t Number, instant Now);

/// \brief Whether the check that was answered shows that the connection is
/// lost: nothing has arrived on it since the check was sent. Ends the check.
[[nodiscard]] bool isShownLost(link_watch &Watch, std::uint64_t ReceivedBytes,
                               std::uint64_t AnsweredNumber);

/// \brief Whether a check has waited for its answer for too long.
[[nodiscard]] bool isCheckOverdue(const link_watch &Watch,
                                  instant Now) noexcept;

} // namespace bronzespar::proxy

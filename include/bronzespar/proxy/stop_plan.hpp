/// Points in time of a planned stop.
///
/// Work goes on arriving until the process has ended: the load balancer sends
/// connections to hosts that are not ready while too few others are, open
/// sessions send their next statement, and hosts with an old list forward
/// theirs. A moment without work may never come, so the stop follows these
/// times, and what the host takes is limited to what it can still answer.
#pragma once

#include <bronzespar/instant.hpp>

namespace bronzespar::proxy {

/// The load balancer removes a host after two failed readiness checks, which
/// takes this long.
inline constexpr duration BalancerRemovalTime = std::chrono::milliseconds(2300);

/// \brief When the parts of a planned stop begin.
/// Invariant: no member is earlier than the one before it.
struct stop_plan {
  instant CloseIdleFrom{};   ///< Idle sessions are closed.
  instant TransactionsEnd{}; ///< Open transactions end, and none begins.
  instant AnswerBy{};        ///< Every statement has been answered.
  instant EndBy{};           ///< The process ends.
};

/// \param RequestedAt When the request to stop arrived.
/// \param GracePeriod The process is killed this long after the request.
[[nodiscard]] stop_plan planStop(instant RequestedAt,
                                 duration GracePeriod) noexcept;

/// \brief Whether a statement that is sent to a target now will be answered
/// before the host stops.
/// \param UsualTime Time that statements usually take at the target.
/// \param MaxTime Time limit of the statement's route.
/// \remarks Always true in the part of the grace period that transactions have:
/// the rest of it is enough, unless the target does not answer at all.
[[nodiscard]] bool isAnsweredInTime(const stop_plan &Plan, duration UsualTime,
                                    duration MaxTime, instant Now) noexcept;

} // namespace bronzespar::proxy

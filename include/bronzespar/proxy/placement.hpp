/// Choice of the target and connection for a waiting statement. A target may be
/// slow, remote, overloaded or behind while others have capacity, so the option
/// with the lowest expected latency is chosen, including the cost of a new
/// connection.
#pragma once

#include <bronzespar/instant.hpp>

#include <cstdint>
#include <optional>
#include <span>

namespace bronzespar::proxy {

/// \brief A target that may run a statement, as seen by one host.
struct placement_option {
  std::size_t Target = 0; ///< Index in the caller's list of candidates.
  double LatencyMs = 0;   ///< Smoothed latency of statements there.
  unsigned Running = 0;   ///< Statements of this host in progress there.
  /// Charge for a target in another data centre, see crossingCostMs.
  double CrossingCostMs = 0;
  bool RecentlyRefused = false; ///< It refused a statement a moment ago.
  /// The primary, for a read that a replica can serve.
  bool AvoidablePrimary = false;
  std::uint64_t Connection = 0; ///< An idle connection; 0: none.
  bool CanDial = false;
  bool IsForwarded = false; ///< Another host owns its connections.
};

/// \brief Decision for a waiting statement.
struct placement {
  std::size_t Target = 0;
  std::uint64_t Connection = 0; ///< 0: dial, then place the statement again.
  bool IsForwarded = false;     ///< Sent to the connection owner.
};

/// \brief Charge for traffic to another data centre, as a latency. It grows
/// with the latency that the route's callers accept, so that a target at home
/// serves a statement as long as it does so well within the goal. \param
/// LatencyGoal Of the route.
[[nodiscard]] double crossingCostMs(duration LatencyGoal) noexcept;

/// \brief Expected milliseconds until an answer, or nothing when the option has
/// no connection and none can be dialled.
[[nodiscard]] std::optional<double>
expectedLatencyMs(const placement_option &Option) noexcept;

/// \brief Chooses the option with the lowest expected latency.
[[nodiscard]] std::optional<placement>
choosePlacement(std::span<const placement_option> Options) noexcept;

} // namespace bronzespar::proxy

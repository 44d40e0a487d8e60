/// Where a waiting statement goes. Answers the loads in which a target is slow,
/// far, full or behind while others have room: the place with the least
/// expected time is taken, a new connection's cost included.
#pragma once

#include <bronzespar/instant.hpp>

#include <cstdint>
#include <optional>
#include <span>

namespace bronzespar::proxy {

/// \brief A target that may run a statement, as one host sees it.
struct placement_option {
  std::size_t Target = 0; ///< Index of the caller's choosing.
  double LatencyMs = 0;   ///< Of a statement there, smoothed.
  unsigned Running = 0;   ///< Statements under way from this host.
  bool SameDataCentre = true;
  bool RecentlyRefused = false; ///< Refused for lack of room a moment ago.
  bool AvoidablePrimary =
      false; ///< The primary, for a read that a replica may do.
  std::uint64_t Connection = 0; ///< An idle connection; 0: none.
  bool CanDial = false;
  bool IsForwarded = false; ///< Another host owns its connections.
};

/// \brief What to do with a waiting statement.
struct placement {
  std::size_t Target = 0;
  std::uint64_t Connection = 0; ///< 0: dial, then place again.
  bool IsForwarded = false;     ///< Sent to the owner.
};

/// \brief Expected milliseconds until the option's answer, or nothing when the
/// option can be used neither now nor after a dial.
[[nodiscard]] std::optional<double>
expectedLatencyMs(const placement_option &Option) noexcept;

/// \brief Chooses the option with the least expected time.
[[nodiscard]] std::optional<placement>
choosePlacement(std::span<const placement_option> Options) noexcept;

} // namespace bronzespar::proxy

/// Runs of simulated fleets with callers under random disturbances. The
/// environment chooses other seeds for longer runs by hand:
/// BRONZESPAR_FIRST_SEED, BRONZESPAR_SEEDS, and BRONZESPAR_TRACE for the log
/// lines before the first violation.
#pragma once

#include "simulated_reads.hpp"

namespace session_test {

struct run_plan {
  unsigned FirstSeed = 1;
  unsigned Seeds = 1;
  bool Owned = false; ///< Targets have connection owners.
  duration LeastPromotionTime = 200ms;
  duration MostPromotionTime = 1s;
  /// Called as the disturbances begin.
  std::function<void(simulated_reads &)> Prepare;
  /// Called each second, after the disturbances that all runs have.
  std::function<void(simulated_reads &)> Disturb;
  /// Called after the disturbances.
  std::function<void(simulated_reads &)> Finish;
  std::uint64_t StoreEra = 0; ///< Of the store in the beginning; 0: none.
};

struct run_totals {
  std::size_t Orders = 0;
  std::size_t UnansweredOrders = 0;
  std::size_t Promotions = 0;
  std::size_t Cuts = 0;
  std::size_t Restores = 0;
  std::size_t Reads = 0;
  std::size_t ReplicaReads = 0;
  std::size_t Commits = 0;
};

/// \brief Runs a fleet for each seed and checks that no rule was broken.
[[nodiscard]] run_totals runFleets(const run_plan &Plan);

/// \brief A number from the environment, for longer runs by hand.
[[nodiscard]] unsigned environmentNumber(const char *Name, unsigned Otherwise);
/// \brief Replaces all hosts by new processes, which know nothing of what was
/// before.
void replaceHosts(simulated_reads &Reads);
/// \brief The same within the next second, at some of the calls.
void replaceHostsAtRandom(simulated_reads &Reads);
/// \brief Draws the name of a host.
[[nodiscard]] std::string drawHost(simulated_fleet &Fleet);
/// \brief Draws the id of a target.
[[nodiscard]] std::string drawTarget(simulated_fleet &Fleet);

} // namespace session_test

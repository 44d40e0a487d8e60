/// Simulation in virtual time of three hosts in three data centres and one
/// group of three members. It runs the real promotion code against the stand-in
/// target's log.
#pragma once

#include <bronzespar/failover.hpp>
#include <bronzespar/standin/member_log.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace bronzespar::test {

/// \brief Number of sites; each is a data centre with one host and one member.
inline constexpr std::size_t Sites = 3;

/// \brief Faults and planned events that the simulation can inject.
enum class fault_kind {
  PrimaryCut,    ///< Its messages are lost, but connections stay open.
  PrimaryFrozen, ///< The primary pauses and handles messages after resuming.
  PrimaryLeaves, ///< Planned handover; no failure.
  ChosenCut,     ///< As PrimaryCut, for the member being promoted or a replica.
  CoordinatorPaused,
  CoordinatorKilled, ///< Restarts with a later incarnation and without state.
  PlatformDown,
  PlatformSlow,
  PlatformAnswersLost,
  SecondCoordinator,
  CoordinatorCutOff,    ///< Its data centre, with the member, is isolated.
  ControlAnswersLost,   ///< Commands take effect, but their answers are lost.
  FormerPrimaryReturns, ///< Ends the first fault early.
  ReplicationCut        ///< Messages between members are lost.
};
BOOST_DESCRIBE_ENUM(fault_kind, PrimaryCut, PrimaryFrozen, PrimaryLeaves,
                    ChosenCut, CoordinatorPaused, CoordinatorKilled,
                    PlatformDown, PlatformSlow, PlatformAnswersLost,
                    SecondCoordinator, CoordinatorCutOff, ControlAnswersLost,
                    FormerPrimaryReturns, ReplicationCut)

/// \brief A fault that begins when a host first enters a step of the promotion
/// after the first fault.
struct planned_fault {
  fault_kind Kind = fault_kind::PrimaryCut;
  promotion_step AtStep = promotion_step::Watching;
};

struct simulation_plan {
  std::uint64_t Seed = 1;
  fault_kind FirstFault = fault_kind::PrimaryCut; ///< Begins at FirstFaultAt.
  std::vector<planned_fault> LaterFaults;
};

/// \brief Result of a run.
struct simulation_result {
  std::vector<std::string> Violations;
  /// Longest time until an acknowledged write, measured from the previous one
  /// or from the latest change of the faults.
  duration LongestGap{};
  /// Time from the first fault to the next acknowledged write.
  duration GapAfterFirstFault{};
  std::size_t Acknowledged = 0;
  std::size_t Promotions = 0;
  std::size_t FaultsBegun = 0;
};

/// \brief Runs a plan, from a healthy group until all faults are over.
[[nodiscard]] simulation_result simulate(const simulation_plan &Plan,
                                         const promotion_chart &Chart);

} // namespace bronzespar::test

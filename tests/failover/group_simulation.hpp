/// Three hosts in three data centres before one group of three members, on
/// virtual time: the promotion code against the stand-in target's log.
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

inline constexpr std::size_t Sites = 3; ///< Each has a host and a member.

/// \brief What goes wrong.
enum class fault_kind {
  PrimaryCut,    ///< Neither receives nor sends; open connections stay silent.
  PrimaryFrozen, ///< Does nothing; what arrives is handled on resuming.
  PrimaryLeaves, ///< Planned; no failure.
  ChosenCut,     ///< The member being promoted, or a replica.
  CoordinatorPaused,
  CoordinatorKilled, ///< Restarts with a later incarnation and no memory.
  PlatformDown,
  PlatformSlow,
  PlatformAnswersLost,
  SecondCoordinator,
  CoordinatorCutOff,    ///< Its data centre, with the member there.
  ControlAnswersLost,   ///< Commands take effect unanswered.
  FormerPrimaryReturns, ///< Heals the first fault.
  ReplicationCut        ///< Between members only.
};
BOOST_DESCRIBE_ENUM(fault_kind, PrimaryCut, PrimaryFrozen, PrimaryLeaves,
                    ChosenCut, CoordinatorPaused, CoordinatorKilled,
                    PlatformDown, PlatformSlow, PlatformAnswersLost,
                    SecondCoordinator, CoordinatorCutOff, ControlAnswersLost,
                    FormerPrimaryReturns, ReplicationCut)

/// \brief A fault that begins when any host enters a step of the promotion
/// that the first fault causes.
struct planned_fault {
  fault_kind Kind = fault_kind::PrimaryCut;
  promotion_step AtStep = promotion_step::Watching;
};

struct simulation_plan {
  std::uint64_t Seed = 1;
  fault_kind FirstFault = fault_kind::PrimaryCut; ///< At FirstFaultAt.
  std::vector<planned_fault> LaterFaults;
};

/// \brief What a run showed.
struct simulation_result {
  std::vector<std::string> Violations;
  duration LongestGap{}; ///< Without acknowledgement, once it was possible.
  duration GapAfterFirstFault{}; ///< After the first fault.
  std::size_t Acknowledged = 0;
  std::size_t Promotions = 0;
  std::size_t FaultsBegun = 0;
};

/// \brief Runs a plan from a healthy group until all faults are over.
[[nodiscard]] simulation_result simulate(const simulation_plan &Plan,
                                         const promotion_chart &Chart);

} // namespace bronzespar::test

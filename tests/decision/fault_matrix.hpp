/// Fault matrix: each fault, at each state of the charts, singly and in pairs.
#pragma once

#include "callers.hpp"

#include <boost/describe/enum.hpp>

namespace bronzespar::test {

/// Faults that the fleet has to bear, as they can be put on the fake fleet.
enum class fault {
  ConnectionLost,   ///< All connections to the target close.
  ConnectionSilent, ///< Open connections to the target go silent for good.
  AnswerLate,
  AnswerOfAnother, ///< Wrong id.
  AnswerTwice,
  AnswerLostAfterRun,
  AnswerLostBeforeRun,
  MemberCut,
  MemberFrozen,
  PrimaryCut,
  PrimaryFrozen,
  ReplicaLags,
  OwnerDies,
  EntryDies,
  OwnerPaused,
  EntryPaused,
  PeersCut,
  DataCentreCut,
  PlatformDown,
  PlatformAnswerLost,
  KeyWithdrawn,
  HostLeaves,
  TargetLeaves
};
BOOST_DESCRIBE_ENUM(fault, ConnectionLost, ConnectionSilent, AnswerLate,
                    AnswerOfAnother, AnswerTwice, AnswerLostAfterRun,
                    AnswerLostBeforeRun, MemberCut, MemberFrozen, PrimaryCut,
                    PrimaryFrozen, ReplicaLags, OwnerDies, EntryDies,
                    OwnerPaused, EntryPaused, PeersCut, DataCentreCut,
                    PlatformDown, PlatformAnswerLost, KeyWithdrawn, HostLeaves,
                    TargetLeaves)

/// States at which a fault is put in: those that outlive one step.
enum class injection_point {
  RequestCatchingUp,
  RequestAwaitingPrimary,
  RequestBackingOff,
  RequestAtOwner,
  RunQueued,
  RunConnecting,
  RunRunning,
  RunConfirming,
  ConnectionDialling,
  ConnectionIdle,
  ConnectionRunning,
  ConnectionPinned
};
BOOST_DESCRIBE_ENUM(injection_point, RequestCatchingUp, RequestAwaitingPrimary,
                    RequestBackingOff, RequestAtOwner, RunQueued, RunConnecting,
                    RunRunning, RunConfirming, ConnectionDialling,
                    ConnectionIdle, ConnectionRunning, ConnectionPinned)

/// What a moment concerns.
struct injection_site {
  host_id Entry;
  host_id Owner;
  target_id Target;
};

/// Looks for something in the state of the moment.
[[nodiscard]] std::optional<injection_site>
findInjectionSite(fake_fleet &Fleet, injection_point Moment);

/// Puts the fault in, and plans its end.
void injectFault(fake_fleet &Fleet, callers &Callers, fault Fault,
                 const injection_site &Place, duration Lasts);

struct case_result {
  bool FaultInjected = false; ///< The moment came, so the fault was put in.
  std::size_t Calls = 0;
  std::size_t Served = 0;
  std::vector<std::string> Violations;
};

/// Runs one case; Second is put in a little after First.
[[nodiscard]] case_result runCase(std::uint64_t Seed, injection_point Moment,
                                  fault First, std::optional<fault> Second);

} // namespace bronzespar::test

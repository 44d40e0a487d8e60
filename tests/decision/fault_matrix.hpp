/// Fault matrix: injects each fault, alone and in pairs, at each long-lived
/// state of requests, runs and connections.
#pragma once

#include "callers.hpp"

#include <boost/describe/enum.hpp>

namespace bronzespar::test {

/// Faults that the fleet must tolerate and that the fake fleet can inject.
enum class fault {
  ConnectionLost,   ///< All connections to the target close.
  ConnectionSilent, ///< Open connections to the target never answer again.
  AnswerLate,
  AnswerOfAnother, ///< An answer has the id of another request.
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

/// States at which a fault is injected: all that last longer than one step of a
/// host.
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

/// Hosts and target of the request, run or connection that is in the state.
struct injection_site {
  host_id Entry;
  host_id Owner;
  target_id Target;
};

/// Finds a request, run or connection that is in the injection point's state.
[[nodiscard]] std::optional<injection_site>
findInjectionSite(fake_fleet &Fleet, injection_point Point);

/// Injects the fault and schedules its end.
void injectFault(fake_fleet &Fleet, callers &Callers, fault Fault,
                 const injection_site &Site, duration Duration);

struct case_result {
  bool FaultInjected = false; ///< The injection point was reached.
  std::size_t Calls = 0;
  std::size_t Served = 0;
  std::vector<std::string> Violations;
};

/// Runs one case. Second is injected shortly after First.
[[nodiscard]] case_result runCase(std::uint64_t Seed, injection_point Point,
                                  fault First, std::optional<fault> Second);

} // namespace bronzespar::test

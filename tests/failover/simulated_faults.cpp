/// Fault injection of the simulated group.
#include "failover/simulation.hpp"

namespace bronzespar::test {

std::size_t simulation::primaryPlace() const {
  const std::string &Latest = PrimaryOfTerm.empty()
                                  ? nameOf(FormerPrimary)
                                  : PrimaryOfTerm.rbegin()->second;
  return placeOf(Latest);
}

std::size_t simulation::coordinatorPlace() const {
  for (std::size_t Host = 0; Host < Places; ++Host) {
    if (!Hosts[Host].Down && !Hosts[Host].Frozen &&
        Hosts[Host].State.Step != promotion_step::Watching)
      return Host;
  }
  return 0;
}

void simulation::pause(process &Process, instant Ends) {
  Process.Frozen = true;
  at(Ends, [this, &Process] {
    if (!std::exchange(Process.Frozen, false))
      return;
    changed();
    const auto Waiting = std::exchange(Process.Waiting, {});
    for (const auto &Run : Waiting)
      Run();
  });
}

void simulation::cutMember(std::size_t Member, instant Ends) {
  Members[Member].Cut = true;
  at(Ends, [this, Member] {
    Members[Member].Cut = false;
    changed();
  });
}

void simulation::killHost(std::size_t Host) {
  Hosts[Host].Down = true;
  ++Hosts[Host].Incarnation;
  forget(Host);
  at(Now + RestartTime, [this, Host] {
    forget(Host);
    Hosts[Host].Down = false;
    changed();
  });
}

void simulation::cutOff(std::size_t Site, instant Ends) {
  CutOff[Site] = true;
  at(Ends, [this, Site] {
    CutOff[Site] = false;
    changed();
  });
}

void simulation::endFirstFault() {
  member_process &Member = Members[FormerPrimary];
  Member.Cut = false;
  Member.Leaving = false;
  changed();
  if (!std::exchange(Member.Frozen, false))
    return;
  const auto Waiting = std::exchange(Member.Waiting, {});
  for (const auto &Run : Waiting)
    Run();
}

/// Faults of the platform are not recorded as changes, because they must not
/// lengthen the time without acknowledged writes.
void simulation::beginFault(fault_kind Kind, instant Ends) {
  ++Result.FaultsBegun;
  const auto SetPlatform = [this, Ends](platform_mode Mode) {
    Platform = Mode;
    at(Ends, [this] { Platform = platform_mode::Healthy; });
  };
  switch (Kind) {
  case fault_kind::PlatformDown:
    return SetPlatform(platform_mode::Down);
  case fault_kind::PlatformSlow:
    return SetPlatform(platform_mode::Slow);
  case fault_kind::PlatformAnswersLost:
    return SetPlatform(platform_mode::AnswersLost);
  default:
    break;
  }
  changed();
  const std::size_t Coordinator = coordinatorPlace();
  switch (Kind) {
  case fault_kind::PrimaryCut:
    return cutMember(primaryPlace(), Ends);
  case fault_kind::PrimaryFrozen:
    return pause(Members[primaryPlace()], Ends);
  case fault_kind::PrimaryLeaves:
    Members[primaryPlace()].Leaving = true;
    return;
  case fault_kind::ChosenCut: {
    const target_id &Chosen = Hosts[Coordinator].State.Chosen;
    return cutMember(Chosen.empty() ? (FormerPrimary + 1) % Places
                                    : placeOf(Chosen.Value),
                     Ends);
  }
  case fault_kind::CoordinatorPaused:
    return pause(Hosts[Coordinator], Ends);
  case fault_kind::CoordinatorKilled:
    return killHost(Coordinator);
  case fault_kind::SecondCoordinator:
    Hosts[(Coordinator + 1) % Places].ForcedCoordinator = true;
    Hosts[(Coordinator + 1) % Places].State.SuspectSince = instant{};
    return;
  case fault_kind::CoordinatorCutOff:
    return cutOff(Coordinator, Ends);
  case fault_kind::ControlAnswersLost:
    ControlAnswersLost = true;
    at(Ends, [this] {
      ControlAnswersLost = false;
      changed();
    });
    return;
  case fault_kind::FormerPrimaryReturns:
    return endFirstFault();
  case fault_kind::ReplicationCut:
    ReplicationDown = true;
    at(Ends, [this] {
      ReplicationDown = false;
      changed();
    });
    return;
  default:
    return;
  }
}

} // namespace bronzespar::test

/// Fault injection of the simulated group.
#include "failover/simulation.hpp"

namespace bronzespar::test {

std::size_t simulation::primarySite() const {
  const std::string &Latest = PrimaryOfTerm.empty()
                                  ? memberNameOf(FormerPrimary)
                                  : PrimaryOfTerm.rbegin()->second;
  return siteOf(Latest);
}

std::size_t simulation::coordinatorSite() const {
  for (std::size_t Host = 0; Host < Sites; ++Host) {
    if (!Hosts[Host].Down && !Hosts[Host].Frozen &&
        Hosts[Host].State.Step != promotion_step::Watching)
      return Host;
  }
  return 0;
}

void simulation::freeze(process &Process, instant Ends) {
  Process.Frozen = true;
  scheduleAt(Ends, [this, &Process] {
    if (!std::exchange(Process.Frozen, false))
      return;
    noteChange();
    const auto Waiting = std::exchange(Process.PendingDeliveries, {});
    for (const auto &Run : Waiting)
      Run();
  });
}

void simulation::cutMember(std::size_t Member, instant Ends) {
  Members[Member].Cut = true;
  scheduleAt(Ends, [this, Member] {
    Members[Member].Cut = false;
    noteChange();
  });
}

void simulation::killHost(std::size_t Host) {
  Hosts[Host].Down = true;
  ++Hosts[Host].Incarnation;
  resetHost(Host);
  scheduleAt(Now + RestartTime, [this, Host] {
    resetHost(Host);
    Hosts[Host].Down = false;
    noteChange();
  });
}

void simulation::isolateSite(std::size_t Site, instant Ends) {
  IsolatedSites[Site] = true;
  scheduleAt(Ends, [this, Site] {
    IsolatedSites[Site] = false;
    noteChange();
  });
}

void simulation::endFirstFault() {
  member_process &Member = Members[FormerPrimary];
  Member.Cut = false;
  Member.Leaving = false;
  noteChange();
  if (!std::exchange(Member.Frozen, false))
    return;
  const auto Waiting = std::exchange(Member.PendingDeliveries, {});
  for (const auto &Run : Waiting)
    Run();
}

/// Faults of the platform are not recorded as changes, because they must not
/// lengthen the time without acknowledged writes.
void simulation::beginFault(fault_kind Kind, instant Ends) {
  ++Result.FaultsBegun;
  const auto SetPlatform = [this, Ends](platform_mode Mode) {
    Platform = Mode;
    scheduleAt(Ends, [this] { Platform = platform_mode::Healthy; });
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
  noteChange();
  const std::size_t Coordinator = coordinatorSite();
  switch (Kind) {
  case fault_kind::PrimaryCut:
    return cutMember(primarySite(), Ends);
  case fault_kind::PrimaryFrozen:
    return freeze(Members[primarySite()], Ends);
  case fault_kind::PrimaryLeaves:
    Members[primarySite()].Leaving = true;
    return;
  case fault_kind::ChosenCut: {
    const target_id &Chosen = Hosts[Coordinator].State.Chosen;
    return cutMember(Chosen.empty() ? (FormerPrimary + 1) % Sites
                                    : siteOf(Chosen.Value),
                     Ends);
  }
  case fault_kind::CoordinatorPaused:
    return freeze(Hosts[Coordinator], Ends);
  case fault_kind::CoordinatorKilled:
    return killHost(Coordinator);
  case fault_kind::SecondCoordinator:
    Hosts[(Coordinator + 1) % Sites].ForcedCoordinator = true;
    Hosts[(Coordinator + 1) % Sites].State.SuspectSince = instant{};
    return;
  case fault_kind::CoordinatorCutOff:
    return isolateSite(Coordinator, Ends);
  case fault_kind::ControlAnswersLost:
    ControlAnswersLost = true;
    scheduleAt(Ends, [this] {
      ControlAnswersLost = false;
      noteChange();
    });
    return;
  case fault_kind::FormerPrimaryReturns:
    return endFirstFault();
  case fault_kind::ReplicationCut:
    ReplicationDown = true;
    scheduleAt(Ends, [this] {
      ReplicationDown = false;
      noteChange();
    });
    return;
  default:
    return;
  }
}

} // namespace bronzespar::test

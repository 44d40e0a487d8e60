/// Injection points and faults of the fault matrix, on the fake fleet.
#include "fault_matrix.hpp"

namespace bronzespar::test {

namespace {

constexpr duration WarmUpTime = 300ms;
constexpr duration FaultDuration = 700ms;
constexpr duration ProvokeDelay = 100ms;
constexpr duration SecondFaultDelay = 15ms;
constexpr duration CaseLimit = 20s;
constexpr duration SettleTime = 3s;
constexpr int Sessions = 4;
constexpr int CallsPerSession = 40;

std::optional<impl::request_state> requestState(injection_point Point) {
  switch (Point) {
  case injection_point::RequestCatchingUp:
    return impl::request_state::CatchingUp;
  case injection_point::RequestAwaitingPrimary:
    return impl::request_state::AwaitingPrimary;
  case injection_point::RequestBackingOff:
    return impl::request_state::BackingOff;
  case injection_point::RequestAtOwner:
    return impl::request_state::AtOwner;
  default:
    return std::nullopt;
  }
}

std::optional<impl::run_state> runState(injection_point Point) {
  switch (Point) {
  case injection_point::RunQueued:
    return impl::run_state::Queued;
  case injection_point::RunConnecting:
    return impl::run_state::Connecting;
  case injection_point::RunRunning:
    return impl::run_state::Running;
  case injection_point::RunConfirming:
    return impl::run_state::Confirming;
  default:
    return std::nullopt;
  }
}

impl::connection_state connectionState(injection_point Point) {
  switch (Point) {
  case injection_point::ConnectionDialling:
    return impl::connection_state::Dialling;
  case injection_point::ConnectionIdle:
    return impl::connection_state::Idle;
  case injection_point::ConnectionRunning:
    return impl::connection_state::Running;
  default:
    return impl::connection_state::Pinned;
  }
}

std::optional<injection_site> findIn(const fake_host &Host,
                                     injection_point Point) {
  const host_id &Self = Host.Settings.Id;
  if (const auto State = requestState(Point)) {
    for (const auto &[Number, Request] : Host.State->Requests)
      if (Request.State == *State)
        return injection_site{Self, Request.Owner, Request.Target};
    return std::nullopt;
  }
  if (const auto State = runState(Point)) {
    for (const auto &[Number, Run] : Host.State->Runs)
      if (Run.State == *State)
        return injection_site{Run.EntryHost, Self, Run.Request.Target};
    return std::nullopt;
  }
  for (const auto &[Ref, Connection] : Host.State->Connections)
    if (Connection.State == connectionState(Point))
      return injection_site{Self, Self, Connection.Target};
  return std::nullopt;
}

injection_site fillMissingIds(fake_fleet &Fleet, injection_site Site) {
  if (Site.Target.empty())
    Site.Target = target_id("m2");
  if (Site.Owner.empty())
    Site.Owner = Site.Entry;
  if (Fleet.Hosts.count(Site.Entry) == 0)
    Site.Entry = Site.Owner;
  return Site;
}

target_id primaryOr(fake_fleet &Fleet, const target_id &Target) {
  const fake_member *Primary = Fleet.primary();
  return Primary == nullptr ? Target : Primary->Settings.Id;
}

void partitionMember(fake_fleet &Fleet, const target_id &Target,
                     duration Duration) {
  Fleet.Members.at(Target).Partitioned = true;
  Fleet.schedule(Duration, [&Fleet, Target] {
    Fleet.Members.at(Target).Partitioned = false;
  });
}

void freeze(fake_fleet &Fleet, const target_id &Target, duration Duration) {
  Fleet.Members.at(Target).Frozen = true;
  Fleet.schedule(Duration, [&Fleet, Target] { Fleet.unfreeze(Target); });
}

void makeMemberLag(fake_fleet &Fleet, const target_id &Target,
                   duration Duration) {
  Fleet.Members.at(Target).Lagging = true;
  Fleet.schedule(
      Duration, [&Fleet, Target] { Fleet.Members.at(Target).Lagging = false; });
}

/// Makes one replica lag, so that the other can still confirm writes.
void makeReplicaLag(fake_fleet &Fleet, const target_id &Target,
                    duration Duration) {
  const target_id Primary = primaryOr(Fleet, Target);
  for (const char *Id : {"m2", "m1"})
    if (target_id(Id) != Primary)
      return makeMemberLag(Fleet, target_id(Id), Duration);
}

std::size_t liveHosts(const fake_fleet &Fleet) {
  std::size_t Count = 0;
  for (const auto &[Id, Host] : Fleet.Hosts)
    Count += Host.Dead || Host.Stopped ? 0 : 1;
  return Count;
}

void kill(fake_fleet &Fleet, callers &Callers, const host_id &Host) {
  if (liveHosts(Fleet) < 2)
    return;
  Fleet.kill(Host);
  Callers.hostDied(Host);
}

void pause(fake_fleet &Fleet, const host_id &Host, duration Duration) {
  Fleet.pause(Host);
  Fleet.schedule(Duration, [&Fleet, Host] { Fleet.resume(Host); });
}

void partitionFromPeers(fake_fleet &Fleet, const host_id &Host,
                        duration Duration) {
  for (const auto &[Other, State] : Fleet.Hosts)
    if (Other != Host)
      Fleet.setPeersPartitioned(Host, Other, true);
  Fleet.schedule(Duration, [&Fleet, Host] {
    for (const auto &[Other, State] : Fleet.Hosts)
      if (Other != Host)
        Fleet.setPeersPartitioned(Host, Other, false);
  });
}

void withdrawKey(fake_fleet &Fleet) {
  std::string Text = fleetText();
  Text += "[/t/keys/extra]\naccount = beta\nwithdrawn = true\ndigest = " +
          digestKey(secret("key-extra")) + "\n";
  Fleet.applySettings(2, Text);
}

void makeTargetLeave(fake_fleet &Fleet, const target_id &Target,
                     duration Duration) {
  Fleet.Members.at(Target).Leaving = true;
  Fleet.schedule(
      Duration, [&Fleet, Target] { Fleet.Members.at(Target).Leaving = false; });
}

void setPlatformFault(fake_fleet &Fleet, bool &Flag, duration Duration) {
  Flag = true;
  Fleet.schedule(Duration, [&Flag] { Flag = false; });
}

/// Provokes the conditions that some injection points need to be reached.
void provokePoint(fake_fleet &Fleet, injection_point Point) {
  if (Point == injection_point::RequestCatchingUp) {
    makeMemberLag(Fleet, target_id("m2"), FaultDuration);
    Fleet.schedule(ProvokeDelay, [&Fleet] {
      partitionMember(Fleet, target_id("m3"), FaultDuration);
    });
  }
  if (Point == injection_point::RequestAwaitingPrimary)
    partitionMember(Fleet, primaryOr(Fleet, target_id("m1")), FaultDuration);
  if (Point == injection_point::RequestBackingOff)
    Fleet.dropConnections(primaryOr(Fleet, target_id("m1")));
  if (Point == injection_point::RunConnecting)
    for (const auto &[Id, Member] : Fleet.Members)
      Fleet.dropConnections(Id);
}

void provokeUntilInjected(fake_fleet &Fleet, injection_point Point,
                          const bool &Injected) {
  if (Injected)
    return;
  provokePoint(Fleet, Point);
  const duration Period = Point == injection_point::RequestBackingOff
                              ? ProvokeDelay
                              : FaultDuration;
  Fleet.schedule(Period, [&Fleet, Point, &Injected] {
    provokeUntilInjected(Fleet, Point, Injected);
  });
}

} // namespace

std::optional<injection_site> findInjectionSite(fake_fleet &Fleet,
                                                injection_point Point) {
  for (const auto &[Id, Host] : Fleet.Hosts) {
    if (Host.Dead || Host.Paused || Host.Stopped)
      continue;
    if (const auto Site = findIn(Host, Point))
      return fillMissingIds(Fleet, *Site);
  }
  return std::nullopt;
}

void injectFault(fake_fleet &Fleet, callers &Callers, fault Fault,
                 const injection_site &Site, duration Duration) {
  switch (Fault) {
  case fault::ConnectionLost:
    return Fleet.dropConnections(Site.Target);
  case fault::ConnectionSilent:
    return Fleet.makeConnectionsUnresponsive(Site.Target);
  case fault::AnswerLate:
    Fleet.NextAnswerFault = answer_fault::Late;
    return;
  case fault::AnswerOfAnother:
    Fleet.NextAnswerFault = answer_fault::WrongId;
    return;
  case fault::AnswerTwice:
    Fleet.NextAnswerFault = answer_fault::Twice;
    return;
  case fault::AnswerLostAfterRun:
    Fleet.NextAnswerFault = answer_fault::LostAfterRun;
    return;
  case fault::AnswerLostBeforeRun:
    Fleet.NextAnswerFault = answer_fault::LostBeforeRun;
    return;
  case fault::MemberCut:
    return partitionMember(Fleet, Site.Target, Duration);
  case fault::MemberFrozen:
    return freeze(Fleet, Site.Target, Duration);
  case fault::PrimaryCut:
    return partitionMember(Fleet, primaryOr(Fleet, Site.Target), Duration);
  case fault::PrimaryFrozen:
    return freeze(Fleet, primaryOr(Fleet, Site.Target), Duration);
  case fault::ReplicaLags:
    return makeReplicaLag(Fleet, Site.Target, Duration);
  case fault::OwnerDies:
    return kill(Fleet, Callers, Site.Owner);
  case fault::EntryDies:
    return kill(Fleet, Callers, Site.Entry);
  case fault::OwnerPaused:
    return pause(Fleet, Site.Owner, Duration);
  case fault::EntryPaused:
    return pause(Fleet, Site.Entry, Duration);
  case fault::PeersCut:
    return partitionFromPeers(Fleet, Site.Entry, Duration);
  case fault::DataCentreCut:
    partitionFromPeers(Fleet, Site.Entry, Duration);
    return partitionMember(Fleet, Site.Target, Duration);
  case fault::PlatformDown:
    return setPlatformFault(Fleet, Fleet.PlatformDown, Duration);
  case fault::PlatformAnswerLost:
    return setPlatformFault(Fleet, Fleet.PlatformLosesAnswers, Duration);
  case fault::KeyWithdrawn:
    return withdrawKey(Fleet);
  case fault::HostLeaves:
    if (liveHosts(Fleet) > 1)
      Fleet.scheduleEvent(Site.Entry, events::leave_requested{}, duration{});
    return;
  case fault::TargetLeaves:
    return makeTargetLeave(Fleet, Site.Target, Duration);
  }
}

case_result runCase(std::uint64_t Seed, injection_point Point, fault First,
                    std::optional<fault> Second) {
  fake_fleet Fleet(Seed);
  Fleet.run(WarmUpTime);
  callers Callers(Fleet, Sessions, CallsPerSession);
  case_result Result;
  Fleet.AfterStep = [&] {
    if (Result.FaultInjected)
      return;
    const auto Site = findInjectionSite(Fleet, Point);
    if (!Site)
      return;
    Result.FaultInjected = true;
    Fleet.schedule(duration{}, [&, Site] {
      injectFault(Fleet, Callers, First, *Site, FaultDuration);
    });
    if (Second)
      Fleet.schedule(SecondFaultDelay, [&, Site] {
        injectFault(Fleet, Callers, *Second, *Site, FaultDuration);
      });
  };
  Fleet.schedule(ProvokeDelay, [&] {
    provokeUntilInjected(Fleet, Point, Result.FaultInjected);
  });
  Fleet.runUntil([&] { return Callers.isDone(); }, CaseLimit);
  Fleet.run(SettleTime);
  Result.Calls = Callers.Calls.size();
  Result.Served = Callers.countSucceeded();
  Result.Violations = Callers.violations();
  if (!Callers.isDone())
    Result.Violations.emplace_back("some sessions did not finish");
  return Result;
}

} // namespace bronzespar::test

/// The matrix's moments and faults on the fake fleet.
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

std::optional<impl::request_state> requestState(injection_point Moment) {
  switch (Moment) {
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

std::optional<impl::run_state> runState(injection_point Moment) {
  switch (Moment) {
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

impl::connection_state connectionState(injection_point Moment) {
  switch (Moment) {
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
                                     injection_point Moment) {
  const host_id &Self = Host.Settings.Id;
  if (const auto State = requestState(Moment)) {
    for (const auto &[Number, Request] : Host.State->Requests)
      if (Request.State == *State)
        return injection_site{Self, Request.Owner, Request.Target};
    return std::nullopt;
  }
  if (const auto State = runState(Moment)) {
    for (const auto &[Number, Run] : Host.State->Runs)
      if (Run.State == *State)
        return injection_site{Run.EntryHost, Self, Run.Request.Target};
    return std::nullopt;
  }
  for (const auto &[Ref, Connection] : Host.State->Connections)
    if (Connection.State == connectionState(Moment))
      return injection_site{Self, Self, Connection.Target};
  return std::nullopt;
}

injection_site fillMissingIds(fake_fleet &Fleet, injection_site Place) {
  if (Place.Target.empty())
    Place.Target = target_id("m2");
  if (Place.Owner.empty())
    Place.Owner = Place.Entry;
  if (Fleet.Hosts.count(Place.Entry) == 0)
    Place.Entry = Place.Owner;
  return Place;
}

target_id primaryOr(fake_fleet &Fleet, const target_id &Target) {
  const fake_member *Primary = Fleet.primary();
  return Primary == nullptr ? Target : Primary->Settings.Id;
}

void cutMember(fake_fleet &Fleet, const target_id &Target, duration Lasts) {
  Fleet.Members.at(Target).Partitioned = true;
  Fleet.schedule(Lasts, [&Fleet, Target] {
    Fleet.Members.at(Target).Partitioned = false;
  });
}

void freeze(fake_fleet &Fleet, const target_id &Target, duration Lasts) {
  Fleet.Members.at(Target).Frozen = true;
  Fleet.schedule(Lasts, [&Fleet, Target] { Fleet.unfreeze(Target); });
}

void makeMemberLag(fake_fleet &Fleet, const target_id &Target, duration Lasts) {
  Fleet.Members.at(Target).Lagging = true;
  Fleet.schedule(
      Lasts, [&Fleet, Target] { Fleet.Members.at(Target).Lagging = false; });
}

/// One replica lags; the other can still confirm writes.
void makeReplicaLag(fake_fleet &Fleet, const target_id &Target,
                    duration Lasts) {
  const target_id Primary = primaryOr(Fleet, Target);
  for (const char *Id : {"m2", "m1"})
    if (target_id(Id) != Primary)
      return makeMemberLag(Fleet, target_id(Id), Lasts);
}

std::size_t liveHosts(const fake_fleet &Fleet) {
  std::size_t Live = 0;
  for (const auto &[Id, Host] : Fleet.Hosts)
    Live += Host.Dead || Host.Stopped ? 0 : 1;
  return Live;
}

void kill(fake_fleet &Fleet, callers &Callers, const host_id &Host) {
  if (liveHosts(Fleet) < 2)
    return;
  Fleet.kill(Host);
  Callers.hostDied(Host);
}

void pause(fake_fleet &Fleet, const host_id &Host, duration Lasts) {
  Fleet.pause(Host);
  Fleet.schedule(Lasts, [&Fleet, Host] { Fleet.resume(Host); });
}

void cutFromPeers(fake_fleet &Fleet, const host_id &Host, duration Lasts) {
  for (const auto &[Other, State] : Fleet.Hosts)
    if (Other != Host)
      Fleet.setPeersPartitioned(Host, Other, true);
  Fleet.schedule(Lasts, [&Fleet, Host] {
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
                     duration Lasts) {
  Fleet.Members.at(Target).Leaving = true;
  Fleet.schedule(
      Lasts, [&Fleet, Target] { Fleet.Members.at(Target).Leaving = false; });
}

void setPlatformFault(fake_fleet &Fleet, bool &Switch, duration Lasts) {
  Switch = true;
  Fleet.schedule(Lasts, [&Switch] { Switch = false; });
}

/// Some moments come only once something else has gone wrong.
void provokePoint(fake_fleet &Fleet, injection_point Moment) {
  if (Moment == injection_point::RequestCatchingUp) {
    makeMemberLag(Fleet, target_id("m2"), FaultDuration);
    Fleet.schedule(ProvokeDelay, [&Fleet] {
      cutMember(Fleet, target_id("m3"), FaultDuration);
    });
  }
  if (Moment == injection_point::RequestAwaitingPrimary)
    cutMember(Fleet, primaryOr(Fleet, target_id("m1")), FaultDuration);
  if (Moment == injection_point::RequestBackingOff)
    Fleet.dropConnections(primaryOr(Fleet, target_id("m1")));
  if (Moment == injection_point::RunConnecting)
    for (const auto &[Id, Member] : Fleet.Members)
      Fleet.dropConnections(Id);
}

void provokeUntilInjected(fake_fleet &Fleet, injection_point Moment,
                          const bool &Reached) {
  if (Reached)
    return;
  provokePoint(Fleet, Moment);
  const duration Period = Moment == injection_point::RequestBackingOff
                              ? ProvokeDelay
                              : FaultDuration;
  Fleet.schedule(Period, [&Fleet, Moment, &Reached] {
    provokeUntilInjected(Fleet, Moment, Reached);
  });
}

} // namespace

std::optional<injection_site> findInjectionSite(fake_fleet &Fleet,
                                                injection_point Moment) {
  for (const auto &[Id, Host] : Fleet.Hosts) {
    if (Host.Dead || Host.Paused || Host.Stopped)
      continue;
    if (const auto Place = findIn(Host, Moment))
      return fillMissingIds(Fleet, *Place);
  }
  return std::nullopt;
}

void injectFault(fake_fleet &Fleet, callers &Callers, fault Fault,
                 const injection_site &Place, duration Lasts) {
  switch (Fault) {
  case fault::ConnectionLost:
    return Fleet.dropConnections(Place.Target);
  case fault::ConnectionSilent:
    return Fleet.silenceConnections(Place.Target);
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
    return cutMember(Fleet, Place.Target, Lasts);
  case fault::MemberFrozen:
    return freeze(Fleet, Place.Target, Lasts);
  case fault::PrimaryCut:
    return cutMember(Fleet, primaryOr(Fleet, Place.Target), Lasts);
  case fault::PrimaryFrozen:
    return freeze(Fleet, primaryOr(Fleet, Place.Target), Lasts);
  case fault::ReplicaLags:
    return makeReplicaLag(Fleet, Place.Target, Lasts);
  case fault::OwnerDies:
    return kill(Fleet, Callers, Place.Owner);
  case fault::EntryDies:
    return kill(Fleet, Callers, Place.Entry);
  case fault::OwnerPaused:
    return pause(Fleet, Place.Owner, Lasts);
  case fault::EntryPaused:
    return pause(Fleet, Place.Entry, Lasts);
  case fault::PeersCut:
    return cutFromPeers(Fleet, Place.Entry, Lasts);
  case fault::DataCentreCut:
    cutFromPeers(Fleet, Place.Entry, Lasts);
    return cutMember(Fleet, Place.Target, Lasts);
  case fault::PlatformDown:
    return setPlatformFault(Fleet, Fleet.PlatformDown, Lasts);
  case fault::PlatformAnswerLost:
    return setPlatformFault(Fleet, Fleet.PlatformLosesAnswers, Lasts);
  case fault::KeyWithdrawn:
    return withdrawKey(Fleet);
  case fault::HostLeaves:
    if (liveHosts(Fleet) > 1)
      Fleet.scheduleEvent(Place.Entry, events::leave_requested{}, duration{});
    return;
  case fault::TargetLeaves:
    return makeTargetLeave(Fleet, Place.Target, Lasts);
  }
}

case_result runCase(std::uint64_t Seed, injection_point Moment, fault First,
                    std::optional<fault> Second) {
  fake_fleet Fleet(Seed);
  Fleet.run(WarmUpTime);
  callers Callers(Fleet, Sessions, CallsPerSession);
  case_result Result;
  Fleet.AfterStep = [&] {
    if (Result.FaultInjected)
      return;
    const auto Place = findInjectionSite(Fleet, Moment);
    if (!Place)
      return;
    Result.FaultInjected = true;
    Fleet.schedule(duration{}, [&, Place] {
      injectFault(Fleet, Callers, First, *Place, FaultDuration);
    });
    if (Second)
      Fleet.schedule(SecondFaultDelay, [&, Place] {
        injectFault(Fleet, Callers, *Second, *Place, FaultDuration);
      });
  };
  Fleet.schedule(ProvokeDelay, [&] {
    provokeUntilInjected(Fleet, Moment, Result.FaultInjected);
  });
  Fleet.runUntil([&] { return Callers.isDone(); }, CaseLimit);
  Fleet.run(SettleTime);
  Result.Calls = Callers.Calls.size();
  Result.Served = Callers.countSucceeded();
  Result.Violations = Callers.violations();
  if (!Callers.isDone())
    Result.Violations.emplace_back("some sessions never ended");
  return Result;
}

} // namespace bronzespar::test

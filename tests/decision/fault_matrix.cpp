/// Injection points and faults of the fault matrix, on the fake fleet.
#include "fault_matrix.hpp"

namespace bronzespar::test {

namespace {

constexpr duration WarmUp = 300ms;
constexpr duration FaultLasts = 700ms;
constexpr duration PrepareAfter = 100ms;
constexpr duration SecondFaultAfter = 15ms;
constexpr duration CaseLimit = 20s;
constexpr duration SettleTime = 3s;
constexpr int Sessions = 4;
constexpr int CallsEach = 40;

std::optional<impl::request_state> requestState(moment Point) {
  switch (Point) {
  case moment::RequestCatchingUp:
    return impl::request_state::CatchingUp;
  case moment::RequestAwaitingPrimary:
    return impl::request_state::AwaitingPrimary;
  case moment::RequestBackingOff:
    return impl::request_state::BackingOff;
  case moment::RequestAtOwner:
    return impl::request_state::AtOwner;
  default:
    return std::nullopt;
  }
}

std::optional<impl::run_state> runState(moment Point) {
  switch (Point) {
  case moment::RunQueued:
    return impl::run_state::Queued;
  case moment::RunConnecting:
    return impl::run_state::Connecting;
  case moment::RunRunning:
    return impl::run_state::Running;
  case moment::RunConfirming:
    return impl::run_state::Confirming;
  default:
    return std::nullopt;
  }
}

impl::connection_state connectionState(moment Point) {
  switch (Point) {
  case moment::ConnectionDialling:
    return impl::connection_state::Dialling;
  case moment::ConnectionIdle:
    return impl::connection_state::Idle;
  case moment::ConnectionRunning:
    return impl::connection_state::Running;
  default:
    return impl::connection_state::Pinned;
  }
}

std::optional<moment_place> findIn(const fake_host &Host, moment Point) {
  const host_id &Self = Host.Settings.Id;
  if (const auto State = requestState(Point)) {
    for (const auto &[Number, Request] : Host.State->Requests)
      if (Request.State == *State)
        return moment_place{Self, Request.Owner, Request.Target};
    return std::nullopt;
  }
  if (const auto State = runState(Point)) {
    for (const auto &[Number, Run] : Host.State->Runs)
      if (Run.State == *State)
        return moment_place{Run.From, Self, Run.Request.Target};
    return std::nullopt;
  }
  for (const auto &[Ref, Connection] : Host.State->Connections)
    if (Connection.State == connectionState(Point))
      return moment_place{Self, Self, Connection.Target};
  return std::nullopt;
}

moment_place complete(fake_fleet &Fleet, moment_place Site) {
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

void cutMember(fake_fleet &Fleet, const target_id &Target, duration Duration) {
  Fleet.Members.at(Target).Cut = true;
  Fleet.at(Duration,
           [&Fleet, Target] { Fleet.Members.at(Target).Cut = false; });
}

void freeze(fake_fleet &Fleet, const target_id &Target, duration Duration) {
  Fleet.Members.at(Target).Frozen = true;
  Fleet.at(Duration, [&Fleet, Target] { Fleet.thaw(Target); });
}

void lagOne(fake_fleet &Fleet, const target_id &Target, duration Duration) {
  Fleet.Members.at(Target).Lagging = true;
  Fleet.at(Duration,
           [&Fleet, Target] { Fleet.Members.at(Target).Lagging = false; });
}

/// Makes one replica lag, so that the other can still confirm writes.
void lag(fake_fleet &Fleet, const target_id &Target, duration Duration) {
  const target_id Primary = primaryOr(Fleet, Target);
  for (const char *Id : {"m2", "m1"})
    if (target_id(Id) != Primary)
      return lagOne(Fleet, target_id(Id), Duration);
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
  Fleet.at(Duration, [&Fleet, Host] { Fleet.resume(Host); });
}

void cutFromPeers(fake_fleet &Fleet, const host_id &Host, duration Duration) {
  for (const auto &[Other, State] : Fleet.Hosts)
    if (Other != Host)
      Fleet.cutPeers(Host, Other, true);
  Fleet.at(Duration, [&Fleet, Host] {
    for (const auto &[Other, State] : Fleet.Hosts)
      if (Other != Host)
        Fleet.cutPeers(Host, Other, false);
  });
}

void withdrawKey(fake_fleet &Fleet) {
  std::string Text = fleetText();
  Text += "[/t/keys/extra]\naccount = beta\nwithdrawn = true\ndigest = " +
          digestKey(secret("key-extra")) + "\n";
  Fleet.applySettings(2, Text);
}

void leaveTarget(fake_fleet &Fleet, const target_id &Target,
                 duration Duration) {
  Fleet.Members.at(Target).Leaving = true;
  Fleet.at(Duration,
           [&Fleet, Target] { Fleet.Members.at(Target).Leaving = false; });
}

void setPlatform(fake_fleet &Fleet, bool &Flag, duration Duration) {
  Flag = true;
  Fleet.at(Duration, [&Flag] { Flag = false; });
}

/// Provokes the conditions that some injection points need to be reached.
void prepare(fake_fleet &Fleet, moment Point) {
  if (Point == moment::RequestCatchingUp) {
    lagOne(Fleet, target_id("m2"), FaultLasts);
    Fleet.at(PrepareAfter,
             [&Fleet] { cutMember(Fleet, target_id("m3"), FaultLasts); });
  }
  if (Point == moment::RequestAwaitingPrimary)
    cutMember(Fleet, primaryOr(Fleet, target_id("m1")), FaultLasts);
  if (Point == moment::RequestBackingOff)
    Fleet.dropConnections(primaryOr(Fleet, target_id("m1")));
  if (Point == moment::RunConnecting)
    for (const auto &[Id, Member] : Fleet.Members)
      Fleet.dropConnections(Id);
}

void prepareUntilReached(fake_fleet &Fleet, moment Point,
                         const bool &Injected) {
  if (Injected)
    return;
  prepare(Fleet, Point);
  const duration Period =
      Point == moment::RequestBackingOff ? PrepareAfter : FaultLasts;
  Fleet.at(Period, [&Fleet, Point, &Injected] {
    prepareUntilReached(Fleet, Point, Injected);
  });
}

} // namespace

std::optional<moment_place> findMoment(fake_fleet &Fleet, moment Point) {
  for (const auto &[Id, Host] : Fleet.Hosts) {
    if (Host.Dead || Host.Paused || Host.Stopped)
      continue;
    if (const auto Site = findIn(Host, Point))
      return complete(Fleet, *Site);
  }
  return std::nullopt;
}

void inject(fake_fleet &Fleet, callers &Callers, fault Fault,
            const moment_place &Site, duration Duration) {
  switch (Fault) {
  case fault::ConnectionLost:
    return Fleet.dropConnections(Site.Target);
  case fault::ConnectionSilent:
    return Fleet.silence(Site.Target);
  case fault::AnswerLate:
    Fleet.NextAnswer = answer_fault::Late;
    return;
  case fault::AnswerOfAnother:
    Fleet.NextAnswer = answer_fault::WrongId;
    return;
  case fault::AnswerTwice:
    Fleet.NextAnswer = answer_fault::Twice;
    return;
  case fault::AnswerLostAfterRun:
    Fleet.NextAnswer = answer_fault::LostAfterRun;
    return;
  case fault::AnswerLostBeforeRun:
    Fleet.NextAnswer = answer_fault::LostBefore;
    return;
  case fault::MemberCut:
    return cutMember(Fleet, Site.Target, Duration);
  case fault::MemberFrozen:
    return freeze(Fleet, Site.Target, Duration);
  case fault::PrimaryCut:
    return cutMember(Fleet, primaryOr(Fleet, Site.Target), Duration);
  case fault::PrimaryFrozen:
    return freeze(Fleet, primaryOr(Fleet, Site.Target), Duration);
  case fault::ReplicaLags:
    return lag(Fleet, Site.Target, Duration);
  case fault::OwnerDies:
    return kill(Fleet, Callers, Site.Owner);
  case fault::EntryDies:
    return kill(Fleet, Callers, Site.Entry);
  case fault::OwnerPaused:
    return pause(Fleet, Site.Owner, Duration);
  case fault::EntryPaused:
    return pause(Fleet, Site.Entry, Duration);
  case fault::PeersCut:
    return cutFromPeers(Fleet, Site.Entry, Duration);
  case fault::DataCentreCut:
    cutFromPeers(Fleet, Site.Entry, Duration);
    return cutMember(Fleet, Site.Target, Duration);
  case fault::PlatformDown:
    return setPlatform(Fleet, Fleet.PlatformDown, Duration);
  case fault::PlatformAnswerLost:
    return setPlatform(Fleet, Fleet.PlatformLosesAnswers, Duration);
  case fault::KeyWithdrawn:
    return withdrawKey(Fleet);
  case fault::HostLeaves:
    if (liveHosts(Fleet) > 1)
      Fleet.send(Site.Entry, events::leave_requested{}, duration{});
    return;
  case fault::TargetLeaves:
    return leaveTarget(Fleet, Site.Target, Duration);
  }
}

case_result runCase(std::uint64_t Seed, moment Point, fault First,
                    std::optional<fault> Second) {
  fake_fleet Fleet(Seed);
  Fleet.run(WarmUp);
  callers Callers(Fleet, Sessions, CallsEach);
  case_result Result;
  Fleet.AfterStep = [&] {
    if (Result.Reached)
      return;
    const auto Site = findMoment(Fleet, Point);
    if (!Site)
      return;
    Result.Reached = true;
    Fleet.at(duration{},
             [&, Site] { inject(Fleet, Callers, First, *Site, FaultLasts); });
    if (Second)
      Fleet.at(SecondFaultAfter, [&, Site] {
        inject(Fleet, Callers, *Second, *Site, FaultLasts);
      });
  };
  Fleet.at(PrepareAfter,
           [&] { prepareUntilReached(Fleet, Point, Result.Reached); });
  Fleet.runUntil([&] { return Callers.isDone(); }, CaseLimit);
  Fleet.run(SettleTime);
  Result.Calls = Callers.Calls.size();
  Result.Served = Callers.served();
  Result.Violations = Callers.violations();
  if (!Callers.isDone())
    Result.Violations.emplace_back("some sessions did not finish");
  return Result;
}

} // namespace bronzespar::test

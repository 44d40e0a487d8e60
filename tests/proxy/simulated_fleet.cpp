/// Hosts, time and rules of the simulated fleet.
#include "simulated_fleet.hpp"

#include <algorithm>
#include <utility>

namespace session_test {

namespace {

/// A probe that is not answered ends then.
constexpr duration ProbeTimeout = 300ms;
/// Events that wait for a suspended host reach it within this time, in an order
/// that differs between sockets.
constexpr duration ResumptionTime = 60ms;

} // namespace

proxy_settings fleetSettings() {
  proxy_settings Settings;
  Settings.Version = 1;
  Settings.Groups[Group] = {16};
  return Settings;
}

simulated_fleet::simulated_fleet(unsigned Seed, std::size_t HostCount,
                                 proxy_settings InForce, std::uint64_t StoreEra)
    : Random(Seed), Settings(std::move(InForce)), Era(StoreEra),
      Revision((StoreEra << RevisionBits) + 10) {
  for (std::size_t Index = 1; Index <= HostCount; ++Index)
    startHost("host-" + std::to_string(Index));
}

void simulated_fleet::startHost(const std::string &Name) {
  host_identity Identity;
  Identity.Name = Name;
  Identity.DataCentre = "suva";
  Identity.PeerEndpoint = {"10.0.0." + Name.substr(Name.find('-') + 1), 7560};
  simulated_host &Started = Hosts[Name] = {};
  Started.Host = makeHost(Identity);
  Started.Process = ++LastProcess;
  const bool IsCut = Network.toStore(Name).isCut(Now);
  send(Name, events::store_reachability_changed{!IsCut});
  send(Name, events::settings_changed{Settings});
  send(Name, events::targets_listed{entries()});
  tellRecords(Name);
}

void simulated_fleet::tellRecords(const std::string &Name) {
  const simulated_path Path = Network.toStore(Name);
  if (Path.isCut(Now)) {
    Scheduled.emplace(Path.cutUntil(),
                      [this, Name, Process = Hosts.at(Name).Process] {
                        if (Hosts.at(Name).Process == Process)
                          tellRecords(Name);
                      });
    return;
  }
  for (const auto &[Key, Record] : Records)
    send(Name, events::record_changed{Record});
}

void simulated_fleet::restartHost(const std::string &Name) { startHost(Name); }

void simulated_fleet::suspendHost(const std::string &Name, duration Span) {
  instant &Until = Hosts.at(Name).SuspendedUntil;
  Until = std::max(Until, Now + Span);
}

void simulated_fleet::silenceWatch(const std::string &Name, duration Span) {
  instant &Until = Hosts.at(Name).WatchSilentUntil;
  Until = std::max(Until, Now + Span);
}

instant simulated_fleet::watchSilentUntil(const std::string &Name) const {
  return std::max(Hosts.at(Name).WatchSilentUntil,
                  Network.toStore(Name).cutUntil());
}

void simulated_fleet::cutFromStore(const std::string &Name,
                                   cut_direction Direction, duration Span) {
  Network.cut(Network.StorePaths[Name], Direction, Now + Span);
  const instant Until = Network.toStore(Name).cutUntil();
  if (Until - Now > StoreCallTimeout)
    sendLater(Name, StoreCallTimeout, events::store_reachability_changed{false},
              "store");
  Scheduled.emplace(Until, [this, Name] {
    if (!Network.toStore(Name).isCut(Now))
      send(Name, events::store_reachability_changed{!isStoreDown()}, "store");
  });
}

void simulated_fleet::cutFromTarget(const std::string &Name,
                                    const std::string &Target,
                                    cut_direction Direction, duration Span) {
  Network.cut(Network.TargetPaths[{Name, Target}], Direction, Now + Span);
}

std::vector<target_entry> simulated_fleet::entries() const {
  std::vector<target_entry> Entries;
  for (const std::string Id : {"a", "b", "c"}) {
    Entries.push_back(host_driver::makeEntry(Id, Id == Leader));
    Entries.back().Draining = Draining.contains(Id);
    if (const auto Place = DataCentres.find(Id); Place != DataCentres.end())
      Entries.back().DataCentre = Place->second;
    if (const auto Birth = Births.find(Id); Birth != Births.end())
      Entries.back().StartedAt = Birth->second;
    if (Absent.contains(Id))
      Entries.pop_back();
  }
  return Entries;
}

void simulated_fleet::listTargets(const std::set<std::string> &NowDraining) {
  Draining = NowDraining;
  announceTargets();
}

void simulated_fleet::announceTargets() {
  if (!isStoreDown())
    broadcast(events::targets_listed{entries()});
}

void simulated_fleet::interruptStore(duration Span, bool LeasesPauseMeanwhile) {
  StoreDownUntil = Now + Span;
  LeasesPause = LeasesPauseMeanwhile;
  if (LeasesPause)
    for (auto &[Lease, Until] : Leases)
      Until += Span;
  for (const auto &[Name, Simulated] : Hosts) {
    sendLater(Name, StoreCallTimeout, events::store_reachability_changed{false},
              "store");
    sendLater(Name, Span, events::store_reachability_changed{true}, "store");
  }
  Scheduled.emplace(Now + Span + FleetTick, [this] { announceTargets(); });
}

duration simulated_fleet::drawSpan(duration Least, duration Most) {
  return Least + duration(static_cast<duration::rep>(
                     draw() * static_cast<double>((Most - Least).count())));
}

void simulated_fleet::advanceTime(duration Span) {
  const instant End = Now + Span;
  while (Now < End) {
    const instant Next = Now + FleetTick;
    runScheduled(Next);
    Now = Next;
    endLeases();
    keepCopy();
    for (auto &[Name, Simulated] : Hosts)
      if (Now >= Simulated.SuspendedUntil)
        send(Name, events::tick{}, "tick");
    checkRules();
  }
}

bool simulated_fleet::isServing() const {
  const auto Found = Records.find(std::string(GroupsPrefix) + Group);
  if (Found == Records.end())
    return false;
  const auto Record = parseGroupRecord(Found->second.Value);
  return Record && Record->Open && Record->Primary == Leader;
}

void simulated_fleet::deliver(const std::string &Name, event Event) {
  simulated_host &Simulated = Hosts.at(Name);
  if (const std::uint64_t Shown = eraOf(Event);
      Shown > Simulated.Host->StoreEra)
    step(*Simulated.Host, events::store_restored{Shown}, Now,
         Simulated.Effects);
  step(*Simulated.Host, std::move(Event), Now, Simulated.Effects);
  effect_list Effects;
  Effects.swap(Simulated.Effects);
  for (const effect &Effect : Effects)
    carryOut(Name, Effect);
}

void simulated_fleet::send(const std::string &Name, event Event,
                           const std::string &Socket) {
  simulated_host &Simulated = Hosts.at(Name);
  instant &Latest = Simulated.Sockets[Socket];
  if (Now >= Simulated.SuspendedUntil && Now >= Latest) {
    deliver(Name, std::move(Event));
    return;
  }
  if (Latest < Simulated.SuspendedUntil)
    Latest = Simulated.SuspendedUntil + drawSpan(0ms, ResumptionTime);
  Scheduled.emplace(Latest, [this, Name, Process = Simulated.Process, Socket,
                             Event = std::move(Event)] {
    if (Hosts.at(Name).Process == Process)
      send(Name, Event, Socket);
  });
}

void simulated_fleet::sendLater(const std::string &Name, duration Delay,
                                event Event, const std::string &Socket) {
  simulated_host &Simulated = Hosts.at(Name);
  instant &Latest = Simulated.Sockets[Socket];
  Latest = std::max(Latest, Now + Delay);
  Scheduled.emplace(Latest, [this, Name, Process = Simulated.Process, Socket,
                             Event = std::move(Event)] {
    if (Hosts.at(Name).Process != Process)
      return;
    const duration Silence = watchSilentUntil(Name) - Now;
    if (Socket == "watch" && Silence > 0ms)
      sendLater(Name, Silence, Event, Socket);
    else
      send(Name, Event, Socket);
  });
}

void simulated_fleet::answer(const std::string &Name, duration Delay,
                             std::function<event()> Make) {
  const unsigned Process = Hosts.at(Name).Process;
  Scheduled.emplace(Now + Delay, [this, Name, Process, Make = std::move(Make)] {
    if (Hosts.at(Name).Process == Process)
      send(Name, Make());
  });
}

void simulated_fleet::broadcast(const event &Event) {
  for (const auto &[Name, Simulated] : Hosts) {
    const instant From = std::max(Now, watchSilentUntil(Name));
    sendLater(Name, From - Now + drawSpan(FleetTick, WatchLag), Event, "watch");
  }
}

void simulated_fleet::runScheduled(instant Until) {
  while (!Scheduled.empty() && Scheduled.begin()->first <= Until) {
    Now = std::max(Now, Scheduled.begin()->first);
    const auto Next = std::move(Scheduled.begin()->second);
    Scheduled.erase(Scheduled.begin());
    Next();
  }
}

void simulated_fleet::carryOut(const std::string &Name, const effect &Effect) {
  if (const auto *Change = std::get_if<effects::change_records>(&Effect))
    carryOut(Name, *Change);
  else if (const auto *Read = std::get_if<effects::read_records>(&Effect))
    carryOut(Name, *Read);
  else if (const auto *Order = std::get_if<effects::order_promotion>(&Effect))
    carryOut(Name, *Order);
  else if (std::holds_alternative<effects::grant_lease>(Effect))
    renew(Name, ++LastLease, true);
  else if (const auto *Renew = std::get_if<effects::renew_lease>(&Effect))
    renew(Name, Renew->Lease, false);
  else if (const auto *Revoke = std::get_if<effects::revoke_lease>(&Effect))
    revoke(Name, Revoke->Lease);
  else if (const auto *Probe = std::get_if<effects::probe_target>(&Effect))
    carryOut(Name, *Probe);
  else if (OnEffect)
    OnEffect(Name, Effect);
}

void simulated_fleet::carryOut(const std::string &Name,
                               const effects::probe_target &Probe) {
  const bool IsCut = Network.toTarget(Name, Probe.Target).isCut(Now);
  answer(Name, IsCut ? ProbeTimeout : FleetTick,
         [this, IsCut, Target = Probe.Target, Call = Probe.Call] {
           return events::target_probed{
               Target, IsCut ? std::nullopt : statusOf(Target), Call};
         });
}

std::optional<target_status>
simulated_fleet::statusOf(const std::string &Target) const {
  if (OnProbe)
    return OnProbe(Target);
  return target_status{Target == Leader, {1, 90}, Term};
}

void simulated_fleet::report(const std::string &Text) {
  Violations.push_back(elapsedMsText(instant(1000s), Now) + ' ' + Text);
}

void simulated_fleet::continueTransaction(const std::string &Name,
                                          simulated_host &Simulated) {
  const auto Found = Simulated.Host->Groups.find(Group);
  auto &Open = Simulated.Transaction;
  if (Open && !mayContinueAtPrimary(*Simulated.Host, *Open, Now))
    Open.reset();
  if (Open && Open->Target != Leader)
    report(Name + " goes on with a transaction at " + Open->Target + " while " +
           Leader + " is primary");
  if (Open || !mayUsePrimary(*Simulated.Host, Group, Now))
    return;
  Open.emplace();
  Open->Group = Group;
  Open->Target = Found->second.Record->Primary;
  Open->PrimaryGeneration = Found->second.Record->Generation;
  Open->PrimaryLease = Simulated.Host->Lease.Id;
}

void simulated_fleet::checkRules() {
  for (auto &[Name, Simulated] : Hosts) {
    if (Now >= Simulated.SuspendedUntil)
      continueTransaction(Name, Simulated);
    const auto &Groups = Simulated.Host->Groups;
    const auto Found = Groups.find(Group);
    if (Found != Groups.end() && Found->second.Record &&
        Found->second.Record->Primary != Leader &&
        mayUsePrimary(*Simulated.Host, Group, Now))
      report(Name + " may use " + Found->second.Record->Primary + " while " +
             Leader + " is primary");
  }
}

} // namespace session_test

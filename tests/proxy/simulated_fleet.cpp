/// Store, targets and platform of the simulated fleet.
#include "simulated_fleet.hpp"

#include <algorithm>
#include <utility>

namespace session_test {

namespace {

constexpr duration Tick = 20ms;
constexpr duration CallTimeout = 1500ms;
constexpr duration MaxAnswerTime = 1200ms;
/// Events that wait for a suspended host reach it within this time, in an order
/// that differs between sockets.
constexpr duration ResumptionTime = 60ms;
constexpr duration LeaseLength = 1600ms;

} // namespace

proxy_settings fleetSettings() {
  proxy_settings Settings;
  Settings.Version = 1;
  Settings.Groups[Group] = {16};
  return Settings;
}

simulated_fleet::simulated_fleet(unsigned Seed, std::size_t HostCount,
                                 proxy_settings InForce)
    : Random(Seed), Settings(std::move(InForce)) {
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
  send(Name, events::store_reachability_changed{true});
  send(Name, events::settings_changed{Settings});
  send(Name, events::targets_listed{entries()});
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

std::vector<target_entry> simulated_fleet::entries() const {
  std::vector<target_entry> Entries;
  for (const std::string Id : {"a", "b", "c"}) {
    Entries.push_back(host_driver::makeEntry(Id, Id == Leader));
    Entries.back().Draining = Draining.contains(Id);
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
    sendLater(Name, CallTimeout, events::store_reachability_changed{false},
              "store");
    sendLater(Name, Span, events::store_reachability_changed{true}, "store");
  }
  Scheduled.emplace(Now + Span + Tick, [this] { announceTargets(); });
}

duration simulated_fleet::drawSpan(duration Least, duration Most) {
  return Least + duration(static_cast<duration::rep>(
                     draw() * static_cast<double>((Most - Least).count())));
}

void simulated_fleet::advanceTime(duration Span) {
  const instant End = Now + Span;
  while (Now < End) {
    const instant Next = Now + Tick;
    runScheduled(Next);
    Now = Next;
    endLeases();
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
    const duration Silence = Hosts.at(Name).WatchSilentUntil - Now;
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
    const instant From = std::max(Now, Simulated.WatchSilentUntil);
    sendLater(Name, From - Now + drawSpan(Tick, WatchLag), Event, "watch");
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
    revoke(Revoke->Lease);
  else if (const auto *Probe = std::get_if<effects::probe_target>(&Effect))
    answer(Name, Tick, [this, Target = Probe->Target, Call = Probe->Call] {
      return events::target_probed{Target, statusOf(Target), Call};
    });
  else if (OnEffect)
    OnEffect(Name, Effect);
}

duration simulated_fleet::drawDelay() {
  const auto Range = std::chrono::duration_cast<std::chrono::milliseconds>(
      Faults.MaxDelay - Faults.MinDelay);
  return Faults.MinDelay + std::chrono::milliseconds(static_cast<int>(
                               static_cast<double>(Range.count()) * draw()));
}

void simulated_fleet::revoke(std::uint64_t Lease) {
  const duration Delay = draw() < Faults.Late ? drawDelay() : duration(0);
  Scheduled.emplace(Now + Delay, [this, Lease] { Leases.erase(Lease); });
}

std::optional<target_status>
simulated_fleet::statusOf(const std::string &Target) const {
  if (OnProbe)
    return OnProbe(Target);
  return target_status{Target == Leader, {1, 90}, Term};
}

void simulated_fleet::renew(const std::string &Name, std::uint64_t Lease,
                            bool IsNew) {
  if (isStoreDown() || draw() < Faults.Rejected) {
    answer(Name, isStoreDown() ? CallTimeout : Tick, [SentAt = Now] {
      return events::lease_answered{0, {}, SentAt, false};
    });
    return;
  }
  const bool Lasts = IsNew || Leases.contains(Lease);
  if (Lasts)
    Leases[Lease] = Now + LeaseLength;
  const bool IsSlow = SlowAnswers > 0 && draw() < SlowAnswers;
  const duration Delay = IsSlow ? drawSpan(Tick, MaxAnswerTime) : Tick;
  answer(Name, Delay, [Lease, Lasts, SentAt = Now] {
    return events::lease_answered{Lasts ? Lease : 0, LeaseLength, SentAt, true};
  });
}

void simulated_fleet::carryOut(const std::string &Name,
                               const effects::change_records &Change) {
  const double Luck = draw();
  const auto Answer = [&](duration Delay, change_outcome Outcome,
                          std::uint64_t At) {
    events::change_ended Event{Change.Call, Outcome, At};
    if (Outcome == change_outcome::Conflict)
      Event.Current = expectedRecords(Change);
    answer(Name, Delay, [Event] { return Event; });
  };
  if (isStoreDown()) {
    Answer(CallTimeout, change_outcome::Unknown, 0);
  } else if (Luck < Faults.Rejected) {
    Answer(Tick, change_outcome::Rejected, 0);
  } else if (Luck < Faults.Rejected + Faults.Late) {
    Scheduled.emplace(Now + drawDelay(),
                      [this, Change] { (void)apply(Change); });
    Answer(CallTimeout, change_outcome::Unknown, 0);
  } else {
    const change_outcome Outcome = apply(Change);
    const bool IsLost = Luck < Faults.Rejected + Faults.Late + Faults.Lost;
    Answer(IsLost ? CallTimeout : Tick,
           IsLost ? change_outcome::Unknown : Outcome, Revision);
  }
}

change_outcome simulated_fleet::apply(const effects::change_records &Change) {
  for (const auto &[Key, Expected] : Change.Expected) {
    const auto Found = Records.find(Key);
    if ((Found == Records.end() ? 0 : Found->second.Revision) != Expected)
      return change_outcome::Conflict;
  }
  for (const store_write &Write : Change.Writes)
    if (Write.BoundToLease && !Leases.contains(Change.Lease))
      return change_outcome::LeaseGone;
  Revision += 1;
  for (const store_write &Write : Change.Writes)
    write(Write, Change.Lease);
  for (const std::string &Key : Change.Deletes)
    erase(Key);
  return change_outcome::Done;
}

std::vector<store_record>
simulated_fleet::expectedRecords(const effects::change_records &Change) const {
  std::vector<store_record> Existing;
  for (const auto &[Key, Expected] : Change.Expected)
    if (const auto Found = Records.find(Key); Found != Records.end())
      Existing.push_back(Found->second);
  return Existing;
}

void simulated_fleet::write(const store_write &Write, std::uint64_t Lease) {
  const store_record Record{Write.Key, Write.Value, Revision,
                            Write.BoundToLease ? Lease : 0};
  Records[Write.Key] = Record;
  broadcast(events::record_changed{Record});
}

void simulated_fleet::erase(const std::string &Key) {
  Records.erase(Key);
  broadcast(events::record_removed{Key, Revision});
}

void simulated_fleet::endLeases() {
  if (isStoreDown())
    return;
  std::erase_if(Leases, [&](const auto &Lease) { return Lease.second <= Now; });
  std::vector<std::string> Ended;
  for (const auto &[Key, Record] : Records)
    if (Record.Lease != 0 && !Leases.contains(Record.Lease))
      Ended.push_back(Key);
  for (const std::string &Key : Ended) {
    Revision += 1;
    erase(Key);
  }
}

void simulated_fleet::carryOut(const std::string &Name,
                               const effects::read_records &Read) {
  events::records_read Event{Read.Call, Read.Prefix, {}, true, Revision};
  if (isStoreDown()) {
    Event.Answered = false;
    answer(Name, CallTimeout, [Event] { return Event; });
    return;
  }
  for (const auto &[Key, Record] : Records)
    if (Key.starts_with(Read.Prefix))
      Event.Records.push_back(Record);
  answer(Name, Tick, [Event] { return Event; });
}

void simulated_fleet::carryOut(const std::string &Name,
                               const effects::order_promotion &Order) {
  const bool Waits = draw() < SlowOrders;
  const auto Wait =
      std::chrono::milliseconds(Waits ? static_cast<int>(2000 * draw()) : 0);
  Scheduled.emplace(Now + Wait, [this, Name, Process = Hosts.at(Name).Process,
                                 Order] { sendOrder(Name, Process, Order); });
}

void simulated_fleet::sendOrder(const std::string &Name, unsigned Process,
                                const effects::order_promotion &Order) {
  const simulated_host &Simulated = Hosts.at(Name);
  if (Simulated.Process != Process)
    return;
  if (Now < Simulated.SuspendedUntil) {
    Scheduled.emplace(Simulated.SuspendedUntil, [this, Name, Process, Order] {
      sendOrder(Name, Process, Order);
    });
    return;
  }
  const bool Sent = mayOrder(*Simulated.Host, Order, Now);
  answer(Name, Tick, [Order, Sent] {
    return events::promotion_answered{Order.Group, Order.Call,
                                      Sent ? order_outcome::Accepted
                                           : order_outcome::NotSent};
  });
  if (!Sent) {
    UnsentOrders += 1;
    return;
  }
  if (Order.FencingToken < HighestToken)
    Violations.push_back(Name + " orders with an earlier token");
  HighestToken = std::max(HighestToken, Order.FencingToken);
  Scheduled.emplace(Now + PromotionTime,
                    [this, Target = Order.Target] { promote(Target); });
}

void simulated_fleet::promote(const std::string &Target) {
  if (Target == Leader)
    return;
  Leader = Target;
  Term += 1;
  Promotions += 1;
  if (OnPromotion)
    OnPromotion(Target);
  announceTargets();
}

void simulated_fleet::continueTransaction(const std::string &Name,
                                          simulated_host &Simulated) {
  const auto Found = Simulated.Host->Groups.find(Group);
  auto &Open = Simulated.Transaction;
  if (Open && !mayContinueAtPrimary(*Simulated.Host, *Open, Now))
    Open.reset();
  if (Open && Open->Target != Leader)
    Violations.push_back(Name + " goes on with a transaction at " +
                         Open->Target + " while " + Leader + " is primary");
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
      Violations.push_back(Name + " may use " + Found->second.Record->Primary +
                           " while " + Leader + " is primary");
  }
}

} // namespace session_test

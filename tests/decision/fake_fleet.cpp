/// Virtual time, event delivery, replication and faults of the fake fleet.
#include "fake_fleet.hpp"

#include <algorithm>

namespace bronzespar::test {

namespace {

constexpr duration NetworkDelay = 1ms;
constexpr duration UnreachableTimeout = 100ms;
constexpr duration TickPeriod = 5ms;
constexpr duration PollPeriod = 5ms;

std::string memberText(int Number) {
  const std::string Id = std::to_string(Number);
  return "[/t/groups/g/members/m" + Id + "]\ndata_centre = dc" + Id +
         "\nstatements = 127.0.0.1:1" + Id + "01\nmaintenance = 127.0.0.1:1" +
         Id + "02\nreplication = 127.0.0.1:1" + Id +
         "03\nslots = 2\nconnections = 6\n";
}

std::string accountText(const std::string &Id) {
  return "[/t/accounts/" + Id + "]\nrate = 100000\nburst = 100000\n[/t/keys/" +
         Id + "]\naccount = " + Id +
         "\ndigest = " + digestKey(secret("key-" + Id)) + "\n";
}

std::string dataCentreText(int Number) {
  return "[/t/data-centres/dc" + std::to_string(Number) +
         "]\nregion = r\nhosts = 1\n" + memberText(Number);
}

} // namespace

std::string fleetText() {
  std::string Text = "[/t/sessions]\ntoken_key = 0123456789abcdef\n";
  for (int Number = 1; Number <= 3; ++Number)
    Text += dataCentreText(Number);
  Text += accountText("alpha");
  Text += accountText("beta");
  return Text + "[/t/routes/main]\ngroup = g\naccounts = *\ndeadline_ms = "
                "2000\n[/t/routes/own]\ngroup = g\naccounts = alpha\n";
}

fake_fleet::fake_fleet(std::uint64_t Seed) : Random(Seed) {
  for (int Number = 1; Number <= 3; ++Number) {
    const std::string Id = std::to_string(Number);
    fake_host &Host = Hosts[host_id("h" + Id)];
    Host.Settings.Id = host_id("h" + Id);
    Host.Settings.DataCentre = data_centre_id("dc" + Id);
    Host.Settings.ChartDirectory = BRONZESPAR_SOURCE_DIR "/charts";
    Host.Settings.Peers = {"127.0.0.1",
                           static_cast<std::uint16_t>(8200 + Number)};
    Host.State = makeHostState(Host.Settings, Seed + Number, 1000).value();
  }
  const auto Fleet = parseFleetSettings(fleetText(), "test").value();
  for (const target_settings &Target : Fleet.Groups[0].Members) {
    fake_member &Member = Members[Target.Id];
    Member.Settings = Target;
    Member.Primary = "m1";
    Member.HeardAt = Now;
  }
  member("m1").Role = member_role::Primary;
  std::vector<listed_host> List;
  for (const auto &[Id, Host] : Hosts)
    List.push_back({Id, Host.Settings.DataCentre, Host.Settings.Peers, false});
  for (auto &[Id, Host] : Hosts)
    stepHost(Host, events::hosts_listed{List});
  applySettings(1, fleetText());
  tick();
  pollMembers();
}

void fake_fleet::applySettings(settings_revision Revision,
                               const std::string &Text) {
  for (const auto &[Id, Host] : Hosts)
    scheduleEvent(Id, events::settings_read{Revision, Text}, NetworkDelay);
}

void fake_fleet::schedule(duration Delay, std::function<void()> Action) {
  Actions.push({Now + Delay, NextSequence++, std::move(Action)});
}

void fake_fleet::run(duration Span) {
  runUntil([] { return false; }, Span);
}

void fake_fleet::runUntil(const std::function<bool()> &Done, duration Limit) {
  const instant End = Now + Limit;
  while (!Actions.empty() && Actions.top().When <= End && !Done()) {
    const timed_action Next = Actions.top();
    Actions.pop();
    Now = Next.When;
    Next.Action();
  }
  if (!Done())
    Now = End;
}

void fake_fleet::scheduleEvent(const host_id &Id, const event &Event,
                               duration Delay) {
  schedule(Delay, [this, Id, Event] {
    fake_host &Host = Hosts.at(Id);
    if (Host.Dead || Host.Stopped)
      return;
    if (Host.Paused)
      Host.DeferredEvents.push_back(Event);
    else
      stepHost(Host, Event);
  });
}

void fake_fleet::stepHost(fake_host &Host, const event &Event) {
  effect_list Effects;
  step(*Host.State, Event, Now, Effects);
  for (const effect &Effect : Effects)
    perform(Host, Effect);
  if (AfterStep)
    AfterStep();
}

void fake_fleet::tick() {
  for (auto &[Id, Host] : Hosts)
    if (!Host.Dead && !Host.Paused && !Host.Stopped)
      stepHost(Host, events::tick{});
  schedule(TickPeriod, [this] { tick(); });
}

fake_member *fake_fleet::primary() {
  fake_member *Best = nullptr;
  for (auto &[Id, Member] : Members)
    if (Member.Role == member_role::Primary &&
        (Best == nullptr || Best->Term < Member.Term))
      Best = &Member;
  return Best;
}

/// Replicates the primaries' logs and sends member reports to watching hosts.
void fake_fleet::pollMembers() {
  for (auto &[Id, Replica] : Members)
    for (const auto &[Other, Primary] : Members)
      if (!Replica.Partitioned && !Primary.Partitioned && !Replica.Frozen &&
          !Primary.Frozen && !Replica.Lagging)
        replicate(Primary, Replica, Now);
  for (const auto &Watch : Watches) {
    const auto &[Host, Target] = Watch;
    const fake_member &Member = Members.at(Target);
    if (!Member.Partitioned && !Member.Frozen) {
      ReportedAt[Watch] = Now;
      scheduleEvent(
          Host, events::member_reported{Target, makeReport(Member, Now), Now},
          NetworkDelay);
    } else if (Now - ReportedAt[Watch] >= UnreachableTimeout) {
      ReportedAt[Watch] = Now;
      scheduleEvent(Host, events::member_unreachable{Target}, NetworkDelay);
    }
  }
  schedule(PollPeriod, [this] { pollMembers(); });
}

bool fake_fleet::canReach(const host_id &Host, const host_id &Other) const {
  return !Hosts.at(Other).Dead && !Hosts.at(Other).Stopped &&
         PartitionedLinks.count({Host, Other}) == 0;
}

void fake_fleet::checkLimits(const fake_host &Host, const target_id &Target) {
  const target_settings &Settings = Members.at(Target).Settings;
  const auto Count = [&Target](const auto &Items) {
    return std::count_if(Items.begin(), Items.end(), [&](const auto &Item) {
      return Item.second == Target;
    });
  };
  if (Count(Host.OpenConnections) > Settings.Connections)
    Violations.push_back("too many connections to " + Target.Value);
  if (Count(Host.OutstandingStatements) > Settings.Slots)
    Violations.push_back("too many statements at " + Target.Value);
}

void fake_fleet::kill(const host_id &Id) {
  Hosts.at(Id).Dead = true;
  for (auto &[Target, Member] : Members)
    std::erase_if(Member.Connections,
                  [&](const auto &Item) { return Item.first.first == Id; });
  for (const auto &[Other, Host] : Hosts)
    if (Other != Id && PartitionedLinks.count({Other, Id}) == 0)
      scheduleEvent(Other, events::peer_disconnected{Id}, NetworkDelay);
}

void fake_fleet::pause(const host_id &Id) { Hosts.at(Id).Paused = true; }

void fake_fleet::resume(const host_id &Id) {
  fake_host &Host = Hosts.at(Id);
  if (!Host.Paused)
    return;
  Host.Paused = false;
  const std::vector<event> Deferred = std::move(Host.DeferredEvents);
  Host.DeferredEvents.clear();
  for (const event &Event : Deferred)
    scheduleEvent(Id, Event, duration{});
}

void fake_fleet::setPeersPartitioned(const host_id &Left, const host_id &Right,
                                     bool Partitioned) {
  for (const auto &Link : {std::pair(Left, Right), std::pair(Right, Left)}) {
    if (Partitioned)
      PartitionedLinks.insert(Link);
    else
      PartitionedLinks.erase(Link);
  }
}

void fake_fleet::unfreeze(const target_id &Target) {
  Members.at(Target).Frozen = false;
  for (const auto &Request : DeferredRequests[Target])
    schedule(duration{}, Request);
  DeferredRequests[Target].clear();
}

void fake_fleet::makeConnectionsUnresponsive(const target_id &Target) {
  for (auto &[Key, Connection] : Members.at(Target).Connections)
    Connection.Unresponsive = true;
}

void fake_fleet::dropConnections(const target_id &Target) {
  fake_member &Member = Members.at(Target);
  const auto Connections = Member.Connections;
  for (const auto &[Key, Connection] : Connections)
    disconnect(Key.first, Key.second, Target);
}

} // namespace bronzespar::test

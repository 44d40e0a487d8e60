/// Evidence for the loss of a primary in a large fleet.
#include "coordinator_driver.hpp"

#include <proxy/parts.hpp>

using namespace session_test;

namespace {

constexpr unsigned HostsPerDataCentre = 20;
constexpr unsigned MaxWitnessCount = 15;

/// Lists 60 hosts in three data centres; this host is one of them.
void listFleet(host_driver &Driver) {
  const std::vector<std::string> DataCentres = {"suva", "nadi", "lautoka"};
  for (unsigned Host = 0; Host < 3 * HostsPerDataCentre; ++Host) {
    host_record Record;
    Record.PeerEndpoint = {"10.0.2.1", static_cast<std::uint16_t>(7000 + Host)};
    Record.DataCentre = DataCentres[Host % 3];
    Driver.send(events::record_changed{{"hosts/peer-" + std::to_string(Host),
                                        formatRecord(Record), ++Driver.Revision,
                                        100 + Host}});
  }
}

const std::vector<std::string> &witnesses(host_driver &Driver) {
  group_state &State = Driver.Host->Groups.at(Group);
  (void)countReports(*Driver.Host, Group, State);
  return State.Witness.Names;
}

/// Lets a host report primary "a". A suspicion is not a finding.
void report(host_driver &Driver, const std::string &Host, bool Suspicion) {
  listed_peer Peer = Driver.Host->Hosts.at(Host);
  host_record &Record = Peer.Record;
  (Suspicion ? Record.SuspectedPrimaries : Record.UnreachablePrimaries)[Group] =
      "a";
  Driver.send(events::record_changed{
      {"hosts/" + Host, formatRecord(Record), ++Driver.Revision, Peer.Lease}});
}

bool beginsPromotion(host_driver &Driver) {
  Driver.advanceTime(40ms);
  const auto LogLines = Driver.takeEffects<effects::write_log>();
  return std::any_of(LogLines.begin(), LogLines.end(), [](const auto &Line) {
    return Line.Event == "promotion.begun";
  });
}

/// Number of status requests to the primary, none of which is answered.
std::size_t probeInVain(host_driver &Driver, duration Span) {
  std::size_t Count = 0;
  for (const instant End = Driver.Now + Span; Driver.Now < End;) {
    Driver.advanceTime(20ms);
    for (const auto &Probe : Driver.takeEffects<effects::probe_target>()) {
      Count += 1;
      Driver.send(events::target_probed{Probe.Target, std::nullopt});
    }
  }
  return Count;
}

} // namespace

TEST_CASE("Few hosts in every data centre are witnesses of a large fleet") {
  host_driver Driver;
  Driver.becomeReady();
  listFleet(Driver);
  const auto &Names = witnesses(Driver);
  CHECK(Names.size() <= MaxWitnessCount);
  std::map<std::string, unsigned> Counts;
  for (const std::string &Name : Names)
    Counts[Driver.Host->Hosts.at(Name).Record.DataCentre] += 1;
  REQUIRE(Counts.size() == 3);
  for (const auto &[DataCentre, Count] : Counts)
    CHECK(Count == Names.size() / 3);
}

TEST_CASE("Half of the witnesses suffice to replace a primary") {
  host_driver Driver;
  becomeCoordinator(Driver);
  listFleet(Driver);
  const std::vector<std::string> Names = witnesses(Driver);
  for (std::size_t Index = 0; Index + 1 < (Names.size() + 1) / 2; ++Index)
    report(Driver, Names[Index], false);
  CHECK_FALSE(beginsPromotion(Driver));
  report(Driver, Names[(Names.size() + 1) / 2 - 1], false);
  CHECK(beginsPromotion(Driver));
}

TEST_CASE("Suspicions and reports of other hosts do not replace a primary") {
  host_driver Driver;
  becomeCoordinator(Driver);
  listFleet(Driver);
  const std::vector<std::string> Names = witnesses(Driver);
  for (unsigned Host = 0; Host < 3 * HostsPerDataCentre; ++Host) {
    const std::string Name = "peer-" + std::to_string(Host);
    const bool IsWitness =
        std::find(Names.begin(), Names.end(), Name) != Names.end();
    report(Driver, Name, IsWitness);
  }
  CHECK_FALSE(beginsPromotion(Driver));
}

TEST_CASE("A witness asks a suspected primary and reports its silence") {
  host_driver Driver;
  Driver.becomeReady();
  listFleet(Driver);
  group_state &State = Driver.Host->Groups.at(Group);
  (void)witnesses(Driver);
  State.Witness.Names.push_back("host-1");
  CHECK(probeInVain(Driver, 1s) == 0);
  Driver.grantLease(7);
  report(Driver, "peer-1", true);
  const std::size_t Probes = probeInVain(Driver, 1s);
  CHECK(Probes >= 3);
  CHECK(Probes <= 10);
  CHECK(State.PrimaryUnreachable);
  Driver.send(events::target_probed{"a", target_status{}});
  CHECK_FALSE(State.PrimaryUnreachable);
}

TEST_CASE("Only the first hosts that suspect a primary write to the store") {
  // Hundreds of hosts miss the owner at the same time.
  host_driver Driver;
  Driver.becomeReady();
  listFleet(Driver);
  report(Driver, "peer-1", true);
  step_context Step{*Driver.Host, Driver.Now, Driver.Effects};
  suspectPrimary(Step, "a");
  Driver.advanceTime(40ms);
  CHECK_FALSE(Driver.takeRegistration());
}

TEST_CASE("Hosts with a fast link watch the store for their data centre") {
  // A host with a link of 10 Mbit/s passed on a document of 256 KB to ten
  // others; they had it 10 s late.
  host_driver Driver;
  Driver.becomeReady();
  listFleet(Driver);
  endpoint Fast;
  for (const std::string Name : {"peer-0", "peer-3"}) {
    host_record Record = Driver.Host->Hosts.at(Name).Record;
    REQUIRE(Record.DataCentre == "suva");
    Record.LinkMbps = 200;
    Fast = Record.PeerEndpoint;
    Driver.send(events::record_changed{
        {"hosts/" + Name, formatRecord(Record), ++Driver.Revision, 98}});
  }
  Driver.Effects.clear();
  Driver.removeRecord("hosts/peer-59");
  const auto Sources = Driver.takeEffects<effects::set_watch_sources>();
  REQUIRE(Sources.size() == 1);
  REQUIRE(Sources.front().Sources.size() == 2);
  CHECK(std::count(Sources.front().Sources.begin(),
                   Sources.front().Sources.end(), Fast) == 1);
  CHECK(Sources.front().Sources.front().Port % 3 ==
        Sources.front().Sources.back().Port % 3);
}

namespace {

/// Watch sources that a host in a large fleet publishes when another one
/// leaves.
std::vector<effects::set_watch_sources> publishedSources(host_driver &Driver) {
  Driver.becomeReady();
  listFleet(Driver);
  Driver.Effects.clear();
  Driver.removeRecord("hosts/peer-59");
  auto Published = Driver.takeEffects<effects::set_watch_sources>();
  REQUIRE(Published.size() == 1);
  return Published;
}

} // namespace

TEST_CASE("A watch source that comes back at another address is asked there") {
  host_driver Driver;
  auto Published = publishedSources(Driver);
  REQUIRE(Published.front().Sources.size() == 2);
  const unsigned Port = Published.front().Sources.front().Port;
  const std::string Name = "peer-" + std::to_string(Port - 7000);
  host_record Record = Driver.Host->Hosts.at(Name).Record;
  Record.PeerEndpoint.Address = "10.0.2.9";
  Driver.Effects.clear();
  Driver.send(events::record_changed{
      {"hosts/" + Name, formatRecord(Record), ++Driver.Revision, 999}});
  Published = Driver.takeEffects<effects::set_watch_sources>();
  REQUIRE(Published.size() == 1);
  CHECK(Published.front().Sources.front() == Record.PeerEndpoint);
}

TEST_CASE("A watch source that leaves or gets a slower link is replaced") {
  host_driver Driver;
  auto Published = publishedSources(Driver);
  const endpoint Source = Published.front().Sources.front();
  const std::string Name = "peer-" + std::to_string(Source.Port - 7000);
  host_record Record = Driver.Host->Hosts.at(Name).Record;
  SECTION("leaves") { Record.Leaving = true; }
  SECTION("slower") {
    for (auto &[Other, Peer] : Driver.Host->Hosts)
      Peer.Record.LinkMbps = 200;
    Record.LinkMbps = 10;
  }
  Driver.send(events::record_changed{
      {"hosts/" + Name, formatRecord(Record), ++Driver.Revision, 999}});
  Published = Driver.takeEffects<effects::set_watch_sources>();
  REQUIRE(Published.size() == 1);
  const auto &Sources = Published.front().Sources;
  CHECK(std::find(Sources.begin(), Sources.end(), Source) == Sources.end());
}

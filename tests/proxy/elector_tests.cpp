/// Use of primaries during a store outage.
#include "host_driver.hpp"

#include <proxy/parts.hpp>

using namespace session_test;

namespace {

constexpr std::uint64_t Generation = 1;

void listHost(host_driver &Driver, const std::string &Name,
              std::uint64_t Acknowledged = 0,
              const std::string &DataCentre = "suva") {
  host_record Record;
  Record.DataCentre = DataCentre;
  Record.PeerEndpoint = {"10.0.0.2", 7560};
  if (Acknowledged > 0)
    Record.AcknowledgedClosures[Group] = Acknowledged;
  Driver.send(events::record_changed{
      {"hosts/" + Name, formatRecord(Record), ++Driver.Revision, 8}});
}

/// A host that uses a primary with Count electors, of which it is one.
host_driver withElectors(unsigned Count) {
  host_driver Driver;
  Driver.Electors.clear();
  for (unsigned Host = 1; Host <= Count; ++Host)
    Driver.Electors.push_back("host-" + std::to_string(Host));
  Driver.becomeReady();
  for (unsigned Host = 2; Host <= Count; ++Host)
    listHost(Driver, "host-" + std::to_string(Host));
  return Driver;
}

/// Lets time pass without any answer of the store. Voter votes in each round,
/// unless it is empty.
void passStoreOutage(host_driver &Driver, duration Span,
                     const std::string &Voter) {
  for (const instant End = Driver.Now + Span; Driver.Now < End;) {
    Driver.advanceTime(20ms);
    const auto Requests = Driver.takeEffects<effects::request_vote>();
    if (!Requests.empty() && !Voter.empty())
      Driver.send(events::vote_received{
          {Requests.front().Request.Round, Voter, {Group}}});
  }
}

bool usesPrimary(host_driver &Driver) {
  return mayUsePrimary(*Driver.Host, Group, Driver.Now);
}

/// Requests a vote for a generation. \returns The groups that the host votes
/// for.
std::vector<std::string> requestVote(host_driver &Driver,
                                     std::uint64_t Requested) {
  Driver.takeEffects<effects::send_vote>();
  Driver.send(events::vote_requested{"#1", {4, {{Group, Requested}}}});
  const auto Sent = Driver.takeEffects<effects::send_vote>();
  REQUIRE(Sent.size() == 1);
  CHECK(Sent.front().Vote.Round == 4);
  return Sent.front().Vote.Groups;
}

bool hasAcknowledged(host_driver &Driver, std::uint64_t Closed) {
  const auto Record = Driver.takeRegistration();
  return Record && Record->AcknowledgedClosures.contains(Group) &&
         Record->AcknowledgedClosures.at(Group) == Closed;
}

} // namespace

TEST_CASE("A majority of votes keeps a primary in use during a store outage") {
  // In the run deploy/days/store-lapse.toml, no statement that needs a primary
  // was served from 1.4 s after the store's last answer.
  host_driver Driver = withElectors(3);
  passStoreOutage(Driver, 4s, "host-3");
  CHECK(usesPrimary(Driver));
}

TEST_CASE("An elector's own vote is no majority") {
  host_driver Driver = withElectors(3);
  passStoreOutage(Driver, 4s, "");
  CHECK_FALSE(usesPrimary(Driver));
}

TEST_CASE("Half of the electors are no majority") {
  host_driver Driver;
  Driver.Electors = {"host-1", "host-2", "host-3", "host-4"};
  Driver.becomeReady();
  listHost(Driver, "host-2");
  passStoreOutage(Driver, 4s, "host-2");
  CHECK_FALSE(usesPrimary(Driver));
}

TEST_CASE("A host that is no elector needs a majority of the electors") {
  host_driver Driver;
  Driver.Electors = {"host-2"};
  Driver.becomeReady();
  listHost(Driver, "host-2");
  passStoreOutage(Driver, 4s, "host-2");
  CHECK(usesPrimary(Driver));
}

TEST_CASE("The vote of a host that is no elector does not count") {
  host_driver Driver = withElectors(3);
  passStoreOutage(Driver, 4s, "host-9");
  CHECK_FALSE(usesPrimary(Driver));
}

TEST_CASE("A vote's lifetime counts from the request") {
  host_driver Driver = withElectors(3);
  passStoreOutage(Driver, 3s, "host-2");
  REQUIRE(usesPrimary(Driver));
  Driver.Now += VoteLifetime;
  CHECK_FALSE(usesPrimary(Driver));
}

TEST_CASE("A vote for an earlier round does not count") {
  host_driver Driver = withElectors(3);
  passStoreOutage(Driver, 1500ms, "");
  Driver.takeEffects<effects::request_vote>();
  Driver.advanceTime(320ms);
  const auto Requests = Driver.takeEffects<effects::request_vote>();
  REQUIRE_FALSE(Requests.empty());
  Driver.advanceTime(600ms);
  Driver.send(events::vote_received{
      {Requests.front().Request.Round, "host-2", {Group}}});
  CHECK_FALSE(usesPrimary(Driver));
}

TEST_CASE("Votes do not extend the use of a primary beyond the limit") {
  host_driver Driver = withElectors(3);
  passStoreOutage(Driver, MaxUseWithoutStore + 1s, "host-2");
  CHECK_FALSE(usesPrimary(Driver));
}

TEST_CASE("A closed record ends the use of the primary despite votes") {
  host_driver Driver = withElectors(3);
  passStoreOutage(Driver, 3s, "host-2");
  Driver.writeGroupRecord("a", 2, false);
  CHECK_FALSE(usesPrimary(Driver));
  Driver.writeGroupRecord("b", 3, true);
  CHECK_FALSE(usesPrimary(Driver));
}

TEST_CASE(
    "An elector votes only in an outage and for the generation it knows") {
  host_driver Driver = withElectors(3);
  Driver.grantLease(7);
  CHECK(requestVote(Driver, Generation).empty()); // The store still answers.
  Driver.advanceTime(3s);
  CHECK(requestVote(Driver, Generation) == std::vector<std::string>{Group});
  CHECK(requestVote(Driver, Generation + 1).empty());
  Driver.writeGroupRecord("a", 2, false);
  CHECK(requestVote(Driver, Generation).empty());
  CHECK(requestVote(Driver, 2).empty());
}

TEST_CASE("A restarted elector does not vote before it has read the records") {
  host_driver Driver;
  Driver.Electors = {"host-1", "host-2", "host-3"};
  Driver.send(events::store_reachability_changed{true});
  Driver.applySettings();
  Driver.writeGroupRecord("a", Generation, true);
  Driver.advanceTime(2s);
  CHECK(requestVote(Driver, Generation).empty());
}

TEST_CASE("An elector acknowledges only after its votes have expired") {
  host_driver Driver = withElectors(3);
  Driver.advanceTime(3s);
  REQUIRE_FALSE(requestVote(Driver, Generation).empty());
  Driver.writeGroupRecord("a", 2, false);
  Driver.grantLease(7);
  Driver.advanceTime(VoteLifetime - 40ms);
  CHECK_FALSE(hasAcknowledged(Driver, 2));
  Driver.advanceTime(80ms);
  CHECK(hasAcknowledged(Driver, 2));
}

TEST_CASE(
    "A promotion waits for half of the electors, even if none is listed") {
  host_driver Driver;
  Driver.Electors = {"host-1", "host-2", "host-3", "host-4"};
  Driver.becomeReady();
  Driver.writeGroupRecord("a", 2, false);
  Driver.advanceTime(100ms);
  listHost(Driver, "host-1", 2);
  CHECK_FALSE(haveElectorsAcknowledged(*Driver.Host, Group));
  listHost(Driver, "host-3", 1);
  CHECK_FALSE(haveElectorsAcknowledged(*Driver.Host, Group));
  listHost(Driver, "host-3", 2);
  CHECK(haveElectorsAcknowledged(*Driver.Host, Group));
}

TEST_CASE("Electors that came back or left recently are not replaced") {
  // In the run pwfc-refill trouble-2, each partition and each restart closed
  // the records.
  host_driver Driver;
  Driver.Electors = {"host-1", "host-2", "host-3", "host-4"};
  Driver.becomeReady();
  group_state &State = Driver.Host->Groups.at(Group);
  const auto IsStaleAfter = [&](duration Span) {
    return areElectorsStale(*Driver.Host, State, Driver.Now + Span);
  };
  CHECK_FALSE(IsStaleAfter(0s));
  for (const std::string Name : {"host-2", "host-3", "host-4"})
    listHost(Driver, Name);
  CHECK_FALSE(IsStaleAfter(31s));
  Driver.advanceTime(30s);
  Driver.removeRecord("hosts/host-4");
  CHECK_FALSE(IsStaleAfter(4s));
  CHECK_FALSE(IsStaleAfter(6s));
  listHost(Driver, "host-4");
  CHECK_FALSE(IsStaleAfter(15s));
}

TEST_CASE("An elector that does not come back is replaced") {
  // In the run pwfc-refill trouble-3, one of six electors had been removed when
  // the data centre of three was partitioned. Its primaries were replaced only
  // after 6 s, when it was back.
  host_driver Driver = withElectors(4);
  group_state &State = Driver.Host->Groups.at(Group);
  Driver.removeRecord("hosts/host-4");
  CHECK_FALSE(areElectorsStale(*Driver.Host, State, Driver.Now + 6s));
  CHECK_FALSE(areElectorsStale(*Driver.Host, State, Driver.Now + 12s));
  CHECK(areElectorsStale(*Driver.Host, State, Driver.Now + 15s));
}

TEST_CASE(
    "Electors are not replaced while the closed record would wait for them") {
  host_driver Driver = withElectors(4);
  group_state &State = Driver.Host->Groups.at(Group);
  for (const std::string Name : {"host-2", "host-3", "host-4"})
    Driver.removeRecord("hosts/" + Name);
  CHECK_FALSE(areElectorsStale(*Driver.Host, State, Driver.Now + 6s));
  CHECK_FALSE(areElectorsStale(*Driver.Host, State, Driver.Now + 10s));
  CHECK_FALSE(areElectorsStale(*Driver.Host, State, Driver.Now + 12s));
  CHECK(areElectorsStale(*Driver.Host, State, Driver.Now + 21s));
}

TEST_CASE("An expired host may rely on electors until the limit") {
  host_driver Driver = withElectors(3);
  CHECK_FALSE(haveExpiredHostsStopped(*Driver.Host, Driver.Now));
  const duration Limit = MaxUseWithoutStore + VoteLifetime;
  CHECK(haveExpiredHostsStopped(*Driver.Host, Driver.Now + Limit));
  Driver.advanceTime(5s);
  Driver.removeRecord("hosts/host-3");
  CHECK_FALSE(haveExpiredHostsStopped(*Driver.Host, Driver.Now + Limit - 1s));
  CHECK(haveExpiredHostsStopped(*Driver.Host, Driver.Now + Limit));
}

TEST_CASE("Hosts that are missing in a read of the list count as expired") {
  host_driver Driver = withElectors(3);
  Driver.advanceTime(MaxUseWithoutStore);
  Driver.writeGroupRecord("a", 2, false);
  Driver.Host->Groups.at(Group).Promotion.HostsCall = 999;
  Driver.send(events::records_read{
      999, std::string(HostsPrefix), {}, true, ++Driver.Revision});
  CHECK(Driver.Host->ExpiredHosts.contains("host-3"));
}

TEST_CASE("No data centre holds more than half of the electors") {
  // In the run pwfc-refill trouble-2, three of five electors were in the data
  // centre that was partitioned. Its primaries were replaced only when it was
  // back.
  host_driver Driver;
  Driver.becomeReady();
  listHost(Driver, "host-2");
  listHost(Driver, "host-3");
  listHost(Driver, "host-4", 0, "nadi");
  listHost(Driver, "host-5", 0, "lautoka");
  const auto Electors = chooseElectors(*Driver.Host, Driver.Now);
  CHECK(Electors.size() == 4);
  CHECK(std::count(Electors.begin(), Electors.end(), "host-4") == 1);
  CHECK(std::count(Electors.begin(), Electors.end(), "host-5") == 1);
}

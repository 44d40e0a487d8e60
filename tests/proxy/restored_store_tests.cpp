/// A host whose store came back from an older copy.
#include "coordinator_driver.hpp"

using namespace session_test;

namespace {

/// Length of the leases that the driver grants, and the part that is relied on.
constexpr duration LeaseLength = 2000ms;
constexpr duration ReliedOn = 1800ms;

std::uint64_t firstRevision(std::uint64_t Era) { return Era << 40; }

void restoreStore(host_driver &Driver, std::uint64_t Era) {
  Driver.send(events::store_restored{Era});
  Driver.Revision = firstRevision(Era) + 5;
}

/// A host that uses primary "a" in generation 1, as the store's second era
/// begins.
host_driver makeRestored() {
  host_driver Driver;
  Driver.becomeReady();
  Driver.send(events::store_restored{1});
  Driver.Effects.clear();
  restoreStore(Driver, 2);
  return Driver;
}

std::vector<effects::change_records> takeGroupChanges(host_driver &Driver) {
  std::vector<effects::change_records> Changes;
  for (auto &Change : Driver.takeEffects<effects::change_records>())
    if (!Change.Writes.empty() &&
        Change.Writes.front().Key.starts_with(GroupsPrefix))
      Changes.push_back(std::move(Change));
  return Changes;
}

/// Registers the host under lease 8, and lets it read the store's copy.
void registerAgain(host_driver &Driver, const std::string &Primary,
                   std::uint64_t Generation) {
  Driver.advanceTime(20ms);
  Driver.grantLease(8);
  Driver.send(events::tick{});
  REQUIRE(Driver.answerRegistration());
  Driver.send(events::tick{});
  REQUIRE(Driver.answerGroupsRead(Primary, Generation, true));
}

bool mayUse(const host_driver &Driver) {
  return mayUsePrimary(*Driver.Host, Group, Driver.Now);
}

} // namespace

TEST_CASE("The first era that a host learns of is no restore") {
  host_driver Driver;
  Driver.becomeReady();
  Driver.send(events::store_restored{3});
  CHECK(Driver.Host->Lease.Id == 7);
  CHECK(mayUse(Driver));
}

TEST_CASE("An era that goes backwards changes nothing") {
  host_driver Driver = makeRestored();
  registerAgain(Driver, "a", 1);
  Driver.send(events::store_restored{1});
  CHECK(Driver.Host->StoreEra == 2);
  CHECK(Driver.Host->Lease.Id == 8);
}

TEST_CASE("A lease of an earlier era is not renewed, and allows the use of "
          "primaries until it ends") {
  host_driver Driver = makeRestored();
  const instant LeaseEnd = Driver.Now + ReliedOn;
  CHECK(mayUse(Driver));
  Driver.advanceTime(20ms);
  CHECK(Driver.takeEffects<effects::renew_lease>().empty());
  CHECK(Driver.takeEffects<effects::grant_lease>().size() == 1);
  Driver.advanceTime(LeaseEnd - Driver.Now - 20ms);
  CHECK(mayUse(Driver));
  Driver.advanceTime(20ms);
  CHECK_FALSE(mayUse(Driver));
}

TEST_CASE("An answer to a lease call of an earlier era is void") {
  host_driver Driver;
  Driver.becomeReady();
  Driver.send(events::store_restored{1});
  Driver.advanceTime(800ms);
  REQUIRE(Driver.takeEffects<effects::renew_lease>().size() == 1);
  restoreStore(Driver, 2);
  Driver.grantLease(7);
  CHECK(Driver.Host->Lease.Id == 0);
  Driver.advanceTime(20ms);
  CHECK(Driver.takeEffects<effects::grant_lease>().size() == 1);
}

TEST_CASE("A host confirms the record whose primary it was allowed to use") {
  host_driver Driver = makeRestored();
  registerAgain(Driver, "a", 1);
  const std::uint64_t Copied = Driver.Revision;
  Driver.advanceTime(20ms);
  const auto Changes = takeGroupChanges(Driver);
  REQUIRE(Changes.size() == 1);
  CHECK(Changes[0].Expected.front().second == Copied);
  const auto Written = parseGroupRecord(Changes[0].Writes.front().Value);
  REQUIRE(Written);
  CHECK(Written->Open);
  CHECK(Written->Generation == 1);
  CHECK(Written->Era == 2);
  Driver.send(events::change_ended{Changes[0].Call, change_outcome::Done,
                                   ++Driver.Revision});
  Driver.advanceTime(600ms);
  Driver.grantLease(8);
  Driver.advanceTime(LeaseLength - 400ms);
  CHECK(mayUse(Driver));
}

TEST_CASE("A host without a right to use the primary confirms nothing") {
  host_driver Driver;
  Driver.Electors = {"host-8", "host-9"};
  Driver.becomeReady();
  Driver.send(events::store_restored{1});
  Driver.advanceTime(ReliedOn + 100ms);
  REQUIRE_FALSE(mayUse(Driver));
  Driver.Effects.clear();
  restoreStore(Driver, 2);
  Driver.grantLease(0);
  registerAgain(Driver, "a", 1);
  Driver.advanceTime(1s);
  CHECK(takeGroupChanges(Driver).empty());
  CHECK_FALSE(mayUse(Driver));
}

TEST_CASE("A host that knows only the copy uses no unconfirmed record") {
  host_driver Driver;
  Driver.becomeReady();
  Driver.send(events::store_restored{2});
  Driver.Revision = firstRevision(2) + 5;
  group_record Record{2, "a", true, Driver.Electors};
  Record.Era = 1;
  const auto Send = [&] {
    Driver.send(
        events::record_changed{{std::string(GroupsPrefix) + Group,
                                formatRecord(Record), ++Driver.Revision, 0}});
  };
  Send();
  CHECK_FALSE(mayUse(Driver));
  Record.Era = 2;
  Send();
  CHECK(mayUse(Driver));
}

TEST_CASE("A host keeps a later generation than the copy's, and writes it "
          "back") {
  host_driver Driver;
  Driver.becomeReady();
  Driver.send(events::store_restored{1});
  Driver.writeGroupRecord("a", 2, false);
  Driver.Effects.clear();
  restoreStore(Driver, 2);
  registerAgain(Driver, "a", 1);
  const std::uint64_t Copied = Driver.Revision;
  CHECK(Driver.Host->Groups.at(Group).Record->Generation == 2);
  CHECK_FALSE(mayUse(Driver));
  Driver.advanceTime(20ms);
  const auto Changes = takeGroupChanges(Driver);
  REQUIRE(Changes.size() == 1);
  CHECK(Changes[0].Expected.front().second == Copied);
  const auto Written = parseGroupRecord(Changes[0].Writes.front().Value);
  REQUIRE(Written);
  CHECK(Written->Generation == 2);
  CHECK_FALSE(Written->Open);
  CHECK(Written->Era < 2);
}

TEST_CASE("A host that knows a later generation than a confirmed one closes "
          "the record") {
  host_driver Driver;
  Driver.becomeReady();
  Driver.send(events::store_restored{1});
  Driver.writeGroupRecord("a", 2, false);
  Driver.Effects.clear();
  restoreStore(Driver, 2);
  registerAgain(Driver, "a", 1);
  group_record Confirmed{1, "a", true, Driver.Electors};
  Confirmed.Era = 2;
  Driver.send(
      events::record_changed{{std::string(GroupsPrefix) + Group,
                              formatRecord(Confirmed), ++Driver.Revision, 0}});
  Driver.advanceTime(20ms);
  const auto Changes = takeGroupChanges(Driver);
  REQUIRE(Changes.size() == 1);
  const auto Written = parseGroupRecord(Changes[0].Writes.front().Value);
  REQUIRE(Written);
  CHECK(Written->Generation >= std::uint64_t(2) << 32);
  CHECK_FALSE(Written->Open);
  REQUIRE(Written->LatestOrder);
  CHECK(Written->LatestOrder->Target.empty());
}

TEST_CASE("A group's record that the copy lacks is written again") {
  host_driver Driver = makeRestored();
  registerAgain(Driver, "a", 1);
  Driver.takeEffects<effects::change_records>();
  Driver.removeRecord(std::string(GroupsPrefix) + Group);
  Driver.advanceTime(20ms);
  const auto Changes = takeGroupChanges(Driver);
  REQUIRE(Changes.size() == 1);
  CHECK(Changes[0].Expected.front().second == 0);
}

TEST_CASE("A restore removes a host only if it does not register again") {
  host_driver Driver;
  Driver.becomeReady();
  Driver.send(events::store_restored{1});
  Driver.Revision = firstRevision(1) + 20;
  host_record Other;
  Other.PeerEndpoint = {"10.0.0.2", 7560};
  const auto Register = [&](const std::string &Name) {
    Driver.send(events::record_changed{
        {"hosts/" + Name, formatRecord(Other), ++Driver.Revision, 8}});
  };
  Register("host-2");
  Register("host-3");
  restoreStore(Driver, 2);
  for (const std::string Name : {"host-1", "host-2", "host-3"})
    Driver.removeRecord("hosts/" + Name);
  CHECK(Driver.Host->Hosts.size() == 3);
  CHECK(Driver.Host->ExpiredHosts.empty());
  Register("host-2");
  Driver.advanceTime(3s);
  CHECK(Driver.Host->Hosts.contains("host-2"));
  CHECK_FALSE(Driver.Host->Hosts.contains("host-3"));
  CHECK(Driver.Host->ExpiredHosts.contains("host-3"));
}

TEST_CASE("The coordinator's role ends with the era") {
  host_driver Driver;
  becomeCoordinator(Driver);
  Driver.send(events::store_restored{1});
  REQUIRE(isCoordinator(*Driver.Host, Driver.Now));
  restoreStore(Driver, 2);
  CHECK_FALSE(Driver.Host->Coordinator.IsHeld);
  // A late answer shows the key as it was, under a lease whose id is given out
  // again.
  registerAgain(Driver, "a", 1);
  Driver.send(events::record_changed{
      {std::string(CoordinatorKey), "host-1", firstRevision(1) + 99, 8}});
  CHECK_FALSE(Driver.Host->Coordinator.IsHeld);
}

TEST_CASE("A coordinator orders nothing before rights of the earlier era have "
          "ended") {
  host_driver Driver;
  Driver.Host->Identity.MinimumLease = 5s;
  Driver.send(events::store_restored{2});
  Driver.Revision = firstRevision(2);
  Driver.send(events::record_changed{
      {std::string(CoordinatorKey), "host-9", ++Driver.Revision, 9}});
  const instant KnownAt = Driver.Now;
  becomeCoordinator(Driver);
  REQUIRE(Driver.Host->Coordinator.IsHeld);
  CHECK(Driver.Host->Coordinator.OrdersFrom >= KnownAt + 5s + 700ms);
  CHECK(Driver.Host->Coordinator.OrdersFrom != instant::max());
}

TEST_CASE("A process that starts after a restore waits for a lease that may "
          "have been revoked in an earlier era") {
  // Guards against an order while a host still uses the old primary: the lease
  // was taken for one that ended by itself, as this process saw no restore.
  host_driver Driver;
  Driver.Host->Identity.MinimumLease = 5s;
  Driver.send(events::store_restored{2});
  Driver.Revision = firstRevision(2);
  becomeCoordinator(Driver);
  host_record Other;
  Other.PeerEndpoint = {"10.0.0.2", 7560};
  Driver.send(events::record_changed{
      {"hosts/host-2", formatRecord(Other), ++Driver.Revision, 8}});
  Driver.advanceTime(2s);
  REQUIRE(Driver.Now < earlierErasEnd(*Driver.Host));
  Driver.removeRecord("hosts/host-2");
  CHECK(Driver.Host->Coordinator.OrdersFrom >= Driver.Now + LeaseLength);
}

TEST_CASE("Records name their era") {
  group_record Record{5, "a", false};
  Record.Era = 3;
  Record.Rebuilt = true;
  const auto Parsed = parseGroupRecord(formatRecord(Record));
  REQUIRE(Parsed);
  CHECK(Parsed->Era == 3);
  CHECK(Parsed->Rebuilt);
  CHECK(formatRecord(group_record{5, "a", true}).find("\"era\"") ==
        std::string::npos);
}

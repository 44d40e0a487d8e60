/// When the coordinator starts a promotion, and how it waits for hosts.
#include "coordinator_driver.hpp"

using namespace session_test;

namespace {

bool closesRecord(host_driver &Driver) {
  for (const auto &Change : Driver.takeEffects<effects::change_records>())
    for (const auto &Write : Change.Writes)
      if (Write.Key.starts_with(GroupsPrefix)) {
        const auto Record = parseGroupRecord(Write.Value);
        return Record && !Record->Open;
      }
  return false;
}

/// Takes a promotion to the choice of a replica, and answers the requests for
/// the targets' status.
void chooseAmong(host_driver &Driver,
                 const std::map<std::string, target_status> &Statuses) {
  reportUnreachable(Driver, "host-2", "a");
  Driver.advanceTime(40ms);
  storeGroupRecords(Driver);
  acknowledgeClosure(Driver, 2);
  Driver.advanceTime(20ms);
  Driver.grantLease(7);
  answerProbes(Driver, Statuses);
}

/// The primary of the record that the coordinator opens, if it does.
std::optional<std::string> openedPrimary(host_driver &Driver) {
  Driver.advanceTime(40ms);
  for (const auto &Change : Driver.takeEffects<effects::change_records>())
    for (const auto &Write : Change.Writes)
      if (Write.Key.starts_with(GroupsPrefix))
        if (const auto Record = parseGroupRecord(Write.Value);
            Record && Record->Open)
          return Record->Primary;
  return std::nullopt;
}

/// Whether a change of primary began. A replacement of electors, which also
/// closes the record, does not count.
bool beginsPromotion(host_driver &Driver) {
  const auto LogLines = Driver.takeEffects<effects::write_log>();
  return std::any_of(LogLines.begin(), LogLines.end(), [](const auto &Line) {
    return Line.Event == "promotion.begun";
  });
}

} // namespace

TEST_CASE("A primary that half of the hosts cannot reach is replaced") {
  host_driver Driver;
  becomeCoordinator(Driver);
  reportUnreachable(Driver, "host-2", "a");
  Driver.advanceTime(40ms);
  CHECK(beginsPromotion(Driver));
  CHECK(closesRecord(Driver));
}

TEST_CASE("A primary that a new process does not find in the list is replaced "
          "once lapsed entries are back") {
  // Guards against needless promotions: entries lapse while the store is away,
  // and a process that starts then has never seen the primary's.
  host_driver Driver;
  becomeCoordinator(Driver);
  Driver.send(events::store_reachability_changed{false});
  Driver.send(events::store_reachability_changed{true});
  Driver.writeGroupRecord("d", 2, true);
  Driver.Effects.clear();
  Driver.advanceTime(1s);
  Driver.grantLease(7);
  Driver.advanceTime(900ms);
  CHECK_FALSE(beginsPromotion(Driver));
  SECTION("it is still missing") {
    Driver.advanceTime(140ms);
    CHECK(beginsPromotion(Driver));
  }
  SECTION("it is back") {
    Driver.TargetIds = {"a", "b", "c", "d"};
    Driver.listTargets();
    Driver.advanceTime(140ms);
    CHECK_FALSE(beginsPromotion(Driver));
  }
}

TEST_CASE("Reports about the previous primary do not replace the current one") {
  // Found by fault search: hosts' reports named only the group, so a new
  // primary was replaced at once.
  host_driver Driver;
  becomeCoordinator(Driver);
  Driver.writeGroupRecord("b", 3, true);
  reportUnreachable(Driver, "host-2", "a");
  Driver.advanceTime(40ms);
  CHECK_FALSE(beginsPromotion(Driver));
}

TEST_CASE(
    "A host that alone reaches the store cannot replace a primary alone") {
  // In an incident, five of six hosts lost the store. The sixth could not reach
  // one primary and replaced it, although the others reached it.
  host_driver Driver;
  becomeCoordinator(Driver);
  host_record Reaching;
  Reaching.PeerEndpoint = {"10.0.0.2", 7560};
  for (const std::string Name : {"host-2", "host-3", "host-4"})
    Driver.send(events::record_changed{
        {"hosts/" + Name, formatRecord(Reaching), ++Driver.Revision, 8}});
  for (const std::string Name : {"host-2", "host-3", "host-4"})
    Driver.removeRecord("hosts/" + Name);
  reportUnreachable(Driver, "host-1", "a");
  Driver.advanceTime(40ms);
  CHECK_FALSE(beginsPromotion(Driver));
}

TEST_CASE("A host that registers during a promotion gets time to acknowledge") {
  // In the run pwfc-refill trouble-2, a change had waited so long that the
  // leases of returning hosts were revoked as soon as they had registered.
  host_driver Driver;
  becomeCoordinator(Driver);
  reportUnreachable(Driver, "host-2", "a");
  Driver.advanceTime(40ms);
  storeGroupRecords(Driver);
  for (const auto &Read : Driver.takeEffects<effects::read_records>())
    Driver.send(events::records_read{Read.Call, Read.Prefix, {}, true});
  for (int TickInterval = 0; TickInterval < 10; ++TickInterval) {
    Driver.advanceTime(400ms);
    Driver.grantLease(7);
  }
  Driver.Effects.clear();
  host_record Returned;
  Returned.PeerEndpoint = {"10.0.0.3", 7560};
  Driver.send(events::record_changed{
      {"hosts/host-3", formatRecord(Returned), ++Driver.Revision, 9}});
  Driver.advanceTime(1000ms);
  CHECK(Driver.takeEffects<effects::revoke_lease>().empty());
  for (const auto &Change : Driver.takeEffects<effects::change_records>())
    CHECK(Change.Writes.front().Key != "hosts/host-3");
}

TEST_CASE("A primary of an earlier term is not taken for a promoted replica") {
  // It was replaced before the present primary, and calls itself primary until
  // it has reached a successor.
  host_driver Driver;
  becomeCoordinator(Driver);
  chooseAmong(Driver, {{"b", {true, {1, 90}, 1}}, {"c", {false, {2, 3}, 2}}});
  CHECK_FALSE(openedPrimary(Driver));
}

TEST_CASE("A replica that the order of a previous coordinator promoted is "
          "used") {
  host_driver Driver;
  becomeCoordinator(Driver);
  group_record Closed{2, "a", false, Driver.Electors};
  Closed.LatestOrder = {"c", 0};
  Driver.send(
      events::record_changed{{std::string(GroupsPrefix) + Group,
                              formatRecord(Closed), ++Driver.Revision, 0}});
  chooseAmong(Driver, {{"b", {false, {1, 90}, 1}}, {"c", {true, {2, 3}, 2}}});
  CHECK(openedPrimary(Driver) == "c");
}

TEST_CASE("A replica that leads without a named order is not used at once") {
  // Another target may lead in a later term and be silent.
  host_driver Driver;
  becomeCoordinator(Driver);
  chooseAmong(Driver, {{"b", {false, {1, 90}, 1}}, {"c", {true, {2, 3}, 2}}});
  CHECK_FALSE(openedPrimary(Driver));
}

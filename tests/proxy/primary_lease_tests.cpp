/// The right to use a primary: leases, closed records, lost calls.
#include "host_driver.hpp"

using namespace session_test;

namespace {

/// Asks a read of the newest data and tells whether a target gets it.
bool usesPrimary(host_driver &Driver) {
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "r1", statement_kind::Read, "READ 1");
  Driver.acceptDials();
  return !Driver.takeEffects<effects::send_target>().empty();
}

} // namespace

TEST_CASE("A host that is ready uses the primary") {
  host_driver Driver;
  Driver.becomeReady();
  CHECK(usesPrimary(Driver));
}

TEST_CASE("A host with a lease and no record does not use primaries") {
  // Found by a hunt: whoever orders a promotion waits for the hosts that are
  // on record; one whose registration was lost was not waited for.
  host_driver Driver;
  Driver.send(events::store_reachability_changed{true});
  Driver.applySettings();
  Driver.listTargets();
  Driver.send(events::tick{});
  Driver.grantLease(7);
  Driver.send(events::tick{});
  REQUIRE(Driver.answerRegistration(change_outcome::Unknown));
  Driver.writeGroupRecord("a", 1, true);
  Driver.send(events::tick{});
  CHECK_FALSE(Driver.answerGroupsRead("a", 1, true));
  CHECK_FALSE(usesPrimary(Driver));
}

TEST_CASE("A read that was sent before the lease was lost proves nothing") {
  host_driver Driver;
  Driver.send(events::store_reachability_changed{true});
  Driver.applySettings();
  Driver.listTargets();
  Driver.send(events::tick{});
  Driver.grantLease(7);
  Driver.send(events::tick{});
  REQUIRE(Driver.answerRegistration());
  Driver.send(events::tick{});
  const auto Early = Driver.takeEffects<effects::read_records>();
  REQUIRE(Early.size() == 1);
  Driver.send(events::lease_answered{0, {}, Driver.Now, true});
  Driver.grantLease(8);
  Driver.send(events::records_read{
      Early.front().Call,
      Early.front().Prefix,
      {{"groups/" + Group, formatRecord(group_record{1, "a", true}), 11, 0}},
      true});
  CHECK_FALSE(usesPrimary(Driver));
}

TEST_CASE("The lease ends by itself, counted from the call's sending") {
  host_driver Driver;
  Driver.becomeReady();
  Driver.Now += 1801ms;
  CHECK_FALSE(usesPrimary(Driver));
}

TEST_CASE("A closed record stops the use of the primary and is acknowledged") {
  host_driver Driver;
  Driver.becomeReady();
  Driver.writeGroupRecord("a", 2, false);
  CHECK_FALSE(usesPrimary(Driver));
  Driver.send(events::tick{});
  const auto Record = Driver.takeRegistration();
  REQUIRE(Record);
  CHECK(Record->AcknowledgedClosures.at(Group) == 2);
}

TEST_CASE("What a lost change wrote over the host's record is written again") {
  host_driver Driver;
  Driver.becomeReady();
  Driver.writeGroupRecord("a", 2, false);
  Driver.send(events::tick{});
  REQUIRE(Driver.answerRegistration());
  host_record Older;
  Older.PeerEndpoint = {"10.0.0.1", 7560};
  Driver.send(
      events::record_changed{{"hosts/host-1", formatRecord(Older), 40, 7}});
  Driver.send(events::tick{});
  const auto Record = Driver.takeRegistration();
  REQUIRE(Record);
  CHECK(Record->AcknowledgedClosures.at(Group) == 2);
}

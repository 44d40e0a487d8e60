/// Members of a group that its record names: replicas that may hold
/// acknowledged commits although they are not listed.
#include "coordinator_driver.hpp"

using namespace session_test;

namespace {

const std::set<std::string> AllIds = {"a", "b", "c"};

recorded_member memberOf(const std::string &Id, bool IsDraining = false) {
  return {host_driver::makeEntry(Id, false).Endpoint, IsDraining};
}

group_record recordOf(const std::set<std::string> &Members) {
  group_record Record{2, "a", true, {"host-1"}};
  for (const std::string &Id : Members)
    Record.Members[Id] = memberOf(Id);
  return Record;
}

/// A coordinator whose process has started since b left the list, and reads the
/// group's record as an earlier process wrote it.
void startAfterLoss(host_driver &Driver, const group_record &Record) {
  Driver.TargetIds = {"a", "c"};
  becomeCoordinator(Driver);
  Driver.send(
      events::record_changed{{std::string(GroupsPrefix) + Group,
                              formatRecord(Record), ++Driver.Revision, 0}});
  requireConfirmation(Driver, 1);
}

/// The latest record that the coordinator has requested to write, if any.
std::optional<group_record> takeWrittenRecord(host_driver &Driver) {
  std::optional<group_record> Written;
  for (const auto &Change : Driver.takeEffects<effects::change_records>()) {
    if (!Change.Writes.front().Key.starts_with(GroupsPrefix))
      continue;
    Written = parseGroupRecord(Change.Writes.front().Value);
    Driver.send(events::change_ended{Change.Call, change_outcome::Done,
                                     ++Driver.Revision});
  }
  return Written;
}

std::set<std::string> idsOf(const group_record &Record) {
  std::set<std::string> Ids;
  for (const auto &[Id, Member] : Record.Members)
    Ids.insert(Id);
  return Ids;
}

void listTargets(host_driver &Driver, const std::set<std::string> &Ids) {
  Driver.TargetIds.assign(Ids.begin(), Ids.end());
  Driver.listTargets();
}

} // namespace

TEST_CASE("A process that starts after a replica was lost does not promote one "
          "that may lack its commits") {
  // Guards against the loss of acknowledged commits: which replicas had left
  // the list was known only to processes that saw them leave.
  host_driver Driver;
  startAfterLoss(Driver, recordOf(AllIds));
  reportUnreachable(Driver, "host-2", "a");
  CHECK_FALSE(promote(Driver, 3s, {{"c", replicaAt(40)}}));
  SECTION("the lost replica returns") {
    listTargets(Driver, AllIds);
    CHECK(promote(Driver, 3s, {{"b", replicaAt(90)}, {"c", replicaAt(40)}}) ==
          "b");
  }
  SECTION("the primary returns, and the replica has caught up") {
    CHECK(promote(Driver, 3s, {{"a", primaryAt(90)}, {"c", replicaAt(90)}}) ==
          "c");
  }
}

TEST_CASE("A replica that was lost for good counts for a limited time") {
  host_driver Driver;
  startAfterLoss(Driver, recordOf(AllIds));
  advanceUnderLease(Driver, 61s);
  reportUnreachable(Driver, "host-2", "a");
  CHECK(promote(Driver, 6s, {{"c", replicaAt(40)}}) == "c");
}

TEST_CASE("A drained replica counts for a short time after a start") {
  group_record Record = recordOf(AllIds);
  Record.Members["b"].IsDraining = true;
  host_driver Driver;
  startAfterLoss(Driver, Record);
  advanceUnderLease(Driver, 6s);
  reportUnreachable(Driver, "host-2", "a");
  CHECK(promote(Driver, 6s, {{"c", replicaAt(40)}}) == "c");
}

TEST_CASE("A group's record names members as they join, and as long as they "
          "count") {
  host_driver Driver;
  startAfterLoss(Driver, recordOf({"a", "c"}));
  Driver.Effects.clear();
  Driver.advanceTime(1s);
  CHECK_FALSE(takeWrittenRecord(Driver));

  listTargets(Driver, AllIds);
  Driver.advanceTime(20ms);
  const auto Joined = takeWrittenRecord(Driver);
  REQUIRE(Joined);
  CHECK(idsOf(*Joined) == AllIds);
  CHECK(Joined->Open);
  CHECK(Joined->Generation == 2);

  listTargets(Driver, {"a", "c"});
  advanceUnderLease(Driver, 30s);
  CHECK_FALSE(takeWrittenRecord(Driver));
  advanceUnderLease(Driver, 31s);
  const auto Left = takeWrittenRecord(Driver);
  REQUIRE(Left);
  CHECK(idsOf(*Left) == std::set<std::string>{"a", "c"});
}

TEST_CASE("A closed record goes on naming members that left") {
  host_driver Driver;
  startAfterLoss(Driver, recordOf(AllIds));
  reportUnreachable(Driver, "host-2", "a");
  Driver.grantLease(7);
  Driver.advanceTime(40ms);
  const auto Closed = takeWrittenRecord(Driver);
  REQUIRE(Closed);
  CHECK_FALSE(Closed->Open);
  CHECK(idsOf(*Closed) == AllIds);
}

TEST_CASE("Records name members only where replicas confirm commits") {
  host_driver Driver;
  becomeCoordinator(Driver);
  Driver.advanceTime(1s);
  CHECK_FALSE(takeWrittenRecord(Driver));
  CHECK(formatRecord(group_record{1, "a"}).find("members") ==
        std::string::npos);
}

TEST_CASE("Members are read from records, also odd ones") {
  const group_record Record = recordOf(AllIds);
  const auto Parsed = parseGroupRecord(formatRecord(Record));
  REQUIRE(Parsed);
  CHECK(Parsed->Members == Record.Members);
  const auto Odd = parseGroupRecord(
      R"({"generation":1,"primary":"a","open":true,"members":)"
      R"({"b":7,"c":{"address":"nowhere","draining":"yes"},"d":{}}})");
  REQUIRE(Odd);
  CHECK(idsOf(*Odd) == std::set<std::string>{"b", "c", "d"});
  CHECK(parseGroupRecord(
      R"({"generation":1,"primary":"a","open":true,"members":["b"]})"));
}

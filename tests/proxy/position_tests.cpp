/// Positions of primaries that hosts share, and the reads that need them.
#include "position_driver.hpp"

using namespace session_test;

TEST_CASE("A replica's owner runs reads by a position that it asked for") {
  // In the large fleet, a host sent a primary a statement every ten seconds and
  // had no position young enough. All reads went to the primaries.
  host_driver Driver;
  Driver.becomeReady();
  assignOwners(Driver);
  Driver.send(events::forward_requested{"#1", 5, replicaRead("b")});
  const answer Refused = takeOnlyAnswer(Driver);
  CHECK(Refused.Code == answer_code::Lagging);
  CHECK(isNotRun(Refused.Code));
  sharePosition(Driver, {1, 40}, 100ms);
  Driver.send(events::forward_requested{"#1", 6, replicaRead("b")});
  Driver.acceptDials();
  const auto Sent = Driver.takeEffects<effects::send_target>();
  REQUIRE(Sent.size() == 1);
  CHECK(Sent.front().Statements.front().RequiredPosition ==
        log_position{1, 40});
}

TEST_CASE("A shared position that is too old does not prove freshness") {
  host_driver Driver;
  Driver.becomeReady();
  assignOwners(Driver);
  Driver.send(events::forward_requested{"#1", 5, replicaRead("b")});
  (void)takeOnlyAnswer(Driver);
  sharePosition(Driver, {1, 40}, 1400ms);
  Driver.send(events::forward_requested{"#1", 6, replicaRead("b")});
  CHECK(takeOnlyAnswer(Driver).Code == answer_code::Lagging);
}

TEST_CASE("A position of an earlier primary is not adopted") {
  host_driver Driver;
  Driver.becomeReady();
  assignOwners(Driver);
  Driver.send(events::forward_requested{"#1", 5, replicaRead("b")});
  const auto Requests = Driver.takeEffects<effects::request_position>();
  REQUIRE(Requests.size() == 1);
  Driver.send(events::position_received{
      {Group, "c", {1, 40}, 10ms, Requests.front().Request.AskedAt}});
  CHECK(Driver.Host->Groups.at(Group).Samples.Samples.empty());
}

TEST_CASE("A late answer to an earlier request is not adopted") {
  // Its age would be counted from a request that was sent later.
  host_driver Driver;
  Driver.becomeReady();
  assignOwners(Driver);
  Driver.send(events::forward_requested{"#1", 5, replicaRead("b")});
  const auto Earlier = Driver.takeEffects<effects::request_position>();
  REQUIRE(Earlier.size() == 1);
  Driver.advanceTime(300ms);
  Driver.grantLease(7);
  REQUIRE(Driver.takeEffects<effects::request_position>().size() == 1);
  Driver.send(events::position_received{
      {Group, "a", {1, 40}, 0ms, Earlier.front().Request.AskedAt}});
  CHECK(Driver.Host->Groups.at(Group).Samples.Samples.empty());
}

TEST_CASE("A read covers the session's own commit on a replica as well") {
  host_driver Driver;
  Driver.becomeReady();
  assignOwners(Driver);
  forwarded_statement Read = replicaRead("b");
  Driver.send(events::forward_requested{"#1", 5, Read});
  (void)takeOnlyAnswer(Driver);
  sharePosition(Driver, {1, 40}, 100ms);
  Read.RequiredPosition = log_position{1, 44};
  Driver.send(events::forward_requested{"#1", 6, Read});
  Driver.acceptDials();
  const auto Sent = Driver.takeEffects<effects::send_target>();
  REQUIRE(Sent.size() == 1);
  CHECK(Sent.front().Statements.front().RequiredPosition ==
        log_position{1, 44});
}

TEST_CASE("A position is not asked for without reads that need it") {
  host_driver Driver;
  Driver.becomeReady();
  assignOwners(Driver);
  Driver.advanceTime(2s);
  CHECK(Driver.takeEffects<effects::request_position>().empty());
}

TEST_CASE("Only a host that may use the primary tells its position") {
  host_driver Driver;
  Driver.becomeReady();
  Driver.Host->Groups.at(Group).Samples.Samples.push_back(
      {{1, 7}, Driver.Now - 50ms});
  Driver.send(events::position_requested{"#1", {Group, instant(3s)}});
  const auto Sent = Driver.takeEffects<effects::send_position>();
  REQUIRE(Sent.size() == 1);
  CHECK(Sent.front().Shared.Age == 50ms);
  CHECK(Sent.front().Shared.AskedAt == instant(3s));
  Driver.writeGroupRecord("a", 2, false);
  Driver.send(events::position_requested{"#1", {Group, instant(4s)}});
  CHECK(Driver.takeEffects<effects::send_position>().empty());
}

TEST_CASE("An owner tells a waiting host that it works") {
  // A slow target was mistaken for a lost owner, and all hosts connected to the
  // target by themselves.
  host_driver Driver;
  Driver.becomeReady();
  Driver.Host->Groups.at(Group).Samples.Samples.push_back(
      {{1, 7}, Driver.Now - 50ms});
  Driver.send(events::forward_requested{"#1", 5, replicaRead("b")});
  Driver.acceptDials();
  REQUIRE(Driver.takeEffects<effects::send_target>().size() == 1);
  Driver.advanceTime(200ms);
  const auto Reports = Driver.takeEffects<effects::report_pending>();
  CHECK(Reports.size() >= 2);
  CHECK(Reports.size() <= 4);
}

TEST_CASE("An owner that reports to work is not replaced by a stand-in") {
  host_driver Driver;
  Driver.becomeReady();
  assignOwners(Driver);
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "r1", statement_kind::Read, "READ 1");
  REQUIRE(Driver.takeEffects<effects::forward>().size() == 1);
  for (int Report = 0; Report < 8; ++Report) {
    Driver.advanceTime(80ms);
    Driver.send(events::forward_pending{toText(OwnerEndpoint)});
  }
  CHECK(chooseOwner(*Driver.Host, Driver.Host->Targets.at("a"), Driver.Now)
            .Kind == owner_kind::Peer);
  Driver.advanceTime(300ms);
  CHECK(chooseOwner(*Driver.Host, Driver.Host->Targets.at("a"), Driver.Now)
            .Kind != owner_kind::Peer);
}

TEST_CASE("A read on a replica proves no position of a primary") {
  // Guards against stale reads after a promotion: a read that a replica had
  // run before it was promoted was answered late, and its position was taken
  // for one that covers the old primary's commits.
  host_driver Driver;
  Driver.becomeReady();
  assignOwners(Driver);
  Driver.send(events::forward_requested{"#1", 5, replicaRead("b")});
  sharePosition(Driver, {1, 40}, 100ms);
  Driver.send(events::forward_requested{"#1", 6, replicaRead("b")});
  Driver.acceptDials();
  const auto Sent = Driver.takeEffects<effects::send_target>();
  REQUIRE(Sent.size() == 1);
  Driver.writeGroupRecord("a", 2, false);
  Driver.writeGroupRecord("b", 3, true);
  Driver.send(events::target_answered{Sent.front().Connection,
                                      host_driver::completedAnswer({1, 40})});
  CHECK(Driver.Host->Groups.at(Group).Samples.Samples.empty());
}

TEST_CASE("A statement at a primary that was used anew proves no position") {
  // The primary may have followed another one between the two generations.
  host_driver Driver;
  Driver.becomeReady();
  const connection_number Connection = readFromPrimary(Driver);
  Driver.Host->Groups.at(Group).Samples.Samples.clear();
  Driver.writeGroupRecord("a", 5, true);
  Driver.send(events::target_answered{Connection,
                                      host_driver::completedAnswer({1, 4})});
  CHECK(Driver.Host->Groups.at(Group).Samples.Samples.empty());
}

TEST_CASE("A statement at the primary proves its position") {
  host_driver Driver;
  Driver.becomeReady();
  const connection_number Connection = readFromPrimary(Driver);
  Driver.send(events::target_answered{Connection,
                                      host_driver::completedAnswer({1, 4})});
  const auto &Samples = Driver.Host->Groups.at(Group).Samples.Samples;
  REQUIRE_FALSE(Samples.empty());
  CHECK(Samples.back().Position == log_position{1, 4});
}

/// Which replica is promoted when replicas drain, are silent or are behind.
#include "coordinator_driver.hpp"

#include <proxy/state.hpp>

using namespace session_test;

namespace {

constexpr unsigned OneReplica = 1;

void listTargets(host_driver &Driver, const std::set<std::string> &Ids,
                 const std::set<std::string> &Draining = {}) {
  events::targets_listed Listed;
  for (const std::string &Id : Ids) {
    Listed.Targets.push_back(host_driver::makeEntry(Id, Id == "a"));
    Listed.Targets.back().Draining = Draining.contains(Id);
  }
  Driver.send(Listed);
}

/// A coordinator of a group whose targets a, b and c require confirmation by a
/// replica.
void becomeCoordinatorOfConfirmed(host_driver &Driver) {
  becomeCoordinator(Driver);
  requireConfirmation(Driver, OneReplica);
}

/// Takes the promotion to the choice of a replica.
/// \returns The probes of the targets, which are not answered yet.
std::vector<effects::probe_target> probesOfPromotion(host_driver &Driver) {
  CHECK_FALSE(promote(Driver, 100ms, {}));
  auto Probes = Driver.takeEffects<effects::probe_target>();
  REQUIRE(Probes.size() == 3);
  return Probes;
}

/// Lets the platform answer the order to promote b, the best of two replicas.
/// \returns The target of the next order, if there is one.
std::optional<std::string> candidateAfter(order_outcome Outcome) {
  host_driver Driver;
  becomeCoordinator(Driver);
  reportUnreachable(Driver, "host-2", "a");
  const statuses Statuses = {{"b", replicaAt(90)}, {"c", replicaAt(40)}};
  REQUIRE(promote(Driver, 1s, Statuses) == "b");
  Driver.send(events::promotion_answered{Group, lastOrder(Driver), Outcome});
  return promote(Driver, 1s, Statuses);
}

} // namespace

TEST_CASE("A draining replica that alone has the newest commits is promoted") {
  // Guards against the loss of acknowledged commits: the replica that confirmed
  // them was passed over because it drained.
  host_driver Driver;
  becomeCoordinator(Driver);
  listTargets(Driver, {"a", "b", "c"}, {"b"});
  reportUnreachable(Driver, "host-2", "a");
  CHECK(promote(Driver, 1s, {{"b", replicaAt(90)}, {"c", replicaAt(40)}}) ==
        "b");
}

TEST_CASE("A replica that stays is preferred to a draining one at the same "
          "position") {
  host_driver Driver;
  becomeCoordinator(Driver);
  listTargets(Driver, {"a", "b", "c"}, {"b"});
  reportUnreachable(Driver, "host-2", "a");
  CHECK(promote(Driver, 1s, {{"b", replicaAt(90)}, {"c", replicaAt(90)}}) ==
        "c");
}

TEST_CASE("A replica that may lack confirmed commits is not promoted") {
  // Guards against the loss of acknowledged commits: the silent replica may be
  // the one that confirmed them.
  host_driver Driver;
  becomeCoordinatorOfConfirmed(Driver);
  reportUnreachable(Driver, "host-2", "a");
  const statuses OnlyC = {{"c", replicaAt(40)}};
  CHECK_FALSE(promote(Driver, 3s, OnlyC));
  CHECK(promote(Driver, 3s, {{"b", replicaAt(90)}, {"c", replicaAt(40)}}) ==
        "b");
}

TEST_CASE("A replica that left the list may have confirmed commits") {
  host_driver Driver;
  becomeCoordinatorOfConfirmed(Driver);
  listTargets(Driver, {"a", "c"});
  Driver.advanceTime(2500ms);
  reportUnreachable(Driver, "host-2", "a");
  CHECK_FALSE(promote(Driver, 3s, {{"c", replicaAt(40)}}));
  listTargets(Driver, {"a", "b", "c"});
  CHECK(promote(Driver, 3s, {{"b", replicaAt(90)}, {"c", replicaAt(40)}}) ==
        "b");
}

TEST_CASE("A drained replica does not count once its successor is listed") {
  host_driver Driver;
  becomeCoordinatorOfConfirmed(Driver);
  listTargets(Driver, {"a", "b", "c"}, {"b"});
  events::targets_listed Replaced;
  for (const std::string Id : {"a", "c", "d"})
    Replaced.Targets.push_back(host_driver::makeEntry(Id, Id == "a"));
  Replaced.Targets.back().Endpoint =
      host_driver::makeEntry("b", false).Endpoint;
  Driver.send(Replaced);
  Driver.advanceTime(2500ms);
  reportUnreachable(Driver, "host-2", "a");
  CHECK(promote(Driver, 1s, {{"c", replicaAt(40)}, {"d", replicaAt(90)}}) ==
        "d");
}

TEST_CASE("A candidate at the position of the old primary holds all commits") {
  host_driver Driver;
  becomeCoordinatorOfConfirmed(Driver);
  listTargets(Driver, {"a", "b", "c"}, {"a"});
  CHECK(promote(Driver, 1s, {{"a", primaryAt(90)}, {"c", replicaAt(90)}}) ==
        "c");
}

TEST_CASE("A planned change waits while no replica holds all commits") {
  // Guards against the loss of acknowledged commits in a planned change, and
  // against a primary that is kept out of use meanwhile.
  host_driver Driver;
  becomeCoordinatorOfConfirmed(Driver);
  listTargets(Driver, {"a", "b", "c"}, {"a"});
  const statuses Behind = {{"a", primaryAt(90)}, {"c", replicaAt(40)}};
  CHECK_FALSE(promote(Driver, 3s, Behind));
  CHECK(Driver.Host->Groups.at(Group).Record->Open);
  CHECK(Driver.Host->Groups.at(Group).Record->Primary == "a");
  CHECK(promote(Driver, 5s, {{"a", primaryAt(90)}, {"c", replicaAt(90)}}) ==
        "c");
}

TEST_CASE("Without confirmation by replicas, one replica suffices") {
  host_driver Driver;
  becomeCoordinator(Driver);
  reportUnreachable(Driver, "host-2", "a");
  CHECK(promote(Driver, 1s, {{"c", replicaAt(40)}}) == "c");
}

TEST_CASE("Probes of a witness do not count as answers of replicas") {
  // Guards against a promotion before the better replica had time to answer: in
  // a fleet above 12 hosts, the coordinator also asks the lost primary as a
  // witness, and each such probe was taken for one of the promotion's.
  host_driver Driver;
  becomeCoordinator(Driver);
  reportUnreachable(Driver, "host-2", "a");
  const auto Probes = probesOfPromotion(Driver);
  Driver.send(events::target_probed{"a", std::nullopt});
  Driver.send(events::target_probed{"a", std::nullopt});
  for (const auto &Probe : Probes)
    if (Probe.Target == "c")
      Driver.send(events::target_probed{"c", replicaAt(40), Probe.Call});
  CHECK_FALSE(promote(Driver, 100ms, {}));
}

TEST_CASE("An answer to an earlier probe does not count for a later one") {
  // Guards against an outdated position of the old primary, with which a
  // replica that is behind would seem to have caught up.
  host_driver Driver;
  becomeCoordinator(Driver);
  listTargets(Driver, {"a", "b", "c"}, {"a"});
  const auto Probes = probesOfPromotion(Driver);
  for (const auto &Probe : Probes)
    Driver.send(events::target_probed{
        Probe.Target, Probe.Target == "a" ? primaryAt(40) : replicaAt(40),
        Probe.Call - 1});
  CHECK_FALSE(promote(Driver, 100ms, {}));
}

TEST_CASE(
    "An order that the platform rejects is repeated for the same replica") {
  // Guards against the loss of acknowledged commits: a platform that was
  // overloaded for a moment ruled out the best replica.
  CHECK(candidateAfter(order_outcome::Rejected) == "b");
}

TEST_CASE("A replica that does not run is passed over") {
  CHECK(candidateAfter(order_outcome::NotRunning) == "c");
}

TEST_CASE("A primary of an earlier term that alone answers is not used") {
  // Guards against the use of a primary that was replaced before the present
  // one: it calls itself primary until it has reached its successor.
  host_driver Driver;
  becomeCoordinator(Driver);
  reportUnreachable(Driver, "host-2", "a");
  REQUIRE(promote(Driver, 1s, {{"b", replicaAt(90)}}) == "b");
  const target_status Promoted{true, {2, 0}, 2};
  CHECK_FALSE(promote(Driver, 1s, {{"b", Promoted}}));
  REQUIRE(Driver.Host->Groups.at(Group).Record->Primary == "b");
  reportUnreachable(Driver, "host-2", "b");
  CHECK_FALSE(promote(Driver, 1s, {{"a", primaryAt(95)}}));
  CHECK_FALSE(Driver.Host->Groups.at(Group).Record->Open);
  CHECK(promote(Driver, 1s, {{"a", primaryAt(95)}, {"c", replicaAt(90)}}) ==
        "c");
}

TEST_CASE("The old primary is not used again after an order that may have been "
          "carried out") {
  // The replica that leads since the order may be cut off from the others.
  host_driver Driver;
  becomeCoordinator(Driver);
  listTargets(Driver, {"a", "b"}, {"a"});
  REQUIRE(promote(Driver, 1s, {{"a", primaryAt(90)}, {"b", replicaAt(90)}}) ==
          "b");
  Driver.send(events::promotion_answered{Group, lastOrder(Driver),
                                         order_outcome::Accepted});
  CHECK(promote(Driver, 8s, {{"a", primaryAt(90)}}) == "a");
  CHECK_FALSE(Driver.Host->Groups.at(Group).Record->Open);
  Driver.send(events::promotion_answered{Group, lastOrder(Driver),
                                         order_outcome::Accepted});
  CHECK_FALSE(promote(Driver, 4s, {{"a", primaryAt(90)}}));
  CHECK(Driver.Host->Groups.at(Group).Record->Open);
  CHECK(Driver.Host->Groups.at(Group).Record->Primary == "a");
}

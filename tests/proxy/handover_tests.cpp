/// Orders of a host that stops or loses the coordinator role.
#include "coordinator_driver.hpp"

#include <proxy/parts.hpp>

#include <algorithm>

using namespace session_test;

namespace {

const std::map<std::string, target_status> BeforePromotion = {
    {"b", {false, {1, 90}, 1}}, {"c", {false, {1, 90}, 1}}};
const std::map<std::string, target_status> AfterPromotion = {
    {"b", {true, {2, 0}, 2}}, {"c", {false, {1, 90}, 1}}};

/// A coordinator that has just ordered to promote b.
effects::order_promotion orderPromotion(host_driver &Driver) {
  becomeCoordinator(Driver);
  reportUnreachable(Driver, "host-2", "a");
  for (int Round = 0; Round < 20; ++Round) {
    runCoordinator(Driver, 20ms, BeforePromotion);
    const auto Orders = Driver.takeEffects<effects::order_promotion>();
    if (!Orders.empty())
      return Orders.front();
    storeGroupRecords(Driver);
  }
  FAIL("no promotion was ordered");
  return {};
}

bool returnsRole(host_driver &Driver) {
  for (const auto &Change : Driver.takeEffects<effects::change_records>())
    for (const std::string &Key : Change.Deletes)
      if (Key == CoordinatorKey)
        return true;
  return false;
}

} // namespace

TEST_CASE("A stopping coordinator keeps the role until its order is carried "
          "out") {
  // Guards against two coordinators at a time: the successor of a host that
  // had returned the role gave orders while one of that host was under way.
  host_driver Driver;
  (void)orderPromotion(Driver);
  Driver.send(events::stop_requested{});
  runCoordinator(Driver, 600ms, BeforePromotion);
  CHECK_FALSE(returnsRole(Driver));
  runCoordinator(Driver, 60ms, AfterPromotion);
  storeGroupRecords(Driver);
  Driver.advanceTime(20ms);
  CHECK(returnsRole(Driver));
}

TEST_CASE("A stopping coordinator without an order returns the role at once") {
  host_driver Driver;
  becomeCoordinator(Driver);
  Driver.send(events::stop_requested{});
  CHECK(returnsRole(Driver));
}

TEST_CASE("A host does not end while its order is under way") {
  // The end of its lease would free the role before the order has arrived.
  host_driver Driver;
  (void)orderPromotion(Driver);
  Driver.send(events::stop_requested{});
  runCoordinator(Driver, 3s, BeforePromotion);
  CHECK(Driver.takeEffects<effects::revoke_lease>().empty());
  CHECK(Driver.takeEffects<effects::stop_process>().empty());
  runCoordinator(Driver, 60ms, AfterPromotion);
  storeGroupRecords(Driver);
  Driver.advanceTime(40ms);
  CHECK_FALSE(Driver.takeEffects<effects::stop_process>().empty());
}

TEST_CASE("An order that was just decided may be sent") {
  host_driver Driver;
  const auto Order = orderPromotion(Driver);
  CHECK(mayOrder(*Driver.Host, Order, Driver.Now));
}

TEST_CASE("An order that has waited for long is not sent") {
  // A replica may be promoted as long after the sending as the coordinator
  // waits after the decision; it would order another one meanwhile.
  host_driver Driver;
  const auto Order = orderPromotion(Driver);
  runCoordinator(Driver, 400ms, BeforePromotion);
  CHECK_FALSE(mayOrder(*Driver.Host, Order, Driver.Now));
}

TEST_CASE("An order is not sent by a host that lost the role meanwhile") {
  host_driver Driver;
  const auto Order = orderPromotion(Driver);
  Driver.removeRecord(std::string(CoordinatorKey));
  CHECK_FALSE(mayOrder(*Driver.Host, Order, Driver.Now));
}

TEST_CASE("An order is not sent under a lease that ended meanwhile") {
  // The process was suspended between the decision and the sending.
  host_driver Driver;
  auto Order = orderPromotion(Driver);
  Order.SendBefore = instant::max();
  Driver.Now += 1600ms;
  CHECK_FALSE(mayOrder(*Driver.Host, Order, Driver.Now));
}

TEST_CASE("An order is not sent once the closed record was changed") {
  host_driver Driver;
  const auto Order = orderPromotion(Driver);
  Driver.writeGroupRecord("a", 3, true);
  CHECK_FALSE(mayOrder(*Driver.Host, Order, Driver.Now));
}

TEST_CASE("An order that was not sent is decided anew") {
  host_driver Driver;
  (void)orderPromotion(Driver);
  Driver.send(events::promotion_answered{Group, lastOrder(Driver),
                                         order_outcome::NotSent});
  runCoordinator(Driver, 400ms, BeforePromotion);
  CHECK(Driver.takeEffects<effects::order_promotion>().size() == 1);
}

TEST_CASE("A change of a record expects that its host is the coordinator") {
  // Guards against a change that a former coordinator had queued: it closed
  // the record that its successor had opened, and the primary was replaced
  // without need.
  host_driver Driver;
  becomeCoordinator(Driver);
  const std::uint64_t Token = Driver.Host->Coordinator.FencingToken;
  reportUnreachable(Driver, "host-2", "a");
  Driver.advanceTime(20ms);
  const auto Changes = Driver.takeEffects<effects::change_records>();
  const auto Closing =
      std::find_if(Changes.begin(), Changes.end(), [](const auto &Change) {
        return !Change.Writes.empty() &&
               Change.Writes.front().Key.starts_with(GroupsPrefix);
      });
  REQUIRE(Closing != Changes.end());
  CHECK(std::count(Closing->Expected.begin(), Closing->Expected.end(),
                   std::pair(std::string(CoordinatorKey), Token)) == 1);
}

TEST_CASE("An answer to an earlier order does not end the present one") {
  // Guards against two orders under way for a group: the platform's late
  // refusal of the first one was taken for one of the second.
  host_driver Driver;
  const auto First = orderPromotion(Driver);
  Driver.send(
      events::promotion_answered{Group, First.Call, order_outcome::NotSent});
  runCoordinator(Driver, 400ms, BeforePromotion);
  REQUIRE(Driver.takeEffects<effects::order_promotion>().size() == 1);
  Driver.send(
      events::promotion_answered{Group, First.Call, order_outcome::Rejected});
  runCoordinator(Driver, 400ms, BeforePromotion);
  CHECK(Driver.takeEffects<effects::order_promotion>().empty());
}

namespace {

/// A coordinator beside host-2, which is listed and does not acknowledge.
struct silent_host {
  host_driver Driver;
  bool IsListed = true;
  std::optional<effects::change_records> LastMark;
  bool IsMarked = false; ///< Its record shows that its lease is revoked.

  silent_host() {
    becomeCoordinator(Driver);
    reportUnreachable(Driver, "host-2", "a");
  }

  /// Removes the change that marks the host's record, if there is one.
  std::optional<effects::change_records> takeMark() {
    std::optional<effects::change_records> Mark;
    for (auto &Change : Driver.takeEffects<effects::change_records>()) {
      if (!Change.Writes.empty() && Change.Writes.front().Key == "hosts/host-2")
        Mark = std::move(Change);
      else
        Driver.Effects.emplace_back(std::move(Change));
    }
    return Mark;
  }

  void storeMark() {
    REQUIRE(LastMark);
    IsMarked = true;
    Driver.send(events::change_ended{LastMark->Call, change_outcome::Done,
                                     ++Driver.Revision});
  }

  void answerHostsReads() {
    host_record Own;
    Own.PeerEndpoint = {"10.0.0.1", 7560};
    Own.AcknowledgedClosures[Group] = 100;
    host_record Other;
    Other.PeerEndpoint = {"10.0.0.2", 7560};
    Other.Revoked = IsMarked;
    for (const auto &Read : Driver.takeEffects<effects::read_records>()) {
      events::records_read Answer{Read.Call, Read.Prefix, {}, true, 0};
      Answer.Records.push_back(
          {"hosts/host-1", formatRecord(Own), ++Driver.Revision, 7});
      if (IsListed)
        Answer.Records.push_back(
            {"hosts/host-2", formatRecord(Other), ++Driver.Revision, 8});
      Answer.Revision = ++Driver.Revision;
      Driver.send(Answer);
    }
  }

  /// \returns Whether a promotion was ordered.
  bool goOn(duration Span) {
    const instant End = Driver.Now + Span;
    while (Driver.Now < End) {
      Driver.grantLease(7);
      Driver.advanceTime(20ms);
      if (const auto Mark = takeMark())
        LastMark = Mark;
      storeGroupRecords(Driver);
      answerHostsReads();
      answerProbes(Driver, BeforePromotion);
    }
    return !Driver.takeEffects<effects::order_promotion>().empty();
  }

  void removeHost() {
    IsListed = false;
    Driver.removeRecord("hosts/host-2");
  }
};

} // namespace

TEST_CASE("An order waits for the length of a lease that was revoked late") {
  // Guards against a host that still uses the primary as another is promoted:
  // the wait was counted from the decision to revoke its lease, and the store
  // ended the lease seconds later.
  silent_host Silent;
  CHECK_FALSE(Silent.goOn(2700ms));
  Silent.storeMark();
  REQUIRE_FALSE(Silent.Driver.takeEffects<effects::revoke_lease>().empty());
  CHECK_FALSE(Silent.goOn(2200ms));
  Silent.removeHost();
  CHECK_FALSE(Silent.goOn(1900ms));
  CHECK(Silent.goOn(400ms));
}

TEST_CASE("An order does not wait after a lease that ended by itself") {
  silent_host Silent;
  CHECK_FALSE(Silent.goOn(1000ms));
  Silent.removeHost();
  CHECK(Silent.goOn(400ms));
}

TEST_CASE("A coordinator that finds a closed record waits for leases that the "
          "previous one may have revoked") {
  host_driver Driver;
  Driver.becomeReady();
  host_record Other;
  Other.PeerEndpoint = {"10.0.0.2", 7560};
  Driver.send(events::record_changed{
      {"hosts/host-2", formatRecord(Other), ++Driver.Revision, 8}});
  Driver.writeGroupRecord("a", 2, false);
  Driver.removeRecord("hosts/host-2");
  Driver.removeRecord(std::string(CoordinatorKey));
  const instant Removed = Driver.Now;
  bool Ordered = false;
  while (!Ordered && Driver.Now < Removed + 4s) {
    Driver.grantLease(7);
    Driver.advanceTime(20ms);
    for (const auto &Change : Driver.takeEffects<effects::change_records>())
      Driver.send(events::change_ended{Change.Call, change_outcome::Done,
                                       ++Driver.Revision});
    acknowledgeClosure(Driver, 100);
    answerProbes(Driver, BeforePromotion);
    Ordered = !Driver.takeEffects<effects::order_promotion>().empty();
  }
  REQUIRE(Ordered);
  CHECK(Driver.Now >= Removed + 2000ms);
}

TEST_CASE("A lease is revoked only once its host's record shows that") {
  // Guards against a successor that takes a lease which its predecessor revoked
  // for one that ended by itself.
  silent_host Silent;
  CHECK_FALSE(Silent.goOn(2700ms));
  CHECK(Silent.Driver.takeEffects<effects::revoke_lease>().empty());
  REQUIRE(Silent.LastMark);
  const auto Record = parseHostRecord(Silent.LastMark->Writes.front().Value);
  REQUIRE(Record);
  CHECK(Record->Revoked);
  CHECK(Silent.LastMark->Writes.front().BoundToLease);
  CHECK(Silent.LastMark->Lease == 8);
  const auto &Expected = Silent.LastMark->Expected;
  CHECK(Expected.size() == 2);
  CHECK(std::find(Expected.begin(), Expected.end(),
                  std::pair(std::string(CoordinatorKey),
                            Silent.Driver.Host->Coordinator.FencingToken)) !=
        Expected.end());
  Silent.storeMark();
  CHECK(Silent.Driver.takeEffects<effects::revoke_lease>().size() == 1);
}

TEST_CASE("A revocation that the store makes under the next coordinator delays "
          "its orders") {
  silent_host Silent;
  Silent.IsMarked = true;
  host_record Marked;
  Marked.PeerEndpoint = {"10.0.0.2", 7560};
  Marked.Revoked = true;
  Marked.UnreachablePrimaries[Group] = "a";
  Silent.Driver.send(events::record_changed{
      {"hosts/host-2", formatRecord(Marked), ++Silent.Driver.Revision, 8}});
  CHECK_FALSE(Silent.goOn(1000ms));
  Silent.removeHost();
  CHECK_FALSE(Silent.goOn(1900ms));
  CHECK(Silent.goOn(400ms));
}

TEST_CASE("A host whose lease is being revoked gives it up") {
  // Also when its own registration was not confirmed.
  host_driver Driver;
  Driver.becomeReady();
  host_record Own;
  Own.PeerEndpoint = {"10.0.0.1", 7560};
  Own.DataCentre = "suva";
  Own.Revoked = true;
  Driver.send(events::record_changed{
      {"hosts/host-1", formatRecord(Own), ++Driver.Revision, 7}});
  CHECK_FALSE(hasValidLease(*Driver.Host, Driver.Now));
}

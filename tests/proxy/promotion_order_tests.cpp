/// Orders to promote are named in the closed record before they are sent, are
/// under way one at a time, and prove alone which target leads.
#include "coordinator_driver.hpp"

#include <proxy/state.hpp>

#include <algorithm>

using namespace session_test;

namespace {

using statuses = std::map<std::string, target_status>;

const target_status Replica{false, {1, 90}, 1};

target_status primaryOf(std::uint64_t Term) { return {true, {Term, 0}, Term}; }

/// A closed record that names an order of a previous coordinator.
group_record closedWith(std::optional<named_order> Order) {
  group_record Record{2, "a", false, {"host-1"}};
  Record.Term = 1;
  Record.LatestOrder = std::move(Order);
  return Record;
}

/// A host that has just become the coordinator and finds this record, which was
/// written before it took the role.
host_driver successorFinding(const group_record &Record) {
  host_driver Driver;
  becomeCoordinator(Driver);
  const std::uint64_t Token = Driver.Host->Coordinator.FencingToken;
  REQUIRE(Driver.Host->Groups.at(Group).Revision < Token - 1);
  Driver.send(events::record_changed{
      {std::string(GroupsPrefix) + Group, formatRecord(Record), Token - 1, 0}});
  return Driver;
}

/// What the coordinator does until it orders a promotion or opens the record.
struct outcome {
  std::optional<effects::order_promotion> Order;
  bool IsOpen = false;
  std::string Primary; ///< Of the record.
};

/// Lets the coordinator go on; the store confirms what it writes.
outcome runUntilDecided(host_driver &Driver, duration Span,
                        const statuses &Statuses) {
  const instant End = Driver.Now + Span;
  outcome Outcome;
  while (Driver.Now < End && !Outcome.Order && !Outcome.IsOpen) {
    runCoordinator(Driver, 20ms, Statuses);
    storeGroupRecords(Driver);
    const auto Orders = Driver.takeEffects<effects::order_promotion>();
    if (!Orders.empty())
      Outcome.Order = Orders.front();
    const auto &Record = Driver.Host->Groups.at(Group).Record;
    Outcome.IsOpen = Record->Open;
    Outcome.Primary = Record->Primary;
  }
  return Outcome;
}

/// Target of the next order, if there is one and the record stays closed.
std::optional<std::string> nextOrder(host_driver &Driver, duration Span,
                                     const statuses &Statuses) {
  const outcome Outcome = runUntilDecided(Driver, Span, Statuses);
  return Outcome.Order ? std::optional(Outcome.Order->Target) : std::nullopt;
}

/// Primary of the record once it is open, if no order is given before that.
std::optional<std::string> openedFor(host_driver &Driver, duration Span,
                                     const statuses &Statuses) {
  const outcome Outcome = runUntilDecided(Driver, Span, Statuses);
  return Outcome.IsOpen ? std::optional(Outcome.Primary) : std::nullopt;
}

void answerOrder(host_driver &Driver, order_outcome Outcome) {
  Driver.send(events::promotion_answered{Group, lastOrder(Driver), Outcome});
}

/// A coordinator whose primary is lost and that has ordered b.
host_driver coordinatorThatOrderedB() {
  host_driver Driver;
  becomeCoordinator(Driver);
  reportUnreachable(Driver, "host-1", "a");
  REQUIRE(nextOrder(Driver, 1s, {{"b", Replica}, {"c", Replica}}) == "b");
  return Driver;
}

/// A coordinator whose primary is lost and that has requested the change that
/// names its order of b.
host_driver coordinatorThatNamesB() {
  host_driver Driver;
  becomeCoordinator(Driver);
  reportUnreachable(Driver, "host-1", "a");
  const auto &Promotion = Driver.Host->Groups.at(Group).Promotion;
  for (int Round = 0; Round < 20 && Promotion.Stage != promotion_stage::Naming;
       ++Round) {
    storeGroupRecords(Driver);
    Driver.advanceTime(20ms);
    acknowledgeClosure(Driver, 100);
    answerProbes(Driver, {{"b", Replica}, {"c", Replica}});
  }
  REQUIRE(Promotion.Stage == promotion_stage::Naming);
  return Driver;
}

} // namespace

TEST_CASE("An order is sent once the closed record names it") {
  host_driver Driver = coordinatorThatNamesB();
  const auto &Promotion = Driver.Host->Groups.at(Group).Promotion;
  Driver.advanceTime(200ms);
  CHECK(Driver.takeEffects<effects::order_promotion>().empty());
  const auto Changes = Driver.takeEffects<effects::change_records>();
  const auto Naming =
      std::find_if(Changes.begin(), Changes.end(), [&](const auto &Change) {
        return Change.Call == Promotion.ChangeCall;
      });
  REQUIRE(Naming != Changes.end());
  const auto Record = parseGroupRecord(Naming->Writes.front().Value);
  REQUIRE(Record);
  CHECK_FALSE(Record->Open);
  REQUIRE(Record->LatestOrder);
  CHECK(Record->LatestOrder->Target == "b");
  CHECK(Record->LatestOrder->LedTerm == 0);
  Driver.send(events::change_ended{Naming->Call, change_outcome::Done,
                                   ++Driver.Revision});
  CHECK(Driver.takeEffects<effects::order_promotion>().size() == 1);
}

TEST_CASE("An order whose name was not confirmed is not sent") {
  // The store may make the change later, but the order was not given.
  host_driver Driver = coordinatorThatNamesB();
  const auto &Promotion = Driver.Host->Groups.at(Group).Promotion;
  Driver.send(
      events::change_ended{Promotion.ChangeCall, change_outcome::Unknown, 0});
  Driver.advanceTime(100ms);
  CHECK(Driver.takeEffects<effects::order_promotion>().empty());
}

TEST_CASE("A target that leads by an earlier order than the latest one is not "
          "used") {
  // Guards against two primaries: the latest order had made another target
  // lead, which the coordinator did not reach.
  host_driver Driver = coordinatorThatOrderedB();
  REQUIRE(nextOrder(Driver, 5s, {{"c", Replica}}) == "c");
  CHECK_FALSE(openedFor(Driver, 3s, {{"b", primaryOf(2)}}));
  CHECK(nextOrder(Driver, 2s, {{"b", primaryOf(2)}}) == "b");
  CHECK_FALSE(openedFor(Driver, 1s, {{"b", primaryOf(2)}}));
  CHECK(openedFor(Driver, 1s, {{"b", primaryOf(4)}}) == "b");
}

TEST_CASE("A successor uses the target of the latest order only") {
  // Guards against two primaries: c leads by an order before the latest one,
  // whose target is out of reach.
  host_driver Driver = successorFinding(closedWith(named_order{"b", 0}));
  CHECK_FALSE(openedFor(Driver, 2s, {{"c", primaryOf(2)}}));
  CHECK(nextOrder(Driver, 4s, {{"c", primaryOf(2)}}) == "c");
  CHECK_FALSE(openedFor(Driver, 1s, {{"c", primaryOf(2)}}));
  CHECK(openedFor(Driver, 1s, {{"c", primaryOf(4)}}) == "c");
}

TEST_CASE("A successor opens the record once the ordered target leads") {
  host_driver Driver = successorFinding(closedWith(named_order{"b", 0}));
  CHECK_FALSE(openedFor(Driver, 500ms, {{"b", Replica}, {"c", Replica}}));
  CHECK(openedFor(Driver, 500ms, {{"b", primaryOf(2)}, {"c", Replica}}) == "b");
}

TEST_CASE("A successor gives no order while its predecessor's may be carried "
          "out") {
  // Guards against two primaries: the earlier order was carried out a second
  // after the record had been opened for the target of the later one.
  host_driver Driver = successorFinding(closedWith(named_order{"b", 0}));
  const statuses Statuses = {{"a", primaryOf(1)}, {"b", Replica}};
  const instant HeldSince = Driver.Host->Coordinator.HeldSince;
  const outcome Early =
      runUntilDecided(Driver, HeldSince + 3500ms - Driver.Now - 20ms, Statuses);
  CHECK_FALSE(Early.Order);
  CHECK_FALSE(Early.IsOpen);
  CHECK(nextOrder(Driver, 1s, Statuses));
}

TEST_CASE("A successor need not wait if no order was named") {
  host_driver Driver = successorFinding(closedWith(std::nullopt));
  CHECK(nextOrder(Driver, 500ms, {{"b", Replica}, {"c", Replica}}) == "b");
}

TEST_CASE("The old primary is used without an order only if none was named") {
  const statuses OnlyOld = {{"a", primaryOf(1)}};
  host_driver Unordered = successorFinding(closedWith(std::nullopt));
  CHECK(openedFor(Unordered, 5s, OnlyOld) == "a");
  host_driver Ordered = successorFinding(closedWith(named_order{"b", 0}));
  CHECK(nextOrder(Ordered, 5s, OnlyOld) == "a");
}

TEST_CASE("A record of an earlier version may hide an order") {
  host_driver Driver =
      successorFinding(closedWith(named_order{std::string(), 0}));
  CHECK(nextOrder(Driver, 9s, {{"a", primaryOf(1)}}) == "a");
}

TEST_CASE("An unanswered order of the primary that leads proves nothing") {
  // Guards against the use of the old primary while a target leads that is out
  // of reach: the order of the old primary was lost.
  host_driver Driver = successorFinding(closedWith(named_order{"b", 0}));
  const statuses OnlyOld = {{"a", primaryOf(1)}};
  REQUIRE(nextOrder(Driver, 5s, OnlyOld) == "a");
  answerOrder(Driver, order_outcome::Unanswered);
  REQUIRE(nextOrder(Driver, 9s, OnlyOld) == "a");
  answerOrder(Driver, order_outcome::Accepted);
  CHECK_FALSE(openedFor(Driver, 3s, OnlyOld));
  CHECK(openedFor(Driver, 1s, OnlyOld) == "a");
}

TEST_CASE("An order that was refused is not waited for") {
  host_driver Driver = coordinatorThatOrderedB();
  answerOrder(Driver, order_outcome::Rejected);
  CHECK(nextOrder(Driver, 300ms, {{"b", Replica}, {"c", Replica}}) == "b");
}

TEST_CASE("A refused order of the primary that leads is no proof of it") {
  host_driver Driver = successorFinding(closedWith(named_order{"b", 0}));
  const statuses OnlyOld = {{"a", primaryOf(1)}};
  REQUIRE(nextOrder(Driver, 5s, OnlyOld) == "a");
  answerOrder(Driver, order_outcome::Rejected);
  CHECK_FALSE(openedFor(Driver, 4500ms, OnlyOld));
}

TEST_CASE("The old primary is used again after an order that was refused") {
  // Guards against a group that stays closed for as long as the platform
  // refuses orders, although its primary leads.
  for (const auto Refusal :
       {order_outcome::NotRunning, order_outcome::Rejected}) {
    host_driver Driver = coordinatorThatOrderedB();
    answerOrder(Driver, Refusal);
    CHECK(openedFor(Driver, 5s, {{"a", primaryOf(1)}}) == "a");
  }
}

TEST_CASE("A refused order leaves the one before it as the latest") {
  host_driver Driver = coordinatorThatOrderedB();
  answerOrder(Driver, order_outcome::Unanswered);
  REQUIRE(nextOrder(Driver, 5s, {{"c", Replica}}) == "c");
  answerOrder(Driver, order_outcome::Rejected);
  CHECK(openedFor(Driver, 500ms, {{"b", primaryOf(2)}}) == "b");
}

TEST_CASE("An own order whose name was not confirmed delays no other one") {
  // Guards against a longer gap: the name counted as one of a previous
  // coordinator, whose order might be under way.
  host_driver Driver = coordinatorThatNamesB();
  const auto &Promotion = Driver.Host->Groups.at(Group).Promotion;
  const std::string Named = Promotion.ChangeValue;
  (void)Driver.takeEffects<effects::change_records>();
  Driver.send(
      events::change_ended{Promotion.ChangeCall, change_outcome::Unknown, 0});
  Driver.send(events::record_changed{
      {std::string(GroupsPrefix) + Group, Named, ++Driver.Revision, 0}});
  CHECK(nextOrder(Driver, 1s, {{"b", Replica}, {"c", Replica}}));
}

TEST_CASE("The term that an order names is asked for after the wait for the "
          "order before") {
  // Guards against a target that led in a later term than was named.
  host_driver Driver = successorFinding(closedWith(named_order{"b", 0}));
  const statuses Statuses = {{"a", primaryOf(1)}, {"b", Replica}};
  const instant Until = Driver.Host->Coordinator.HeldSince + 3500ms;
  REQUIRE(nextOrder(Driver, 5s, Statuses));
  CHECK(Driver.Host->Groups.at(Group).Promotion.ProbesSentAt >= Until);
}

TEST_CASE("A primary is replaced again at once after its order was proved") {
  // The wait for an order ends with the proof that it was carried out.
  host_driver Driver = coordinatorThatOrderedB();
  REQUIRE(openedFor(Driver, 1s, {{"b", primaryOf(2)}}) == "b");
  reportUnreachable(Driver, "host-2", "b");
  CHECK(nextOrder(Driver, 500ms, {{"c", Replica}}) == "c");
}

TEST_CASE("A closed record keeps the order that it names") {
  const auto Named = parseGroupRecord(formatRecord(closedWith({{"b", 3}})));
  REQUIRE(Named);
  REQUIRE(Named->LatestOrder);
  CHECK(Named->LatestOrder->Target == "b");
  CHECK(Named->LatestOrder->LedTerm == 3);
  const auto Unnamed = parseGroupRecord(formatRecord(closedWith(std::nullopt)));
  REQUIRE(Unnamed);
  CHECK_FALSE(Unnamed->LatestOrder);
}

TEST_CASE("A closed record without the field for orders may hide one") {
  const auto Old = parseGroupRecord(
      R"({"generation":2,"primary":"a","open":false,"electors":[]})");
  REQUIRE(Old);
  REQUIRE(Old->LatestOrder);
  CHECK(Old->LatestOrder->Target.empty());
  const auto Odd = parseGroupRecord(
      R"({"generation":2,"primary":"a","open":false,"order":{"target":"b"}})");
  REQUIRE(Odd);
  REQUIRE(Odd->LatestOrder);
  CHECK(Odd->LatestOrder->Target.empty());
}

TEST_CASE("A record that was closed for its electors hides no order") {
  const auto Record = parseGroupRecord(
      R"({"generation":2,"primary":"a","open":false,"primary_stays":true})");
  REQUIRE(Record);
  CHECK_FALSE(Record->LatestOrder);
}

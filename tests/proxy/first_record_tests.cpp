/// The first record of a group: whether the store or other hosts may have known
/// an earlier one, and which target leads then.
#include "coordinator_driver.hpp"

using namespace session_test;

namespace {

/// Another target leads since term 2: "a" was replaced and does not know it.
const statuses Replaced = {{"a", {true, {1, 90}, 1}},
                           {"b", {true, {2, 40}, 2}},
                           {"c", {false, {2, 40}, 2}}};
/// Later than all closed generations.
constexpr std::uint64_t AnyGeneration = std::uint64_t{1} << 60U;

void listClaims(host_driver &Driver, const std::set<std::string> &Claims) {
  events::targets_listed Listed;
  for (const std::string Id : {"a", "b", "c"})
    Listed.Targets.push_back(host_driver::makeEntry(Id, Claims.contains(Id)));
  Driver.send(Listed);
}

void answerEmptyReads(host_driver &Driver) {
  for (const auto &Read : Driver.takeEffects<effects::read_records>())
    Driver.send(events::records_read{
        Read.Call, Read.Prefix, {}, true, ++Driver.Revision});
}

/// Takes the role's key once this host claims it.
bool answerClaim(host_driver &Driver) {
  for (const auto &Change : Driver.takeEffects<effects::change_records>())
    if (Change.Writes.front().Key == CoordinatorKey) {
      Driver.send(events::change_ended{Change.Call, change_outcome::Done,
                                       ++Driver.Revision});
      return true;
    }
  return false;
}

/// A process that starts before a store of an era, which has no record of the
/// group, and becomes the coordinator.
/// \param Era 0: the store tells none.
host_driver startCoordinator(std::uint64_t Era,
                             const std::set<std::string> &Claims) {
  host_driver Driver;
  if (Era != 0)
    Driver.send(events::store_restored{Era});
  Driver.Revision = (Era << 40U) + 10;
  Driver.send(events::store_reachability_changed{true});
  Driver.applySettings();
  listClaims(Driver, Claims);
  Driver.send(events::tick{});
  Driver.grantLease(7);
  Driver.send(events::tick{});
  REQUIRE(Driver.answerRegistration());
  Driver.send(events::tick{});
  answerEmptyReads(Driver);
  host_record Own;
  Own.PeerEndpoint = {"10.0.0.1", 7560};
  Driver.send(events::record_changed{
      {"hosts/host-1", formatRecord(Own), ++Driver.Revision, 7}});
  while (!answerClaim(Driver))
    Driver.advanceTime(20ms);
  answerRoleReads(Driver);
  return Driver;
}

/// What the coordinator did.
struct decisions {
  std::vector<group_record> Written;
  std::vector<std::string> Ordered;
};

/// Lets the coordinator go on. The store makes all changes, this host is the
/// only one, and targets answer until one is ordered to lead.
decisions run(host_driver &Driver, duration Span, statuses Statuses) {
  decisions Made;
  const instant End = Driver.Now + Span;
  while (Driver.Now < End) {
    Driver.grantLease(7);
    Driver.advanceTime(20ms);
    for (const auto &Change : Driver.takeEffects<effects::change_records>()) {
      if (!Change.Writes.front().Key.starts_with(GroupsPrefix))
        continue;
      const auto Record = parseGroupRecord(Change.Writes.front().Value);
      REQUIRE(Record);
      Made.Written.push_back(*Record);
      Driver.send(events::change_ended{Change.Call, change_outcome::Done,
                                       ++Driver.Revision});
    }
    acknowledgeClosure(Driver, AnyGeneration);
    answerProbes(Driver, Statuses);
    for (const auto &Order : Driver.takeEffects<effects::order_promotion>()) {
      Made.Ordered.push_back(Order.Target);
      Driver.send(events::promotion_answered{Group, Order.Call,
                                             order_outcome::Accepted});
      Statuses[Order.Target] = {true, {3, 0}, 3};
    }
  }
  return Made;
}

bool isOpenFor(const group_record &Record, const std::string &Target) {
  return Record.Open && Record.Primary == Target;
}

} // namespace

TEST_CASE("A process that starts after a restore opens no first record for a "
          "target that calls itself primary") {
  // Guards against writes at a replaced primary: the copy lacks the record, and
  // a process that has not seen the restore took the group for a new one.
  const std::set<std::string> Claims =
      GENERATE(std::set<std::string>{"a", "b"}, std::set<std::string>{"a"});
  host_driver Driver = startCoordinator(2, Claims);
  const decisions Made = run(Driver, 20s, Replaced);
  REQUIRE_FALSE(Made.Written.empty());
  CHECK_FALSE(Made.Written.front().Open);
  CHECK(Made.Written.front().Generation >= std::uint64_t{2} << 32U);
  REQUIRE(Made.Ordered.size() == 1);
  CHECK(Made.Ordered.front() != "a");
  CHECK(isOpenFor(Made.Written.back(), Made.Ordered.front()));
  for (const group_record &Record : Made.Written)
    CHECK_FALSE(isOpenFor(Record, "a"));
}

TEST_CASE("A process that starts after a restore leaves hosts the time to "
          "write a lost record again") {
  host_driver Driver = startCoordinator(2, {"a"});
  const instant End = earlierErasEnd(*Driver.Host);
  REQUIRE(End > Driver.Now + 1s);
  CHECK(run(Driver, End - Driver.Now - 40ms, Replaced).Written.empty());
  CHECK_FALSE(run(Driver, 100ms, Replaced).Written.empty());
}

TEST_CASE("A new installation opens its first record at once") {
  const std::uint64_t Era = GENERATE(0, 1);
  host_driver Driver = startCoordinator(Era, {"a"});
  const decisions Made = run(Driver, 40ms, {{"a", {true, {1, 0}, 1}}});
  REQUIRE(Made.Written.size() == 1);
  CHECK(isOpenFor(Made.Written.front(), "a"));
  CHECK(Made.Written.front().Generation == 1);
}

TEST_CASE("Which of two targets that call themselves primary leads is decided "
          "by their terms") {
  // Guards against writes at a replaced primary: the first one in the list was
  // taken.
  host_driver Driver = startCoordinator(0, {"a", "b"});
  const decisions Made = run(Driver, 5s, Replaced);
  REQUIRE(Made.Ordered.size() == 1);
  CHECK(Made.Ordered.front() != "a");
  for (const group_record &Record : Made.Written)
    CHECK_FALSE(isOpenFor(Record, "a"));
  CHECK(isOpenFor(Made.Written.back(), Made.Ordered.front()));
}

TEST_CASE("A silent target may be the one that leads") {
  host_driver Driver = startCoordinator(0, {"a", "b"});
  statuses Heard = Replaced;
  Heard.erase("b");
  Heard.erase("c");
  CHECK(run(Driver, 2s, Heard).Ordered.empty());
  const decisions Made = run(Driver, 5s, Replaced);
  REQUIRE(Made.Ordered.size() == 1);
  CHECK(Made.Ordered.front() != "a");
}

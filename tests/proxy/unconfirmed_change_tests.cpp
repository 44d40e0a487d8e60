/// Changes of the store that are not answered, and may be made later.
#include "coordinator_driver.hpp"

#include <proxy/parts.hpp>

using namespace session_test;

namespace {

/// A change of the group's record that the coordinator has requested.
struct requested_change {
  call_number Call = 0;
  std::uint64_t ExpectedRevision = 0;
  group_record Record;
};

std::optional<requested_change> takeGroupChange(host_driver &Driver) {
  for (const auto &Change : Driver.takeEffects<effects::change_records>())
    for (const auto &Write : Change.Writes)
      if (Write.Key.starts_with(GroupsPrefix))
        if (const auto Record = parseGroupRecord(Write.Value))
          return requested_change{Change.Call, Change.Expected.front().second,
                                  *Record};
  return std::nullopt;
}

void confirm(host_driver &Driver, const requested_change &Change) {
  Driver.send(events::change_ended{Change.Call, change_outcome::Done,
                                   ++Driver.Revision});
}

void leaveUnanswered(host_driver &Driver, const requested_change &Change) {
  Driver.send(events::change_ended{Change.Call, change_outcome::Unknown, 0});
}

const std::map<std::string, target_status> AllTargets = {
    {"a", {true, {1, 90}, 1}},
    {"b", {false, {1, 90}, 1}},
    {"c", {false, {1, 90}, 1}}};

/// Lets the coordinator go on for a while. All targets answer.
/// \returns Whether it has ordered a promotion.
bool ordersPromotion(host_driver &Driver, duration Span) {
  runCoordinator(Driver, Span, AllTargets);
  return !Driver.takeEffects<effects::order_promotion>().empty();
}

/// A coordinator whose change that opens the record again, after electors were
/// replaced, was not answered.
/// \returns The change.
requested_change loseReopening(host_driver &Driver) {
  Driver.Electors = {"host-1", "host-7"};
  becomeCoordinator(Driver);
  std::optional<requested_change> Closing;
  for (int Second = 0; Second < 20 && !Closing; ++Second) {
    Driver.advanceTime(1s);
    Driver.grantLease(7);
    Closing = takeGroupChange(Driver);
  }
  REQUIRE(Closing);
  confirm(Driver, *Closing);
  acknowledgeClosure(Driver, Closing->Record.Generation);
  Driver.advanceTime(20ms);
  const auto Opening = takeGroupChange(Driver);
  REQUIRE(Opening);
  REQUIRE(Opening->Record.Open);
  leaveUnanswered(Driver, *Opening);
  return *Opening;
}

/// Lets the host claim the coordinator role, which no host holds.
/// \returns The call of the claim.
call_number takeClaim(host_driver &Driver) {
  Driver.becomeReady();
  Driver.removeRecord(std::string(CoordinatorKey));
  Driver.advanceTime(700ms);
  Driver.grantLease(7);
  for (const auto &Change : Driver.takeEffects<effects::change_records>())
    if (Change.Writes.front().Key == CoordinatorKey)
      return Change.Call;
  FAIL("the host did not claim the role");
  return 0;
}

/// The call that removes the key of the coordinator role, if there is one.
std::optional<effects::change_records> takeReturn(host_driver &Driver) {
  for (const auto &Change : Driver.takeEffects<effects::change_records>())
    if (!Change.Deletes.empty() && Change.Deletes.front() == CoordinatorKey)
      return Change;
  return std::nullopt;
}

/// The change that registers the host, if there is one.
std::optional<effects::change_records> takeOwnWrite(host_driver &Driver) {
  for (auto &Change : Driver.takeEffects<effects::change_records>())
    if (!Change.Writes.empty() && Change.Writes.front().Key == "hosts/host-1")
      return Change;
  return std::nullopt;
}

std::uint64_t expectedRevision(const effects::change_records &Change) {
  REQUIRE(Change.Expected.size() == 1);
  CHECK(Change.Expected.front().first == "hosts/host-1");
  return Change.Expected.front().second;
}

/// Ends a change with a conflict, and shows the record that stands there.
void refuse(host_driver &Driver, const effects::change_records &Change,
            const std::optional<store_record> &Standing) {
  events::change_ended Ended{Change.Call, change_outcome::Conflict, 0};
  Ended.Current.emplace();
  if (Standing)
    Ended.Current->push_back(*Standing);
  Driver.send(std::move(Ended));
  Driver.send(events::tick{});
}

/// Requests the first registration under lease 7.
effects::change_records beginRegistration(host_driver &Driver) {
  Driver.send(events::store_reachability_changed{true});
  Driver.applySettings();
  Driver.listTargets();
  Driver.send(events::tick{});
  Driver.grantLease(7);
  Driver.send(events::tick{});
  const auto Change = takeOwnWrite(Driver);
  REQUIRE(Change);
  return *Change;
}

/// Lets the host's record change, as it acknowledges a closed record.
effects::change_records changeRegistration(host_driver &Driver) {
  Driver.becomeReady();
  Driver.writeGroupRecord("a", 2, false);
  Driver.advanceTime(20ms);
  const auto Change = takeOwnWrite(Driver);
  REQUIRE(Change);
  return *Change;
}

bool readsGroups(host_driver &Driver) {
  for (const auto &Read : Driver.takeEffects<effects::read_records>())
    if (Read.Prefix == GroupsPrefix)
      return true;
  return false;
}

bool holdsRole(const host_driver &Driver) {
  return Driver.Host->Coordinator.IsHeld;
}

} // namespace

TEST_CASE("No order is given while an unanswered change may still open the "
          "record") {
  // Guards against two primaries in use: the store opened the record for the
  // old primary after the order to promote another target.
  host_driver Driver;
  const requested_change Opening = loseReopening(Driver);
  CHECK_FALSE(ordersPromotion(Driver, 1s));
  const auto Closing = takeGroupChange(Driver);
  REQUIRE(Closing);
  CHECK_FALSE(Closing->Record.Open);
  CHECK(Closing->Record.Generation + 1 == Opening.Record.Generation);
  CHECK(Closing->ExpectedRevision == Opening.ExpectedRevision);
}

TEST_CASE("A change of the record that is made late ends the promotion") {
  host_driver Driver;
  const requested_change Opening = loseReopening(Driver);
  Driver.advanceTime(400ms);
  const auto Closing = takeGroupChange(Driver);
  REQUIRE(Closing);
  Driver.send(events::change_ended{Closing->Call, change_outcome::Conflict, 0});
  Driver.writeGroupRecord("a", Opening.Record.Generation, true);
  CHECK_FALSE(ordersPromotion(Driver, 1s));
  CHECK_FALSE(takeGroupChange(Driver));
}

TEST_CASE("A lost answer while electors are replaced leaves the primary") {
  // Guards against a needless change of primary.
  host_driver Driver;
  const requested_change Opening = loseReopening(Driver);
  Driver.advanceTime(400ms);
  const auto Closing = takeGroupChange(Driver);
  REQUIRE(Closing);
  confirm(Driver, *Closing);
  CHECK_FALSE(ordersPromotion(Driver, 200ms));
  const auto Reopening = takeGroupChange(Driver);
  REQUIRE(Reopening);
  CHECK(Reopening->Record.Open);
  CHECK(Reopening->Record.Primary == "a");
  CHECK(Reopening->Record.Generation == Opening.Record.Generation);
}

TEST_CASE("Another coordinator completes a replacement of electors") {
  // Guards against a needless change of primary after a coordinator's end.
  host_driver Driver;
  becomeCoordinator(Driver);
  Driver.send(events::record_changed{
      {std::string(GroupsPrefix) + Group,
       formatRecord(group_record{2, "a", false, Driver.Electors, true}),
       ++Driver.Revision, 0}});
  Driver.advanceTime(20ms);
  const auto Closing = takeGroupChange(Driver);
  REQUIRE(Closing);
  CHECK(Closing->Record.PrimaryStays);
  confirm(Driver, *Closing);
  CHECK_FALSE(ordersPromotion(Driver, 200ms));
  const auto Reopening = takeGroupChange(Driver);
  REQUIRE(Reopening);
  CHECK(Reopening->Record.Primary == "a");
  CHECK_FALSE(Reopening->Record.PrimaryStays);
}

TEST_CASE("A record that a previous coordinator left closed is written again "
          "before an order") {
  // The previous coordinator may have sent a change that opens it.
  host_driver Driver;
  becomeCoordinator(Driver);
  Driver.writeGroupRecord("a", 2, false);
  const std::uint64_t LeftAt = Driver.Revision;
  CHECK_FALSE(ordersPromotion(Driver, 1s));
  const auto Closing = takeGroupChange(Driver);
  REQUIRE(Closing);
  CHECK(Closing->Record.Generation == 2);
  CHECK(Closing->ExpectedRevision == LeftAt);
  confirm(Driver, *Closing);
  CHECK(ordersPromotion(Driver, 1s));
}

TEST_CASE("A promotion ends when another coordinator has changed the record") {
  host_driver Driver;
  becomeCoordinator(Driver);
  Driver.writeGroupRecord("a", 2, false);
  Driver.advanceTime(20ms);
  const auto Closing = takeGroupChange(Driver);
  REQUIRE(Closing);
  confirm(Driver, *Closing);
  Driver.writeGroupRecord("a", 3, true);
  CHECK_FALSE(ordersPromotion(Driver, 1s));
}

TEST_CASE("A claim of the coordinator role whose answer was lost is in force") {
  // Guards against a fleet without a coordinator as long as the host that holds
  // the key lives.
  host_driver Driver;
  const call_number Claim = takeClaim(Driver);
  Driver.send(events::change_ended{Claim, change_outcome::Unknown, 0});
  CHECK_FALSE(holdsRole(Driver));
  Driver.send(events::record_changed{
      {std::string(CoordinatorKey), "host-1", ++Driver.Revision, 7}});
  CHECK(holdsRole(Driver));
  CHECK(Driver.Host->Coordinator.FencingToken == Driver.Revision);
}

TEST_CASE("A key of the coordinator role under an earlier lease is not held") {
  // It belongs to an earlier process or lease, and disappears with that.
  host_driver Driver;
  const call_number Claim = takeClaim(Driver);
  Driver.send(events::change_ended{Claim, change_outcome::Unknown, 0});
  Driver.send(events::record_changed{
      {std::string(CoordinatorKey), "host-1", ++Driver.Revision, 6}});
  CHECK_FALSE(holdsRole(Driver));
}

TEST_CASE("A claim that is confirmed after its lease was lost is not held") {
  host_driver Driver;
  const call_number Claim = takeClaim(Driver);
  Driver.grantLease(8);
  Driver.send(
      events::change_ended{Claim, change_outcome::Done, ++Driver.Revision});
  CHECK_FALSE(holdsRole(Driver));
}

TEST_CASE("The coordinator role ends when its key is removed") {
  host_driver Driver;
  becomeCoordinator(Driver);
  REQUIRE(holdsRole(Driver));
  Driver.removeRecord(std::string(CoordinatorKey));
  CHECK_FALSE(holdsRole(Driver));
}

TEST_CASE("A host that stops repeats the return of the coordinator role until "
          "it is confirmed") {
  // Guards against a fleet without a coordinator for the whole grace period of
  // a stop, after the store refused the call or its answer was lost.
  host_driver Driver;
  becomeCoordinator(Driver);
  const std::uint64_t Token = Driver.Host->Coordinator.FencingToken;
  Driver.send(events::stop_requested{});
  for (const change_outcome Outcome :
       {change_outcome::Rejected, change_outcome::Unknown}) {
    const auto Return = takeReturn(Driver);
    REQUIRE(Return);
    CHECK(Return->Expected.front().second == Token);
    Driver.send(events::change_ended{Return->Call, Outcome, 0});
    Driver.advanceTime(400ms);
  }
  const auto Last = takeReturn(Driver);
  REQUIRE(Last);
  Driver.send(events::change_ended{Last->Call, change_outcome::Done,
                                   ++Driver.Revision});
  Driver.advanceTime(400ms);
  CHECK_FALSE(takeReturn(Driver));
}

TEST_CASE("A claim that is carried out while the host stops is returned") {
  host_driver Driver;
  const call_number Claim = takeClaim(Driver);
  Driver.send(events::change_ended{Claim, change_outcome::Unknown, 0});
  Driver.send(events::stop_requested{});
  Driver.send(events::record_changed{
      {std::string(CoordinatorKey), "host-1", ++Driver.Revision, 7}});
  CHECK_FALSE(holdsRole(Driver));
  Driver.advanceTime(20ms);
  CHECK(takeReturn(Driver));
}

TEST_CASE("A registration of an earlier process that is made late voids the "
          "host's own") {
  // Guards against a host that uses primaries while no coordinator waits for
  // it: its record is removed with the lease of the earlier process.
  host_driver Driver;
  Driver.becomeReady();
  host_record Earlier;
  Earlier.PeerEndpoint = {"10.0.0.1", 7560};
  Earlier.DataCentre = "suva";
  Driver.send(events::record_changed{
      {"hosts/host-1", formatRecord(Earlier), ++Driver.Revision, 6}});
  CHECK_FALSE(mayUsePrimary(*Driver.Host, Group, Driver.Now));
}

TEST_CASE("A registration expects the record that the host last knew") {
  // Guards against a late registration that overwrites a later one.
  host_driver Driver;
  const auto First = beginRegistration(Driver);
  CHECK(expectedRevision(First) == 0);
  const std::uint64_t Stored = ++Driver.Revision;
  Driver.send(events::change_ended{First.Call, change_outcome::Done, Stored});
  Driver.writeGroupRecord("a", 2, false);
  Driver.advanceTime(VoteLifetime);
  const auto Second = takeOwnWrite(Driver);
  REQUIRE(Second);
  CHECK(expectedRevision(*Second) == Stored);
}

TEST_CASE("A registration that was made without an answer counts as stored") {
  host_driver Driver;
  const auto First = beginRegistration(Driver);
  Driver.send(events::change_ended{First.Call, change_outcome::Unknown, 0});
  Driver.advanceTime(100ms);
  const auto Second = takeOwnWrite(Driver);
  REQUIRE(Second);
  CHECK(expectedRevision(*Second) == 0);
  refuse(Driver, *Second,
         store_record{"hosts/host-1", First.Writes.front().Value,
                      ++Driver.Revision, 7});
  CHECK_FALSE(takeOwnWrite(Driver));
  CHECK(readsGroups(Driver));
}

TEST_CASE("A first registration replaces the record of an earlier lease") {
  host_driver Driver;
  const auto First = beginRegistration(Driver);
  const std::uint64_t Standing = ++Driver.Revision;
  refuse(Driver, First,
         store_record{"hosts/host-1", First.Writes.front().Value, Standing, 6});
  const auto Second = takeOwnWrite(Driver);
  REQUIRE(Second);
  CHECK(expectedRevision(*Second) == Standing);
  CHECK_FALSE(readsGroups(Driver));
}

TEST_CASE("A host that finds another record instead of its own gives up its "
          "lease") {
  // Guards against a host that uses primaries, while no coordinator waits for
  // it, until its watch tells that its record is gone.
  const auto [IsRemoved, Lease, IsRevoked] =
      GENERATE(table<bool, std::uint64_t, bool>(
          {{true, 0, false}, {false, 6, false}, {false, 7, true}}));
  host_driver Driver;
  const auto Change = changeRegistration(Driver);
  REQUIRE(hasValidLease(*Driver.Host, Driver.Now));
  host_record Standing;
  Standing.PeerEndpoint = {"10.0.0.1", 7560};
  Standing.DataCentre = "suva";
  Standing.Revoked = IsRevoked;
  if (IsRemoved)
    refuse(Driver, Change, std::nullopt);
  else
    refuse(Driver, Change,
           store_record{"hosts/host-1", formatRecord(Standing),
                        ++Driver.Revision, Lease});
  CHECK_FALSE(hasValidLease(*Driver.Host, Driver.Now));
}

TEST_CASE("An earlier change of the own record that was made is replaced") {
  // Its value lacks the acknowledgement that the later change carries.
  host_driver Driver;
  const auto Change = changeRegistration(Driver);
  host_record Earlier;
  Earlier.PeerEndpoint = {"10.0.0.1", 7560};
  Earlier.DataCentre = "suva";
  const std::uint64_t Standing = ++Driver.Revision;
  refuse(Driver, Change,
         store_record{"hosts/host-1", formatRecord(Earlier), Standing, 7});
  CHECK(hasValidLease(*Driver.Host, Driver.Now));
  const auto Next = takeOwnWrite(Driver);
  REQUIRE(Next);
  CHECK(expectedRevision(*Next) == Standing);
  CHECK(Next->Writes.front().Value == Change.Writes.front().Value);
}

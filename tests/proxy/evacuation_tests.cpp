/// Evacuation of data centres: what is still sent to the targets there, and how
/// their primaries are replaced.
#include "coordinator_driver.hpp"

#include <proxy/state.hpp>

#include <algorithm>

using namespace session_test;

namespace {

using statuses = std::map<std::string, target_status>;

const target_status FreshReplica{false, {1, 90}, 1};
const target_status StaleReplica{false, {1, 70}, 1};
const target_status Primary{true, {1, 90}, 1};

/// Primary "a" and replica "b" in the data centre nadi, replica "c" in suva.
const std::map<std::string, std::string> MostInNadi{
    {"a", "nadi"}, {"b", "nadi"}, {"c", "suva"}};

void placeTargets(host_driver &Driver,
                  const std::map<std::string, std::string> &DataCentres) {
  events::targets_listed Listed;
  for (const auto &[Id, DataCentre] : DataCentres) {
    Listed.Targets.push_back(host_driver::makeEntry(Id, Id == "a"));
    Listed.Targets.back().DataCentre = DataCentre;
  }
  Driver.send(Listed);
}

void evacuate(host_driver &Driver, std::set<std::string> DataCentres,
              duration MaxAge = 0ms) {
  Driver.send(events::evacuations_changed{std::move(DataCentres), MaxAge});
}

host_driver readyHost() {
  host_driver Driver;
  Driver.becomeReady();
  placeTargets(Driver, MostInNadi);
  Driver.Effects.clear();
  return Driver;
}

host_driver coordinatorOf(
    const std::map<std::string, std::string> &DataCentres = MostInNadi) {
  host_driver Driver;
  becomeCoordinator(Driver);
  placeTargets(Driver, DataCentres);
  Driver.Effects.clear();
  return Driver;
}

/// Lets all dials succeed and completes all that is sent to targets.
/// \returns Ids of the callers' statements among it.
std::vector<std::string> answerTargets(host_driver &Driver) {
  std::vector<std::string> Ids;
  for (bool IsActive = true; IsActive;) {
    IsActive = !Driver.acceptDials().empty();
    for (const auto &Sent : Driver.takeEffects<effects::send_target>())
      for (const auto &Statement : Sent.Statements) {
        IsActive = true;
        if (!Statement.Id.empty())
          Ids.push_back(Statement.Id);
        Driver.send(events::target_answered{
            Sent.Connection, host_driver::completedAnswer({1, 90})});
      }
  }
  return Ids;
}

/// The answer to the only statement that was answered.
answer onlyAnswer(host_driver &Driver) {
  const auto Answers = Driver.takeEffects<effects::answer_caller>();
  REQUIRE(Answers.size() == 1);
  return Answers.front().Answer;
}

bool hasText(const answer &Answer, std::string_view Text) {
  return Answer.Text.find(Text) != std::string::npos;
}

std::vector<std::string> loggedEvents(host_driver &Driver) {
  std::vector<std::string> Events;
  for (const auto &Line : Driver.takeEffects<effects::write_log>())
    if (Line.Event.starts_with("evacuation."))
      Events.emplace_back(Line.Event);
  return Events;
}

std::string targetOf(const host_driver &Driver, connection_number Number) {
  return Driver.Host->Connections.at(Number).Target;
}

/// Groups whose records are written as closed by the effects so far.
std::set<std::string> closedGroups(host_driver &Driver) {
  std::set<std::string> Groups;
  for (const auto &Change : Driver.takeEffects<effects::change_records>())
    for (const auto &Write : Change.Writes)
      if (Write.Key.starts_with(GroupsPrefix))
        if (const auto Record = parseGroupRecord(Write.Value);
            Record && !Record->Open)
          Groups.insert(Write.Key.substr(GroupsPrefix.size()));
  return Groups;
}

/// Lets the coordinator go on, with a store that confirms what it writes, until
/// it orders a promotion. \returns The target, or nothing.
std::optional<std::string> orderedTarget(host_driver &Driver, duration Span,
                                         const statuses &Statuses) {
  const instant End = Driver.Now + Span;
  while (Driver.Now < End) {
    runCoordinator(Driver, 20ms, Statuses);
    storeGroupRecords(Driver);
    const auto Orders = Driver.takeEffects<effects::order_promotion>();
    if (!Orders.empty())
      return Orders.front().Target;
  }
  return std::nullopt;
}

/// Runs a write at the primary, whose answer lets replicas be read.
void runWrite(host_driver &Driver, session_number Session,
              const std::string &Id) {
  Driver.sendStatement(Session, Id, statement_kind::Write, "WRITE 1");
  REQUIRE(answerTargets(Driver) == std::vector<std::string>{Id});
  REQUIRE(onlyAnswer(Driver).Code == answer_code::Complete);
}

/// Opens a transaction at primary "a"; its first statement is answered.
session_number openTransactionAtPrimary(host_driver &Driver) {
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "b1", statement_kind::Begin, "BEGIN");
  Driver.sendStatement(Session, "w1", statement_kind::Write, "WRITE 1");
  Driver.acceptDials();
  const auto Open =
      host_driver::completedAnswer({1, 0}, session_phase::InTransaction);
  for (int Round = 0; Round < 2; ++Round)
    for (const auto &Sent : Driver.takeEffects<effects::send_target>())
      for (std::size_t Left = Sent.Statements.size(); Left > 0; --Left)
        Driver.send(events::target_answered{Sent.Connection, Open});
  REQUIRE(Driver.takeEffects<effects::answer_caller>().size() == 2);
  return Session;
}

} // namespace

TEST_CASE("Reads leave the replicas of an evacuated data centre at once") {
  host_driver Driver = readyHost();
  const session_number Writer = Driver.openSession("live");
  runWrite(Driver, Writer, "w1");
  evacuate(Driver, {"suva"}, 0ms);
  const session_number Reader = Driver.openSession("own");
  for (int Number = 0; Number < 6; ++Number) {
    Driver.sendStatement(Reader, "r" + std::to_string(Number),
                         statement_kind::Read, "READ 1");
    for (const auto &Dial : Driver.takeEffects<effects::open_target>()) {
      CHECK(targetOf(Driver, Dial.Connection) != "c");
      Driver.send(events::target_ready{Dial.Connection, log_position{1, 0}});
    }
    for (const auto &Sent : Driver.takeEffects<effects::send_target>()) {
      CHECK(targetOf(Driver, Sent.Connection) != "c");
      Driver.send(events::target_answered{
          Sent.Connection, host_driver::completedAnswer({1, 90})});
    }
    CHECK(onlyAnswer(Driver).Code == answer_code::Complete);
  }
}

TEST_CASE("A primary is used until shortly before an evacuation has to be in "
          "force, and no longer") {
  host_driver Driver = readyHost();
  const session_number Session = Driver.openSession("live");
  runWrite(Driver, Session, "w1");
  // The host's watch was proven 1.5 s ago: 3.5 s of the 5 s are left, and 1 s
  // of these is kept.
  evacuate(Driver, {"nadi"}, 1500ms);
  runWrite(Driver, Session, "w2");
  advanceUnderLease(Driver, 2400ms);
  runWrite(Driver, Session, "w3");
  advanceUnderLease(Driver, 200ms);
  Driver.takeEffects<effects::open_target>();
  Driver.sendStatement(Session, "w4", statement_kind::Write, "WRITE 1");
  advanceUnderLease(Driver, 3s);
  CHECK(answerTargets(Driver).empty());
  const answer Refused = onlyAnswer(Driver);
  CHECK(isNotRun(Refused.Code));
  CHECK(hasText(Refused, "retry after"));
}

TEST_CASE("An evacuation that may be old is in force at once") {
  host_driver Driver = readyHost();
  const session_number Session = Driver.openSession("live");
  runWrite(Driver, Session, "w1");
  evacuate(Driver, {"nadi"}, duration::max());
  Driver.sendStatement(Session, "w2", statement_kind::Write, "WRITE 1");
  advanceUnderLease(Driver, 1s);
  CHECK(answerTargets(Driver).empty());
}

TEST_CASE("A group whose targets are all evacuated is refused at once") {
  host_driver Driver = readyHost();
  evacuate(Driver, {"nadi", "suva"}, 5s);
  for (const std::string Database : {"live", "own"}) {
    const session_number Session = Driver.openSession(Database);
    Driver.sendStatement(Session, "r1", statement_kind::Read, "READ 1");
    const answer Refused = onlyAnswer(Driver);
    CHECK(isNotRun(Refused.Code));
    CHECK(hasText(Refused, "evacuated; retry after 5000 ms"));
  }
  CHECK(Driver.takeEffects<effects::open_target>().empty());
}

TEST_CASE("Statements wait for the replacement of an evacuated primary") {
  host_driver Driver = readyHost();
  evacuate(Driver, {"nadi"}, 5s);
  proxy_settings Settings = *Driver.Host->Settings;
  Settings.Version += 1;
  Settings.Routes["live"].StatementTimeout = 3s;
  Driver.send(events::settings_changed{Settings});
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "w1", statement_kind::Write, "WRITE 1");
  CHECK(Driver.takeEffects<effects::answer_caller>().empty());
  advanceUnderLease(Driver, 1s);
  Driver.writeGroupRecord("c", 3, true);
  CHECK(answerTargets(Driver) == std::vector<std::string>{"w1"});
  CHECK(onlyAnswer(Driver).Code == answer_code::Complete);
}

TEST_CASE("A transaction ends when its evacuated target may not be used, and "
          "nothing more is sent there") {
  host_driver Driver = readyHost();
  const session_number Session = openTransactionAtPrimary(Driver);
  // The use ends after 2 s, before the transaction's idle timeout.
  evacuate(Driver, {"nadi"}, 2s);
  advanceUnderLease(Driver, 1900ms);
  CHECK(Driver.takeEffects<effects::close_target>().empty());
  SECTION("between two statements") {
    advanceUnderLease(Driver, 200ms);
    CHECK(Driver.takeEffects<effects::close_target>().size() == 1);
  }
  SECTION("at its commit") { Driver.Now += 200ms; }
  Driver.sendStatement(Session, "c1", statement_kind::Commit, "COMMIT");
  CHECK(onlyAnswer(Driver).Code == answer_code::Aborted);
  CHECK(Driver.takeEffects<effects::send_target>().empty());
}

TEST_CASE("A statement whose setup outlasts the use of an evacuated target is "
          "not sent") {
  host_driver Driver = readyHost();
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "s1", statement_kind::SetValue, "SET v 1");
  Driver.sendStatement(Session, "w1", statement_kind::Write, "WRITE 1");
  Driver.acceptDials();
  const auto Setup = Driver.takeEffects<effects::send_target>();
  REQUIRE(Setup.size() == 1);
  REQUIRE(Setup.front().Statements.front().Id.empty());
  evacuate(Driver, {"nadi"}, 5s);
  Driver.send(events::target_answered{Setup.front().Connection,
                                      host_driver::completedAnswer({1, 0})});
  CHECK(Driver.takeEffects<effects::send_target>().empty());
}

TEST_CASE("An owner does not run what a host forwarded that did not know of "
          "the evacuation") {
  host_driver Driver = readyHost();
  evacuate(Driver, {"nadi"}, 5s);
  forwarded_statement Forwarded;
  Forwarded.Id = "r1";
  Forwarded.Group = Group;
  Forwarded.Account = "rago";
  Forwarded.Target = "a";
  Forwarded.Statement.Kind = statement_kind::Read;
  Forwarded.Statement.Text = "READ 1";
  Forwarded.NeedsPrimary = true;
  Forwarded.RemainingTime = 500ms;
  Driver.send(events::forward_requested{"#1", 77, Forwarded});
  const auto Answers = Driver.takeEffects<effects::answer_forward>();
  REQUIRE(Answers.size() == 1);
  CHECK(isNotRun(Answers.front().Answer.Code));
  CHECK(Driver.takeEffects<effects::open_target>().empty());
}

TEST_CASE("Connections to an evacuated data centre are closed once unused, and "
          "the log says when nothing is left") {
  host_driver Driver = readyHost();
  runWrite(Driver, Driver.openSession("live"), "w1");
  evacuate(Driver, {"nadi"}, 0ms);
  advanceUnderLease(Driver, 200ms);
  CHECK(Driver.takeEffects<effects::close_target>().empty());
  CHECK(loggedEvents(Driver) == std::vector<std::string>{"evacuation.begun"});
  Driver.writeGroupRecord("c", 3, true);
  advanceUnderLease(Driver, 200ms);
  CHECK(Driver.takeEffects<effects::close_target>().size() == 1);
  CHECK(loggedEvents(Driver) == std::vector<std::string>{"evacuation.done"});
  evacuate(Driver, {}, 0ms);
  CHECK(loggedEvents(Driver) == std::vector<std::string>{"evacuation.ended"});
}

TEST_CASE("The targets of a data centre are used again once its evacuation is "
          "taken back") {
  host_driver Driver = readyHost();
  const session_number Session = Driver.openSession("live");
  evacuate(Driver, {"nadi", "suva"}, 5s);
  Driver.sendStatement(Session, "w1", statement_kind::Write, "WRITE 1");
  REQUIRE(isNotRun(onlyAnswer(Driver).Code));
  evacuate(Driver, {"suva"}, 0ms);
  runWrite(Driver, Session, "w2");
}

TEST_CASE("A host of an evacuated data centre that is cut off goes on sending "
          "nothing to its targets") {
  host_driver Driver = readyHost();
  // Replicas may be read for as long as this position is young enough.
  runWrite(Driver, Driver.openSession("live"), "w1");
  const session_number Session = Driver.openSession("own");
  evacuate(Driver, {"suva", "nadi"}, 5s);
  Driver.send(events::store_reachability_changed{false});
  Driver.send(events::isolation_changed{true});
  for (int Number = 0; Number < 20; ++Number) {
    Driver.sendStatement(Session, "r" + std::to_string(Number),
                         statement_kind::Read, "READ 1");
    CHECK(answerTargets(Driver).empty());
    Driver.advanceTime(100ms);
  }
}

TEST_CASE("Primaries of an evacuated data centre are replaced side by side") {
  host_driver Driver = coordinatorOf();
  proxy_settings Settings = *Driver.Host->Settings;
  Settings.Version += 1;
  Settings.Groups["stock"] = {16};
  Driver.send(events::settings_changed{Settings});
  events::targets_listed Listed;
  for (const std::string Id : {"a", "c", "x", "z"}) {
    const bool IsPrimary = Id == "a" || Id == "x";
    Listed.Targets.push_back(host_driver::makeEntry(Id, IsPrimary));
    Listed.Targets.back().DataCentre = IsPrimary ? "nadi" : "suva";
    if (Id == "x" || Id == "z")
      Listed.Targets.back().Group = "stock";
  }
  Driver.send(Listed);
  Driver.send(events::record_changed{
      {std::string(GroupsPrefix) + "stock",
       formatRecord(group_record{1, "x", true, {"host-1"}}), ++Driver.Revision,
       0}});
  Driver.Effects.clear();
  evacuate(Driver, {"nadi"}, 0ms);
  Driver.advanceTime(20ms);
  CHECK(closedGroups(Driver) == std::set<std::string>{Group, "stock"});
}

TEST_CASE("An evacuated primary is replaced by a target elsewhere") {
  host_driver Driver = coordinatorOf();
  evacuate(Driver, {"nadi"}, 0ms);
  CHECK(orderedTarget(
            Driver, 1s,
            {{"a", Primary}, {"b", FreshReplica}, {"c", FreshReplica}}) == "c");
}

TEST_CASE("An evacuated primary stays where no other data centre has a copy") {
  host_driver Driver =
      coordinatorOf({{"a", "nadi"}, {"b", "nadi"}, {"c", "lautoka"}});
  evacuate(Driver, {"nadi", "lautoka"}, 0ms);
  Driver.advanceTime(200ms);
  CHECK(closedGroups(Driver).empty());
}

TEST_CASE("A second evacuation turns a replacement that is under way to the "
          "data centre that is left") {
  host_driver Driver =
      coordinatorOf({{"a", "nadi"}, {"b", "lautoka"}, {"c", "suva"}});
  evacuate(Driver, {"nadi"}, 0ms);
  const statuses Behind{
      {"a", Primary}, {"b", StaleReplica}, {"c", StaleReplica}};
  CHECK_FALSE(orderedTarget(Driver, 300ms, Behind));
  evacuate(Driver, {"nadi", "lautoka"}, 0ms);
  const statuses Both{{"a", Primary}, {"b", FreshReplica}, {"c", FreshReplica}};
  CHECK(orderedTarget(Driver, 500ms, Both) == "c");
}

TEST_CASE("A replica that lacks commits does not replace an evacuated primary, "
          "although the only one that has them is evacuated too") {
  host_driver Driver = coordinatorOf();
  evacuate(Driver, {"nadi"}, 0ms);
  const statuses OnlyInsideFresh{
      {"a", Primary}, {"b", FreshReplica}, {"c", StaleReplica}};
  CHECK_FALSE(orderedTarget(Driver, 3s, OnlyInsideFresh));
  const statuses CaughtUp{
      {"a", Primary}, {"b", FreshReplica}, {"c", FreshReplica}};
  CHECK(orderedTarget(Driver, 3s, CaughtUp) == "c");
}

TEST_CASE("A lost primary of an evacuated data centre is replaced there rather "
          "than without its commits, and then elsewhere") {
  host_driver Driver = coordinatorOf();
  evacuate(Driver, {"nadi"}, 0ms);
  CHECK(orderedTarget(Driver, 4s, {{"b", FreshReplica}, {"c", StaleReplica}}) ==
        "b");
}

TEST_CASE("An evacuation that is taken back while no replica is ready leaves "
          "the primary in its place") {
  host_driver Driver = coordinatorOf();
  evacuate(Driver, {"nadi"}, 0ms);
  const statuses Behind{
      {"a", Primary}, {"b", StaleReplica}, {"c", StaleReplica}};
  CHECK_FALSE(orderedTarget(Driver, 500ms, Behind));
  evacuate(Driver, {}, 0ms);
  CHECK_FALSE(orderedTarget(Driver, 4s, Behind));
  const auto &Record = Driver.Host->Groups.at(Group).Record;
  CHECK(Record->Open);
  CHECK(Record->Primary == "a");
}

TEST_CASE("A coordinator that takes over goes on with an evacuation and waits "
          "for a replica elsewhere") {
  host_driver Driver = coordinatorOf();
  const std::uint64_t Token = Driver.Host->Coordinator.FencingToken;
  group_record Closed{2, "a", false, {"host-1"}};
  Closed.Term = 1;
  Driver.send(events::record_changed{
      {std::string(GroupsPrefix) + Group, formatRecord(Closed), Token - 1, 0}});
  evacuate(Driver, {"nadi"}, duration::max());
  const statuses Behind{
      {"a", Primary}, {"b", FreshReplica}, {"c", StaleReplica}};
  CHECK_FALSE(orderedTarget(Driver, 500ms, Behind));
  const statuses CaughtUp{
      {"a", Primary}, {"b", FreshReplica}, {"c", FreshReplica}};
  CHECK(orderedTarget(Driver, 1s, CaughtUp) == "c");
}

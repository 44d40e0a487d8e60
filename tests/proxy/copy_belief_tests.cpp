/// What a host believes of a copy: a position, a role or a right counts only as
/// of the moment for which it is proved.
#include "position_driver.hpp"

using namespace session_test;

namespace {

/// Answers a read at the primary with its position, and lets the position's
/// connection become idle.
void primaryReports(host_driver &Driver, log_position Position) {
  Driver.send(events::target_answered{readFromPrimary(Driver),
                                      host_driver::completedAnswer(Position)});
  Driver.Effects.clear();
}

effects::send_target takeOnlySend(host_driver &Driver) {
  Driver.acceptDials();
  auto Sent = Driver.takeEffects<effects::send_target>();
  REQUIRE(Sent.size() == 1);
  return Sent.front();
}

/// Sends a statement of a new session. \returns What the target receives.
effects::send_target sendAlone(host_driver &Driver, statement_kind Kind) {
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "s1", Kind, "STATEMENT");
  return takeOnlySend(Driver);
}

/// Lists the targets with another start of "a".
void restartPrimary(host_driver &Driver) {
  target_entry Restarted = host_driver::makeEntry("a", true);
  Restarted.StartedAt = 2;
  Driver.send(
      events::targets_listed{{Restarted, host_driver::makeEntry("b", false),
                              host_driver::makeEntry("c", false)}});
}

/// Registers the host under another lease, with the record as given.
void renewHost(host_driver &Driver, const std::string &Primary,
               std::uint64_t Generation) {
  Driver.send(events::lease_answered{0, {}, Driver.Now, true});
  Driver.send(events::tick{});
  Driver.grantLease(8);
  Driver.send(events::tick{});
  REQUIRE(Driver.answerRegistration());
  Driver.send(events::tick{});
  REQUIRE(Driver.answerGroupsRead(Primary, Generation, true));
  Driver.Effects.clear();
}

} // namespace

TEST_CASE("A read at a primary requires the newest position of its log") {
  // Guards against reads at a primary that restarted behind its log.
  host_driver Driver;
  Driver.becomeReady();
  primaryReports(Driver, {1, 40});
  const auto Sent = sendAlone(Driver, statement_kind::Read);
  CHECK(Sent.Statements.front().RequiredPosition == log_position{1, 40});
}

TEST_CASE("A read at a restarted primary requires what it had") {
  host_driver Driver;
  Driver.becomeReady();
  primaryReports(Driver, {1, 40});
  restartPrimary(Driver);
  Driver.Effects.clear();
  const auto Sent = sendAlone(Driver, statement_kind::Read);
  CHECK(Sent.Statements.front().RequiredPosition == log_position{1, 40});
}

TEST_CASE("A transaction begins at a primary that has the newest position") {
  host_driver Driver;
  Driver.becomeReady();
  primaryReports(Driver, {1, 40});
  for (const statement_kind Kind :
       {statement_kind::Begin, statement_kind::BeginRead}) {
    const session_number Session = Driver.openSession("live");
    Driver.sendStatement(Session, "b1", Kind, "BEGIN");
    Driver.sendStatement(Session, "r1", statement_kind::Read, "READ 1");
    const auto Sent = takeOnlySend(Driver);
    CHECK(Sent.Statements.back().Statement.Kind == Kind);
    CHECK(Sent.Statements.back().RequiredPosition == log_position{1, 40});
  }
}

TEST_CASE("A write at a primary requires no position") {
  host_driver Driver;
  Driver.becomeReady();
  primaryReports(Driver, {1, 40});
  const auto Sent = sendAlone(Driver, statement_kind::Write);
  CHECK_FALSE(Sent.Statements.front().RequiredPosition);
}

TEST_CASE("A position required of a primary covers later ones than samples") {
  // Samples that are close to each other are not kept.
  host_driver Driver;
  Driver.becomeReady();
  primaryReports(Driver, {1, 40});
  primaryReports(Driver, {1, 41});
  const auto Sent = sendAlone(Driver, statement_kind::Read);
  CHECK(Sent.Statements.front().RequiredPosition == log_position{1, 41});
}

TEST_CASE("A position required of a primary ends with the generation") {
  // A primary whose log is shorter must not be refused for ever.
  host_driver Driver;
  Driver.becomeReady();
  primaryReports(Driver, {1, 40});
  Driver.writeGroupRecord("a", 5, true);
  const auto Sent = sendAlone(Driver, statement_kind::Read);
  CHECK_FALSE(Sent.Statements.front().RequiredPosition);
}

TEST_CASE("A primary that lacks its position is asked again after a delay") {
  host_driver Driver;
  Driver.becomeReady();
  primaryReports(Driver, {1, 40});
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "r1", statement_kind::Read, "READ 1");
  const auto First = takeOnlySend(Driver);
  Driver.send(events::target_answered{
      First.Connection, host_driver::refusedAnswer(answer_code::Lagging)});
  CHECK(Driver.takeEffects<effects::send_target>().empty());
  CHECK(Driver.takeEffects<effects::answer_caller>().empty());
  Driver.advanceTime(100ms);
  const auto Second = takeOnlySend(Driver);
  CHECK(Second.Statements.front().RequiredPosition == log_position{1, 40});
  Driver.send(events::target_answered{Second.Connection,
                                      host_driver::completedAnswer({1, 40})});
  const auto Answers = Driver.takeEffects<effects::answer_caller>();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers.front().Answer.Code == answer_code::Complete);
}

TEST_CASE("A read that its primary refuses as lagging has not run") {
  host_driver Driver;
  Driver.becomeReady();
  primaryReports(Driver, {1, 40});
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "r1", statement_kind::Read, "READ 1");
  std::vector<effects::answer_caller> Answers;
  while (Answers.empty() && Driver.Now < instant(1003s)) {
    Driver.acceptDials();
    for (const auto &Sent : Driver.takeEffects<effects::send_target>())
      Driver.send(events::target_answered{
          Sent.Connection, host_driver::refusedAnswer(answer_code::Lagging)});
    Answers = Driver.takeEffects<effects::answer_caller>();
    Driver.advanceTime(20ms);
  }
  REQUIRE(Answers.size() == 1);
  CHECK(isNotRun(Answers.front().Answer.Code));
}

TEST_CASE("A lower position of a primary does not lower what replicas need") {
  // A primary that restarts behind its log answers with a lower position.
  host_driver Driver;
  Driver.becomeReady();
  primaryReports(Driver, {1, 40});
  Driver.advanceTime(100ms);
  primaryReports(Driver, {1, 4});
  Driver.advanceTime(1200ms);
  Driver.grantLease(7);
  target_request Read;
  Read.Route = Driver.Host->Settings->Routes.at("own");
  Read.Route.MaxStaleness = 1550ms;
  const auto Found = requiredReadPosition(*Driver.Host, Read, Driver.Now);
  CHECK(Found == log_position{1, 40});
}

/// Forwards a read to a host that runs it on a replica, behind a session value
/// that its connection lacks. \returns The setup that the host sends.
effects::send_target beginReadWithSetup(host_driver &Driver) {
  Driver.becomeReady();
  assignOwners(Driver);
  Driver.send(events::forward_requested{"#1", 5, replicaRead("b")});
  (void)takeOnlyAnswer(Driver);
  sharePosition(Driver, {1, 40}, 100ms);
  forwarded_statement Read = replicaRead("b");
  Read.Values["v"] = "1";
  Read.RemainingTime = 3s;
  Driver.send(events::forward_requested{"#1", 6, Read});
  return takeOnlySend(Driver);
}

TEST_CASE("A read whose setup outlasts its position is not run on a replica") {
  // The position was chosen when the setup began, and covers too little then.
  host_driver Driver;
  const auto Setup = beginReadWithSetup(Driver);
  Driver.Now += 1600ms;
  Driver.grantLease(7);
  Driver.send(events::target_answered{Setup.Connection,
                                      host_driver::completedAnswer({1, 40})});
  CHECK(Driver.takeEffects<effects::send_target>().empty());
  CHECK(takeOnlyAnswer(Driver).Code == answer_code::Lagging);
}

TEST_CASE("A read whose setup takes a while requires a later position") {
  host_driver Driver;
  const auto Setup = beginReadWithSetup(Driver);
  Driver.advanceTime(900ms);
  Driver.grantLease(7);
  const auto Requests = Driver.takeEffects<effects::request_position>();
  REQUIRE_FALSE(Requests.empty());
  Driver.send(events::position_received{
      {Group, "a", {1, 60}, 0ms, Requests.back().Request.AskedAt}});
  Driver.Now += 400ms;
  Driver.send(events::target_answered{Setup.Connection,
                                      host_driver::completedAnswer({1, 40})});
  const auto Sent = Driver.takeEffects<effects::send_target>();
  REQUIRE(Sent.size() == 1);
  CHECK(Sent.front().Statements.front().RequiredPosition ==
        log_position{1, 60});
}

TEST_CASE("A suspended owner does not tell a primary's position") {
  host_driver Driver;
  Driver.becomeReady();
  primaryReports(Driver, {1, 40});
  Driver.Now += 2s;
  Driver.send(events::position_requested{"#1", {Group, instant(3s)}});
  CHECK(Driver.takeEffects<effects::send_position>().empty());
}

TEST_CASE("A position's age counts the suspension of the host that asked") {
  host_driver Driver;
  Driver.becomeReady();
  assignOwners(Driver);
  Driver.send(events::forward_requested{"#1", 5, replicaRead("b")});
  (void)takeOnlyAnswer(Driver);
  Driver.Now += 1500ms;
  sharePosition(Driver, {1, 40}, 0ms);
  Driver.grantLease(7);
  Driver.send(events::forward_requested{"#1", 6, replicaRead("b")});
  CHECK(takeOnlyAnswer(Driver).Code == answer_code::Lagging);
}

TEST_CASE("A position that was asked for before a restart is not adopted") {
  host_driver Earlier;
  Earlier.becomeReady();
  assignOwners(Earlier);
  Earlier.send(events::forward_requested{"#1", 5, replicaRead("b")});
  const auto Requests = Earlier.takeEffects<effects::request_position>();
  REQUIRE(Requests.size() == 1);
  host_driver Driver;
  Driver.Now = Earlier.Now;
  Driver.becomeReady();
  assignOwners(Driver);
  Driver.send(events::position_received{
      {Group, "a", {1, 40}, 0ms, Requests.front().Request.AskedAt}});
  CHECK(Driver.Host->Groups.at(Group).Samples.Samples.empty());
}

TEST_CASE("A position that was asked for under another generation is not "
          "adopted") {
  // The watch passed on only the latest of three changes of the record.
  host_driver Driver;
  Driver.becomeReady();
  assignOwners(Driver);
  Driver.send(events::forward_requested{"#1", 5, replicaRead("b")});
  const auto Requests = Driver.takeEffects<effects::request_position>();
  REQUIRE(Requests.size() == 1);
  Driver.writeGroupRecord("a", 5, true);
  Driver.send(events::position_received{
      {Group, "a", {1, 40}, 0ms, Requests.front().Request.AskedAt}});
  CHECK(Driver.Host->Groups.at(Group).Samples.Samples.empty());
}

TEST_CASE("Positions of a replaced primary prove nothing of its successor") {
  host_driver Driver;
  Driver.becomeReady();
  primaryReports(Driver, {1, 40});
  Driver.writeGroupRecord("b", 3, true);
  const auto Sent = sendAlone(Driver, statement_kind::Read);
  CHECK_FALSE(Sent.Statements.front().RequiredPosition);
  CHECK(Driver.Host->Groups.at(Group).Samples.Samples.empty());
}

TEST_CASE("A position keeps its age over a lease that was granted anew") {
  host_driver Driver;
  Driver.becomeReady();
  assignOwners(Driver);
  Driver.send(events::forward_requested{"#1", 5, replicaRead("b")});
  (void)takeOnlyAnswer(Driver);
  sharePosition(Driver, {1, 40}, 0ms);
  Driver.Now += 1900ms;
  renewHost(Driver, "a", 1);
  Driver.send(events::forward_requested{"#1", 6, replicaRead("b")});
  CHECK(takeOnlyAnswer(Driver).Code == answer_code::Lagging);
}

TEST_CASE("A position that is answered under another lease counts from its "
          "statement") {
  host_driver Driver;
  Driver.becomeReady();
  const connection_number Connection = readFromPrimary(Driver);
  const instant SentAt = Driver.Now;
  Driver.Now += 1900ms;
  renewHost(Driver, "a", 1);
  Driver.send(events::target_answered{Connection,
                                      host_driver::completedAnswer({1, 40})});
  for (const auto &Sample : Driver.Host->Groups.at(Group).Samples.Samples)
    CHECK(Sample.SentAt <= SentAt);
}

TEST_CASE("A caller's commit on one group is not required of another one") {
  host_driver Driver;
  Driver.becomeReady();
  proxy_settings Settings = *Driver.Host->Settings;
  Settings.Version += 1;
  Settings.Groups["invoices"] = {16};
  Settings.Routes["own"].Group = "invoices";
  const session_number Session = Driver.openSession("own");
  Driver.sendStatement(Session, "w1", statement_kind::Write, "WRITE 1 x");
  Driver.send(events::target_answered{takeOnlySend(Driver).Connection,
                                      host_driver::completedAnswer({7, 400})});
  Driver.send(events::settings_changed{Settings});
  target_entry Other = host_driver::makeEntry("d", true);
  Other.Group = "invoices";
  Driver.send(events::targets_listed{
      {host_driver::makeEntry("a", true), host_driver::makeEntry("b", false),
       host_driver::makeEntry("c", false), Other}});
  Driver.send(events::record_changed{
      {std::string(GroupsPrefix) + "invoices",
       formatRecord(group_record{1, "d", true, Driver.Electors}),
       ++Driver.Revision, 0}});
  Driver.sendStatement(Session, "r1", statement_kind::Read, "READ 1");
  const auto Sent = takeOnlySend(Driver);
  CHECK_FALSE(Sent.Statements.front().RequiredPosition);
}

TEST_CASE("A commit that another host ran is required of a replica") {
  host_driver Driver;
  Driver.becomeReady();
  assignOwners(Driver);
  const session_number Session = Driver.openSession("own");
  Driver.sendStatement(Session, "w1", statement_kind::Write, "WRITE 1 x");
  const auto Forwards = Driver.takeEffects<effects::forward>();
  REQUIRE(Forwards.size() == 1);
  Driver.send(events::target_answered{Forwards.front().Ticket,
                                      host_driver::completedAnswer({1, 44})});
  Driver.advanceTime(600ms);
  Driver.grantLease(7);
  CHECK(Driver.Host->Sessions.at(Session).LastCommitPosition ==
        log_position{1, 44});
  Driver.sendStatement(Session, "r1", statement_kind::Read, "READ 1");
  Driver.acceptDials();
  for (const auto &Sent : Driver.takeEffects<effects::send_target>())
    CHECK(Sent.Statements.front().RequiredPosition == log_position{1, 44});
}

TEST_CASE("A copy that takes a primary's address is not the primary") {
  // A primary that crashed is listed under a new id, and says primary.
  host_driver Driver;
  Driver.becomeReady();
  primaryReports(Driver, {1, 40});
  target_entry Successor = host_driver::makeEntry("d", true);
  Successor.Endpoint = host_driver::makeEntry("a", true).Endpoint;
  Driver.send(
      events::targets_listed{{Successor, host_driver::makeEntry("b", false),
                              host_driver::makeEntry("c", false)}});
  Driver.advanceTime(2100ms);
  Driver.grantLease(7);
  Driver.Effects.clear();
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "r1", statement_kind::Read, "READ 1");
  Driver.acceptDials();
  CHECK(Driver.takeEffects<effects::send_target>().empty());
}

TEST_CASE("A read-only transaction at a replica ends with the replica") {
  host_driver Driver;
  Driver.becomeReady();
  assignOwners(Driver);
  Driver.send(events::forward_requested{"#1", 5, replicaRead("b")});
  (void)takeOnlyAnswer(Driver);
  sharePosition(Driver, {1, 40}, 0ms);
  forwarded_statement Read = replicaRead("b");
  Read.InTransaction = true;
  Read.Begins = forward_begin::BeginRead;
  Driver.send(events::forward_requested{"#1", 6, Read});
  const auto Begin = takeOnlySend(Driver);
  CHECK(Begin.Statements.back().RequiredPosition == log_position{1, 40});
  const auto Answer =
      host_driver::completedAnswer({1, 40}, session_phase::InTransaction);
  Driver.send(events::target_answered{Begin.Connection, Answer});
  Driver.send(events::target_answered{Begin.Connection, Answer});
  CHECK(takeOnlyAnswer(Driver).Code == answer_code::Complete);
  target_entry Restarted = host_driver::makeEntry("b", false);
  Restarted.StartedAt = 2;
  Driver.send(
      events::targets_listed{{host_driver::makeEntry("a", true), Restarted,
                              host_driver::makeEntry("c", false)}});
  Read.Begins = forward_begin::None;
  Driver.send(events::forward_requested{"#1", 6, Read});
  CHECK(takeOnlyAnswer(Driver).Code == answer_code::Aborted);
}

TEST_CASE("A read is not sent again to a primary that was replaced") {
  host_driver Driver;
  Driver.becomeReady();
  const connection_number First = readFromPrimary(Driver);
  Driver.writeGroupRecord("a", 2, false);
  Driver.advanceTime(200ms);
  Driver.writeGroupRecord("b", 3, true);
  Driver.Effects.clear();
  Driver.send(events::target_lost{First});
  for (const auto &Dial : Driver.acceptDials())
    CHECK(Dial.Target == "b");
  for (const auto &Sent : Driver.takeEffects<effects::send_target>())
    CHECK(Driver.Host->Connections.at(Sent.Connection).Target == "b");
}

TEST_CASE("A session whose commit has no known position reads at the primary") {
  host_driver Driver;
  Driver.becomeReady();
  const session_number Session = Driver.openSession("own");
  Driver.sendStatement(Session, "w1", statement_kind::Write, "WRITE 1 x");
  answer Answer = host_driver::completedAnswer({1, 40});
  Answer.Position.reset();
  Driver.send(events::target_answered{takeOnlySend(Driver).Connection, Answer});
  Driver.advanceTime(600ms);
  target_request Read;
  Read.Session = Session;
  Read.Route = Driver.Host->Settings->Routes.at("own");
  CHECK_FALSE(mayReadReplica(*Driver.Host, Read, Driver.Now));
}

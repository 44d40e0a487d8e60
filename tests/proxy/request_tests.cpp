/// Statements that need a target: outcomes, retries, callers that disconnect.
#include "host_driver.hpp"

using namespace session_test;

namespace {

effects::send_target takeOnlySend(host_driver &Driver) {
  auto Sent = Driver.takeEffects<effects::send_target>();
  REQUIRE(Sent.size() == 1);
  return Sent.front();
}

answer takeOnlyAnswer(host_driver &Driver) {
  auto Answers = Driver.takeEffects<effects::answer_caller>();
  REQUIRE(Answers.size() == 1);
  return Answers.front().Answer;
}

} // namespace

TEST_CASE("A read is not hedged for a caller that has disconnected") {
  // A slow read was sent a second time for a session that had been closed,
  // and the process ended.
  host_driver Driver;
  Driver.becomeReady();
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "r1", statement_kind::Read, "READ 1");
  Driver.acceptDials();
  (void)takeOnlySend(Driver);
  Driver.send(events::session_closed{Session});
  CHECK_NOTHROW(Driver.advanceTime(700ms));
}

TEST_CASE("A lost write is in doubt and is never sent again") {
  host_driver Driver;
  Driver.becomeReady();
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "w1", statement_kind::Write, "WRITE 1 x");
  Driver.acceptDials();
  const auto Sent = takeOnlySend(Driver);
  Driver.send(events::target_lost{Sent.Connection});
  CHECK(takeOnlyAnswer(Driver).Code == answer_code::InDoubt);
  Driver.advanceTime(100ms);
  CHECK(Driver.takeEffects<effects::send_target>().empty());
}

TEST_CASE("A read whose connection is lost is retried") {
  host_driver Driver;
  Driver.becomeReady();
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "r1", statement_kind::Read, "READ 1");
  Driver.acceptDials();
  const auto Sent = takeOnlySend(Driver);
  Driver.send(events::target_lost{Sent.Connection});
  CHECK(Driver.takeEffects<effects::answer_caller>().empty());
  Driver.acceptDials();
  const auto Again = takeOnlySend(Driver);
  Driver.send(events::target_answered{Again.Connection,
                                      host_driver::completedAnswer({1, 4})});
  CHECK(takeOnlyAnswer(Driver).Code == answer_code::Complete);
}

TEST_CASE("A write is retried when the target guarantees that it was not run") {
  host_driver Driver;
  Driver.becomeReady();
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "w1", statement_kind::Write, "WRITE 1 x");
  Driver.acceptDials();
  const auto Sent = takeOnlySend(Driver);
  Driver.send(events::target_answered{
      Sent.Connection, host_driver::refusedAnswer(answer_code::Busy)});
  Driver.advanceTime(60ms);
  CHECK(takeOnlySend(Driver).Statements.front().Id == "w1");
}

TEST_CASE(
    "A transaction begins at its first statement and keeps its connection") {
  host_driver Driver;
  Driver.becomeReady();
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "b", statement_kind::Begin, "BEGIN");
  CHECK(takeOnlyAnswer(Driver).Phase == session_phase::InTransaction);
  CHECK(Driver.takeEffects<effects::open_target>().empty());
  Driver.sendStatement(Session, "w1", statement_kind::Write, "WRITE 1 x");
  Driver.acceptDials();
  const auto Begin = takeOnlySend(Driver);
  CHECK(Begin.Statements.front().Statement.Kind == statement_kind::Begin);
  Driver.send(events::target_answered{
      Begin.Connection,
      host_driver::completedAnswer({1, 0}, session_phase::InTransaction)});
  const auto Write = takeOnlySend(Driver);
  CHECK(Write.Connection == Begin.Connection);
  Driver.send(events::target_answered{
      Write.Connection,
      host_driver::completedAnswer({1, 0}, session_phase::InTransaction)});
  CHECK(takeOnlyAnswer(Driver).Code == answer_code::Complete);
  Driver.sendStatement(Session, "c", statement_kind::Commit, "COMMIT");
  const auto Commit = takeOnlySend(Driver);
  CHECK(Commit.Connection == Begin.Connection);
  Driver.send(events::target_lost{Commit.Connection});
  const answer Answer = takeOnlyAnswer(Driver);
  CHECK(Answer.Code == answer_code::InDoubt);
  CHECK(Answer.Phase == session_phase::Idle);
}

TEST_CASE("A transaction whose connection is lost is reported as aborted") {
  host_driver Driver;
  Driver.becomeReady();
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "b", statement_kind::Begin, "BEGIN");
  Driver.sendStatement(Session, "w1", statement_kind::Write, "WRITE 1 x");
  Driver.acceptDials();
  const auto Begin = takeOnlySend(Driver);
  Driver.send(events::target_answered{
      Begin.Connection,
      host_driver::completedAnswer({1, 0}, session_phase::InTransaction)});
  (void)takeOnlySend(Driver);
  Driver.takeEffects<effects::answer_caller>();
  Driver.send(events::target_lost{Begin.Connection});
  const answer Answer = takeOnlyAnswer(Driver);
  CHECK(Answer.Code == answer_code::Aborted);
  CHECK(Answer.Phase == session_phase::Failed);
}

TEST_CASE("Another session's values are reset before a statement runs") {
  host_driver Driver;
  Driver.becomeReady();
  const session_number First = Driver.openSession("live");
  statement Set;
  Set.Kind = statement_kind::SetValue;
  Set.Name = "colour";
  Set.Operand = "red";
  Driver.send(events::statement_arrived{First, "s", Set});
  Driver.sendStatement(First, "r1", statement_kind::Read, "READ 1");
  Driver.acceptDials();
  const auto Setup = takeOnlySend(Driver);
  CHECK(Setup.Statements.front().Statement.Kind == statement_kind::SetValue);
  Driver.send(events::target_answered{Setup.Connection,
                                      host_driver::completedAnswer({1, 0})});
  const auto Read = takeOnlySend(Driver);
  Driver.send(events::target_answered{Read.Connection,
                                      host_driver::completedAnswer({1, 0})});
  const session_number Second = Driver.openSession("live");
  Driver.sendStatement(Second, "r2", statement_kind::Read, "READ 2");
  const auto Reset = takeOnlySend(Driver);
  CHECK(Reset.Connection == Setup.Connection);
  CHECK(Reset.Statements.front().Statement.Kind == statement_kind::ResetValues);
}

TEST_CASE("A withdrawn key is denied on an open session") {
  host_driver Driver;
  Driver.becomeReady();
  const session_number Session = Driver.openSession("live");
  proxy_settings Next;
  Next.Version = 2;
  Next.Groups[Group] = {16};
  Next.Routes["live"].Database = "live";
  Next.Routes["live"].Group = Group;
  Driver.send(events::settings_changed{Next});
  Driver.sendStatement(Session, "r1", statement_kind::Read, "READ 1");
  CHECK(takeOnlyAnswer(Driver).Code == answer_code::Denied);
}

TEST_CASE(
    "A connection with an open transaction is not used by another session") {
  // The caller disconnected while the connection was being set up for the next
  // statement of its transaction. The connection was then marked idle although
  // the transaction was still open.
  host_driver Driver;
  Driver.becomeReady();
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "b", statement_kind::Begin, "BEGIN");
  Driver.sendStatement(Session, "r1", statement_kind::Read, "READ 1");
  Driver.acceptDials();
  const auto Begin = takeOnlySend(Driver);
  const auto Open =
      host_driver::completedAnswer({1, 0}, session_phase::InTransaction);
  Driver.send(events::target_answered{Begin.Connection, Open});
  (void)takeOnlySend(Driver);
  Driver.send(events::target_answered{Begin.Connection, Open});
  statement Set;
  Set.Kind = statement_kind::SetValue;
  Set.Name = "colour";
  Set.Operand = "red";
  Driver.send(events::statement_arrived{Session, "s", Set});
  Driver.sendStatement(Session, "r2", statement_kind::Read, "READ 2");
  (void)takeOnlySend(Driver);
  Driver.send(events::session_closed{Session});
  Driver.send(events::target_answered{Begin.Connection, Open});
  const session_number Other = Driver.openSession("live");
  Driver.sendStatement(Other, "r3", statement_kind::Read, "READ 3");
  for (const auto &Sent : Driver.takeEffects<effects::send_target>())
    CHECK(Sent.Connection != Begin.Connection);
}

namespace {

/// Lists the primary as draining, and no other target.
void drainPrimary(host_driver &Driver) {
  auto Leaving = host_driver::makeEntry("a", true);
  Leaving.Draining = true;
  Driver.send(events::targets_listed{{Leaving}});
}

/// Whether a read is sent to the primary now. It is answered at once.
bool sendsRead(host_driver &Driver, const std::string &Id) {
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, Id, statement_kind::Read, "READ 1");
  Driver.acceptDials();
  const auto Sent = Driver.takeEffects<effects::send_target>();
  for (const auto &Each : Sent)
    Driver.send(events::target_answered{Each.Connection,
                                        host_driver::completedAnswer({1, 0})});
  return !Sent.empty();
}

} // namespace

TEST_CASE("A draining primary is used until the drain period ends") {
  host_driver Driver;
  Driver.becomeReady();
  advanceUnderLease(Driver, 1000ms);
  drainPrimary(Driver);
  CHECK(sendsRead(Driver, "r1"));
  advanceUnderLease(Driver, 5500ms);
  CHECK(sendsRead(Driver, "r2"));
  advanceUnderLease(Driver, 1500ms);
  CHECK_FALSE(sendsRead(Driver, "r3"));
}

TEST_CASE("A primary that a new process finds draining is used for half of the "
          "drain period") {
  // Guards against statements at a target that has drained: a process that
  // starts does not know how long ago the drain began.
  host_driver Driver;
  Driver.becomeReady();
  drainPrimary(Driver);
  CHECK(sendsRead(Driver, "r1"));
  advanceUnderLease(Driver, 2000ms);
  CHECK(sendsRead(Driver, "r2"));
  advanceUnderLease(Driver, 1000ms);
  CHECK_FALSE(sendsRead(Driver, "r3"));
}

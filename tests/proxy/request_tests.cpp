/// Statements that need a target: outcomes, retries, callers that disconnect.
#include "host_driver.hpp"

using namespace session_test;

namespace {

effects::send_target sentOnce(host_driver &Driver) {
  auto Sent = Driver.take<effects::send_target>();
  REQUIRE(Sent.size() == 1);
  return Sent.front();
}

answer answeredOnce(host_driver &Driver) {
  auto Answers = Driver.take<effects::answer_caller>();
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
  Driver.ask(Session, "r1", statement_kind::Read, "READ 1");
  Driver.connectAll();
  (void)sentOnce(Driver);
  Driver.send(events::session_closed{Session});
  CHECK_NOTHROW(Driver.wait(700ms));
}

TEST_CASE("A lost write is in doubt and is never sent again") {
  host_driver Driver;
  Driver.becomeReady();
  const session_number Session = Driver.openSession("live");
  Driver.ask(Session, "w1", statement_kind::Write, "WRITE 1 x");
  Driver.connectAll();
  const auto Sent = sentOnce(Driver);
  Driver.send(events::target_lost{Sent.Connection});
  CHECK(answeredOnce(Driver).Code == answer_code::InDoubt);
  Driver.wait(100ms);
  CHECK(Driver.take<effects::send_target>().empty());
}

TEST_CASE("A read whose connection is lost is retried") {
  host_driver Driver;
  Driver.becomeReady();
  const session_number Session = Driver.openSession("live");
  Driver.ask(Session, "r1", statement_kind::Read, "READ 1");
  Driver.connectAll();
  const auto Sent = sentOnce(Driver);
  Driver.send(events::target_lost{Sent.Connection});
  CHECK(Driver.take<effects::answer_caller>().empty());
  Driver.connectAll();
  const auto Again = sentOnce(Driver);
  Driver.send(events::target_answered{Again.Connection,
                                      host_driver::completed({1, 4})});
  CHECK(answeredOnce(Driver).Code == answer_code::Complete);
}

TEST_CASE("A write is retried when the target guarantees that it was not run") {
  host_driver Driver;
  Driver.becomeReady();
  const session_number Session = Driver.openSession("live");
  Driver.ask(Session, "w1", statement_kind::Write, "WRITE 1 x");
  Driver.connectAll();
  const auto Sent = sentOnce(Driver);
  Driver.send(events::target_answered{Sent.Connection,
                                      host_driver::refused(answer_code::Busy)});
  Driver.wait(60ms);
  CHECK(sentOnce(Driver).Statements.front().Id == "w1");
}

TEST_CASE(
    "A transaction begins at its first statement and keeps its connection") {
  host_driver Driver;
  Driver.becomeReady();
  const session_number Session = Driver.openSession("live");
  Driver.ask(Session, "b", statement_kind::Begin, "BEGIN");
  CHECK(answeredOnce(Driver).Phase == session_phase::InTransaction);
  CHECK(Driver.take<effects::open_target>().empty());
  Driver.ask(Session, "w1", statement_kind::Write, "WRITE 1 x");
  Driver.connectAll();
  const auto Begin = sentOnce(Driver);
  CHECK(Begin.Statements.front().Statement.Kind == statement_kind::Begin);
  Driver.send(events::target_answered{
      Begin.Connection,
      host_driver::completed({1, 0}, session_phase::InTransaction)});
  const auto Write = sentOnce(Driver);
  CHECK(Write.Connection == Begin.Connection);
  Driver.send(events::target_answered{
      Write.Connection,
      host_driver::completed({1, 0}, session_phase::InTransaction)});
  CHECK(answeredOnce(Driver).Code == answer_code::Complete);
  Driver.ask(Session, "c", statement_kind::Commit, "COMMIT");
  const auto Commit = sentOnce(Driver);
  CHECK(Commit.Connection == Begin.Connection);
  Driver.send(events::target_lost{Commit.Connection});
  const answer Answer = answeredOnce(Driver);
  CHECK(Answer.Code == answer_code::InDoubt);
  CHECK(Answer.Phase == session_phase::Idle);
}

TEST_CASE("A transaction whose connection is lost is reported as aborted") {
  host_driver Driver;
  Driver.becomeReady();
  const session_number Session = Driver.openSession("live");
  Driver.ask(Session, "b", statement_kind::Begin, "BEGIN");
  Driver.ask(Session, "w1", statement_kind::Write, "WRITE 1 x");
  Driver.connectAll();
  const auto Begin = sentOnce(Driver);
  Driver.send(events::target_answered{
      Begin.Connection,
      host_driver::completed({1, 0}, session_phase::InTransaction)});
  (void)sentOnce(Driver);
  Driver.take<effects::answer_caller>();
  Driver.send(events::target_lost{Begin.Connection});
  const answer Answer = answeredOnce(Driver);
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
  Set.Rest = "red";
  Driver.send(events::statement_arrived{First, "s", Set});
  Driver.ask(First, "r1", statement_kind::Read, "READ 1");
  Driver.connectAll();
  const auto Setup = sentOnce(Driver);
  CHECK(Setup.Statements.front().Statement.Kind == statement_kind::SetValue);
  Driver.send(events::target_answered{Setup.Connection,
                                      host_driver::completed({1, 0})});
  const auto Read = sentOnce(Driver);
  Driver.send(
      events::target_answered{Read.Connection, host_driver::completed({1, 0})});
  const session_number Second = Driver.openSession("live");
  Driver.ask(Second, "r2", statement_kind::Read, "READ 2");
  const auto Reset = sentOnce(Driver);
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
  Driver.ask(Session, "r1", statement_kind::Read, "READ 1");
  CHECK(answeredOnce(Driver).Code == answer_code::Denied);
}

TEST_CASE(
    "A connection with an open transaction is not used by another session") {
  // The caller disconnected while the connection was being set up for the next
  // statement of its transaction. The connection was then marked idle although
  // the transaction was still open.
  host_driver Driver;
  Driver.becomeReady();
  const session_number Session = Driver.openSession("live");
  Driver.ask(Session, "b", statement_kind::Begin, "BEGIN");
  Driver.ask(Session, "r1", statement_kind::Read, "READ 1");
  Driver.connectAll();
  const auto Begin = sentOnce(Driver);
  const auto Open =
      host_driver::completed({1, 0}, session_phase::InTransaction);
  Driver.send(events::target_answered{Begin.Connection, Open});
  (void)sentOnce(Driver);
  Driver.send(events::target_answered{Begin.Connection, Open});
  statement Set;
  Set.Kind = statement_kind::SetValue;
  Set.Name = "colour";
  Set.Rest = "red";
  Driver.send(events::statement_arrived{Session, "s", Set});
  Driver.ask(Session, "r2", statement_kind::Read, "READ 2");
  (void)sentOnce(Driver);
  Driver.send(events::session_closed{Session});
  Driver.send(events::target_answered{Begin.Connection, Open});
  const session_number Other = Driver.openSession("live");
  Driver.ask(Other, "r3", statement_kind::Read, "READ 3");
  for (const auto &Sent : Driver.take<effects::send_target>())
    CHECK(Sent.Connection != Begin.Connection);
}

TEST_CASE("A draining primary is used until the drain period ends") {
  host_driver Driver;
  Driver.becomeReady();
  auto Leaving = host_driver::entry("a", true);
  Leaving.Draining = true;
  Driver.send(events::targets_listed{{Leaving}});
  const auto Sends = [&Driver](const std::string &Id) {
    const session_number Session = Driver.openSession("live");
    Driver.ask(Session, Id, statement_kind::Read, "READ 1");
    Driver.connectAll();
    const auto Sent = Driver.take<effects::send_target>();
    for (const auto &Each : Sent)
      Driver.send(events::target_answered{Each.Connection,
                                          host_driver::completed({1, 0})});
    return !Sent.empty();
  };
  CHECK(Sends("r1"));
  for (int Part = 0; Part < 14; ++Part) {
    Driver.wait(500ms);
    Driver.grantLease(7);
  }
  CHECK_FALSE(Sends("r2"));
}

/// Work that is under way at a primary when the host may no longer use it.
#include "host_driver.hpp"

using namespace session_test;

namespace {

/// A caller's transaction at primary "a" that has written and rests.
struct open_transaction {
  host_driver Driver;
  session_number Session = 0;
  connection_number Connection = 0;

  explicit open_transaction(std::vector<std::string> Electors = {"host-1"}) {
    Driver.Electors = std::move(Electors);
    Driver.becomeReady();
    Session = Driver.openSession("live");
    Driver.sendStatement(Session, "b1", statement_kind::Begin, "BEGIN");
    Driver.sendStatement(Session, "w1", statement_kind::Write, "WRITE 1 x");
    Driver.acceptDials();
    const auto Begin = Driver.takeEffects<effects::send_target>();
    REQUIRE(Begin.size() == 1);
    Connection = Begin.front().Connection;
    answerInTransaction();
    REQUIRE(Driver.takeEffects<effects::send_target>().size() == 1);
    answerInTransaction();
    Driver.Effects.clear();
  }

  void answerInTransaction() {
    Driver.send(events::target_answered{
        Connection,
        host_driver::completedAnswer({1, 5}, session_phase::InTransaction)});
  }

  void commit() {
    Driver.sendStatement(Session, "c1", statement_kind::Commit, "COMMIT");
  }

  /// Whether a caller's statement was sent to a target.
  bool sendsStatement() {
    bool Sends = false;
    for (const auto &Sent : Driver.takeEffects<effects::send_target>())
      for (const outgoing_statement &Statement : Sent.Statements)
        Sends = Sends || !Statement.Id.empty();
    return Sends;
  }

  /// Takes the host through a new lease, with the group's record as given.
  void registerAnew(const std::string &Primary, std::uint64_t Generation,
                    bool Open) {
    Driver.send(events::lease_answered{0, {}, Driver.Now, true});
    Driver.send(events::tick{});
    Driver.grantLease(8);
    Driver.send(events::tick{});
    REQUIRE(Driver.answerRegistration());
    Driver.send(events::tick{});
    REQUIRE(Driver.answerGroupsRead(Primary, Generation, Open));
  }

  answer_code lastAnswer() {
    const auto Answers = Driver.takeEffects<effects::answer_caller>();
    REQUIRE_FALSE(Answers.empty());
    return Answers.back().Answer.Code;
  }
};

} // namespace

TEST_CASE("A transaction does not commit at a primary that was replaced") {
  // Guards against commits of a host that was suspended over a change of
  // primary: it learnt of the closed record and of the next primary together,
  // and its open transactions went on at the old one.
  open_transaction Open;
  Open.Driver.Now += 1900ms;
  Open.registerAnew("b", 3, true);
  Open.commit();
  CHECK_FALSE(Open.sendsStatement());
  CHECK(Open.lastAnswer() == answer_code::Aborted);
}

TEST_CASE("A transaction does not commit under a lease that has ended") {
  open_transaction Open;
  Open.Driver.Now += 1900ms;
  Open.commit();
  CHECK_FALSE(Open.sendsStatement());
  CHECK(Open.lastAnswer() == answer_code::Aborted);
}

TEST_CASE("A transaction of before a new lease does not use a closed primary") {
  // The coordinator did not wait for this host, which was not listed then.
  open_transaction Open;
  Open.Driver.Now += 1900ms;
  Open.registerAnew("a", 2, false);
  Open.commit();
  CHECK_FALSE(Open.sendsStatement());
  CHECK(Open.lastAnswer() == answer_code::Aborted);
}

TEST_CASE("A transaction goes on under a new lease if its record is the same") {
  open_transaction Open;
  Open.Driver.Now += 1900ms;
  Open.registerAnew("a", 1, true);
  Open.commit();
  CHECK(Open.sendsStatement());
}

TEST_CASE("A transaction may end while its record is being closed") {
  open_transaction Open;
  Open.Driver.writeGroupRecord("a", 2, false);
  Open.Driver.advanceTime(200ms);
  Open.commit();
  CHECK(Open.sendsStatement());
}

TEST_CASE("A transaction at a replaced primary is rolled back without its "
          "caller") {
  // Guards against a slot of the old primary that a resting caller occupies.
  open_transaction Open;
  Open.Driver.writeGroupRecord("b", 3, true);
  Open.Driver.advanceTime(40ms);
  const auto Sent = Open.Driver.takeEffects<effects::send_target>();
  REQUIRE(Sent.size() == 1);
  CHECK(Sent.front().Statements.front().Statement.Kind ==
        statement_kind::Rollback);
  Open.commit();
  CHECK(Open.lastAnswer() == answer_code::Aborted);
}

TEST_CASE("A commit that is not answered in time after the lease is in doubt") {
  // The old primary may carry it out after another one was promoted.
  open_transaction Open({"host-8", "host-9"});
  Open.Driver.advanceTime(1500ms);
  Open.commit();
  REQUIRE(Open.sendsStatement());
  Open.Driver.takeEffects<effects::answer_caller>();
  Open.Driver.advanceTime(400ms);
  CHECK(Open.Driver.takeEffects<effects::answer_caller>().empty());
  Open.Driver.advanceTime(300ms);
  CHECK(Open.lastAnswer() == answer_code::InDoubt);
}

TEST_CASE("A write whose setup outlasts the lease is not sent") {
  // The right to use the primary was checked when the setup began only.
  host_driver Driver;
  Driver.becomeReady();
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "s1", statement_kind::SetValue, "SET v 1");
  Driver.sendStatement(Session, "w1", statement_kind::Write, "WRITE 1 x");
  Driver.acceptDials();
  const auto Setup = Driver.takeEffects<effects::send_target>();
  REQUIRE(Setup.size() == 1);
  REQUIRE(Setup.front().Statements.front().Id.empty());
  Driver.Now += 1900ms;
  Driver.send(events::target_answered{Setup.front().Connection,
                                      host_driver::completedAnswer({1, 5})});
  CHECK(Driver.takeEffects<effects::send_target>().empty());
  const auto Answers = Driver.takeEffects<effects::answer_caller>();
  REQUIRE_FALSE(Answers.empty());
  CHECK(isNotRun(Answers.back().Answer.Code));
}

TEST_CASE("An owner does not commit for others under a lease that has ended") {
  host_driver Driver;
  Driver.becomeReady();
  forwarded_statement Forwarded;
  Forwarded.Id = "w1";
  Forwarded.Group = Group;
  Forwarded.Account = "rago";
  Forwarded.Target = "a";
  Forwarded.Statement.Kind = statement_kind::Write;
  Forwarded.Statement.Text = "WRITE 1 x";
  Forwarded.Statement.Writes = true;
  Forwarded.NeedsPrimary = true;
  Forwarded.InTransaction = true;
  Forwarded.Begins = forward_begin::Begin;
  Forwarded.RemainingTime = 500ms;
  Driver.send(events::forward_requested{"#1", 79, Forwarded});
  Driver.acceptDials();
  const auto Begin = Driver.takeEffects<effects::send_target>();
  REQUIRE(Begin.size() == 1);
  const auto Open =
      host_driver::completedAnswer({1, 0}, session_phase::InTransaction);
  Driver.send(events::target_answered{Begin.front().Connection, Open});
  Driver.send(events::target_answered{Begin.front().Connection, Open});
  Driver.Effects.clear();
  Driver.Now += 2s;
  Forwarded.Begins = forward_begin::None;
  Forwarded.Statement.Kind = statement_kind::Commit;
  Forwarded.Statement.Writes = false;
  Forwarded.Id = "c1";
  Driver.send(events::forward_requested{"#1", 79, Forwarded});
  for (const auto &Sent : Driver.takeEffects<effects::send_target>())
    CHECK(Sent.Statements.front().Statement.Kind == statement_kind::Rollback);
  const auto Answers = Driver.takeEffects<effects::answer_forward>();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers.front().Answer.Code == answer_code::Aborted);
}

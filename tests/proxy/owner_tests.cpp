/// Owners of connections, planned stops and isolation.
#include "host_driver.hpp"

using namespace session_test;

namespace {

forwarded_statement forwarded(const std::string &Id, statement_kind Kind) {
  forwarded_statement What;
  What.Id = Id;
  What.Group = Group;
  What.Account = "rago";
  What.Target = "a";
  What.Statement.Kind = Kind;
  What.Statement.Text = "READ 1";
  What.MustLead = true;
  What.TimeLeft = 500ms;
  return What;
}

answer forwardAnswer(host_driver &Driver) {
  auto Answers = Driver.take<effects::answer_forward>();
  REQUIRE(Answers.size() == 1);
  return Answers.front().Answer;
}

} // namespace

TEST_CASE("An owner runs another host's statement and answers it") {
  host_driver Driver;
  Driver.becomeReady();
  Driver.send(
      events::forward_asked{"#1", 77, forwarded("r1", statement_kind::Read)});
  Driver.connectAll();
  const auto Sent = Driver.take<effects::send_target>();
  REQUIRE(Sent.size() == 1);
  CHECK(Sent.front().Statements.front().Id == "r1");
  Driver.send(events::target_answered{Sent.front().Connection,
                                      host_driver::completed({1, 3})});
  CHECK(forwardAnswer(Driver).Code == answer_code::Complete);
}

TEST_CASE("An owner without a lease says that the statement was not run") {
  host_driver Driver;
  Driver.becomeReady();
  Driver.Now += 5s;
  Driver.send(
      events::forward_asked{"#1", 77, forwarded("r1", statement_kind::Read)});
  CHECK(isNotRun(forwardAnswer(Driver).Code));
}

TEST_CASE("A statement of a transaction that the owner lost is refused") {
  host_driver Driver;
  Driver.becomeReady();
  forwarded_statement What = forwarded("c", statement_kind::Commit);
  What.InTransaction = true;
  Driver.send(events::forward_asked{"#1", 78, What});
  CHECK(forwardAnswer(Driver).Code == answer_code::Aborted);
}

TEST_CASE("A lost asking host ends its transactions at the owner") {
  host_driver Driver;
  Driver.becomeReady();
  forwarded_statement What = forwarded("r1", statement_kind::Read);
  What.InTransaction = true;
  What.Begins = forward_begin::Begin;
  Driver.send(events::forward_asked{"#1", 79, What});
  Driver.connectAll();
  const auto Begin = Driver.take<effects::send_target>();
  REQUIRE(Begin.size() == 1);
  const auto Open =
      host_driver::completed({1, 0}, session_phase::InTransaction);
  Driver.send(events::target_answered{Begin.front().Connection, Open});
  Driver.send(events::target_answered{Begin.front().Connection, Open});
  Driver.take<effects::send_target>();
  Driver.send(events::peer_lost{"#1"});
  const auto End = Driver.take<effects::send_target>();
  REQUIRE(End.size() == 1);
  CHECK(End.front().Statements.front().Statement.Kind ==
        statement_kind::Rollback);
}

TEST_CASE(
    "A stopping host is not ready, and rests sessions once balanced away") {
  host_driver Driver;
  Driver.becomeReady();
  Driver.send(events::tick{});
  Driver.take<effects::set_ready>();
  (void)Driver.openSession("live");
  Driver.send(events::stop_requested{});
  Driver.wait(100ms);
  const auto Ready = Driver.take<effects::set_ready>();
  REQUIRE_FALSE(Ready.empty());
  CHECK_FALSE(Ready.back().Ready);
  CHECK(Driver.take<effects::close_session>().empty());
  Driver.wait(2400ms);
  CHECK(Driver.take<effects::close_session>().size() == 1);
  CHECK_FALSE(Driver.take<effects::stop_process>().empty());
}

TEST_CASE("A transaction has half of the grace period when the host stops") {
  host_driver Driver;
  Driver.becomeReady();
  const session_number Session = Driver.openSession("live");
  Driver.ask(Session, "b", statement_kind::Begin, "BEGIN");
  Driver.take<effects::answer_caller>();
  Driver.send(events::stop_requested{});
  Driver.wait(2500ms);
  CHECK(Driver.take<effects::close_session>().empty());
  Driver.wait(800ms);
  Driver.ask(Session, "r", statement_kind::Read, "READ 1");
  const auto Answers = Driver.take<effects::answer_caller>();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers.front().Answer.Phase == session_phase::Failed);
}

TEST_CASE("An isolated host is not ready and hands callers over") {
  host_driver Driver;
  Driver.becomeReady();
  Driver.send(events::tick{});
  Driver.take<effects::set_ready>();
  (void)Driver.openSession("live");
  Driver.send(events::isolation_changed{true});
  Driver.wait(40ms);
  CHECK_FALSE(Driver.take<effects::set_ready>().back().Ready);
  Driver.wait(2400ms);
  CHECK(Driver.take<effects::close_session>().size() == 1);
}

TEST_CASE("An owner that may not use the primary yet is asked again later") {
  // canoclaro-sul inc-d800: owners that had just started refused, were asked
  // four times within 8 ms, and the callers were refused.
  host_driver Driver;
  Driver.becomeReady();
  for (int Host = 20; Host < 40; ++Host) {
    host_record Other;
    Other.Peers = {"10.0.0." + std::to_string(Host), 7560};
    Other.DataCentre = "suva";
    Driver.send(
        events::record_changed{{"hosts/host-" + std::to_string(Host),
                                formatRecord(Other), ++Driver.Revision, 8}});
  }
  const session_number Session = Driver.openSession("live");
  Driver.ask(Session, "r1", statement_kind::Read, "READ 1");
  auto Asked = Driver.take<effects::forward>();
  REQUIRE(Asked.size() == 1);
  const auto Refuse = [&] {
    Driver.send(events::target_answered{
        Asked.front().Ticket, host_driver::refused(answer_code::ReadOnly)});
  };
  Refuse();
  Driver.wait(20ms);
  CHECK(Driver.take<effects::forward>().empty());
  CHECK(Driver.take<effects::answer_caller>().empty());
  Driver.wait(60ms);
  Asked = Driver.take<effects::forward>();
  REQUIRE(Asked.size() == 1);
  Driver.send(events::target_answered{Asked.front().Ticket,
                                      host_driver::completed({1, 3})});
  CHECK(Driver.take<effects::answer_caller>().size() == 1);
}

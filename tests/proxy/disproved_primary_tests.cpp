/// A record's primary that answers although another target leads.
#include "coordinator_driver.hpp"
#include "disproof_driver.hpp"

#include <proxy/parts.hpp>

#include <algorithm>

using namespace session_test;

namespace {

constexpr std::uint64_t Opened = 3; ///< Generation of the record for "a".
constexpr std::uint64_t Term = 2;   ///< In which "a" leads.

void writeRecord(host_driver &Driver, const std::string &Primary,
                 std::uint64_t Generation, bool Open, std::uint64_t InTerm) {
  Driver.send(events::record_changed{
      {std::string(GroupsPrefix) + Group,
       formatRecord(group_record{Generation, Primary, Open, Driver.Electors,
                                 false, InTerm}),
       ++Driver.Revision, 0}});
}

/// A host that uses "a" as the primary of term 2.
struct user_of_primary {
  host_driver Driver;

  user_of_primary() {
    Driver.becomeReady();
    writeRecord(Driver, "a", Opened, true, Term);
    Driver.Effects.clear();
  }

  /// Sends a statement of a new session, which needs the primary.
  /// \returns The connection to "a" that it uses.
  connection_number sendToPrimary(statement_kind Kind) {
    const session_number Session = Driver.openSession("live");
    Driver.sendStatement(Session, "s1", Kind, "STATEMENT");
    Driver.acceptDials();
    const auto Sent = Driver.takeEffects<effects::send_target>();
    REQUIRE(Sent.size() == 1);
    return Sent.front().Connection;
  }

  void probe(const std::string &Target, target_status Status) {
    Driver.send(events::target_probed{Target, Status, 0});
  }

  [[nodiscard]] bool usesPrimary() const {
    return mayUsePrimary(*Driver.Host, Group, Driver.Now);
  }

  std::uint64_t reportedGeneration() { return takeDisprovedGeneration(Driver); }

  answer_code onlyAnswer() {
    const auto Answers = Driver.takeEffects<effects::answer_caller>();
    REQUIRE(Answers.size() == 1);
    return Answers.front().Answer.Code;
  }
};

/// A host's record that reports a generation as disproved.
void reportDisproved(host_driver &Driver, const std::string &Host,
                     std::uint64_t Generation) {
  host_record Record;
  Record.PeerEndpoint = {"10.0.0.2", 7560};
  Record.DisprovedGenerations[Group] = Generation;
  Record.AcknowledgedClosures[Group] = 100;
  Driver.send(events::record_changed{
      {"hosts/" + Host, formatRecord(Record), ++Driver.Revision, 8}});
}

void listTargets(host_driver &Driver, const std::set<std::string> &Ids) {
  events::targets_listed Listed;
  for (const std::string &Id : Ids)
    Listed.Targets.push_back(host_driver::makeEntry(Id, Id == "a"));
  Driver.send(Listed);
}

/// A coordinator that reaches "a" itself; host-2 has proof that it does not
/// lead.
struct told_coordinator {
  host_driver Driver;
  std::vector<group_record> Written; ///< Records of the group.
  std::vector<std::string> Ordered;  ///< Targets of its orders.

  explicit told_coordinator(std::uint64_t Reported = Opened) {
    becomeCoordinator(Driver);
    writeRecord(Driver, "a", Opened, true, Term);
    for (const std::string Host : {"host-3", "host-4"})
      reportDisproved(Driver, Host, 0);
    reportDisproved(Driver, "host-2", Reported);
  }

  void storeChanges() {
    for (const auto &Change : Driver.takeEffects<effects::change_records>()) {
      for (const auto &Write : Change.Writes)
        if (Write.Key.starts_with(GroupsPrefix))
          Written.push_back(*parseGroupRecord(Write.Value));
      Driver.send(events::change_ended{Change.Call, change_outcome::Done,
                                       ++Driver.Revision});
    }
  }

  void answerHostsReads() {
    for (const auto &Read : Driver.takeEffects<effects::read_records>()) {
      events::records_read Answer{Read.Call, Read.Prefix, {}, true, 0};
      for (const auto &[Name, Peer] : Driver.Host->Hosts) {
        host_record Record = Peer.Record;
        Record.AcknowledgedClosures[Group] = 100;
        Answer.Records.push_back({"hosts/" + Name, formatRecord(Record),
                                  ++Driver.Revision, Peer.Lease});
      }
      Answer.Revision = ++Driver.Revision;
      Driver.send(Answer);
    }
  }

  void goOn(duration Span,
            const std::map<std::string, target_status> &Statuses) {
    const instant End = Driver.Now + Span;
    while (Driver.Now < End) {
      Driver.grantLease(7);
      Driver.advanceTime(20ms);
      storeChanges();
      answerHostsReads();
      answerProbes(Driver, Statuses);
      for (const auto &Order : Driver.takeEffects<effects::order_promotion>())
        Ordered.push_back(Order.Target);
    }
  }
};

} // namespace

TEST_CASE("A later term that a replica shows ends the use of the primary") {
  user_of_primary User;
  User.probe("b", {true, {3, 7}, 3});
  CHECK_FALSE(User.usesPrimary());
  CHECK(User.reportedGeneration() == Opened);
}

TEST_CASE("A primary that answers in a later term is used no more") {
  user_of_primary User;
  const connection_number Connection = User.sendToPrimary(statement_kind::Read);
  User.Driver.send(events::target_answered{
      Connection, host_driver::completedAnswer({3, 7})});
  CHECK_FALSE(User.usesPrimary());
  CHECK(User.reportedGeneration() == Opened);
}

TEST_CASE("A primary that refuses a write as a replica is used no more") {
  user_of_primary User;
  const connection_number Connection =
      User.sendToPrimary(statement_kind::Write);
  User.Driver.send(events::target_answered{
      Connection, host_driver::refusedAnswer(answer_code::ReadOnly)});
  CHECK_FALSE(User.usesPrimary());
  CHECK(User.reportedGeneration() == Opened);
  User.Driver.advanceTime(1s);
  CHECK(User.Driver.takeEffects<effects::send_target>().empty());
  CHECK(isNotRun(User.onlyAnswer()));
}

TEST_CASE("A refusal of a statement that was sent under an earlier generation "
          "proves nothing") {
  user_of_primary User;
  const connection_number Connection =
      User.sendToPrimary(statement_kind::Write);
  writeRecord(User.Driver, "a", Opened + 2, true, Term);
  User.Driver.send(events::target_answered{
      Connection, host_driver::refusedAnswer(answer_code::ReadOnly)});
  CHECK(User.usesPrimary());
  CHECK(User.reportedGeneration() == 0);
}

TEST_CASE("A refusal by a connection owner proves nothing of the primary") {
  // The owner itself may have lost its right to use the primary.
  user_of_primary User;
  const connection_number Connection =
      User.sendToPrimary(statement_kind::Write);
  User.Driver.Host->Connections.at(Connection).Owner =
      endpoint{"10.0.0.2", 7560};
  User.Driver.send(events::target_answered{
      Connection, host_driver::refusedAnswer(answer_code::ReadOnly)});
  CHECK(User.usesPrimary());
}

TEST_CASE("Terms up to the record's are no proof against its primary") {
  // A replica is behind, and a former primary has not reached its successor.
  user_of_primary User;
  User.probe("a", {true, {2, 9}, 2});
  User.probe("b", {false, {1, 90}, 2});
  User.probe("c", {true, {1, 95}, 1});
  CHECK(User.usesPrimary());
  CHECK(User.reportedGeneration() == 0);
}

TEST_CASE("A term is no proof against a record that names none") {
  user_of_primary User;
  writeRecord(User.Driver, "a", Opened + 1, true, 0);
  User.probe("b", {true, {3, 7}, 3});
  CHECK(User.usesPrimary());
}

TEST_CASE("A term that is seen before the record that names it disproves only "
          "the earlier record") {
  user_of_primary User;
  writeRecord(User.Driver, "a", Opened + 1, false, Term);
  User.probe("b", {true, {3, 0}, 3});
  CHECK(User.reportedGeneration() == 0);
  writeRecord(User.Driver, "b", Opened + 2, true, 3);
  CHECK(User.usesPrimary());
  CHECK(User.reportedGeneration() == 0);
}

TEST_CASE("A report of a disproved primary ends with the record's generation") {
  user_of_primary User;
  User.probe("b", {true, {3, 7}, 3});
  REQUIRE(User.reportedGeneration() == Opened);
  User.Driver.send(events::change_ended{User.Driver.Host->Lease.RegisterCall,
                                        change_outcome::Done,
                                        ++User.Driver.Revision});
  writeRecord(User.Driver, "b", Opened + 2, true, 3);
  CHECK(User.usesPrimary());
  User.Driver.grantLease(7);
  User.Driver.send(events::tick{});
  const auto Record = User.Driver.takeRegistration();
  REQUIRE(Record);
  CHECK(Record->DisprovedGenerations.empty());
}

TEST_CASE(
    "A write that a disproved primary has completed is not acknowledged") {
  // It committed at a target that may no longer lead, and is lost then.
  user_of_primary User;
  const connection_number Connection =
      User.sendToPrimary(statement_kind::Write);
  User.probe("b", {true, {3, 7}, 3});
  User.Driver.send(events::target_answered{
      Connection, host_driver::completedAnswer({2, 40})});
  CHECK(User.onlyAnswer() == answer_code::InDoubt);
}

TEST_CASE("A transaction does not go on at a disproved primary") {
  user_of_primary User;
  const session_number Session = User.Driver.openSession("live");
  User.Driver.sendStatement(Session, "b1", statement_kind::Begin, "BEGIN");
  User.Driver.sendStatement(Session, "w1", statement_kind::Write, "WRITE 1 x");
  User.Driver.acceptDials();
  const auto Begin = User.Driver.takeEffects<effects::send_target>();
  REQUIRE(Begin.size() == 1);
  for (int Statement = 0; Statement < 2; ++Statement)
    User.Driver.send(events::target_answered{
        Begin.front().Connection,
        host_driver::completedAnswer({2, 5}, session_phase::InTransaction)});
  User.Driver.Effects.clear();
  User.probe("b", {true, {3, 7}, 3});
  User.Driver.sendStatement(Session, "c1", statement_kind::Commit, "COMMIT");
  CHECK(User.onlyAnswer() == answer_code::Aborted);
}

TEST_CASE("An elector that has proof against a primary does not vote for it") {
  user_of_primary User;
  User.Driver.advanceTime(3s);
  const auto Votes = [&User] {
    vote_request Request;
    Request.Round = 4;
    Request.Generations[Group] = Opened;
    User.Driver.send(events::vote_requested{"#1", Request});
    const auto Sent = User.Driver.takeEffects<effects::send_vote>();
    REQUIRE(Sent.size() == 1);
    return Sent.front().Vote.Groups.size();
  };
  CHECK(Votes() == 1);
  User.probe("b", {true, {3, 7}, 3});
  CHECK(Votes() == 0);
}

TEST_CASE("One report replaces a disproved primary that the coordinator "
          "reaches") {
  told_coordinator Told;
  Told.goOn(1s, {{"a", {true, {2, 40}, 2}},
                 {"b", {false, {2, 40}, 2}},
                 {"c", {false, {2, 30}, 2}}});
  REQUIRE_FALSE(Told.Written.empty());
  CHECK_FALSE(Told.Written.front().Open);
  REQUIRE_FALSE(Told.Ordered.empty());
  CHECK(Told.Ordered.front() == "b");
}

TEST_CASE("A report of an earlier generation does not replace a primary") {
  told_coordinator Told(Opened - 2);
  Told.goOn(1s, {});
  CHECK(Told.Written.empty());
}

TEST_CASE("A report that stays does not replace the next primary") {
  told_coordinator Told;
  Told.goOn(1s, {{"b", {false, {2, 40}, 2}}});
  Told.goOn(1s, {{"b", {true, {3, 0}, 3}}});
  // It is closed, names the order, and is opened.
  REQUIRE(Told.Written.size() == 3);
  CHECK(Told.Written.back().Open);
  CHECK(Told.Written.back().Primary == "b");
  CHECK(Told.Written.back().Term == 3);
  Told.goOn(5s, {{"b", {true, {3, 0}, 3}}});
  CHECK(Told.Written.size() == 3);
}

TEST_CASE(
    "A disproved primary that is the only target left is ordered to lead") {
  // Its group would be refused for as long as no replica is listed.
  told_coordinator Told(0);
  listTargets(Told.Driver, {"a"});
  Told.goOn(4s, {});
  // The electors may have been replaced meanwhile.
  const auto &Record = Told.Driver.Host->Groups.at(Group).Record;
  REQUIRE(Record->Open);
  reportDisproved(Told.Driver, "host-2", Record->Generation);
  Told.goOn(8s, {{"a", {false, {2, 40}, 3}}});
  REQUIRE_FALSE(Told.Ordered.empty());
  CHECK(Told.Ordered.front() == "a");
}

TEST_CASE("A disproved primary is not used again on its own word") {
  // No replica can be promoted, and it still calls itself primary.
  told_coordinator Told;
  Told.goOn(6s, {{"a", {true, {2, 40}, 2}}});
  // It is closed, and names the order.
  REQUIRE(Told.Written.size() == 2);
  CHECK_FALSE(Told.Written.front().Open);
  CHECK_FALSE(Told.Written.back().Open);
  REQUIRE_FALSE(Told.Ordered.empty());
  CHECK(Told.Ordered.front() == "a");
}

/// A primary whose log is shorter than it was.
#include "disproof_driver.hpp"
#include "position_driver.hpp"

using namespace session_test;

namespace {

/// Answers a statement that was sent to the primary, with its position.
void answerAt(host_driver &Driver, connection_number Connection,
              log_position Position) {
  Driver.send(events::target_answered{Connection,
                                      host_driver::completedAnswer(Position)});
}

/// A host that knows the primary's log up to 1.40.
struct user_of_primary {
  host_driver Driver;

  explicit user_of_primary(unsigned ConfirmingReplicas = 0) {
    Driver.becomeReady();
    proxy_settings Settings = *Driver.Host->Settings;
    Settings.Version += 1;
    Settings.Groups[Group].ConfirmingReplicas = ConfirmingReplicas;
    Driver.send(events::settings_changed{Settings});
    answerAt(Driver, readFromPrimary(Driver), {1, 40});
    Driver.advanceTime(100ms);
    Driver.Effects.clear();
  }

  [[nodiscard]] bool usesPrimary() const {
    return mayUsePrimary(*Driver.Host, Group, Driver.Now);
  }

  std::uint64_t reportedGeneration() { return takeDisprovedGeneration(Driver); }
};

} // namespace

TEST_CASE("A primary whose log is shorter than it was is replaced") {
  // It refused reads until writes had passed its old position, and a replica
  // may hold what it lost.
  user_of_primary User;
  answerAt(User.Driver, readFromPrimary(User.Driver), {1, 30});
  CHECK_FALSE(User.usesPrimary());
  CHECK(User.reportedGeneration() == 1);
}

TEST_CASE("A write at a primary that lost a part of its log is in doubt") {
  user_of_primary User;
  const session_number Session = User.Driver.openSession("live");
  User.Driver.sendStatement(Session, "w1", statement_kind::Write, "WRITE 1 x");
  User.Driver.acceptDials();
  const auto Sent = User.Driver.takeEffects<effects::send_target>();
  REQUIRE(Sent.size() == 1);
  answerAt(User.Driver, Sent.front().Connection, {1, 31});
  const auto Answers = User.Driver.takeEffects<effects::answer_caller>();
  REQUIRE(Answers.size() == 1);
  CHECK(Answers.front().Answer.Code == answer_code::InDoubt);
}

TEST_CASE("An answer that is older than the highest position proves no loss") {
  user_of_primary User;
  const connection_number Earlier = readFromPrimary(User.Driver);
  User.Driver.advanceTime(20ms);
  const connection_number Later = readFromPrimary(User.Driver);
  REQUIRE(Earlier != Later);
  answerAt(User.Driver, Later, {1, 50});
  answerAt(User.Driver, Earlier, {1, 45});
  CHECK(User.usesPrimary());
}

TEST_CASE("A shorter log counts only in the generation that showed more") {
  // No replica could be promoted, and the primary is used again.
  user_of_primary User;
  User.Driver.writeGroupRecord("a", 3, true);
  answerAt(User.Driver, readFromPrimary(User.Driver), {1, 30});
  CHECK(User.usesPrimary());
  CHECK(User.reportedGeneration() == 0);
}

TEST_CASE("A shorter log of a primary whose commits replicas confirm is not "
          "reported") {
  // Its position tells which replica holds all acknowledged commits.
  user_of_primary User(1);
  answerAt(User.Driver, readFromPrimary(User.Driver), {1, 30});
  CHECK(User.usesPrimary());
  CHECK(User.reportedGeneration() == 0);
}

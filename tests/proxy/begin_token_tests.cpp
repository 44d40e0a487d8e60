/// Tokens of transactions: taken before BEGIN is answered, returned when the
/// transaction runs nothing at a target.
#include "host_driver.hpp"

#include <proxy/parts.hpp>

using namespace session_test;

namespace {

/// An account that gets few tokens a second.
constexpr double Rate = 10;
constexpr double Burst = 3;

void limitAccount(host_driver &Driver) {
  proxy_settings Settings;
  Settings.Version = 2;
  Settings.Accounts["rago"] = {"rago", Rate, Burst};
  Settings.Keys["key-1"] = "rago";
  Settings.Groups[Group] = {16};
  Settings.Routes["live"] = {
      "live", Group, read_consistency::Primary, 800ms, 100ms, {}, 1, false};
  Driver.send(events::settings_changed{Settings});
  Driver.send(events::tick{});
}

answer takeOnlyAnswer(host_driver &Driver) {
  auto Answers = Driver.takeEffects<effects::answer_caller>();
  REQUIRE(Answers.size() == 1);
  return Answers.front().Answer;
}

answer begin(host_driver &Driver, session_number Session) {
  Driver.sendStatement(Session, "b", statement_kind::Begin, "BEGIN");
  return takeOnlyAnswer(Driver);
}

} // namespace

TEST_CASE("A transaction beyond the rate is refused before it begins") {
  // On the day odbavo quiet-1, 690 transactions were aborted for rate after
  // their BEGIN had been answered.
  host_driver Driver;
  Driver.becomeReady();
  limitAccount(Driver);
  for (int Taken = 0; Taken < static_cast<int>(Burst); ++Taken)
    CHECK(begin(Driver, Driver.openSession("live")).Code ==
          answer_code::Complete);
  const session_number Session = Driver.openSession("live");
  const answer Refused = begin(Driver, Session);
  CHECK(Refused.Code == answer_code::Busy);
  CHECK(Refused.Phase == session_phase::Idle);
  CHECK(Refused.Text.find("retry after") != std::string::npos);
}

TEST_CASE("A transaction that has begun runs although the account's tokens are "
          "used up") {
  host_driver Driver;
  Driver.becomeReady();
  limitAccount(Driver);
  const session_number Session = Driver.openSession("live");
  REQUIRE(begin(Driver, Session).Code == answer_code::Complete);
  while (begin(Driver, Driver.openSession("live")).Code ==
         answer_code::Complete)
    ;
  Driver.sendStatement(Session, "w1", statement_kind::Write, "WRITE 1 x");
  Driver.acceptDials();
  CHECK(Driver.takeEffects<effects::answer_caller>().empty());
  CHECK_FALSE(Driver.takeEffects<effects::send_target>().empty());
}

TEST_CASE("A transaction that ran nothing returns its token") {
  host_driver Driver;
  Driver.becomeReady();
  limitAccount(Driver);
  for (int Round = 0; Round < 20; ++Round) {
    const session_number Session = Driver.openSession("live");
    REQUIRE(begin(Driver, Session).Code == answer_code::Complete);
    if (Round % 2 == 0) {
      Driver.sendStatement(Session, "r", statement_kind::Rollback, "ROLLBACK");
      CHECK(takeOnlyAnswer(Driver).Code == answer_code::Complete);
    } else {
      Driver.send(events::session_closed{Session});
    }
  }
}

TEST_CASE("A BEGIN without a token waits for one that forms soon") {
  host_driver Driver;
  Driver.becomeReady();
  limitAccount(Driver);
  while (begin(Driver, Driver.openSession("live")).Code ==
         answer_code::Complete)
    ;
  // The next token forms in 15 ms; a caller with a goal of 100 ms waits for
  // 20 ms.
  token_bucket &Bucket = Driver.Host->Allowances.Accounts.at("rago").Bucket;
  Bucket = {Rate, Burst, 0.85, Driver.Now};
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "b", statement_kind::Begin, "BEGIN");
  CHECK(Driver.takeEffects<effects::answer_caller>().empty());
  Driver.advanceTime(20ms);
  const answer Begun = takeOnlyAnswer(Driver);
  CHECK(Begun.Code == answer_code::Complete);
  CHECK(Begun.Phase == session_phase::InTransaction);
}

TEST_CASE("A transaction that rests for long does not keep its token") {
  host_driver Driver;
  Driver.becomeReady();
  limitAccount(Driver);
  std::vector<session_number> Sessions;
  for (int Count = 0; Count < 12; ++Count) {
    const session_number Session = Driver.openSession("live");
    if (begin(Driver, Session).Code == answer_code::Complete)
      Sessions.push_back(Session);
    Driver.advanceTime(100ms);
  }
  REQUIRE(Sessions.size() > 2 * static_cast<std::size_t>(Burst));
  std::size_t Aborted = 0;
  for (const session_number Session : Sessions)
    Driver.sendStatement(Session, "w", statement_kind::Write, "WRITE 1 x");
  Driver.advanceTime(100ms);
  for (const auto &Answered : Driver.takeEffects<effects::answer_caller>())
    Aborted += Answered.Answer.Code == answer_code::Aborted ? 1 : 0;
  // Tokens of the last half second, the bucket, and one that formed meanwhile.
  CHECK(Sessions.size() - Aborted <=
        static_cast<std::size_t>(Rate / 2 + Burst) + 2);
}

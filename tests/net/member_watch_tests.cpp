/// Tests of the members' maintenance ports over real sockets.
#include "loop_driver.hpp"

#include "net/member_watch.hpp"

#include <bronzespar/wire/target_codec.hpp>

#include <catch2/catch.hpp>

using namespace bronzespar;
using namespace bronzespar::test;

namespace {

std::string reportAt(std::uint64_t Index) {
  member_report Report;
  Report.Target = "t";
  Report.Position = {1, Index};
  return httpAnswer(encodeJson(Report));
}

struct watch_rig {
  loop_driver Driver;
  event_log Log;
  member_watch Watch{Driver.Loop, Log.sink()};
  raw_listener Listener{Driver};

  void start() {
    Watch.carryOut(effects::watch_member{target_id("t"), Listener.where()});
  }

  [[nodiscard]] bool untilReports(std::size_t Count) {
    return Driver.until([this, Count] {
      return Log.all<events::member_reported>().size() >= Count;
    });
  }
};

} // namespace

TEST_CASE("reports follow one another on a kept connection") {
  watch_rig Rig;
  Rig.start();
  raw_socket Member{Rig.Driver};
  Rig.Listener.accept(Member);
  REQUIRE(Member.untilHas(R"("WaitMs":100})"));
  Member.send(reportAt(5));
  REQUIRE(Rig.untilReports(1));
  REQUIRE(Member.untilHas(R"("KnownPosition":{"Term":1,"Index":5})"));
  Member.send(reportAt(6));
  REQUIRE(Rig.untilReports(2));
  const auto Reports = Rig.Log.all<events::member_reported>();
  CHECK(Reports[1].Report.Position == log_position{1, 6});
  CHECK(Reports[0].SentAt <= Reports[1].SentAt);
  CHECK(Rig.Log.all<events::member_unreachable>().empty());
}

TEST_CASE("a silent old connection is no evidence against the member") {
  watch_rig Rig;
  Rig.start();
  raw_socket Old{Rig.Driver};
  Rig.Listener.accept(Old);
  REQUIRE(Old.untilHas("WaitMs"));
  Old.send(reportAt(5));
  REQUIRE(Rig.untilReports(1));
  raw_socket Fresh{Rig.Driver};
  Rig.Listener.accept(Fresh); // Old stays open and silent
  REQUIRE(Fresh.untilHas("WaitMs"));
  Fresh.send(reportAt(6));
  REQUIRE(Rig.untilReports(2));
  CHECK(Rig.Log.all<events::member_unreachable>().empty());
}

TEST_CASE("a member silent on a fresh connection is unreachable") {
  watch_rig Rig;
  Rig.start();
  raw_socket Member{Rig.Driver};
  Rig.Listener.accept(Member);
  REQUIRE(Rig.Driver.until(
      [&] { return !Rig.Log.all<events::member_unreachable>().empty(); }));
  raw_socket Again{Rig.Driver};
  Rig.Listener.accept(Again); // it goes on asking
  REQUIRE(Again.untilHas("WaitMs"));
  Again.send(reportAt(7));
  CHECK(Rig.untilReports(1));
}

TEST_CASE("control commands are answered or reported as unanswered") {
  watch_rig Rig;
  control_request Request{control_kind::Fence, 3, "h", {}, {}};
  const effects::send_control_command Effect{target_id("t"),
                                             Rig.Listener.where(), Request};
  const auto Controlled = [&] {
    return Rig.Log.all<events::control_command_finished>();
  };
  Rig.Watch.carryOut(Effect);
  raw_socket Member{Rig.Driver};
  Rig.Listener.accept(Member);
  REQUIRE(Member.untilHas(encodeJson(Request)));
  SECTION("answered") {
    control_answer Answer;
    Answer.Granted = true;
    Member.send(httpAnswer(encodeJson(Answer)));
    REQUIRE(Rig.Driver.until([&] { return !Controlled().empty(); }));
    CHECK(Controlled()[0].Answered);
    CHECK(Controlled()[0].Answer.Granted);
  }
  SECTION("silent") {
    REQUIRE(Rig.Driver.until([&] { return !Controlled().empty(); }));
    CHECK_FALSE(Controlled()[0].Answered);
    CHECK(Controlled()[0].Request.Term == 3);
  }
}

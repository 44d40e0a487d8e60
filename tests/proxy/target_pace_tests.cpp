/// Learnt limits of targets, against simulated targets on virtual time.
#include "forwarding_driver.hpp"

#include <bronzespar/proxy/target_pace.hpp>
#include <proxy/parts.hpp>

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

using namespace session_test;

namespace {

constexpr unsigned Most = 10;

/// A target that is always asked for as much as the owner's window allows.
struct busy_target {
  target_pace Pace;
  instant Now = instant(1000s);
  std::mt19937 Random{7};
  double BaseMs = 10;
  /// Statements beyond this number slow each other down.
  unsigned Knee = Most;
  unsigned UnderWay = 0;
  unsigned Completed = 0;

  struct sent {
    instant EndsAt;
    instant SentAt;
    unsigned UnderWay = 0;
    bool operator>(const sent &Other) const { return EndsAt > Other.EndsAt; }
  };
  std::priority_queue<sent, std::vector<sent>, std::greater<>> Sent;

  double drawServiceMs() {
    const double Beyond = std::max(0.0, static_cast<double>(UnderWay) - Knee);
    const double Slowdown = 1 + Beyond * Beyond * 0.5;
    return BaseMs * Slowdown *
           std::lognormal_distribution<>(-0.245, 0.7)(Random);
  }

  void fill() {
    while (UnderWay < windowOf(Pace, Most)) {
      UnderWay += 1;
      const auto Service =
          duration(static_cast<duration::rep>(drawServiceMs() * 1000));
      Sent.push({Now + Service, Now, UnderWay});
    }
  }

  void runFor(duration Span) {
    const instant End = Now + Span;
    fill();
    while (Sent.top().EndsAt < End) {
      const sent Ended = Sent.top();
      Sent.pop();
      Now = Ended.EndsAt;
      UnderWay -= 1;
      Completed += 1;
      recordService(Pace, 0, Ended.UnderWay, toMilliseconds(Now - Ended.SentAt),
                    Most, Now);
      fill();
    }
    Now = End;
  }

  unsigned completedIn(duration Span) {
    const unsigned Before = Completed;
    runFor(Span);
    return Completed - Before;
  }
};

} // namespace

TEST_CASE("A target that is not known gets as much as is allowed") {
  CHECK(windowOf({}, Most) == Most);
}

TEST_CASE("A target that slows down before it is full is sent less") {
  busy_target Target;
  Target.Knee = 3;
  Target.runFor(20s);
  const unsigned Window = Target.Pace.Window;
  CHECK(Window >= 2);
  CHECK(Window <= 6);
  // With all ten under way, a statement takes 25 times as long.
  const unsigned Learnt = Target.completedIn(4s);
  target_pace Forgotten;
  std::swap(Target.Pace, Forgotten);
  const unsigned AtFirst = Target.completedIn(500ms) * 8;
  CHECK(Learnt > AtFirst);
}

TEST_CASE("A target that is slow whatever it is sent keeps its limit") {
  busy_target Target;
  Target.runFor(3s);
  Target.BaseMs = 80;
  Target.runFor(20s);
  CHECK(Target.Pace.Window >= Most - 2);
}

TEST_CASE("A target that recovers gets its full limit back") {
  busy_target Target;
  Target.Knee = 2;
  Target.runFor(20s);
  CHECK(Target.Pace.Window < Most - 2);
  Target.Knee = Most;
  Target.runFor(12s);
  CHECK(Target.Pace.Window >= Most - 2);
}

TEST_CASE("The expected time of an unused target returns to the usual one") {
  CHECK(forgottenMs(80, 10, 0ms) == Approx(80));
  CHECK(forgottenMs(80, 10, 3s) < 40);
  CHECK(forgottenMs(80, 10, 30s) == Approx(10).margin(0.1));
}

// One of 84 hosts sends a target one statement in two seconds, so that its own
// samples follow a change of speed only after many of them.
TEST_CASE("A forwarding host takes over the time that an owner tells") {
  host_driver Driver;
  Driver.becomeReady();
  listOtherHosts(Driver);
  Driver.sendStatement(Driver.openSession("live"), "r1", statement_kind::Read,
                       "READ 1");
  const auto Forwards = Driver.takeEffects<effects::forward>();
  REQUIRE(Forwards.size() == 1);
  answer Slow = host_driver::completedAnswer({1, 3});
  Slow.Pace = 90ms;
  Driver.send(events::target_answered{Forwards.front().Ticket, Slow});
  const target_view &Target =
      Driver.Host->Targets.at(Forwards.front().Forwarded.Target);
  CHECK(Target.LatencyMs > 40);
}

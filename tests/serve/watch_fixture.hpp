/// A watch of the store whose calls a test answers.
#pragma once

#include <serve/store_watch.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <utility>
#include <vector>

namespace watch_test {

using namespace bronzespar;
using namespace bronzespar::platform;
using namespace bronzespar::serve;

inline constexpr unsigned StatusOk = 200;
inline const instant Start = instant(1000s);

/// A watch whose calls the test answers.
struct watch_fixture {
  struct pending_call {
    http_call Call;
    http_callback Done;
  };
  boost::asio::io_context Io;
  std::vector<pending_call> Calls;
  std::vector<store_change> Reported;
  instant Now = Start;
  store_watch Watch{
      makeScheduler(Io),
      [this] { return Now; },
      [this](http_call Call, http_callback Done) {
        Calls.push_back({std::move(Call), std::move(Done)});
      },
      "op/",
      proxy::watch_timing{0ms, 1500ms, 600ms, 1500ms, 2100ms, true},
      {[this](const std::vector<store_change> &Changes) {
         Reported.insert(Reported.end(), Changes.begin(), Changes.end());
       },
       [](bool) {}}};

  /// Answers the first read, so that the watch waits from revision 5.
  watch_fixture() {
    Watch.start();
    answer({StatusOk, R"({"items":[],"MorePages":false,"CurrentRev":5})"});
    REQUIRE(Calls.size() == 1);
    REQUIRE(Calls.front().Call.IsLongPoll);
  }

  void answer(http_answer Answer) {
    REQUIRE_FALSE(Calls.empty());
    const pending_call First = std::move(Calls.front());
    Calls.erase(Calls.begin());
    First.Done(std::move(Answer));
  }

  void runFor(std::chrono::milliseconds Span) {
    Io.restart();
    Io.run_for(Span);
  }

  /// Starts a peer's watch; its answer is stored in the returned place.
  std::shared_ptr<std::optional<http_answer>> watchAsPeer(std::uint64_t After) {
    auto Place = std::make_shared<std::optional<http_answer>>();
    Watch.servePeer(
        After, [Place](http_answer Answer) { *Place = std::move(Answer); });
    return Place;
  }
};

} // namespace watch_test

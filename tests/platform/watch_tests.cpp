/// Watches, and peers that are told from them.
#include <platform/store_watch.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <utility>
#include <vector>

namespace {

using namespace bronzespar;
using namespace bronzespar::platform;

constexpr unsigned StatusOk = 200;
const instant Start = instant(1000s);

/// A watch whose calls a test answers.
struct watched_prefix {
  struct pending_call {
    http_call Call;
    http_callback Done;
  };
  boost::asio::io_context Io;
  std::vector<pending_call> Calls;
  store_watch Watch{Io,
                    [this](http_call Call, http_callback Done) {
                      Calls.push_back({std::move(Call), std::move(Done)});
                    },
                    "op/",
                    duration::zero(),
                    {[](const std::vector<store_change> &) {}, [](bool) {}}};

  /// Answers the first read, so that the watch waits from revision 5.
  watched_prefix() {
    Watch.start();
    answer({StatusOk, R"({"items":[],"MorePages":false,"CurrentRev":5})"});
    REQUIRE(Calls.size() == 1);
    REQUIRE(Calls.front().Call.Waits);
  }

  void answer(http_answer Answer) {
    REQUIRE_FALSE(Calls.empty());
    const pending_call First = std::move(Calls.front());
    Calls.erase(Calls.begin());
    First.Done(std::move(Answer));
  }

  void pass(std::chrono::milliseconds Span) {
    Io.restart();
    Io.run_for(Span);
  }

  /// A peer's watch; its answer lands in the returned place.
  std::shared_ptr<std::optional<http_answer>> ask(std::uint64_t After) {
    auto Place = std::make_shared<std::optional<http_answer>>();
    Watch.serve(After, Start,
                [Place](http_answer Answer) { *Place = std::move(Answer); });
    return Place;
  }
};

} // namespace

TEST_CASE("A peer that waits hears within a second that nothing changed") {
  // A host asked another that had lost the store without a word, and waited as
  // long as a watch may wait: a version was in force there after 5 s.
  watched_prefix Prefix;
  const auto Answer = Prefix.ask(5);
  Prefix.Watch.answerOverdue(Start + PeerWait - 1ms);
  CHECK_FALSE(Answer->has_value());
  Prefix.Watch.answerOverdue(Start + PeerWait);
  REQUIRE(Answer->has_value());
  CHECK((*Answer)->Status == StatusOk);
  const auto Page = parseWatch((*Answer)->Body);
  REQUIRE(Page);
  CHECK(Page->Changes.empty());
  CHECK(Page->Revision == 5);
}

TEST_CASE("A peer that waits is told of a change at once") {
  watched_prefix Prefix;
  const auto Answer = Prefix.ask(5);
  watch_page News;
  News.Changes.push_back({{"op/config", "{}", 6, 0}, false});
  News.Revision = 6;
  Prefix.answer({StatusOk, formatWatch(News)});
  REQUIRE(Answer->has_value());
  const auto Page = parseWatch((*Answer)->Body);
  REQUIRE(Page);
  REQUIRE(Page->Changes.size() == 1);
  CHECK(Page->Changes.front().Record.Revision == 6);
}

TEST_CASE("A peer whose watch is failed asks elsewhere") {
  watched_prefix Prefix;
  const auto Answer = Prefix.ask(5);
  Prefix.Watch.failWaiting();
  REQUIRE(Answer->has_value());
  CHECK((*Answer)->Status == 0);
}

TEST_CASE("A peer that is behind what is remembered reads the prefix again") {
  watched_prefix Prefix;
  const auto Answer = Prefix.ask(3);
  REQUIRE(Answer->has_value());
  CHECK((*Answer)->Status == 410);
}

TEST_CASE("A peer is told of what changed while history was lost") {
  // canoclaro-sul-grown scale-2: the store forgot its history again and again,
  // and each time all hosts read everything at once; renewals of leases came
  // too late, and a version was in force after 5 s.
  watched_prefix Prefix;
  watch_page First;
  First.Changes.push_back({{"op/old", "1", 6, 0}, false});
  First.Revision = 6;
  Prefix.answer({StatusOk, formatWatch(First)});
  Prefix.pass(1ms);
  const auto Answer = Prefix.ask(6);
  Prefix.answer({410, {}});
  Prefix.pass(5ms);
  CHECK_FALSE(Answer->has_value());
  REQUIRE_FALSE(Prefix.Calls.front().Call.Waits);
  Prefix.answer(
      {StatusOk,
       R"({"items":[{"Key":"op/new","Value":"Mg==","Revision":8,"CreateRevision":8,"Lease":0}],"MorePages":false,"CurrentRev":9})"});
  REQUIRE(Answer->has_value());
  const auto Page = parseWatch((*Answer)->Body);
  REQUIRE(Page);
  CHECK(Page->Revision == 9);
  REQUIRE(Page->Changes.size() == 2);
  CHECK(Page->Changes.front().Record.Key == "op/new");
  CHECK(Page->Changes.back().Record.Key == "op/old");
  CHECK(Page->Changes.back().Removed);
}

TEST_CASE("A prefix whose history is lost again is not read at once") {
  watched_prefix Prefix;
  Prefix.answer({410, {}});
  Prefix.pass(5ms);
  Prefix.answer({StatusOk, R"({"items":[],"MorePages":false,"CurrentRev":9})"});
  Prefix.answer({410, {}});
  Prefix.pass(20ms);
  CHECK(Prefix.Calls.empty());
  Prefix.pass(400ms);
  CHECK(Prefix.Calls.size() == 1);
}

TEST_CASE("One answer that is lost does not send peers to the store") {
  watched_prefix Prefix;
  const auto Answer = Prefix.ask(5);
  Prefix.answer({});
  CHECK_FALSE(Answer->has_value());
}

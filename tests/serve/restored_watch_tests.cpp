/// Tests of a watch whose store comes back from an older copy: its revisions
/// are given out again, in the next era.
#include "watch_fixture.hpp"

#include <bronzespar/proxy/store_revision.hpp>

using namespace watch_test;

namespace {

http_answer inEra(std::uint64_t Era, http_answer Answer) {
  Answer.Era = Era;
  return Answer;
}

/// The document and another key, at revision 9.
http_answer twoItems() {
  watch_page Page;
  Page.Changes.push_back({{"op/config", "1", 8, 0}, false});
  Page.Changes.push_back({{"op/gone", "1", 9, 0}, false});
  Page.Revision = 9;
  return {StatusOk, formatWatch(Page)};
}

/// The copy has the document only, at revision 4.
const http_answer Copy{
    StatusOk,
    R"({"items":[{"Key":"op/config","Value":"MA==","Revision":3,"CreateRevision":3,"Lease":0}],"MorePages":false,"CurrentRev":4})"};

/// A watch that knows both items, in era 1.
struct informed_watch : watch_fixture {
  informed_watch() {
    answer(inEra(1, {410, {}}));
    REQUIRE_FALSE(Calls.front().Call.IsLongPoll);
    answer(inEra(
        1, {StatusOk, R"({"items":[],"MorePages":false,"CurrentRev":6})"}));
    answer(inEra(1, twoItems()));
    runFor(5ms);
    REQUIRE(Reported.size() == 2);
    REQUIRE(Calls.size() == 1);
    REQUIRE(Calls.front().Call.IsLongPoll);
  }
};

} // namespace

TEST_CASE("A watch follows a store that came back from an older copy") {
  informed_watch Prefix;
  const std::uint64_t Before = Prefix.Reported.back().Record.Revision;
  Prefix.Reported.clear();
  Prefix.answer(inEra(2, {410, {}}));
  REQUIRE(Prefix.Calls.size() == 1);
  REQUIRE_FALSE(Prefix.Calls.front().Call.IsLongPoll);
  Prefix.answer(inEra(2, Copy));
  REQUIRE(Prefix.Reported.size() == 2);
  CHECK(Prefix.Reported.front().Record.Value == "0");
  CHECK(Prefix.Reported.front().Record.Revision > Before);
  CHECK(Prefix.Reported.back().Record.Key == "op/gone");
  CHECK(Prefix.Reported.back().Removed);
  CHECK(Prefix.Reported.back().Record.Revision > Before);
  REQUIRE(Prefix.Calls.size() == 1);
  REQUIRE(Prefix.Calls.front().Call.IsLongPoll);
  CHECK(Prefix.Calls.front().Call.Path.find("after=4&") != std::string::npos);
  Prefix.Reported.clear();
  watch_page Rewritten;
  Rewritten.Changes.push_back({{"op/config", "2", 6, 0}, false});
  Rewritten.Revision = 6;
  Prefix.answer(inEra(2, {StatusOk, formatWatch(Rewritten)}));
  REQUIRE(Prefix.Reported.size() == 1);
  CHECK(Prefix.Reported.front().Record.Value == "2");
}

TEST_CASE("An answer that continues a revision of before a restore is not "
          "used") {
  // The store had given the number out again, and answered with what came
  // after it.
  informed_watch Prefix;
  Prefix.Reported.clear();
  watch_page After;
  After.Changes.push_back({{"op/config", "2", 10, 0}, false});
  After.Revision = 10;
  Prefix.answer(inEra(2, {StatusOk, formatWatch(After)}));
  CHECK(Prefix.Reported.empty());
  REQUIRE(Prefix.Calls.size() == 1);
  CHECK_FALSE(Prefix.Calls.front().Call.IsLongPoll);
}

TEST_CASE("A restore that is noticed elsewhere makes a watch read again") {
  informed_watch Prefix;
  Prefix.Watch.enterEra(2);
  CHECK_FALSE(Prefix.Watch.hasRead());
  Prefix.answer({});
  REQUIRE(Prefix.Calls.size() == 1);
  CHECK_FALSE(Prefix.Calls.front().Call.IsLongPoll);
}

TEST_CASE("An answer of an earlier era changes nothing") {
  informed_watch Prefix;
  Prefix.answer(inEra(2, {410, {}}));
  Prefix.answer(inEra(2, Copy));
  Prefix.Reported.clear();
  Prefix.answer(inEra(1, twoItems()));
  CHECK(Prefix.Reported.empty());
  Prefix.runFor(400ms);
  REQUIRE(Prefix.Calls.size() == 1);
  CHECK(Prefix.Calls.front().Call.IsLongPoll);
  CHECK(Prefix.Calls.front().Call.Path.find("after=4&") != std::string::npos);
}

TEST_CASE("A proof of before a restore proves nothing after it") {
  informed_watch Prefix;
  Prefix.Now = Start + 5s;
  Prefix.answer(inEra(2, {410, {}}));
  // The next proof is overdue at once.
  const auto &Demand = Prefix.Calls.front().Call.Demand;
  REQUIRE(Demand);
  CHECK(Demand->ProvenAt + Demand->MaxAge == Start + 5s);
  const auto Early = Prefix.watchAsPeer(proxy::orderedRevision(2, 4));
  REQUIRE(Early->has_value());
  CHECK((*Early)->Status == 503);
  CHECK_FALSE((*Early)->Proof);
}

TEST_CASE("Pages of two eras make no list") {
  informed_watch Prefix;
  Prefix.Reported.clear();
  Prefix.answer(inEra(1, {410, {}}));
  Prefix.runFor(400ms);
  Prefix.answer(inEra(
      1, {StatusOk, R"({"items":[{"Key":"op/config","Value":"MQ==",)"
                    R"("Revision":8}],"MorePages":true,"CurrentRev":9})"}));
  REQUIRE(Prefix.Calls.size() == 1);
  Prefix.answer(
      inEra(2, {StatusOk, R"({"items":[],"MorePages":false,"CurrentRev":4})"}));
  CHECK(Prefix.Reported.empty());
  REQUIRE(Prefix.Calls.size() == 1);
  CHECK(Prefix.Calls.front().Call.Path == "/v1/kv-range?Prefix=op/");
}

TEST_CASE("Peers that wait through a restore are told its era") {
  informed_watch Prefix;
  const auto Waiting = Prefix.watchAsPeer(proxy::orderedRevision(1, 9));
  CHECK_FALSE(Waiting->has_value());
  Prefix.answer(inEra(2, {410, {}}));
  REQUIRE(Waiting->has_value());
  CHECK((*Waiting)->Status == 410);
  CHECK((*Waiting)->Era == 2);
  Prefix.answer(inEra(2, Copy));
  SECTION("a peer that has not noticed reads again") {
    const auto Late = Prefix.watchAsPeer(proxy::orderedRevision(1, 9));
    REQUIRE(Late->has_value());
    CHECK((*Late)->Status == 410);
    CHECK((*Late)->Era == 2);
  }
  SECTION("a peer that knows of a later restore asks elsewhere") {
    const auto Ahead = Prefix.watchAsPeer(proxy::orderedRevision(3, 2));
    REQUIRE(Ahead->has_value());
    CHECK((*Ahead)->Status == 503);
    CHECK((*Ahead)->Era == 2);
  }
  SECTION("a peer of this era is served, with the era") {
    const auto Next = Prefix.watchAsPeer(proxy::orderedRevision(2, 4));
    Prefix.Now += PeerWatchTimeout;
    Prefix.Watch.answerOverduePeers();
    REQUIRE(Next->has_value());
    CHECK((*Next)->Status == StatusOk);
    CHECK((*Next)->Era == 2);
    const auto Page = parseWatch((*Next)->Body, (*Next)->Era);
    REQUIRE(Page);
    CHECK(Page->Changes.empty());
    CHECK(Page->Revision == proxy::orderedRevision(2, 4));
  }
}

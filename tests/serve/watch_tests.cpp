/// Tests of a watch and of the peers that it serves.
#include "watch_fixture.hpp"

using namespace watch_test;

TEST_CASE("A peer's watch without a change is answered within a second") {
  // Guards against settings that become active only after 5 s: a host's watch
  // source had lost the store unnoticed, and the host waited for as long as a
  // watch may last.
  watch_fixture Prefix;
  const auto Answer = Prefix.watchAsPeer(5);
  Prefix.Now = Start + PeerWatchTimeout - 1ms;
  Prefix.Watch.answerOverduePeers();
  CHECK_FALSE(Answer->has_value());
  Prefix.Now = Start + PeerWatchTimeout;
  Prefix.Watch.answerOverduePeers();
  REQUIRE(Answer->has_value());
  CHECK((*Answer)->Status == StatusOk);
  const auto Page = parseWatch((*Answer)->Body);
  REQUIRE(Page);
  CHECK(Page->Changes.empty());
  CHECK(Page->Revision == 5);
}

TEST_CASE("A peer's watch is answered at once on a change") {
  watch_fixture Prefix;
  const auto Answer = Prefix.watchAsPeer(5);
  watch_page ChangedPage;
  ChangedPage.Changes.push_back({{"op/config", "{}", 6, 0}, false});
  ChangedPage.Revision = 6;
  Prefix.answer({StatusOk, formatWatch(ChangedPage)});
  REQUIRE(Answer->has_value());
  const auto Page = parseWatch((*Answer)->Body);
  REQUIRE(Page);
  REQUIRE(Page->Changes.size() == 1);
  CHECK(Page->Changes.front().Record.Revision == 6);
}

TEST_CASE("A failed watch gives the peer status 0, so that it asks elsewhere") {
  watch_fixture Prefix;
  const auto Answer = Prefix.watchAsPeer(5);
  Prefix.Watch.failPeerWatches();
  REQUIRE(Answer->has_value());
  CHECK((*Answer)->Status == 0);
}

TEST_CASE(
    "A peer that has missed more than the recent changes gets status 410") {
  watch_fixture Prefix;
  const auto Answer = Prefix.watchAsPeer(3);
  REQUIRE(Answer->has_value());
  CHECK((*Answer)->Status == 410);
}

TEST_CASE("A peer gets the changes that a read after lost history has found") {
  // Guards against late lease renewals, and settings that become active only
  // after 5 s: the store repeatedly lost its
  // history, and each time all hosts read the whole prefix at once.
  watch_fixture Prefix;
  watch_page First;
  First.Changes.push_back({{"op/old", "1", 6, 0}, false});
  First.Revision = 6;
  Prefix.answer({StatusOk, formatWatch(First)});
  Prefix.runFor(1ms);
  const auto Answer = Prefix.watchAsPeer(6);
  Prefix.answer({410, {}});
  Prefix.runFor(5ms);
  CHECK_FALSE(Answer->has_value());
  REQUIRE_FALSE(Prefix.Calls.front().Call.IsLongPoll);
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

TEST_CASE("A second loss of history in a row delays the next read") {
  watch_fixture Prefix;
  Prefix.answer({410, {}});
  Prefix.runFor(5ms);
  Prefix.answer({StatusOk, R"({"items":[],"MorePages":false,"CurrentRev":9})"});
  Prefix.answer({410, {}});
  Prefix.runFor(20ms);
  CHECK(Prefix.Calls.empty());
  Prefix.runFor(400ms);
  CHECK(Prefix.Calls.size() == 1);
}

TEST_CASE("A single unanswered call does not fail the peers' watches") {
  watch_fixture Prefix;
  const auto Answer = Prefix.watchAsPeer(5);
  Prefix.answer({});
  CHECK_FALSE(Answer->has_value());
}

TEST_CASE("A change that a lagging watch source repeats is not reported") {
  // The key was written at revision 6 and removed at 7. A source that lags
  // reports the write again after its consumer has seen the removal.
  watch_fixture Prefix;
  watch_page First;
  First.Changes.push_back({{"op/key", "1", 6, 0}, false});
  First.Changes.push_back({{"op/key", {}, 7, 0}, true});
  First.Revision = 7;
  Prefix.answer({StatusOk, formatWatch(First)});
  Prefix.runFor(5ms);
  Prefix.Reported.clear();
  watch_page Repeated;
  Repeated.Changes.push_back({{"op/key", "1", 6, 0}, false});
  Repeated.Changes.push_back({{"op/other", "2", 8, 0}, false});
  Repeated.Revision = 8;
  Prefix.answer({StatusOk, formatWatch(Repeated)});
  REQUIRE(Prefix.Reported.size() == 1);
  CHECK(Prefix.Reported.front().Record.Key == "op/other");
}

TEST_CASE("A key that a read lacks is removed as of the read's revision") {
  watch_fixture Prefix;
  watch_page First;
  First.Changes.push_back({{"op/key", "1", 6, 0}, false});
  First.Revision = 6;
  Prefix.answer({StatusOk, formatWatch(First)});
  Prefix.runFor(5ms);
  Prefix.Reported.clear();
  Prefix.answer({410, {}});
  Prefix.runFor(5ms);
  Prefix.answer({StatusOk, R"({"items":[],"MorePages":false,"CurrentRev":9})"});
  REQUIRE(Prefix.Reported.size() == 1);
  CHECK(Prefix.Reported.front().Removed);
  CHECK(Prefix.Reported.front().Record.Revision == 9);
}

TEST_CASE("A peer gets only the latest of several changes of a key") {
  // Eight versions of a document of 256 KB went to ten hosts over a link of 10
  // Mbit/s, which took longer than the settings may be outdated.
  watch_fixture Prefix;
  for (std::uint64_t Version = 6; Version <= 13; ++Version) {
    watch_page Page;
    Page.Changes.push_back(
        {{"op/config", std::to_string(Version), Version, 0}, false});
    Page.Revision = Version;
    Prefix.answer({StatusOk, formatWatch(Page)});
    Prefix.runFor(1ms);
  }
  const auto Answer = Prefix.watchAsPeer(5);
  REQUIRE(Answer->has_value());
  const auto Page = parseWatch((*Answer)->Body);
  REQUIRE(Page);
  CHECK(Page->Revision == 13);
  REQUIRE(Page->Changes.size() == 1);
  CHECK(Page->Changes.front().Record.Value == "13");
}

TEST_CASE("A page that ends with an odd key is followed by the next page") {
  // Guards against a list that is never read again: the key of another writer's
  // entry stood unescaped in the path of the call.
  watch_fixture Prefix;
  Prefix.answer({410, {}});
  Prefix.runFor(10ms);
  Prefix.answer({StatusOk,
                 R"({"items":[{"Key":"op/a b&c#%?\r\nd","Value":"Mg==",)"
                 R"("Revision":7}],"MorePages":true,"CurrentRev":8})"});
  REQUIRE(Prefix.Calls.size() == 1);
  CHECK(Prefix.Calls.front().Call.Path ==
        "/v1/kv-range?Prefix=op/&after=op/a%20b%26c%23%25%3F%0D%0Ad");
}

TEST_CASE("A page that ends where it should begin ends the read") {
  // Guards against a process that collects pages without end.
  watch_fixture Prefix;
  Prefix.answer({410, {}});
  Prefix.runFor(10ms);
  const http_answer Page{
      StatusOk, R"({"items":[{"Key":"op/a","Value":"Mg==","Revision":7}],)"
                R"("MorePages":true,"CurrentRev":8})"};
  Prefix.answer(Page);
  Prefix.answer(Page);
  CHECK(Prefix.Calls.empty());
  Prefix.runFor(300ms);
  REQUIRE(Prefix.Calls.size() == 1);
  CHECK(Prefix.Calls.front().Call.Path == "/v1/kv-range?Prefix=op/");
}

TEST_CASE("A watch source tells its peers how old its own proof is") {
  // A host whose own watch was dead answered that nothing had changed, and the
  // hosts behind it could not know that they were seconds late.
  watch_fixture Prefix;
  Prefix.Now = Start + 3s;
  const auto Answer = Prefix.watchAsPeer(5);
  Prefix.Now += PeerWatchTimeout;
  Prefix.Watch.answerOverduePeers();
  REQUIRE(Answer->has_value());
  REQUIRE((*Answer)->Proof);
  CHECK((*Answer)->Proof->ValidAfter == -3s);
  CHECK((*Answer)->Proof->Hops == 1);
}

TEST_CASE("A watch whose connection is dead ends before settings are overdue") {
  watch_fixture Prefix;
  CHECK(Prefix.Calls.front().Call.Timeout < 3s);
}

TEST_CASE("A peer is told at once that the source has a newer proof") {
  watch_fixture Prefix;
  Prefix.Now = Start + 1400ms;
  const auto Answer = Prefix.watchAsPeer(5);
  CHECK_FALSE(Answer->has_value());
  Prefix.Now = Start + 1510ms;
  Prefix.answer({StatusOk, formatWatch({{}, 5})});
  REQUIRE(Answer->has_value());
  REQUIRE((*Answer)->Proof);
  // The store held the call for 1.5 s, of which 100 ms were left.
  CHECK((*Answer)->Proof->ValidAfter == 100ms);
}

TEST_CASE("A change that was waited for is followed by a short wait, as it "
          "proves no more than the call before it") {
  watch_fixture Prefix;
  Prefix.Now = Start + 1s;
  watch_page Changed;
  Changed.Changes.push_back({{"op/config", "{}", 6, 0}, false});
  Changed.Revision = 6;
  Prefix.answer({StatusOk, formatWatch(Changed)});
  Prefix.runFor(20ms);
  REQUIRE(Prefix.Calls.size() == 1);
  CHECK(Prefix.Calls.front().Call.Path.ends_with("WaitMs=500"));
  CHECK(Prefix.Calls.front().Call.Demand->ProvenAt == Start);
}

TEST_CASE("An answer of a host that tells no age proves nothing") {
  watch_fixture Prefix;
  Prefix.Now = Start + 1s;
  http_answer Unproven{StatusOk, formatWatch({{}, 5})};
  Unproven.Via = "10.0.0.1:7560";
  Prefix.answer(std::move(Unproven));
  Prefix.runFor(20ms);
  REQUIRE(Prefix.Calls.size() == 1);
  CHECK(Prefix.Calls.front().Call.Demand->ProvenAt == Start);
}

TEST_CASE("Two hosts that watch through each other prove nothing") {
  watch_fixture First;
  watch_fixture Second;
  First.Now = Second.Now = Start + 2s;
  const auto OfFirst = First.watchAsPeer(5);
  const auto OfSecond = Second.watchAsPeer(5);
  First.Now = Second.Now += PeerWatchTimeout;
  First.Watch.answerOverduePeers();
  REQUIRE(OfFirst->has_value());
  http_answer Passed = **OfFirst;
  Passed.Via = "first";
  CHECK(Start + 2s + Passed.Proof->ValidAfter == Start);
  Second.answer(std::move(Passed));
  Second.runFor(20ms);
  REQUIRE(Second.Calls.size() == 1);
  CHECK(Second.Calls.front().Call.Demand->ProvenAt <= Start);
}

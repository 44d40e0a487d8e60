/// Queue order, freshness of reads, placement, and store access.
#include <bronzespar/proxy/freshness.hpp>
#include <bronzespar/proxy/placement.hpp>
#include <bronzespar/proxy/store_access.hpp>
#include <bronzespar/proxy/waiting_queue.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <map>

using namespace bronzespar;
using namespace bronzespar::proxy;

namespace {

const instant Start = instant(1000s);

/// Dequeues the first request.
std::uint64_t serveFirst(waiting_queue &Queue) {
  const auto [Rank, Request] = *Queue.Items.begin();
  dequeue(Queue, Rank);
  return Request;
}

} // namespace

TEST_CASE("An account that floods the queue gets no more than its share") {
  waiting_queue Queue;
  for (std::uint64_t Request = 0; Request < 90; ++Request)
    enqueue(Queue, Request, "hot", 2, 1);
  for (std::uint64_t Request = 100; Request < 110; ++Request)
    enqueue(Queue, Request, "calm", 2, 1);
  unsigned CalmServed = 0;
  for (int Served = 0; Served < 20; ++Served)
    CalmServed += serveFirst(Queue) >= 100 ? 1 : 0;
  CHECK(CalmServed >= 9);
}

TEST_CASE("Urgent routes go first, and an empty queue drops its finish tags") {
  waiting_queue Queue;
  enqueue(Queue, 1, "a", 2, 1);
  const waiting_rank Urgent = enqueue(Queue, 2, "a", 1, 1);
  CHECK(Queue.Items.begin()->first == Urgent);
  cancel(Queue, Urgent);
  CHECK(serveFirst(Queue) == 1);
  CHECK(Queue.FinishTags.empty());
}

TEST_CASE("A bounded staleness read requires the oldest sufficient position") {
  freshness_samples Samples;
  addSample(Samples, {{1, 10}, Start, Start});
  addSample(Samples, {{1, 20}, Start + 500ms, Start + 500ms});
  addSample(Samples, {{1, 30}, Start + 1000ms, Start + 1000ms});
  const auto Found = positionForAge(Samples, Start + 1200ms, 800ms);
  REQUIRE(Found);
  CHECK(Found->Position == log_position{1, 20});
  CHECK_FALSE(positionForAge(Samples, Start + 3000ms, 800ms));
}

TEST_CASE("A position lower than one received before its statement was sent is "
          "noticed") {
  freshness_samples Samples;
  addSample(Samples, {{1, 10}, Start, Start + 50ms});
  CHECK(isLowerThanBefore(Samples, {{1, 9}, Start + 50ms, Start + 60ms}));
  // The answers to statements that ran side by side may arrive out of order.
  CHECK_FALSE(isLowerThanBefore(Samples, {{1, 9}, Start + 40ms, Start + 60ms}));
  CHECK_FALSE(
      isLowerThanBefore(Samples, {{1, 10}, Start + 50ms, Start + 60ms}));
}

TEST_CASE("Freshness samples are limited in number and spacing") {
  freshness_samples Samples;
  for (int Step = 0; Step < 1000; ++Step)
    addSample(Samples, {{1, static_cast<std::uint64_t>(Step)},
                        Start + Step * 10ms,
                        Start + Step * 10ms});
  CHECK(Samples.Samples.size() == freshness_samples::MaxSamples);
  CHECK(Samples.Samples.back().SentAt - Samples.Samples.front().SentAt >=
        (freshness_samples::MaxSamples - 1) * freshness_samples::MinSpacing);
}

TEST_CASE("A dial to a fast target is preferred to a slow idle connection") {
  std::array<placement_option, 2> Options;
  Options[0] = {0, 120, 1, 0, false, false, 7, false, false};
  Options[1] = {1, 8, 0, 0, false, false, 0, true, false};
  const auto Chosen = choosePlacement(Options);
  REQUIRE(Chosen);
  CHECK(Chosen->Target == 1);
}

TEST_CASE("Reads that a replica can serve avoid the primary") {
  std::array<placement_option, 2> Options;
  Options[0] = {0, 10, 0, 0, false, true, 7, false, false};
  Options[1] = {1, 10, 0, 0, false, false, 8, false, false};
  CHECK(choosePlacement(Options)->Target == 1);
  Options[1].Connection = 0;
  CHECK(choosePlacement(Options)->Target == 0);
  CHECK_FALSE(choosePlacement({}));
}

TEST_CASE(
    "A host uses relays when direct calls fail, and tries directly again") {
  store_access_state Path;
  CHECK(chooseStoreAccess(Path, true, false, false, Start) ==
        store_access::Direct);
  recordDirectCall(Path, call_result::NoAnswer, Start);
  CHECK(chooseStoreAccess(Path, true, false, false, Start + 100ms) ==
        store_access::Relay);
  CHECK(chooseStoreAccess(Path, false, false, false, Start + 100ms) ==
        store_access::Direct);
  // A call that waits for changes would not show for seconds that the store is
  // back.
  CHECK(chooseStoreAccess(Path, true, true, false, Start + 10s) ==
        store_access::Relay);
  CHECK(chooseStoreAccess(Path, true, false, false, Start + 10s) ==
        store_access::Direct);
  recordDirectCall(Path, call_result::Served, Start + 10s);
  CHECK(chooseStoreAccess(Path, true, true, false, Start + 10s) ==
        store_access::Direct);
}

TEST_CASE("Peers that are asked in turn share the time until a proof is "
          "overdue") {
  const instant Due = Start + 2100ms;
  CHECK(peerWatchTimeout(Due, Start, 1500ms) == 1500ms);
  CHECK(peerWatchTimeout(Due, Start + 1500ms, 1500ms) == 600ms);
  CHECK(needOf(Due, Start + 1800ms) == proof_need::Ample);
  CHECK(needOf(Due, Start + 1801ms) == proof_need::Overdue);
}

TEST_CASE("One lost call does not keep an overdue watch from the store") {
  // A rare call was lost on a connection that had gone silent long before; the
  // host then asked peers, silent ones too, for as long as it took.
  store_access_state Path;
  recordDirectCall(Path, call_result::NoAnswer, Start);
  CHECK(chooseStoreAccess(Path, true, true, false, Start + 100ms) ==
        store_access::Relay);
  CHECK(chooseStoreAccess(Path, true, true, true, Start + 100ms) ==
        store_access::Direct);
  // Hundreds of hosts do so when the store is lost to all.
  CHECK(chooseStoreAccess(Path, true, true, true, Start + 200ms) ==
        store_access::Relay);
  CHECK(chooseStoreAccess(Path, true, true, true, Start + 700ms) ==
        store_access::Direct);
}

TEST_CASE("A host is isolated once neither store nor peers answer") {
  store_access_state Path;
  recordDirectCall(Path, call_result::Served, Start);
  recordDirectCall(Path, call_result::Refused, Start + 600ms);
  recordRelayedCall(Path, true, false, Start + 700ms);
  CHECK_FALSE(isIsolated(Path, Start + 2000ms));
  recordRelayedCall(Path, false, false, Start + 2000ms);
  CHECK(isIsolated(Path, Start + 2400ms));
  recordRelayedCall(Path, true, true, Start + 2500ms);
  CHECK_FALSE(isIsolated(Path, Start + 2600ms));
}

TEST_CASE("A watch that the store ended does not switch the host to relays") {
  // When the store compacted its history, it ended the watches of all hosts at
  // once. Each host then concluded that its direct calls failed, no peer was
  // left to relay calls, and leases expired.
  store_access_state Path;
  recordDirectCall(Path, call_result::Served, Start);
  recordDirectCall(Path, call_result::WatchEnded, Start + 100ms);
  CHECK(chooseStoreAccess(Path, true, false, false, Start + 100ms) ==
        store_access::Direct);
  CHECK_FALSE(isIsolated(Path, Start + 10s));
}

TEST_CASE("A host watches the store itself when all its sources lost it") {
  // In the run pasja-kopel-grown trouble-1, both sources of a data centre were
  // partitioned from the store but not from this host. It asked them in turn
  // for seven seconds while its settings were outdated.
  const std::vector<endpoint> Sources = {{"10.0.0.2", 7560},
                                         {"10.0.0.3", 7560}};
  watch_source_state State;
  CHECK(chooseWatchSource(State, Sources, Start) == Sources[0]);
  recordWatchSource(State, Sources[0], watch_source_result::Failed, Start);
  CHECK(chooseWatchSource(State, Sources, Start + 250ms) == Sources[1]);
  recordWatchSource(State, Sources[1], watch_source_result::Failed,
                    Start + 250ms);
  for (duration After = 500ms; After < 3s; After += 250ms)
    CHECK_FALSE(chooseWatchSource(State, Sources, Start + After));
  CHECK(chooseWatchSource(State, Sources, Start + 3s) == Sources[0]);
}

TEST_CASE("A watch source that is starting is asked again soon") {
  const std::vector<endpoint> Sources = {{"10.0.0.2", 7560}};
  watch_source_state State;
  recordWatchSource(State, Sources[0], watch_source_result::Starting, Start);
  CHECK_FALSE(chooseWatchSource(State, Sources, Start + 200ms));
  CHECK(chooseWatchSource(State, Sources, Start + 300ms) == Sources[0]);
  recordWatchSource(State, Sources[0], watch_source_result::Served,
                    Start + 300ms);
  CHECK(State.RetryAt.empty());
}

TEST_CASE("A host does not wait for one silent watch source after the other") {
  const std::vector<endpoint> Sources = {{"10.0.0.2", 7560},
                                         {"10.0.0.3", 7560}};
  watch_source_state State;
  recordWatchSource(State, Sources[0], watch_source_result::Silent, Start);
  CHECK_FALSE(chooseWatchSource(State, Sources, Start + 250ms));
  CHECK_FALSE(chooseWatchSource(State, Sources, Start + 2900ms));
  CHECK(chooseWatchSource(State, Sources, Start + 3s) == Sources[0]);
}

TEST_CASE("The first watches after an outage go to the store itself") {
  // A host that the store answered again waited 1.6 s for a peer and 1.6 s for
  // its watch source, both on the other side of a partition.
  const std::vector<endpoint> Sources = {{"10.0.0.2", 7560}};
  watch_source_state State;
  recordWatchSource(State, Sources[0], watch_source_result::Silent, Start);
  preferDirectWatches(State, Start + 1s);
  CHECK_FALSE(chooseWatchSource(State, Sources, Start + 1250ms));
  CHECK(chooseWatchSource(State, Sources, Start + 1600ms) == Sources[0]);
}

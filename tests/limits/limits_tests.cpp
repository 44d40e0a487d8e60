/// Tests of token buckets and fair queues.
#include <bronzespar/fair_queue.hpp>
#include <bronzespar/token_bucket.hpp>

#include <catch2/catch.hpp>

using namespace bronzespar;

namespace {

instant at(duration SinceStart) { return instant(SinceStart); }

queued_item item(std::uint64_t Ticket, const char *Account,
                 request_class Class = request_class::Normal) {
  return {Ticket, account_id(Account), Class, "", 1, at(1s)};
}

} // namespace

TEST_CASE("a token bucket starts empty and never exceeds its rate and burst") {
  token_bucket Bucket{100, 5, 0, at(0s)};
  CHECK_FALSE(takeToken(Bucket, at(9ms)));
  CHECK(timeUntilToken(Bucket, at(9ms)) == 1ms);
  CHECK(takeToken(Bucket, at(10ms)));
  int Taken = 0;
  while (takeToken(Bucket, at(10s)))
    ++Taken;
  CHECK(Taken == 5);
}

TEST_CASE("a smaller burst takes effect at once") {
  token_bucket Bucket{100, 50, 50, at(0s)};
  resizeBucket(Bucket, 10, 2, at(0s));
  CHECK(Bucket.Tokens == 2);
}

TEST_CASE("a backlog of one account does not delay another account") {
  fair_queue Queue;
  for (std::uint64_t Ticket = 0; Ticket < 100; ++Ticket)
    enqueue(Queue, item(Ticket, "surging"), 1);
  enqueue(Queue, item(1000, "modest"), 1);
  int ServedBefore = 0;
  while (dequeue(Queue)->Ticket != 1000)
    ++ServedBefore;
  CHECK(ServedBefore <= 1);
}

TEST_CASE("accounts are served in proportion to their weights") {
  fair_queue Queue;
  for (std::uint64_t Ticket = 0; Ticket < 90; ++Ticket) {
    enqueue(Queue, item(Ticket, "heavy"), 2);
    enqueue(Queue, item(Ticket, "light"), 1);
  }
  int HeavyServed = 0;
  for (int Served = 0; Served < 90; ++Served)
    HeavyServed += dequeue(Queue)->Account == account_id("heavy") ? 1 : 0;
  CHECK(HeavyServed >= 59);
  CHECK(HeavyServed <= 61);
}

TEST_CASE("classes order the requests of one account only") {
  fair_queue Queue;
  enqueue(Queue, item(1, "a", request_class::Settlement), 1);
  enqueue(Queue, item(2, "a", request_class::Urgent), 1);
  CHECK(dequeue(Queue)->Ticket == 2);
  CHECK(dequeue(Queue)->Ticket == 1);
  CHECK_FALSE(dequeue(Queue));
}

TEST_CASE("an account gets no credit for the time in which it was idle") {
  fair_queue Queue;
  for (std::uint64_t Ticket = 0; Ticket < 50; ++Ticket)
    enqueue(Queue, item(Ticket, "busy"), 1);
  for (int Served = 0; Served < 40; ++Served)
    CHECK(dequeue(Queue));
  for (std::uint64_t Ticket = 100; Ticket < 150; ++Ticket)
    enqueue(Queue, item(Ticket, "late"), 1);
  int LateServed = 0;
  for (int Served = 0; Served < 10; ++Served)
    LateServed += dequeue(Queue)->Account == account_id("late") ? 1 : 0;
  CHECK(LateServed <= 6);
}

TEST_CASE("expired and cancelled requests leave the queue") {
  fair_queue Queue;
  enqueue(Queue, item(1, "a"), 1);
  enqueue(Queue, item(2, "b"), 1);
  CHECK(removeItem(Queue, 2));
  CHECK_FALSE(removeItem(Queue, 2));
  CHECK(removeExpired(Queue, at(1s)).size() == 1);
  CHECK(Queue.Size == 0);
}

TEST_CASE("the expected wait counts the account's backlog and others' shares") {
  fair_queue Queue;
  for (std::uint64_t Ticket = 0; Ticket < 100; ++Ticket)
    enqueue(Queue, item(Ticket, "surging"), 1);
  CHECK(expectedWaitMs(Queue, account_id("modest"), 1, 1, 1) <= 1);
  CHECK(expectedWaitMs(Queue, account_id("surging"), 1, 1, 2) == 50);
}

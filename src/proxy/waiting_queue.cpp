/// Start-time fair queueing between accounts.
#include <bronzespar/proxy/waiting_queue.hpp>

#include <algorithm>

namespace bronzespar::proxy {

waiting_rank enqueue(waiting_queue &Queue, std::uint64_t Request,
                     const std::string &Account, int Priority, double Cost) {
  double &Finish = Queue.FinishTags[Account];
  const double Start = std::max(Queue.VirtualTime, Finish);
  Finish = Start + Cost;
  const waiting_rank Rank{Priority, Start, Queue.NextSequenceNumber++};
  Queue.Items.emplace(Rank, Request);
  return Rank;
}

void dequeue(waiting_queue &Queue, const waiting_rank &Rank) {
  Queue.VirtualTime = std::max(Queue.VirtualTime, Rank.StartTag);
  Queue.Items.erase(Rank);
  if (Queue.Items.empty())
    Queue.FinishTags.clear();
}

void cancel(waiting_queue &Queue, const waiting_rank &Rank) {
  Queue.Items.erase(Rank);
  if (Queue.Items.empty())
    Queue.FinishTags.clear();
}

} // namespace bronzespar::proxy

/// Start-time fair queueing between accounts. Requests of one account are
/// ordered by class and then by arrival.
#include <bronzespar/fair_queue.hpp>

#include <algorithm>

namespace bronzespar {

namespace {

account_queue *findAccountQueue(fair_queue &Queue, const account_id &Account) {
  const auto Found =
      std::find_if(Queue.AccountQueues.begin(), Queue.AccountQueues.end(),
                   [&](const account_queue &AccountQueue) {
                     return AccountQueue.Account == Account;
                   });
  return Found == Queue.AccountQueues.end() ? nullptr : &*Found;
}

account_queue &accountQueueFor(fair_queue &Queue, const account_id &Account) {
  if (account_queue *AccountQueue = findAccountQueue(Queue, Account))
    return *AccountQueue;
  return Queue.AccountQueues.emplace_back(account_queue{Account, 1, 0, {}});
}

/// Finds the non-empty account queue with the lowest virtual time.
account_queue *nextAccountQueue(fair_queue &Queue) {
  account_queue *Next = nullptr;
  for (account_queue &AccountQueue : Queue.AccountQueues) {
    if (AccountQueue.Items.empty())
      continue;
    if (Next == nullptr || AccountQueue.VirtualTime < Next->VirtualTime)
      Next = &AccountQueue;
  }
  return Next;
}

/// Finds the first waiting request whose class is less urgent than the item's.
std::deque<queued_item>::iterator insertionPointFor(account_queue &AccountQueue,
                                                    const queued_item &Item) {
  return std::find_if(
      AccountQueue.Items.begin(), AccountQueue.Items.end(),
      [&](const queued_item &Waiting) { return Waiting.Class > Item.Class; });
}

} // namespace

void enqueue(fair_queue &Queue, queued_item Item, double Weight) {
  account_queue &AccountQueue = accountQueueFor(Queue, Item.Account);
  AccountQueue.Weight = Weight;
  // An account gets no credit for the time in which its queue was empty.
  if (AccountQueue.Items.empty())
    AccountQueue.VirtualTime =
        std::max(AccountQueue.VirtualTime, Queue.VirtualTime);
  const auto Position = insertionPointFor(AccountQueue, Item);
  AccountQueue.Items.insert(Position, std::move(Item));
  ++Queue.Size;
}

std::optional<queued_item> dequeue(fair_queue &Queue) {
  account_queue *AccountQueue = nextAccountQueue(Queue);
  if (AccountQueue == nullptr)
    return std::nullopt;
  queued_item Item = std::move(AccountQueue->Items.front());
  AccountQueue->Items.pop_front();
  Queue.VirtualTime = AccountQueue->VirtualTime;
  AccountQueue->VirtualTime += Item.Cost / AccountQueue->Weight;
  --Queue.Size;
  return Item;
}

std::vector<queued_item> removeExpired(fair_queue &Queue, instant Now) {
  std::vector<queued_item> Expired;
  for (account_queue &AccountQueue : Queue.AccountQueues) {
    const auto Kept = std::stable_partition(
        AccountQueue.Items.begin(), AccountQueue.Items.end(),
        [Now](const queued_item &Item) { return Item.Deadline > Now; });
    std::move(Kept, AccountQueue.Items.end(), std::back_inserter(Expired));
    AccountQueue.Items.erase(Kept, AccountQueue.Items.end());
  }
  Queue.Size -= Expired.size();
  return Expired;
}

bool removeItem(fair_queue &Queue, std::uint64_t Ticket) {
  for (account_queue &AccountQueue : Queue.AccountQueues) {
    const auto Found = std::find_if(
        AccountQueue.Items.begin(), AccountQueue.Items.end(),
        [Ticket](const queued_item &Item) { return Item.Ticket == Ticket; });
    if (Found == AccountQueue.Items.end())
      continue;
    AccountQueue.Items.erase(Found);
    --Queue.Size;
    return true;
  }
  return false;
}

void correctCost(fair_queue &Queue, const account_id &Account, double Expected,
                 double Actual) {
  if (account_queue *AccountQueue = findAccountQueue(Queue, Account))
    AccountQueue->VirtualTime += (Actual - Expected) / AccountQueue->Weight;
}

double expectedWaitMs(const fair_queue &Queue, const account_id &Account,
                      double Weight, double Cost, std::uint32_t Slots) {
  double OwnCost = Cost;
  for (const account_queue &AccountQueue : Queue.AccountQueues) {
    if (AccountQueue.Account != Account)
      continue;
    for (const queued_item &Item : AccountQueue.Items)
      OwnCost += Item.Cost;
  }
  // While this request waits, other accounts get at most their weighted share.
  double TotalCost = OwnCost - Cost;
  for (const account_queue &AccountQueue : Queue.AccountQueues) {
    if (AccountQueue.Account == Account)
      continue;
    double QueueCost = 0;
    for (const queued_item &Item : AccountQueue.Items)
      QueueCost += Item.Cost;
    TotalCost += std::min(QueueCost, OwnCost * AccountQueue.Weight / Weight);
  }
  return TotalCost / std::max<std::uint32_t>(Slots, 1);
}

} // namespace bronzespar

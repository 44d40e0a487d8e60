/// Fair queue for the execution slots of one target. Accounts share the slots
/// in proportion to their weights; within an account, requests are ordered by
/// class and then by arrival.
#pragma once

#include <bronzespar/fleet_settings.hpp>
#include <bronzespar/instant.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace bronzespar {

/// \brief A waiting request.
struct queued_item {
  std::uint64_t Ticket = 0; ///< Identifies the request to the caller.
  account_id Account;
  request_class Class = request_class::Normal;
  std::string Session; ///< Session of the request; may be empty.
  double Cost = 1;     ///< Expected time on a slot, in milliseconds.
  instant Deadline{};
};

/// \brief The waiting requests of one account.
struct account_queue {
  account_id Account;
  double Weight = 1;
  double VirtualTime = 0; ///< Cost dispatched so far, divided by weight.
  std::deque<queued_item> Items;
};

/// \brief The requests that wait for a slot of one target.
struct fair_queue {
  std::vector<account_queue> AccountQueues;
  double VirtualTime = 0; ///< Virtual start time of the last dispatch.
  std::size_t Size = 0;   ///< Number of items over all accounts.
};

/// \brief Adds a request and sets its account's weight.
void enqueue(fair_queue &Queue, queued_item Item, double Weight);

/// \brief Removes and returns the next request to run.
/// \returns Nothing when the queue is empty.
[[nodiscard]] std::optional<queued_item> dequeue(fair_queue &Queue);

/// \brief Removes and returns requests whose deadline has passed.
[[nodiscard]] std::vector<queued_item> removeExpired(fair_queue &Queue,
                                                     instant Now);

/// \brief Removes one request. \returns False when it is not waiting.
bool removeItem(fair_queue &Queue, std::uint64_t Ticket);

/// \brief Corrects an account's virtual time once a request's actual cost is
/// known.
void correctCost(fair_queue &Queue, const account_id &Account, double Expected,
                 double Actual);

/// \brief Estimates how long a new request of an account would wait, in
/// milliseconds.
[[nodiscard]] double expectedWaitMs(const fair_queue &Queue,
                                    const account_id &Account, double Weight,
                                    double Cost, std::uint32_t Slots);

} // namespace bronzespar

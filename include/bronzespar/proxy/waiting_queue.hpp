/// Queue of statements that wait for a target. Fair queueing gives each account
/// an equal share, so that one that sends far more than the others cannot delay
/// them. Routes with a more urgent priority are served first.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace bronzespar::proxy {

/// \brief Position in the queue; the smallest is served first.
struct waiting_rank {
  int Priority = 0;    ///< Of the route; 0 is the most urgent.
  double StartTag = 0; ///< Virtual time at which the request is due.
  std::uint64_t SequenceNumber = 0;

  auto operator<=>(const waiting_rank &) const = default;
};

/// \brief Start-time fair queue between accounts, by priority.
struct waiting_queue {
  std::map<waiting_rank, std::uint64_t> Items; ///< Rank to request number.
  std::map<std::string, double> FinishTags;    ///< By account.
  double VirtualTime = 0; ///< Highest start tag that was dequeued.
  std::uint64_t NextSequenceNumber = 1;
};

/// \brief Adds a request.
/// \param Cost Expected time in a target's slot, in milliseconds.
/// \returns Its rank, by which it is removed again.
waiting_rank enqueue(waiting_queue &Queue, std::uint64_t Request,
                     const std::string &Account, int Priority, double Cost);

/// \brief Removes a request that is served now and advances the virtual time.
void dequeue(waiting_queue &Queue, const waiting_rank &Rank);

/// \brief Removes a request that will not be served.
void cancel(waiting_queue &Queue, const waiting_rank &Rank);

} // namespace bronzespar::proxy

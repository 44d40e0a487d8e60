/// Order in which waiting statements are placed. Answers the load in which one
/// account asks far more than the others: each account is served by its share,
/// and urgent routes go before the rest.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace bronzespar::proxy {

/// \brief Place in the queue; smaller is served first.
struct waiting_rank {
  int Priority = 0;    ///< Of the route; 0 first.
  double StartTag = 0; ///< Virtual time at which the account is due.
  std::uint64_t SequenceNumber = 0;

  auto operator<=>(const waiting_rank &) const = default;
};

/// \brief Start-time fair queue between accounts, by priority.
struct waiting_queue {
  std::map<waiting_rank, std::uint64_t> Items; ///< Rank to request number.
  std::map<std::string, double> FinishTags;    ///< By account.
  double VirtualTime = 0; ///< Start tag of the item served last.
  std::uint64_t NextSequenceNumber = 1;
};

/// \brief Adds a request.
/// \param Cost Expected time on a target's slot, in milliseconds.
/// \returns Its rank, which takes it out again.
waiting_rank enqueue(waiting_queue &Queue, std::uint64_t Request,
                     const std::string &Account, int Priority, double Cost);

/// \brief Takes a request out because it is served now.
void dequeue(waiting_queue &Queue, const waiting_rank &Rank);

/// \brief Takes a request out that will not be served.
void cancel(waiting_queue &Queue, const waiting_rank &Rank);

} // namespace bronzespar::proxy

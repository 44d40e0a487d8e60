/// Ends of relayed calls.
#include "relay_table.hpp"

#include <algorithm>
#include <utility>

namespace bronzespar::serve {

namespace {

/// Ends the calls that Selects chooses, without an answer.
template <class Predicate>
void failRelays(relay_table &Table, Predicate Selects) {
  std::vector<std::uint64_t> Selected;
  for (const auto &[Number, Relay] : Table.Pending)
    if (Selects(Relay))
      Selected.push_back(Number);
  for (const std::uint64_t Number : Selected)
    finishRelay(Table, Number, {});
}

} // namespace

void finishRelay(relay_table &Table, std::uint64_t Number,
                 relay_answer Answer) {
  const auto Found = Table.Pending.find(Number);
  if (Found == Table.Pending.end())
    return;
  const relay_callback Callback = std::move(Found->second.Callback);
  Table.Pending.erase(Found);
  Callback(std::move(Answer));
}

void failRelaysOf(relay_table &Table, const std::string &Link) {
  failRelays(Table,
             [&](const pending_relay &Relay) { return Relay.Link == Link; });
}

void abandonWatches(relay_table &Table) {
  failRelays(Table, [](const pending_relay &Relay) { return Relay.IsWatch; });
}

std::vector<std::string> overdueLinks(const relay_table &Table, instant Now) {
  std::vector<std::string> Links;
  for (const auto &[Number, Relay] : Table.Pending)
    if (Now > Relay.Deadline &&
        std::find(Links.begin(), Links.end(), Relay.Link) == Links.end())
      Links.push_back(Relay.Link);
  return Links;
}

} // namespace bronzespar::serve

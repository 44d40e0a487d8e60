/// Ends of relayed calls.
#include "relay_table.hpp"

#include "store_watch.hpp"

#include <algorithm>
#include <utility>

namespace bronzespar::serve {

namespace {

/// Added to a relayed call's own timeout for the transfer to the peer and back.
constexpr duration RelayTimeoutMargin = std::chrono::milliseconds(100);
/// A peer that is reached answers each watch within PeerWatchTimeout.
constexpr duration PeerSilenceTimeout =
    PeerWatchTimeout + std::chrono::milliseconds(600);

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
  if (Callback)
    Callback(std::move(Answer));
}

void addRelay(relay_table &Table, std::uint64_t Number, std::string Link,
              std::uint64_t Received, const platform::http_call &Call,
              instant Now, relay_callback Callback) {
  pending_relay Relay;
  Relay.Link = std::move(Link);
  Relay.ReceivedBefore = Received;
  Relay.AnswerBy = Now + Call.Timeout + RelayTimeoutMargin;
  Relay.SilentAt = std::max(Relay.AnswerBy, Now + PeerSilenceTimeout);
  Relay.IsWatch = Call.IsLongPoll;
  Relay.Callback = std::move(Callback);
  Table.Pending[Number] = std::move(Relay);
}

void failRelaysOf(relay_table &Table, const std::string &Link) {
  failRelays(Table,
             [&](const pending_relay &Relay) { return Relay.Link == Link; });
}

void abandonWatches(relay_table &Table) {
  failRelays(Table, [](const pending_relay &Relay) { return Relay.IsWatch; });
}

std::vector<std::string> expireRelays(relay_table &Table, instant Now,
                                      const received_function &Received) {
  std::vector<std::string> Lost;
  std::vector<relay_callback> Ended;
  for (auto Next = Table.Pending.begin(); Next != Table.Pending.end();) {
    pending_relay &Relay = Next->second;
    if (Now > Relay.AnswerBy && Relay.Callback)
      Ended.push_back(std::exchange(Relay.Callback, nullptr));
    if (Now <= Relay.SilentAt) {
      ++Next;
      continue;
    }
    if (Received(Relay.Link) == Relay.ReceivedBefore &&
        std::find(Lost.begin(), Lost.end(), Relay.Link) == Lost.end())
      Lost.push_back(Relay.Link);
    Next = Table.Pending.erase(Next);
  }
  // Callbacks send further calls.
  for (const relay_callback &Callback : Ended)
    Callback({});
  return Lost;
}

} // namespace bronzespar::serve

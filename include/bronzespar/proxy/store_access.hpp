/// Chooses whether a host calls the platform's store directly or through a
/// peer. Handles a store that refuses some hosts while it serves others, and
/// hosts that are partitioned from the store and from their peers.
#pragma once

#include <bronzespar/endpoint.hpp>
#include <bronzespar/enum_table.hpp>
#include <bronzespar/instant.hpp>

#include <map>
#include <optional>
#include <vector>

#include <cstddef>

namespace bronzespar::proxy {

enum class store_access {
  Direct,
  Relay, ///< A peer makes the call.
};
BOOST_DESCRIBE_ENUM(store_access, Direct, Relay)

/// \brief Result of a direct call.
enum class call_result {
  Served,
  Refused,   ///< The store answered that it does not serve the host.
  NoAnswer,  ///< The call timed out, or its connection was lost.
  WatchEnded ///< A watch ended without an answer; the store may end watches.
};
BOOST_DESCRIBE_ENUM(call_result, Served, Refused, NoAnswer, WatchEnded)

/// \brief Results of the last direct and relayed calls.
struct store_access_state {
  bool DirectFailed = false;  ///< The last direct call failed.
  instant NextDirectCallAt{}; ///< When a failed direct call is tried again.
  /// Selects the relaying peer, modulo the number of peers; incremented after
  /// each relayed call that failed.
  std::size_t RelayIndex = 0;
  instant LastAnswerAt{}; ///< Last answer of the store or of a peer.
  /// When a call whose proof is overdue may try a direct call that failed.
  instant NextOverdueCallAt{};
};

/// \brief How much of the time that a caller may go without a proof is left.
enum class proof_need {
  Ample,
  Overdue ///< Too little for an answer of a peer that may be silent.
};
BOOST_DESCRIBE_ENUM(proof_need, Ample, Overdue)

/// \brief Whether a watch has to go to the store itself.
/// \param DueAt When the caller's proof becomes too old.
[[nodiscard]] proof_need needOf(instant DueAt, instant Now);

/// \brief Time that a peer has for the answer to a watch. All peers that are
/// asked in turn share what is left until the caller's proof is overdue.
/// \param Usual Time within which a peer answers unless it is lost.
[[nodiscard]] duration peerWatchTimeout(instant DueAt, instant Now,
                                        duration Usual);

/// \brief Chooses between a direct and a relayed call.
/// \param IsWatch The call waits for changes, so that it does not probe a store
/// that failed the last direct call.
/// \param Probes The call is overdue and goes to the store sooner than others,
/// as the failure may have been that of one connection.
[[nodiscard]] store_access chooseStoreAccess(store_access_state &Access,
                                             bool HasPeers, bool IsWatch,
                                             bool Probes, instant Now);

/// \brief Records the result of a direct call.
/// \remarks A watch that ended without an answer is ignored: other calls are
/// frequent enough to show that the store is lost.
void recordDirectCall(store_access_state &Access, call_result Result,
                      instant Now);

/// \brief Records the result of a relayed call.
/// \param PeerAnswered The peer sent any answer.
/// \param Served The store served the call.
void recordRelayedCall(store_access_state &Access, bool PeerAnswered,
                       bool Served, instant Now);

/// \brief Whether neither the store nor any peer has answered for a while.
/// \remarks The peers should be in other data centres: a host of the same data
/// centre may be in the same partition, so its answer proves nothing.
[[nodiscard]] bool isIsolated(const store_access_state &Access, instant Now);

/// \brief Result of a watch that a peer was asked to serve.
enum class watch_source_result {
  Served,
  Starting, ///< The peer has not read the store yet.
  Failed,   ///< The peer has lost the store.
  Silent    ///< The peer did not answer in time.
};

/// \brief Which watch sources may be asked.
struct watch_source_state {
  /// Earliest next watch at a source that did not serve the last one.
  std::map<endpoint, instant> RetryAt;
  /// No source is asked until then: waiting for another one that may be silent
  /// as well would leave the settings outdated for longer.
  instant DirectUntil{};
};

/// \brief Chooses the source for the next watch.
/// \param Sources In order of preference.
/// \returns Nothing when the host should watch the store itself.
[[nodiscard]] std::optional<endpoint>
chooseWatchSource(const watch_source_state &State,
                  const std::vector<endpoint> &Sources, instant Now);
void recordWatchSource(watch_source_state &State, const endpoint &Source,
                       watch_source_result Result, instant Now);

/// \brief Lets the next watches go to the store, which has just answered again:
/// the sources may still be partitioned from it.
void preferDirectWatches(watch_source_state &State, instant Now);

} // namespace bronzespar::proxy

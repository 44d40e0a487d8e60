/// Whether a host calls the platform's store itself or through a peer. Answers
/// the failures in which the store turns some hosts away while it serves the
/// others, and in which hosts are cut off from it and from their peers.
#pragma once

#include <bronzespar/enum_table.hpp>
#include <bronzespar/instant.hpp>

#include <cstddef>

namespace bronzespar::proxy {

enum class store_access {
  Direct,
  Relay, ///< Through a peer.
};
BOOST_DESCRIBE_ENUM(store_access, Direct, Relay)

/// \brief How a call of the host's own ended.
enum class call_result {
  Served,
  Refused,   ///< The store said that it turns the host away.
  NoAnswer,  ///< Within the call's limit; or the connection was lost.
  WatchEnded ///< A call that waits for changes; the store may cut those.
};
BOOST_DESCRIBE_ENUM(call_result, Served, Refused, NoAnswer, WatchEnded)

/// \brief What the last calls told of both ways.
struct store_access_state {
  bool DirectFailed = false;  ///< The last call of the host's own failed.
  instant NextDirectCallAt{}; ///< When the store is called directly again.
  std::size_t RelayIndex = 0; ///< Which peer relays; counts on after a failure.
  instant LastAnswerAt{};     ///< When the store or a peer last said something.
};

/// \brief Chooses the way of a call.
/// \param Waits The call waits for changes; it never probes a store that
/// turned the host away.
[[nodiscard]] store_access chooseStoreAccess(store_access_state &Path,
                                             bool HasPeers, bool Waits,
                                             instant Now);

/// \brief Notes how a call of the host's own ended.
/// \remarks A watch that ended without an answer says nothing: other calls
/// follow each other closely enough to show a store that is lost.
void recordDirectCall(store_access_state &Path, call_result End, instant Now);

/// \brief Notes how a relayed call ended.
/// \param PeerAnswered The peer said something.
/// \param Served The store answered it.
void recordRelayedCall(store_access_state &Path, bool PeerAnswered, bool Served,
                       instant Now);

/// \brief True once neither store nor peers have answered for a while.
/// \remarks Peers of other data centres are meant: a neighbour that is cut off
/// as well proves nothing.
[[nodiscard]] bool isIsolated(const store_access_state &Path, instant Now);

} // namespace bronzespar::proxy

/// Choice between direct calls to the store and calls through a peer, and of
/// the peer whose watch this host shares.
#include <bronzespar/proxy/store_access.hpp>

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// Time between direct calls while they fail.
constexpr duration ProbeInterval = std::chrono::milliseconds(1500);
/// The same for watches whose proof is overdue.
constexpr duration OverdueProbeInterval = std::chrono::milliseconds(500);
/// A peer that answers at all answers within this time when it has something to
/// tell; a shorter wait would end in vain.
constexpr duration MinPeerWatchTimeout = std::chrono::milliseconds(300);
/// A host without any answer for this long is isolated. Two consecutive calls
/// have timed out by then.
constexpr duration IsolationTimeout = std::chrono::milliseconds(1600);

/// A watch source that failed is not asked again before this has passed. The
/// host watches the store itself when all have failed: they may be partitioned
/// from the store while this host is not.
constexpr duration WatchSourceRetryDelay = std::chrono::seconds(3);
/// The same for a source that is starting. When many hosts start together, all
/// would otherwise watch the store for seconds.
constexpr duration WatchSourceStartDelay = std::chrono::milliseconds(300);

/// Long enough for one watch of each prefix, as many hosts may find at the same
/// time that the store is back.
constexpr duration RegainedDirectPeriod = std::chrono::milliseconds(600);

} // namespace

proof_need needOf(instant DueAt, instant Now) {
  return DueAt < Now + MinPeerWatchTimeout ? proof_need::Overdue
                                           : proof_need::Ample;
}

duration peerWatchTimeout(instant DueAt, instant Now, duration Usual) {
  return std::clamp(DueAt - Now, MinPeerWatchTimeout, Usual);
}

store_access chooseStoreAccess(store_access_state &Access, bool HasPeers,
                               bool IsWatch, bool Probes, instant Now) {
  if (!Access.DirectFailed || !HasPeers)
    return store_access::Direct;
  if (Probes && Now >= Access.NextOverdueCallAt) {
    Access.NextOverdueCallAt = Now + OverdueProbeInterval;
    return store_access::Direct;
  }
  if (!IsWatch && Now >= Access.NextDirectCallAt) {
    Access.NextDirectCallAt = Now + ProbeInterval;
    return store_access::Direct;
  }
  return store_access::Relay;
}

void recordDirectCall(store_access_state &Access, call_result Result,
                      instant Now) {
  if (Result == call_result::WatchEnded)
    return;
  const bool Served = Result == call_result::Served;
  if (!Served && !Access.DirectFailed)
    Access.NextDirectCallAt = Now + ProbeInterval;
  Access.DirectFailed = !Served;
  if (Served)
    Access.LastAnswerAt = Now;
}

void recordRelayedCall(store_access_state &Access, bool PeerAnswered,
                       bool Served, instant Now) {
  if (!Served)
    Access.RelayIndex += 1;
  if (PeerAnswered)
    Access.LastAnswerAt = Now;
}

bool isIsolated(const store_access_state &Access, instant Now) {
  return Access.DirectFailed && Now >= Access.LastAnswerAt + IsolationTimeout;
}

std::optional<endpoint> chooseWatchSource(const watch_source_state &State,
                                          const std::vector<endpoint> &Sources,
                                          instant Now) {
  if (Now < State.DirectUntil)
    return std::nullopt;
  for (const endpoint &Source : Sources) {
    const auto RetryAt = State.RetryAt.find(Source);
    if (RetryAt == State.RetryAt.end() || Now >= RetryAt->second)
      return Source;
  }
  return std::nullopt;
}

void recordWatchSource(watch_source_state &State, const endpoint &Source,
                       watch_source_result Result, instant Now) {
  if (Result == watch_source_result::Served) {
    State.RetryAt.erase(Source);
    return;
  }
  if (Result == watch_source_result::Silent)
    State.DirectUntil = Now + WatchSourceRetryDelay;
  else
    State.RetryAt[Source] =
        Now + (Result == watch_source_result::Starting ? WatchSourceStartDelay
                                                       : WatchSourceRetryDelay);
}

void preferDirectWatches(watch_source_state &State, instant Now) {
  State.RetryAt.clear();
  State.DirectUntil = Now + RegainedDirectPeriod;
}

} // namespace bronzespar::proxy

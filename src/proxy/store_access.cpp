/// Choice between direct calls to the store and calls through a peer.
#include <bronzespar/proxy/store_access.hpp>

namespace bronzespar::proxy {

namespace {

/// Time between direct calls while they fail.
constexpr duration ProbeInterval = std::chrono::milliseconds(1500);
/// A host without any answer for this long is isolated. Two consecutive calls
/// have timed out by then.
constexpr duration IsolationTimeout = std::chrono::milliseconds(1600);

} // namespace

store_access chooseStoreAccess(store_access_state &Access, bool HasPeers,
                               bool IsWatch, instant Now) {
  if (!Access.DirectFailed || !HasPeers)
    return store_access::Direct;
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

} // namespace bronzespar::proxy

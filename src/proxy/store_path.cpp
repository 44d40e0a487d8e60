/// Choice between the store itself and a peer.
#include <bronzespar/proxy/store_path.hpp>

namespace bronzespar::proxy {

namespace {

/// A store that turned the host away is asked again after this.
constexpr duration ProbeInterval = std::chrono::milliseconds(1500);
/// Without any answer for this long, a host is isolated; two calls in a row
/// have run out of time by then.
constexpr duration IsolationTimeout = std::chrono::milliseconds(1600);

} // namespace

store_access chooseStoreAccess(store_access_state &Path, bool HasPeers,
                               bool Waits, instant Now) {
  if (!Path.DirectFailed || !HasPeers)
    return store_access::Direct;
  if (!Waits && Now >= Path.NextDirectCallAt) {
    Path.NextDirectCallAt = Now + ProbeInterval;
    return store_access::Direct;
  }
  return store_access::Relay;
}

void recordDirectCall(store_access_state &Path, call_result End, instant Now) {
  if (End == call_result::WatchEnded)
    return;
  const bool Served = End == call_result::Served;
  if (!Served && !Path.DirectFailed)
    Path.NextDirectCallAt = Now + ProbeInterval;
  Path.DirectFailed = !Served;
  if (Served)
    Path.LastAnswerAt = Now;
}

void recordRelayedCall(store_access_state &Path, bool PeerAnswered, bool Served,
                       instant Now) {
  if (!Served)
    Path.RelayIndex += 1;
  if (PeerAnswered)
    Path.LastAnswerAt = Now;
}

bool isIsolated(const store_access_state &Path, instant Now) {
  return Path.DirectFailed && Now >= Path.LastAnswerAt + IsolationTimeout;
}

} // namespace bronzespar::proxy

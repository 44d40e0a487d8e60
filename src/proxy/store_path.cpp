/// Choice between direct calls to the store and calls through a peer.
#include <bronzespar/proxy/store_path.hpp>

namespace bronzespar::proxy {

namespace {

/// Time between direct calls while they fail.
constexpr duration ProbeInterval = std::chrono::milliseconds(1500);
/// A host without any answer for this long is isolated. Two consecutive calls
/// have timed out by then.
constexpr duration IsolationTimeout = std::chrono::milliseconds(1600);

} // namespace

store_access chooseStoreAccess(store_access_state &Path, bool HasPeers,
                               bool IsWatch, instant Now) {
  if (!Path.DirectFailed || !HasPeers)
    return store_access::Direct;
  if (!IsWatch && Now >= Path.NextDirectCallAt) {
    Path.NextDirectCallAt = Now + ProbeInterval;
    return store_access::Direct;
  }
  return store_access::Relay;
}

void recordDirectCall(store_access_state &Path, call_result Result,
                      instant Now) {
  if (Result == call_result::WatchEnded)
    return;
  const bool Served = Result == call_result::Served;
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

/// Choice between the store itself and a peer.
#include <bronzespar/proxy/store_path.hpp>

namespace bronzespar::proxy {

namespace {

/// A store that turned the host away is asked again after this.
constexpr duration ProbePause = std::chrono::milliseconds(1500);
/// Without any answer for this long, a host is isolated; two calls in a row
/// have run out of time by then.
constexpr duration IsolatedAfter = std::chrono::milliseconds(1600);

} // namespace

store_way chooseWay(store_path &Path, bool HasPeers, bool Waits, instant Now) {
  if (!Path.TurnedAway || !HasPeers)
    return store_way::Direct;
  if (!Waits && Now >= Path.NextProbe) {
    Path.NextProbe = Now + ProbePause;
    return store_way::Direct;
  }
  return store_way::Relay;
}

void directEnded(store_path &Path, call_end End, instant Now) {
  if (End == call_end::WatchEnded)
    return;
  const bool Served = End == call_end::Served;
  if (!Served && !Path.TurnedAway)
    Path.NextProbe = Now + ProbePause;
  Path.TurnedAway = !Served;
  if (Served)
    Path.AnsweredAt = Now;
}

void relayEnded(store_path &Path, bool PeerAnswered, bool Served, instant Now) {
  if (!Served)
    Path.Peer += 1;
  if (PeerAnswered)
    Path.AnsweredAt = Now;
}

bool isIsolated(const store_path &Path, instant Now) {
  return Path.TurnedAway && Now >= Path.AnsweredAt + IsolatedAfter;
}

} // namespace bronzespar::proxy

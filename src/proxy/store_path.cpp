/// Choice between direct calls to the store and calls through a peer.
#include <bronzespar/proxy/store_path.hpp>

namespace bronzespar::proxy {

namespace {

/// Time between direct calls while they fail.
constexpr duration ProbePause = std::chrono::milliseconds(1500);
/// A host without any answer for this long is isolated. Two consecutive calls
/// have timed out by then.
constexpr duration IsolatedAfter = std::chrono::milliseconds(1600);

} // namespace

store_way chooseWay(store_path &Path, bool HasPeers, bool IsWatch,
                    instant Now) {
  if (!Path.TurnedAway || !HasPeers)
    return store_way::Direct;
  if (!IsWatch && Now >= Path.NextProbe) {
    Path.NextProbe = Now + ProbePause;
    return store_way::Direct;
  }
  return store_way::Relay;
}

void directEnded(store_path &Path, call_end Result, instant Now) {
  if (Result == call_end::WatchEnded)
    return;
  const bool Served = Result == call_end::Served;
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

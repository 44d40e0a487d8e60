/// This host's view of the fleet, built from the platform's host list and the
/// heartbeats of the peers, and the detection of failed peers.
#include <bronzespar/membership.hpp>

#include <algorithm>

namespace bronzespar {

namespace {

bool idBefore(const peer_view &Peer, const host_id &Id) { return Peer.Id < Id; }

peer_view *findMutablePeer(membership_state &State, const host_id &Id) {
  const auto Found =
      std::lower_bound(State.Peers.begin(), State.Peers.end(), Id, idBefore);
  if (Found == State.Peers.end() || Found->Id != Id)
    return nullptr;
  return &*Found;
}

peer_view &findOrAdd(membership_state &State, const host_id &Id) {
  const auto Position =
      std::lower_bound(State.Peers.begin(), State.Peers.end(), Id, idBefore);
  if (Position != State.Peers.end() && Position->Id == Id)
    return *Position;
  peer_view Peer;
  Peer.Id = Id;
  return *State.Peers.insert(Position, std::move(Peer));
}

duration heartbeatIntervalOf(const peer_view &Peer) {
  return std::max(Peer.AnnouncedInterval, HeartbeatInterval);
}

bool isLeaving(const peer_view &Peer) {
  return Peer.LeavingMarkApplies || Peer.Phase == host_phase::Leaving;
}

host_state_kind liveStateOf(const peer_view &Peer) {
  return isLeaving(Peer) ? host_state_kind::Leaving : host_state_kind::Alive;
}

std::uint32_t heartbeatsNeeded(const peer_view &Peer) {
  if (Peer.Suspicions == 0)
    return 1;
  return HeartbeatsToRecover << (Peer.Suspicions - 1);
}

host_state_kind stateAfterHeartbeat(const peer_view &Peer) {
  if (isLeaving(Peer) || Peer.ConsecutiveHeartbeats >= heartbeatsNeeded(Peer))
    return liveStateOf(Peer);
  if (Peer.State == host_state_kind::Gone)
    return host_state_kind::Suspect;
  return Peer.State;
}

void markSuspect(peer_view &Peer) {
  Peer.State = host_state_kind::Suspect;
  Peer.Suspicions = std::min(Peer.Suspicions + 1, MaxSuspicions);
  Peer.ConsecutiveHeartbeats = 0;
}

void detectFailure(peer_view &Peer, instant Now) {
  if (Peer.State == host_state_kind::Gone)
    return;
  const duration SinceLastHeard = Now - Peer.LastHeard;
  if (SinceLastHeard >= GoneAfterIntervals * heartbeatIntervalOf(Peer)) {
    Peer.State = host_state_kind::Gone;
    Peer.ConsecutiveHeartbeats = 0;
    return;
  }
  if (Peer.State != host_state_kind::Suspect &&
      SinceLastHeard >= SuspectAfterIntervals * heartbeatIntervalOf(Peer))
    markSuspect(Peer);
}

/// Extends the deadlines of all peers by a pause of this process, because
/// heartbeats that arrived meanwhile are still unread in the sockets.
void compensateLocalPause(membership_state &State, instant Now) {
  const duration Pause = Now - State.LastTick;
  if (State.LastTick == instant{} || Pause < LocalPauseThreshold)
    return;
  for (peer_view &Peer : State.Peers)
    Peer.LastHeard += Pause;
}

void beginIncarnation(peer_view &Peer, std::uint64_t Incarnation) {
  const bool Restarted = Peer.Incarnation != 0;
  Peer.Incarnation = Incarnation;
  Peer.Sequence = 0;
  Peer.Suspicions = 0;
  Peer.ConsecutiveHeartbeats = 0;
  if (Restarted)
    Peer.LeavingMarkApplies = false;
}

/// The leaving mark applies only when it newly appears: after a restart, an
/// outdated list may still contain the mark of the earlier incarnation.
void applyListedLeaving(peer_view &Peer, bool Leaving) {
  if (Leaving && !Peer.ListedLeaving)
    Peer.LeavingMarkApplies = true;
  if (!Leaving)
    Peer.LeavingMarkApplies = false;
  Peer.ListedLeaving = Leaving;
  if (Peer.State == host_state_kind::Alive ||
      Peer.State == host_state_kind::Leaving)
    Peer.State = liveStateOf(Peer);
}

void connect(const host_settings &Self, const peer_view &Peer,
             effect_list &Effects) {
  Effects.push_back(effects::connect_peer{
      Peer.Id, mapAddress(Self, Peer.DataCentre, Peer.Peers)});
}

void applyListedHost(membership_state &State, const host_settings &Self,
                     const listed_host &Host, effect_list &Effects) {
  peer_view &Peer = findOrAdd(State, Host.Id);
  const bool AddressChanged =
      Peer.Peers != Host.Peers || Peer.DataCentre != Host.DataCentre;
  Peer.Listed = true;
  Peer.DataCentre = Host.DataCentre;
  Peer.Peers = Host.Peers;
  applyListedLeaving(Peer, Host.Leaving);
  if (AddressChanged)
    connect(Self, Peer, Effects);
}

/// Peers that are not in the list are kept until they are Gone, because the
/// list may be outdated.
void removeUnlistedPeers(membership_state &State, effect_list &Effects) {
  std::erase_if(State.Peers, [&Effects](const peer_view &Peer) {
    if (Peer.Listed || Peer.State != host_state_kind::Gone)
      return false;
    Effects.push_back(effects::disconnect_peer{Peer.Id});
    return true;
  });
}

void sendHeartbeats(membership_state &State, settings_revision Revision,
                    instant Now, effect_list &Effects) {
  heartbeat Heartbeat;
  Heartbeat.Incarnation = State.Incarnation;
  Heartbeat.Phase = State.Phase;
  Heartbeat.Slot = State.Slot;
  Heartbeat.Revision = Revision;
  for (peer_view &Peer : State.Peers) {
    if (!Peer.Connected || Now - Peer.LastSent < HeartbeatInterval)
      continue;
    Peer.LastSent = Now;
    Heartbeat.Sequence = ++State.Sequence;
    Effects.push_back(effects::send_peer_message{Peer.Id, Heartbeat});
  }
}

} // namespace

void applyHostList(membership_state &State, const host_settings &Self,
                   const std::vector<listed_host> &Hosts, instant /*Now*/,
                   effect_list &Effects) {
  for (peer_view &Peer : State.Peers)
    Peer.Listed = false;
  for (const listed_host &Host : Hosts) {
    if (Host.Id != State.Self)
      applyListedHost(State, Self, Host, Effects);
  }
  removeUnlistedPeers(State, Effects);
}

void applyHeartbeat(membership_state &State, const host_id &From,
                    const heartbeat &Heartbeat, instant Now) {
  peer_view *Peer = findMutablePeer(State, From);
  if (Peer == nullptr || Heartbeat.Incarnation < Peer->Incarnation)
    return;
  if (Heartbeat.Incarnation > Peer->Incarnation)
    beginIncarnation(*Peer, Heartbeat.Incarnation);
  if (Heartbeat.Sequence <= Peer->Sequence)
    return;
  Peer->Sequence = Heartbeat.Sequence;
  Peer->Phase = Heartbeat.Phase;
  Peer->Slot = Heartbeat.Slot;
  Peer->Revision = std::max(Peer->Revision, Heartbeat.Revision);
  Peer->LastHeard = Now;
  ++Peer->ConsecutiveHeartbeats;
  if (Peer->ConsecutiveHeartbeats >= HeartbeatsToClearSuspicions)
    Peer->Suspicions = 0;
  Peer->State = stateAfterHeartbeat(*Peer);
}

void applyLink(membership_state &State, const host_id &Peer, bool Connected,
               instant /*Now*/) {
  peer_view *Known = findMutablePeer(State, Peer);
  if (Known == nullptr)
    return;
  Known->Connected = Connected;
  if (Connected)
    Known->LastSent = instant{} - HeartbeatInterval;
}

void tickMembership(membership_state &State, settings_revision Revision,
                    instant Now, effect_list &Effects) {
  compensateLocalPause(State, Now);
  State.LastTick = Now;
  for (peer_view &Peer : State.Peers)
    detectFailure(Peer, Now);
  removeUnlistedPeers(State, Effects);
  sendHeartbeats(State, Revision, Now, Effects);
}

const peer_view *findPeer(const membership_state &State, const host_id &Host) {
  const auto Found =
      std::lower_bound(State.Peers.begin(), State.Peers.end(), Host, idBefore);
  if (Found == State.Peers.end() || Found->Id != Host)
    return nullptr;
  return &*Found;
}

} // namespace bronzespar

/// Choice of the peers with which a host exchanges heartbeats.
#include <bronzespar/membership.hpp>

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace bronzespar {

namespace {

/// Sort key of a host in a ring: the hash of its id, then the id.
using ring_position = std::pair<std::uint64_t, host_id>;

ring_position ringPositionOf(const host_id &Host) {
  return {XXH3_64bits(Host.Value.data(), Host.Value.size()), Host};
}

bool usesFullMesh(const membership_state &State) {
  return State.Peers.size() + 1 <= FullMeshMaxHosts;
}

/// Adds the neighbours of Self in Ring, which must contain Self.
void addNeighbours(std::vector<ring_position> Ring, const host_id &Self,
                   std::set<host_id> &Selected) {
  std::sort(Ring.begin(), Ring.end());
  const auto SelfPosition =
      std::find(Ring.begin(), Ring.end(), ringPositionOf(Self));
  const auto SelfIndex = static_cast<std::size_t>(SelfPosition - Ring.begin());
  const std::size_t Size = Ring.size();
  const std::size_t Neighbours = std::min(RingNeighboursPerSide, Size - 1);
  for (std::size_t Step = 1; Step <= Neighbours; ++Step) {
    Selected.insert(Ring[(SelfIndex + Step) % Size].second);
    Selected.insert(Ring[(SelfIndex + Size - Step) % Size].second);
  }
}

} // namespace

duration heartbeatInterval(const membership_state &State) {
  return usesFullMesh(State) ? HeartbeatInterval : LargeFleetHeartbeatInterval;
}

std::vector<host_id> heartbeatPeers(const membership_state &State) {
  std::set<host_id> Selected;
  std::vector<ring_position> FleetRing{ringPositionOf(State.Self)};
  std::vector<ring_position> DataCentreRing{ringPositionOf(State.Self)};
  const bool FullMesh = usesFullMesh(State);
  for (const peer_view &Peer : State.Peers) {
    if (FullMesh)
      Selected.insert(Peer.Id);
    FleetRing.push_back(ringPositionOf(Peer.Id));
    if (Peer.DataCentre == State.DataCentre)
      DataCentreRing.push_back(ringPositionOf(Peer.Id));
  }
  if (!FullMesh) {
    addNeighbours(std::move(FleetRing), State.Self, Selected);
    addNeighbours(std::move(DataCentreRing), State.Self, Selected);
  }
  Selected.erase(State.Self);
  return {Selected.begin(), Selected.end()};
}

} // namespace bronzespar

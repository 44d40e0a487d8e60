/// Choice of the peers with which a host exchanges heartbeats.
#include <bronzespar/membership.hpp>

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace bronzespar {

namespace {

/// Sort key of a host in a ring: the hash of its id, then the id.
using ring_place = std::pair<std::uint64_t, host_id>;

ring_place placeOf(const host_id &Host) {
  return {XXH3_64bits(Host.Value.data(), Host.Value.size()), Host};
}

bool isSmall(const membership_state &State) {
  return State.Peers.size() + 1 <= FullMeshLimit;
}

/// Adds the neighbours of Self in Ring, which must contain Self.
void addNeighbours(std::vector<ring_place> Ring, const host_id &Self,
                   std::set<host_id> &Selected) {
  std::sort(Ring.begin(), Ring.end());
  const auto SelfPosition = std::find(Ring.begin(), Ring.end(), placeOf(Self));
  const auto SelfIndex = static_cast<std::size_t>(SelfPosition - Ring.begin());
  const std::size_t Size = Ring.size();
  const std::size_t Neighbours = std::min(RingReach, Size - 1);
  for (std::size_t Step = 1; Step <= Neighbours; ++Step) {
    Selected.insert(Ring[(SelfIndex + Step) % Size].second);
    Selected.insert(Ring[(SelfIndex + Size - Step) % Size].second);
  }
}

} // namespace

duration heartbeatInterval(const membership_state &State) {
  return isSmall(State) ? HeartbeatInterval : LargeFleetInterval;
}

std::vector<host_id> heartbeatPeers(const membership_state &State) {
  std::set<host_id> Selected;
  std::vector<ring_place> FleetRing{placeOf(State.Self)};
  std::vector<ring_place> DataCentreRing{placeOf(State.Self)};
  const bool FullMesh = isSmall(State);
  for (const peer_view &Peer : State.Peers) {
    if (FullMesh)
      Selected.insert(Peer.Id);
    FleetRing.push_back(placeOf(Peer.Id));
    if (Peer.DataCentre == State.DataCentre)
      DataCentreRing.push_back(placeOf(Peer.Id));
  }
  if (!FullMesh) {
    addNeighbours(std::move(FleetRing), State.Self, Selected);
    addNeighbours(std::move(DataCentreRing), State.Self, Selected);
  }
  Selected.erase(State.Self);
  return {Selected.begin(), Selected.end()};
}

} // namespace bronzespar

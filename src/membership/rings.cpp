/// Which hosts watch each other in a large fleet.
#include <bronzespar/membership.hpp>

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace bronzespar {

namespace {

/// A host's place in a ring; ids break ties.
using ring_position = std::pair<std::uint64_t, host_id>;

ring_position ringPositionOf(const host_id &Host) {
  return {XXH3_64bits(Host.Value.data(), Host.Value.size()), Host};
}

bool usesFullMesh(const membership_state &State) {
  return State.Peers.size() + 1 <= FullMeshMaxHosts;
}

/// Adds the neighbours of Self in a ring that holds it.
void addNeighbours(std::vector<ring_position> Ring, const host_id &Self,
                   std::set<host_id> &Found) {
  std::sort(Ring.begin(), Ring.end());
  const auto Own = std::find(Ring.begin(), Ring.end(), ringPositionOf(Self));
  const auto Start = static_cast<std::size_t>(Own - Ring.begin());
  const std::size_t Size = Ring.size();
  const std::size_t Reach = std::min(RingNeighboursPerSide, Size - 1);
  for (std::size_t Step = 1; Step <= Reach; ++Step) {
    Found.insert(Ring[(Start + Step) % Size].second);
    Found.insert(Ring[(Start + Size - Step) % Size].second);
  }
}

} // namespace

duration heartbeatInterval(const membership_state &State) {
  return usesFullMesh(State) ? HeartbeatInterval : LargeFleetHeartbeatInterval;
}

std::vector<host_id> heartbeatPeers(const membership_state &State) {
  std::set<host_id> Found;
  std::vector<ring_position> Fleet{ringPositionOf(State.Self)};
  std::vector<ring_position> DataCentre{ringPositionOf(State.Self)};
  const bool FullMesh = usesFullMesh(State);
  for (const peer_view &Peer : State.Peers) {
    if (FullMesh)
      Found.insert(Peer.Id);
    Fleet.push_back(ringPositionOf(Peer.Id));
    if (Peer.DataCentre == State.DataCentre)
      DataCentre.push_back(ringPositionOf(Peer.Id));
  }
  if (!FullMesh) {
    addNeighbours(std::move(Fleet), State.Self, Found);
    addNeighbours(std::move(DataCentre), State.Self, Found);
  }
  Found.erase(State.Self);
  return {Found.begin(), Found.end()};
}

} // namespace bronzespar

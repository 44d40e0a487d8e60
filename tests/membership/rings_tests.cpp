/// Tests of the choice of heartbeat peers in small and large fleets.
#include <bronzespar/membership.hpp>
#include <bronzespar/wire/peer_codec.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <set>

using namespace bronzespar;

namespace {

/// Budget of a host for control traffic, sent and received.
constexpr double ControlBytesPerSecond = 17'000;

using graph = std::map<host_id, std::vector<host_id>>;

std::string dataCentreOf(std::size_t Number, std::size_t DataCentres) {
  return "dc" + std::to_string(Number % DataCentres);
}

/// Heartbeat peers of each host in a fleet in which all hosts know each other.
graph makeHeartbeatGraph(std::size_t Hosts, std::size_t DataCentres) {
  graph Graph;
  for (std::size_t Own = 0; Own < Hosts; ++Own) {
    membership_state State;
    State.Self = host_id("host-" + std::to_string(Own));
    State.DataCentre = data_centre_id(dataCentreOf(Own, DataCentres));
    for (std::size_t Number = 0; Number < Hosts; ++Number) {
      if (Number == Own)
        continue;
      peer_view &Peer = State.Peers.emplace_back();
      Peer.Id = host_id("host-" + std::to_string(Number));
      Peer.DataCentre = data_centre_id(dataCentreOf(Number, DataCentres));
    }
    Graph[State.Self] = heartbeatPeers(State);
  }
  return Graph;
}

/// Number of hops after which a message from one host has reached all live
/// hosts; 0 if some are not reached.
std::size_t hopsToAll(const graph &Graph, const host_id &From,
                      const std::set<host_id> &Dead) {
  std::set<host_id> Reached{From};
  std::vector<host_id> Frontier{From};
  std::size_t Hops = 0;
  while (Reached.size() + Dead.size() < Graph.size()) {
    std::vector<host_id> Next;
    for (const host_id &Host : Frontier) {
      for (const host_id &Peer : Graph.at(Host)) {
        if (!Dead.contains(Peer) && Reached.insert(Peer).second)
          Next.push_back(Peer);
      }
    }
    if (Next.empty())
      return 0;
    Frontier = std::move(Next);
    ++Hops;
  }
  return Hops;
}

/// Size of a heartbeat on the wire: the frame, and the headers of its IP
/// packet and of the packet that acknowledges it.
std::size_t heartbeatBytes() {
  constexpr std::size_t HeaderBytes = 52; // IPv4, TCP with time stamps.
  heartbeat Heartbeat;
  Heartbeat.Incarnation = 1'800'000'000'000;
  Heartbeat.Sequence = 1'000'000;
  Heartbeat.Phase = host_phase::Serving;
  Heartbeat.Revision = 1'000'000;
  const std::string Frame = encodeFrame({1'000'000, peer_message(Heartbeat)},
                                        "a key for tests", "a nonce");
  return Frame.size() + 2 * HeaderBytes;
}

} // namespace

TEST_CASE("a small fleet is a full mesh") {
  for (const auto &[Host, Peers] : makeHeartbeatGraph(16, 4))
    CHECK(Peers.size() == 15);
}

TEST_CASE("heartbeat peers are symmetric") {
  const graph Graph = makeHeartbeatGraph(100, 3);
  for (const auto &[Host, Peers] : Graph) {
    for (const host_id &Peer : Peers) {
      const auto &PeersOfPeer = Graph.at(Peer);
      CHECK(std::find(PeersOfPeer.begin(), PeersOfPeer.end(), Host) !=
            PeersOfPeer.end());
    }
  }
}

TEST_CASE(
    "the number of heartbeats of a host does not grow with a large fleet") {
  for (const std::size_t Hosts : {17, 50, 150, 580}) {
    const graph Graph = makeHeartbeatGraph(Hosts, 11);
    membership_state State;
    State.Peers.resize(Hosts - 1);
    const double HeartbeatsPerSecond = 1 / toSeconds(heartbeatInterval(State));
    std::size_t MaxPeers = 0;
    for (const auto &[Host, Peers] : Graph)
      MaxPeers = std::max(MaxPeers, Peers.size());
    std::cout << Hosts << " hosts: at most " << MaxPeers << " neighbours, "
              << HeartbeatsPerSecond * static_cast<double>(MaxPeers)
              << " heartbeats and "
              << HeartbeatsPerSecond *
                     static_cast<double>(MaxPeers * heartbeatBytes())
              << " bytes sent a second by one host\n";
    CHECK(MaxPeers <= 4 * RingNeighboursPerSide);
    CHECK(HeartbeatsPerSecond *
              static_cast<double>(MaxPeers * heartbeatBytes()) <
          ControlBytesPerSecond / 2);
  }
}

TEST_CASE("a message reaches all of 580 hosts, also without one data centre") {
  const graph Graph = makeHeartbeatGraph(580, 11);
  std::set<host_id> Dead;
  CHECK(hopsToAll(Graph, host_id("host-1"), Dead) > 0);
  for (std::size_t Number = 0; Number < 580; Number += 11)
    Dead.insert(host_id("host-" + std::to_string(Number)));
  const std::size_t Hops = hopsToAll(Graph, host_id("host-1"), Dead);
  std::cout << "580 hosts less a data centre: " << Hops << " hops to all\n";
  CHECK(Hops > 0);
  CHECK(Hops <= 12);
}

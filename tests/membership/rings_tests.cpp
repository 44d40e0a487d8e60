/// Tests of who watches whom in a large fleet.
#include <bronzespar/membership.hpp>
#include <bronzespar/wire/peer_codec.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <set>

using namespace bronzespar;

namespace {

/// What a host may spend on control, sent and received.
constexpr double ControlBytesPerSecond = 17'000;

using graph = std::map<host_id, std::vector<host_id>>;

std::string dataCentreOf(std::size_t Number, std::size_t DataCentres) {
  return "dc" + std::to_string(Number % DataCentres);
}

/// Who sends heartbeats to whom in a fleet in which all know all.
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

/// Hops in which news from one host reaches all; 0 if some are not reached.
std::size_t hopsToAll(const graph &Graph, const host_id &From,
                      const std::set<host_id> &Dead) {
  std::set<host_id> Reached{From};
  std::vector<host_id> Last{From};
  std::size_t Hops = 0;
  while (Reached.size() + Dead.size() < Graph.size()) {
    std::vector<host_id> Next;
    for (const host_id &Host : Last) {
      for (const host_id &Peer : Graph.at(Host)) {
        if (!Dead.contains(Peer) && Reached.insert(Peer).second)
          Next.push_back(Peer);
      }
    }
    if (Next.empty())
      return 0;
    Last = std::move(Next);
    ++Hops;
  }
  return Hops;
}

/// Size of a heartbeat on the wire: the frame, and the headers of its IP
/// packet and of the packet that acknowledges it.
std::size_t heartbeatBytes() {
  constexpr std::size_t HeaderBytes = 52; // IPv4, TCP with time stamps.
  heartbeat Beat;
  Beat.Incarnation = 1'800'000'000'000;
  Beat.Sequence = 1'000'000;
  Beat.Phase = host_phase::Serving;
  Beat.Revision = 1'000'000;
  const std::string Frame = encodeFrame({1'000'000, peer_message(Beat)},
                                        "a key for tests", "a nonce");
  return Frame.size() + 2 * HeaderBytes;
}

} // namespace

TEST_CASE("a small fleet is a full mesh") {
  for (const auto &[Host, Peers] : makeHeartbeatGraph(16, 4))
    CHECK(Peers.size() == 15);
}

TEST_CASE("hosts watch each other") {
  const graph Graph = makeHeartbeatGraph(100, 3);
  for (const auto &[Host, Peers] : Graph) {
    for (const host_id &Peer : Peers) {
      const auto &Back = Graph.at(Peer);
      CHECK(std::find(Back.begin(), Back.end(), Host) != Back.end());
    }
  }
}

TEST_CASE("the number of heartbeats does not grow with a large fleet") {
  for (const std::size_t Hosts : {17, 50, 150, 580}) {
    const graph Graph = makeHeartbeatGraph(Hosts, 11);
    membership_state Any;
    Any.Peers.resize(Hosts - 1);
    const double BeatsPerSecond = 1 / toSeconds(heartbeatInterval(Any));
    std::size_t Most = 0;
    for (const auto &[Host, Peers] : Graph)
      Most = std::max(Most, Peers.size());
    std::cout << Hosts << " hosts: at most " << Most << " neighbours, "
              << BeatsPerSecond * static_cast<double>(Most)
              << " heartbeats and "
              << BeatsPerSecond * static_cast<double>(Most * heartbeatBytes())
              << " bytes sent a second by one host\n";
    CHECK(Most <= 4 * RingNeighboursPerSide);
    CHECK(BeatsPerSecond * static_cast<double>(Most * heartbeatBytes()) <
          ControlBytesPerSecond / 2);
  }
}

TEST_CASE("news reaches all of 580 hosts, also without a data centre") {
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

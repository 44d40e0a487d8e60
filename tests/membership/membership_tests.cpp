/// Tests of the failure detector and of the assignment of duties.
#include <bronzespar/membership.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace bronzespar;

namespace {

const instant Start{10s};

listed_host makeListedHost(const std::string &Id, const std::string &DataCentre,
                           bool Leaving = false) {
  return {
      host_id(Id), data_centre_id(DataCentre), {"127.0.0.1", 8201}, Leaving};
}

heartbeat makeHeartbeat(std::uint64_t Incarnation, std::uint64_t Sequence,
                        host_phase Phase = host_phase::Serving) {
  heartbeat Heartbeat;
  Heartbeat.Incarnation = Incarnation;
  Heartbeat.Sequence = Sequence;
  Heartbeat.Phase = Phase;
  return Heartbeat;
}

/// Membership state of host "a" in suva; the platform lists "b" in suva and "c"
/// in nadi.
struct membership_fixture {
  membership_state State;
  host_settings Self;
  effect_list Effects;
  std::map<std::string, std::uint64_t> Sequences;

  membership_fixture() {
    State.Self = Self.Id = host_id("a");
    State.DataCentre = Self.DataCentre = data_centre_id("suva");
    State.Phase = host_phase::Serving;
    applyList({makeListedHost("a", "suva"), makeListedHost("b", "suva"),
               makeListedHost("c", "nadi")},
              Start);
  }

  void applyList(const std::vector<listed_host> &Hosts, instant Now) {
    applyHostList(State, Self, Hosts, Now, Effects);
  }

  void receiveHeartbeat(const std::string &From, instant Now,
                        std::uint64_t Incarnation = 1,
                        host_phase Phase = host_phase::Serving) {
    applyHeartbeat(State, host_id(From),
                   makeHeartbeat(Incarnation, ++Sequences[From], Phase), Now);
  }

  /// Ticks until End in steps that are too short to count as a pause.
  void tickUntil(instant End) {
    for (instant Now = std::max(State.LastTick, Start); Now <= End; Now += 50ms)
      tickMembership(State, 1, Now, Effects);
  }

  host_state_kind stateOf(const std::string &Id) const {
    return findPeer(State, host_id(Id))->State;
  }
};

} // namespace

TEST_CASE("a listed host becomes alive only by its own heartbeat") {
  membership_fixture HostA;
  CHECK(HostA.stateOf("b") == host_state_kind::Gone);
  HostA.receiveHeartbeat("b", Start);
  CHECK(HostA.stateOf("b") == host_state_kind::Alive);
  CHECK(dutyCandidates(HostA.State, std::nullopt) ==
        std::vector<host_id>{host_id("a"), host_id("b")});
}

TEST_CASE("a silent host is suspect, then gone, and loses its duties at once") {
  membership_fixture HostA;
  HostA.receiveHeartbeat("b", Start);
  HostA.tickUntil(Start + 550ms);
  CHECK(HostA.stateOf("b") == host_state_kind::Alive);
  HostA.tickUntil(Start + 600ms);
  CHECK(HostA.stateOf("b") == host_state_kind::Suspect);
  CHECK(dutyCandidates(HostA.State, std::nullopt).size() == 1);
  HostA.tickUntil(Start + 2s);
  CHECK(HostA.stateOf("b") == host_state_kind::Gone);
}

TEST_CASE("a suspect host needs consecutive heartbeats to become alive again") {
  membership_fixture HostA;
  HostA.receiveHeartbeat("b", Start);
  HostA.tickUntil(Start + 600ms);
  HostA.receiveHeartbeat("b", Start + 650ms);
  HostA.receiveHeartbeat("b", Start + 850ms);
  CHECK(HostA.stateOf("b") == host_state_kind::Suspect);
  HostA.receiveHeartbeat("b", Start + 1050ms);
  CHECK(HostA.stateOf("b") == host_state_kind::Alive);
  HostA.tickUntil(Start + 1700ms);
  for (int Heartbeat = 1; Heartbeat <= 5; ++Heartbeat)
    HostA.receiveHeartbeat("b", Start + 1700ms + Heartbeat * 10ms);
  CHECK(HostA.stateOf("b") == host_state_kind::Suspect);
  HostA.receiveHeartbeat("b", Start + 1800ms);
  CHECK(HostA.stateOf("b") == host_state_kind::Alive);
}

TEST_CASE("a heartbeat or the host list marks a host as leaving") {
  membership_fixture HostA;
  HostA.receiveHeartbeat("b", Start, 1, host_phase::Leaving);
  HostA.receiveHeartbeat("c", Start);
  HostA.applyList(
      {makeListedHost("b", "suva"), makeListedHost("c", "nadi", true)}, Start);
  CHECK(HostA.stateOf("b") == host_state_kind::Leaving);
  CHECK(HostA.stateOf("c") == host_state_kind::Leaving);
  CHECK(dutyCandidates(HostA.State, std::nullopt).size() == 1);
}

TEST_CASE("a new incarnation ignores an outdated leaving mark in the list") {
  membership_fixture HostA;
  HostA.receiveHeartbeat("b", Start);
  const std::vector<listed_host> Leaving{makeListedHost("b", "suva", true)};
  HostA.applyList(Leaving, Start);
  HostA.receiveHeartbeat("b", Start + 100ms, 2);
  HostA.applyList(Leaving, Start + 200ms);
  CHECK(HostA.stateOf("b") == host_state_kind::Alive);
  HostA.receiveHeartbeat("b", Start + 300ms, 1, host_phase::Leaving);
  CHECK(HostA.stateOf("b") == host_state_kind::Alive);
}

TEST_CASE("an unlisted host is kept until it is gone") {
  membership_fixture HostA;
  HostA.receiveHeartbeat("b", Start);
  HostA.applyList({makeListedHost("c", "nadi")}, Start);
  CHECK(findPeer(HostA.State, host_id("b")) != nullptr);
  HostA.tickUntil(Start + 2s);
  CHECK(findPeer(HostA.State, host_id("b")) == nullptr);
}

TEST_CASE("a pause of this process makes no peer suspect") {
  membership_fixture HostA;
  HostA.receiveHeartbeat("b", Start);
  HostA.tickUntil(Start + 100ms);
  tickMembership(HostA.State, 1, Start + 5s, HostA.Effects);
  CHECK(HostA.stateOf("b") == host_state_kind::Alive);
}

TEST_CASE("heartbeats are sent when due, to connected peers only") {
  membership_fixture HostA;
  applyLink(HostA.State, host_id("b"), true, Start);
  HostA.Effects.clear();
  HostA.tickUntil(Start + 1s);
  CHECK(HostA.Effects.size() == 6);
}

TEST_CASE(
    "a pool stays in the target's data centre while a host is alive there") {
  membership_fixture HostA;
  HostA.receiveHeartbeat("c", Start);
  target_settings Target;
  Target.DataCentre = data_centre_id("nadi");
  for (int Number = 0; Number < 20; ++Number) {
    Target.Id = target_id("t" + std::to_string(Number));
    CHECK(poolOwner(HostA.State, Target) == host_id("c"));
  }
  HostA.tickUntil(Start + 600ms);
  CHECK(poolOwner(HostA.State, Target) == host_id("a"));
}

TEST_CASE("losing a host moves only its own duties") {
  rc::check([] {
    const auto Count = *rc::gen::inRange<std::size_t>(2, 20);
    std::vector<host_id> Hosts;
    for (std::size_t Number = 0; Number < Count; ++Number)
      Hosts.emplace_back("h" + std::to_string(Number));
    const auto Lost = Hosts[*rc::gen::inRange<std::size_t>(0, Count)];
    std::vector<host_id> Remaining = Hosts;
    std::erase(Remaining, Lost);
    const auto Duty = *rc::gen::arbitrary<std::string>();
    const auto Before = rendezvous(Duty, Hosts);
    if (*Before != Lost)
      RC_ASSERT(rendezvous(Duty, Remaining) == Before);
  });
}

/// Tests of the view of the fleet and of the duties that follow from it.
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
  heartbeat Beat;
  Beat.Incarnation = Incarnation;
  Beat.Sequence = Sequence;
  Beat.Phase = Phase;
  return Beat;
}

/// The view of host "a" of suva, with "b" of suva and "c" of nadi listed.
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

  /// Ticks to an instant in steps that show no pause.
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
  membership_fixture A;
  CHECK(A.stateOf("b") == host_state_kind::Gone);
  A.receiveHeartbeat("b", Start);
  CHECK(A.stateOf("b") == host_state_kind::Alive);
  CHECK(dutyCandidates(A.State, std::nullopt) ==
        std::vector<host_id>{host_id("a"), host_id("b")});
}

TEST_CASE("a silent host is suspect, then gone, and loses its duties at once") {
  membership_fixture A;
  A.receiveHeartbeat("b", Start);
  A.tickUntil(Start + 550ms);
  CHECK(A.stateOf("b") == host_state_kind::Alive);
  A.tickUntil(Start + 600ms);
  CHECK(A.stateOf("b") == host_state_kind::Suspect);
  CHECK(dutyCandidates(A.State, std::nullopt).size() == 1);
  A.tickUntil(Start + 2s);
  CHECK(A.stateOf("b") == host_state_kind::Gone);
}

TEST_CASE("a suspect host must be heard steadily before it holds duties") {
  membership_fixture A;
  A.receiveHeartbeat("b", Start);
  A.tickUntil(Start + 600ms);
  A.receiveHeartbeat("b", Start + 650ms);
  A.receiveHeartbeat("b", Start + 850ms);
  CHECK(A.stateOf("b") == host_state_kind::Suspect);
  A.receiveHeartbeat("b", Start + 1050ms);
  CHECK(A.stateOf("b") == host_state_kind::Alive);
  A.tickUntil(Start + 1700ms);
  for (int Beat = 1; Beat <= 5; ++Beat)
    A.receiveHeartbeat("b", Start + 1700ms + Beat * 10ms);
  CHECK(A.stateOf("b") == host_state_kind::Suspect);
  A.receiveHeartbeat("b", Start + 1800ms);
  CHECK(A.stateOf("b") == host_state_kind::Alive);
}

TEST_CASE("a host leaves by its heartbeat or by the list") {
  membership_fixture A;
  A.receiveHeartbeat("b", Start, 1, host_phase::Leaving);
  A.receiveHeartbeat("c", Start);
  A.applyList({makeListedHost("b", "suva"), makeListedHost("c", "nadi", true)},
              Start);
  CHECK(A.stateOf("b") == host_state_kind::Leaving);
  CHECK(A.stateOf("c") == host_state_kind::Leaving);
  CHECK(dutyCandidates(A.State, std::nullopt).size() == 1);
}

TEST_CASE("a new incarnation replaces the old, though the list lags") {
  membership_fixture A;
  A.receiveHeartbeat("b", Start);
  const std::vector<listed_host> Leaving{makeListedHost("b", "suva", true)};
  A.applyList(Leaving, Start);
  A.receiveHeartbeat("b", Start + 100ms, 2);
  A.applyList(Leaving, Start + 200ms);
  CHECK(A.stateOf("b") == host_state_kind::Alive);
  A.receiveHeartbeat("b", Start + 300ms, 1, host_phase::Leaving);
  CHECK(A.stateOf("b") == host_state_kind::Alive);
}

TEST_CASE("an unlisted host is kept while it is heard") {
  membership_fixture A;
  A.receiveHeartbeat("b", Start);
  A.applyList({makeListedHost("c", "nadi")}, Start);
  CHECK(findPeer(A.State, host_id("b")) != nullptr);
  A.tickUntil(Start + 2s);
  CHECK(findPeer(A.State, host_id("b")) == nullptr);
}

TEST_CASE("a pause of this host makes no peer suspect") {
  membership_fixture A;
  A.receiveHeartbeat("b", Start);
  A.tickUntil(Start + 100ms);
  tickMembership(A.State, 1, Start + 5s, A.Effects);
  CHECK(A.stateOf("b") == host_state_kind::Alive);
}

TEST_CASE("heartbeats go to connected peers only, when due") {
  membership_fixture A;
  applyLink(A.State, host_id("b"), true, Start);
  A.Effects.clear();
  A.tickUntil(Start + 1s);
  CHECK(A.Effects.size() == 6);
}

TEST_CASE("a pool stays in the target's data centre while a host lives there") {
  membership_fixture A;
  A.receiveHeartbeat("c", Start);
  target_settings Target;
  Target.DataCentre = data_centre_id("nadi");
  for (int Number = 0; Number < 20; ++Number) {
    Target.Id = target_id("t" + std::to_string(Number));
    CHECK(poolOwner(A.State, Target) == host_id("c"));
  }
  A.tickUntil(Start + 600ms);
  CHECK(poolOwner(A.State, Target) == host_id("a"));
}

TEST_CASE("losing a host moves only its own duties") {
  rc::check([] {
    const auto Count = *rc::gen::inRange<std::size_t>(2, 20);
    std::vector<host_id> Hosts;
    for (std::size_t Number = 0; Number < Count; ++Number)
      Hosts.emplace_back("h" + std::to_string(Number));
    const auto Lost = Hosts[*rc::gen::inRange<std::size_t>(0, Count)];
    std::vector<host_id> Left = Hosts;
    std::erase(Left, Lost);
    const auto Duty = *rc::gen::arbitrary<std::string>();
    const auto Before = rendezvous(Duty, Hosts);
    if (*Before != Lost)
      RC_ASSERT(rendezvous(Duty, Left) == Before);
  });
}

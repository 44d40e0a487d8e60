/// Assignment of duties to hosts by rendezvous hashing over the local view.
#include <bronzespar/membership.hpp>

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace bronzespar {

namespace {

/// Makes the hash inputs of ("a", "bc") and ("ab", "c") differ.
constexpr char Separator = '\0';

std::uint64_t weightOf(std::string_view Duty, const host_id &Host) {
  std::string Text(Duty);
  Text += Separator;
  Text += Host.Value;
  return XXH3_64bits(Text.data(), Text.size());
}

bool mayHoldDuty(const peer_view &Peer) {
  return Peer.State == host_state_kind::Alive &&
         Peer.Phase == host_phase::Serving;
}

bool contains(const std::vector<data_centre_id> &Ids,
              const data_centre_id &Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

} // namespace

std::vector<data_centre_id> liveDataCentres(const membership_state &State) {
  std::vector<data_centre_id> Live{State.DataCentre};
  for (const peer_view &Peer : State.Peers) {
    if (Peer.State == host_state_kind::Alive &&
        !contains(Live, Peer.DataCentre))
      Live.push_back(Peer.DataCentre);
  }
  return Live;
}

std::vector<host_id>
dutyCandidates(const membership_state &State,
               const std::optional<data_centre_id> &Within) {
  std::vector<host_id> Hosts;
  if (State.Phase == host_phase::Serving &&
      (!Within || State.DataCentre == *Within))
    Hosts.push_back(State.Self);
  for (const peer_view &Peer : State.Peers) {
    if (mayHoldDuty(Peer) && (!Within || Peer.DataCentre == *Within))
      Hosts.push_back(Peer.Id);
  }
  return Hosts;
}

std::optional<host_id> rendezvous(std::string_view Duty,
                                  const std::vector<host_id> &Candidates) {
  const host_id *Best = nullptr;
  std::uint64_t BestWeight = 0;
  for (const host_id &Candidate : Candidates) {
    const std::uint64_t Weight = weightOf(Duty, Candidate);
    const bool HasPriority = Best == nullptr || Weight > BestWeight ||
                             (Weight == BestWeight && Candidate < *Best);
    if (!HasPriority)
      continue;
    Best = &Candidate;
    BestWeight = Weight;
  }
  if (Best == nullptr)
    return std::nullopt;
  return *Best;
}

std::vector<host_id> rendezvousTop(std::string_view Duty,
                                   std::vector<host_id> Candidates,
                                   std::size_t Count) {
  std::vector<host_id> Chosen;
  while (Chosen.size() < Count) {
    const auto Next = rendezvous(Duty, Candidates);
    if (!Next)
      break;
    Chosen.push_back(*Next);
    std::erase(Candidates, *Next);
  }
  return Chosen;
}

std::optional<host_id> poolOwner(const membership_state &State,
                                 const target_settings &Target) {
  const std::string Duty = "pool/" + Target.Id.Value;
  auto InDataCentre =
      rendezvous(Duty, dutyCandidates(State, Target.DataCentre));
  if (InDataCentre)
    return InDataCentre;
  return rendezvous(Duty, dutyCandidates(State, std::nullopt));
}

std::optional<host_id> failoverCoordinator(const membership_state &State,
                                           const group_id &Group) {
  return failoverCoordinator(Group, dutyCandidates(State, std::nullopt));
}

std::optional<host_id>
failoverCoordinator(const group_id &Group,
                    const std::vector<host_id> &Candidates) {
  return rendezvous("failover/" + Group.Value, Candidates);
}

} // namespace bronzespar

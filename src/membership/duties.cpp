/// Assignment of duties to hosts by rendezvous hashing over the local view.
#include <bronzespar/membership.hpp>

#include <xxhash.h>

#include <algorithm>
#include <numeric>
#include <string>

namespace bronzespar {

namespace {

/// Makes the hash inputs of ("a", "bc") and ("ab", "c") differ.
constexpr char Separator = '\0';

/// Weights of a duty's candidates; larger is better.
std::vector<std::uint64_t> weightsOf(std::string_view Duty,
                                     const std::vector<host_id> &Candidates) {
  std::string Text(Duty);
  Text += Separator;
  const std::size_t PrefixSize = Text.size();
  std::vector<std::uint64_t> Weights;
  Weights.reserve(Candidates.size());
  for (const host_id &Candidate : Candidates) {
    Text.resize(PrefixSize);
    Text += Candidate.Value;
    Weights.push_back(XXH3_64bits(Text.data(), Text.size()));
  }
  return Weights;
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
  auto Best = rendezvousTop(Duty, Candidates, 1);
  if (Best.empty())
    return std::nullopt;
  return std::move(Best.front());
}

std::vector<host_id> rendezvousTop(std::string_view Duty,
                                   const std::vector<host_id> &Candidates,
                                   std::size_t Count) {
  const std::vector<std::uint64_t> Weights = weightsOf(Duty, Candidates);
  std::vector<std::size_t> Order(Candidates.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  const std::size_t Wanted = std::min(Count, Order.size());
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<std::ptrdiff_t>(Wanted),
                    Order.end(), [&](std::size_t Left, std::size_t Right) {
                      if (Weights[Left] != Weights[Right])
                        return Weights[Left] > Weights[Right];
                      return Candidates[Left] < Candidates[Right];
                    });
  std::vector<host_id> Chosen;
  Chosen.reserve(Wanted);
  for (std::size_t Place = 0; Place < Wanted; ++Place)
    Chosen.push_back(Candidates[Order[Place]]);
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

/// Which hosts own the connections to each target. When hosts times client
/// accounts exceed a target's connections, each statement would need a new
/// connection, and connecting alone can fill the target's slots. Therefore one
/// host in the target's data centre owns its connections, and two others stand
/// in for it in a fixed order while it does not answer: if each host connected
/// by itself instead, the connections of a large fleet would fill the target.
#include "parts.hpp"

#include <bronzespar/membership.hpp>

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// The owner of a target and its stand-ins.
constexpr std::size_t MaxOwners = 3;

/// Orders the candidates for a target by rendezvous hashing and moves a host
/// that owns fewer than MaxTargets to the front.
std::vector<std::string> rankOwners(const std::string &Target,
                                    const std::vector<host_id> &Candidates,
                                    std::map<std::string, std::size_t> &Owned,
                                    std::size_t MaxTargets) {
  std::vector<host_id> Ranked =
      rendezvousTop("connections/" + Target, Candidates, Candidates.size());
  const auto First =
      std::find_if(Ranked.begin(), Ranked.end(), [&](const host_id &Host) {
        return Owned[Host.Value] < MaxTargets;
      });
  if (First != Ranked.end())
    std::rotate(Ranked.begin(), First, std::next(First));
  std::vector<std::string> Names;
  for (const host_id &Host : Ranked)
    if (Names.size() < MaxOwners)
      Names.push_back(Host.Value);
  if (!Names.empty())
    Owned[Names.front()] += 1;
  return Names;
}

/// Assigns owners to the targets of one data centre, so that none owns many
/// more than the others.
void assignOwners(owner_table &Table, const std::vector<std::string> &Targets,
                  const std::vector<host_id> &Candidates) {
  if (Candidates.empty())
    return;
  const std::size_t MaxTargets =
      (Targets.size() + Candidates.size() - 1) / Candidates.size();
  std::map<std::string, std::size_t> Owned;
  for (const std::string &Target : Targets)
    Table.Owners[Target] = rankOwners(Target, Candidates, Owned, MaxTargets);
}

void updateOwners(host &State) {
  owner_table &Table = State.OwnerTable;
  Table.HostsVersion = State.HostsVersion;
  Table.TargetsVersion = State.TargetsVersion;
  Table.Owners.clear();
  const auto Candidates = servingHosts(State);
  std::vector<host_id> AllHosts;
  for (const auto &[DataCentre, Hosts] : Candidates)
    AllHosts.insert(AllHosts.end(), Hosts.begin(), Hosts.end());
  std::map<std::string, std::vector<std::string>> Targets;
  for (const auto &[Id, Target] : State.Targets)
    Targets[Target.Entry.DataCentre].push_back(Id);
  for (const auto &[DataCentre, Ids] : Targets) {
    const auto Local = Candidates.find(DataCentre);
    assignOwners(Table, Ids,
                 Local == Candidates.end() ? AllHosts : Local->second);
  }
}

/// Connection owner of a target and its stand-ins, best first.
const std::vector<std::string> &ownersOf(host &State, const std::string &Id) {
  if (State.OwnerTable.HostsVersion != State.HostsVersion ||
      State.OwnerTable.TargetsVersion != State.TargetsVersion)
    updateOwners(State);
  return State.OwnerTable.Owners[Id];
}

bool isUnresponsive(const host &State, const endpoint &Owner, instant Now) {
  const auto Found = State.UnresponsiveOwners.find(Owner);
  return Found != State.UnresponsiveOwners.end() && Now < Found->second;
}

/// Whether every host may hold a connection to a target of the group besides
/// those of the owner. Otherwise hosts that miss the owner would together fill
/// the target with new connections.
bool fitsDirectConnections(const host &State, const std::string &Group) {
  return State.Hosts.size() * 2 <=
         State.Settings->Groups.at(Group).MaxConnections;
}

} // namespace

bool areConnectionsOwned(const host &State, const std::string &Group) {
  if (!State.Settings || State.Hosts.size() < 2)
    return false;
  const auto Limits = State.Settings->Groups.find(Group);
  return Limits != State.Settings->Groups.end() &&
         State.Hosts.size() * State.Settings->Accounts.size() >
             Limits->second.MaxConnections;
}

std::optional<std::size_t> ownerRank(host &State, const std::string &Target) {
  const auto &Owners = ownersOf(State, Target);
  const auto Own = std::find(Owners.begin(), Owners.end(), State.Identity.Name);
  if (Own == Owners.end())
    return std::nullopt;
  return static_cast<std::size_t>(std::distance(Owners.begin(), Own));
}

owner_choice chooseOwner(host &State, const target_view &Target, instant Now) {
  if (!areConnectionsOwned(State, Target.Entry.Group))
    return {owner_kind::Self, {}};
  for (const std::string &Name : ownersOf(State, Target.Entry.Id)) {
    if (Name == State.Identity.Name)
      return {owner_kind::Self, {}};
    const listed_peer *Peer = findIn(State.Hosts, Name);
    if (Peer != nullptr &&
        !isUnresponsive(State, Peer->Record.PeerEndpoint, Now))
      return {owner_kind::Peer, Peer->Record.PeerEndpoint};
  }
  return {fitsDirectConnections(State, Target.Entry.Group) ? owner_kind::Self
                                                           : owner_kind::None,
          {}};
}

} // namespace bronzespar::proxy

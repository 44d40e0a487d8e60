/// Use of primaries during a store outage that lasts longer than a lease.
/// Without it, writes and reads from the primary would wait for the end of the
/// outage although targets and hosts work.
///
/// Each group's record names electors. A host whose lease runs out may use the
/// primary while more than half of the electors vote that they know no newer
/// generation. A promotion waits until half of them have acknowledged the
/// closed record. These no longer vote for the old generation, so a partitioned
/// host cannot get enough votes. models/electors.pml checks the protocol.
#include "parts.hpp"

#include <bronzespar/membership.hpp>

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// More electors would cost more messages. More than half of them must not fail
/// at the same time.
constexpr std::size_t MaxElectors = 15;
/// Fewer electors than this are replaced once more hosts are known; they were
/// chosen when only some hosts had registered.
constexpr std::size_t MinPreferredElectors = 4;
/// Delay before too few electors are replaced, as other hosts may still join.
constexpr duration FewElectorsDelay = std::chrono::seconds(3);
/// Delay before electors that are not expected back are replaced. Replacement
/// interrupts work at the primary, and most partitions and restarts are over by
/// then. Without replacement, a partition of one data centre after an elector
/// has gone would leave too few.
constexpr duration MissingElectorsDelay = std::chrono::seconds(8);
/// Votes are requested this long before the lease ends; this allows at least
/// two rounds.
constexpr duration VoteLeadTime = std::chrono::milliseconds(700);
/// Time between two rounds of votes.
constexpr duration VoteInterval = std::chrono::milliseconds(300);
/// A host that did not stop gracefully is expected back for this long, as its
/// process may restart.
constexpr duration ElectorRestartTime = std::chrono::seconds(5);

bool isLeaseRunningOut(const host &State, instant Now) {
  return State.Votes.HasReadGroups &&
         Now + VoteLeadTime >= State.Lease.ValidUntil;
}

bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

/// Whether a host is live or is expected back.
bool isExpected(const host &State, const std::string &Name, instant Now) {
  if (const auto Peer = State.Hosts.find(Name); Peer != State.Hosts.end())
    return !Peer->second.Record.Leaving;
  const auto Expired = State.ExpiredHosts.find(Name);
  return Expired != State.ExpiredHosts.end() &&
         Now < Expired->second.ExpiredAt + ElectorRestartTime;
}

/// Data centres of the hosts that are live or expected back, by host name.
std::map<std::string, std::string> expectedHosts(const host &State,
                                                 instant Now) {
  std::map<std::string, std::string> Expected;
  for (const auto &[Name, Expired] : State.ExpiredHosts)
    if (isExpected(State, Name, Now))
      Expected[Name] = Expired.DataCentre;
  for (const auto &[Name, Peer] : State.Hosts)
    if (isExpected(State, Name, Now))
      Expected[Name] = Peer.Record.DataCentre;
  return Expected;
}

/// Removes electors until no data centre holds more than half of them, if there
/// are several: when one is partitioned, the others can replace its primaries.
void balanceDataCentres(std::vector<std::string> &Names,
                        const std::map<std::string, std::string> &DataCentres) {
  std::map<std::string, std::size_t> Counts;
  for (const std::string &Name : Names)
    Counts[DataCentres.at(Name)] += 1;
  if (Counts.size() < 2)
    return;
  const auto Largest = std::max_element(
      Counts.begin(), Counts.end(), [](const auto &Left, const auto &Right) {
        return Left.second < Right.second;
      });
  const std::size_t Others = Names.size() - Largest->second;
  for (std::size_t Surplus =
           Largest->second - std::min(Others, Largest->second);
       Surplus > 0; --Surplus) {
    const auto Last =
        std::find_if(Names.rbegin(), Names.rend(), [&](const auto &Name) {
          return DataCentres.at(Name) == Largest->first;
        });
    Names.erase(std::next(Last).base());
  }
}

/// Extends the use of the primary once more than half of the electors voted.
void countVotes(step_context &Step, const std::string &Name,
                group_state &Group) {
  const std::size_t Electors = Group.Record->Electors.size();
  if (Group.Voters.size() * 2 <= Electors)
    return;
  if (Group.QuorumUntil < Step.Now)
    logLine(Step, "primary.vouched",
            {{"group", Name},
             {"generation", std::to_string(Group.Record->Generation)},
             {"vouchers", std::to_string(Group.Voters.size())},
             {"electors", std::to_string(Electors)},
             {"store_heard_ms_ago",
              elapsedMsText(Step.State.Votes.LastRenewalSentAt, Step.Now)}});
  Group.QuorumUntil = Step.State.Votes.SentAt + withSafetyMargin(VoteLifetime);
}

/// Begins a round of votes. This host votes itself where it is an elector.
/// \param Electors Receives the electors of all open groups.
vote_request beginRound(step_context &Step, std::set<std::string> &Electors) {
  host &State = Step.State;
  State.Votes.Number += 1;
  State.Votes.SentAt = Step.Now;
  State.Votes.NextAt = Step.Now + VoteInterval;
  vote_request Request;
  Request.Round = State.Votes.Number;
  for (auto &[Name, Group] : State.Groups) {
    Group.Voters.clear();
    if (!Group.Record || !Group.Record->Open ||
        !isConfirmed(State, *Group.Record))
      continue;
    Request.Generations[Name] = Group.Record->Generation;
    Electors.insert(Group.Record->Electors.begin(),
                    Group.Record->Electors.end());
    if (!contains(Group.Record->Electors, State.Identity.Name))
      continue;
    Group.Voters.insert(State.Identity.Name);
    countVotes(Step, Name, Group);
  }
  return Request;
}

} // namespace

bool hasElectorQuorum(const host &State, const group_state &Group,
                      instant Now) {
  return State.Votes.HasReadGroups && !State.Stopping &&
         Now < Group.QuorumUntil &&
         Now < State.Votes.LastRenewalSentAt + MaxUseWithoutStore;
}

void superviseElectors(step_context &Step) {
  host &State = Step.State;
  if (!isLeaseRunningOut(State, Step.Now) || Step.Now < State.Votes.NextAt ||
      Step.Now >= State.Votes.LastRenewalSentAt + MaxUseWithoutStore)
    return;
  std::set<std::string> Electors;
  const vote_request Request = beginRound(Step, Electors);
  for (const std::string &Name : Electors) {
    const listed_peer *Peer = findIn(State.Hosts, Name);
    if (Peer != nullptr && Name != State.Identity.Name)
      Step.Out.push_back(
          effects::request_vote{Peer->Record.PeerEndpoint, Request});
  }
}

void voteRequested(step_context &Step, const events::vote_requested &Event) {
  host &State = Step.State;
  vote Vote;
  Vote.Round = Event.Request.Round;
  Vote.Voter = State.Identity.Name;
  // While the store serves this host, the requesting host can call the store
  // through a peer.
  if (isLeaseRunningOut(State, Step.Now))
    for (const auto &[Name, Generation] : Event.Request.Generations) {
      group_state *Group = findIn(State.Groups, Name);
      if (Group == nullptr || !Group->Record || !Group->Record->Open ||
          isDisproved(*Group) || Group->Record->Generation != Generation ||
          !isConfirmed(State, *Group->Record) ||
          !contains(Group->Record->Electors, State.Identity.Name))
        continue;
      Group->OwnVoteUntil = Step.Now + VoteLifetime;
      Vote.Groups.push_back(Name);
    }
  Step.Out.push_back(effects::send_vote{Event.Link, std::move(Vote)});
}

void voteReceived(step_context &Step, const vote &Vote) {
  host &State = Step.State;
  if (Vote.Round != State.Votes.Number)
    return;
  for (const std::string &Name : Vote.Groups) {
    group_state *Group = findIn(State.Groups, Name);
    if (Group == nullptr || !Group->Record || !Group->Record->Open ||
        !contains(Group->Record->Electors, Vote.Voter))
      continue;
    Group->Voters.insert(Vote.Voter);
    countVotes(Step, Name, *Group);
  }
}

std::vector<std::string> chooseElectors(const host &State, instant Now) {
  const auto Expected = expectedHosts(State, Now);
  std::vector<host_id> Candidates;
  Candidates.reserve(Expected.size());
  for (const auto &[Name, DataCentre] : Expected)
    Candidates.emplace_back(Name);
  std::vector<std::string> Names;
  Names.reserve(MaxElectors);
  for (const host_id &Host : rendezvousTop("electors", Candidates, MaxElectors))
    Names.push_back(Host.Value);
  balanceDataCentres(Names, Expected);
  return Names;
}

bool areElectorsStale(const host &State, group_state &Group, instant Now) {
  const auto &Electors = Group.Record->Electors;
  const auto Remaining = static_cast<std::size_t>(
      std::count_if(Electors.begin(), Electors.end(), [&](const auto &Name) {
        return isExpected(State, Name, Now);
      }));
  const bool SomeGone = Remaining < Electors.size();
  // Replacement closes the record, and this must not wait for acknowledgements
  // of electors that are gone.
  const bool CanCloseSoon =
      Remaining * 2 >= Electors.size() || haveExpiredHostsStopped(State, Now);
  const bool TooFew = Electors.size() < MinPreferredElectors &&
                      chooseElectors(State, Now).size() > Electors.size();
  if ((!SomeGone && !TooFew) || !CanCloseSoon ||
      Group.ElectorsSufficedAt == instant{})
    Group.ElectorsSufficedAt = Now;
  return Now >= Group.ElectorsSufficedAt +
                    (TooFew ? FewElectorsDelay : MissingElectorsDelay);
}

bool haveExpiredHostsStopped(const host &State, instant Now) {
  instant LastExpiry = std::max(State.StartedAt, State.Restore.KnownAt);
  for (const auto &[Name, Expired] : State.ExpiredHosts)
    LastExpiry = std::max(LastExpiry, Expired.ExpiredAt);
  return Now >= LastExpiry + MaxUseWithoutStore + VoteLifetime;
}

bool haveElectorsAcknowledged(const host &State, const std::string &Group) {
  const group_record &Record = *State.Groups.at(Group).Record;
  const auto Acknowledged = static_cast<std::size_t>(std::count_if(
      Record.Electors.begin(), Record.Electors.end(),
      [&](const std::string &Name) {
        const auto Peer = State.Hosts.find(Name);
        return Peer != State.Hosts.end() &&
               hasAcknowledged(Peer->second.Record, Group, Record.Generation);
      }));
  return Acknowledged * 2 >= Record.Electors.size();
}

} // namespace bronzespar::proxy

/// Use of primaries while the store answers nobody. Answers an outage of the
/// store that lasts longer than a lease: writes and reads of the newest data
/// would wait for its end although targets and hosts are well.
///
/// Each record of a group names electors. A host whose lease runs out may use
/// the primary while more than half of them vouch that they know no newer
/// generation. A promotion waits until half of them have acknowledged that the
/// record is closed, and they vouch no more: so hosts that are cut off find too
/// few. The protocol is checked by models/electors.pml.
#include "parts.hpp"

#include <bronzespar/membership.hpp>

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// More would cost messages; of these, more than half may not fail together.
constexpr std::size_t MaxElectors = 15;
/// Fewer, from when not all hosts were known, are replaced by more.
constexpr std::size_t MinPreferredElectors = 4;
/// Until electors that are too few are replaced: other hosts may yet join.
constexpr duration FewElectorsDelay = std::chrono::seconds(3);
/// Until electors that are not expected back are replaced. Work at the primary
/// is interrupted, and most cuts and restarts are over by then; a data centre
/// that is cut off after one has gone would leave too few.
constexpr duration MissingElectorsDelay = std::chrono::seconds(8);
/// Electors are asked this long before the lease ends: two rounds at least.
constexpr duration VoteLeadTime = std::chrono::milliseconds(700);
constexpr duration VoteInterval = std::chrono::milliseconds(300);
/// A host that left without a word may come back: processes restart.
constexpr duration ElectorRestartTime = std::chrono::seconds(5);

bool isLeaseRunningOut(const host &State, instant Now) {
  return State.Votes.HasReadGroups &&
         Now + VoteLeadTime >= State.Lease.ValidUntil;
}

bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

/// Whether a host lives or is expected back.
bool isExpected(const host &State, const std::string &Name, instant Now) {
  if (const auto Peer = State.Hosts.find(Name); Peer != State.Hosts.end())
    return !Peer->second.Record.Leaving;
  const auto Lost = State.ExpiredHosts.find(Name);
  return Lost != State.ExpiredHosts.end() &&
         Now < Lost->second.ExpiredAt + ElectorRestartTime;
}

/// Data centres of the hosts that live or are expected back, by name.
std::map<std::string, std::string> expectedHosts(const host &State,
                                                 instant Now) {
  std::map<std::string, std::string> Expected;
  for (const auto &[Name, Lost] : State.ExpiredHosts)
    if (isExpected(State, Name, Now))
      Expected[Name] = Lost.DataCentre;
  for (const auto &[Name, Peer] : State.Hosts)
    if (isExpected(State, Name, Now))
      Expected[Name] = Peer.Record.DataCentre;
  return Expected;
}

/// Leaves no data centre more than half of the electors, where there are
/// several: when one is cut off, the others can replace its primaries.
void balanceDataCentres(std::vector<std::string> &Names,
                        const std::map<std::string, std::string> &Places) {
  std::map<std::string, std::size_t> Counts;
  for (const std::string &Name : Names)
    Counts[Places.at(Name)] += 1;
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
          return Places.at(Name) == Largest->first;
        });
    Names.erase(std::next(Last).base());
  }
}

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

/// Begins a round; this host is its own voucher where it is an elector.
vote_request beginRound(step_context &Step, std::set<std::string> &Asked) {
  host &State = Step.State;
  State.Votes.Number += 1;
  State.Votes.SentAt = Step.Now;
  State.Votes.NextAt = Step.Now + VoteInterval;
  vote_request Request;
  Request.Round = State.Votes.Number;
  for (auto &[Name, Group] : State.Groups) {
    Group.Voters.clear();
    if (!Group.Record || !Group.Record->Open)
      continue;
    Request.Generations[Name] = Group.Record->Generation;
    Asked.insert(Group.Record->Electors.begin(), Group.Record->Electors.end());
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
  std::set<std::string> Asked;
  const vote_request Request = beginRound(Step, Asked);
  for (const std::string &Name : Asked) {
    const listed_peer *Peer = findIn(State.Hosts, Name);
    if (Peer != nullptr && Name != State.Identity.Name)
      Step.Out.push_back(
          effects::request_vote{Peer->Record.PeerEndpoint, Request});
  }
}

void voteRequested(step_context &Step, const events::vote_requested &What) {
  host &State = Step.State;
  vote Given;
  Given.Round = What.Request.Round;
  Given.Voter = State.Identity.Name;
  // While the store serves this host, the other one can call it through a peer.
  if (isLeaseRunningOut(State, Step.Now))
    for (const auto &[Name, Generation] : What.Request.Generations) {
      group_state *Group = findIn(State.Groups, Name);
      if (Group == nullptr || !Group->Record || !Group->Record->Open ||
          Group->Record->Generation != Generation ||
          !contains(Group->Record->Electors, State.Identity.Name))
        continue;
      Group->OwnVoteUntil = Step.Now + VoteLifetime;
      Given.Groups.push_back(Name);
    }
  Step.Out.push_back(effects::send_vote{What.Link, std::move(Given)});
}

void voteReceived(step_context &Step, const vote &Given) {
  host &State = Step.State;
  if (Given.Round != State.Votes.Number)
    return;
  for (const std::string &Name : Given.Groups) {
    group_state *Group = findIn(State.Groups, Name);
    if (Group == nullptr || !Group->Record || !Group->Record->Open ||
        !contains(Group->Record->Electors, Given.Voter))
      continue;
    Group->Voters.insert(Given.Voter);
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
  for (const host_id &Host :
       rendezvousTop("electors", std::move(Candidates), MaxElectors))
    Names.push_back(Host.Value);
  balanceDataCentres(Names, Expected);
  return Names;
}

bool areElectorsStale(const host &State, group_state &Group, instant Now) {
  const auto &Electors = Group.Record->Electors;
  const auto Left = static_cast<std::size_t>(
      std::count_if(Electors.begin(), Electors.end(), [&](const auto &Name) {
        return isExpected(State, Name, Now);
      }));
  const bool Gone = Left < Electors.size();
  // The record that is closed must not wait for those that are gone.
  const bool Quick =
      Left * 2 >= Electors.size() || haveExpiredHostsStopped(State, Now);
  const bool Few = Electors.size() < MinPreferredElectors &&
                   chooseElectors(State, Now).size() > Electors.size();
  if ((!Gone && !Few) || !Quick || Group.ElectorsSufficedAt == instant{})
    Group.ElectorsSufficedAt = Now;
  return Now >= Group.ElectorsSufficedAt +
                    (Few ? FewElectorsDelay : MissingElectorsDelay);
}

bool haveExpiredHostsStopped(const host &State, instant Now) {
  instant Last = State.StartedAt;
  for (const auto &[Name, Lost] : State.ExpiredHosts)
    Last = std::max(Last, Lost.ExpiredAt);
  return Now >= Last + MaxUseWithoutStore + VoteLifetime;
}

bool haveElectorsAcknowledged(const host &State, const std::string &Group) {
  const group_record &Record = *State.Groups.at(Group).Record;
  const auto Stopped = static_cast<std::size_t>(std::count_if(
      Record.Electors.begin(), Record.Electors.end(),
      [&](const std::string &Name) {
        const auto Peer = State.Hosts.find(Name);
        return Peer != State.Hosts.end() &&
               hasAcknowledged(Peer->second.Record, Group, Record.Generation);
      }));
  return Stopped * 2 >= Record.Electors.size();
}

} // namespace bronzespar::proxy

/// This host's lease, and the right to use primaries that it carries.
///
/// A host uses a group's primary only while its lease is valid and the group's
/// record is open, or while electors vouch for it (electors.cpp). The lease
/// counts from the sending of the call that proved it, so it has ended here
/// before it has ended in the store. Whoever orders a
/// promotion closes the record first and waits for each host's acknowledgement
/// or the end of its lease.
#include "parts.hpp"

#include <bronzespar/membership.hpp>

#include <algorithm>
#include <utility>

namespace bronzespar::proxy {

namespace {

/// Up to this many hosts, each watches the store itself.
constexpr std::size_t HostsThatAllWatch = 12;
/// Two, so that one that fails does not leave its data centre without.
constexpr std::size_t ReadersPerDataCentre = 2;
/// Shorter leases cost more calls; longer ones delay a promotion past a host
/// that is cut off.
constexpr duration LeaseLength = std::chrono::milliseconds(1600);
/// Renewals in each lease; two may be lost.
constexpr int RenewalsPerLease = 4;
constexpr duration RetryPause = std::chrono::milliseconds(60);
/// Dials that fail for this long show that a target is not reached.
constexpr duration BlindAfter = std::chrono::milliseconds(200);
constexpr unsigned BlindFailures = 2;
/// One silent dial of this length does, too.
constexpr duration SilentDial = std::chrono::milliseconds(450);
/// Statements under way at a primary that is being replaced get this long.
constexpr duration ClosingSlack = std::chrono::milliseconds(250);

/// Longer than anything depends on a host that left.
constexpr duration LostHostsKept = std::chrono::seconds(60);

std::string ownKey(const host &State) {
  return std::string(HostsPrefix) + State.Identity.Name;
}

void loseLease(step_context &Step) {
  lease_state &Lease = Step.State.Lease;
  logLine(Step, "lease.lost", {{"lease", std::to_string(Lease.Lease)}});
  const instant Next = Lease.NextCall;
  Lease = {};
  Lease.NextCall = Next;
  Step.State.Duty.Held = false;
}

/// Statements that still run at the group's primary.
bool usesPrimary(const host &State, const group_state &Group) {
  for (const auto &[Number, Connection] : State.Connections) {
    const bool Uses = Connection.Phase == connection_phase::Running ||
                      Connection.Phase == connection_phase::Preparing ||
                      Connection.Phase == connection_phase::Resting;
    if (Uses && Connection.Target == Group.Record->Primary &&
        (Connection.Request != 0 || Connection.Session != 0))
      return true;
  }
  return false;
}

void acknowledgeClosed(step_context &Step, group_state &Group) {
  if (!Group.Record || Group.Record->Open ||
      Group.Acknowledged >= Group.Record->Generation)
    return;
  if (usesPrimary(Step.State, Group)) {
    if (Step.Now < Group.ClosedAt + ClosingSlack)
      return;
    loseConnections(Step, Group.Record->Primary, true);
  }
  // Another host, or one asked by an earlier incarnation, may rely on it yet.
  if (Step.Now <
      std::max(Group.VouchedUntil, Step.State.StartedAt + VouchLength))
    return;
  Group.Acknowledged = Group.Record->Generation;
}

host_record ownRecord(const host &State) {
  host_record Record;
  Record.Peers = State.Identity.Peers;
  Record.DataCentre = State.Identity.DataCentre;
  Record.Leaving = State.Stopping;
  for (const auto &[Name, Group] : State.Groups) {
    if (Group.Record && !Group.Record->Open && Group.Acknowledged > 0)
      Record.Acknowledged[Name] = Group.Acknowledged;
    if (Group.Blind && Group.Record)
      Record.Blind[Name] = Group.Record->Primary;
  }
  return Record;
}

void registerHost(step_context &Step) {
  lease_state &Lease = Step.State.Lease;
  if (Lease.Lease == 0 || Lease.RegisterCall != 0 ||
      Step.Now < Lease.NextRegister)
    return;
  std::string Value = formatRecord(ownRecord(Step.State));
  if (Value == Lease.Registered)
    return;
  Lease.RegisterCall = nextNumber(Step.State);
  Lease.RegisterValue = Value;
  effects::change_records Change;
  Change.Call = Lease.RegisterCall;
  Change.Lease = Lease.Lease;
  Change.Writes.push_back({ownKey(Step.State), std::move(Value), true});
  Step.Out.push_back(std::move(Change));
}

void noteRegistration(lease_state &Lease, instant Now) {
  if (Lease.Registered.empty())
    Lease.RegisteredAt = Now;
  Lease.Registered = Lease.RegisterValue;
}

void groupChanged(step_context &Step, const std::string &Name,
                  const store_record &Record) {
  group_state &Group = Step.State.Groups[Name];
  auto Parsed = parseGroupRecord(Record.Value);
  if (!Parsed || Record.Revision <= Group.Revision)
    return;
  const bool NewPrimary =
      !Group.Record || Group.Record->Primary != Parsed->Primary;
  if (NewPrimary) {
    Group.Samples.Samples.clear();
    Group.Blind = false;
  }
  if (!Parsed->Open && (!Group.Record || Group.Record->Open))
    Group.ClosedAt = Step.Now;
  logLine(Step, "primary.record",
          {{"group", Name},
           {"primary", Parsed->Primary},
           {"generation", std::to_string(Parsed->Generation)},
           {"open", Parsed->Open ? "true" : "false"}});
  if (!Group.Record || Group.Record->Generation != Parsed->Generation) {
    Group.Vouchers.clear();
    Group.ProvenUntil = {};
  }
  Group.Record = std::move(Parsed);
  Group.Revision = Record.Revision;
  acknowledgeClosed(Step, Group);
}

/// In a large fleet few hosts of each data centre watch the store; the others
/// are told by them, so that calls to the store do not grow with the fleet.
std::optional<endpoint> readerFor(const host &State) {
  if (State.Hosts.size() <= HostsThatAllWatch)
    return std::nullopt;
  std::vector<host_id> Near;
  for (const auto &[Name, Peer] : State.Hosts)
    if (Peer.Record.DataCentre == State.Identity.DataCentre &&
        !Peer.Record.Leaving)
      Near.emplace_back(Name);
  const auto Readers =
      rendezvousFew("reader", std::move(Near), ReadersPerDataCentre);
  const host_id Own(State.Identity.Name);
  if (std::find(Readers.begin(), Readers.end(), Own) != Readers.end())
    return std::nullopt;
  const auto Chosen = rendezvous("reader of " + Own.Value, Readers);
  return Chosen ? std::optional(State.Hosts.at(Chosen->Value).Record.Peers)
                : std::nullopt;
}

/// Tells the adapters which hosts may relay calls: those of other data centres,
/// which do not share what cuts this one off; without any, its neighbours.
void listPeers(step_context &Step) {
  const host_identity &Own = Step.State.Identity;
  effects::set_peers Others;
  effects::set_peers Neighbours;
  for (const auto &[Name, Peer] : Step.State.Hosts) {
    if (Peer.Record.DataCentre != Own.DataCentre)
      Others.Peers.push_back(Peer.Record.Peers);
    else if (Name != Own.Name)
      Neighbours.Peers.push_back(Peer.Record.Peers);
  }
  Step.Out.push_back(Others.Peers.empty() ? std::move(Neighbours)
                                          : std::move(Others));
  Step.Out.push_back(effects::set_reader{readerFor(Step.State)});
}

/// Takes what the store says of a host.
void noteHost(step_context &Step, const std::string &Name,
              const store_record &Record) {
  auto Parsed = parseHostRecord(Record.Value);
  if (!Parsed)
    return;
  lease_state &Lease = Step.State.Lease;
  // A change whose answer was lost may overwrite a later one.
  if (Name == Step.State.Identity.Name && Lease.RegisterCall == 0 &&
      !Lease.Registered.empty())
    Lease.Registered = Record.Value;
  Step.State.HostsVersion += 1;
  Step.State.HostsLost.erase(Name);
  Step.State.Hosts[Name] = {std::move(*Parsed), Record.Lease};
}

void hostChanged(step_context &Step, const std::string &Name,
                 const store_record &Record) {
  const std::size_t Before = Step.State.Hosts.size();
  noteHost(Step, Name, Record);
  if (Step.State.Hosts.size() != Before)
    listPeers(Step);
}

void loseHost(step_context &Step, const std::string &Name) {
  host &State = Step.State;
  const auto Left = State.Hosts.find(Name);
  if (Left == State.Hosts.end())
    return;
  std::erase_if(State.HostsLost, [&](const auto &Lost) {
    return Step.Now > Lost.second.At + LostHostsKept;
  });
  if (!Left->second.Record.Leaving)
    State.HostsLost[Name] = {Step.Now, Left->second.Record.DataCentre};
  State.Hosts.erase(Left);
  State.HostsVersion += 1;
}

/// Takes a list that was read as a whole.
void replaceHosts(step_context &Step,
                  const std::vector<store_record> &Records) {
  std::set<std::string> Gone;
  for (const auto &[Name, Peer] : Step.State.Hosts)
    Gone.insert(Name);
  for (const store_record &Record : Records) {
    const std::string Name = Record.Key.substr(HostsPrefix.size());
    Gone.erase(Name);
    noteHost(Step, Name, Record);
  }
  for (const std::string &Name : Gone)
    loseHost(Step, Name);
  listPeers(Step);
}

void dutyChanged(host &State, const store_record &Record) {
  State.Duty.Holder = Record.Value;
  State.Duty.Revision = Record.Revision;
}

} // namespace

bool mayUsePrimary(const host &State, const std::string &Group, instant Now) {
  const auto Found = State.Groups.find(Group);
  if (Found == State.Groups.end() || !Found->second.Record ||
      !Found->second.Record->Open)
    return false;
  const bool Leased = State.Lease.Lease != 0 && State.Lease.GroupsRead &&
                      Now < State.Lease.ValidUntil;
  return Leased || isVouchedFor(State, Found->second, Now);
}

void superviseLease(step_context &Step) {
  lease_state &Lease = Step.State.Lease;
  for (auto &[Name, Group] : Step.State.Groups)
    acknowledgeClosed(Step, Group);
  registerHost(Step);
  if (Lease.Lease != 0 && !Lease.Registered.empty() && !Lease.GroupsRead &&
      Lease.GroupsCall == 0) {
    Lease.GroupsCall = nextNumber(Step.State);
    Step.Out.push_back(
        effects::read_records{Lease.GroupsCall, std::string(GroupsPrefix)});
  }
  if (Lease.CallPending || Step.Now < Lease.NextCall)
    return;
  Lease.CallPending = true;
  if (Lease.Lease == 0)
    Step.Out.push_back(effects::grant_lease{
        std::max(LeaseLength, Step.State.Identity.MinimumLease)});
  else
    Step.Out.push_back(effects::renew_lease{Lease.Lease});
}

void leaseAnswered(step_context &Step, const events::lease_answered &What) {
  lease_state &Lease = Step.State.Lease;
  Lease.CallPending = false;
  if (!What.Answered) {
    Lease.NextCall = Step.Now + RetryPause;
    return;
  }
  if (What.Lease == 0) {
    if (Lease.Lease != 0)
      loseLease(Step);
    Lease.NextCall = Step.Now;
    return;
  }
  if (Lease.Lease != What.Lease)
    logLine(Step, "lease.granted",
            {{"lease", std::to_string(What.Lease)},
             {"ms", ageText(Step.Now - What.TimeToLive, Step.Now)}});
  Lease.Lease = What.Lease;
  if (What.TimeToLive > duration::zero())
    Lease.TimeToLive = What.TimeToLive;
  Lease.ValidUntil =
      std::max(Lease.ValidUntil, What.SentAt + usablePart(Lease.TimeToLive));
  if (!Lease.Registered.empty())
    Step.State.Electors.StoreHeardAt = What.SentAt;
  Lease.NextCall = What.SentAt + Lease.TimeToLive / RenewalsPerLease;
}

void recordChanged(step_context &Step, const store_record &Record) {
  const std::string_view Key = Record.Key;
  if (Key.starts_with(GroupsPrefix))
    groupChanged(Step, std::string(Key.substr(GroupsPrefix.size())), Record);
  else if (Key.starts_with(HostsPrefix))
    hostChanged(Step, std::string(Key.substr(HostsPrefix.size())), Record);
  else if (Key == DutyKey)
    dutyChanged(Step.State, Record);
}

void recordRemoved(step_context &Step, const std::string &Key) {
  if (Key.starts_with(HostsPrefix)) {
    loseHost(Step, Key.substr(HostsPrefix.size()));
    listPeers(Step);
  } else if (Key == DutyKey) {
    Step.State.Duty.Holder.clear();
  }
}

void recordsRead(step_context &Step, const events::records_read &What) {
  lease_state &Lease = Step.State.Lease;
  if (What.Prefix == GroupsPrefix) {
    if (What.Call != Lease.GroupsCall)
      return;
    Lease.GroupsCall = 0;
    if (!What.Answered)
      return;
    for (const store_record &Record : What.Records)
      recordChanged(Step, Record);
    Lease.GroupsRead = true;
    Step.State.Electors.KnowsGroups = true;
    return;
  }
  for (auto &[Name, Group] : Step.State.Groups) {
    if (Group.Promotion.HostsCall != What.Call)
      continue;
    Group.Promotion.HostsCall = 0;
    Group.Promotion.HostsRead = What.Answered;
    if (!What.Answered)
      return;
    replaceHosts(Step, What.Records);
    return;
  }
}

void changeEnded(step_context &Step, const events::change_ended &What) {
  lease_state &Lease = Step.State.Lease;
  if (What.Call == Lease.RegisterCall && What.Call != 0) {
    Lease.RegisterCall = 0;
    if (What.Outcome == change_outcome::Done)
      noteRegistration(Lease, Step.Now);
    else if (What.Outcome == change_outcome::LeaseGone)
      loseLease(Step);
    else
      Lease.NextRegister = Step.Now + RetryPause;
    return;
  }
  if (!dutyChangeEnded(Step, What))
    (void)promotionChangeEnded(Step, What);
}

void noteReachability(step_context &Step, target_view &Target, bool Answered) {
  group_state *Group = findIn(Step.State.Groups, Target.Entry.Group);
  if (Group == nullptr || !Group->Record ||
      Group->Record->Primary != Target.Entry.Id)
    return;
  const duration Failing = Step.Now - Target.FirstDialFailure;
  const bool Silent = Failing >= SilentDial;
  const bool Blind = !Answered && Step.Now - Target.AnsweredAt >= BlindAfter &&
                     (Silent || (Target.DialFailures >= BlindFailures &&
                                 Failing >= BlindAfter));
  if (Answered == !Group->Blind || (!Answered && !Blind))
    return;
  Group->Blind = !Answered;
  logLine(Step, Answered ? "primary.regained" : "primary.unreached",
          {{"group", Target.Entry.Group},
           {"target", Target.Entry.Id},
           {"failures", std::to_string(Target.DialFailures)}});
}

} // namespace bronzespar::proxy

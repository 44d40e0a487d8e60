/// This host's lease, and its permission to use primaries.
///
/// A host uses a group's primary only while the group's record is open and
/// either its lease is valid or a quorum of electors votes for it
/// (electors.cpp). The lease's lifetime counts from the sending of the grant or
/// renewal, so it ends here before it ends in the store. The coordinator closes
/// the record before it orders a promotion, and waits for each host's
/// acknowledgement or the end of its lease.
#include "parts.hpp"

#include <bronzespar/membership.hpp>

#include <algorithm>
#include <utility>

namespace bronzespar::proxy {

namespace {

/// In a fleet of up to this many hosts, each watches the store itself.
constexpr std::size_t MaxDirectWatchers = 12;
/// The others of a data centre share the watches of these. There are two, so
/// that one failure does not leave the data centre without any.
constexpr std::size_t WatchersPerDataCentre = 2;
/// A shorter lease costs more calls. A longer one delays a promotion while a
/// host is partitioned.
constexpr duration LeaseLength = std::chrono::milliseconds(1600);
/// Two renewals of a lease may be lost.
constexpr int RenewalsPerLease = 4;
/// Delay after a call to the store that failed.
constexpr duration StoreRetryDelay = std::chrono::milliseconds(60);
/// A target whose dials fail for this long counts as unreachable.
constexpr duration UnreachableAfter = std::chrono::milliseconds(200);
constexpr unsigned MinDialFailures = 2;
/// A single dial without an answer for this long suffices as well.
constexpr duration SilentDialTimeout = std::chrono::milliseconds(450);
/// Time that statements may still run at a primary whose record was closed.
constexpr duration ClosingGracePeriod = std::chrono::milliseconds(250);

/// Longer than any period in which an expired host matters.
constexpr duration ExpiredHostRetention = std::chrono::seconds(60);

std::string ownKey(const host &State) {
  return std::string(HostsPrefix) + State.Identity.Name;
}

void loseLease(step_context &Step) {
  lease_state &Lease = Step.State.Lease;
  logLine(Step, "lease.lost", {{"lease", std::to_string(Lease.Id)}});
  const instant Next = Lease.NextCallAt;
  Lease = {};
  Lease.NextCallAt = Next;
  Step.State.Coordinator.IsHeld = false;
}

/// Whether statements or transactions still use the group's primary.
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

/// Acknowledges a closed record once this host has stopped using the primary.
void acknowledgeClosed(step_context &Step, group_state &Group) {
  if (!Group.Record || Group.Record->Open ||
      Group.AcknowledgedClosure >= Group.Record->Generation)
    return;
  if (usesPrimary(Step.State, Group)) {
    if (Step.Now < Group.ClosedAt + ClosingGracePeriod)
      return;
    failConnections(Step, Group.Record->Primary, true);
  }
  // Another host may still rely on this host's vote, also on one that the
  // process gave before it restarted.
  if (Step.Now <
      std::max(Group.OwnVoteUntil, Step.State.StartedAt + VoteLifetime))
    return;
  Group.AcknowledgedClosure = Group.Record->Generation;
}

host_record ownRecord(const host &State) {
  host_record Record;
  Record.PeerEndpoint = State.Identity.PeerEndpoint;
  Record.DataCentre = State.Identity.DataCentre;
  Record.Leaving = State.Stopping;
  for (const auto &[Name, Group] : State.Groups) {
    if (Group.Record && !Group.Record->Open && Group.AcknowledgedClosure > 0)
      Record.AcknowledgedClosures[Name] = Group.AcknowledgedClosure;
    if (Group.PrimaryUnreachable && Group.Record)
      Record.UnreachablePrimaries[Name] = Group.Record->Primary;
  }
  return Record;
}

void registerHost(step_context &Step) {
  lease_state &Lease = Step.State.Lease;
  if (Lease.Id == 0 || Lease.RegisterCall != 0 ||
      Step.Now < Lease.NextRegisterAt)
    return;
  std::string Value = formatRecord(ownRecord(Step.State));
  if (Value == Lease.RegisteredValue)
    return;
  Lease.RegisterCall = nextNumber(Step.State);
  Lease.PendingValue = Value;
  effects::change_records Change;
  Change.Call = Lease.RegisterCall;
  Change.Lease = Lease.Id;
  Change.Writes.push_back({ownKey(Step.State), std::move(Value), true});
  Step.Out.push_back(std::move(Change));
}

void registrationStored(lease_state &Lease, instant Now) {
  if (Lease.RegisteredValue.empty())
    Lease.RegisteredAt = Now;
  Lease.RegisteredValue = Lease.PendingValue;
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
    Group.PrimaryUnreachable = false;
  }
  if (!Parsed->Open && (!Group.Record || Group.Record->Open))
    Group.ClosedAt = Step.Now;
  logLine(Step, "primary.record",
          {{"group", Name},
           {"primary", Parsed->Primary},
           {"generation", std::to_string(Parsed->Generation)},
           {"open", Parsed->Open ? "true" : "false"}});
  if (!Group.Record || Group.Record->Generation != Parsed->Generation) {
    Group.Voters.clear();
    Group.QuorumUntil = {};
  }
  Group.Record = std::move(Parsed);
  Group.Revision = Record.Revision;
  acknowledgeClosed(Step, Group);
}

/// In a large fleet, few hosts of each data centre watch the store and the
/// others share their watches, so that the load on the store does not grow with
/// the fleet.
std::optional<endpoint> watchSourceFor(const host &State) {
  if (State.Hosts.size() <= MaxDirectWatchers)
    return std::nullopt;
  std::vector<host_id> SameDataCentre;
  for (const auto &[Name, Peer] : State.Hosts)
    if (Peer.Record.DataCentre == State.Identity.DataCentre &&
        !Peer.Record.Leaving)
      SameDataCentre.emplace_back(Name);
  const auto Watchers =
      rendezvousTop("reader", std::move(SameDataCentre), WatchersPerDataCentre);
  const host_id Own(State.Identity.Name);
  if (std::find(Watchers.begin(), Watchers.end(), Own) != Watchers.end())
    return std::nullopt;
  const auto Chosen = rendezvous("reader of " + Own.Value, Watchers);
  return Chosen
             ? std::optional(State.Hosts.at(Chosen->Value).Record.PeerEndpoint)
             : std::nullopt;
}

/// Tells the adapters which hosts may relay calls: those of other data centres,
/// as they are not partitioned together with this one, or else those of its
/// own.
void publishPeers(step_context &Step) {
  const host_identity &Own = Step.State.Identity;
  effects::set_store_relays OtherDataCentres;
  effects::set_store_relays SameDataCentre;
  for (const auto &[Name, Peer] : Step.State.Hosts) {
    if (Peer.Record.DataCentre != Own.DataCentre)
      OtherDataCentres.Relays.push_back(Peer.Record.PeerEndpoint);
    else if (Name != Own.Name)
      SameDataCentre.Relays.push_back(Peer.Record.PeerEndpoint);
  }
  Step.Out.push_back(OtherDataCentres.Relays.empty()
                         ? std::move(SameDataCentre)
                         : std::move(OtherDataCentres));
  Step.Out.push_back(effects::set_watch_source{watchSourceFor(Step.State)});
}

/// Takes over a host's record from the store.
void storeHost(step_context &Step, const std::string &Name,
               const store_record &Record) {
  auto Parsed = parseHostRecord(Record.Value);
  if (!Parsed)
    return;
  lease_state &Lease = Step.State.Lease;
  // A change whose answer was lost may have overwritten a later one.
  if (Name == Step.State.Identity.Name && Lease.RegisterCall == 0 &&
      !Lease.RegisteredValue.empty())
    Lease.RegisteredValue = Record.Value;
  Step.State.HostsVersion += 1;
  Step.State.ExpiredHosts.erase(Name);
  Step.State.Hosts[Name] = {std::move(*Parsed), Record.Lease};
}

void hostChanged(step_context &Step, const std::string &Name,
                 const store_record &Record) {
  const std::size_t OldCount = Step.State.Hosts.size();
  storeHost(Step, Name, Record);
  if (Step.State.Hosts.size() != OldCount)
    publishPeers(Step);
}

void removeHost(step_context &Step, const std::string &Name) {
  host &State = Step.State;
  const auto Removed = State.Hosts.find(Name);
  if (Removed == State.Hosts.end())
    return;
  std::erase_if(State.ExpiredHosts, [&](const auto &Expired) {
    return Step.Now > Expired.second.ExpiredAt + ExpiredHostRetention;
  });
  if (!Removed->second.Record.Leaving)
    State.ExpiredHosts[Name] = {Step.Now, Removed->second.Record.DataCentre};
  State.Hosts.erase(Removed);
  State.HostsVersion += 1;
}

/// Replaces the list of hosts by one that was read as a whole.
void replaceHosts(step_context &Step,
                  const std::vector<store_record> &Records) {
  std::set<std::string> Gone;
  for (const auto &[Name, Peer] : Step.State.Hosts)
    Gone.insert(Name);
  for (const store_record &Record : Records) {
    const std::string Name = Record.Key.substr(HostsPrefix.size());
    Gone.erase(Name);
    storeHost(Step, Name, Record);
  }
  for (const std::string &Name : Gone)
    removeHost(Step, Name);
  publishPeers(Step);
}

void coordinatorChanged(host &State, const store_record &Record) {
  State.Coordinator.Holder = Record.Value;
  State.Coordinator.Revision = Record.Revision;
}

} // namespace

bool mayUsePrimary(const host &State, const std::string &Group, instant Now) {
  const auto Found = State.Groups.find(Group);
  if (Found == State.Groups.end() || !Found->second.Record ||
      !Found->second.Record->Open)
    return false;
  const bool HasLease = State.Lease.Id != 0 && State.Lease.GroupsRead &&
                        Now < State.Lease.ValidUntil;
  return HasLease || hasElectorQuorum(State, Found->second, Now);
}

void superviseLease(step_context &Step) {
  lease_state &Lease = Step.State.Lease;
  for (auto &[Name, Group] : Step.State.Groups)
    acknowledgeClosed(Step, Group);
  registerHost(Step);
  if (Lease.Id != 0 && !Lease.RegisteredValue.empty() && !Lease.GroupsRead &&
      Lease.GroupsCall == 0) {
    Lease.GroupsCall = nextNumber(Step.State);
    Step.Out.push_back(
        effects::read_records{Lease.GroupsCall, std::string(GroupsPrefix)});
  }
  if (Lease.CallPending || Step.Now < Lease.NextCallAt)
    return;
  Lease.CallPending = true;
  if (Lease.Id == 0)
    Step.Out.push_back(effects::grant_lease{
        std::max(LeaseLength, Step.State.Identity.MinimumLease)});
  else
    Step.Out.push_back(effects::renew_lease{Lease.Id});
}

void leaseAnswered(step_context &Step, const events::lease_answered &Event) {
  lease_state &Lease = Step.State.Lease;
  Lease.CallPending = false;
  if (!Event.Answered) {
    Lease.NextCallAt = Step.Now + StoreRetryDelay;
    return;
  }
  if (Event.Lease == 0) {
    if (Lease.Id != 0)
      loseLease(Step);
    Lease.NextCallAt = Step.Now;
    return;
  }
  if (Lease.Id != Event.Lease)
    logLine(Step, "lease.granted",
            {{"lease", std::to_string(Event.Lease)},
             {"ms", elapsedMsText(Step.Now - Event.TimeToLive, Step.Now)}});
  Lease.Id = Event.Lease;
  if (Event.TimeToLive > duration::zero())
    Lease.TimeToLive = Event.TimeToLive;
  Lease.ValidUntil = std::max(
      Lease.ValidUntil, Event.SentAt + withSafetyMargin(Lease.TimeToLive));
  if (!Lease.RegisteredValue.empty())
    Step.State.Votes.LastRenewalSentAt = Event.SentAt;
  Lease.NextCallAt = Event.SentAt + Lease.TimeToLive / RenewalsPerLease;
}

void recordChanged(step_context &Step, const store_record &Record) {
  const std::string_view Key = Record.Key;
  if (Key.starts_with(GroupsPrefix))
    groupChanged(Step, std::string(Key.substr(GroupsPrefix.size())), Record);
  else if (Key.starts_with(HostsPrefix))
    hostChanged(Step, std::string(Key.substr(HostsPrefix.size())), Record);
  else if (Key == CoordinatorKey)
    coordinatorChanged(Step.State, Record);
}

void recordRemoved(step_context &Step, const std::string &Key) {
  if (Key.starts_with(HostsPrefix)) {
    removeHost(Step, Key.substr(HostsPrefix.size()));
    publishPeers(Step);
  } else if (Key == CoordinatorKey) {
    Step.State.Coordinator.Holder.clear();
  }
}

void recordsRead(step_context &Step, const events::records_read &Event) {
  lease_state &Lease = Step.State.Lease;
  if (Event.Prefix == GroupsPrefix) {
    if (Event.Call != Lease.GroupsCall)
      return;
    Lease.GroupsCall = 0;
    if (!Event.Answered)
      return;
    for (const store_record &Record : Event.Records)
      recordChanged(Step, Record);
    Lease.GroupsRead = true;
    Step.State.Votes.HasReadGroups = true;
    return;
  }
  for (auto &[Name, Group] : Step.State.Groups) {
    if (Group.Promotion.HostsCall != Event.Call)
      continue;
    Group.Promotion.HostsCall = 0;
    Group.Promotion.HostsRead = Event.Answered;
    if (!Event.Answered)
      return;
    replaceHosts(Step, Event.Records);
    return;
  }
}

void changeEnded(step_context &Step, const events::change_ended &Event) {
  lease_state &Lease = Step.State.Lease;
  if (Event.Call == Lease.RegisterCall && Event.Call != 0) {
    Lease.RegisterCall = 0;
    if (Event.Outcome == change_outcome::Done)
      registrationStored(Lease, Step.Now);
    else if (Event.Outcome == change_outcome::LeaseGone)
      loseLease(Step);
    else
      Lease.NextRegisterAt = Step.Now + StoreRetryDelay;
    return;
  }
  if (!coordinatorChangeEnded(Step, Event))
    (void)promotionChangeEnded(Step, Event);
}

void noteReachability(step_context &Step, target_view &Target, bool Answered) {
  group_state *Group = findIn(Step.State.Groups, Target.Entry.Group);
  if (Group == nullptr || !Group->Record ||
      Group->Record->Primary != Target.Entry.Id)
    return;
  const duration FailingFor = Step.Now - Target.FirstDialFailure;
  const bool Silent = FailingFor >= SilentDialTimeout;
  const bool Unreachable = !Answered &&
                           Step.Now - Target.AnsweredAt >= UnreachableAfter &&
                           (Silent || (Target.DialFailures >= MinDialFailures &&
                                       FailingFor >= UnreachableAfter));
  if (Answered == !Group->PrimaryUnreachable || (!Answered && !Unreachable))
    return;
  Group->PrimaryUnreachable = !Answered;
  logLine(Step, Answered ? "primary.regained" : "primary.unreached",
          {{"group", Target.Entry.Group},
           {"target", Target.Entry.Id},
           {"failures", std::to_string(Target.DialFailures)}});
}

} // namespace bronzespar::proxy

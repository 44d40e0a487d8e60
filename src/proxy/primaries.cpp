/// This host's lease, and its permission to use primaries.
///
/// A host uses a group's primary only while the group's record is open, nothing
/// shows that another target leads (disproved.cpp), and either its lease is
/// valid or a quorum of electors votes for it (electors.cpp). The lease's
/// lifetime counts from the sending of the grant or renewal, so it ends here
/// before it ends in the store. The coordinator closes the record before it
/// orders a promotion, and waits for each host's acknowledgement or the end of
/// its lease.
#include "parts.hpp"

#include <algorithm>
#include <utility>

namespace bronzespar::proxy {

namespace {

/// A shorter lease costs more calls. A longer one delays a promotion while a
/// host is partitioned.
constexpr duration LeaseLength = std::chrono::milliseconds(1600);
/// Part of a lease after which it is renewed. One renewal may be lost and
/// repeated before the lease ends, or before electors have to be asked.
constexpr double RenewAfterPart = 0.375;
/// Delay after a call to the store that failed; it doubles with each failure in
/// a row, as the store counts calls that it refuses as well.
constexpr duration MinStoreRetryDelay = std::chrono::milliseconds(60);
constexpr duration MaxStoreRetryDelay = std::chrono::milliseconds(960);
/// A target whose dials fail for this long counts as unreachable.
constexpr duration UnreachableAfter = std::chrono::milliseconds(200);
constexpr unsigned MinDialFailures = 2;
/// A single dial without an answer for this long suffices as well.
constexpr duration SilentDialTimeout = std::chrono::milliseconds(450);

duration storeRetryDelay(unsigned Failures) {
  constexpr unsigned MaxDoublings = 4;
  return std::min(MaxStoreRetryDelay,
                  MinStoreRetryDelay *
                      (1U << std::min(Failures, MaxDoublings)));
}

std::string ownKey(const host &State) {
  return std::string(HostsPrefix) + State.Identity.Name;
}

host_record ownRecord(const host &State) {
  host_record Record;
  Record.PeerEndpoint = State.Identity.PeerEndpoint;
  Record.DataCentre = State.Identity.DataCentre;
  Record.LinkMbps = State.Identity.LinkMbps;
  Record.Leaving = State.Stopping;
  Record.GrantsByDataCentre = true;
  for (const auto &[Name, Group] : State.Groups) {
    // It stays when the record is open again, which saves a write by each host;
    // a later closure has a higher generation.
    if (Group.AcknowledgedClosure > 0)
      Record.AcknowledgedClosures[Name] = Group.AcknowledgedClosure;
    if (Group.PrimaryUnreachable && Group.Record)
      Record.UnreachablePrimaries[Name] = Group.Record->Primary;
    if (Group.Witness.IsReporting && Group.Record)
      Record.SuspectedPrimaries[Name] = Group.Record->Primary;
    if (isDisproved(Group) && Group.Record->Open)
      Record.DisprovedGenerations[Name] = Group.Record->Generation;
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
  Change.Expected.emplace_back(ownKey(Step.State),
                               Step.State.OwnRecord.Revision);
  Change.Writes.push_back({ownKey(Step.State), std::move(Value), true});
  Step.Out.push_back(std::move(Change));
}

/// Takes over a change of this host's own record, unless a later one is known.
/// \param Revision 0: the record was removed.
void noteOwnRecord(host &State, std::uint64_t Revision, std::uint64_t AsOf) {
  if (AsOf > State.OwnRecord.AsOf)
    State.OwnRecord = {Revision, AsOf};
}

void registrationStored(step_context &Step, std::string Value,
                        std::uint64_t Revision) {
  lease_state &Lease = Step.State.Lease;
  noteOwnRecord(Step.State, Revision, Revision);
  if (Lease.RegisteredValue.empty())
    Lease.RegisteredAt = Step.Now;
  Lease.RegisteredValue = std::move(Value);
  Lease.RegisteredRevision = Revision;
  Lease.FailedRegistrations = 0;
}

/// Handles a registration that was refused because the host's record is not the
/// one that it expected. Under the present lease, it is an earlier registration
/// that was made without an answer. Otherwise the host is not registered; if it
/// was, no coordinator waits for it any more.
void registrationRefused(step_context &Step,
                         const std::vector<store_record> &Current) {
  lease_state &Lease = Step.State.Lease;
  own_record_state &Own = Step.State.OwnRecord;
  const auto Standing =
      std::find_if(Current.begin(), Current.end(),
                   [Key = ownKey(Step.State)](const store_record &Record) {
                     return Record.Key == Key;
                   });
  const auto Parsed = Standing == Current.end()
                          ? std::nullopt
                          : parseHostRecord(Standing->Value);
  const bool Revoked = Parsed && Parsed->Revoked;
  if (Standing != Current.end() && Standing->Lease == Lease.Id && !Revoked) {
    registrationStored(Step, Standing->Value, Standing->Revision);
    return;
  }
  Own.Revision = Standing == Current.end() ? 0 : Standing->Revision;
  Own.AsOf = std::max(Own.AsOf, Own.Revision);
  if (!Lease.RegisteredValue.empty() || Revoked)
    loseLease(Step);
}

void registrationEnded(step_context &Step, const events::change_ended &Event) {
  lease_state &Lease = Step.State.Lease;
  const std::uint64_t Expected = Step.State.OwnRecord.Revision;
  Lease.RegisterCall = 0;
  if (Event.Outcome == change_outcome::Done) {
    registrationStored(Step, Lease.PendingValue, Event.Revision);
    return;
  }
  logUnconfirmedChange(Step, ownKey(Step.State), Event);
  if (Event.Outcome == change_outcome::LeaseGone) {
    loseLease(Step);
    return;
  }
  if (Event.Outcome == change_outcome::Conflict && Event.Current)
    registrationRefused(Step, *Event.Current);
  if (Step.State.OwnRecord.Revision == Expected)
    Lease.NextRegisterAt =
        Step.Now + storeRetryDelay(Lease.FailedRegistrations++);
}

void groupChanged(step_context &Step, const std::string &Name,
                  const store_record &Record) {
  group_state &Group = Step.State.Groups[Name];
  auto Parsed = parseGroupRecord(Record.Value);
  if (!Parsed || Record.Revision <= Group.Revision)
    return;
  Group.Restored.IsMissing = false;
  Group.Restored.Stored.reset();
  // Only a restored store holds an earlier generation than was known.
  if (Group.Record && Parsed->Generation < Group.Record->Generation) {
    Group.Revision = Record.Revision;
    Group.Restored.Stored = std::move(Parsed);
    return;
  }
  const bool NewPrimary =
      !Group.Record || Group.Record->Primary != Parsed->Primary;
  if (NewPrimary) {
    Group.Samples.Samples.clear();
    Group.PrimaryUnreachable = false;
    Group.Witness = {};
  }
  if (!Parsed->Open && (!Group.Record || Group.Record->Open))
    Group.ClosedAt = Step.Now;
  logLine(Step, "primary.record",
          {{"group", Name},
           {"primary", Parsed->Primary},
           {"generation", std::to_string(Parsed->Generation)},
           {"term", std::to_string(Parsed->Term)},
           {"open", Parsed->Open ? "true" : "false"}});
  if (!Group.Record || Group.Record->Generation != Parsed->Generation) {
    Group.Voters.clear();
    Group.QuorumUntil = {};
    Group.PrimaryPosition.reset();
    Group.PositionAskedAt = {};
  }
  Group.Record = std::move(Parsed);
  Group.Revision = Record.Revision;
  acknowledgeClosed(Step, Group);
}

/// Only a restored store lacks a group's record that it had.
void groupRemoved(host &State, const std::string &Name,
                  std::uint64_t Revision) {
  group_state *Group = findIn(State.Groups, Name);
  if (Group == nullptr || Revision <= Group->Revision)
    return;
  Group->Revision = Revision;
  Group->Restored.IsMissing = true;
  Group->Restored.Stored.reset();
}

void ownRecordChanged(step_context &Step, const store_record &Record) {
  noteOwnRecord(Step.State, Record.Revision, Record.Revision);
  hostChanged(Step, Step.State.Identity.Name, Record);
}

/// The store removes this host's own record when its lease ends.
void ownRecordRemoved(step_context &Step, std::uint64_t Revision) {
  noteOwnRecord(Step.State, 0, Revision);
  const lease_state &Lease = Step.State.Lease;
  if (!Lease.RegisteredValue.empty() && Revision > Lease.RegisteredRevision)
    loseLease(Step);
}

} // namespace

void loseLease(step_context &Step) {
  lease_state &Lease = Step.State.Lease;
  logLine(Step, "lease.lost", {{"lease", std::to_string(Lease.Id)}});
  lease_state Lost;
  Lost.NextCallAt = Lease.NextCallAt;
  Lost.CallPending = Lease.CallPending;
  Lost.PendingCallIsObsolete = Lease.CallPending;
  Lease = Lost;
  Step.State.Coordinator.IsHeld = false;
}

duration leaseLength(const host &State) {
  return std::max(LeaseLength, State.Identity.MinimumLease);
}

bool hasValidLease(const host &State, instant Now) {
  return State.Lease.Id != 0 && State.Lease.GroupsRead &&
         Now < State.Lease.ValidUntil;
}

bool mayUsePrimary(const host &State, const std::string &Group, instant Now) {
  const auto Found = State.Groups.find(Group);
  if (Found == State.Groups.end() || !Found->second.Record ||
      !Found->second.Record->Open || isDisproved(Found->second))
    return false;
  return (hasValidLease(State, Now) &&
          isConfirmed(State, *Found->second.Record)) ||
         mayUseSinceBefore(Found->second, Now) ||
         hasElectorQuorum(State, Found->second, Now);
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
  if (Lease.CallPending || Step.Now < Lease.NextCallAt ||
      Step.Now < Step.State.Restore.ReturnAt)
    return;
  Lease.CallPending = true;
  if (Lease.Id == 0)
    Step.Out.push_back(effects::grant_lease{leaseLength(Step.State)});
  else
    Step.Out.push_back(effects::renew_lease{Lease.Id});
}

void leaseAnswered(step_context &Step, const events::lease_answered &Event) {
  lease_state &Lease = Step.State.Lease;
  Lease.CallPending = false;
  if (Lease.PendingCallIsObsolete) {
    Lease.PendingCallIsObsolete = false;
    Lease.NextCallAt = Step.Now;
    return;
  }
  if (!Event.Answered) {
    Lease.NextCallAt = Step.Now + storeRetryDelay(Lease.FailedCalls++);
    return;
  }
  Lease.FailedCalls = 0;
  if (Event.Lease == 0) {
    if (Lease.Id != 0)
      loseLease(Step);
    Lease.NextCallAt = Step.Now;
    return;
  }
  // The registration and the read of records hold only under their own lease.
  if (Lease.Id != 0 && Lease.Id != Event.Lease)
    loseLease(Step);
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
  Lease.NextCallAt = Event.SentAt + std::chrono::duration_cast<duration>(
                                        Lease.TimeToLive * RenewAfterPart);
}

void recordChanged(step_context &Step, const store_record &Record) {
  const std::string_view Key = Record.Key;
  if (Key.starts_with(GroupsPrefix))
    groupChanged(Step, std::string(Key.substr(GroupsPrefix.size())), Record);
  else if (!isOfPresentEra(Step.State, Record.Revision))
    return;
  else if (Key == ownKey(Step.State))
    ownRecordChanged(Step, Record);
  else if (Key.starts_with(HostsPrefix))
    hostChanged(Step, std::string(Key.substr(HostsPrefix.size())), Record);
  else if (Key == CoordinatorKey)
    coordinatorChanged(Step, Record);
}

void recordRemoved(step_context &Step, const events::record_removed &Event) {
  if (Event.Key.starts_with(HostsPrefix)) {
    removeHost(Step, Event.Key.substr(HostsPrefix.size()), Event.Revision);
    if (Event.Key == ownKey(Step.State))
      ownRecordRemoved(Step, Event.Revision);
  } else if (Event.Key == CoordinatorKey) {
    coordinatorRemoved(Step, Event.Revision);
  } else if (Event.Key.starts_with(GroupsPrefix)) {
    groupRemoved(Step.State, Event.Key.substr(GroupsPrefix.size()),
                 Event.Revision);
  }
}

void recordsRead(step_context &Step, const events::records_read &Event) {
  lease_state &Lease = Step.State.Lease;
  if (coordinatorRecordsRead(Step, Event))
    return;
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
    replaceHosts(Step, Event.Records, Event.Revision);
    return;
  }
}

void logUnconfirmedChange(step_context &Step, std::string_view Key,
                          const events::change_ended &Event) {
  logLine(Step, "store.change_unconfirmed",
          {{"key", std::string(Key)},
           {"outcome", std::string(enumName(Event.Outcome))}});
}

void changeEnded(step_context &Step, const events::change_ended &Event) {
  if (Event.Call == Step.State.Lease.RegisterCall && Event.Call != 0) {
    registrationEnded(Step, Event);
    return;
  }
  if (!coordinatorChangeEnded(Step, Event) && !restoreChangeEnded(Step, Event))
    (void)promotionChangeEnded(Step, Event);
}

void noteReachability(step_context &Step, target_view &Target, bool Answered) {
  group_state *Group = findIn(Step.State.Groups, Target.Entry.Group);
  if (Group == nullptr || !Group->Record ||
      Group->Record->Primary != Target.Entry.Id)
    return;
  if (!Answered)
    suspectPrimary(Step, Target.Entry.Id);
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

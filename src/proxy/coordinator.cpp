/// The coordinator role. The host that holds the role's key in the store, bound
/// to its lease, is the only one that orders promotions.
///
/// The key as the store holds it decides who has the role, and not the answer
/// to the claim: that may be lost, and the claim may be carried out late.
///
/// A coordinator marks a host's record before it has the store end the host's
/// lease. Its successor may see the record only as removed. But leases are
/// revoked only while a group's record is closed, and none is opened before
/// they have ended on their hosts' clocks. So a new coordinator reads all
/// records: a closed one tells that there may be such a lease, for any group.
#include "parts.hpp"

#include <algorithm>
#include <utility>

namespace bronzespar::proxy {

namespace {

/// A new coordinator's first order waits until orders of the previous one have
/// arrived.
constexpr duration MaxOrderDelay = std::chrono::milliseconds(700);
/// Hosts claim a free role one after the other, with this delay between them.
constexpr duration ClaimSpacing = std::chrono::milliseconds(60);
/// Delay after a claim or a return of the role that failed.
constexpr duration ClaimRetryDelay = std::chrono::milliseconds(300);
/// A read of the records that is not answered in time is repeated.
constexpr duration RecordsReadTimeout = std::chrono::milliseconds(1600);
/// Delay after a read of the records that failed.
constexpr duration RecordsRetryDelay = std::chrono::milliseconds(200);
/// The lease must be valid for this much longer when an order is sent.
constexpr duration OrderLeaseMargin = std::chrono::milliseconds(300);

duration claimDelay(const host &State) {
  const auto Own = State.Hosts.find(State.Identity.Name);
  const auto Rank = std::distance(State.Hosts.begin(), Own);
  return ClaimSpacing * std::min<std::ptrdiff_t>(Rank, 8);
}

/// Whether the role's key is bound to this host's present lease.
bool ownsKey(const host &State) {
  return State.Lease.Id != 0 &&
         State.Coordinator.Holder == State.Identity.Name &&
         State.Coordinator.HolderLease == State.Lease.Id;
}

/// Reads what the previous coordinators left: they write nothing more.
void readRecords(step_context &Step) {
  coordinator_state &Role = Step.State.Coordinator;
  Role.NextReadAt = Step.Now + RecordsReadTimeout;
  Role.GroupsCall = nextNumber(Step.State);
  Role.HostsCall = nextNumber(Step.State);
  Step.Out.push_back(
      effects::read_records{Role.GroupsCall, std::string(GroupsPrefix)});
  Step.Out.push_back(
      effects::read_records{Role.HostsCall, std::string(HostsPrefix)});
}

/// Notes whether a previous coordinator left a group's record closed. That can
/// no longer be told once this host has written it.
void lookForClosed(host &State) {
  coordinator_state &Role = State.Coordinator;
  Role.FoundClosed = Role.FoundClosed ||
                     std::any_of(State.Groups.begin(), State.Groups.end(),
                                 [&](const auto &Entry) {
                                   const group_state &Group = Entry.second;
                                   return Group.Record && !Group.Record->Open &&
                                          Group.Revision < Role.FencingToken;
                                 });
}

void delayOrders(step_context &Step) {
  coordinator_state &Role = Step.State.Coordinator;
  Role.RevokedLeasesEnd =
      std::max(Role.RevokedLeasesEnd, Step.Now + Step.State.Lease.TimeToLive);
  Role.OrdersFrom = std::max(Role.OrdersFrom, Role.RevokedLeasesEnd);
}

/// Decides from when on orders may be given. A host that is not listed any more
/// was removed before now, and a mark of one that is listed is known.
void finishReading(step_context &Step) {
  coordinator_state &Role = Step.State.Coordinator;
  lookForClosed(Step.State);
  if (Role.FoundClosed)
    delayOrders(Step);
  Role.OrdersFrom =
      std::max(Role.HeldSince + MaxOrderDelay, Role.RevokedLeasesEnd);
  Role.OrdersFrom = std::max(Role.OrdersFrom, earlierErasEnd(Step.State));
}

void takeRole(step_context &Step) {
  coordinator_state &Role = Step.State.Coordinator;
  Role.IsHeld = true;
  Role.HeldSince = Step.Now;
  Role.FencingToken = Role.Revision;
  Role.OrdersFrom = instant::max();
  Role.FoundClosed = false;
  readRecords(Step);
  logLine(Step, "duty.held", {{"token", std::to_string(Role.FencingToken)}});
}

void loseRole(step_context &Step) {
  coordinator_state &Role = Step.State.Coordinator;
  Role.IsHeld = false;
  logLine(Step, "duty.lost", {{"token", std::to_string(Role.FencingToken)}});
}

/// Handles the answer to the removal of this host's own key.
void returnEnded(step_context &Step, const events::change_ended &Event) {
  coordinator_state &Role = Step.State.Coordinator;
  Role.ReturnCall = 0;
  Role.NextReturnAt = Step.Now + ClaimRetryDelay;
  if (Event.Outcome != change_outcome::Done) {
    logUnconfirmedChange(Step, CoordinatorKey, Event);
    return;
  }
  coordinatorRemoved(Step, Event.Revision);
  logLine(Step, "duty.returned",
          {{"token", std::to_string(Role.FencingToken)}});
}

/// Goes on until the records were read. It runs before any change of a record.
void superviseReading(step_context &Step) {
  coordinator_state &Role = Step.State.Coordinator;
  if (!Role.IsHeld || Role.OrdersFrom != instant::max())
    return;
  lookForClosed(Step.State);
  if (Step.Now >= Role.NextReadAt)
    readRecords(Step);
}

bool canClaim(const host &State) {
  return State.Lease.Id != 0 && State.Lease.GroupsRead &&
         !State.Lease.RegisteredValue.empty() && !State.Stopping;
}

} // namespace

bool isCoordinator(const host &State, instant Now) {
  return State.Coordinator.IsHeld && State.Lease.Id != 0 &&
         Now + OrderLeaseMargin < State.Lease.ValidUntil;
}

void hostLeaseEnded(step_context &Step, const listed_peer &Peer) {
  // A coordinator of an earlier era may have revoked an id that was given out
  // again. This process may have started since.
  const bool MayBeRevoked =
      wasRestored(Step.State) && Step.Now <= earlierErasEnd(Step.State);
  if (Peer.Record.Revoked || MayBeRevoked)
    delayOrders(Step);
}

bool coordinatorRecordsRead(step_context &Step,
                            const events::records_read &Event) {
  coordinator_state &Role = Step.State.Coordinator;
  const bool OfGroups = Event.Call == Role.GroupsCall;
  if (Event.Call == 0 || (!OfGroups && Event.Call != Role.HostsCall))
    return false;
  if (!Event.Answered || Event.Revision < Role.FencingToken) {
    Role.NextReadAt = std::min(Role.NextReadAt, Step.Now + RecordsRetryDelay);
    return true;
  }
  (OfGroups ? Role.GroupsCall : Role.HostsCall) = 0;
  if (OfGroups)
    for (const store_record &Record : Event.Records)
      recordChanged(Step, Record);
  else
    replaceHosts(Step, Event.Records, Event.Revision);
  if (Role.GroupsCall == 0 && Role.HostsCall == 0)
    finishReading(Step);
  return true;
}

void coordinatorChanged(step_context &Step, const store_record &Record) {
  host &State = Step.State;
  coordinator_state &Role = State.Coordinator;
  if (Record.Revision <= Role.Revision)
    return;
  Role.Holder = Record.Value;
  Role.HolderLease = Record.Lease;
  Role.Revision = Record.Revision;
  if (Role.IsHeld)
    loseRole(Step);
  if (ownsKey(State) && !State.Stopping)
    takeRole(Step);
}

void coordinatorRemoved(step_context &Step, std::uint64_t Revision) {
  coordinator_state &Role = Step.State.Coordinator;
  if (Revision <= Role.Revision)
    return;
  Role.PreviousHolder = std::exchange(Role.Holder, {});
  Role.Revision = Revision;
  if (Role.IsHeld)
    loseRole(Step);
}

void forgetCoordinator(step_context &Step) {
  coordinator_state &Role = Step.State.Coordinator;
  if (Role.IsHeld)
    loseRole(Step);
  coordinator_state Forgotten;
  Forgotten.PreviousHolder =
      Role.Holder.empty() ? Role.PreviousHolder : Role.Holder;
  Forgotten.Revision = Role.Revision;
  Forgotten.FencingToken = Role.FencingToken;
  Forgotten.RevokedLeasesEnd = Role.RevokedLeasesEnd;
  Role = std::move(Forgotten);
}

void returnCoordinatorRole(step_context &Step) {
  host &State = Step.State;
  coordinator_state &Role = State.Coordinator;
  if (!ownsKey(State) || Role.ReturnCall != 0 || Step.Now < Role.NextReturnAt ||
      hasOrderUnderWay(State))
    return;
  Role.IsHeld = false;
  Role.ReturnCall = nextNumber(State);
  effects::change_records Change;
  Change.Call = Role.ReturnCall;
  Change.Expected.emplace_back(std::string(CoordinatorKey), Role.Revision);
  Change.Deletes.emplace_back(CoordinatorKey);
  Step.Out.push_back(std::move(Change));
}

void superviseCoordinatorRole(step_context &Step) {
  host &State = Step.State;
  coordinator_state &Role = State.Coordinator;
  if (State.Stopping)
    returnCoordinatorRole(Step);
  superviseReading(Step);
  if (!Role.Holder.empty() || Role.ClaimCall != 0 || !canClaim(State)) {
    if (!Role.Holder.empty())
      Role.NextClaimAt = Step.Now + claimDelay(State);
    return;
  }
  // Hosts that start together would all claim the role at once.
  if (Role.NextClaimAt == instant{})
    Role.NextClaimAt = Step.Now + claimDelay(State);
  if (Step.Now < Role.NextClaimAt)
    return;
  Role.ClaimCall = nextNumber(State);
  Role.ClaimLease = State.Lease.Id;
  effects::change_records Change;
  Change.Call = Role.ClaimCall;
  Change.Lease = Role.ClaimLease;
  Change.Expected.emplace_back(std::string(CoordinatorKey), 0);
  Change.Writes.push_back(
      {std::string(CoordinatorKey), State.Identity.Name, true});
  Step.Out.push_back(std::move(Change));
}

bool coordinatorChangeEnded(step_context &Step,
                            const events::change_ended &Event) {
  coordinator_state &Role = Step.State.Coordinator;
  if (Event.Call != 0 && Event.Call == Role.ReturnCall) {
    returnEnded(Step, Event);
    return true;
  }
  if (Event.Call == 0 || Event.Call != Role.ClaimCall)
    return false;
  Role.ClaimCall = 0;
  Role.NextClaimAt = Step.Now + ClaimRetryDelay;
  if (Event.Outcome == change_outcome::Done)
    coordinatorChanged(Step,
                       {std::string(CoordinatorKey), Step.State.Identity.Name,
                        Event.Revision, Role.ClaimLease});
  else
    logUnconfirmedChange(Step, CoordinatorKey, Event);
  return true;
}

} // namespace bronzespar::proxy

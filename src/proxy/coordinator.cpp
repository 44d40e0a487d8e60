/// The coordinator role. The host that holds the role's key in the store, bound
/// to its lease, is the only one that orders promotions.
///
/// The key as the store holds it decides who has the role, and not the answer
/// to the claim: that may be lost, and the claim may be carried out late.
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

void takeRole(step_context &Step) {
  coordinator_state &Role = Step.State.Coordinator;
  Role.IsHeld = true;
  Role.HeldSince = Step.Now;
  Role.FencingToken = Role.Revision;
  Role.OrdersFrom = std::max(Role.OrdersFrom, Step.Now + MaxOrderDelay);
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
  const host &State = Step.State;
  coordinator_state &Role = Step.State.Coordinator;
  // Marks of earlier coordinators are older than this one's token.
  const bool MayHideMark =
      Role.IsHeld && std::max(State.WatchedRevision, State.HostsReadRevision) <
                         Role.FencingToken;
  if (!Peer.Record.Revoked && !MayHideMark)
    return;
  Role.OrdersFrom =
      std::max(Role.OrdersFrom, Step.Now + Step.State.Lease.TimeToLive);
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

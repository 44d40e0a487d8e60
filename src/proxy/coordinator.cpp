/// The coordinator role. The host that holds the role's key in the store, bound
/// to its lease, is the only one that orders promotions.
#include "parts.hpp"

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// A new coordinator's first order waits until orders of the previous one have
/// arrived.
constexpr duration MaxOrderDelay = std::chrono::milliseconds(700);
/// Hosts claim a free role one after the other, with this delay between them.
constexpr duration ClaimSpacing = std::chrono::milliseconds(60);
/// Delay after a claim that failed.
constexpr duration ClaimRetryDelay = std::chrono::milliseconds(300);
/// The lease must be valid for this much longer when an order is sent.
constexpr duration OrderLeaseMargin = std::chrono::milliseconds(300);

duration claimDelay(const host &State) {
  const auto Own = State.Hosts.find(State.Identity.Name);
  const auto Rank = std::distance(State.Hosts.begin(), Own);
  return ClaimSpacing * std::min<std::ptrdiff_t>(Rank, 8);
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

void superviseCoordinatorRole(step_context &Step) {
  host &State = Step.State;
  coordinator_state &Role = State.Coordinator;
  if (Role.IsHeld && Role.Holder.empty() && Role.ClaimCall == 0 &&
      Step.Now > Role.NextClaimAt) {
    Role.IsHeld = false;
    logLine(Step, "duty.lost", {{"token", std::to_string(Role.FencingToken)}});
  }
  if (Role.IsHeld || !Role.Holder.empty() || Role.ClaimCall != 0 ||
      !canClaim(State)) {
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
  effects::change_records Change;
  Change.Call = Role.ClaimCall;
  Change.Lease = State.Lease.Id;
  Change.Expected.emplace_back(std::string(CoordinatorKey), 0);
  Change.Writes.push_back(
      {std::string(CoordinatorKey), State.Identity.Name, true});
  Step.Out.push_back(std::move(Change));
}

bool coordinatorChangeEnded(step_context &Step,
                            const events::change_ended &Event) {
  coordinator_state &Role = Step.State.Coordinator;
  if (Event.Call == 0 || Event.Call != Role.ClaimCall)
    return false;
  Role.ClaimCall = 0;
  Role.NextClaimAt = Step.Now + ClaimRetryDelay;
  if (Event.Outcome != change_outcome::Done) {
    logUnconfirmedChange(Step, CoordinatorKey, Event);
    return true;
  }
  Role.IsHeld = true;
  Role.Holder = Step.State.Identity.Name;
  Role.FencingToken = Event.Revision;
  Role.Revision = Event.Revision;
  Role.OrdersFrom = Step.Now + MaxOrderDelay;
  Role.NextClaimAt = Step.Now + Step.State.Lease.TimeToLive;
  logLine(Step, "duty.held", {{"token", std::to_string(Role.FencingToken)}});
  return true;
}

} // namespace bronzespar::proxy

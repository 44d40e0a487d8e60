/// Duty to order promotions: one host holds it, under its lease.
#include "parts.hpp"

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// A new holder's first order waits until the last one's have arrived.
constexpr duration MaxOrderDelay = std::chrono::milliseconds(700);
/// Hosts claim a free duty one after the other.
constexpr duration ClaimSpacing = std::chrono::milliseconds(60);
constexpr duration ClaimRetryDelay = std::chrono::milliseconds(300);
/// The lease must last this much longer when an order is sent.
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
  coordinator_state &Duty = State.Coordinator;
  if (Duty.IsHeld && Duty.Holder.empty() && Duty.ClaimCall == 0 &&
      Step.Now > Duty.NextClaimAt) {
    Duty.IsHeld = false;
    logLine(Step, "duty.lost", {{"token", std::to_string(Duty.FencingToken)}});
  }
  if (Duty.IsHeld || !Duty.Holder.empty() || Duty.ClaimCall != 0 ||
      !canClaim(State)) {
    if (!Duty.Holder.empty())
      Duty.NextClaimAt = Step.Now + claimDelay(State);
    return;
  }
  if (Step.Now < Duty.NextClaimAt)
    return;
  Duty.ClaimCall = nextNumber(State);
  effects::change_records Change;
  Change.Call = Duty.ClaimCall;
  Change.Lease = State.Lease.Id;
  Change.Expected.emplace_back(std::string(CoordinatorKey), 0);
  Change.Writes.push_back(
      {std::string(CoordinatorKey), State.Identity.Name, true});
  Step.Out.push_back(std::move(Change));
}

bool coordinatorChangeEnded(step_context &Step,
                            const events::change_ended &What) {
  coordinator_state &Duty = Step.State.Coordinator;
  if (What.Call == 0 || What.Call != Duty.ClaimCall)
    return false;
  Duty.ClaimCall = 0;
  Duty.NextClaimAt = Step.Now + ClaimRetryDelay;
  if (What.Outcome != change_outcome::Done)
    return true;
  Duty.IsHeld = true;
  Duty.Holder = Step.State.Identity.Name;
  Duty.FencingToken = What.Revision;
  Duty.OrdersFrom = Step.Now + MaxOrderDelay;
  Duty.NextClaimAt = Step.Now + Step.State.Lease.TimeToLive;
  logLine(Step, "duty.held", {{"token", std::to_string(Duty.FencingToken)}});
  return true;
}

} // namespace bronzespar::proxy

/// The coordinator role. The host that holds the role's key in the store, bound
/// to its lease, is the only one that orders promotions.
#include "parts.hpp"

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// A new coordinator's first order waits until orders of the previous one have
/// arrived.
constexpr duration OrdersArrive = std::chrono::milliseconds(700);
/// Hosts claim a free role one after the other, with this delay between them.
constexpr duration ClaimSpacing = std::chrono::milliseconds(60);
/// Delay after a claim that failed.
constexpr duration ClaimPause = std::chrono::milliseconds(300);
/// The lease must be valid for this much longer when an order is sent.
constexpr duration OrderMargin = std::chrono::milliseconds(300);

duration claimDelay(const host &State) {
  const auto Own = State.Hosts.find(State.Identity.Name);
  const auto Rank = std::distance(State.Hosts.begin(), Own);
  return ClaimSpacing * std::min<std::ptrdiff_t>(Rank, 8);
}

bool canClaim(const host &State) {
  return State.Lease.Lease != 0 && State.Lease.GroupsRead &&
         !State.Lease.Registered.empty() && !State.Stopping;
}

} // namespace

bool holdsDuty(const host &State, instant Now) {
  return State.Duty.Held && State.Lease.Lease != 0 &&
         Now + OrderMargin < State.Lease.ValidUntil;
}

void superviseDuty(step_context &Step) {
  host &State = Step.State;
  duty_state &Duty = State.Duty;
  if (Duty.Held && Duty.Holder.empty() && Duty.ClaimCall == 0 &&
      Step.Now > Duty.NextClaim) {
    Duty.Held = false;
    logLine(Step, "duty.lost", {{"token", std::to_string(Duty.Token)}});
  }
  if (Duty.Held || !Duty.Holder.empty() || Duty.ClaimCall != 0 ||
      !canClaim(State)) {
    if (!Duty.Holder.empty())
      Duty.NextClaim = Step.Now + claimDelay(State);
    return;
  }
  if (Step.Now < Duty.NextClaim)
    return;
  Duty.ClaimCall = nextNumber(State);
  effects::change_records Change;
  Change.Call = Duty.ClaimCall;
  Change.Lease = State.Lease.Lease;
  Change.Expected.emplace_back(std::string(DutyKey), 0);
  Change.Writes.push_back({std::string(DutyKey), State.Identity.Name, true});
  Step.Out.push_back(std::move(Change));
}

bool dutyChangeEnded(step_context &Step, const events::change_ended &Event) {
  duty_state &Duty = Step.State.Duty;
  if (Event.Call == 0 || Event.Call != Duty.ClaimCall)
    return false;
  Duty.ClaimCall = 0;
  Duty.NextClaim = Step.Now + ClaimPause;
  if (Event.Outcome != change_outcome::Done)
    return true;
  Duty.Held = true;
  Duty.Holder = Step.State.Identity.Name;
  Duty.Token = Event.Revision;
  Duty.ActAfter = Step.Now + OrdersArrive;
  Duty.NextClaim = Step.Now + Step.State.Lease.TimeToLive;
  logLine(Step, "duty.held", {{"token", std::to_string(Duty.Token)}});
  return true;
}

} // namespace bronzespar::proxy

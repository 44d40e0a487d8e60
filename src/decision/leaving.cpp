/// Planned shutdown (leaving). The readiness check fails and heartbeats
/// announce it at once; the host serves requests that still arrive until no
/// work is open, for LeaveTimeout at most. A moment without work may never
/// come, so requests that might end after that are refused.
#include "leaving.hpp"
#include "bounds.hpp"
#include "entry.hpp"
#include "pools.hpp"
#include "runs.hpp"

#include <algorithm>

namespace bronzespar::impl {

namespace {

bool hasOpenWork(const host_state &State) {
  return !State.Requests.empty() || !State.Runs.empty() ||
         !State.Transactions.empty();
}

void retireTransactionConnections(context &Context) {
  std::vector<connection_ref> Connections;
  for (const auto &[Number, Transaction] : Context.State.Transactions)
    Connections.push_back(Transaction.Connection);
  for (const connection_ref Ref : Connections)
    dispatchConnectionEvent(Context, Context.State.Connections.at(Ref),
                            connection_event::Retired);
}

/// Ends all open work with answers that still say correctly whether a statement
/// ran, did not run, or may have run.
void endOpenWork(context &Context) {
  retireTransactionConnections(Context);
  std::vector<std::uint64_t> Runs;
  for (const auto &[Number, Run] : Context.State.Runs)
    Runs.push_back(Number);
  std::sort(Runs.begin(), Runs.end());
  for (const std::uint64_t Number : Runs) {
    statement_run &Run = Context.State.Runs.at(Number);
    if (Run.Cause == refusal_cause::None)
      Run.Cause = refusal_cause::HostLeaving;
    dispatchRunEvent(Context, Run, run_event::DeadlinePassed);
  }
  std::vector<std::uint64_t> Requests;
  for (const auto &[Number, Request] : Context.State.Requests)
    Requests.push_back(Number);
  std::sort(Requests.begin(), Requests.end());
  for (const std::uint64_t Number : Requests)
    dispatchRequestEvent(Context, Context.State.Requests.at(Number),
                         request_event::DeadlinePassed);
}

void stop(context &Context) {
  Context.State.Stopped = true;
  emit(Context, effects::stop_process{});
}

} // namespace

bool mayStopBefore(const host_state &State, instant Deadline) {
  return State.Phase == host_phase::Leaving &&
         (State.Stopped || Deadline > State.LeavingSince + LeaveTimeout);
}

void leaveRequested(context &Context) {
  host_state &State = Context.State;
  if (State.Phase == host_phase::Leaving)
    return;
  State.Phase = host_phase::Leaving;
  State.Membership.Phase = host_phase::Leaving;
  State.Ready = false;
  State.LeavingSince = Context.Now;
  emit(Context, effects::set_ready{false});
  writeLog(Context, effects::log_severity::Info, "leaving", {});
}

void tickLeaving(context &Context) {
  host_state &State = Context.State;
  if (State.Phase != host_phase::Leaving || State.Stopped)
    return;
  const duration Elapsed = Context.Now - State.LeavingSince;
  if (Elapsed < LeaveGracePeriod)
    return;
  if (hasOpenWork(State) && Elapsed < LeaveTimeout)
    return;
  endOpenWork(Context);
  stop(Context);
}

} // namespace bronzespar::impl

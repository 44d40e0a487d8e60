/// Runs of statements at the pool owner: admission to the queue, slots, and the
/// state chart of a run.
#include "runs.hpp"
#include "bounds.hpp"
#include "leaving.hpp"
#include "pools.hpp"
#include "transactions.hpp"

#include <algorithm>

namespace bronzespar::impl {

namespace {

double weightOf(const context &Context, const account_id &Account) {
  const account_settings *Settings = findAccount(Context.State.Fleet, Account);
  return Settings == nullptr ? 1.0 : Settings->Weight;
}

trace_stage stageOf(run_state State) {
  switch (State) {
  case run_state::Queued:
    return trace_stage::Queue;
  case run_state::Connecting:
    return trace_stage::Connection;
  case run_state::Running:
    return trace_stage::Target;
  default:
    return trace_stage::Confirm;
  }
}

void closeStage(statement_run &Run, instant Now) {
  if (Now > Run.StageStartedAt)
    Run.Spans.push_back({stageOf(Run.State), Now - Run.StageStartedAt});
  Run.StageStartedAt = Now;
}

void detachFromTransaction(context &Context, const statement_run &Run) {
  const auto Found = Context.State.Transactions.find(Run.Transaction);
  if (Found != Context.State.Transactions.end() &&
      Found->second.Run == Run.Number)
    Found->second.Run = 0;
}

void enterState(context &Context, statement_run &Run, run_state Next) {
  closeStage(Run, Context.Now);
  if (Next == run_state::Confirming)
    Context.State.ConfirmingRuns.insert(Run.Number);
  if (Next == run_state::Finished) {
    if (target_pool *Pool = findPool(Context, Run.Request.Target)) {
      if (Run.State == run_state::Queued)
        removeItem(Pool->Queue, Run.Number);
      cancelConnectionWait(*Pool, Run.Number);
      if (Run.CountedAsBegin)
        --Pool->BeginsAdmitted;
    }
    detachFromTransaction(Context, Run);
    Context.State.ConfirmingRuns.erase(Run.Number);
    Context.State.FinishedRuns.push_back(Run.Number);
  }
  Run.State = Next;
}

void releaseSlot(context &Context, statement_run &Run) {
  if (!Run.HoldsSlot)
    return;
  Run.HoldsSlot = false;
  target_pool *Pool = findPool(Context, Run.Request.Target);
  if (Pool == nullptr)
    return;
  --Pool->SlotsUsed;
  if (Run.SentAt == instant{})
    return;
  const double Actual = toMilliseconds(Context.Now - Run.SentAt);
  correctCost(Pool->Queue, Run.Request.Account, Run.ExpectedMs, Actual);
  Pool->SmoothedStatementMs +=
      StatementTimeSmoothing *
      (std::max(Actual, 0.01) - Pool->SmoothedStatementMs);
}

void setCauseIfNone(statement_run &Run, refusal_cause Cause,
                    const char *Detail) {
  if (Run.Cause != refusal_cause::None)
    return;
  Run.Cause = Cause;
  Run.Detail = Detail;
}

void reportNotRun(context &Context, statement_run &Run) {
  if (Run.Transaction != 0)
    setCauseIfNone(Run, refusal_cause::TransactionLost,
                   "The transaction ended before the statement was sent.");
  setCauseIfNone(Run, refusal_cause::NoPrimary,
                 "The target was superseded before the statement was sent.");
  reportRun(Context, Run, run_outcome::NotRun);
}

void reportLost(context &Context, statement_run &Run) {
  const statement_kind Kind = Run.Request.Kind;
  if (Run.Answer.Position != log_position{})
    setCauseIfNone(Run, refusal_cause::NoPrimary,
                   "The term ended before a majority confirmed the position.");
  if (Run.Transaction != 0)
    setCauseIfNone(Run, refusal_cause::TransactionLost,
                   "The transaction's connection was lost.");
  setCauseIfNone(Run, refusal_cause::ConnectionLost,
                 "The connection was lost before an answer came.");
  // The target rolls an uncommitted transaction back when its connection
  // closes, so none of its statements took effect.
  const bool Open = Run.Transaction != 0 && Kind != statement_kind::Commit;
  const bool RolledBack = Open || Kind == statement_kind::Begin;
  reportRun(Context, Run,
            RolledBack ? run_outcome::NotRun : run_outcome::Unknown);
}

void retireRunConnection(context &Context, const statement_run &Run) {
  const auto Found = Context.State.Connections.find(Run.Connection);
  if (Found != Context.State.Connections.end() &&
      Found->second.Run == Run.Number)
    dispatchConnectionEvent(Context, Found->second, connection_event::Retired);
}

void performAction(context &Context, statement_run &Run, run_action Action) {
  switch (Action) {
  case run_action::FindConnection:
    findConnection(Context, Context.State.Pools.at(Run.Request.Target), Run);
    return;
  case run_action::ReleaseSlot:
    releaseSlot(Context, Run);
    return;
  case run_action::AwaitMajority:
    if (Run.Request.Kind == statement_kind::Read)
      Run.Deadline = std::min(Run.Deadline, Context.Now + MaxReadConfirmWait);
    return;
  case run_action::ReportDone:
    reportRun(Context, Run, run_outcome::Ran);
    return;
  case run_action::ReportNotRun:
    reportNotRun(Context, Run);
    return;
  case run_action::ReportLost:
    reportLost(Context, Run);
    return;
  case run_action::CloseConnection:
    retireRunConnection(Context, Run);
    return;
  }
}

void refuseQueueFull(context &Context, statement_run &Run, double WaitMs) {
  refuseRun(Context, Run, refusal_cause::QueueFull,
            "The wait for the target would pass the deadline; it is about " +
                std::to_string(static_cast<long>(WaitMs)) + " ms.");
}

void enqueueRun(context &Context, target_pool &Pool, statement_run &Run) {
  const double Weight = weightOf(Context, Run.Request.Account);
  const double WaitMs =
      expectedWaitMs(Pool.Queue, Run.Request.Account, Weight,
                     Pool.SmoothedStatementMs, Pool.Target.Slots);
  const double TimeLeftMs = toMilliseconds(Run.Deadline - Context.Now);
  if (WaitMs > TimeLeftMs || Pool.Queue.Size >= MaxQueueLength) {
    refuseQueueFull(Context, Run, WaitMs);
    return;
  }
  Run.ExpectedMs = Pool.SmoothedStatementMs;
  Pool.LastUsed = Context.Now;
  enqueue(Pool.Queue,
          {Run.Number, Run.Request.Account, Run.Request.Class, std::string(),
           Run.ExpectedMs, Run.Deadline},
          Weight);
  grantSlots(Context, Pool);
}

/// Queues waiting Begin statements as soon as the pool can pin a connection for
/// them.
void admitWaitingBegins(context &Context, target_pool &Pool) {
  while (!Pool.DelayedBegins.empty() && hasTransactionCapacity(Pool)) {
    const auto Found = Context.State.Runs.find(Pool.DelayedBegins.front());
    Pool.DelayedBegins.pop_front();
    if (Found == Context.State.Runs.end() ||
        Found->second.State != run_state::Queued)
      continue;
    Found->second.CountedAsBegin = true;
    ++Pool.BeginsAdmitted;
    enqueueRun(Context, Pool, Found->second);
  }
}

void admitRun(context &Context, target_pool &Pool, statement_run &Run) {
  if (Run.Transaction != 0) {
    enqueueRun(Context, Pool, Run);
    return;
  }
  if (!acceptsNewWork(Context, Pool.Target)) {
    refuseRun(Context, Run, refusal_cause::TargetRefused,
              "The target is leaving.");
    return;
  }
  if (Run.Request.Kind != statement_kind::Begin) {
    enqueueRun(Context, Pool, Run);
    return;
  }
  Pool.DelayedBegins.push_back(Run.Number);
  admitWaitingBegins(Context, Pool);
}

statement_run &makeRun(context &Context, const host_id &From,
                       const forward_request &Request) {
  host_state &State = Context.State;
  const std::uint64_t Number = State.NextNumber++;
  statement_run &Run = State.Runs[Number];
  Run.Number = Number;
  Run.EntryHost = From;
  Run.Request = Request;
  Run.State = State.Charts.Run.Initial;
  Run.StartedAt = Context.Now;
  Run.StageStartedAt = Context.Now;
  Run.Deadline = Context.Now + Request.TimeLeft;
  return Run;
}

} // namespace

void dispatchRunEvent(context &Context, statement_run &Run, run_event Event) {
  const auto *Transition = Context.State.Charts.Run.find(
      Run.State, Event, [&](run_guard) { return !isDurable(Context, Run); });
  if (Transition == nullptr)
    return;
  enterState(Context, Run, Transition->Target);
  for (const run_action Action : Transition->Actions)
    performAction(Context, Run, Action);
}

void startRun(context &Context, const host_id &From,
              const forward_request &Request) {
  statement_run &Run = makeRun(Context, From, Request);
  if (mayStopBefore(Context.State, Run.Deadline)) {
    refuseRun(Context, Run, refusal_cause::HostLeaving, LeavingDetail);
    return;
  }
  if (!Request.Transaction.empty()) {
    if (!joinTransaction(Context, Run))
      return;
  }
  target_pool *Pool = findPool(Context, Run.Request.Target);
  if (Pool == nullptr) {
    refuseRun(Context, Run, refusal_cause::NoTarget,
              "The target is not in this host's settings.");
    return;
  }
  admitRun(Context, *Pool, Run);
}

void refuseRun(context &Context, statement_run &Run, refusal_cause Cause,
               std::string Detail) {
  Run.Cause = Cause;
  Run.Detail = std::move(Detail);
  dispatchRunEvent(Context, Run, run_event::Refused);
}

void grantSlots(context &Context, target_pool &Pool) {
  admitWaitingBegins(Context, Pool);
  while (Pool.SlotsUsed < Pool.Target.Slots) {
    const auto Item = dequeue(Pool.Queue);
    if (!Item)
      return;
    const auto Found = Context.State.Runs.find(Item->Ticket);
    if (Found == Context.State.Runs.end() ||
        Found->second.State != run_state::Queued)
      continue;
    ++Pool.SlotsUsed;
    Found->second.HoldsSlot = true;
    dispatchRunEvent(Context, Found->second, run_event::SlotGranted);
  }
}

instant overdueAt(const target_pool &Pool, const statement_run &Run) {
  const statement_kind Kind = Run.Request.Kind;
  const bool Repeatable =
      Run.Transaction == 0 &&
      (Kind == statement_kind::Read || Kind == statement_kind::Begin ||
       !Run.Request.IdempotencyKey.empty());
  const duration UsualTimeout(static_cast<std::int64_t>(
      Pool.SmoothedStatementMs * StatementTimeoutFactor * 1000));
  const duration Timeout = std::max(Repeatable ? IdempotentStatementTimeout
                                               : NonIdempotentStatementTimeout,
                                    UsualTimeout);
  return std::min(Run.SentAt + Timeout, Run.Deadline);
}

void tickRuns(context &Context) {
  std::vector<std::uint64_t> Expired;
  for (const auto &[Number, Run] : Context.State.Runs)
    if (Context.Now >= Run.Deadline && Run.State != run_state::Running)
      Expired.push_back(Number);
  std::sort(Expired.begin(), Expired.end());
  for (const std::uint64_t Number : Expired) {
    statement_run &Run = Context.State.Runs.at(Number);
    Run.Cause = refusal_cause::DeadlineExceeded;
    Run.Detail = Run.State == run_state::Confirming
                     ? "No majority confirmed the position in time."
                     : "The deadline passed before the statement was sent.";
    dispatchRunEvent(Context, Run, run_event::DeadlinePassed);
  }
}

void eraseFinishedRuns(context &Context) {
  for (const std::uint64_t Number : Context.State.FinishedRuns)
    Context.State.Runs.erase(Number);
  Context.State.FinishedRuns.clear();
}

} // namespace bronzespar::impl

/// Requests at their entry host: events through the chart, attempts, deadlines.
#include "entry.hpp"
#include "bounds.hpp"
#include "rates.hpp"
#include "runs.hpp"
#include "transactions.hpp"

#include <algorithm>

namespace bronzespar::impl {

namespace {

bool isWaiting(request_state State) {
  return State == request_state::CatchingUp ||
         State == request_state::AwaitingPrimary ||
         State == request_state::BackingOff;
}

/// True if an attempt that certainly did not run may be made elsewhere.
bool canMoveToOtherMember(const entry_request &Request) {
  if (!Request.Request.Transaction.empty())
    return false;
  switch (Request.LatestAnswer.Cause) {
  case refusal_cause::NoPrimary:
  case refusal_cause::NoTarget:
  case refusal_cause::ConnectionLost:
  case refusal_cause::CatchUpTimeout:
  case refusal_cause::TargetRefused:
  case refusal_cause::HostLeaving:
  case refusal_cause::NotConfigured:
    return true;
  default:
    return false;
  }
}

duration backOff(const entry_request &Request) {
  duration Delay = InitialBackOff;
  for (std::uint32_t Try = 1; Try < Request.Trace.Attempts; ++Try)
    Delay = std::min(Delay * 2, MaxBackOff);
  return Delay;
}

bool hasTimeLeft(const context &Context, const entry_request &Request) {
  return Context.Now + backOff(Request) < Request.Deadline;
}

bool mayRetry(const context &Context, entry_request &Request) {
  if (!isIdempotent(Request.Request) || !hasTimeLeft(Context, Request))
    return false;
  if (Context.State.RetryBudget.Tokens >= 1)
    return true;
  Request.LatestAnswer.Cause = refusal_cause::RetryBudgetSpent;
  Request.LatestAnswer.Detail = "Too many requests are being sent again.";
  return false;
}

bool evaluateGuard(const context &Context, entry_request &Request,
                   request_guard Guard) {
  if (Guard == request_guard::MayMove)
    return canMoveToOtherMember(Request) && hasTimeLeft(Context, Request);
  return mayRetry(Context, Request);
}

/// Plans the next attempt; a repeat is paid for by the budget.
void planRetry(context &Context, entry_request &Request) {
  Request.RetryAt = Context.Now + backOff(Request);
  Request.AvoidedTarget = Request.Target;
  const bool Read = Request.Request.Kind == statement_kind::Read;
  Request.BackOffStage = Read ? trace_stage::Queue : trace_stage::Failover;
  if (Request.LatestAnswer.Outcome == run_outcome::Unknown)
    Context.State.RetryBudget.Tokens -= 1;
}

void refuseForDeadline(entry_request &Request, request_state From) {
  forward_answer &Last = Request.LatestAnswer;
  Last.Outcome = From == request_state::AtOwner ? run_outcome::Unknown
                                                : run_outcome::NotRun;
  Last.Cause = refusal_cause::DeadlineExceeded;
  Last.Detail = "The deadline passed before an answer came.";
  if (From == request_state::AwaitingPrimary) {
    Last.Cause = refusal_cause::NoPrimary;
    Last.Detail = "The group had no primary before the deadline.";
  }
  if (From == request_state::CatchingUp) {
    Last.Cause = refusal_cause::CatchUpTimeout;
    Last.Detail = "No member caught up with the session in time.";
  }
}

void performAction(context &Context, entry_request &Request, request_state From,
                   request_action Action) {
  switch (Action) {
  case request_action::ChooseTarget:
    dispatchRequestEvent(Context, Request, chooseTarget(Context, Request));
    return;
  case request_action::SendToOwner:
    sendToOwner(Context, Request);
    return;
  case request_action::PlanRetry:
    planRetry(Context, Request);
    return;
  case request_action::StopAwaitingRate:
    stopAwaitingRate(Context, Request);
    return;
  case request_action::AnswerDeadline:
    refuseForDeadline(Request, From);
    answerCaller(Context, Request);
    return;
  case request_action::AnswerSuccess:
  case request_action::AnswerRefusal:
    answerCaller(Context, Request);
    return;
  }
}

trace_stage stageOf(const entry_request &Request, request_state State) {
  switch (State) {
  case request_state::CatchingUp:
    return trace_stage::CatchUp;
  case request_state::AwaitingPrimary:
    return trace_stage::Failover;
  case request_state::BackingOff:
    return Request.BackOffStage;
  case request_state::AtOwner:
    return trace_stage::PeerHop;
  default:
    return trace_stage::Rate;
  }
}

void changeLoad(context &Context, const target_id &Target, int Change) {
  if (Target.empty())
    return;
  std::uint32_t &Load = Context.State.Load[Target];
  if (Change > 0)
    ++Load;
  else if (Load > 0)
    --Load;
}

void enterState(context &Context, entry_request &Request, request_state Next) {
  const request_state From = Request.State;
  closeStage(Request, stageOf(Request, From), Context.Now);
  if (From == request_state::AtOwner) {
    changeLoad(Context, Request.Target, -1);
    Context.State.RequestByForward.erase(Request.ForwardId);
  }
  Request.State = Next;
  if (isWaiting(Next))
    Context.State.WaitingRequests.insert(Request.Number);
  else if (isWaiting(From))
    Context.State.WaitingRequests.erase(Request.Number);
  if (Next == request_state::AtOwner)
    changeLoad(Context, Request.Target, +1);
  if (Next == request_state::Finished)
    Context.State.FinishedRequests.push_back(Request.Number);
}

/// Checks the request and asks for a token of its account's rate.
request_event admit(context &Context, entry_request &Request) {
  const refusal Refusal = checkRequest(Context, Request);
  if (Refusal.Cause == refusal_cause::None)
    return requestRateToken(Context, Request);
  Request.LatestAnswer.Cause = Refusal.Cause;
  Request.LatestAnswer.Detail = Refusal.Detail;
  Request.LatestAnswer.RetryAfter = Refusal.RetryAfter;
  Request.Trace.Setting = Refusal.Setting;
  return request_event::Refused;
}

void addRetryTokens(retry_budget &Budget) {
  Budget.Tokens =
      std::min(Budget.Tokens + RetryTokensPerRequest, MaxRetryTokens);
}

} // namespace

bool isIdempotent(const caller_request &Request) {
  if (!Request.Transaction.empty())
    return false;
  if (Request.Kind == statement_kind::Read ||
      Request.Kind == statement_kind::Begin)
    return true;
  return !Request.IdempotencyKey.empty();
}

void dispatchRequestEvent(context &Context, entry_request &Request,
                          request_event Event) {
  const auto *Transition = Context.State.Charts.Request.find(
      Request.State, Event, [&](request_guard Guard) {
        return evaluateGuard(Context, Request, Guard);
      });
  if (Transition == nullptr)
    return;
  const request_state From = Request.State;
  if (Event == request_event::Accepted)
    addRetryTokens(Context.State.RetryBudget);
  enterState(Context, Request, Transition->Target);
  for (const request_action Action : Transition->Actions)
    performAction(Context, Request, From, Action);
}

void requestArrived(context &Context, const events::request_arrived &Event) {
  host_state &State = Context.State;
  const std::uint64_t Number = State.NextNumber++;
  entry_request &Request = State.Requests[Number];
  Request.Number = Number;
  Request.Caller = Event.Caller;
  Request.Request = Event.Request;
  Request.State = State.Charts.Request.Initial;
  Request.ArrivedAt = Context.Now;
  Request.StageStartedAt = Context.Now;
  State.RequestByCaller[Event.Caller] = Number;
  dispatchRequestEvent(Context, Request, admit(Context, Request));
}

void callerDisconnected(context &Context,
                        const events::caller_disconnected &Event) {
  const auto Found = Context.State.RequestByCaller.find(Event.Caller);
  if (Found == Context.State.RequestByCaller.end())
    return;
  entry_request &Request = Context.State.Requests.at(Found->second);
  dispatchRequestEvent(Context, Request, request_event::CallerGone);
}

void groupChanged(context &Context, const group_id &Group) {
  const std::set<std::uint64_t> Waiting = Context.State.WaitingRequests;
  for (const std::uint64_t Number : Waiting) {
    entry_request &Request = Context.State.Requests.at(Number);
    if (Request.Route.Group == Group &&
        Request.State != request_state::BackingOff)
      dispatchRequestEvent(Context, Request, request_event::ViewChanged);
  }
}

void tickRequests(context &Context) {
  std::vector<std::uint64_t> Numbers;
  Numbers.reserve(Context.State.Requests.size());
  for (const auto &[Number, Request] : Context.State.Requests)
    Numbers.push_back(Number);
  std::sort(Numbers.begin(), Numbers.end());
  for (const std::uint64_t Number : Numbers) {
    entry_request &Request = Context.State.Requests.at(Number);
    if (Context.Now >= Request.Deadline)
      dispatchRequestEvent(Context, Request, request_event::DeadlinePassed);
    else if (isWaiting(Request.State) && Context.Now >= Request.RetryAt)
      dispatchRequestEvent(Context, Request, request_event::ViewChanged);
  }
}

void eraseFinishedRequests(context &Context) {
  host_state &State = Context.State;
  for (const std::uint64_t Number : State.FinishedRequests) {
    const auto Found = State.Requests.find(Number);
    if (Found == State.Requests.end())
      continue;
    State.RequestByCaller.erase(Found->second.Caller);
    State.WaitingRequests.erase(Number);
    State.Requests.erase(Found);
  }
  State.FinishedRequests.clear();
}

} // namespace bronzespar::impl

/// Attempts sent to pool owners, the owners' answers, and the answer to the
/// caller.
#include "bounds.hpp"
#include "entry.hpp"
#include "runs.hpp"
#include "traces.hpp"

#include <algorithm>
#include <numeric>

namespace bronzespar::impl {

namespace {

forward_request makeForward(const context &Context,
                            const entry_request &Request) {
  forward_request Forwarded;
  Forwarded.ForwardId = Request.ForwardId;
  Forwarded.Id = Request.Request.Id;
  Forwarded.Account = Request.Account;
  Forwarded.Route = Request.Route.Id;
  Forwarded.Class = Request.Route.Class;
  Forwarded.Group = Request.Route.Group;
  Forwarded.Target = Request.Target;
  Forwarded.Kind = Request.Request.Kind;
  Forwarded.Row = Request.Request.Row;
  Forwarded.Value = Request.Request.Value;
  Forwarded.IdempotencyKey = Request.Request.IdempotencyKey;
  Forwarded.Term = Request.Term;
  Forwarded.RequiredPosition =
      sessionPositionOf(Request.Session, Request.Route.Group);
  Forwarded.TimeLeft = Request.Deadline - Context.Now - AnswerReturnMargin;
  Forwarded.Transaction = Request.Request.Transaction;
  return Forwarded;
}

bool isConnected(const context &Context, const host_id &Host) {
  for (const peer_view &Peer : Context.State.Membership.Peers)
    if (Peer.Id == Host)
      return Peer.Connected;
  return false;
}

void refuseForUnreachableOwner(context &Context, entry_request &Request) {
  forward_answer &Latest = Request.LatestAnswer;
  Latest = forward_answer();
  const bool InTransaction = !Request.Request.Transaction.empty();
  Latest.Cause =
      InTransaction ? refusal_cause::TransactionLost : refusal_cause::NoTarget;
  Latest.Detail =
      "The host that holds the target's connections is not reached.";
  dispatchRequestEvent(Context, Request, request_event::NotRun);
}

/// True unless a read returned data older than the session's position or the
/// request's maximum age allows.
bool meetsReadRequirements(const context &Context, const entry_request &Request,
                           const forward_answer &Answer) {
  if (Request.Request.Kind != statement_kind::Read ||
      !Request.Request.Transaction.empty())
    return true;
  if (Answer.Position < sessionPositionOf(Request.Session, Request.Route.Group))
    return false;
  if (!Request.Request.MaxAge)
    return true;
  const auto View = Context.State.Groups.find(Request.Route.Group);
  if (View == Context.State.Groups.end())
    return false;
  const auto Since = freshAsOf(View->second, Answer.Position);
  return Since && Context.Now - *Since <= *Request.Request.MaxAge;
}

/// True if a successful answer advances the session's position. Statements
/// inside a transaction do not: other sessions cannot see their effects yet.
bool advancesSession(const entry_request &Request) {
  const statement_kind Kind = Request.Request.Kind;
  if (Kind == statement_kind::Begin || Kind == statement_kind::Rollback)
    return false;
  return Request.Request.Transaction.empty() || Kind == statement_kind::Commit;
}

std::string roleOf(const context &Context, const entry_request &Request) {
  if (Request.LatestAnswer.Cause != refusal_cause::None)
    return {};
  const auto View = Context.State.Groups.find(Request.Route.Group);
  if (View == Context.State.Groups.end())
    return {};
  for (const member_view &Member : View->second.Members)
    if (Member.Target == Request.Target && Member.Report)
      return std::string(enumName(Member.Report->Role));
  return std::string(enumName(member_role::Primary));
}

void acceptAnswer(context &Context, entry_request &Request) {
  if (advancesSession(Request))
    raiseSessionPosition(Request.Session, Request.Route.Group,
                         Request.LatestAnswer.Position);
  dispatchRequestEvent(Context, Request, request_event::Answered);
}

/// Handles a read that succeeded but returned data older than the session
/// needs: another member is tried.
void rejectStaleAnswer(context &Context, entry_request &Request) {
  Request.LatestAnswer = forward_answer();
  Request.LatestAnswer.Cause = refusal_cause::CatchUpTimeout;
  Request.LatestAnswer.Detail =
      "No member had data as recent as the session needs.";
  dispatchRequestEvent(Context, Request, request_event::NotRun);
}

std::string sessionTokenFor(const context &Context,
                            const entry_request &Request, bool Advanced) {
  if (!Advanced)
    return Request.Request.SessionToken;
  return encodeToken(Request.Session, Context.State.Fleet.TokenKey);
}

} // namespace

void sendToOwner(context &Context, entry_request &Request) {
  host_state &State = Context.State;
  Request.ForwardId = State.NextForward++;
  Request.SentAt = Context.Now;
  ++Request.Trace.Attempts;
  State.RequestByForward[Request.ForwardId] = Request.Number;
  const forward_request Forwarded = makeForward(Context, Request);
  if (Request.Owner == State.Self.Id) {
    startRun(Context, State.Self.Id, Forwarded);
    return;
  }
  if (!isConnected(Context, Request.Owner)) {
    refuseForUnreachableOwner(Context, Request);
    return;
  }
  emit(Context, effects::send_peer_message{Request.Owner, Forwarded});
}

void ownerAnswered(context &Context, const host_id &From,
                   const forward_answer &Answer) {
  const auto Found = Context.State.RequestByForward.find(Answer.ForwardId);
  if (Found == Context.State.RequestByForward.end())
    return;
  entry_request &Request = Context.State.Requests.at(Found->second);
  if (Request.Owner != From)
    return;
  closeOwnerStages(Request, Answer.Spans, Context.Now);
  Request.LatestAnswer = Answer;
  if (Answer.Outcome == run_outcome::Unknown) {
    Request.MayHaveRun = true;
    dispatchRequestEvent(Context, Request, request_event::Lost);
  } else if (Answer.Cause != refusal_cause::None) {
    dispatchRequestEvent(Context, Request, request_event::NotRun);
  } else if (meetsReadRequirements(Context, Request, Answer)) {
    acceptAnswer(Context, Request);
  } else {
    rejectStaleAnswer(Context, Request);
  }
}

void ownerLost(context &Context, const host_id &Owner, bool Certain) {
  std::vector<std::uint64_t> Numbers;
  for (const auto &[ForwardId, Number] : Context.State.RequestByForward) {
    const entry_request &Request = Context.State.Requests.at(Number);
    if (Request.Owner == Owner && (Certain || isIdempotent(Request.Request)))
      Numbers.push_back(Number);
  }
  std::sort(Numbers.begin(), Numbers.end());
  for (const std::uint64_t Number : Numbers) {
    entry_request &Request = Context.State.Requests.at(Number);
    Request.LatestAnswer = forward_answer();
    Request.LatestAnswer.Outcome = run_outcome::Unknown;
    Request.LatestAnswer.Cause = Request.Request.Transaction.empty()
                                     ? refusal_cause::ConnectionLost
                                     : refusal_cause::TransactionLost;
    Request.LatestAnswer.Detail = "The host that ran the request is lost.";
    Request.MayHaveRun = true;
    dispatchRequestEvent(Context, Request, request_event::Lost);
  }
}

void closeStage(entry_request &Request, trace_stage Stage, instant Now) {
  if (Now > Request.StageStartedAt)
    addSpan(Request.Trace, Stage, Now - Request.StageStartedAt);
  Request.StageStartedAt = Now;
}

void closeOwnerStages(entry_request &Request,
                      const std::vector<trace_span> &Spans, instant Now) {
  duration Remaining = Now - Request.StageStartedAt;
  for (const trace_span &Span : Spans) {
    const duration Part = std::min(Span.Duration, Remaining);
    if (Part > duration{})
      addSpan(Request.Trace, Span.Stage, Part);
    Remaining -= std::max(Part, duration{});
  }
  if (Remaining > duration{})
    addSpan(Request.Trace, trace_stage::PeerHop, Remaining);
  Request.StageStartedAt = Now;
}

void answerCaller(context &Context, entry_request &Request) {
  forward_answer &Latest = Request.LatestAnswer;
  const bool Success = Latest.Cause == refusal_cause::None;
  if (Latest.Outcome == run_outcome::NotRun && Request.MayHaveRun)
    Latest.Outcome = run_outcome::Unknown;
  if (Success)
    Latest.Outcome = run_outcome::Ran;
  caller_answer Answer;
  Answer.Id = Request.Request.Id;
  Answer.Outcome = Latest.Outcome;
  Answer.Cause = Latest.Cause;
  Answer.Detail = Latest.Detail;
  if (Success)
    Answer.Value = Latest.Value;
  Answer.Position = Latest.Position;
  Answer.Role = roleOf(Context, Request);
  Answer.SessionToken =
      sessionTokenFor(Context, Request, Success && advancesSession(Request));
  Answer.Transaction = Latest.Transaction.empty() ? Request.Request.Transaction
                                                  : Latest.Transaction;
  if (Latest.RetryAfter > duration{})
    Answer.RetryAfter = Latest.RetryAfter;
  finishTrace(Context, Request);
  Answer.Trace = Request.Trace;
  emit(Context, effects::answer_caller{Request.Caller, std::move(Answer)});
}

} // namespace bronzespar::impl

/// Lifecycle of a statement that needs a target: deadlines, outcomes, retries.
/// A read is retried on other targets until its deadline; a statement that may
/// write is sent once, unless a target guarantees that it was not run.
#include "parts.hpp"

#include <algorithm>
#include <utility>

namespace bronzespar::proxy {

namespace {

/// More attempts per statement would add to an overload.
constexpr unsigned MaxAttempts = 4;
/// After an attempt at a primary that is not primary, or that lacks a position.
/// Doubles with each attempt; four attempts last as long as a host's start.
constexpr duration NotPrimaryBackOff = std::chrono::milliseconds(30);
/// A read is hedged after this many times the target's usual latency.
constexpr double HedgeLatencyFactor = 5;
/// A read is not hedged before this, because targets often pause for a short
/// time.
constexpr duration MinHedgeDelay = std::chrono::milliseconds(150);
/// Retry delay that a refusal suggests to the caller.
constexpr duration RetryAfterHint = std::chrono::milliseconds(100);

caller_session *sessionOf(step_context &Step, const target_request &Request) {
  return findIn(Step.State.Sessions, Request.Session);
}

void releaseConnections(step_context &Step, target_request &Request) {
  for (connection_number *Slot :
       {&Request.Connection, &Request.HedgedConnection}) {
    if (auto *Connection = findIn(Step.State.Connections, *Slot))
      if (Connection->Request == Request.Number)
        Connection->Request = 0;
    *Slot = 0;
  }
  if (Request.Rank)
    cancel(Step.State.Waiting, *Request.Rank);
  Request.Rank.reset();
}

void enqueueRequest(step_context &Step, target_request &Request) {
  Request.Connection = 0;
  Request.Rank = enqueue(Step.State.Waiting, Request.Number, Request.Account,
                         Request.Route.Priority, 1);
}

void failWith(step_context &Step, target_request &Request, answer_code Code,
              std::string Text) {
  answer Answer;
  Answer.Code = Code;
  Answer.Text = std::move(Text);
  finishRequest(Step, Request, std::move(Answer));
}

/// Answer to a caller whose transaction cannot continue.
answer_code codeForLostTransaction(const target_request &Request,
                                   const caller_session *Session) {
  const bool Commits = Request.Statement.Kind == statement_kind::Commit;
  const bool Wrote =
      Session != nullptr && Session->Transaction && Session->Transaction->Wrote;
  return Commits && Wrote ? answer_code::InDoubt : answer_code::Aborted;
}

bool isFirstOfTransaction(const caller_session *Session) {
  return Session != nullptr && Session->Transaction &&
         Session->Transaction->AnsweredStatements == 0;
}

/// Records the position of a commit, which later reads of the session require.
void recordCommitPosition(caller_session &Session,
                          const target_request &Request, const answer &Answer,
                          instant Now) {
  if (Session.LastCommitGroup != Request.Route.Group)
    Session.LastCommitPosition.reset();
  Session.LastCommitGroup = Request.Route.Group;
  Session.LastCommitGeneration = Request.PrimaryGeneration;
  Session.CommitLacksPosition = !Answer.Position;
  Session.LastCommitPosition =
      std::max(Session.LastCommitPosition, Answer.Position);
  Session.LastCommitAt = Now;
}

/// Updates the session after a target completed a statement, and answers it.
void completeRequest(step_context &Step, target_request &Request,
                     answer &&Answer) {
  caller_session *Session = sessionOf(Step, Request);
  const bool Commits = Request.Statement.Kind == statement_kind::Commit;
  if (Session != nullptr && Session->Transaction) {
    Session->Transaction->AnsweredStatements += 1;
    Session->Transaction->LastUsedAt = Step.Now;
    if (Commits) {
      if (Session->Transaction->Wrote)
        recordCommitPosition(*Session, Request, Answer, Step.Now);
      Session->Transaction.reset();
      Session->Phase = session_phase::Idle;
    }
  } else if (Session != nullptr && Request.Writes) {
    recordCommitPosition(*Session, Request, Answer, Step.Now);
  }
  finishRequest(Step, Request, std::move(Answer));
}

/// Fails the transaction with this error; the target rolls it back.
void failInTransaction(step_context &Step, target_request &Request,
                       answer_code Code, std::string Text) {
  caller_session *Session = sessionOf(Step, Request);
  const bool Commits = Request.Statement.Kind == statement_kind::Commit;
  if (Session != nullptr && Session->Transaction) {
    failTransaction(Step, *Session);
    if (Commits)
      Session->Phase = session_phase::Idle;
  }
  failWith(Step, Request, Code, std::move(Text));
}

/// Reports an attempt's end to the forwarding host, which decides on a retry.
void answerForwardingHost(step_context &Step, target_request &Request,
                          caller_session &Session, answer_code Code,
                          bool NotRun) {
  answer_code Reported = answer_code::InDoubt;
  if (NotRun)
    Reported = isNotRun(Code) ? Code : answer_code::Busy;
  else if (Request.InTransaction)
    Reported = codeForLostTransaction(Request, &Session);
  if (Session.Transaction) {
    failTransaction(Step, Session);
    Session.Phase = session_phase::Idle;
  }
  failWith(Step, Request, Reported, std::string(enumName(Code)));
}

void logOutcome(step_context &Step, const target_request &Request,
                const answer &Answer, const std::string &Target) {
  const std::string_view Event = Answer.Code == answer_code::Complete
                                     ? "statement.served"
                                     : "statement.failed";
  logLine(Step, Event,
          {{"request", Request.Id},
           {"code", std::string(enumName(Answer.Code))},
           {"kind", std::string(enumName(Request.Statement.Kind))},
           {"account", Request.Account},
           {"group", Request.Route.Group},
           {"target", Target},
           {"attempts", std::to_string(Request.Attempts)},
           {"ms", elapsedMsText(Request.ArrivedAt, Step.Now)},
           {"cause", Answer.Code == answer_code::Complete ? "" : Answer.Text},
           {"settings", std::to_string(Step.State.Settings->Version)},
           {"generation", std::to_string(Request.PrimaryGeneration)},
           {"required", positionText(Request.RequiredPosition)},
           {"position", positionText(Answer.Position)}});
}

} // namespace

void startRequest(step_context &Step, caller_session &Session, std::string Id,
                  statement Statement) {
  host &State = Step.State;
  target_request Request;
  Request.Number = nextNumber(State);
  Request.Session = Session.Number;
  Request.Id = std::move(Id);
  Request.Account = Session.Account;
  Request.InTransaction = Session.Transaction.has_value();
  Request.Route = Session.Transaction
                      ? Session.Transaction->Route
                      : State.Settings->Routes.at(Session.Database);
  Request.ArrivedAt = Step.Now;
  Request.Deadline =
      limitDeadline(State, Step.Now + Request.Route.StatementTimeout);
  Request.Writes = Statement.Writes;
  if (Statement.Kind == statement_kind::Execute) {
    const prepared_statement *Prepared =
        findIn(Session.PreparedStatements, Statement.Name);
    if (Prepared == nullptr) {
      answer Answer;
      Answer.Code = answer_code::UnknownName;
      Answer.Text = Statement.Name;
      if (Session.Transaction)
        failTransaction(Step, Session);
      Answer.Phase = Session.Phase;
      answerSession(Step, Session, std::move(Answer));
      return;
    }
    Request.Writes = Prepared->Writes;
  }
  const bool ReadOnly =
      Session.Transaction ? Session.Transaction->ReadOnly : !Request.Writes;
  Request.NeedsPrimary =
      Request.Route.Consistency == read_consistency::Primary || !ReadOnly;
  Request.Statement = std::move(Statement);
  if (Session.Transaction && Session.Transaction->TokenRequestedAt)
    Request.TokenTaken = takeTransactionToken(Step, Session);
  else if (!Session.Transaction || Session.Transaction->Connection == 0)
    recordDemand(State.Allowances, Session.Account);
  launchRequest(Step, Session, std::move(Request));
}

void enqueueBegin(step_context &Step, caller_session &Session, std::string Id,
                  statement Statement) {
  target_request Request;
  Request.Number = nextNumber(Step.State);
  Request.Session = Session.Number;
  Request.Id = std::move(Id);
  Request.Account = Session.Account;
  Request.Route = Step.State.Settings->Routes.at(Session.Database);
  Request.ArrivedAt = Step.Now;
  Request.Deadline =
      limitDeadline(Step.State, Step.Now + Request.Route.StatementTimeout);
  Request.Statement = std::move(Statement);
  Session.Request = Request.Number;
  const request_number Number = Request.Number;
  enqueueRequest(
      Step,
      Step.State.Requests.emplace(Number, std::move(Request)).first->second);
}

void completeBegin(step_context &Step, target_request &Request) {
  caller_session &Session = Step.State.Sessions.at(Request.Session);
  dequeue(Step.State.Waiting, *Request.Rank);
  openTransaction(Session, std::move(Request.Route),
                  Request.Statement.Kind == statement_kind::BeginRead,
                  Step.Now);
  keepTransactionToken(Step, Session);
  Step.State.Requests.erase(Request.Number);
  Session.Request = 0;
  answer Answer;
  Answer.Code = answer_code::Complete;
  Answer.Phase = Session.Phase;
  answerSession(Step, Session, std::move(Answer));
  drainBacklog(Step, Session);
}

void launchRequest(step_context &Step, caller_session &Session,
                   target_request Request) {
  host &State = Step.State;
  Session.Request = Request.Number;
  target_request &Stored =
      State.Requests.emplace(Request.Number, std::move(Request)).first->second;
  const connection_number TransactionConnection =
      Session.Transaction ? Session.Transaction->Connection : 0;
  if (TransactionConnection != 0) {
    auto *Connection = findIn(State.Connections, TransactionConnection);
    if (Connection != nullptr &&
        !mayContinueAtPrimary(State, *Connection, Step.Now))
      failInTransaction(Step, Stored, answer_code::Aborted,
                        "this host may no longer use the transaction's "
                        "primary");
    else if (!isAnsweredBeforeStop(State, Stored.Route, Step.Now))
      failInTransaction(Step, Stored, answer_code::Aborted, StoppingCause);
    else if (Connection != nullptr &&
             isUseOver(State, Connection->Target, Step.Now))
      failInTransaction(Step, Stored, answer_code::Aborted,
                        "the data centre of the transaction's target is "
                        "evacuated");
    else if (Connection != nullptr)
      continueTransaction(Step, *Connection, Stored);
    else
      failInTransaction(Step, Stored, answer_code::Aborted,
                        "the connection of the transaction was lost");
    return;
  }
  enqueueRequest(Step, Stored);
}

void finishRequest(step_context &Step, target_request &Request, answer Answer) {
  const target_connection *Connection =
      findIn(Step.State.Connections, Request.Connection);
  logOutcome(Step, Request, Answer,
             Connection == nullptr ? std::string() : Connection->Target);
  Step.Out.push_back(effects::record_outcome{
      enumName(Request.Route.Consistency), Request.Account, Answer.Code,
      Step.Now - Request.ArrivedAt});
  // The token of a forwarded statement was taken by the host that forwards it.
  if (Request.TokenTaken && Request.ForwardedTarget.empty() &&
      !Request.MayHaveRun && isNotRun(Answer.Code) &&
      isNotRun(Request.LastCode))
    returnToken(Step.State.Allowances, Request.Account);
  releaseConnections(Step, Request);
  caller_session *Session = sessionOf(Step, Request);
  Step.State.Requests.erase(Request.Number);
  if (Session == nullptr)
    return;
  Session->Request = 0;
  Answer.Phase = Session->Phase;
  answerSession(Step, *Session, std::move(Answer));
  noteAnswered(Step, *Session);
  if (Session->Origin)
    closeIdleForward(Step, *Session);
  else
    drainBacklog(Step, *Session);
}

void attemptFailed(step_context &Step, target_request &Request,
                   answer_code Code, bool NotRun) {
  caller_session *Session = sessionOf(Step, Request);
  Request.LastCode = Code;
  Request.MayHaveRun = Request.MayHaveRun || !NotRun;
  const bool CanRepeat = NotRun || (!Request.InTransaction && !Request.Writes);
  const bool NothingRunBefore =
      !Request.InTransaction || isFirstOfTransaction(Session);
  const bool LagsAtPrimary =
      Code == answer_code::Lagging && Request.PrimaryGeneration != 0;
  if (LagsAtPrimary)
    logLine(Step, "primary.lagging",
            {{"request", Request.Id},
             {"group", Request.Route.Group},
             {"generation", std::to_string(Request.PrimaryGeneration)},
             {"required", positionText(Request.RequiredPosition)}});
  if (Session == nullptr) {
    releaseConnections(Step, Request);
    Step.State.Requests.erase(Request.Number);
    return;
  }
  if (!Request.ForwardedTarget.empty()) {
    answerForwardingHost(Step, Request, *Session, Code,
                         NotRun && NothingRunBefore);
    return;
  }
  if (CanRepeat && NothingRunBefore && Request.Attempts < MaxAttempts &&
      Step.Now < Request.Deadline) {
    if (Request.InTransaction && Session->Transaction) {
      if (auto *TransactionConnection =
              findIn(Step.State.Connections, Session->Transaction->Connection))
        rollBackOnTarget(Step, *TransactionConnection);
      Session->Transaction->Connection = 0;
    }
    // The target or owner that refused has just lost the right to act as
    // primary or is about to gain it. A primary that lacks a position may be
    // about to be replaced.
    if (Code == answer_code::ReadOnly || LagsAtPrimary)
      Request.RetryAt = Step.Now + NotPrimaryBackOff * (1U << Request.Attempts);
    enqueueRequest(Step, Request);
    return;
  }
  const std::string Text(enumName(Code));
  if (Request.InTransaction) {
    const answer_code Reported = NotRun || Code == answer_code::Aborted
                                     ? answer_code::Aborted
                                     : codeForLostTransaction(Request, Session);
    failInTransaction(Step, Request, Reported, Text);
    return;
  }
  if (NotRun) {
    const answer_code Reported =
        Code == answer_code::UnknownName ? answer_code::Busy : Code;
    failWith(Step, Request, Reported, Text);
    return;
  }
  const bool Failed = Code == answer_code::Failed;
  failWith(Step, Request,
           Request.Writes ? (Failed ? Code : answer_code::InDoubt)
                          : answer_code::Failed,
           Text);
}

void requestAnswered(step_context &Step, target_connection &Connection,
                     answer &&Answer) {
  target_request *Request = findIn(Step.State.Requests, Connection.Request);
  if (Request == nullptr)
    return;
  // The first attempt of a hedged read may answer while the second one waits
  // or runs.
  if (Request->Connection != Connection.Number) {
    Request->HedgedConnection = 0;
    if (Answer.Code != answer_code::Complete)
      return;
    if (auto *Other = findIn(Step.State.Connections, Request->Connection))
      Other->Request = 0;
    Request->Connection = Connection.Number;
  }
  if (Answer.Code == answer_code::Complete) {
    completeRequest(Step, *Request, std::move(Answer));
    return;
  }
  if (auto *Target = findIn(Step.State.Targets, Connection.Target))
    Request->ExcludedTargets.insert(Target->Entry.Id);
  const bool MayHaveRun =
      Answer.Code == answer_code::Failed || Answer.Code == answer_code::InDoubt;
  const bool CanRepeat =
      isNotRun(Answer.Code) || (MayHaveRun && !Request->Writes);
  if (CanRepeat || Request->InTransaction) {
    attemptFailed(Step, *Request, Answer.Code, isNotRun(Answer.Code));
    return;
  }
  failWith(Step, *Request, Answer.Code, Answer.Text);
}

namespace {

/// Number of this host's connections to a group's targets, by target and phase.
std::string connectionSummary(const host &State, const std::string &Group) {
  std::map<std::pair<std::string, connection_phase>, unsigned> Counts;
  for (const auto &[Number, Connection] : State.Connections)
    if (Connection.Group == Group)
      Counts[{Connection.Target, Connection.Phase}] += 1;
  std::string Summary;
  for (const auto &[Key, Count] : Counts)
    Summary += Key.first + ' ' + std::string(enumName(Key.second)) + ' ' +
               std::to_string(Count) + "; ";
  return Summary;
}

/// Logs why a request reached its deadline in the queue.
void logQueueTimeout(step_context &Step, const target_request &Request) {
  const host &State = Step.State;
  const auto Group = State.Groups.find(Request.Route.Group);
  const bool Known = Group != State.Groups.end() && Group->second.Record;
  const std::string Primary = Known ? Group->second.Record->Primary : "";
  const auto Target = State.Targets.find(Primary);
  const bool Listed = Target != State.Targets.end();
  logLine(Step, "statement.waited",
          {{"request", Request.Id},
           {"group", Request.Route.Group},
           {"primary", Primary},
           {"needs_primary", Request.NeedsPrimary ? "true" : "false"},
           {"dial_in_ms",
            Listed ? elapsedMsText(Step.Now, Target->second.NextDialAt)
                   : "unlisted"},
           {"connections", connectionSummary(State, Request.Route.Group)}});
}

/// Whether a request's time was limited by the stop of this host.
bool isLimitedByStop(const host &State, const target_request &Request) {
  return State.Stopping && Request.Deadline == State.StopPlan.AnswerBy;
}

std::string queueTimeoutCause(step_context &Step,
                              const target_request &Request) {
  if (isLimitedByStop(Step.State, Request))
    return StoppingCause;
  const group_state *Group = findIn(Step.State.Groups, Request.Route.Group);
  const bool Closed = Group != nullptr && Group->Record && !Group->Record->Open;
  return std::string(Closed ? "its primary is being replaced"
                            : "no connection became free in time") +
         "; " + retryAfterText(RetryAfterHint);
}

/// Ends a request whose deadline has passed.
void timeOutRequest(step_context &Step, target_request &Request) {
  if (Request.Rank && !Request.ForwardedTarget.empty()) {
    attemptFailed(Step, Request, answer_code::Busy, true);
    return;
  }
  if (Request.Rank) {
    logQueueTimeout(Step, Request);
    const bool MayHaveRun =
        Request.HedgedConnection != 0 || !isNotRun(Request.LastCode);
    if (Request.InTransaction)
      failInTransaction(Step, Request, answer_code::Aborted,
                        queueTimeoutCause(Step, Request));
    else
      failWith(Step, Request,
               MayHaveRun ? answer_code::TimedOut : answer_code::Busy,
               queueTimeoutCause(Step, Request));
    return;
  }
  const connection_number Number = Request.Connection;
  caller_session *Session = sessionOf(Step, Request);
  const char *Cause = isLimitedByStop(Step.State, Request)
                          ? StoppingCause
                          : "the target did not answer in time";
  if (Request.InTransaction) {
    const answer_code Code = codeForLostTransaction(Request, Session);
    if (Session != nullptr && Session->Transaction)
      Session->Transaction->Connection = 0;
    failInTransaction(
        Step, Request,
        Code == answer_code::InDoubt ? answer_code::TimedOut : Code, Cause);
  } else {
    failWith(Step, Request, answer_code::TimedOut, Cause);
  }
  closeConnection(Step, Number);
}

/// Sends a slow read a second time, because its first answer may be lost.
void hedgeSlowRead(step_context &Step, target_request &Request) {
  const target_connection *Connection =
      findIn(Step.State.Connections, Request.Connection);
  if (Connection == nullptr || Request.Session == 0 ||
      Request.HedgedConnection != 0 || !Request.ForwardedTarget.empty() ||
      Request.Writes || Request.InTransaction ||
      Request.Attempts >= MaxAttempts ||
      Connection->Phase != connection_phase::Running)
    return;
  const target_view *Target = findIn(Step.State.Targets, Connection->Target);
  if (Target == nullptr)
    return;
  const duration HedgeDelay(static_cast<duration::rep>(
      Target->LatencyMs * 1000 * HedgeLatencyFactor));
  if (Step.Now - Connection->SentAt < std::max(MinHedgeDelay, HedgeDelay))
    return;
  logLine(Step, "statement.overdue",
          {{"request", Request.Id},
           {"target", Connection->Target},
           {"ms", elapsedMsText(Connection->SentAt, Step.Now)}});
  Request.HedgedConnection = Request.Connection;
  if (!Request.NeedsPrimary)
    Request.ExcludedTargets.insert(Connection->Target);
  enqueueRequest(Step, Request);
}

/// A statement of another host is refused in time for the answer's way there,
/// if it still waits.
instant dueTime(const target_request &Request) {
  return Request.Rank && !Request.ForwardedTarget.empty()
             ? Request.Deadline - forwardReturnTime(Request)
             : Request.Deadline;
}

} // namespace

void expireRequests(step_context &Step) {
  std::vector<request_number> Due;
  for (auto &[Number, Request] : Step.State.Requests) {
    if (Step.Now >= dueTime(Request))
      Due.push_back(Number);
    else if (!Request.Rank)
      hedgeSlowRead(Step, Request);
  }
  for (const request_number Number : Due)
    if (target_request *Request = findIn(Step.State.Requests, Number))
      timeOutRequest(Step, *Request);
}

} // namespace bronzespar::proxy

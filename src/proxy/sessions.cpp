/// Callers' sessions: session values, prepared statements, transactions, and
/// the statements that need no target.
#include "parts.hpp"

#include <utility>

namespace bronzespar::proxy {

namespace {

/// A caller with more unanswered statements is disconnected. The listener hands
/// on the next one only after the answer, so that none reaches this number.
constexpr std::size_t MaxPipelinedStatements = 64;
/// Account name of callers without a known key; public routes admit them.
constexpr const char *AnonymousAccount = "-";

void answerWithoutTarget(step_context &Step, const caller_session &Session,
                         answer_code Code, std::string Text = {}) {
  answer Answer;
  Answer.Code = Code;
  Answer.Text = std::move(Text);
  Answer.Phase = Session.Phase;
  answerSession(Step, Session, std::move(Answer));
}

/// Checks a session's route and key against the active settings.
/// \returns Complete when access is allowed.
answer_code checkAccess(host &State, caller_session &Session) {
  const session_route *Route = findIn(State.Settings->Routes, Session.Database);
  if (Session.Transaction)
    Route = &Session.Transaction->Route;
  if (Route == nullptr)
    return answer_code::UnknownDatabase;
  const std::string *Account = findIn(State.Settings->Keys, Session.Key);
  if (Account == nullptr && !Route->Public)
    return answer_code::Denied;
  if (!Session.Transaction)
    Session.Account = Account == nullptr ? AnonymousAccount : *Account;
  return answer_code::Complete;
}

/// Begins a transaction once its token is taken, so that one which has begun is
/// not aborted for its account's rate. Without a token, BEGIN waits in the
/// queue.
void beginTransaction(step_context &Step, caller_session &Session,
                      queued_statement &&Queued) {
  if (Session.Transaction) {
    answerWithoutTarget(Step, Session, answer_code::Malformed,
                        "a transaction is open");
    return;
  }
  if (!mayBeginTransaction(Step.State, Step.Now)) {
    answerWithoutTarget(Step, Session, answer_code::Busy, StoppingCause);
    noteAnswered(Step, Session);
    return;
  }
  recordDemand(Step.State.Allowances, Session.Account);
  if (!admitOperation(Step, Session.Account)) {
    enqueueBegin(Step, Session, std::move(Queued.Id),
                 std::move(Queued.Statement));
    return;
  }
  openTransaction(Session, Step.State.Settings->Routes.at(Session.Database),
                  Queued.Statement.Kind == statement_kind::BeginRead, Step.Now);
  keepTransactionToken(Step, Session);
  answerWithoutTarget(Step, Session, answer_code::Complete);
}

/// Ends a transaction without a commit.
void rollbackTransaction(step_context &Step, caller_session &Session) {
  if (Session.Transaction && Session.Transaction->Connection != 0)
    if (auto *Connection =
            findIn(Step.State.Connections, Session.Transaction->Connection))
      rollBackOnTarget(Step, *Connection);
  returnTransactionToken(Step, Session);
  Session.Transaction.reset();
}

void endWithoutCommit(step_context &Step, caller_session &Session,
                      statement_kind Kind) {
  const bool WasFailed = Session.Phase == session_phase::Failed;
  if (!WasFailed && !Session.Transaction) {
    answerWithoutTarget(Step, Session, answer_code::Malformed,
                        "no transaction is open");
    return;
  }
  rollbackTransaction(Step, Session);
  Session.Phase = session_phase::Idle;
  if (Kind == statement_kind::Commit)
    answerWithoutTarget(Step, Session, answer_code::Aborted, "rolled back");
  else
    answerWithoutTarget(Step, Session, answer_code::Complete);
}

void storePrepared(step_context &Step, caller_session &Session,
                   const statement &Statement) {
  Session.PreparedStatements[Statement.Name] = {Statement.Operand,
                                                Statement.Writes};
  answerWithoutTarget(Step, Session, answer_code::Complete);
}

/// Refuses a statement whose session this host has closed, and has its
/// connection closed after the answer.
void refuseClosedSession(step_context &Step, session_number Number) {
  answer Answer;
  Answer.Code = answer_code::Busy;
  Answer.Text = "the session is closed";
  Step.Out.push_back(effects::answer_caller{Number, std::move(Answer)});
  Step.Out.push_back(effects::close_session{Number});
}

/// Refuses a statement that the active settings do not allow, and fails its
/// transaction.
void refuseAccess(step_context &Step, caller_session &Session,
                  answer_code Code) {
  logLine(Step, "access.refused",
          {{"code", std::string(enumName(Code))},
           {"database", Session.Database},
           {"settings", std::to_string(Step.State.Settings->Version)}});
  if (Session.Transaction)
    failTransaction(Step, Session);
  answerWithoutTarget(Step, Session, Code,
                      "not allowed by the settings in force");
}

bool needsTarget(statement_kind Kind) noexcept {
  return Kind == statement_kind::Read || Kind == statement_kind::Write ||
         Kind == statement_kind::Execute || Kind == statement_kind::Commit;
}

void handleSessionStatement(step_context &Step, caller_session &Session,
                            const statement &Statement) {
  switch (Statement.Kind) {
  case statement_kind::SetValue:
    Session.Values[Statement.Name] = Statement.Operand;
    answerWithoutTarget(Step, Session, answer_code::Complete);
    return;
  case statement_kind::Prepare:
    storePrepared(Step, Session, Statement);
    return;
  case statement_kind::Deallocate:
    Session.PreparedStatements.erase(Statement.Name);
    answerWithoutTarget(Step, Session, answer_code::Complete);
    return;
  default:
    answerWithoutTarget(Step, Session, answer_code::Malformed,
                        "no such statement");
  }
}

void handleStatement(step_context &Step, caller_session &Session,
                     queued_statement &&Queued) {
  const statement_kind Kind = Queued.Statement.Kind;
  const bool EndsTransaction =
      Kind == statement_kind::Commit || Kind == statement_kind::Rollback;
  if (Session.Phase == session_phase::Failed && !EndsTransaction) {
    answerWithoutTarget(Step, Session, answer_code::Malformed,
                        "the transaction failed; end it first");
    return;
  }
  if (Kind == statement_kind::Rollback ||
      (EndsTransaction && Session.Phase != session_phase::InTransaction)) {
    endWithoutCommit(Step, Session, Kind);
    return;
  }
  const bool BeginsTransaction =
      Kind == statement_kind::Begin || Kind == statement_kind::BeginRead;
  if (!BeginsTransaction && !needsTarget(Kind)) {
    handleSessionStatement(Step, Session, Queued.Statement);
    return;
  }
  if (const answer_code Code = checkAccess(Step.State, Session);
      Code != answer_code::Complete) {
    refuseAccess(Step, Session, Code);
    return;
  }
  if (BeginsTransaction)
    beginTransaction(Step, Session, std::move(Queued));
  else
    startRequest(Step, Session, std::move(Queued.Id),
                 std::move(Queued.Statement));
}

} // namespace

void openSession(step_context &Step, events::session_opened &&Event) {
  host &State = Step.State;
  if (!State.Settings) {
    Step.Out.push_back(effects::refuse_session{Event.Session, answer_code::Busy,
                                               "the host is starting"});
    return;
  }
  caller_session Session;
  Session.Number = Event.Session;
  Session.OpenedAt = Step.Now;
  Session.Database = std::move(Event.Database);
  Session.Key = std::move(Event.Key);
  if (const answer_code Code = checkAccess(State, Session);
      Code != answer_code::Complete) {
    logLine(Step, "session.refused",
            {{"code", std::string(enumName(Code))},
             {"database", Session.Database},
             {"settings", std::to_string(State.Settings->Version)}});
    Step.Out.push_back(effects::refuse_session{
        Event.Session, Code, "not allowed by the settings in force"});
    return;
  }
  if (!isAnsweredBeforeStop(State, State.Settings->Routes.at(Session.Database),
                            Step.Now)) {
    Step.Out.push_back(effects::refuse_session{Event.Session, answer_code::Busy,
                                               StoppingCause});
    return;
  }
  State.Sessions.emplace(Event.Session, std::move(Session));
  State.SessionsSinceStop += State.Stopping ? 1 : 0;
  Step.Out.push_back(effects::accept_session{Event.Session});
}

void acceptStatement(step_context &Step, events::statement_arrived &&Event) {
  caller_session *Session = findIn(Step.State.Sessions, Event.Session);
  if (Session == nullptr) {
    refuseClosedSession(Step, Event.Session);
    return;
  }
  if (Session->Backlog.size() >= MaxPipelinedStatements) {
    closeSession(Step, Event.Session);
    refuseClosedSession(Step, Event.Session);
    return;
  }
  Session->Backlog.push_back({std::move(Event.Id), std::move(Event.Statement)});
  drainBacklog(Step, *Session);
}

void openTransaction(caller_session &Session, session_route Route,
                     bool IsReadOnly, instant Now) {
  transaction_state Transaction;
  Transaction.Route = std::move(Route);
  Transaction.ReadOnly = IsReadOnly;
  Transaction.LastUsedAt = Now;
  Session.Transaction = std::move(Transaction);
  Session.Phase = session_phase::InTransaction;
}

void answerSession(step_context &Step, const caller_session &Session,
                   answer Answer) {
  if (!Session.Origin) {
    Step.Out.push_back(
        effects::answer_caller{Session.Number, std::move(Answer)});
    return;
  }
  Step.State.LinksAnsweredAt[Session.Origin->Link] = Step.Now;
  Step.Out.push_back(effects::answer_forward{
      Session.Origin->Link, Session.Origin->Ticket, std::move(Answer)});
}

void drainBacklog(step_context &Step, caller_session &Session) {
  while (Session.Request == 0 && !Session.Backlog.empty()) {
    queued_statement Next = std::move(Session.Backlog.front());
    Session.Backlog.pop_front();
    handleStatement(Step, Session, std::move(Next));
  }
}

void failTransaction(step_context &Step, caller_session &Session) {
  rollbackTransaction(Step, Session);
  Session.Phase = session_phase::Failed;
}

void closeSession(step_context &Step, session_number Number) {
  caller_session *Session = findIn(Step.State.Sessions, Number);
  if (Session == nullptr)
    return;
  if (target_request *Request = findIn(Step.State.Requests, Session->Request)) {
    if (Request->Rank) {
      cancel(Step.State.Waiting, *Request->Rank);
      Step.State.Requests.erase(Request->Number);
    } else {
      Request->Session = 0;
    }
  } else if (Session->Transaction) {
    rollbackTransaction(Step, *Session);
  }
  if (Session->Origin)
    Step.State.ForwardSessions.erase(*Session->Origin);
  Step.State.Sessions.erase(Number);
}

void endIdleTransactions(step_context &Step) {
  if (!Step.State.Settings)
    return;
  const duration MaxIdleTime = Step.State.Settings->TransactionIdleTimeout;
  for (auto &[Number, Session] : Step.State.Sessions) {
    if (!Session.Transaction || Session.Request != 0 ||
        Step.Now < Session.Transaction->LastUsedAt + MaxIdleTime)
      continue;
    logLine(Step, "transaction.idle",
            {{"account", Session.Account},
             {"idle_ms",
              elapsedMsText(Session.Transaction->LastUsedAt, Step.Now)}});
    failTransaction(Step, Session);
  }
}

} // namespace bronzespar::proxy

/// Connections to targets. Each belongs to one client account and records the
/// session values and prepared statements that the target holds for it.
#include "parts.hpp"

#include <algorithm>
#include <utility>

namespace bronzespar::proxy {

namespace {

/// A dial has failed when the target does not answer within this time.
constexpr duration DialTimeout = std::chrono::milliseconds(500);
/// Delay after a failed dial; a restarting target is back within seconds.
constexpr duration RedialDelay = std::chrono::milliseconds(60);
/// Delay after a target refused because all its connections are taken; some are
/// closed soon.
constexpr duration ConnectionsFullRedialDelay = std::chrono::milliseconds(15);
/// For this long after such a refusal, idle connections to the target are
/// closed early.
constexpr duration ConnectionsFullPeriod = std::chrono::milliseconds(1000);
/// Idle timeout while others wait for a connection to the target.
constexpr duration ConnectionsFullIdleTimeout = std::chrono::milliseconds(8);
/// Delay after a dial reached another target, to which the address belongs now.
constexpr duration WrongTargetRedialDelay = std::chrono::milliseconds(500);
/// A target that refused a statement is penalised for this long.
constexpr duration BusyBackOff = std::chrono::milliseconds(25);
constexpr duration MinLagBackOff = std::chrono::milliseconds(20);
constexpr duration MaxLagBackOff = std::chrono::milliseconds(400);
/// Weight of the newest sample in the smoothed latency.
constexpr double LatencyWeight = 0.15;
/// The same for what a connection owner tells, which it knows from all hosts'
/// statements.
constexpr double OwnerPaceWeight = 0.6;
constexpr double MicrosecondsPerMs = 1000;
constexpr std::size_t MaxPreparedPerConnection = 48;
/// A connection is closed when an answer that nobody waits for takes longer.
constexpr duration AbandonedAnswerTimeout = std::chrono::seconds(2);
/// Idle timeout of connections to a target that another host owns.
constexpr duration NonOwnerIdleTimeout = std::chrono::milliseconds(200);
/// Idle timeout while this host stands in for a target's owner.
constexpr duration StandInIdleTimeout = std::chrono::milliseconds(2000);
/// Idle timeout of other connections, so that other hosts can connect.
constexpr duration IdleTimeout = std::chrono::seconds(15);

target_view *targetOf(step_context &Step, const target_connection &Connection) {
  return findIn(Step.State.Targets, Connection.Target);
}

/// Ends the count of a connection as dialling, if it is.
void leaveDialling(step_context &Step, const target_connection &Connection) {
  target_view *Target = targetOf(Step, Connection);
  if (Target != nullptr && Target->Dialling > 0 &&
      Connection.Phase == connection_phase::Dialling)
    Target->Dialling -= 1;
}

void markIdle(step_context &Step, target_connection &Connection) {
  leaveDialling(Step, Connection);
  Connection.Phase = connection_phase::Idle;
  Connection.Session = 0;
  Connection.PrimaryGeneration = 0;
  Connection.IdleSince = Step.Now;
}

void sendStatement(step_context &Step, target_connection &Connection,
                   target_request &Request) {
  outgoing_statement Outgoing;
  Outgoing.Id = Request.Id;
  Outgoing.Statement = Request.Statement;
  if (Request.Statement.Kind == statement_kind::Execute) {
    const caller_session &Session = Step.State.Sessions.at(Request.Session);
    Outgoing.Statement.Name = Connection.PreparedNames.at(
        Session.PreparedStatements.at(Request.Statement.Name).Template);
  }
  if (!Request.InTransaction)
    Outgoing.RequiredPosition = Request.RequiredPosition;
  if (Request.InTransaction && Request.Writes)
    Step.State.Sessions.at(Request.Session).Transaction->Wrote = true;
  Connection.Phase = connection_phase::Running;
  Connection.SentAt = Step.Now;
  if (target_view *Target = targetOf(Step, Connection)) {
    Connection.UnderWay = ++Target->Running;
    noteColdSend(Step.State, *Target, Step.Now);
  }
  Step.Out.push_back(
      effects::send_target{Connection.Number, {std::move(Outgoing)}});
}

statement makeStatement(statement_kind Kind, std::string Name = {},
                        std::string Rest = {}) {
  statement Result;
  Result.Kind = Kind;
  Result.Name = std::move(Name);
  Result.Operand = std::move(Rest);
  return Result;
}

/// Statements that set the session values and the prepared statement that the
/// connection lacks for a request.
std::vector<outgoing_statement> buildSetup(target_connection &Connection,
                                           const caller_session &Session,
                                           const target_request &Request) {
  std::vector<outgoing_statement> Setup;
  const auto AddStatement = [&](statement Statement) {
    Setup.push_back({{}, std::nullopt, std::move(Statement)});
  };
  const bool HoldsOtherValues =
      std::any_of(Connection.Values.begin(), Connection.Values.end(),
                  [&](const auto &HeldValue) {
                    return !Session.Values.contains(HeldValue.first);
                  });
  const bool InTransaction = Connection.Session != 0;
  if (!InTransaction && (HoldsOtherValues || Connection.PreparedNames.size() >=
                                                 MaxPreparedPerConnection)) {
    AddStatement(makeStatement(statement_kind::ResetValues));
    Connection.Values.clear();
    Connection.PreparedNames.clear();
  }
  for (const auto &[Name, Value] : Session.Values) {
    std::string *HeldValue = findIn(Connection.Values, Name);
    if (HeldValue != nullptr && *HeldValue == Value)
      continue;
    AddStatement(makeStatement(statement_kind::SetValue, Name, Value));
    Connection.Values[Name] = Value;
  }
  if (Request.Statement.Kind == statement_kind::Execute) {
    const std::string &Template =
        Session.PreparedStatements.at(Request.Statement.Name).Template;
    if (!Connection.PreparedNames.contains(Template)) {
      const std::string Name =
          "b" + std::to_string(Connection.PreparedNames.size() + 1);
      AddStatement(makeStatement(statement_kind::Prepare, Name, Template));
      Connection.PreparedNames[Template] = Name;
    }
  }
  return Setup;
}

void sendSetup(step_context &Step, target_connection &Connection,
               target_request &Request, std::vector<outgoing_statement> Setup) {
  if (Setup.empty()) {
    sendStatement(Step, Connection, Request);
    return;
  }
  Connection.Phase = connection_phase::Preparing;
  Connection.SetupAnswersLeft = static_cast<unsigned>(Setup.size());
  Connection.SetupError = answer_code::Complete;
  Connection.SetupIncomplete = false;
  Connection.SentAt = Step.Now;
  Step.Out.push_back(effects::send_target{Connection.Number, std::move(Setup)});
}

void recordPosition(step_context &Step, target_connection &Connection,
                    log_position Position) {
  target_view *Target = targetOf(Step, Connection);
  if (Target == nullptr)
    return;
  Target->KnownPosition = std::max(Target->KnownPosition, Position);
  group_state *Group = findIn(Step.State.Groups, Connection.Group);
  // Others may have been primary since the statement was sent, if it was sent
  // to a replica or under another generation.
  if (Group != nullptr && Group->Record &&
      Group->Record->Primary == Connection.Target &&
      Group->Record->Generation == Connection.PrimaryGeneration &&
      mayUsePrimary(Step.State, Connection.Group, Step.Now))
    recordSample(Step, Connection.Group, *Group,
                 {Position, Connection.SentAt, Step.Now});
}

/// Chooses the required position anew for a statement whose setup has ended, as
/// the time that it took counts towards the route's bound.
/// \returns False when no known position is young enough for a replica.
bool renewRequiredPosition(const step_context &Step,
                           const target_connection &Connection,
                           target_request &Request) {
  if (Request.InTransaction)
    return true;
  const bool OnReplica = Connection.PrimaryGeneration == 0;
  Request.RequiredPosition =
      OnReplica ? requiredReadPosition(Step.State, Request, Step.Now)
                : requiredAtPrimary(Step.State, Request);
  return !OnReplica || Request.RequiredPosition;
}

void handleSetupAnswer(step_context &Step, target_connection &Connection,
                       answer_code Code) {
  Connection.SetupAnswersLeft -= 1;
  const bool WasBegin =
      Connection.BeginsTransaction && Connection.SetupAnswersLeft == 0;
  if (Code != answer_code::Complete) {
    if (Connection.SetupError == answer_code::Complete)
      Connection.SetupError = Code;
    Connection.SetupIncomplete = Connection.SetupIncomplete || !WasBegin;
  }
  if (Connection.SetupAnswersLeft > 0)
    return;
  target_request *Request = findIn(Step.State.Requests, Connection.Request);
  const bool HasCaller = Request != nullptr && Request->Session != 0;
  if (Connection.SetupError == answer_code::Complete &&
      (!mayContinueAtPrimary(Step.State, Connection, Step.Now) ||
       isUseOver(Step.State, Connection.Target, Step.Now))) {
    // The connection is closed, which ends what its setup began.
    Connection.SetupError = answer_code::ReadOnly;
    Connection.SetupIncomplete = true;
  }
  if (HasCaller && Connection.SetupError == answer_code::Complete &&
      !renewRequiredPosition(Step, Connection, *Request))
    Connection.SetupError = answer_code::Lagging;
  if (HasCaller && Connection.SetupError == answer_code::Complete) {
    sendStatement(Step, Connection, *Request);
    return;
  }
  const connection_number Number = Connection.Number;
  const answer_code Error = Connection.SetupError;
  const std::string Target = Connection.Target;
  Connection.Request = 0;
  // When only BEGIN failed, no transaction is open at the target and the
  // connection can be used again.
  const bool IsOpen =
      Connection.Session != 0 &&
      !(Connection.BeginsTransaction && Error != answer_code::Complete);
  if (Connection.SetupIncomplete || IsOpen)
    closeConnection(Step, Number);
  else
    markIdle(Step, Connection);
  if (Request == nullptr)
    return;
  Request->Connection = 0;
  if (HasCaller && Request->InTransaction)
    Step.State.Sessions.at(Request->Session).Transaction->Connection = 0;
  Request->ExcludedTargets.insert(Target);
  attemptFailed(Step, *Request,
                Error == answer_code::Complete ? answer_code::Busy : Error,
                true);
}

void updateBackOff(step_context &Step, target_view &Target, answer_code Code,
                   bool IsPrimary) {
  if (Code == answer_code::Busy || Code == answer_code::ReadOnly)
    Target.BusyUntil = Step.Now + BusyBackOff;
  if (Code == answer_code::Lagging && !IsPrimary) {
    Target.LaggingUntil = Step.Now + Target.LagBackOff;
    Target.LagBackOff = std::min(Target.LagBackOff * 2, MaxLagBackOff);
  }
  if (Code == answer_code::Complete)
    Target.LagBackOff = MinLagBackOff;
}

/// Statements of one kind and priority take about the same time.
int serviceClassOf(const target_request &Request) {
  return Request.Route.Priority * 32 +
         static_cast<int>(Request.Statement.Kind) * 2 +
         (Request.Writes ? 1 : 0);
}

/// Learns from an answer how fast the target is, and tells a forwarding host.
void updatePace(step_context &Step, target_view &Target,
                const target_connection &Connection, answer &Answer) {
  const target_request *Request =
      findIn(Step.State.Requests, Connection.Request);
  const double Latency = toMilliseconds(Step.Now - Connection.SentAt);
  if (Connection.Owner) {
    const double Known = Answer.Pace ? toMilliseconds(*Answer.Pace) : Latency;
    const double Weight = Answer.Pace ? OwnerPaceWeight : LatencyWeight;
    Target.LatencyMs += (Known - Target.LatencyMs) * Weight;
    return;
  }
  Target.LatencyMs += (Latency - Target.LatencyMs) * LatencyWeight;
  if (Request == nullptr || Answer.Code != answer_code::Complete)
    return;
  const unsigned Most = maxUnderWay(Target);
  const unsigned Before = Target.Pace.Window;
  recordService(Target.Pace, serviceClassOf(*Request), Connection.UnderWay,
                Latency, Most, Step.Now);
  recordTime(Target.Pace, toMilliseconds(Step.Now - Request->ArrivedAt));
  Answer.Pace = duration(
      static_cast<duration::rep>(Target.Pace.TimeMs * MicrosecondsPerMs));
  const unsigned Window = Target.Pace.Window;
  if (Window != Before && Before != 0)
    logLine(Step, "target.window",
            {{"target", Target.Entry.Id},
             {"window", std::to_string(Window)},
             {"most", std::to_string(Most)},
             {"ms", std::to_string(Target.Pace.TimeMs)}});
}

/// Sets the connection's phase after a caller's statement was answered.
void updatePhase(step_context &Step, target_connection &Connection,
                 session_phase Phase) {
  if (Phase == session_phase::Idle)
    markIdle(Step, Connection);
  else
    Connection.Phase = connection_phase::Resting;
}

void handleStatementAnswer(step_context &Step, target_connection &Connection,
                           answer &&Answer) {
  const connection_number Number = Connection.Number;
  const session_number SessionNumber = Connection.Session;
  if (target_view *Target = targetOf(Step, Connection)) {
    if (Target->Running > 0)
      Target->Running -= 1;
    updatePace(Step, *Target, Connection, Answer);
    updateBackOff(Step, *Target, Answer.Code,
                  Connection.PrimaryGeneration != 0);
  }
  if (Answer.Code == answer_code::UnknownName)
    Connection.PreparedNames.clear();
  updatePhase(Step, Connection, Answer.Phase);
  const bool IsInTransaction = Connection.Phase == connection_phase::Resting;
  requestAnswered(Step, Connection, std::move(Answer));
  target_connection *Remaining = findIn(Step.State.Connections, Number);
  if (Remaining == nullptr)
    return;
  if (Remaining->Phase != connection_phase::Running)
    Remaining->Request = 0;
  const bool SessionEnded =
      SessionNumber == 0 || !Step.State.Sessions.contains(SessionNumber);
  if (IsInTransaction && SessionEnded &&
      Remaining->Phase == connection_phase::Resting)
    rollBackOnTarget(Step, *Remaining);
  else if (Remaining->Owner && Remaining->Phase == connection_phase::Idle)
    forgetConnection(Step, Number);
}

/// A commit at a primary that does not lead may be lost, whatever it answers.
void doubtCommit(const host &State, const target_connection &Connection,
                 answer &Answer) {
  if (Answer.Code != answer_code::Complete ||
      Connection.Phase != connection_phase::Running ||
      !isAtDisprovedPrimary(State, Connection) || !mayCommit(State, Connection))
    return;
  Answer.Code = answer_code::InDoubt;
  Answer.Text = "its primary was replaced meanwhile";
}

bool isDialTimedOut(const target_connection &Connection, instant Now) {
  return Connection.Phase == connection_phase::Dialling &&
         Now > Connection.DialledAt + DialTimeout;
}

bool isAbandoned(const target_connection &Connection, instant Now) {
  const bool AwaitsAnswer = Connection.Phase == connection_phase::Running ||
                            Connection.Phase == connection_phase::Preparing ||
                            Connection.Phase == connection_phase::Ending;
  return AwaitsAnswer && Connection.Request == 0 &&
         Now > Connection.SentAt + AbandonedAnswerTimeout;
}

/// Whether an evacuation leaves no use for a target's connections. A primary is
/// used until its replacement begins.
bool isUnusedByEvacuation(const host &State, const target_view &Target,
                          instant Now) {
  if (!isEvacuated(State, Target.Entry))
    return false;
  const group_state *Group = findIn(State.Groups, Target.Entry.Group);
  return isUseOver(State, Target.Entry, Now) || Group == nullptr ||
         !Group->Record || Group->Record->Primary != Target.Entry.Id;
}

/// Whether an idle connection is closed now.
bool shouldCloseIdle(host &State, const target_view *Target,
                     const target_connection &Connection, instant Now) {
  if (Target == nullptr || !Target->Listed || Target->Entry.Draining ||
      isUnusedByEvacuation(State, *Target, Now))
    return true;
  const auto Rank = ownerRank(State, Connection.Target);
  if (areConnectionsOwned(State, Connection.Group) && Rank != std::size_t{0})
    return Now > Connection.IdleSince +
                     (Rank ? StandInIdleTimeout : NonOwnerIdleTimeout);
  const bool ConnectionsFull = Now < Target->ConnectionLimitUntil;
  return Now > Connection.IdleSince +
                   (ConnectionsFull ? ConnectionsFullIdleTimeout : IdleTimeout);
}

void recordDialFailure(step_context &Step, target_view &Target, instant Since) {
  if (Target.DialFailures == 0)
    Target.FirstDialFailure = Since;
  Target.DialFailures += 1;
  Target.NextDialAt = Step.Now + RedialDelay;
  noteReachability(Step, Target, false);
}

/// Ends a request's attempt on a connection that was lost.
void failLostAttempt(step_context &Step, request_number Number,
                     connection_number Connection, bool NotRun) {
  target_request *Request = findIn(Step.State.Requests, Number);
  if (Request == nullptr)
    return;
  if (Request->Connection != Connection) {
    Request->HedgedConnection = 0;
    return;
  }
  Request->Connection = 0;
  attemptFailed(Step, *Request,
                NotRun ? answer_code::Busy : answer_code::InDoubt, NotRun);
}

} // namespace

void forgetConnection(step_context &Step, connection_number Number) {
  target_connection *Connection = findIn(Step.State.Connections, Number);
  if (Connection == nullptr)
    return;
  leaveDialling(Step, *Connection);
  if (target_view *Target = targetOf(Step, *Connection)) {
    if (Target->Connections > 0 && !Connection->Owner)
      Target->Connections -= 1;
    if (Connection->Phase == connection_phase::Running && Target->Running > 0)
      Target->Running -= 1;
  }
  Step.State.Connections.erase(Number);
}

void requestClose(step_context &Step, const target_connection &Connection) {
  if (Connection.Owner)
    Step.Out.push_back(
        effects::end_forward{*Connection.Owner, Connection.Number});
  else
    Step.Out.push_back(effects::close_target{Connection.Number});
}

void dialTarget(step_context &Step, target_view &Target,
                const std::string &Account) {
  target_connection Connection;
  Connection.Number = nextNumber(Step.State);
  Connection.Target = Target.Entry.Id;
  Connection.Group = Target.Entry.Group;
  Connection.Account = Account;
  Connection.DialledAt = Step.Now;
  Connection.SentAt = Step.Now;
  Target.Connections += 1;
  Target.Dialling += 1;
  Step.Out.push_back(
      effects::open_target{Connection.Number, Target.Entry.Endpoint,
                           Target.Entry.Group, Account, Target.Entry.Id});
  Step.State.Connections.emplace(Connection.Number, std::move(Connection));
}

void beginAttempt(step_context &Step, target_connection &Connection,
                  target_request &Request, bool OnReplica,
                  std::optional<log_position> RequiredPosition) {
  caller_session &Session = Step.State.Sessions.at(Request.Session);
  Request.Connection = Connection.Number;
  Request.RequiredPosition = RequiredPosition;
  Request.Attempts += 1;
  Connection.Request = Request.Number;
  Connection.BeginsTransaction = Request.InTransaction;
  if (!OnReplica)
    beginUseOfPrimary(Step, Connection);
  Request.PrimaryGeneration = Connection.PrimaryGeneration;
  auto Setup = buildSetup(Connection, Session, Request);
  if (Request.InTransaction) {
    const auto Kind = Session.Transaction->ReadOnly ? statement_kind::BeginRead
                                                    : statement_kind::Begin;
    Setup.push_back({{}, RequiredPosition, makeStatement(Kind)});
    Connection.Session = Session.Number;
    Session.Transaction->Connection = Connection.Number;
  }
  sendSetup(Step, Connection, Request, std::move(Setup));
}

void continueTransaction(step_context &Step, target_connection &Connection,
                         target_request &Request) {
  const caller_session &Session = Step.State.Sessions.at(Request.Session);
  Request.Connection = Connection.Number;
  Request.Attempts += 1;
  Request.TokenTaken = false;
  Request.PrimaryGeneration = Connection.PrimaryGeneration;
  Connection.Request = Request.Number;
  Connection.BeginsTransaction = false;
  if (Connection.Owner) {
    forwardNext(Step, Connection, Request);
    return;
  }
  sendSetup(Step, Connection, Request,
            buildSetup(Connection, Session, Request));
}

void beginUseOfPrimary(step_context &Step, target_connection &Connection) {
  const group_state *Group = findIn(Step.State.Groups, Connection.Group);
  if (Group == nullptr || !Group->Record)
    return;
  Connection.PrimaryGeneration = Group->Record->Generation;
  Connection.PrimaryLease = Step.State.Lease.Id;
  Connection.RightEndedAt.reset();
}

void rollBackOnTarget(step_context &Step, target_connection &Connection) {
  // Nothing is sent to an evacuated target, ROLLBACK neither.
  if (Connection.Owner || isUseOver(Step.State, Connection.Target, Step.Now)) {
    closeConnection(Step, Connection.Number);
    return;
  }
  Connection.Session = 0;
  switch (Connection.Phase) {
  case connection_phase::Resting:
    Connection.Request = 0;
    Connection.Phase = connection_phase::Ending;
    Connection.SentAt = Step.Now;
    Step.Out.push_back(effects::send_target{
        Connection.Number,
        {{{}, std::nullopt, makeStatement(statement_kind::Rollback)}}});
    return;
  case connection_phase::Preparing:
  case connection_phase::Running:
    closeConnection(Step, Connection.Number);
    return;
  default:
    return;
  }
}

void closeConnection(step_context &Step, connection_number Number) {
  const target_connection *Connection = findIn(Step.State.Connections, Number);
  if (Connection == nullptr)
    return;
  requestClose(Step, *Connection);
  forgetConnection(Step, Number);
}

void targetReady(step_context &Step, const events::target_ready &Event) {
  target_connection *Connection =
      findIn(Step.State.Connections, Event.Connection);
  if (Connection == nullptr)
    return;
  markIdle(Step, *Connection);
  if (target_view *Target = targetOf(Step, *Connection)) {
    Target->AnsweredAt = Step.Now;
    Target->DialFailures = 0;
    noteReachability(Step, *Target, true);
  }
}

void targetRefused(step_context &Step, const events::target_refused &Event) {
  target_connection *Connection =
      findIn(Step.State.Connections, Event.Connection);
  if (Connection == nullptr)
    return;
  if (target_view *Target = targetOf(Step, *Connection)) {
    const bool ConnectionsFull = Event.Code == answer_code::TooManyConnections;
    Target->NextDialAt =
        Step.Now +
        (ConnectionsFull ? ConnectionsFullRedialDelay : WrongTargetRedialDelay);
    if (ConnectionsFull)
      Target->ConnectionLimitUntil = Step.Now + ConnectionsFullPeriod;
    logLine(Step, "target.refused",
            {{"target", Connection->Target},
             {"code", std::string(enumName(Event.Code))},
             {"connections", std::to_string(Target->Connections)}});
  }
  forgetConnection(Step, Event.Connection);
}

void targetAnswered(step_context &Step, events::target_answered &&Event) {
  target_connection *Connection =
      findIn(Step.State.Connections, Event.Connection);
  if (Connection == nullptr)
    return;
  if (Connection->Owner)
    Step.State.OwnersAnsweredAt[*Connection->Owner] = Step.Now;
  // A refusal by the connection owner does not show that the target answers.
  const bool IsFromTarget = !Connection->Owner || !isNotRun(Event.Answer.Code);
  if (target_view *Target = targetOf(Step, *Connection);
      Target != nullptr && IsFromTarget) {
    Target->AnsweredAt = Step.Now;
    noteReachability(Step, *Target, true);
  }
  noteAnswer(Step, *Connection, Event.Answer);
  if (Event.Answer.Position)
    recordPosition(Step, *Connection, *Event.Answer.Position);
  doubtCommit(Step.State, *Connection, Event.Answer);
  switch (Connection->Phase) {
  case connection_phase::Preparing:
    handleSetupAnswer(Step, *Connection, Event.Answer.Code);
    return;
  case connection_phase::Running:
    handleStatementAnswer(Step, *Connection, std::move(Event.Answer));
    return;
  case connection_phase::Ending:
    if (Event.Answer.Phase == session_phase::Idle)
      markIdle(Step, *Connection);
    else
      closeConnection(Step, Event.Connection);
    return;
  default:
    closeConnection(Step, Event.Connection);
  }
}

void targetLost(step_context &Step, connection_number Number) {
  const target_connection *Found = findIn(Step.State.Connections, Number);
  if (Found == nullptr)
    return;
  const target_connection Lost = *Found;
  forgetConnection(Step, Number);
  target_view *Target = findIn(Step.State.Targets, Lost.Target);
  if (Lost.Phase == connection_phase::Dialling) {
    if (Target != nullptr)
      recordDialFailure(Step, *Target, Lost.DialledAt);
    return;
  }
  logLine(Step, "connection.lost",
          {{"target", Lost.Target},
           {"phase", std::string(enumName(Lost.Phase))},
           {"account", Lost.Account}});
  if (Lost.Phase == connection_phase::Preparing)
    failLostAttempt(Step, Lost.Request, Number, true);
  if (Lost.Phase == connection_phase::Running)
    failLostAttempt(Step, Lost.Request, Number, false);
}

void failConnection(step_context &Step, connection_number Number) {
  // Handling an earlier loss may have closed this connection.
  const target_connection *Connection = findIn(Step.State.Connections, Number);
  if (Connection == nullptr)
    return;
  requestClose(Step, *Connection);
  targetLost(Step, Number);
}

void failConnections(step_context &Step, const std::string &Target,
                     bool OnlyInUse) {
  std::vector<connection_number> Numbers;
  for (const auto &[Number, Connection] : Step.State.Connections) {
    const bool InUse = Connection.Phase != connection_phase::Dialling &&
                       Connection.Phase != connection_phase::Idle;
    if (Connection.Target == Target && (InUse || !OnlyInUse))
      Numbers.push_back(Number);
  }
  for (const connection_number Number : Numbers)
    failConnection(Step, Number);
}

void superviseConnections(step_context &Step) {
  std::vector<connection_number> Closing;
  for (auto &[Number, Connection] : Step.State.Connections) {
    if (isDialTimedOut(Connection, Step.Now)) {
      if (target_view *Target = targetOf(Step, Connection))
        recordDialFailure(Step, *Target, Connection.DialledAt);
      Closing.push_back(Number);
      continue;
    }
    detectUnresponsiveOwner(Step, Connection);
    const bool IsIdle = Connection.Phase == connection_phase::Idle;
    target_view *Target = targetOf(Step, Connection);
    if (isAbandoned(Connection, Step.Now) ||
        (IsIdle && shouldCloseIdle(Step.State, Target, Connection, Step.Now)))
      Closing.push_back(Number);
  }
  for (const connection_number Number : Closing)
    closeConnection(Step, Number);
}

} // namespace bronzespar::proxy

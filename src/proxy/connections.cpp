/// Connections to targets. Each belongs to one client account and knows the
/// session values and prepared shapes that it holds.
#include "parts.hpp"

#include <algorithm>
#include <utility>

namespace bronzespar::proxy {

namespace {

/// A target that is silent for this long is not reached.
constexpr duration DialTimeout = std::chrono::milliseconds(500);
/// After a failed dial; a restarting target is back within seconds.
constexpr duration RedialDelay = std::chrono::milliseconds(60);
/// All connections of the target are in use; some are closed soon.
constexpr duration ConnectionsFullRedialDelay = std::chrono::milliseconds(15);
/// For this long, connections to it that are not in use are given up.
constexpr duration ConnectionsFullPeriod = std::chrono::milliseconds(1000);
/// Unused for this long, while others wait for a connection.
constexpr duration ConnectionsFullIdleTimeout = std::chrono::milliseconds(8);
/// The address belongs to another target now.
constexpr duration WrongTargetRedialDelay = std::chrono::milliseconds(500);
/// A target that refused for lack of room is spared for this long.
constexpr duration BusyBackOff = std::chrono::milliseconds(25);
constexpr duration MinLagBackOff = std::chrono::milliseconds(20);
constexpr duration MaxLagBackOff = std::chrono::milliseconds(400);
/// Weight of the newest latency in the smoothed one.
constexpr double LatencyWeight = 0.15;
/// Prepared shapes that one connection holds at most.
constexpr std::size_t MaxPreparedPerConnection = 48;
/// An answer that nobody waits for holds its connection no longer.
constexpr duration AbandonedAnswerTimeout = std::chrono::seconds(2);
/// Unused connections to a target that another host owns.
constexpr duration NonOwnerIdleTimeout = std::chrono::milliseconds(200);
/// Unused connections are closed after this, so that others may connect.
constexpr duration IdleTimeout = std::chrono::seconds(15);

target_view *targetOf(step_context &Step, const target_connection &Connection) {
  return findIn(Step.State.Targets, Connection.Target);
}

void markIdle(step_context &Step, target_connection &Connection) {
  Connection.Phase = connection_phase::Idle;
  Connection.Session = 0;
  Connection.IdleSince = Step.Now;
}

void sendStatement(step_context &Step, target_connection &Connection,
                   target_request &Request) {
  outgoing_statement Out;
  Out.Id = Request.Id;
  Out.Statement = Request.Statement;
  if (Request.Statement.Kind == statement_kind::Execute) {
    const caller_session &Session = Step.State.Sessions.at(Request.Session);
    Out.Statement.Name = Connection.PreparedNames.at(
        Session.PreparedStatements.at(Request.Statement.Name).Template);
  }
  if (!Request.InTransaction)
    Out.RequiredPosition = Request.RequiredPosition;
  if (Request.InTransaction && Request.Writes)
    Step.State.Sessions.at(Request.Session).Transaction->Wrote = true;
  Connection.Phase = connection_phase::Running;
  Connection.SentAt = Step.Now;
  if (target_view *Target = targetOf(Step, Connection))
    Target->Running += 1;
  Step.Out.push_back(effects::send_target{Connection.Number, {std::move(Out)}});
}

statement makeStatement(statement_kind Kind, std::string Name = {},
                        std::string Rest = {}) {
  statement Out;
  Out.Kind = Kind;
  Out.Name = std::move(Name);
  Out.Operand = std::move(Rest);
  return Out;
}

/// Values, shape and BEGIN that the connection lacks for a statement.
std::vector<outgoing_statement> buildSetup(target_connection &Connection,
                                           const caller_session &Session,
                                           const target_request &Request) {
  std::vector<outgoing_statement> Setup;
  const auto Add = [&](statement Statement) {
    Setup.push_back({{}, std::nullopt, std::move(Statement)});
  };
  const bool HoldsForeign = std::any_of(
      Connection.Values.begin(), Connection.Values.end(),
      [&](const auto &Held) { return !Session.Values.contains(Held.first); });
  const bool InTransaction = Connection.Session != 0;
  if (!InTransaction && (HoldsForeign || Connection.PreparedNames.size() >=
                                             MaxPreparedPerConnection)) {
    Add(makeStatement(statement_kind::ResetValues));
    Connection.Values.clear();
    Connection.PreparedNames.clear();
  }
  for (const auto &[Name, Value] : Session.Values) {
    std::string *Held = findIn(Connection.Values, Name);
    if (Held != nullptr && *Held == Value)
      continue;
    Add(makeStatement(statement_kind::SetValue, Name, Value));
    Connection.Values[Name] = Value;
  }
  if (Request.Statement.Kind == statement_kind::Execute) {
    const std::string &Shape =
        Session.PreparedStatements.at(Request.Statement.Name).Template;
    if (!Connection.PreparedNames.contains(Shape)) {
      const std::string Name =
          "b" + std::to_string(Connection.PreparedNames.size() + 1);
      Add(makeStatement(statement_kind::Prepare, Name, Shape));
      Connection.PreparedNames[Shape] = Name;
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
  if (Group != nullptr && Group->Record &&
      Group->Record->Primary == Connection.Target &&
      mayUsePrimary(Step.State, Connection.Group, Step.Now))
    addSample(Group->Samples, Position, Connection.SentAt);
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
  const bool Wanted = Request != nullptr && Request->Session != 0;
  if (Wanted && Connection.SetupError == answer_code::Complete) {
    sendStatement(Step, Connection, *Request);
    return;
  }
  const connection_number Number = Connection.Number;
  const answer_code Fault = Connection.SetupError;
  const std::string Target = Connection.Target;
  Connection.Request = 0;
  // Only where the begin itself failed is no transaction open at the target.
  const bool IsOpen =
      Connection.Session != 0 &&
      !(Connection.BeginsTransaction && Fault != answer_code::Complete);
  if (Connection.SetupIncomplete || IsOpen)
    closeConnection(Step, Number);
  else
    markIdle(Step, Connection);
  if (Request == nullptr)
    return;
  Request->Connection = 0;
  if (Wanted && Request->InTransaction)
    Step.State.Sessions.at(Request->Session).Transaction->Connection = 0;
  Request->ExcludedTargets.insert(Target);
  attemptFailed(Step, *Request,
                Fault == answer_code::Complete ? answer_code::Busy : Fault,
                true);
}

void updateBackOff(step_context &Step, target_view &Target, answer_code Code) {
  if (Code == answer_code::Busy || Code == answer_code::ReadOnly)
    Target.BusyUntil = Step.Now + BusyBackOff;
  if (Code == answer_code::Lagging) {
    Target.LaggingUntil = Step.Now + Target.LagBackOff;
    Target.LagBackOff = std::min(Target.LagBackOff * 2, MaxLagBackOff);
  }
  if (Code == answer_code::Complete)
    Target.LagBackOff = MinLagBackOff;
}

/// Where the connection stands after a caller's statement was answered.
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
  const session_number Owner = Connection.Session;
  if (target_view *Target = targetOf(Step, Connection)) {
    if (Target->Running > 0)
      Target->Running -= 1;
    const double Latency = toMilliseconds(Step.Now - Connection.SentAt);
    Target->LatencyMs += (Latency - Target->LatencyMs) * LatencyWeight;
    updateBackOff(Step, *Target, Answer.Code);
  }
  if (Answer.Code == answer_code::UnknownName)
    Connection.PreparedNames.clear();
  updatePhase(Step, Connection, Answer.Phase);
  const bool LeftOpen = Connection.Phase == connection_phase::Resting;
  requestAnswered(Step, Connection, std::move(Answer));
  target_connection *Still = findIn(Step.State.Connections, Number);
  if (Still == nullptr)
    return;
  if (Still->Phase != connection_phase::Running)
    Still->Request = 0;
  const bool OwnerLeft = Owner == 0 || !Step.State.Sessions.contains(Owner);
  if (LeftOpen && OwnerLeft && Still->Phase == connection_phase::Resting)
    rollBackOnTarget(Step, *Still);
  else if (Still->Owner && Still->Phase == connection_phase::Idle)
    forgetConnection(Step, Number);
}

bool isDialTimedOut(const target_connection &Connection, instant Now) {
  return Connection.Phase == connection_phase::Dialling &&
         Now > Connection.DialledAt + DialTimeout;
}

bool isAbandoned(const target_connection &Connection, instant Now) {
  const bool Waits = Connection.Phase == connection_phase::Running ||
                     Connection.Phase == connection_phase::Preparing ||
                     Connection.Phase == connection_phase::Ending;
  return Waits && Connection.Request == 0 &&
         Now > Connection.SentAt + AbandonedAnswerTimeout;
}

/// Whether an unused connection is closed now.
bool shouldCloseIdle(const host &State, target_view *Target,
                     const target_connection &Connection, instant Now) {
  if (Target == nullptr || !Target->Listed || Target->Entry.Draining)
    return true;
  const bool Foreign = areConnectionsOwned(State, Connection.Group) &&
                       !ownsTarget(State, *Target);
  if (Foreign)
    return Now > Connection.IdleSince + NonOwnerIdleTimeout;
  const bool Crowded = Now < Target->ConnectionLimitUntil;
  return Now > Connection.IdleSince +
                   (Crowded ? ConnectionsFullIdleTimeout : IdleTimeout);
}

void recordDialFailure(step_context &Step, target_view &Target, instant Since) {
  if (Target.DialFailures == 0)
    Target.FirstDialFailure = Since;
  Target.DialFailures += 1;
  Target.NextDialAt = Step.Now + RedialDelay;
  noteReachability(Step, Target, false);
}

/// A caller's statement was on a connection that is gone.
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
  Step.Out.push_back(
      effects::open_target{Connection.Number, Target.Entry.Endpoint,
                           Target.Entry.Group, Account, Target.Entry.Id});
  Step.State.Connections.emplace(Connection.Number, std::move(Connection));
}

void beginAttempt(step_context &Step, target_connection &Connection,
                  target_request &Request,
                  std::optional<log_position> NotBefore) {
  caller_session &Session = Step.State.Sessions.at(Request.Session);
  Request.Connection = Connection.Number;
  Request.RequiredPosition = NotBefore;
  Request.Attempts += 1;
  Connection.Request = Request.Number;
  Connection.BeginsTransaction = Request.InTransaction;
  auto Setup = buildSetup(Connection, Session, Request);
  if (Request.InTransaction) {
    const auto Kind = Session.Transaction->ReadOnly ? statement_kind::BeginRead
                                                    : statement_kind::Begin;
    Setup.push_back({{}, NotBefore, makeStatement(Kind)});
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
  Connection.Request = Request.Number;
  Connection.BeginsTransaction = false;
  if (Connection.Owner) {
    forwardNext(Step, Connection, Request);
    return;
  }
  sendSetup(Step, Connection, Request,
            buildSetup(Connection, Session, Request));
}

void rollBackOnTarget(step_context &Step, target_connection &Connection) {
  if (Connection.Owner) {
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

void targetReady(step_context &Step, const events::target_ready &What) {
  target_connection *Connection =
      findIn(Step.State.Connections, What.Connection);
  if (Connection == nullptr)
    return;
  markIdle(Step, *Connection);
  if (target_view *Target = targetOf(Step, *Connection)) {
    Target->AnsweredAt = Step.Now;
    Target->DialFailures = 0;
    noteReachability(Step, *Target, true);
  }
}

void targetRefused(step_context &Step, const events::target_refused &What) {
  target_connection *Connection =
      findIn(Step.State.Connections, What.Connection);
  if (Connection == nullptr)
    return;
  if (target_view *Target = targetOf(Step, *Connection)) {
    const bool Full = What.Code == answer_code::TooManyConnections;
    Target->NextDialAt =
        Step.Now + (Full ? ConnectionsFullRedialDelay : WrongTargetRedialDelay);
    if (Full)
      Target->ConnectionLimitUntil = Step.Now + ConnectionsFullPeriod;
    logLine(Step, "target.refused",
            {{"target", Connection->Target},
             {"code", std::string(enumName(What.Code))},
             {"connections", std::to_string(Target->Connections)}});
  }
  forgetConnection(Step, What.Connection);
}

void targetAnswered(step_context &Step, events::target_answered &&What) {
  target_connection *Connection =
      findIn(Step.State.Connections, What.Connection);
  if (Connection == nullptr)
    return;
  if (Connection->Owner)
    Step.State.OwnersAnsweredAt[*Connection->Owner] = Step.Now;
  // An owner's refusal says nothing of the target.
  const bool Speaks = !Connection->Owner || !isNotRun(What.Answer.Code);
  if (target_view *Target = targetOf(Step, *Connection);
      Target != nullptr && Speaks) {
    Target->AnsweredAt = Step.Now;
    noteReachability(Step, *Target, true);
  }
  if (What.Answer.Position)
    recordPosition(Step, *Connection, *What.Answer.Position);
  switch (Connection->Phase) {
  case connection_phase::Preparing:
    handleSetupAnswer(Step, *Connection, What.Answer.Code);
    return;
  case connection_phase::Running:
    handleStatementAnswer(Step, *Connection, std::move(What.Answer));
    return;
  case connection_phase::Ending:
    if (What.Answer.Phase == session_phase::Idle)
      markIdle(Step, *Connection);
    else
      closeConnection(Step, What.Connection);
    return;
  default:
    closeConnection(Step, What.Connection);
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

void failConnections(step_context &Step, const std::string &Target,
                     bool OnlyInUse) {
  std::vector<connection_number> Numbers;
  for (const auto &[Number, Connection] : Step.State.Connections) {
    const bool InUse = Connection.Phase != connection_phase::Dialling &&
                       Connection.Phase != connection_phase::Idle;
    if (Connection.Target == Target && (InUse || !OnlyInUse))
      Numbers.push_back(Number);
  }
  for (const connection_number Number : Numbers) {
    // The loss of one may have closed another.
    const target_connection *Connection =
        findIn(Step.State.Connections, Number);
    if (Connection == nullptr)
      continue;
    requestClose(Step, *Connection);
    targetLost(Step, Number);
  }
}

void superviseConnections(step_context &Step) {
  std::vector<connection_number> Close;
  for (auto &[Number, Connection] : Step.State.Connections) {
    if (isDialTimedOut(Connection, Step.Now)) {
      if (target_view *Target = targetOf(Step, Connection))
        recordDialFailure(Step, *Target, Connection.DialledAt);
      Close.push_back(Number);
      continue;
    }
    detectSilentOwner(Step, Connection);
    const bool Idle = Connection.Phase == connection_phase::Idle;
    target_view *Target = targetOf(Step, Connection);
    if (isAbandoned(Connection, Step.Now) ||
        (Idle && shouldCloseIdle(Step.State, Target, Connection, Step.Now)))
      Close.push_back(Number);
  }
  for (const connection_number Number : Close)
    closeConnection(Step, Number);
}

} // namespace bronzespar::proxy

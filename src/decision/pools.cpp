/// Connections of pools: events of their chart, and the events of sockets.
#include "pools.hpp"
#include "bounds.hpp"
#include "dialling.hpp"
#include "runs.hpp"
#include "transactions.hpp"

#include <algorithm>

namespace bronzespar::impl {

namespace {

void failRun(context &Context, pooled_connection &Connection) {
  const auto Run = Context.State.Runs.find(Connection.Run);
  Connection.Run = 0;
  if (Run != Context.State.Runs.end())
    dispatchRunEvent(Context, Run->second, run_event::ConnectionLost);
}

/// Whatever silenced one connection may have silenced all that have not
/// answered since its statement was sent.
void retireSiblings(context &Context, const pooled_connection &Silent) {
  const auto Run = Context.State.Runs.find(Silent.Run);
  if (Run == Context.State.Runs.end())
    return;
  const instant Since = Run->second.SentAt;
  const target_pool &Pool = Context.State.Pools.at(Silent.Target);
  const std::vector<connection_ref> Siblings = Pool.Connections;
  for (const connection_ref Ref : Siblings) {
    pooled_connection &Sibling = Context.State.Connections.at(Ref);
    if (Sibling.State == connection_state::Idle && Sibling.AnsweredAt < Since)
      dispatchConnectionEvent(Context, Sibling, connection_event::Retired);
  }
}

void removeFromPool(context &Context, const pooled_connection &Connection) {
  target_pool &Pool = Context.State.Pools.at(Connection.Target);
  std::erase(Pool.Connections, Connection.Ref);
  Context.State.ClosedConnections.push_back(Connection.Ref);
}

void performAction(context &Context, pooled_connection &Connection,
                   connection_action Action) {
  switch (Action) {
  case connection_action::CloseSocket:
    emit(Context, effects::close_connection{Connection.Ref});
    return;
  case connection_action::DelayDialling:
    delayDialling(Context, Context.State.Pools.at(Connection.Target));
    return;
  case connection_action::RetireSiblings:
    retireSiblings(Context, Connection);
    return;
  case connection_action::FailRun:
    failRun(Context, Connection);
    return;
  case connection_action::LoseTransaction:
    loseTransaction(Context, Connection.Transaction);
    return;
  case connection_action::Forget:
    removeFromPool(Context, Connection);
    return;
  }
}

pooled_connection *findConnection(context &Context, connection_ref Ref) {
  const auto Found = Context.State.Connections.find(Ref);
  if (Found == Context.State.Connections.end() ||
      Found->second.State == connection_state::Closed)
    return nullptr;
  return &Found->second;
}

/// The idle connection that answered last: the surest to be alive.
pooled_connection *mostRecentlyAnsweredIdle(context &Context,
                                            const target_pool &Pool) {
  pooled_connection *Best = nullptr;
  for (const connection_ref Ref : Pool.Connections) {
    pooled_connection &Connection = Context.State.Connections.at(Ref);
    if (Connection.State != connection_state::Idle)
      continue;
    if (Best == nullptr || Best->AnsweredAt < Connection.AnsweredAt)
      Best = &Connection;
  }
  return Best;
}

std::string statementId(const host_state &State, const statement_run &Run) {
  return State.Self.Id.Value + "." + std::to_string(Run.Number);
}

target_request makeStatement(const host_state &State,
                             const statement_run &Run) {
  const forward_request &Request = Run.Request;
  const bool PlainRead =
      Request.Kind == statement_kind::Read && Run.Transaction == 0;
  target_request Statement;
  Statement.Id = statementId(State, Run);
  Statement.Kind = Request.Kind;
  Statement.Row = Request.Row;
  Statement.Value = Request.Value;
  Statement.Term = PlainRead ? 0 : Request.Term;
  Statement.IdempotencyKey = Request.IdempotencyKey;
  Statement.Account = Request.Account.Value;
  return Statement;
}

void sendStatement(context &Context, pooled_connection &Connection,
                   statement_run &Run) {
  Connection.Run = Run.Number;
  Run.Connection = Connection.Ref;
  Run.SentAt = Context.Now;
  dispatchConnectionEvent(Context, Connection, connection_event::StatementSent);
  dispatchRunEvent(Context, Run, run_event::StatementSent);
  emit(Context, effects::send_statement{Connection.Ref,
                                        makeStatement(Context.State, Run)});
}

/// Gives idle connections to the runs that wait for one.
void serveWaitingRuns(context &Context, target_pool &Pool) {
  while (!Pool.AwaitingConnection.empty()) {
    pooled_connection *Idle = mostRecentlyAnsweredIdle(Context, Pool);
    if (Idle == nullptr)
      return;
    const std::uint64_t Number = Pool.AwaitingConnection.front();
    Pool.AwaitingConnection.pop_front();
    sendStatement(Context, *Idle, Context.State.Runs.at(Number));
  }
}

} // namespace

target_pool *findPool(context &Context, const target_id &Target) {
  const auto Found = Context.State.Pools.find(Target);
  if (Found != Context.State.Pools.end())
    return &Found->second;
  const target_settings *Settings = findTarget(Context.State.Fleet, Target);
  if (Settings == nullptr)
    return nullptr;
  target_pool &Pool = Context.State.Pools[Target];
  Pool.Target = *Settings;
  return &Pool;
}

void dispatchConnectionEvent(context &Context, pooled_connection &Connection,
                             connection_event Event) {
  const auto *Transition = Context.State.Charts.Connection.find(
      Connection.State, Event,
      [&](connection_guard) { return Connection.Transaction != 0; });
  if (Transition == nullptr)
    return;
  Connection.State = Transition->Target;
  for (const connection_action Action : Transition->Actions)
    performAction(Context, Connection, Action);
  if (Connection.State == connection_state::Closed) {
    target_pool &Pool = Context.State.Pools.at(Connection.Target);
    refuseRunsWithoutConnection(Context, Pool);
    grantSlots(Context, Pool);
  }
}

void findConnection(context &Context, target_pool &Pool, statement_run &Run) {
  if (Run.Transaction != 0) {
    const auto &Transaction = Context.State.Transactions.at(Run.Transaction);
    sendStatement(Context, Context.State.Connections.at(Transaction.Connection),
                  Run);
    return;
  }
  if (pooled_connection *Idle = mostRecentlyAnsweredIdle(Context, Pool)) {
    sendStatement(Context, *Idle, Run);
    return;
  }
  Pool.AwaitingConnection.push_back(Run.Number);
  dialForWaitingRuns(Context, Pool);
}

void cancelConnectionWait(target_pool &Pool, std::uint64_t Run) {
  std::erase(Pool.AwaitingConnection, Run);
}

void targetConnected(context &Context, const events::target_connected &Event) {
  pooled_connection *Connection = findConnection(Context, Event.Connection);
  if (Connection == nullptr)
    return;
  target_pool &Pool = Context.State.Pools.at(Connection->Target);
  Pool.DialDelay = duration{};
  Connection->AnsweredAt = Context.Now;
  Connection->IdleSince = Context.Now;
  dispatchConnectionEvent(Context, *Connection, connection_event::Connected);
  serveWaitingRuns(Context, Pool);
}

void targetDisconnected(context &Context,
                        const events::target_disconnected &Event) {
  if (pooled_connection *Connection = findConnection(Context, Event.Connection))
    dispatchConnectionEvent(Context, *Connection,
                            connection_event::Disconnected);
}

void targetAnswered(context &Context, const events::target_answered &Event) {
  pooled_connection *Connection = findConnection(Context, Event.Connection);
  if (Connection == nullptr)
    return;
  const auto Found = Context.State.Runs.find(Connection->Run);
  if (Connection->State != connection_state::Running ||
      Found == Context.State.Runs.end() ||
      Event.Answer.Id != statementId(Context.State, Found->second)) {
    // An answer to something else: nothing on this connection can be trusted.
    dispatchConnectionEvent(Context, *Connection, connection_event::Retired);
    return;
  }
  statement_run &Run = Found->second;
  target_pool &Pool = Context.State.Pools.at(Connection->Target);
  Connection->Run = 0;
  Connection->AnsweredAt = Context.Now;
  Connection->IdleSince = Context.Now;
  const bool Trusted =
      updateTransaction(Context, Run, *Connection, Event.Answer);
  dispatchConnectionEvent(Context, *Connection, connection_event::Answered);
  if (!Trusted)
    dispatchConnectionEvent(Context, *Connection, connection_event::Retired);
  runAnswered(Context, Run, Event.Answer);
  serveWaitingRuns(Context, Pool);
  grantSlots(Context, Pool);
}

void eraseClosedConnections(context &Context) {
  for (const connection_ref Ref : Context.State.ClosedConnections)
    Context.State.Connections.erase(Ref);
  Context.State.ClosedConnections.clear();
}

} // namespace bronzespar::impl

/// Dialling, warm connections, overdue answers, and pools that moved away.
#include "dialling.hpp"
#include "bounds.hpp"
#include "pools.hpp"
#include "runs.hpp"

#include <algorithm>

namespace bronzespar::impl {

namespace {

std::size_t countConnections(const context &Context, const target_pool &Pool,
                             connection_state State) {
  return static_cast<std::size_t>(
      std::count_if(Pool.Connections.begin(), Pool.Connections.end(),
                    [&](connection_ref Ref) {
                      return Context.State.Connections.at(Ref).State == State;
                    }));
}

bool mayDial(const context &Context, const target_pool &Pool) {
  return Pool.Connections.size() < Pool.Target.Connections &&
         Context.Now >= Pool.NextDialAt;
}

void dial(context &Context, target_pool &Pool) {
  host_state &State = Context.State;
  const connection_ref Ref{State.NextConnection++};
  pooled_connection Connection;
  Connection.Ref = Ref;
  Connection.Target = Pool.Target.Id;
  Connection.State = State.Charts.Connection.Initial;
  Connection.OpenedAt = Context.Now;
  State.Connections.emplace(Ref, Connection);
  Pool.Connections.push_back(Ref);
  emit(Context,
       effects::open_connection{Ref, Pool.Target.Id,
                                mapAddress(State.Self, Pool.Target.DataCentre,
                                           Pool.Target.Statements)});
}

bool ownsPool(const context &Context, const target_settings &Target) {
  const auto Owner = poolOwner(Context.State.Membership, Target);
  return Owner && *Owner == Context.State.Self.Id;
}

bool isReachable(const context &Context, const target_settings &Target) {
  const auto View = Context.State.Groups.find(Target.Group);
  if (View == Context.State.Groups.end())
    return false;
  for (const member_view &Member : View->second.Members)
    if (Member.Target == Target.Id)
      return Member.Reachable;
  return false;
}

/// Keeps as many idle connections as statements can run at once.
void ensureMinimumConnections(context &Context, target_pool &Pool) {
  const std::size_t Wanted = std::min<std::size_t>(
      Pool.Target.Connections, Pool.Target.Slots + Pool.OpenTransactions);
  while (Pool.Connections.size() < Wanted && mayDial(Context, Pool))
    dial(Context, Pool);
}

void retireIdleConnections(context &Context, const target_pool &Pool) {
  const std::vector<connection_ref> All = Pool.Connections;
  for (const connection_ref Ref : All) {
    pooled_connection &Connection = Context.State.Connections.at(Ref);
    if (Connection.State == connection_state::Idle)
      dispatchConnectionEvent(Context, Connection, connection_event::Retired);
  }
}

bool isOverdue(const context &Context, const target_pool &Pool,
               const pooled_connection &Connection) {
  if (Connection.State == connection_state::Dialling)
    return Context.Now - Connection.OpenedAt >= DialTimeout;
  if (Connection.State != connection_state::Running)
    return false;
  const auto Run = Context.State.Runs.find(Connection.Run);
  return Run == Context.State.Runs.end() ||
         Context.Now >= overdueAt(Pool, Run->second);
}

void closeOverdueConnections(context &Context, const target_pool &Pool) {
  const std::vector<connection_ref> All = Pool.Connections;
  for (const connection_ref Ref : All) {
    pooled_connection &Connection = Context.State.Connections.at(Ref);
    if (isOverdue(Context, Pool, Connection))
      dispatchConnectionEvent(Context, Connection, connection_event::Overdue);
  }
}

void tickPool(context &Context, target_pool &Pool) {
  closeOverdueConnections(Context, Pool);
  dialForWaitingRuns(Context, Pool);
  const bool Wanted =
      acceptsNewWork(Context, Pool.Target) && ownsPool(Context, Pool.Target);
  if (Wanted && isReachable(Context, Pool.Target))
    ensureMinimumConnections(Context, Pool);
  else if (!Wanted && Context.Now - Pool.LastUsed >= ForeignPoolIdleTimeout)
    retireIdleConnections(Context, Pool);
}

/// Makes the pools that this host should hold.
void createOwnedPools(context &Context) {
  for (const group_settings &Group : Context.State.Fleet.Groups)
    for (const target_settings &Target : Group.Members)
      if (Context.State.Pools.count(Target.Id) == 0 &&
          ownsPool(Context, Target))
        (void)findPool(Context, Target.Id);
}

} // namespace

bool acceptsNewWork(const context &Context, const target_settings &Target) {
  const target_settings *Current = findTarget(Context.State.Fleet, Target.Id);
  if (Current == nullptr || Current->Leaving)
    return false;
  const auto View = Context.State.Groups.find(Current->Group);
  if (View == Context.State.Groups.end())
    return true;
  for (const member_view &Member : View->second.Members)
    if (Member.Target == Target.Id)
      return !Member.Leaving && !(Member.Report && Member.Report->Leaving);
  return true;
}

void dialForWaitingRuns(context &Context, target_pool &Pool) {
  std::size_t Dialling =
      countConnections(Context, Pool, connection_state::Dialling);
  while (Dialling < Pool.AwaitingConnection.size() && mayDial(Context, Pool)) {
    dial(Context, Pool);
    ++Dialling;
  }
}

void delayDialling(context &Context, target_pool &Pool) {
  Pool.DialDelay = Pool.DialDelay == duration{}
                       ? InitialDialDelay
                       : std::min(Pool.DialDelay * 2, MaxDialDelay);
  Pool.NextDialAt = Context.Now + Pool.DialDelay;
}

void refuseRunsWithoutConnection(context &Context, target_pool &Pool) {
  if (Context.Now >= Pool.NextDialAt || !Pool.Connections.empty())
    return;
  const std::deque<std::uint64_t> Waiting = Pool.AwaitingConnection;
  for (const std::uint64_t Number : Waiting)
    refuseRun(Context, Context.State.Runs.at(Number),
              refusal_cause::ConnectionLost,
              "No connection to the target could be made.");
}

void tickPools(context &Context) {
  createOwnedPools(Context);
  for (auto &[Target, Pool] : Context.State.Pools)
    tickPool(Context, Pool);
}

} // namespace bronzespar::impl

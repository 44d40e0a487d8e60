/// Work that is under way at primaries while this host's right to use them
/// ends: its lease may end, the record may be closed, and a host that was
/// suspended or partitioned may learn of the next primary together with that.
///
/// A connection remembers the generation and the lease under which it uses its
/// target as primary. Each further statement on it is checked against them when
/// it is sent: a transaction ends with the right that it began under.
#include "parts.hpp"

namespace bronzespar::proxy {

namespace {

/// Time that statements may still run at a primary whose record was closed, and
/// that a commit may take to be answered after the right to use it has ended.
constexpr duration ClosingGracePeriod = std::chrono::milliseconds(250);

/// Whether statements or transactions still use the group's primary.
bool usesPrimary(const host &State, const group_state &Group) {
  for (const auto &[Number, Connection] : State.Connections) {
    const bool Uses = Connection.Phase == connection_phase::Running ||
                      Connection.Phase == connection_phase::Preparing ||
                      Connection.Phase == connection_phase::Resting;
    if (Uses && Connection.Target == Group.Record->Primary &&
        (Connection.Request != 0 || Connection.Session != 0))
      return true;
  }
  return false;
}

/// Whether the record that a connection began under is only being closed. The
/// coordinator waits for this host's acknowledgement if its lease is the same.
bool isBeingClosed(const host &State, const group_state &Group,
                   const target_connection &Connection, instant Now) {
  return !Group.Record->Open &&
         Group.Record->Generation == Connection.PrimaryGeneration + 1 &&
         Group.AcknowledgedClosure < Group.Record->Generation &&
         Now < Group.ClosedAt + ClosingGracePeriod &&
         State.Lease.Id == Connection.PrimaryLease && hasValidLease(State, Now);
}

/// Whether the connection's target was replaced, or may have been.
bool isReplaced(const host &State, const target_connection &Connection) {
  const auto Group = State.Groups.find(Connection.Group);
  if (Group == State.Groups.end() || !Group->second.Record)
    return true;
  const group_record &Record = *Group->second.Record;
  return Record.Primary != Connection.Target || isDisproved(Group->second) ||
         Record.Generation > Connection.PrimaryGeneration + 1;
}

/// Ends the transactions of callers that rest.
void endRestingTransactions(step_context &Step,
                            const std::vector<session_number> &Sessions) {
  for (const session_number Number : Sessions)
    if (caller_session *Session = findIn(Step.State.Sessions, Number);
        Session != nullptr && Session->Transaction && Session->Request == 0)
      failTransaction(Step, *Session);
}

} // namespace

bool mayCommit(const host &State, const target_connection &Connection) {
  const auto Found = State.Requests.find(Connection.Request);
  if (Found == State.Requests.end())
    return false;
  const target_request &Request = Found->second;
  return Request.Statement.Kind == statement_kind::Commit ||
         (Request.Writes && !Request.InTransaction);
}

bool isAtDisprovedPrimary(const host &State,
                          const target_connection &Connection) {
  const auto Found = State.Groups.find(Connection.Group);
  return Found != State.Groups.end() && isDisproved(Found->second) &&
         Found->second.Record->Generation == Connection.PrimaryGeneration;
}

void acknowledgeClosed(step_context &Step, group_state &Group) {
  if (!Group.Record || Group.Record->Open ||
      Group.AcknowledgedClosure >= Group.Record->Generation)
    return;
  if (usesPrimary(Step.State, Group)) {
    if (Step.Now < Group.ClosedAt + ClosingGracePeriod)
      return;
    failConnections(Step, Group.Record->Primary, true);
  }
  // Another host may still rely on this host's vote, also on one that the
  // process gave before it restarted.
  if (Step.Now <
      std::max(Group.OwnVoteUntil, Step.State.StartedAt + VoteLifetime))
    return;
  Group.AcknowledgedClosure = Group.Record->Generation;
}

bool mayContinueAtPrimary(const host &State,
                          const target_connection &Connection, instant Now) {
  if (Connection.PrimaryGeneration == 0 || Connection.Owner)
    return true;
  const auto Found = State.Groups.find(Connection.Group);
  if (Found == State.Groups.end() || !Found->second.Record ||
      Found->second.Record->Primary != Connection.Target)
    return false;
  const group_state &Group = Found->second;
  if (Group.Record->Generation == Connection.PrimaryGeneration)
    return mayUsePrimary(State, Connection.Group, Now);
  return isBeingClosed(State, Group, Connection, Now);
}

void superviseWorkAtPrimaries(step_context &Step) {
  std::vector<session_number> Replaced;
  std::vector<connection_number> Overdue;
  for (auto &[Number, Connection] : Step.State.Connections) {
    if (mayContinueAtPrimary(Step.State, Connection, Step.Now)) {
      Connection.RightEndedAt.reset();
      continue;
    }
    if (!Connection.RightEndedAt)
      Connection.RightEndedAt = Step.Now;
    if (Connection.Phase == connection_phase::Resting &&
        isReplaced(Step.State, Connection))
      Replaced.push_back(Connection.Session);
    if (Connection.Phase == connection_phase::Running &&
        Step.Now >= *Connection.RightEndedAt + ClosingGracePeriod &&
        mayCommit(Step.State, Connection))
      Overdue.push_back(Number);
  }
  endRestingTransactions(Step, Replaced);
  for (const connection_number Number : Overdue)
    failConnection(Step, Number);
}

} // namespace bronzespar::proxy

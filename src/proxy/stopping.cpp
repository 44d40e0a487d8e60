/// Readiness, isolation and the graceful stop of a host.
#include "parts.hpp"

#include <algorithm>
#include <utility>

namespace bronzespar::proxy {

namespace {

/// A session has this long to send its first statement before it is idle.
constexpr duration FirstStatementTime = std::chrono::milliseconds(500);
/// After the announcement of a stop, statements of other hosts that are on
/// their way arrive within this time.
constexpr duration ForwardArrivalTime = std::chrono::milliseconds(100);
constexpr double MicrosecondsPerMs = 1000;

bool isIdleSession(const caller_session &Session) {
  return Session.Request == 0 && Session.Phase == session_phase::Idle &&
         !Session.Transaction && !Session.Origin;
}

void closeSessions(step_context &Step,
                   const std::vector<session_number> &Numbers) {
  for (const session_number Number : Numbers) {
    Step.Out.push_back(effects::close_session{Number});
    closeSession(Step, Number);
  }
}

void closeIdleSessions(step_context &Step) {
  std::vector<session_number> Numbers;
  for (const auto &[Number, Session] : Step.State.Sessions)
    if (isIdleSession(Session) &&
        Step.Now >= Session.OpenedAt + FirstStatementTime)
      Numbers.push_back(Number);
  closeSessions(Step, Numbers);
}

/// Logs what is unanswered as the stop begins or as the process ends.
void logStop(step_context &Step, std::string_view Event) {
  const host &State = Step.State;
  std::size_t Waiting = 0;
  instant Oldest = Step.Now;
  for (const auto &[Number, Request] : State.Requests) {
    Waiting += Request.Rank ? 1 : 0;
    Oldest = std::min(Oldest, Request.ArrivedAt);
  }
  const auto Transactions = std::count_if(
      State.Sessions.begin(), State.Sessions.end(),
      [](const auto &Entry) { return Entry.second.Transaction.has_value(); });
  logLine(Step, Event,
          {{"ms", elapsedMsText(State.StoppedAt, Step.Now)},
           {"sessions", std::to_string(State.Sessions.size())},
           {"opened", std::to_string(State.SessionsSinceStop)},
           {"forwarded", std::to_string(State.ForwardSessions.size())},
           {"transactions", std::to_string(Transactions)},
           {"waiting", std::to_string(Waiting)},
           {"at_targets", std::to_string(State.Requests.size() - Waiting)},
           {"oldest_ms", elapsedMsText(Oldest, Step.Now)}});
}

/// Closes the sessions that the process has when it ends, none of which has an
/// unanswered statement.
void closeAllSessions(step_context &Step) {
  std::vector<session_number> Numbers;
  for (const auto &[Number, Session] : Step.State.Sessions)
    if (!Session.Origin)
      Numbers.push_back(Number);
  closeSessions(Step, Numbers);
}

/// Tells the other hosts, as one that does not hear the store would forward
/// statements until the process has ended.
void announceStop(step_context &Step) {
  if (Step.State.StopAnnouncedAt)
    return;
  Step.State.StopAnnouncedAt = Step.Now;
  Step.Out.push_back(effects::announce_stop{});
}

/// Ends open transactions that have no unanswered statement. Their callers get
/// the error with their next statement.
void abortTransactions(step_context &Step) {
  for (auto &[Number, Session] : Step.State.Sessions)
    if (Session.Transaction && Session.Request == 0)
      failTransaction(Step, Session);
}

} // namespace

bool isAnsweredBeforeStop(const host &State, const session_route &Route,
                          instant Now) {
  if (!State.Stopping)
    return true;
  if (State.HasEnded)
    return false;
  double SlowestMs = 0;
  for (const auto &[Id, Target] : State.Targets)
    if (Target.Entry.Group == Route.Group && Target.Listed)
      SlowestMs = std::max(SlowestMs, Target.LatencyMs);
  const duration UsualTime(
      static_cast<duration::rep>(SlowestMs * MicrosecondsPerMs));
  return isAnsweredInTime(State.StopPlan, UsualTime, Route.StatementTimeout,
                          Now);
}

bool mayBeginTransaction(const host &State, instant Now) {
  return !State.Stopping || Now < State.StopPlan.TransactionsEnd;
}

instant limitDeadline(const host &State, instant Deadline) {
  return State.Stopping ? std::min(Deadline, State.StopPlan.AnswerBy)
                        : Deadline;
}

void requestStop(step_context &Step) {
  host &State = Step.State;
  if (State.Stopping)
    return;
  State.Stopping = true;
  State.StoppedAt = Step.Now;
  State.StopPlan = planStop(Step.Now, State.Identity.GracePeriod);
  for (auto &[Number, Request] : State.Requests)
    Request.Deadline = limitDeadline(State, Request.Deadline);
  logStop(Step, "host.stopping");
  returnCoordinatorRole(Step);
}

void superviseStop(step_context &Step) {
  host &State = Step.State;
  const stop_plan &Plan = State.StopPlan;
  if (!State.Stopping || State.HasEnded || Step.Now < Plan.CloseIdleFrom)
    return;
  closeIdleSessions(Step);
  if (Step.Now >= Plan.TransactionsEnd)
    abortTransactions(Step);
  const bool OrderUnderWay = hasOrderUnderWay(State);
  const bool IsDone = State.Sessions.empty() && !OrderUnderWay;
  if (IsDone || Step.Now >= Plan.TransactionsEnd)
    announceStop(Step);
  if ((!IsDone || Step.Now < *State.StopAnnouncedAt + ForwardArrivalTime) &&
      Step.Now < Plan.AnswerBy)
    return;
  State.HasEnded = true;
  // The end of the lease frees the coordinator role, also for a host that does
  // not know of the order.
  if (State.Lease.Id != 0 && !OrderUnderWay)
    Step.Out.push_back(effects::revoke_lease{State.Lease.Id});
  logStop(Step, "host.stopped");
  closeAllSessions(Step);
  Step.Out.push_back(effects::stop_process{Plan.EndBy});
}

void noteAnswered(step_context &Step, const caller_session &Session) {
  if (Step.State.Stopping && !Session.Origin &&
      Step.Now >= Step.State.StopPlan.CloseIdleFrom)
    Step.State.AnsweredSessions.push_back(Session.Number);
}

void closeAnsweredSessions(step_context &Step) {
  std::vector<session_number> Numbers;
  for (const session_number Number :
       std::exchange(Step.State.AnsweredSessions, {}))
    if (const caller_session *Session = findIn(Step.State.Sessions, Number);
        Session != nullptr && isIdleSession(*Session))
      Numbers.push_back(Number);
  closeSessions(Step, Numbers);
}

void isolationChanged(step_context &Step, bool Isolated) {
  Step.State.Isolated = Isolated;
  Step.State.IsolatedAt = Step.Now;
  logLine(Step, Isolated ? "host.isolated" : "host.rejoined", {});
}

void superviseIsolation(step_context &Step) {
  const host &State = Step.State;
  if (State.Isolated && !State.Stopping &&
      Step.Now >= State.IsolatedAt + BalancerRemovalTime)
    closeIdleSessions(Step);
}

void updateReadiness(step_context &Step) {
  host &State = Step.State;
  bool Ready = State.Settings.has_value() && State.TargetsKnown &&
               !State.Stopping && !State.Isolated && !State.Groups.empty();
  // Once ready, a host stays ready without a lease, as it still serves reads of
  // bounded staleness.
  if (!State.Ready)
    for (const auto &[Name, Group] : State.Groups)
      Ready = Ready && Group.Record.has_value();
  if (Ready == State.Ready)
    return;
  State.Ready = Ready;
  logLine(Step, "host.ready", {{"ready", Ready ? "true" : "false"}});
  Step.Out.push_back(effects::set_ready{Ready});
}

} // namespace bronzespar::proxy

/// Forwarding of statements to the hosts that own the targets' connections
/// (owner_table.cpp), and the work of an owner for other hosts. An owner that
/// is lost is noticed by its silence, as it reports while it works.
#include "parts.hpp"

#include <algorithm>
#include <utility>

namespace bronzespar::proxy {

namespace {

/// The connection to an owner that sends nothing for this long while a
/// statement waits there is checked: one of its reports is overdue.
constexpr duration OwnerCheckTimeout = std::chrono::milliseconds(120);
/// An owner that sends nothing for this long while a statement waits there is
/// unresponsive. It gets no statements for the back-off time, in which a
/// stand-in runs them.
constexpr duration OwnerAnswerTimeout = std::chrono::milliseconds(220);
constexpr duration UnresponsiveOwnerBackOff = std::chrono::milliseconds(1500);
/// Two ticks and the way between two hosts, with a margin.
constexpr duration MaxForwardReturnTime = std::chrono::milliseconds(50);
/// An owner that is stopping gets no statements for this time. Afterwards it
/// has ended, and another process may run there.
constexpr duration StoppingOwnerBackOff = std::chrono::seconds(3);
/// The connection to an unresponsive owner is treated as lost after this time:
/// a device between the hosts may have dropped its state.
constexpr duration OwnerDisconnectTimeout = std::chrono::milliseconds(700);
/// An owner tells a forwarding host after this time that it works, so that a
/// slow target is not mistaken for a lost owner. Two such messages may be late.
constexpr duration PendingReportInterval = std::chrono::milliseconds(70);

forwarded_statement makeForwardedStatement(step_context &Step,
                                           const target_connection &Connection,
                                           const target_request &Request,
                                           bool OnReplica) {
  const caller_session &Session = Step.State.Sessions.at(Request.Session);
  forwarded_statement Forwarded;
  Forwarded.Id = Request.Id;
  Forwarded.Group = Connection.Group;
  Forwarded.Account = Connection.Account;
  Forwarded.Target = Connection.Target;
  Forwarded.Values = Session.Values;
  if (Request.Statement.Kind == statement_kind::Execute)
    Forwarded.Template =
        Session.PreparedStatements.at(Request.Statement.Name).Template;
  Forwarded.Statement = Request.Statement;
  Forwarded.Statement.Writes = Request.Writes;
  Forwarded.RequiredPosition = Request.RequiredPosition;
  Forwarded.InTransaction = Request.InTransaction;
  Forwarded.NeedsPrimary = !OnReplica;
  Forwarded.MaxStaleness = Request.Route.MaxStaleness;
  Forwarded.Priority = Request.Route.Priority;
  Forwarded.RemainingTime = Request.Deadline - Step.Now;
  return Forwarded;
}

void sendForward(step_context &Step, target_connection &Connection,
                 target_request &Request, forwarded_statement Forwarded) {
  if (Request.InTransaction && Request.Writes)
    Step.State.Sessions.at(Request.Session).Transaction->Wrote = true;
  Connection.Phase = connection_phase::Running;
  Connection.SentAt = Step.Now;
  if (target_view *Target = findIn(Step.State.Targets, Connection.Target))
    Target->Running += 1;
  Step.Out.push_back(effects::forward{*Connection.Owner, Connection.Number,
                                      std::move(Forwarded)});
}

/// Local session that represents a forwarding host's session.
caller_session &findOrCreateForwardedSession(step_context &Step,
                                             const forward_origin &Origin) {
  host &State = Step.State;
  const auto Known = State.ForwardSessions.find(Origin);
  if (Known != State.ForwardSessions.end())
    return State.Sessions.at(Known->second);
  // The listener numbers callers' sessions from 1; forwarded ones start far
  // above them.
  constexpr session_number FirstForwardedNumber = session_number{1} << 62;
  caller_session Session;
  Session.Number = FirstForwardedNumber + nextNumber(State);
  Session.Origin = Origin;
  State.ForwardSessions[Origin] = Session.Number;
  return State.Sessions.emplace(Session.Number, std::move(Session))
      .first->second;
}

void refuseForward(step_context &Step, const caller_session &Session,
                   answer_code Code, std::string Text) {
  answer Answer;
  Answer.Code = Code;
  Answer.Text = std::move(Text);
  answerSession(Step, Session, std::move(Answer));
}

session_route routeOf(const forwarded_statement &Forwarded) {
  session_route Route;
  Route.Group = Forwarded.Group;
  Route.Priority = Forwarded.Priority;
  Route.StatementTimeout = Forwarded.RemainingTime;
  Route.MaxStaleness = Forwarded.MaxStaleness;
  Route.Consistency = Forwarded.NeedsPrimary
                          ? read_consistency::Primary
                          : read_consistency::BoundedStaleness;
  return Route;
}

/// Time for which an owner has sent nothing although a statement waits there.
/// It reports while it works on one, so silence means that it is lost.
duration silenceOfOwner(const host &State, const target_connection &Connection,
                        instant Now) {
  const auto AnsweredAt = State.OwnersAnsweredAt.find(*Connection.Owner);
  const instant Since = AnsweredAt == State.OwnersAnsweredAt.end()
                            ? Connection.SentAt
                            : std::max(Connection.SentAt, AnsweredAt->second);
  return Now - Since;
}

/// Whether a connection's statements were sent on a connection to its owner
/// that was replaced. They are lost when that ends.
bool isOnReplacedLink(const host &State, const target_connection &Connection) {
  const auto Replaced = State.ReplacedLinks.find(*Connection.Owner);
  return Replaced != State.ReplacedLinks.end() &&
         Connection.Number <= Replaced->second;
}

} // namespace

void forwardRequest(step_context &Step, target_view &Target,
                    const endpoint &Owner, target_request &Request,
                    bool OnReplica,
                    std::optional<log_position> RequiredPosition) {
  caller_session &Session = Step.State.Sessions.at(Request.Session);
  target_connection Connection;
  Connection.Number = nextNumber(Step.State);
  Connection.Target = Target.Entry.Id;
  Connection.Group = Target.Entry.Group;
  Connection.Account = Request.Account;
  Connection.Owner = Owner;
  Connection.Request = Request.Number;
  if (!OnReplica)
    beginUseOfPrimary(Step, Connection);
  Request.PrimaryGeneration = Connection.PrimaryGeneration;
  Request.Connection = Connection.Number;
  Request.RequiredPosition = RequiredPosition;
  Request.Attempts += 1;
  forwarded_statement Forwarded =
      makeForwardedStatement(Step, Connection, Request, OnReplica);
  if (Request.InTransaction) {
    Forwarded.Begins = Session.Transaction->ReadOnly ? forward_begin::BeginRead
                                                     : forward_begin::Begin;
    Connection.Session = Session.Number;
    Session.Transaction->Connection = Connection.Number;
  }
  target_connection &Stored =
      Step.State.Connections.emplace(Connection.Number, std::move(Connection))
          .first->second;
  sendForward(Step, Stored, Request, std::move(Forwarded));
}

void forwardNext(step_context &Step, target_connection &Connection,
                 target_request &Request) {
  sendForward(Step, Connection, Request,
              makeForwardedStatement(Step, Connection, Request, false));
}

void forwardRequested(step_context &Step, events::forward_requested &&Event) {
  host &State = Step.State;
  forwarded_statement &Forwarded = Event.Forwarded;
  caller_session &Session =
      findOrCreateForwardedSession(Step, {Event.Link, Event.Ticket});
  const bool Continues =
      Forwarded.InTransaction && Forwarded.Begins == forward_begin::None;
  if (!State.Settings || Session.Request != 0 ||
      (Continues && !Session.Transaction)) {
    refuseForward(Step, Session,
                  Continues ? answer_code::Aborted : answer_code::Busy,
                  "the owner holds no such session");
    if (Session.Request == 0)
      closeSession(Step, Session.Number);
    return;
  }
  Session.Account = Forwarded.Account;
  Session.Values = std::move(Forwarded.Values);
  if (!Forwarded.Template.empty())
    Session.PreparedStatements[Forwarded.Statement.Name] = {
        Forwarded.Template, Forwarded.Statement.Writes};
  if (Forwarded.Begins != forward_begin::None)
    openTransaction(Session, routeOf(Forwarded),
                    Forwarded.Begins == forward_begin::BeginRead, Step.Now);
  target_request Request;
  Request.Number = nextNumber(State);
  Request.Session = Session.Number;
  Request.Id = Forwarded.Id;
  Request.Account = Forwarded.Account;
  Request.Route = routeOf(Forwarded);
  Request.NeedsPrimary = Forwarded.NeedsPrimary;
  Request.Writes = Forwarded.Statement.Writes;
  Request.InTransaction = Forwarded.InTransaction;
  Request.ForwardedTarget = Forwarded.Target;
  Request.ForwardedPosition = Forwarded.RequiredPosition;
  Request.ArrivedAt = Step.Now;
  Request.Deadline = limitDeadline(State, Step.Now + Forwarded.RemainingTime);
  Request.Statement = std::move(Forwarded.Statement);
  Request.TokenTaken = true;
  launchRequest(Step, Session, std::move(Request));
}

duration forwardReturnTime(const target_request &Request) {
  return std::min(MaxForwardReturnTime,
                  (Request.Deadline - Request.ArrivedAt) / 4);
}

void forwardEnded(step_context &Step, const forward_origin &Origin) {
  const auto Known = Step.State.ForwardSessions.find(Origin);
  if (Known != Step.State.ForwardSessions.end())
    closeSession(Step, session_number{Known->second});
}

void forwardPending(step_context &Step, const std::string &Link) {
  if (const auto Owner = parseEndpoint(Link))
    Step.State.OwnersAnsweredAt[*Owner] = Step.Now;
}

void reportPendingForwards(step_context &Step) {
  for (const auto &[Origin, Number] : Step.State.ForwardSessions) {
    const target_request *Request =
        findIn(Step.State.Requests, Step.State.Sessions.at(Number).Request);
    if (Request == nullptr)
      continue;
    instant &AnsweredAt = Step.State.LinksAnsweredAt[Origin.Link];
    const instant Since = std::max(AnsweredAt, Request->ArrivedAt);
    if (Step.Now < Since + PendingReportInterval)
      continue;
    AnsweredAt = Step.Now;
    Step.Out.push_back(effects::report_pending{Origin.Link});
  }
}

void closeIdleForward(step_context &Step, caller_session &Session) {
  if (!Session.Transaction)
    closeSession(Step, session_number{Session.Number});
}

void peerLost(step_context &Step, const events::peer_lost &Event) {
  Step.State.LinksAnsweredAt.erase(Event.Link);
  std::vector<forward_origin> Ended;
  for (const auto &[Origin, Session] : Step.State.ForwardSessions)
    if (Origin.Link == Event.Link)
      Ended.push_back(Origin);
  for (const forward_origin &Origin : Ended)
    forwardEnded(Step, Origin);
  std::vector<connection_number> Lost;
  for (const auto &[Number, Connection] : Step.State.Connections) {
    if (!Connection.Owner || toText(*Connection.Owner) != Event.Link)
      continue;
    if (!Event.LastTicket)
      Step.State.UnresponsiveOwners[*Connection.Owner] =
          Step.Now + UnresponsiveOwnerBackOff;
    if (!Event.LastTicket || Number <= *Event.LastTicket)
      Lost.push_back(Number);
  }
  for (const connection_number Number : Lost)
    targetLost(Step, Number);
}

void linkReplaced(step_context &Step, const events::link_replaced &Event) {
  const auto Owner = parseEndpoint(Event.Link);
  if (!Owner)
    return;
  Step.State.ReplacedLinks[*Owner] = Event.LastTicket;
  Step.State.UnresponsiveOwners.erase(*Owner);
  logLine(Step, "link.replaced", {{"peer", Event.Link}});
}

void peerStopping(step_context &Step, const events::peer_stopping &Event) {
  const auto Owner = parseEndpoint(Event.Link);
  if (!Owner)
    return;
  Step.State.UnresponsiveOwners[*Owner] = Step.Now + StoppingOwnerBackOff;
  logLine(Step, "owner.stopping", {{"owner", Event.Link}});
}

void detectUnresponsiveOwner(step_context &Step,
                             const target_connection &Connection) {
  if (!Connection.Owner || Connection.Phase != connection_phase::Running ||
      isOnReplacedLink(Step.State, Connection))
    return;
  const duration Silence = silenceOfOwner(Step.State, Connection, Step.Now);
  if (Silence >= OwnerCheckTimeout)
    Step.Out.push_back(effects::check_peer{*Connection.Owner});
  if (Silence < OwnerAnswerTimeout)
    return;
  instant &UnresponsiveUntil = Step.State.UnresponsiveOwners[*Connection.Owner];
  if (UnresponsiveUntil > Step.Now)
    return;
  UnresponsiveUntil = Step.Now + UnresponsiveOwnerBackOff;
  suspectPrimary(Step, Connection.Target);
  logLine(Step, "owner.silent",
          {{"owner", toText(*Connection.Owner)},
           {"target", Connection.Target},
           {"ms", elapsedMsText(instant{}, instant(Silence))}});
}

void disconnectUnresponsiveOwners(step_context &Step) {
  std::set<endpoint> Unresponsive;
  for (const auto &[Number, Connection] : Step.State.Connections)
    if (Connection.Owner && Connection.Phase == connection_phase::Running &&
        !isOnReplacedLink(Step.State, Connection) &&
        silenceOfOwner(Step.State, Connection, Step.Now) >
            OwnerDisconnectTimeout)
      Unresponsive.insert(*Connection.Owner);
  for (const endpoint &Owner : Unresponsive)
    Step.Out.push_back(effects::drop_peer{Owner});
}

} // namespace bronzespar::proxy

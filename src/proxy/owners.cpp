/// Owners of targets' connections. Answers the load in which hosts and client
/// accounts together are more than a target's connections: each statement would
/// need a connection made for it, and connecting alone can fill the target's
/// slots. One host for each target, in its data centre, keeps few warm
/// connections for all; the others send it their statements.
#include "parts.hpp"

#include <bronzespar/membership.hpp>

#include <algorithm>
#include <utility>

namespace bronzespar::proxy {

namespace {

/// An owner from which nothing was heard for this long while a statement waits
/// there is not asked for a while; targets are then used directly.
constexpr duration OwnerAnswerTimeout = std::chrono::milliseconds(220);
constexpr duration SilentOwnerBackOff = std::chrono::milliseconds(1500);
/// After this, the connection to it is taken for lost: something between the
/// hosts may have forgotten it.
constexpr duration OwnerDisconnectTimeout = std::chrono::milliseconds(700);

const std::string &ownerName(const host &State, target_view &Target) {
  if (Target.OwnerVersion == State.HostsVersion && !Target.OwnerName.empty())
    return Target.OwnerName;
  std::vector<host_id> Near;
  std::vector<host_id> All;
  for (const auto &[Name, Peer] : State.Hosts) {
    if (Peer.Record.Leaving)
      continue;
    All.emplace_back(Name);
    if (Peer.Record.DataCentre == Target.Entry.DataCentre)
      Near.emplace_back(Name);
  }
  const auto Owner =
      rendezvous("connections/" + Target.Entry.Id, Near.empty() ? All : Near);
  Target.OwnerName = Owner ? Owner->Value : State.Identity.Name;
  Target.OwnerVersion = State.HostsVersion;
  return Target.OwnerName;
}

forwarded_statement makeForwardedStatement(step_context &Step,
                                           const target_connection &Connection,
                                           const target_request &Request) {
  const caller_session &Session = Step.State.Sessions.at(Request.Session);
  forwarded_statement What;
  What.Id = Request.Id;
  What.Group = Connection.Group;
  What.Account = Connection.Account;
  What.Target = Connection.Target;
  What.Values = Session.Values;
  if (Request.Statement.Kind == statement_kind::Execute)
    What.Template =
        Session.PreparedStatements.at(Request.Statement.Name).Template;
  What.Statement = Request.Statement;
  What.Statement.Writes = Request.Writes;
  What.RequiredPosition = Request.RequiredPosition;
  What.InTransaction = Request.InTransaction;
  What.NeedsPrimary = !Request.RequiredPosition;
  What.Priority = Request.Route.Priority;
  What.RemainingTime = Request.Deadline - Step.Now;
  return What;
}

void sendForward(step_context &Step, target_connection &Connection,
                 target_request &Request, forwarded_statement What) {
  if (Request.InTransaction && Request.Writes)
    Step.State.Sessions.at(Request.Session).Transaction->Wrote = true;
  Connection.Phase = connection_phase::Running;
  Connection.SentAt = Step.Now;
  if (target_view *Target = findIn(Step.State.Targets, Connection.Target))
    Target->Running += 1;
  Step.Out.push_back(
      effects::forward{*Connection.Owner, Connection.Number, std::move(What)});
}

/// The session that stands for another host's session here.
caller_session &findOrCreateForwardedSession(step_context &Step,
                                             const forward_origin &Origin) {
  host &State = Step.State;
  const auto Known = State.ForwardSessions.find(Origin);
  if (Known != State.ForwardSessions.end())
    return State.Sessions.at(Known->second);
  // Callers' sessions are numbered from 1 by their listener.
  constexpr session_number FirstForward = session_number{1} << 62;
  caller_session Session;
  Session.Number = FirstForward + nextNumber(State);
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

session_route routeOf(const forwarded_statement &What) {
  session_route Route;
  Route.Group = What.Group;
  Route.Priority = What.Priority;
  Route.StatementTimeout = What.RemainingTime;
  Route.Consistency = What.NeedsPrimary ? read_consistency::Primary
                                        : read_consistency::BoundedStaleness;
  return Route;
}

} // namespace

bool areConnectionsOwned(const host &State, const std::string &Group) {
  if (!State.Settings || State.Hosts.size() < 2)
    return false;
  const auto Limits = State.Settings->Groups.find(Group);
  return Limits != State.Settings->Groups.end() &&
         State.Hosts.size() * State.Settings->Accounts.size() >
             Limits->second.MaxConnections;
}

bool ownsTarget(const host &State, target_view &Target) {
  return ownerName(State, Target) == State.Identity.Name;
}

std::optional<endpoint> remoteOwner(const host &State, target_view &Target,
                                    instant Now) {
  if (!areConnectionsOwned(State, Target.Entry.Group) ||
      ownsTarget(State, Target))
    return std::nullopt;
  const auto Peer = State.Hosts.find(Target.OwnerName);
  if (Peer == State.Hosts.end())
    return std::nullopt;
  const auto Silent = State.SilentOwners.find(Peer->second.Record.PeerEndpoint);
  if (Silent != State.SilentOwners.end() && Now < Silent->second)
    return std::nullopt;
  return Peer->second.Record.PeerEndpoint;
}

void forwardRequest(step_context &Step, target_view &Target,
                    const endpoint &Owner, target_request &Request,
                    std::optional<log_position> NotBefore) {
  caller_session &Session = Step.State.Sessions.at(Request.Session);
  target_connection Connection;
  Connection.Number = nextNumber(Step.State);
  Connection.Target = Target.Entry.Id;
  Connection.Group = Target.Entry.Group;
  Connection.Account = Request.Account;
  Connection.Owner = Owner;
  Connection.Request = Request.Number;
  Request.Connection = Connection.Number;
  Request.RequiredPosition = NotBefore;
  Request.Attempts += 1;
  forwarded_statement What = makeForwardedStatement(Step, Connection, Request);
  if (Request.InTransaction) {
    What.Begins = Session.Transaction->ReadOnly ? forward_begin::BeginRead
                                                : forward_begin::Begin;
    Connection.Session = Session.Number;
    Session.Transaction->Connection = Connection.Number;
  }
  target_connection &Stored =
      Step.State.Connections.emplace(Connection.Number, std::move(Connection))
          .first->second;
  sendForward(Step, Stored, Request, std::move(What));
}

void forwardNext(step_context &Step, target_connection &Connection,
                 target_request &Request) {
  sendForward(Step, Connection, Request,
              makeForwardedStatement(Step, Connection, Request));
}

void forwardRequested(step_context &Step, events::forward_requested &&What) {
  host &State = Step.State;
  forwarded_statement &Asked = What.Forwarded;
  caller_session &Session =
      findOrCreateForwardedSession(Step, {What.Link, What.Ticket});
  const bool Continues =
      Asked.InTransaction && Asked.Begins == forward_begin::None;
  if (!State.Settings || Session.Request != 0 ||
      (Continues && !Session.Transaction)) {
    refuseForward(Step, Session,
                  Continues ? answer_code::Aborted : answer_code::Busy,
                  "the owner holds no such session");
    if (Session.Request == 0)
      closeSession(Step, Session.Number);
    return;
  }
  Session.Account = Asked.Account;
  Session.Values = std::move(Asked.Values);
  if (!Asked.Template.empty())
    Session.PreparedStatements[Asked.Statement.Name] = {Asked.Template,
                                                        Asked.Statement.Writes};
  if (Asked.Begins != forward_begin::None)
    openTransaction(Session, routeOf(Asked),
                    Asked.Begins == forward_begin::BeginRead, Step.Now);
  target_request Request;
  Request.Number = nextNumber(State);
  Request.Session = Session.Number;
  Request.Id = Asked.Id;
  Request.Account = Asked.Account;
  Request.Route = routeOf(Asked);
  Request.NeedsPrimary = Asked.NeedsPrimary;
  Request.Writes = Asked.Statement.Writes;
  Request.InTransaction = Asked.InTransaction;
  Request.ForwardedTarget = Asked.Target;
  Request.RequiredPosition = Asked.RequiredPosition;
  Request.ArrivedAt = Step.Now;
  Request.Deadline = Step.Now + Asked.RemainingTime;
  Request.Statement = std::move(Asked.Statement);
  Request.TokenTaken = true;
  launchRequest(Step, Session, std::move(Request));
}

void forwardEnded(step_context &Step, const forward_origin &Origin) {
  const auto Known = Step.State.ForwardSessions.find(Origin);
  if (Known != Step.State.ForwardSessions.end())
    closeSession(Step, session_number{Known->second});
}

void closeIdleForward(step_context &Step, caller_session &Session) {
  if (!Session.Transaction)
    closeSession(Step, session_number{Session.Number});
}

void peerLost(step_context &Step, const std::string &Link) {
  std::vector<forward_origin> Ended;
  for (const auto &[Origin, Session] : Step.State.ForwardSessions)
    if (Origin.Link == Link)
      Ended.push_back(Origin);
  for (const forward_origin &Origin : Ended)
    forwardEnded(Step, Origin);
  std::vector<connection_number> Lost;
  for (const auto &[Number, Connection] : Step.State.Connections)
    if (Connection.Owner && toText(*Connection.Owner) == Link) {
      Step.State.SilentOwners[*Connection.Owner] =
          Step.Now + SilentOwnerBackOff;
      Lost.push_back(Number);
    }
  for (const connection_number Number : Lost)
    targetLost(Step, Number);
}

void detectSilentOwner(step_context &Step,
                       const target_connection &Connection) {
  if (!Connection.Owner || Connection.Phase != connection_phase::Running ||
      Step.Now < Connection.SentAt + OwnerAnswerTimeout)
    return;
  const instant Heard = Step.State.OwnersAnsweredAt[*Connection.Owner];
  instant &Until = Step.State.SilentOwners[*Connection.Owner];
  if (Heard >= Connection.SentAt || Until > Step.Now)
    return;
  Until = Step.Now + SilentOwnerBackOff;
  logLine(Step, "owner.silent",
          {{"owner", toText(*Connection.Owner)},
           {"target", Connection.Target},
           {"ms", elapsedMsText(Connection.SentAt, Step.Now)}});
}

void disconnectSilentOwners(step_context &Step) {
  std::set<endpoint> Silent;
  for (const auto &[Number, Connection] : Step.State.Connections) {
    if (!Connection.Owner || Connection.Phase != connection_phase::Running)
      continue;
    const bool Heard =
        Step.State.OwnersAnsweredAt[*Connection.Owner] >= Connection.SentAt;
    if (!Heard && Step.Now > Connection.SentAt + OwnerDisconnectTimeout)
      Silent.insert(*Connection.Owner);
  }
  for (const endpoint &Owner : Silent)
    Step.Out.push_back(effects::drop_peer{Owner});
}

} // namespace bronzespar::proxy

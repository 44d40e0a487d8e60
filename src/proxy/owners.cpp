/// Connection owners of targets, which concentrate the load of a fleet on few
/// connections. When hosts times client accounts exceed a
/// target's connections, each statement would need a new connection, and
/// connecting alone can fill the target's slots. Therefore one host in the
/// target's data centre owns its connections and keeps a few open for all
/// hosts; the others forward their statements to it. While it does not answer,
/// the next one in a fixed order stands in for it: if each host connected by
/// itself instead, the connections of a large fleet would fill the target.
#include "parts.hpp"

#include <bronzespar/membership.hpp>

#include <algorithm>
#include <utility>

namespace bronzespar::proxy {

namespace {

/// An owner that sends nothing for this long while a statement waits there is
/// unresponsive. It gets no statements for the back-off time, in which targets
/// are used directly.
constexpr duration OwnerAnswerTimeout = std::chrono::milliseconds(220);
constexpr duration UnresponsiveOwnerBackOff = std::chrono::milliseconds(1500);
/// The connection to an unresponsive owner is treated as lost after this time:
/// a device between the hosts may have dropped its state.
constexpr duration OwnerDisconnectTimeout = std::chrono::milliseconds(700);
/// An owner tells a forwarding host after this time that it works, so that a
/// slow target is not mistaken for a lost owner. Two such messages may be late.
constexpr duration PendingReportInterval = std::chrono::milliseconds(70);
/// The owner of a target and its stand-ins.
constexpr std::size_t MaxOwners = 3;

/// Hosts that may own connections, by data centre.
using candidates_by_data_centre = std::map<std::string, std::vector<host_id>>;

candidates_by_data_centre ownerCandidates(const host &State) {
  candidates_by_data_centre Candidates;
  for (const auto &[Name, Peer] : State.Hosts)
    if (!Peer.Record.Leaving)
      Candidates[Peer.Record.DataCentre].emplace_back(Name);
  return Candidates;
}

/// Orders the candidates for a target by rendezvous hashing and moves a host
/// that owns fewer than MaxTargets to the front.
std::vector<std::string> rankOwners(const std::string &Target,
                                    const std::vector<host_id> &Candidates,
                                    std::map<std::string, std::size_t> &Owned,
                                    std::size_t MaxTargets) {
  std::vector<host_id> Ranked =
      rendezvousTop("connections/" + Target, Candidates, Candidates.size());
  const auto First =
      std::find_if(Ranked.begin(), Ranked.end(), [&](const host_id &Host) {
        return Owned[Host.Value] < MaxTargets;
      });
  if (First != Ranked.end())
    std::rotate(Ranked.begin(), First, std::next(First));
  std::vector<std::string> Names;
  for (const host_id &Host : Ranked)
    if (Names.size() < MaxOwners)
      Names.push_back(Host.Value);
  if (!Names.empty())
    Owned[Names.front()] += 1;
  return Names;
}

/// Assigns owners to the targets of one data centre, so that none owns many
/// more than the others.
void assignOwners(owner_table &Table, const std::vector<std::string> &Targets,
                  const std::vector<host_id> &Candidates) {
  if (Candidates.empty())
    return;
  const std::size_t MaxTargets =
      (Targets.size() + Candidates.size() - 1) / Candidates.size();
  std::map<std::string, std::size_t> Owned;
  for (const std::string &Target : Targets)
    Table.Owners[Target] = rankOwners(Target, Candidates, Owned, MaxTargets);
}

void updateOwners(host &State) {
  owner_table &Table = State.OwnerTable;
  Table.HostsVersion = State.HostsVersion;
  Table.TargetsVersion = State.TargetsVersion;
  Table.Owners.clear();
  candidates_by_data_centre Candidates = ownerCandidates(State);
  std::vector<host_id> AllHosts;
  for (const auto &[DataCentre, Hosts] : Candidates)
    AllHosts.insert(AllHosts.end(), Hosts.begin(), Hosts.end());
  std::map<std::string, std::vector<std::string>> Targets;
  for (const auto &[Id, Target] : State.Targets)
    Targets[Target.Entry.DataCentre].push_back(Id);
  for (const auto &[DataCentre, Ids] : Targets) {
    const auto Local = Candidates.find(DataCentre);
    assignOwners(Table, Ids,
                 Local == Candidates.end() ? AllHosts : Local->second);
  }
}

/// Connection owner of a target and its stand-ins, best first.
const std::vector<std::string> &ownersOf(host &State, const std::string &Id) {
  if (State.OwnerTable.HostsVersion != State.HostsVersion ||
      State.OwnerTable.TargetsVersion != State.TargetsVersion)
    updateOwners(State);
  return State.OwnerTable.Owners[Id];
}

bool isUnresponsive(const host &State, const endpoint &Owner, instant Now) {
  const auto Found = State.UnresponsiveOwners.find(Owner);
  return Found != State.UnresponsiveOwners.end() && Now < Found->second;
}

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

} // namespace

namespace {

/// Whether every host may hold a connection to a target of the group besides
/// those of the owner. Otherwise hosts that miss the owner would together fill
/// the target with new connections.
bool fitsDirectConnections(const host &State, const std::string &Group) {
  return State.Hosts.size() * 2 <=
         State.Settings->Groups.at(Group).MaxConnections;
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

std::optional<std::size_t> ownerRank(host &State, const std::string &Target) {
  const auto &Owners = ownersOf(State, Target);
  const auto Own = std::find(Owners.begin(), Owners.end(), State.Identity.Name);
  if (Own == Owners.end())
    return std::nullopt;
  return static_cast<std::size_t>(std::distance(Owners.begin(), Own));
}

owner_choice chooseOwner(host &State, const target_view &Target, instant Now) {
  if (!areConnectionsOwned(State, Target.Entry.Group))
    return {owner_kind::Self, {}};
  for (const std::string &Name : ownersOf(State, Target.Entry.Id)) {
    if (Name == State.Identity.Name)
      return {owner_kind::Self, {}};
    const listed_peer *Peer = findIn(State.Hosts, Name);
    if (Peer != nullptr &&
        !isUnresponsive(State, Peer->Record.PeerEndpoint, Now))
      return {owner_kind::Peer, Peer->Record.PeerEndpoint};
  }
  return {fitsDirectConnections(State, Target.Entry.Group) ? owner_kind::Self
                                                           : owner_kind::None,
          {}};
}

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
  Request.Deadline = Step.Now + Forwarded.RemainingTime;
  Request.Statement = std::move(Forwarded.Statement);
  Request.TokenTaken = true;
  launchRequest(Step, Session, std::move(Request));
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

void peerLost(step_context &Step, const std::string &Link) {
  Step.State.LinksAnsweredAt.erase(Link);
  std::vector<forward_origin> Ended;
  for (const auto &[Origin, Session] : Step.State.ForwardSessions)
    if (Origin.Link == Link)
      Ended.push_back(Origin);
  for (const forward_origin &Origin : Ended)
    forwardEnded(Step, Origin);
  std::vector<connection_number> Lost;
  for (const auto &[Number, Connection] : Step.State.Connections)
    if (Connection.Owner && toText(*Connection.Owner) == Link) {
      Step.State.UnresponsiveOwners[*Connection.Owner] =
          Step.Now + UnresponsiveOwnerBackOff;
      Lost.push_back(Number);
    }
  for (const connection_number Number : Lost)
    targetLost(Step, Number);
}

namespace {

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

} // namespace

void detectUnresponsiveOwner(step_context &Step,
                             const target_connection &Connection) {
  if (!Connection.Owner || Connection.Phase != connection_phase::Running)
    return;
  const duration Silence = silenceOfOwner(Step.State, Connection, Step.Now);
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
        silenceOfOwner(Step.State, Connection, Step.Now) >
            OwnerDisconnectTimeout)
      Unresponsive.insert(*Connection.Owner);
  for (const endpoint &Owner : Unresponsive)
    Step.Out.push_back(effects::drop_peer{Owner});
}

} // namespace bronzespar::proxy

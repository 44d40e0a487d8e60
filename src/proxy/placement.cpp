/// Placement of waiting statements on targets and connections.
#include <bronzespar/proxy/placement.hpp>

#include "parts.hpp"

#include <algorithm>
#include <tuple>

namespace bronzespar::proxy {

namespace {

/// A new connection occupies a slot of the target for about this long and needs
/// a round trip.
constexpr double DialMs = 16;
/// Round trip to another data centre, and a charge for the traffic between
/// them.
constexpr double OtherDataCentreMs = 3;
/// Penalty for a target that refused a statement a moment ago.
constexpr double RecentlyFullMs = 40;
/// Penalties for a read on the primary, so that its slots are left to
/// statements that need them.
constexpr double PrimaryFactor = 1.6;
constexpr double PrimaryMs = 4;
/// A route's staleness bound is reduced by this, because a read may wait that
/// long in a target's queue.
constexpr duration AgeMargin = std::chrono::milliseconds(300);
/// Replicas serve a session's reads only this long after its last write.
constexpr duration OwnWriteSettles = std::chrono::milliseconds(400);
/// A request without a token waits this long for a transfer from another host.
constexpr duration TokenWait = std::chrono::milliseconds(20);
/// A failover usually takes this long.
constexpr duration UsualChange = std::chrono::milliseconds(1400);
/// A new primary answers about this long before it is announced.
constexpr duration ChangeSlack = std::chrono::milliseconds(50);

/// Statements stop this long before the end of the drain period: the target
/// list lags behind the store, and a statement takes time to reach the target.
constexpr duration LeavingMargin = std::chrono::milliseconds(1000);
/// Statements that an owner queues at a target beyond its slots, so that no
/// slot is idle for a round trip.
constexpr unsigned QueuedAtTarget = 2;

/// Group, account and need for the primary. Requests that agree in all three
/// are placed alike.
using placement_class = std::tuple<std::string, std::string, bool>;

/// The first pass sends statements on idle connections; only the second dials
/// or closes connections for the rest. In a single pass, the statement at the
/// head of the queue could close the connection that was dialled for another
/// one.
enum class pump_pass { UseIdle, Dial };

struct pump_state {
  pump_pass Pass = pump_pass::UseIdle;
  std::map<placement_class, unsigned> Unplaced;
  std::set<placement_class> Blocked;
};

/// Limits of this host's connections to one target.
struct connection_share {
  /// A dial beyond this first closes the longest idle connection, if any.
  unsigned Usual = 1;
  /// A dial beyond this needs an idle connection to close.
  unsigned Most = 1;
};

/// The hosts' soft limits leave half of a target's connections free: after a
/// power loss the target holds the dead connections for seconds, and restarted
/// hosts need new ones.
connection_share connectionShare(const host &State, target_view &Target) {
  const std::string &Group = Target.Entry.Group;
  const group_limits *Limits = findIn(State.Settings->Groups, Group);
  const std::size_t Hosts = std::max<std::size_t>(State.Hosts.size(), 1);
  const unsigned MaxConnections =
      Limits == nullptr ? 1 : Limits->MaxConnections;
  connection_share Result;
  if (areConnectionsOwned(State, Group)) {
    const bool IsOwner = ownsTarget(State, Target);
    Result.Usual = IsOwner ? std::max(1U, MaxConnections / 2) : 1;
    Result.Most = IsOwner ? std::max(1U, MaxConnections * 3 / 4) : 1;
    return Result;
  }
  Result.Most = std::max(1U, static_cast<unsigned>(MaxConnections / Hosts));
  Result.Usual =
      std::max(1U, static_cast<unsigned>(MaxConnections / (2 * Hosts)));
  return Result;
}

/// An idle connection of the account, preferably one that already has the
/// session's values.
target_connection *idleConnection(host &State, const std::string &Target,
                                  const std::string &Account,
                                  const caller_session &Session) {
  target_connection *Best = nullptr;
  for (auto &[Number, Connection] : State.Connections) {
    if (Connection.Phase != connection_phase::Idle ||
        Connection.Target != Target || Connection.Account != Account)
      continue;
    if (Connection.Values == Session.Values)
      return &Connection;
    if (Best == nullptr)
      Best = &Connection;
  }
  return Best;
}

/// The connection to a target that has been idle longest, of any account.
target_connection *evictable(host &State, const std::string &Target) {
  target_connection *Oldest = nullptr;
  for (auto &[Number, Connection] : State.Connections)
    if (Connection.Phase == connection_phase::Idle &&
        Connection.Target == Target &&
        (Oldest == nullptr || Connection.IdleSince < Oldest->IdleSince))
      Oldest = &Connection;
  return Oldest;
}

unsigned diallingFor(const host &State, const std::string &Group,
                     const std::string &Account) {
  return static_cast<unsigned>(std::count_if(
      State.Connections.begin(), State.Connections.end(),
      [&](const auto &Entry) {
        return Entry.second.Phase == connection_phase::Dialling &&
               Entry.second.Group == Group && Entry.second.Account == Account;
      }));
}

struct candidate {
  target_view *Target = nullptr;
  std::optional<log_position> NotBefore;
};

/// Whether the time in which a draining target gets statements is over. A
/// draining primary is used until it is replaced, but not beyond that time.
bool hasLeft(const host &State, const target_view &Target, instant Now) {
  return Target.Entry.Draining &&
         Now + LeavingMargin >=
             Target.DrainingSince + State.Identity.DrainPeriod;
}

/// Adds the target that a forwarding host chose, if this host may use it in the
/// role that the request needs.
void addOnlyTarget(step_context &Step, const target_request &Request,
                   const group_state &Group, bool MayUsePrimary,
                   std::vector<candidate> &Candidates) {
  target_view *Target = findIn(Step.State.Targets, Request.OnlyTarget);
  if (Target == nullptr || !Target->Listed ||
      hasLeft(Step.State, *Target, Step.Now))
    return;
  const bool IsPrimary = Group.Record->Primary == Request.OnlyTarget;
  if (Request.NeedsPrimary ? IsPrimary && MayUsePrimary
                           : !Target->Entry.Draining)
    Candidates.push_back({Target, Request.NotBefore});
}

/// Targets that may run the request now, each with the position that it must
/// have reached.
std::vector<candidate> candidatesFor(step_context &Step,
                                     const target_request &Request) {
  host &State = Step.State;
  const group_state *Group = findIn(State.Groups, Request.Route.Group);
  std::vector<candidate> Candidates;
  if (Group == nullptr || !Group->Record)
    return Candidates;
  const bool MayUsePrimary =
      mayUsePrimary(State, Request.Route.Group, Step.Now);
  if (!Request.OnlyTarget.empty()) {
    addOnlyTarget(Step, Request, *Group, MayUsePrimary, Candidates);
    return Candidates;
  }
  const auto Required = provenPosition(State, Request, Step.Now);
  for (auto &[Id, Target] : State.Targets) {
    if (Target.Entry.Group != Request.Route.Group || !Target.Listed)
      continue;
    const bool IsPrimary = Group->Record->Primary == Id;
    if (hasLeft(State, Target, Step.Now))
      continue;
    // A connection owner uses the primary under its own lease.
    const bool OwnerMayUsePrimary =
        Group->Record->Open && ownerOf(State, Target, Step.Now).has_value();
    if (IsPrimary && (MayUsePrimary || OwnerMayUsePrimary)) {
      if (Request.NeedsPrimary || !Request.Avoid.contains(Id))
        Candidates.push_back({&Target, std::nullopt});
      continue;
    }
    if (Request.NeedsPrimary || !Required || Target.Entry.Draining ||
        Request.Avoid.contains(Id) ||
        (Target.LaggingUntil > Step.Now && Target.Known < *Required))
      continue;
    Candidates.push_back({&Target, Required});
  }
  return Candidates;
}

placement_option optionFor(step_context &Step, const target_request &Request,
                           const caller_session &Session,
                           const candidate &Candidate, std::size_t Index) {
  host &State = Step.State;
  target_view &Target = *Candidate.Target;
  placement_option Option;
  Option.Target = Index;
  Option.LatencyMs = Target.LatencyMs;
  Option.Running = Target.Running;
  Option.SameDataCentre = Target.Entry.DataCentre == State.Identity.DataCentre;
  Option.RecentlyFull = Target.BusyUntil > Step.Now;
  Option.SparePrimary = !Request.NeedsPrimary && !Candidate.NotBefore;
  if (Request.OnlyTarget.empty() && ownerOf(State, Target, Step.Now)) {
    Option.IsForwarded = true;
    return Option;
  }
  // Further statements wait here, in this host's order and not the target's.
  if (areConnectionsOwned(State, Target.Entry.Group) &&
      Target.Running >= Target.Entry.Slots + QueuedAtTarget)
    return Option;
  if (const auto *Idle =
          idleConnection(State, Target.Entry.Id, Request.Account, Session))
    Option.Connection = Idle->Number;
  const bool HasRoom = Target.Connections < connectionShare(State, Target).Most;
  Option.CanDial = Target.DialAfter <= Step.Now &&
                   (HasRoom || evictable(State, Target.Entry.Id) != nullptr);
  return Option;
}

/// Checks whether a request without candidates can be served in its time.
/// \returns The cause to refuse it now, or nothing when it should wait.
std::optional<std::string> hopeless(step_context &Step,
                                    const target_request &Request) {
  const host &State = Step.State;
  const auto Found = State.Groups.find(Request.Route.Group);
  if (Found == State.Groups.end() || !Found->second.Record)
    return "the group's primary is not known";
  const group_state &Group = Found->second;
  if (!Group.Record->Open) {
    const instant ExpectedEnd = Group.ClosedAt + UsualChange;
    if (Request.Deadline < ExpectedEnd + ChangeSlack)
      return "its primary is being replaced";
    return std::nullopt;
  }
  if (Group.Blind)
    return "its primary is not reached";
  if (!mayUsePrimary(State, Request.Route.Group, Step.Now))
    return "this host holds no lease to use the primary";
  return std::nullopt;
}

void refuseWaiting(step_context &Step, target_request &Request,
                   std::string Cause) {
  answer Answer;
  Answer.Code = Request.InTransaction || isNotRun(Request.LastCode)
                    ? answer_code::Busy
                    : answer_code::Failed;
  if (Request.InTransaction) {
    Answer.Code = answer_code::Aborted;
    failTransaction(Step, Step.State.Sessions.at(Request.Session));
    if (Request.Statement.Kind == statement_kind::Commit)
      Step.State.Sessions.at(Request.Session).Phase = session_phase::Idle;
  }
  Answer.Text = std::move(Cause);
  finishRequest(Step, Request, std::move(Answer));
}

/// Sends one request to a target or to its connection owner, or dials for it.
void place(step_context &Step, target_request &Request, pump_state &PassState,
           const placement_class &Class) {
  host &State = Step.State;
  const caller_session &Session = State.Sessions.at(Request.Session);
  const auto Candidates = candidatesFor(Step, Request);
  if (Candidates.empty() && !Request.OnlyTarget.empty()) {
    attemptFailed(Step, Request, answer_code::ReadOnly, true);
    return;
  }
  if (Candidates.empty()) {
    if (const auto Cause = hopeless(Step, Request)) {
      refuseWaiting(Step, Request, *Cause);
      return;
    }
    if (!Request.NeedsPrimary)
      Request.Avoid.clear();
    PassState.Blocked.insert(Class);
    return;
  }
  std::vector<placement_option> Options;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index)
    Options.push_back(
        optionFor(Step, Request, Session, Candidates[Index], Index));
  auto Chosen = choosePlacement(Options);
  if (PassState.Pass == pump_pass::UseIdle && Chosen && !Chosen->IsForwarded &&
      Chosen->Connection == 0) {
    // An idle connection to a less favourable target is used before any dial.
    std::erase_if(Options, [](const placement_option &Option) {
      return Option.Connection == 0 && !Option.IsForwarded;
    });
    Chosen = Options.empty() ? Chosen : choosePlacement(Options);
  }
  if (!Chosen) {
    PassState.Blocked.insert(Class);
    return;
  }
  target_view &Target = *Candidates[Chosen->Target].Target;
  if (Chosen->IsForwarded) {
    serve(State.Waiting, *Request.Rank);
    Request.Rank.reset();
    forwardRequest(Step, Target, *ownerOf(State, Target, Step.Now), Request,
                   Candidates[Chosen->Target].NotBefore);
    return;
  }
  if (Chosen->Connection != 0) {
    serve(State.Waiting, *Request.Rank);
    Request.Rank.reset();
    beginAttempt(Step, State.Connections.at(Chosen->Connection), Request,
                 Candidates[Chosen->Target].NotBefore);
    return;
  }
  if (PassState.Pass == pump_pass::UseIdle)
    return;
  const unsigned RequestsAhead = PassState.Unplaced[Class]++;
  if (diallingFor(State, Request.Route.Group, Request.Account) > RequestsAhead)
    return;
  if (Target.Connections >= connectionShare(State, Target).Usual)
    if (const auto *LongestIdle = evictable(State, Target.Entry.Id))
      closeConnection(Step, LongestIdle->Number);
  dialTarget(Step, Target, Request.Account);
}

/// Takes the token that the request's operation needs.
/// \returns False when the request must wait or was refused.
bool admitted(step_context &Step, target_request &Request) {
  if (Request.TokenTaken)
    return true;
  if (admitOperation(Step, Request.Account)) {
    Request.TokenTaken = true;
    return true;
  }
  const host &State = Step.State;
  if (isJoining(State, Step.Now) ||
      Step.Now - std::max(Request.ArrivedAt, State.EarningSince) < TokenWait)
    return false;
  const duration Wait = untilNextToken(State, Request.Account, Step.Now);
  refuseWaiting(Step, Request,
                "the account is beyond its rate; " + retryAfter(Wait));
  return false;
}

/// Tries to place each waiting request, in the order of the queue.
void runPass(step_context &Step, pump_pass Pass) {
  host &State = Step.State;
  pump_state PassState;
  PassState.Pass = Pass;
  std::vector<request_number> Order;
  Order.reserve(State.Waiting.Items.size());
  for (const auto &[Rank, Number] : State.Waiting.Items)
    Order.push_back(Number);
  for (const request_number Number : Order) {
    target_request *Request = findIn(State.Requests, Number);
    if (Request == nullptr || !Request->Rank || Step.Now < Request->RetryAt)
      continue;
    const placement_class Class{Request->Route.Group, Request->Account,
                                Request->NeedsPrimary};
    if (PassState.Blocked.contains(Class))
      continue;
    if (admitted(Step, *Request))
      place(Step, *Request, PassState, Class);
  }
}

} // namespace

std::optional<double> expectedMs(const placement_option &Option) noexcept {
  if (Option.Connection == 0 && !Option.CanDial && !Option.IsForwarded)
    return std::nullopt;
  double LatencyMs = Option.LatencyMs * (1 + 0.5 * Option.Running);
  if (Option.SparePrimary)
    LatencyMs = LatencyMs * PrimaryFactor + PrimaryMs;
  if (Option.Connection == 0 && !Option.IsForwarded)
    LatencyMs += DialMs;
  if (!Option.SameDataCentre)
    LatencyMs += OtherDataCentreMs;
  if (Option.RecentlyFull)
    LatencyMs += RecentlyFullMs;
  return LatencyMs;
}

std::optional<placement>
choosePlacement(std::span<const placement_option> Options) noexcept {
  std::optional<placement> Best;
  double Least = 0;
  for (const placement_option &Option : Options) {
    const auto Expected = expectedMs(Option);
    if (!Expected || (Best && *Expected >= Least))
      continue;
    Least = *Expected;
    Best = placement{Option.Target, Option.Connection, Option.IsForwarded};
  }
  return Best;
}

std::optional<log_position>
provenPosition(const host &State, const target_request &Request, instant Now) {
  if (Request.Route.Rule == read_rule::Primary)
    return std::nullopt;
  const auto Group = State.Groups.find(Request.Route.Group);
  const auto Session = State.Sessions.find(Request.Session);
  if (Group == State.Groups.end() || Session == State.Sessions.end())
    return std::nullopt;
  const auto Sample = positionForAge(Group->second.Samples, Now,
                                     Request.Route.MaxStaleness - AgeMargin);
  if (!Sample)
    return std::nullopt;
  if (Request.Route.Rule == read_rule::BoundedStaleness ||
      !Session->second.Written)
    return Sample->Position;
  if (Now < Session->second.WrittenAt + OwnWriteSettles)
    return std::nullopt;
  return std::max(Sample->Position, *Session->second.Written);
}

void placeWaiting(step_context &Step) {
  host &State = Step.State;
  if (State.Waiting.Items.empty() || !State.Settings)
    return;
  for (const pump_pass Pass : {pump_pass::UseIdle, pump_pass::Dial})
    runPass(Step, Pass);
}

} // namespace bronzespar::proxy

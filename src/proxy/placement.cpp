/// Placement of waiting statements on targets and connections.
#include <bronzespar/proxy/placement.hpp>

#include "parts.hpp"

#include <algorithm>
#include <tuple>

namespace bronzespar::proxy {

namespace {

/// A new connection occupies a slot of the target for about this long and needs
/// a round trip.
constexpr double DialCostMs = 16;
/// Least charge for another data centre: about the round trip.
constexpr double MinCrossingCostMs = 3;
/// Part of a route's latency goal that is the charge for another data centre.
constexpr double CrossingCostOfGoal = 0.1;
/// Penalty for a target that refused a statement a moment ago.
constexpr double RefusedPenaltyMs = 40;
/// Penalties for a read on the primary, so that its slots are left to
/// statements that need them.
constexpr double PrimaryPenaltyFactor = 1.6;
constexpr double PrimaryPenaltyMs = 4;
/// A failover usually takes this long.
constexpr duration UsualFailoverDuration = std::chrono::milliseconds(1400);
/// A new primary answers about this long before it is announced.
constexpr duration PrimaryAnnouncementDelay = std::chrono::milliseconds(50);

/// Statements stop this long before the end of the drain period: the target
/// list lags behind the store, and a statement takes time to reach the target.
constexpr duration DrainMargin = std::chrono::milliseconds(1000);
/// Statements that an owner queues at a target beyond its slots, so that no
/// slot is idle for a round trip.
constexpr unsigned MaxQueuedAtTarget = 2;

/// Group, account and need for the primary. Requests that agree in all three
/// are placed alike.
using placement_class = std::tuple<std::string, std::string, bool>;

/// The first pass sends statements on idle connections; only the second dials
/// or closes connections for the rest. In a single pass, the statement at the
/// head of the queue could close the connection that was dialled for another
/// one.
enum class placement_pass { UseIdleConnections, OpenConnections };

struct placement_pass_state {
  placement_pass Pass = placement_pass::UseIdleConnections;
  std::map<placement_class, unsigned> UnplacedCounts;
  std::set<placement_class> BlockedClasses;
};

/// Limits of this host's connections to one target.
struct connection_limits {
  /// A dial beyond this first closes the longest idle connection, if any.
  unsigned Soft = 1;
  /// A dial beyond this needs an idle connection to close.
  unsigned Hard = 1;
};

/// Limits of a target's owner, of its stand-ins or of another host. All limits
/// of the owner and its stand-ins fit into the target's connections together.
connection_limits ownerLimits(std::optional<std::size_t> Rank,
                              unsigned MaxConnections) {
  if (Rank == std::size_t{0})
    return {std::max(1U, MaxConnections * 3 / 4),
            std::max(1U, MaxConnections * 7 / 8)};
  const unsigned StandIn = Rank ? std::max(1U, MaxConnections / 16) : 1;
  return {StandIn, StandIn};
}

/// The hosts' soft limits leave half of a target's connections free: after a
/// power loss the target holds the dead connections for seconds, and restarted
/// hosts need new ones.
connection_limits connectionLimits(host &State, const target_view &Target) {
  const std::string &Group = Target.Entry.Group;
  const group_limits *Limits = findIn(State.Settings->Groups, Group);
  const std::size_t Hosts = std::max<std::size_t>(State.Hosts.size(), 1);
  const unsigned MaxConnections =
      Limits == nullptr ? 1 : Limits->MaxConnections;
  if (areConnectionsOwned(State, Group))
    return ownerLimits(ownerRank(State, Target.Entry.Id), MaxConnections);
  connection_limits Result;
  Result.Hard = std::max(1U, static_cast<unsigned>(MaxConnections / Hosts));
  Result.Soft =
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
target_connection *longestIdleConnection(host &State,
                                         const std::string &Target) {
  target_connection *Oldest = nullptr;
  for (auto &[Number, Connection] : State.Connections)
    if (Connection.Phase == connection_phase::Idle &&
        Connection.Target == Target &&
        (Oldest == nullptr || Connection.IdleSince < Oldest->IdleSince))
      Oldest = &Connection;
  return Oldest;
}

unsigned countDialling(const host &State, const std::string &Group,
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
  bool OnReplica = false; ///< Used without the right to use a primary.
  /// Position that the target must have reached. If the statement is forwarded
  /// to a replica's owner, only the session's own: the owner adds what the
  /// route requires.
  std::optional<log_position> RequiredPosition;
};

/// Whether the time in which a draining target gets statements is over. A
/// draining primary is used until it is replaced, but not beyond that time.
bool isDrainOver(const host &State, const target_view &Target, instant Now) {
  return Target.Entry.Draining &&
         Now + DrainMargin >= Target.DrainingSince + State.Identity.DrainPeriod;
}

/// Adds the target that a forwarding host chose, if this host may use it in the
/// role that the request needs.
void addForwardedTarget(step_context &Step, const target_request &Request,
                        const group_state &Group, bool MayUsePrimary,
                        std::vector<candidate> &Candidates) {
  target_view *Target = findIn(Step.State.Targets, Request.ForwardedTarget);
  if (Target == nullptr || !Target->Listed ||
      isDrainOver(Step.State, *Target, Step.Now) ||
      isUseOver(Step.State, Target->Entry, Step.Now))
    return;
  if (Request.NeedsPrimary) {
    if (Group.Record->Primary == Request.ForwardedTarget && MayUsePrimary)
      Candidates.push_back(
          {Target, false, requiredAtPrimary(Step.State, Request)});
    return;
  }
  noteReplicaRead(Step, Request.Route.Group);
  const auto Required = requiredReadPosition(Step.State, Request, Step.Now);
  if (Required && !Target->Entry.Draining &&
      !isEvacuated(Step.State, Target->Entry))
    Candidates.push_back({Target, true, Required});
}

/// Whether a replica lacked a position of late that the read needs.
bool isKnownToLag(const target_view &Target,
                  const std::optional<log_position> &Required, instant Now) {
  return Target.LaggingUntil > Now &&
         (!Required || Target.KnownPosition < *Required);
}

/// Adds a target that a read may use as a replica.
void addReplica(step_context &Step, const target_request &Request,
                target_view &Target, bool IsForwarded,
                std::vector<candidate> &Candidates) {
  if (Target.Entry.Draining || isEvacuated(Step.State, Target.Entry) ||
      Request.ExcludedTargets.contains(Target.Entry.Id))
    return;
  if (!IsForwarded)
    noteReplicaRead(Step, Request.Route.Group);
  const auto Required =
      IsForwarded ? sessionPosition(Step.State, Request)
                  : requiredReadPosition(Step.State, Request, Step.Now);
  if ((!IsForwarded && !Required) || isKnownToLag(Target, Required, Step.Now))
    return;
  Candidates.push_back({&Target, true, Required});
}

/// Keeps an evacuated primary for requests that no other target can run.
void avoidEvacuated(const host &State, std::vector<candidate> &Candidates) {
  const auto IsEvacuated = [&](const candidate &Candidate) {
    return isEvacuated(State, Candidate.Target->Entry);
  };
  if (!std::all_of(Candidates.begin(), Candidates.end(), IsEvacuated))
    std::erase_if(Candidates, IsEvacuated);
}

/// Targets that may run the request now.
std::vector<candidate> candidatesFor(step_context &Step,
                                     const target_request &Request) {
  host &State = Step.State;
  const group_state *Group = findIn(State.Groups, Request.Route.Group);
  std::vector<candidate> Candidates;
  if (Group == nullptr || !Group->Record)
    return Candidates;
  const bool MayUsePrimary =
      mayUsePrimary(State, Request.Route.Group, Step.Now);
  if (!Request.ForwardedTarget.empty()) {
    addForwardedTarget(Step, Request, *Group, MayUsePrimary, Candidates);
    return Candidates;
  }
  const bool MayReadReplica = mayReadReplica(State, Request, Step.Now);
  for (auto &[Id, Target] : State.Targets) {
    if (Target.Entry.Group != Request.Route.Group || !Target.Listed ||
        isDrainOver(State, Target, Step.Now) ||
        isUseOver(State, Target.Entry, Step.Now))
      continue;
    const owner_kind Owner = chooseOwner(State, Target, Step.Now).Kind;
    if (Owner == owner_kind::None)
      continue;
    // A connection owner uses the primary under its own lease.
    const bool OwnerMayUsePrimary = Group->Record->Open &&
                                    !isDisproved(*Group) &&
                                    Owner == owner_kind::Peer;
    if (Group->Record->Primary == Id && (MayUsePrimary || OwnerMayUsePrimary)) {
      if (Request.NeedsPrimary || !Request.ExcludedTargets.contains(Id))
        Candidates.push_back(
            {&Target, false, requiredAtPrimary(State, Request)});
    } else if (MayReadReplica) {
      addReplica(Step, Request, Target, Owner == owner_kind::Peer, Candidates);
    }
  }
  avoidEvacuated(State, Candidates);
  return Candidates;
}

/// The least latency that a candidate has shown.
double leastLatencyMs(const std::vector<candidate> &Candidates) {
  double Least = Candidates.front().Target->LatencyMs;
  for (const candidate &Each : Candidates)
    Least = std::min(Least, Each.Target->LatencyMs);
  return Least;
}

/// \param UsualMs Latency of a target to which nothing was sent for long.
placement_option optionFor(step_context &Step, const target_request &Request,
                           const caller_session &Session,
                           const candidate &Candidate, std::size_t Index,
                           double UsualMs) {
  host &State = Step.State;
  target_view &Target = *Candidate.Target;
  placement_option Option;
  Option.Target = Index;
  Option.LatencyMs =
      forgottenMs(Target.LatencyMs, UsualMs, Step.Now - Target.AnsweredAt);
  Option.Running = Target.Running;
  if (Target.Entry.DataCentre != State.Identity.DataCentre)
    Option.CrossingCostMs = crossingCostMs(Request.Route.LatencyGoal);
  Option.RecentlyRefused =
      Target.BusyUntil > Step.Now || isCold(State, Target, Step.Now);
  Option.AvoidablePrimary = !Request.NeedsPrimary && !Candidate.OnReplica;
  if (Request.ForwardedTarget.empty() &&
      chooseOwner(State, Target, Step.Now).Kind == owner_kind::Peer) {
    Option.IsForwarded =
        Step.Now < Request.Deadline - forwardReturnTime(Request);
    return Option;
  }
  if (!hasColdRoom(State, Target, Step.Now))
    return Option;
  // Further statements wait here, in this host's order and not the target's. A
  // dial occupies a slot as well.
  if (areConnectionsOwned(State, Target.Entry.Group) &&
      Target.Running + Target.Dialling >=
          windowOf(Target.Pace, maxUnderWay(Target)))
    return Option;
  if (const auto *Idle =
          idleConnection(State, Target.Entry.Id, Request.Account, Session))
    Option.Connection = Idle->Number;
  const bool HasRoom =
      Target.Connections < connectionLimits(State, Target).Hard;
  Option.CanDial =
      Target.NextDialAt <= Step.Now &&
      (HasRoom || longestIdleConnection(State, Target.Entry.Id) != nullptr);
  return Option;
}

/// Whether a replica may answer a request's read once it has caught up.
bool mayWaitForReplica(const host &State, const target_request &Request,
                       instant Now) {
  return mayReadReplica(State, Request, Now) &&
         requiredReadPosition(State, Request, Now) &&
         std::any_of(State.Targets.begin(), State.Targets.end(),
                     [&](const auto &Entry) {
                       const target_view &Target = Entry.second;
                       return Target.Entry.Group == Request.Route.Group &&
                              mayBecomePrimary(State, Target);
                     });
}

/// Cause to refuse a request whose primary may not be used because of an
/// evacuation, if it cannot be served in its time.
std::optional<std::string> refusalByEvacuation(const host &State,
                                               const target_request &Request,
                                               instant ExpectedEnd,
                                               instant Now) {
  if (mayWaitForReplica(State, Request, Now))
    return std::nullopt;
  if (ExpectedEnd == instant::max())
    return "the data centre of its targets is evacuated; " +
           retryAfterText(State.Identity.EvacuationPeriod);
  if (Request.Deadline < ExpectedEnd + PrimaryAnnouncementDelay)
    return "its primary moves to another data centre; " +
           retryAfterText(ExpectedEnd + PrimaryAnnouncementDelay - Now);
  return std::nullopt;
}

/// Checks whether a request without candidates can be served in its time.
/// \returns The cause to refuse it now, or nothing when it should wait.
std::optional<std::string> refusalCause(step_context &Step,
                                        const target_request &Request) {
  const host &State = Step.State;
  const auto Found = State.Groups.find(Request.Route.Group);
  if (Found == State.Groups.end() || !Found->second.Record)
    return "the group's primary is not known";
  const group_state &Group = Found->second;
  if (!Group.Record->Open || isDisproved(Group)) {
    const instant Begin = Group.Record->Open ? Step.Now : Group.ClosedAt;
    const instant ExpectedEnd = Begin + UsualFailoverDuration;
    if (Request.Deadline < ExpectedEnd + PrimaryAnnouncementDelay)
      return "its primary is being replaced";
    return std::nullopt;
  }
  if (const auto End = expectedEndOfMove(State, Request.Route.Group, Group,
                                         UsualFailoverDuration, Step.Now))
    return refusalByEvacuation(State, Request, *End, Step.Now);
  if (Group.PrimaryUnreachable)
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
void placeRequest(step_context &Step, target_request &Request,
                  placement_pass_state &PassState,
                  const placement_class &Class) {
  host &State = Step.State;
  const caller_session &Session = State.Sessions.at(Request.Session);
  const auto Candidates = candidatesFor(Step, Request);
  if (Candidates.empty() && !Request.ForwardedTarget.empty()) {
    attemptFailed(Step, Request,
                  Request.NeedsPrimary ? answer_code::ReadOnly
                                       : answer_code::Lagging,
                  true);
    return;
  }
  if (Candidates.empty()) {
    if (const auto Cause = refusalCause(Step, Request)) {
      refuseWaiting(Step, Request, *Cause);
      return;
    }
    if (!Request.NeedsPrimary)
      Request.ExcludedTargets.clear();
    PassState.BlockedClasses.insert(Class);
    return;
  }
  std::vector<placement_option> Options;
  const double UsualMs = leastLatencyMs(Candidates);
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index)
    Options.push_back(
        optionFor(Step, Request, Session, Candidates[Index], Index, UsualMs));
  auto Chosen = choosePlacement(Options);
  if (PassState.Pass == placement_pass::UseIdleConnections && Chosen &&
      !Chosen->IsForwarded && Chosen->Connection == 0) {
    // An idle connection to a less favourable target is used before any dial.
    std::erase_if(Options, [](const placement_option &Option) {
      return Option.Connection == 0 && !Option.IsForwarded;
    });
    Chosen = Options.empty() ? Chosen : choosePlacement(Options);
  }
  if (!Chosen) {
    PassState.BlockedClasses.insert(Class);
    return;
  }
  target_view &Target = *Candidates[Chosen->Target].Target;
  if (Chosen->IsForwarded) {
    dequeue(State.Waiting, *Request.Rank);
    Request.Rank.reset();
    forwardRequest(Step, Target, chooseOwner(State, Target, Step.Now).Peer,
                   Request, Candidates[Chosen->Target].OnReplica,
                   Candidates[Chosen->Target].RequiredPosition);
    return;
  }
  if (Chosen->Connection != 0) {
    dequeue(State.Waiting, *Request.Rank);
    Request.Rank.reset();
    beginAttempt(Step, State.Connections.at(Chosen->Connection), Request,
                 Candidates[Chosen->Target].OnReplica,
                 Candidates[Chosen->Target].RequiredPosition);
    return;
  }
  if (PassState.Pass == placement_pass::UseIdleConnections)
    return;
  const unsigned RequestsAhead = PassState.UnplacedCounts[Class]++;
  if (countDialling(State, Request.Route.Group, Request.Account) >
      RequestsAhead)
    return;
  if (Target.Connections >= connectionLimits(State, Target).Soft)
    if (const auto *LongestIdle = longestIdleConnection(State, Target.Entry.Id))
      closeConnection(Step, LongestIdle->Number);
  dialTarget(Step, Target, Request.Account);
}

/// Takes the token that the request's operation needs.
/// \returns False when the request must wait or was refused.
bool takeRequestToken(step_context &Step, target_request &Request) {
  if (Request.TokenTaken)
    return true;
  if (admitOperation(Step, Request.Account)) {
    Request.TokenTaken = true;
    return true;
  }
  const host &State = Step.State;
  if (mayAwaitToken(State, Request.Account, Request.ArrivedAt,
                    Request.Route.LatencyGoal, Step.Now))
    return false;
  countRefusal(Step.State, Request.Account);
  const duration Wait = untilNextToken(State, Request.Account, Step.Now);
  refuseWaiting(Step, Request,
                "the account is beyond its rate; " + retryAfterText(Wait));
  return false;
}

/// Refuses a request that would not be answered before this host stops, and
/// the beginning of a transaction that would not end before.
/// \returns False when there is time for it.
bool refuseForStop(step_context &Step, target_request &Request) {
  const bool Begins = Request.InTransaction || isBegin(Request.Statement.Kind);
  const bool HasTime =
      isAnsweredBeforeStop(Step.State, Request.Route, Step.Now) &&
      (!Begins || mayBeginTransaction(Step.State, Step.Now));
  // An earlier attempt of a hedged read may still be answered.
  if (HasTime || Request.HedgedConnection != 0)
    return false;
  if (Request.ForwardedTarget.empty())
    refuseWaiting(Step, Request, StoppingCause);
  else
    attemptFailed(Step, Request, answer_code::Busy, true);
  return true;
}

/// Tries to place each waiting request, in the order of the queue.
void runPlacementPass(step_context &Step, placement_pass Pass) {
  host &State = Step.State;
  placement_pass_state PassState;
  PassState.Pass = Pass;
  std::vector<request_number> Order;
  Order.reserve(State.Waiting.Items.size());
  for (const auto &[Rank, Number] : State.Waiting.Items)
    Order.push_back(Number);
  for (const request_number Number : Order) {
    target_request *Request = findIn(State.Requests, Number);
    if (Request == nullptr || !Request->Rank || refuseForStop(Step, *Request) ||
        Step.Now < Request->RetryAt)
      continue;
    if (isBegin(Request->Statement.Kind)) {
      if (takeRequestToken(Step, *Request))
        completeBegin(Step, *Request);
      continue;
    }
    const placement_class Class{Request->Route.Group, Request->Account,
                                Request->NeedsPrimary};
    if (PassState.BlockedClasses.contains(Class))
      continue;
    if (takeRequestToken(Step, *Request))
      placeRequest(Step, *Request, PassState, Class);
  }
}

} // namespace

unsigned maxUnderWay(const target_view &Target) noexcept {
  return Target.Entry.Slots + MaxQueuedAtTarget;
}

double crossingCostMs(duration LatencyGoal) noexcept {
  return std::max(MinCrossingCostMs,
                  toMilliseconds(LatencyGoal) * CrossingCostOfGoal);
}

std::optional<double>
expectedLatencyMs(const placement_option &Option) noexcept {
  if (Option.Connection == 0 && !Option.CanDial && !Option.IsForwarded)
    return std::nullopt;
  double LatencyMs = Option.LatencyMs * (1 + 0.5 * Option.Running);
  if (Option.AvoidablePrimary)
    LatencyMs = LatencyMs * PrimaryPenaltyFactor + PrimaryPenaltyMs;
  if (Option.Connection == 0 && !Option.IsForwarded)
    LatencyMs += DialCostMs;
  LatencyMs += Option.CrossingCostMs;
  if (Option.RecentlyRefused)
    LatencyMs += RefusedPenaltyMs;
  return LatencyMs;
}

std::optional<placement>
choosePlacement(std::span<const placement_option> Options) noexcept {
  std::optional<placement> Best;
  double Least = 0;
  for (const placement_option &Option : Options) {
    const auto Expected = expectedLatencyMs(Option);
    if (!Expected || (Best && *Expected >= Least))
      continue;
    Least = *Expected;
    Best = placement{Option.Target, Option.Connection, Option.IsForwarded};
  }
  return Best;
}

void placeWaiting(step_context &Step) {
  host &State = Step.State;
  if (State.Waiting.Items.empty() || !State.Settings)
    return;
  for (const placement_pass Pass :
       {placement_pass::UseIdleConnections, placement_pass::OpenConnections})
    runPlacementPass(Step, Pass);
}

} // namespace bronzespar::proxy

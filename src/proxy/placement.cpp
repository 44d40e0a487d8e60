/// Placement of waiting statements on targets and connections.
#include <bronzespar/proxy/placement.hpp>

#include "parts.hpp"

#include <algorithm>
#include <tuple>

namespace bronzespar::proxy {

namespace {

/// A new connection takes a slot for about this long, and a round trip.
constexpr double DialCostMs = 16;
/// Way to another data centre and back, and the bytes that it costs.
constexpr double OtherDataCentreCostMs = 3;
/// What a target that just refused is worth waiting for less.
constexpr double RefusedPenaltyMs = 40;
/// Reads leave the primary to statements that need it.
constexpr double PrimaryPenaltyFactor = 1.6;
constexpr double PrimaryPenaltyMs = 4;
/// Replicas are asked for positions that were shown at least this much before
/// the bound: a read may wait that long in a target's queue.
constexpr duration StalenessMargin = std::chrono::milliseconds(300);
/// A session's own write is looked for on replicas after this.
constexpr duration OwnWriteReplicationDelay = std::chrono::milliseconds(400);
/// Time that a host without a token waits for another host's.
constexpr duration TokenWaitTimeout = std::chrono::milliseconds(20);
/// A change of primary usually takes this long.
constexpr duration UsualFailoverDuration = std::chrono::milliseconds(1400);
/// A new primary answers about this long before it is announced.
constexpr duration PrimaryAnnouncementDelay = std::chrono::milliseconds(50);

/// The list lags behind the store, and a statement is on its way for a while.
constexpr duration DrainMargin = std::chrono::milliseconds(1000);
/// Statements that an owner leaves waiting at the target, so that its slots are
/// never idle for a round trip.
constexpr unsigned MaxQueuedAtTarget = 2;

/// Requests alike in all that placement looks at.
using placement_class = std::tuple<std::string, std::string, bool>;

/// First, statements take the connections that there are; only then are
/// connections made or closed for the rest. In one pass, a statement at the
/// head would close the connection that was made for another one.
enum class placement_pass { UseIdleConnections, OpenConnections };

struct placement_pass_state {
  placement_pass Pass = placement_pass::UseIdleConnections;
  std::map<placement_class, unsigned> UnplacedCounts;
  std::set<placement_class> BlockedClasses;
};

/// Connections to one target that this host may hold.
struct connection_limits {
  unsigned Soft = 1; ///< Kept while unused.
  unsigned Hard = 1; ///< While all others are in use.
};

/// Hosts leave half of a target's connections free: after a loss of power the
/// target holds the dead ones for seconds, and hosts that start again need
/// room.
connection_limits connectionLimits(const host &State, target_view &Target) {
  const std::string &Group = Target.Entry.Group;
  const group_limits *Limits = findIn(State.Settings->Groups, Group);
  const std::size_t Hosts = std::max<std::size_t>(State.Hosts.size(), 1);
  const unsigned All = Limits == nullptr ? 1 : Limits->MaxConnections;
  connection_limits Share;
  if (areConnectionsOwned(State, Group)) {
    const bool Owns = ownsTarget(State, Target);
    Share.Soft = Owns ? std::max(1U, All / 2) : 1;
    Share.Hard = Owns ? std::max(1U, All * 3 / 4) : 1;
    return Share;
  }
  Share.Hard = std::max(1U, static_cast<unsigned>(All / Hosts));
  Share.Soft = std::max(1U, static_cast<unsigned>(All / (2 * Hosts)));
  return Share;
}

/// An idle connection of the account, best one that holds the same values.
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

/// The connection of another account that has been idle longest.
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
      State.Connections.begin(), State.Connections.end(), [&](const auto &E) {
        return E.second.Phase == connection_phase::Dialling &&
               E.second.Group == Group && E.second.Account == Account;
      }));
}

struct candidate {
  target_view *Target = nullptr;
  std::optional<log_position> RequiredPosition;
};

/// A primary that leaves is used until it is replaced, but no longer than a
/// target that leaves may get work at all.
bool isDrainOver(const host &State, const target_view &Target, instant Now) {
  return Target.Entry.Draining &&
         Now + DrainMargin >= Target.DrainingSince + State.Identity.DrainPeriod;
}

/// The target that another host chose, if it may be used as that host means.
void addForwardedTarget(step_context &Step, const target_request &Request,
                        const group_state &Group, bool Leased,
                        std::vector<candidate> &Out) {
  target_view *Target = findIn(Step.State.Targets, Request.ForwardedTarget);
  if (Target == nullptr || !Target->Listed ||
      isDrainOver(Step.State, *Target, Step.Now))
    return;
  const bool IsPrimary = Group.Record->Primary == Request.ForwardedTarget;
  if (Request.NeedsPrimary ? IsPrimary && Leased : !Target->Entry.Draining)
    Out.push_back({Target, Request.RequiredPosition});
}

/// Targets that may run the request now, with the position that each must
/// cover.
std::vector<candidate> candidatesFor(step_context &Step,
                                     const target_request &Request) {
  host &State = Step.State;
  const group_state *Group = findIn(State.Groups, Request.Route.Group);
  std::vector<candidate> Out;
  if (Group == nullptr || !Group->Record)
    return Out;
  const bool Leased = mayUsePrimary(State, Request.Route.Group, Step.Now);
  if (!Request.ForwardedTarget.empty()) {
    addForwardedTarget(Step, Request, *Group, Leased, Out);
    return Out;
  }
  const auto Proven = requiredReadPosition(State, Request, Step.Now);
  for (auto &[Id, Target] : State.Targets) {
    if (Target.Entry.Group != Request.Route.Group || !Target.Listed)
      continue;
    const bool IsPrimary = Group->Record->Primary == Id;
    if (isDrainOver(State, Target, Step.Now))
      continue;
    // An owner uses a primary under its own lease.
    const bool OwnerMay =
        Group->Record->Open && remoteOwner(State, Target, Step.Now).has_value();
    if (IsPrimary && (Leased || OwnerMay)) {
      if (Request.NeedsPrimary || !Request.ExcludedTargets.contains(Id))
        Out.push_back({&Target, std::nullopt});
      continue;
    }
    if (Request.NeedsPrimary || !Proven || Target.Entry.Draining ||
        Request.ExcludedTargets.contains(Id) ||
        (Target.LaggingUntil > Step.Now && Target.KnownPosition < *Proven))
      continue;
    Out.push_back({&Target, Proven});
  }
  return Out;
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
  Option.RecentlyRefused = Target.BusyUntil > Step.Now;
  Option.AvoidablePrimary =
      !Request.NeedsPrimary && !Candidate.RequiredPosition;
  if (Request.ForwardedTarget.empty() && remoteOwner(State, Target, Step.Now)) {
    Option.IsForwarded = true;
    return Option;
  }
  // The owner keeps statements in its own order, not in the target's.
  if (areConnectionsOwned(State, Target.Entry.Group) &&
      Target.Running >= Target.Entry.Slots + MaxQueuedAtTarget)
    return Option;
  if (const auto *Idle =
          idleConnection(State, Target.Entry.Id, Request.Account, Session))
    Option.Connection = Idle->Number;
  const bool Room = Target.Connections < connectionLimits(State, Target).Hard;
  Option.CanDial =
      Target.NextDialAt <= Step.Now &&
      (Room || longestIdleConnection(State, Target.Entry.Id) != nullptr);
  return Option;
}

/// Refuses at once what cannot be served in its time.
/// \returns Nothing while waiting is worth it, else the cause.
std::optional<std::string> refusalCause(step_context &Step,
                                        const target_request &Request) {
  const host &State = Step.State;
  const auto Found = State.Groups.find(Request.Route.Group);
  if (Found == State.Groups.end() || !Found->second.Record)
    return "the group's primary is not known";
  const group_state &Group = Found->second;
  if (!Group.Record->Open) {
    const instant Expected = Group.ClosedAt + UsualFailoverDuration;
    if (Request.Deadline < Expected + PrimaryAnnouncementDelay)
      return "its primary is being replaced";
    return std::nullopt;
  }
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

/// Places one request, or dials for it.
void placeRequest(step_context &Step, target_request &Request,
                  placement_pass_state &Pump, const placement_class &Class) {
  host &State = Step.State;
  const caller_session &Session = State.Sessions.at(Request.Session);
  const auto Candidates = candidatesFor(Step, Request);
  if (Candidates.empty() && !Request.ForwardedTarget.empty()) {
    attemptFailed(Step, Request, answer_code::ReadOnly, true);
    return;
  }
  if (Candidates.empty()) {
    if (const auto Cause = refusalCause(Step, Request)) {
      refuseWaiting(Step, Request, *Cause);
      return;
    }
    if (!Request.NeedsPrimary)
      Request.ExcludedTargets.clear();
    Pump.BlockedClasses.insert(Class);
    return;
  }
  std::vector<placement_option> Options;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index)
    Options.push_back(
        optionFor(Step, Request, Session, Candidates[Index], Index));
  auto Chosen = choosePlacement(Options);
  if (Pump.Pass == placement_pass::UseIdleConnections && Chosen &&
      !Chosen->IsForwarded && Chosen->Connection == 0) {
    // A connection at a place that is not the best may do, before a dial.
    std::erase_if(Options, [](const placement_option &Option) {
      return Option.Connection == 0 && !Option.IsForwarded;
    });
    Chosen = Options.empty() ? Chosen : choosePlacement(Options);
  }
  if (!Chosen) {
    Pump.BlockedClasses.insert(Class);
    return;
  }
  target_view &Target = *Candidates[Chosen->Target].Target;
  if (Chosen->IsForwarded) {
    dequeue(State.Waiting, *Request.Rank);
    Request.Rank.reset();
    forwardRequest(Step, Target, *remoteOwner(State, Target, Step.Now), Request,
                   Candidates[Chosen->Target].RequiredPosition);
    return;
  }
  if (Chosen->Connection != 0) {
    dequeue(State.Waiting, *Request.Rank);
    Request.Rank.reset();
    beginAttempt(Step, State.Connections.at(Chosen->Connection), Request,
                 Candidates[Chosen->Target].RequiredPosition);
    return;
  }
  if (Pump.Pass == placement_pass::UseIdleConnections)
    return;
  const unsigned Ahead = Pump.UnplacedCounts[Class]++;
  if (countDialling(State, Request.Route.Group, Request.Account) > Ahead)
    return;
  if (Target.Connections >= connectionLimits(State, Target).Soft)
    if (const auto *Old = longestIdleConnection(State, Target.Entry.Id))
      closeConnection(Step, Old->Number);
  dialTarget(Step, Target, Request.Account);
}

/// Takes the operation's token. \returns False when the request must wait or
/// was refused.
bool takeRequestToken(step_context &Step, target_request &Request) {
  if (Request.TokenTaken)
    return true;
  if (admitOperation(Step, Request.Account)) {
    Request.TokenTaken = true;
    return true;
  }
  const host &State = Step.State;
  if (isAboutToRefill(State, Step.Now) ||
      Step.Now - std::max(Request.ArrivedAt, State.RefillingSince) <
          TokenWaitTimeout)
    return false;
  const duration Wait = untilNextToken(State, Request.Account, Step.Now);
  refuseWaiting(Step, Request,
                "the account is beyond its rate; " + retryAfterText(Wait));
  return false;
}

/// Goes through the waiting statements in their order.
void runPlacementPass(step_context &Step, placement_pass Pass) {
  host &State = Step.State;
  placement_pass_state Pump;
  Pump.Pass = Pass;
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
    if (Pump.BlockedClasses.contains(Class))
      continue;
    if (takeRequestToken(Step, *Request))
      placeRequest(Step, *Request, Pump, Class);
  }
}

} // namespace

std::optional<double>
expectedLatencyMs(const placement_option &Option) noexcept {
  if (Option.Connection == 0 && !Option.CanDial && !Option.IsForwarded)
    return std::nullopt;
  double Expected = Option.LatencyMs * (1 + 0.5 * Option.Running);
  if (Option.AvoidablePrimary)
    Expected = Expected * PrimaryPenaltyFactor + PrimaryPenaltyMs;
  if (Option.Connection == 0 && !Option.IsForwarded)
    Expected += DialCostMs;
  if (!Option.SameDataCentre)
    Expected += OtherDataCentreCostMs;
  if (Option.RecentlyRefused)
    Expected += RefusedPenaltyMs;
  return Expected;
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

std::optional<log_position> requiredReadPosition(const host &State,
                                                 const target_request &Request,
                                                 instant Now) {
  if (Request.Route.Consistency == read_consistency::Primary)
    return std::nullopt;
  const auto Group = State.Groups.find(Request.Route.Group);
  const auto Session = State.Sessions.find(Request.Session);
  if (Group == State.Groups.end() || Session == State.Sessions.end())
    return std::nullopt;
  const auto Sample = positionForAge(
      Group->second.Samples, Now, Request.Route.MaxStaleness - StalenessMargin);
  if (!Sample)
    return std::nullopt;
  if (Request.Route.Consistency == read_consistency::BoundedStaleness ||
      !Session->second.LastCommitPosition)
    return Sample->Position;
  if (Now < Session->second.LastCommitAt + OwnWriteReplicationDelay)
    return std::nullopt;
  return std::max(Sample->Position, *Session->second.LastCommitPosition);
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

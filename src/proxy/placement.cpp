/// Placement of waiting statements on targets and connections.
#include <bronzespar/proxy/placement.hpp>

#include "parts.hpp"

#include <algorithm>
#include <tuple>

namespace bronzespar::proxy {

namespace {

/// A new connection takes a slot for about this long, and a round trip.
constexpr double DialMs = 16;
/// Way to another data centre and back, and the bytes that it costs.
constexpr double OtherDataCentreMs = 3;
/// What a target that just refused is worth waiting for less.
constexpr double RecentlyFullMs = 40;
/// Reads leave the primary to statements that need it.
constexpr double PrimaryFactor = 1.6;
constexpr double PrimaryMs = 4;
/// Replicas are asked for positions that were shown at least this much before
/// the bound: a read may wait that long in a target's queue.
constexpr duration AgeMargin = std::chrono::milliseconds(300);
/// A session's own write is looked for on replicas after this.
constexpr duration OwnWriteSettles = std::chrono::milliseconds(400);
/// Time that a host without a token waits for another host's.
constexpr duration TokenWait = std::chrono::milliseconds(20);
/// A change of primary usually takes this long.
constexpr duration UsualChange = std::chrono::milliseconds(1400);
/// A new primary answers about this long before it is announced.
constexpr duration ChangeSlack = std::chrono::milliseconds(50);

/// The list lags behind the store, and a statement is on its way for a while.
constexpr duration LeavingMargin = std::chrono::milliseconds(1000);
/// Statements that an owner leaves waiting at the target, so that its slots are
/// never idle for a round trip.
constexpr unsigned QueuedAtTarget = 2;

/// Requests alike in all that placement looks at.
using placement_class = std::tuple<std::string, std::string, bool>;

/// First, statements take the connections that there are; only then are
/// connections made or closed for the rest. In one pass, a statement at the
/// head would close the connection that was made for another one.
enum class pump_pass { UseIdle, Dial };

struct pump_state {
  pump_pass Pass = pump_pass::UseIdle;
  std::map<placement_class, unsigned> Unplaced;
  std::set<placement_class> Blocked;
};

/// Connections to one target that this host may hold.
struct connection_share {
  unsigned Usual = 1; ///< Kept while unused.
  unsigned Most = 1;  ///< While all others are in use.
};

/// Hosts leave half of a target's connections free: after a loss of power the
/// target holds the dead ones for seconds, and hosts that start again need
/// room.
connection_share connectionShare(const host &State, target_view &Target) {
  const std::string &Group = Target.Entry.Group;
  const group_limits *Limits = findIn(State.Settings->Groups, Group);
  const std::size_t Hosts = std::max<std::size_t>(State.Hosts.size(), 1);
  const unsigned All = Limits == nullptr ? 1 : Limits->MaxConnections;
  connection_share Share;
  if (areConnectionsOwned(State, Group)) {
    const bool Owns = ownsTarget(State, Target);
    Share.Usual = Owns ? std::max(1U, All / 2) : 1;
    Share.Most = Owns ? std::max(1U, All * 3 / 4) : 1;
    return Share;
  }
  Share.Most = std::max(1U, static_cast<unsigned>(All / Hosts));
  Share.Usual = std::max(1U, static_cast<unsigned>(All / (2 * Hosts)));
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
      State.Connections.begin(), State.Connections.end(), [&](const auto &E) {
        return E.second.Phase == connection_phase::Dialling &&
               E.second.Group == Group && E.second.Account == Account;
      }));
}

struct candidate {
  target_view *Target = nullptr;
  std::optional<log_position> NotBefore;
};

/// A primary that leaves is used until it is replaced, but no longer than a
/// target that leaves may get work at all.
bool hasLeft(const host &State, const target_view &Target, instant Now) {
  return Target.Entry.Draining &&
         Now + LeavingMargin >=
             Target.DrainingSince + State.Identity.DrainPeriod;
}

/// The target that another host chose, if it may be used as that host means.
void addOnlyTarget(step_context &Step, const target_request &Request,
                   const group_state &Group, bool Leased,
                   std::vector<candidate> &Out) {
  target_view *Target = findIn(Step.State.Targets, Request.OnlyTarget);
  if (Target == nullptr || !Target->Listed ||
      hasLeft(Step.State, *Target, Step.Now))
    return;
  const bool IsPrimary = Group.Record->Primary == Request.OnlyTarget;
  if (Request.NeedsPrimary ? IsPrimary && Leased : !Target->Entry.Draining)
    Out.push_back({Target, Request.NotBefore});
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
  if (!Request.OnlyTarget.empty()) {
    addOnlyTarget(Step, Request, *Group, Leased, Out);
    return Out;
  }
  const auto Proven = provenPosition(State, Request, Step.Now);
  for (auto &[Id, Target] : State.Targets) {
    if (Target.Entry.Group != Request.Route.Group || !Target.Listed)
      continue;
    const bool IsPrimary = Group->Record->Primary == Id;
    if (hasLeft(State, Target, Step.Now))
      continue;
    // An owner uses a primary under its own lease.
    const bool OwnerMay =
        Group->Record->Open && ownerOf(State, Target, Step.Now).has_value();
    if (IsPrimary && (Leased || OwnerMay)) {
      if (Request.NeedsPrimary || !Request.Avoid.contains(Id))
        Out.push_back({&Target, std::nullopt});
      continue;
    }
    if (Request.NeedsPrimary || !Proven || Target.Entry.Draining ||
        Request.Avoid.contains(Id) ||
        (Target.LaggingUntil > Step.Now && Target.Known < *Proven))
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
  Option.RecentlyFull = Target.BusyUntil > Step.Now;
  Option.SparePrimary = !Request.NeedsPrimary && !Candidate.NotBefore;
  if (Request.OnlyTarget.empty() && ownerOf(State, Target, Step.Now)) {
    Option.IsForwarded = true;
    return Option;
  }
  // The owner keeps statements in its own order, not in the target's.
  if (areConnectionsOwned(State, Target.Entry.Group) &&
      Target.Running >= Target.Entry.Slots + QueuedAtTarget)
    return Option;
  if (const auto *Idle =
          idleConnection(State, Target.Entry.Id, Request.Account, Session))
    Option.Connection = Idle->Number;
  const bool Room = Target.Connections < connectionShare(State, Target).Most;
  Option.CanDial = Target.DialAfter <= Step.Now &&
                   (Room || evictable(State, Target.Entry.Id) != nullptr);
  return Option;
}

/// Refuses at once what cannot be served in its time.
/// \returns Nothing while waiting is worth it, else the cause.
std::optional<std::string> hopeless(step_context &Step,
                                    const target_request &Request) {
  const host &State = Step.State;
  const auto Found = State.Groups.find(Request.Route.Group);
  if (Found == State.Groups.end() || !Found->second.Record)
    return "the group's primary is not known";
  const group_state &Group = Found->second;
  if (!Group.Record->Open) {
    const instant Expected = Group.ClosedAt + UsualChange;
    if (Request.Deadline < Expected + ChangeSlack)
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

/// Places one request, or dials for it.
void place(step_context &Step, target_request &Request, pump_state &Pump,
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
    Pump.Blocked.insert(Class);
    return;
  }
  std::vector<placement_option> Options;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index)
    Options.push_back(
        optionFor(Step, Request, Session, Candidates[Index], Index));
  auto Chosen = choosePlacement(Options);
  if (Pump.Pass == pump_pass::UseIdle && Chosen && !Chosen->IsForwarded &&
      Chosen->Connection == 0) {
    // A connection at a place that is not the best may do, before a dial.
    std::erase_if(Options, [](const placement_option &Option) {
      return Option.Connection == 0 && !Option.IsForwarded;
    });
    Chosen = Options.empty() ? Chosen : choosePlacement(Options);
  }
  if (!Chosen) {
    Pump.Blocked.insert(Class);
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
  if (Pump.Pass == pump_pass::UseIdle)
    return;
  const unsigned Ahead = Pump.Unplaced[Class]++;
  if (diallingFor(State, Request.Route.Group, Request.Account) > Ahead)
    return;
  if (Target.Connections >= connectionShare(State, Target).Usual)
    if (const auto *Old = evictable(State, Target.Entry.Id))
      closeConnection(Step, Old->Number);
  dialTarget(Step, Target, Request.Account);
}

/// Takes the operation's token. \returns False when the request must wait or
/// was refused.
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

/// Goes through the waiting statements in their order.
void runPass(step_context &Step, pump_pass Pass) {
  host &State = Step.State;
  pump_state Pump;
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
    if (Pump.Blocked.contains(Class))
      continue;
    if (admitted(Step, *Request))
      place(Step, *Request, Pump, Class);
  }
}

} // namespace

std::optional<double> expectedMs(const placement_option &Option) noexcept {
  if (Option.Connection == 0 && !Option.CanDial && !Option.IsForwarded)
    return std::nullopt;
  double Expected = Option.LatencyMs * (1 + 0.5 * Option.Running);
  if (Option.SparePrimary)
    Expected = Expected * PrimaryFactor + PrimaryMs;
  if (Option.Connection == 0 && !Option.IsForwarded)
    Expected += DialMs;
  if (!Option.SameDataCentre)
    Expected += OtherDataCentreMs;
  if (Option.RecentlyFull)
    Expected += RecentlyFullMs;
  return Expected;
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

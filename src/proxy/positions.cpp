/// Positions of primaries, shared with the hosts that run reads on replicas.
///
/// Load pattern: in a large fleet each host sends a primary a statement only
/// now and then, so that it rarely knows a position young enough to prove that
/// a replica is fresh. All reads would then go to the primaries. Therefore the
/// host that runs a read on a replica decides which position is required, and
/// while there are such reads it asks the primary's connection owner, which
/// knows the latest position from the statements of the whole fleet.
#include "parts.hpp"

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// A newer position is asked for when the newest known one is this old.
constexpr duration SampleRefreshAge = std::chrono::milliseconds(250);
/// A request for a position that is not answered in time is repeated.
constexpr duration PositionAnswerTimeout = std::chrono::milliseconds(250);
/// Positions are asked for until this long after the last read that needs them.
constexpr duration ReplicaDemandPeriod = std::chrono::milliseconds(3000);

/// A route's staleness bound is reduced by this, because a read may wait that
/// long in a target's queue.
constexpr duration StalenessMargin = std::chrono::milliseconds(300);
/// Replicas serve a session's reads only this long after its last write.
constexpr duration OwnWriteReplicationDelay = std::chrono::milliseconds(400);

bool needsSample(const group_state &Group, instant Now) {
  if (!Group.Record || !Group.Record->Open ||
      Group.ReplicaReadAt == instant{} ||
      Now > Group.ReplicaReadAt + ReplicaDemandPeriod ||
      Now < Group.PositionAskedAt + PositionAnswerTimeout)
    return false;
  return Group.Samples.Samples.empty() ||
         Now >= Group.Samples.Samples.back().SentAt + SampleRefreshAge;
}

void askForPosition(step_context &Step, const std::string &Name,
                    group_state &Group) {
  if (!needsSample(Group, Step.Now))
    return;
  const target_view *Primary =
      findIn(Step.State.Targets, Group.Record->Primary);
  if (Primary == nullptr)
    return;
  const owner_choice Owner = chooseOwner(Step.State, *Primary, Step.Now);
  if (Owner.Kind != owner_kind::Peer)
    return;
  Group.PositionAskedAt = Step.Now;
  Step.Out.push_back(effects::request_position{Owner.Peer, {Name, Step.Now}});
}

/// Whether a sample shows a shorter log than the primary had before, under the
/// same generation. It must not lead: a replica may hold what it lost, and
/// positions that it gives again mean other commits.
bool lostLog(const group_state &Group, const position_sample &Sample) {
  return Group.PrimaryPosition && Sample.Position < *Group.PrimaryPosition &&
         Group.PrimaryPositionAt < Sample.SentAt;
}

/// Whether commits are acknowledged without replicas. Otherwise the position of
/// the old primary decides which replica holds all of them, and must be whole.
bool isUnconfirmed(const host &State, const std::string &Name) {
  const group_limits *Limits =
      State.Settings ? findIn(State.Settings->Groups, Name) : nullptr;
  return Limits != nullptr && Limits->ConfirmingReplicas == 0;
}

} // namespace

std::string positionText(const std::optional<log_position> &Position) {
  if (!Position)
    return {};
  return std::to_string(Position->Term) + '.' + std::to_string(Position->Index);
}

void recordSample(step_context &Step, const std::string &Name,
                  group_state &Group, const position_sample &Sample) {
  if (isLowerThanBefore(Group.Samples, Sample))
    logLine(Step, "position.lower",
            {{"group", Name},
             {"primary", Group.Record->Primary},
             {"generation", std::to_string(Group.Record->Generation)},
             {"position", positionText(Sample.Position)},
             {"before", positionText(Group.Samples.Samples.back().Position)},
             {"age_ms", elapsedMsText(Sample.SentAt, Step.Now)}});
  addSample(Group.Samples, Sample);
  if (lostLog(Group, Sample) && isUnconfirmed(Step.State, Name))
    Group.DisprovedGeneration = Group.Record->Generation;
  if (Sample.Position <= Group.PrimaryPosition)
    return;
  Group.PrimaryPosition = Sample.Position;
  Group.PrimaryPositionAt = Sample.ReceivedAt;
}

void superviseSamples(step_context &Step) {
  for (auto &[Name, Group] : Step.State.Groups)
    askForPosition(Step, Name, Group);
}

void noteReplicaRead(step_context &Step, const std::string &Name) {
  group_state *Group = findIn(Step.State.Groups, Name);
  if (Group == nullptr)
    return;
  Group->ReplicaReadAt = Step.Now;
  askForPosition(Step, Name, *Group);
}

void positionRequested(step_context &Step,
                       const events::position_requested &Event) {
  const group_state *Group = findIn(Step.State.Groups, Event.Request.Group);
  if (Group == nullptr || Group->Samples.Samples.empty() ||
      !mayUsePrimary(Step.State, Event.Request.Group, Step.Now))
    return;
  const position_sample &Newest = Group->Samples.Samples.back();
  Step.Out.push_back(effects::send_position{
      Event.Link,
      {Event.Request.Group, Group->Record->Primary, Newest.Position,
       Step.Now - Newest.SentAt, Event.Request.AskedAt}});
}

void positionReceived(step_context &Step, const shared_position &Shared) {
  group_state *Group = findIn(Step.State.Groups, Shared.Group);
  if (Group == nullptr || !Group->Record || !Group->Record->Open ||
      Group->Record->Primary != Shared.Primary ||
      Shared.AskedAt != Group->PositionAskedAt)
    return;
  // The clocks of two hosts differ, so that only the age is comparable. It
  // ended after the request was sent.
  recordSample(Step, Shared.Group, *Group,
               {Shared.Position, Shared.AskedAt - Shared.Age, Step.Now});
  if (target_view *Target = findIn(Step.State.Targets, Shared.Primary))
    Target->KnownPosition = std::max(Target->KnownPosition, Shared.Position);
}

/// Position of the session's own last commit, if its reads must cover it.
std::optional<log_position> sessionPosition(const host &State,
                                            const target_request &Request) {
  if (!Request.ForwardedTarget.empty())
    return Request.ForwardedPosition;
  const auto Session = State.Sessions.find(Request.Session);
  if (Session == State.Sessions.end() ||
      Request.Route.Consistency != read_consistency::ReadYourWrites)
    return std::nullopt;
  return Session->second.LastCommitGroup == Request.Route.Group
             ? Session->second.LastCommitPosition
             : std::nullopt;
}

std::optional<log_position> requiredAtPrimary(const host &State,
                                              const target_request &Request) {
  const auto Group = State.Groups.find(Request.Route.Group);
  if (Group == State.Groups.end() || !Group->second.Record ||
      (Request.Writes && !Request.InTransaction))
    return std::nullopt;
  auto Required =
      std::max(Group->second.PrimaryPosition, Request.ForwardedTarget.empty()
                                                  ? std::nullopt
                                                  : Request.ForwardedPosition);
  const auto Session = State.Sessions.find(Request.Session);
  if (Session != State.Sessions.end() &&
      Session->second.LastCommitGroup == Request.Route.Group &&
      Session->second.LastCommitGeneration == Group->second.Record->Generation)
    Required = std::max(Required, Session->second.LastCommitPosition);
  return Required;
}

bool mayReadReplica(const host &State, const target_request &Request,
                    instant Now) {
  if (Request.NeedsPrimary ||
      Request.Route.Consistency == read_consistency::Primary)
    return false;
  const auto Session = State.Sessions.find(Request.Session);
  if (Request.Route.Consistency == read_consistency::BoundedStaleness ||
      Session == State.Sessions.end() ||
      Session->second.LastCommitGroup != Request.Route.Group)
    return true;
  return !Session->second.CommitLacksPosition &&
         Now >= Session->second.LastCommitAt + OwnWriteReplicationDelay;
}

std::optional<log_position> requiredReadPosition(const host &State,
                                                 const target_request &Request,
                                                 instant Now) {
  const auto Group = State.Groups.find(Request.Route.Group);
  if (Group == State.Groups.end())
    return std::nullopt;
  const auto Sample = positionForAge(
      Group->second.Samples, Now, Request.Route.MaxStaleness - StalenessMargin);
  if (!Sample)
    return std::nullopt;
  const auto Own = sessionPosition(State, Request);
  return Own ? std::max(Sample->Position, *Own) : Sample->Position;
}

} // namespace bronzespar::proxy

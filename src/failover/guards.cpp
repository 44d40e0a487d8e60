/// Guards of the promotion state machine (charts/promotion.scxml).
#include "failover/drive.hpp"
#include "failover/record.hpp"

#include <algorithm>

namespace bronzespar::impl {

namespace {

/// Time for which a primary must be missing or unreachable before the
/// coordinator starts an attempt.
constexpr duration SuspicionDelay = 200ms;
/// Additional delay before a host other than the coordinator takes over.
constexpr duration TakeoverDelay = 600ms;
constexpr duration TakeoverSpread = 400ms;
constexpr duration ResendInterval = 100ms;
constexpr duration FollowInterval = 200ms;
/// Maximum time that a handover waits for a grant of a member that is not
/// leaving.
constexpr duration HandoverPatience = 100ms;
constexpr duration FenceTimeout = 500ms;
constexpr duration PromoteTimeout = 300ms;
constexpr duration FollowTimeout = 2s;

duration delayFor(const decision &Context) {
  const promotion_state &State = Context.State;
  duration Delay{};
  if (State.Reason == promotion_reason::NoPrimary ||
      State.Reason == promotion_reason::PrimarySilent)
    Delay += SuspicionDelay;
  if (!Context.Inputs.Coordinates)
    Delay += TakeoverDelay + jitter(Context, State.KnownTerm, TakeoverSpread);
  return Delay;
}

bool primaryNeeded(const decision &Context) {
  const promotion_state &State = Context.State;
  if (State.Reason == promotion_reason::None || Context.Now < State.NextTry)
    return false;
  const bool Optional = State.Reason == promotion_reason::PrimaryIsolated ||
                        State.Reason == promotion_reason::PrimaryLeaving;
  if (Optional && Context.Now < State.NextOptional)
    return false;
  if (Context.Now - State.SuspectSince < delayFor(Context))
    return false;
  return majorityAnswers(Context.Inputs.View, {State.Reason, State.Suspect});
}

std::size_t membersOf(const decision &Context) {
  return Context.Inputs.Settings.Members.size();
}

bool isWorthWaiting(const decision &Context) {
  return Context.State.AttemptReason == promotion_reason::PrimaryLeaving &&
         Context.State.Answers.size() < membersOf(Context) &&
         Context.Now - Context.State.StepSince < HandoverPatience;
}

/// A planned handover waits briefly for a candidate that is not leaving: all
/// candidates in the first majority may be leaving.
bool majorityGranted(const decision &Context) {
  const auto Grants =
      std::count_if(Context.State.Answers.begin(), Context.State.Answers.end(),
                    [&Context](const fence_answer &Answer) {
                      return isCandidate(Context.State, Answer);
                    });
  if (static_cast<std::size_t>(Grants) < majorityOf(membersOf(Context)))
    return false;
  return !isWorthWaiting(Context) ||
         !isLeaving(Context, *bestCandidate(Context));
}

bool majorityImpossible(const decision &Context) {
  const auto Refusals =
      std::count_if(Context.State.Answers.begin(), Context.State.Answers.end(),
                    [](const fence_answer &Answer) { return !Answer.Granted; });
  const std::size_t Remaining =
      membersOf(Context) - static_cast<std::size_t>(Refusals);
  return Remaining < majorityOf(membersOf(Context));
}

bool majorityFollows(const decision &Context) {
  const auto Primary = knownPrimary(Context);
  if (!Primary)
    return false;
  std::size_t Following = 1;
  for (const member_view &Member : Context.Inputs.View.Members) {
    Following +=
        Member.Target != Primary->Target && follows(Member, *Primary) ? 1 : 0;
  }
  return Following >= majorityOf(membersOf(Context));
}

bool followDue(const decision &Context) {
  if (!Context.Inputs.Coordinates ||
      Context.Now - Context.State.LastFollow < FollowInterval)
    return false;
  const auto Primary = knownPrimary(Context);
  if (!Primary)
    return false;
  const auto &Members = Context.Inputs.View.Members;
  return std::any_of(Members.begin(), Members.end(),
                     [&Primary](const member_view &Member) {
                       return Member.Reachable && needsFollow(Member, *Primary);
                     });
}

bool recordDue(const decision &Context) {
  const record_progress &Record = Context.State.Record;
  const auto Primary = knownPrimary(Context);
  return Context.Inputs.Coordinates && Primary &&
         Primary->Term > Record.RecordedTerm &&
         recordReadDue(Record, Context.Now);
}

bool isRecorded(const promotion_state &State) {
  return State.Record.RecordedTerm >= State.Record.Wanted.Term;
}

std::uint64_t termOfStep(const promotion_state &State) {
  return State.Step == promotion_step::Recording ? State.Record.Wanted.Term
                                                 : State.Term;
}

bool isPromoted(const decision &Context) {
  const promotion_state &State = Context.State;
  if (State.ChosenAccepted)
    return true;
  const member_view *Member = findMember(Context.Inputs.View, State.Chosen);
  return Member != nullptr && Member->Report &&
         Member->Report->Role == member_role::Primary &&
         Member->Report->Term == State.Term;
}

duration timeoutOf(promotion_step Step) {
  switch (Step) {
  case promotion_step::Fencing:
    return FenceTimeout;
  case promotion_step::Promoting:
    return PromoteTimeout;
  case promotion_step::Watching:
  case promotion_step::Following:
  case promotion_step::Recording:
    break;
  }
  return FollowTimeout;
}

} // namespace

bool holds(const decision &Context, promotion_guard Guard) {
  const promotion_state &State = Context.State;
  switch (Guard) {
  case promotion_guard::PrimaryNeeded:
    return primaryNeeded(Context);
  case promotion_guard::Superseded:
    return State.KnownTerm > termOfStep(State);
  case promotion_guard::MajorityGranted:
    return majorityGranted(Context);
  case promotion_guard::MajorityImpossible:
    return majorityImpossible(Context);
  case promotion_guard::Promoted:
    return isPromoted(Context);
  case promotion_guard::PromoteRefused:
    return State.ChosenRefused;
  case promotion_guard::MajorityFollows:
    return majorityFollows(Context);
  case promotion_guard::FollowDue:
    return followDue(Context);
  case promotion_guard::RecordDue:
    return recordDue(Context);
  case promotion_guard::Recorded:
    return isRecorded(State);
  case promotion_guard::SwapNeeded:
    return State.Record.Read && !State.Record.Pending;
  case promotion_guard::ReadDue:
    return recordReadDue(State.Record, Context.Now);
  case promotion_guard::Released:
    return !Context.Inputs.Coordinates && !State.Record.Pending;
  case promotion_guard::ResendDue:
    return Context.Now - State.LastSent >= ResendInterval;
  case promotion_guard::StepOverdue:
    return Context.Now - State.StepSince >= timeoutOf(State.Step);
  }
  return false;
}

} // namespace bronzespar::impl

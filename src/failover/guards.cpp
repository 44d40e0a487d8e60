/// Guards of the promotion state chart (charts/promotion.scxml).
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
constexpr duration TakeoverJitter = 400ms;
constexpr duration ResendInterval = 100ms;
constexpr duration FollowInterval = 200ms;
/// Maximum time that a handover waits for a grant of a member that is not
/// leaving.
constexpr duration HandoverGrantWait = 100ms;
constexpr duration FenceTimeout = 500ms;
constexpr duration PromoteTimeout = 300ms;
constexpr duration FollowTimeout = 2s;

duration attemptDelay(const promotion_context &Context) {
  const promotion_state &State = Context.State;
  duration Delay{};
  if (State.Reason == promotion_reason::NoPrimary ||
      State.Reason == promotion_reason::PrimarySilent)
    Delay += SuspicionDelay;
  if (!Context.Inputs.IsCoordinator)
    Delay += TakeoverDelay + jitter(Context, State.KnownTerm, TakeoverJitter);
  return Delay;
}

bool primaryNeeded(const promotion_context &Context) {
  const promotion_state &State = Context.State;
  if (State.Reason == promotion_reason::None || Context.Now < State.NextAttempt)
    return false;
  const bool Optional = State.Reason == promotion_reason::PrimaryIsolated ||
                        State.Reason == promotion_reason::PrimaryLeaving;
  if (Optional && Context.Now < State.NextOptionalAttempt)
    return false;
  if (Context.Now - State.SuspectSince < attemptDelay(Context))
    return false;
  return majorityAnswers(Context.Inputs.View,
                         {State.Reason, State.SuspectedPrimary});
}

std::size_t memberCount(const promotion_context &Context) {
  return Context.Inputs.Settings.Members.size();
}

bool awaitsBetterCandidate(const promotion_context &Context) {
  return Context.State.AttemptReason == promotion_reason::PrimaryLeaving &&
         Context.State.Answers.size() < memberCount(Context) &&
         Context.Now - Context.State.StepSince < HandoverGrantWait;
}

/// A planned handover waits briefly for a candidate that is not leaving: all
/// candidates in the first majority may be leaving.
bool majorityGranted(const promotion_context &Context) {
  const auto Grants =
      std::count_if(Context.State.Answers.begin(), Context.State.Answers.end(),
                    [&Context](const fence_answer &Answer) {
                      return isCandidate(Context.State, Answer);
                    });
  if (static_cast<std::size_t>(Grants) < majorityOf(memberCount(Context)))
    return false;
  return !awaitsBetterCandidate(Context) ||
         !isLeaving(Context, *bestCandidate(Context));
}

bool majorityImpossible(const promotion_context &Context) {
  const auto Refusals =
      std::count_if(Context.State.Answers.begin(), Context.State.Answers.end(),
                    [](const fence_answer &Answer) { return !Answer.Granted; });
  const std::size_t Remaining =
      memberCount(Context) - static_cast<std::size_t>(Refusals);
  return Remaining < majorityOf(memberCount(Context));
}

bool majorityFollows(const promotion_context &Context) {
  const auto Primary = knownPrimary(Context);
  if (!Primary)
    return false;
  std::size_t Following = 1;
  for (const member_view &Member : Context.Inputs.View.Members) {
    Following +=
        Member.Target != Primary->Target && follows(Member, *Primary) ? 1 : 0;
  }
  return Following >= majorityOf(memberCount(Context));
}

bool followDue(const promotion_context &Context) {
  if (!Context.Inputs.IsCoordinator ||
      Context.Now - Context.State.LastFollowSent < FollowInterval)
    return false;
  const auto Primary = knownPrimary(Context);
  if (!Primary)
    return false;
  const auto &Members = Context.Inputs.View.Members;
  return std::any_of(Members.begin(), Members.end(),
                     [&Primary](const member_view &Member) {
                       return Member.Reachable && mustFollow(Member, *Primary);
                     });
}

bool recordDue(const promotion_context &Context) {
  const record_progress &Record = Context.State.Record;
  const auto Primary = knownPrimary(Context);
  return Context.Inputs.IsCoordinator && Primary &&
         Primary->Term > Record.RecordedTerm &&
         recordReadDue(Record, Context.Now);
}

bool isRecorded(const promotion_state &State) {
  return State.Record.RecordedTerm >= State.Record.DesiredRecord.Term;
}

std::uint64_t termOfStep(const promotion_state &State) {
  return State.Step == promotion_step::Recording
             ? State.Record.DesiredRecord.Term
             : State.Term;
}

bool isPromoted(const promotion_context &Context) {
  const promotion_state &State = Context.State;
  if (State.ChosenAccepted)
    return true;
  const member_view *Member = findMember(Context.Inputs.View, State.Chosen);
  return Member != nullptr && Member->Report &&
         Member->Report->Role == member_role::Primary &&
         Member->Report->Term == State.Term;
}

duration stepTimeout(promotion_step Step) {
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

bool evaluateGuard(const promotion_context &Context, promotion_guard Guard) {
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
    return State.Record.IsRead && !State.Record.PendingCall;
  case promotion_guard::ReadDue:
    return recordReadDue(State.Record, Context.Now);
  case promotion_guard::Released:
    return !Context.Inputs.IsCoordinator && !State.Record.PendingCall;
  case promotion_guard::ResendDue:
    return Context.Now - State.LastCommandSent >= ResendInterval;
  case promotion_guard::StepOverdue:
    return Context.Now - State.StepSince >= stepTimeout(State.Step);
  }
  return false;
}

} // namespace bronzespar::impl

/// Guards of charts/promotion.scxml.
#include "failover/drive.hpp"
#include "failover/record.hpp"

#include <algorithm>

namespace bronzespar::impl {

namespace {

/// Time from the first evidence to the coordinator's attempt.
constexpr duration SuspicionDelay = 200ms;
/// Further time after which a host that does not coordinate steps in.
constexpr duration TakeoverDelay = 600ms;
constexpr duration TakeoverJitter = 400ms;
constexpr duration ResendInterval = 100ms;
constexpr duration FollowInterval = 200ms;
/// Longest wait of a handover for the grant of a member that stays.
constexpr duration HandoverGrantWait = 100ms;
constexpr duration FenceTimeout = 500ms;
constexpr duration PromoteTimeout = 300ms;
constexpr duration FollowTimeout = 2s;

duration attemptDelay(const promotion_context &D) {
  const promotion_state &State = D.State;
  duration Delay{};
  if (State.Reason == promotion_reason::NoPrimary ||
      State.Reason == promotion_reason::PrimarySilent)
    Delay += SuspicionDelay;
  if (!D.Inputs.IsCoordinator)
    Delay += TakeoverDelay + jitter(D, State.KnownTerm, TakeoverJitter);
  return Delay;
}

bool primaryNeeded(const promotion_context &D) {
  const promotion_state &State = D.State;
  if (State.Reason == promotion_reason::None || D.Now < State.NextAttempt)
    return false;
  const bool Optional = State.Reason == promotion_reason::PrimaryIsolated ||
                        State.Reason == promotion_reason::PrimaryLeaving;
  if (Optional && D.Now < State.NextOptionalAttempt)
    return false;
  if (D.Now - State.SuspectSince < attemptDelay(D))
    return false;
  return majorityAnswers(D.Inputs.View, {State.Reason, State.SuspectedPrimary});
}

std::size_t memberCount(const promotion_context &D) {
  return D.Inputs.Settings.Members.size();
}

bool awaitsBetterCandidate(const promotion_context &D) {
  return D.State.AttemptReason == promotion_reason::PrimaryLeaving &&
         D.State.Answers.size() < memberCount(D) &&
         D.Now - D.State.StepSince < HandoverGrantWait;
}

/// A planned handover waits a little for a member that stays: the quickest
/// majority may hold leaving ones only.
bool majorityGranted(const promotion_context &D) {
  const auto Grants =
      std::count_if(D.State.Answers.begin(), D.State.Answers.end(),
                    [&D](const fence_answer &Answer) {
                      return isCandidate(D.State, Answer);
                    });
  if (static_cast<std::size_t>(Grants) < majorityOf(memberCount(D)))
    return false;
  return !awaitsBetterCandidate(D) || !isLeaving(D, *bestCandidate(D));
}

bool majorityImpossible(const promotion_context &D) {
  const auto Refusals =
      std::count_if(D.State.Answers.begin(), D.State.Answers.end(),
                    [](const fence_answer &Answer) { return !Answer.Granted; });
  const std::size_t Left = memberCount(D) - static_cast<std::size_t>(Refusals);
  return Left < majorityOf(memberCount(D));
}

bool majorityFollows(const promotion_context &D) {
  const auto Primary = knownPrimary(D);
  if (!Primary)
    return false;
  std::size_t Following = 1;
  for (const member_view &Member : D.Inputs.View.Members) {
    Following +=
        Member.Target != Primary->Target && follows(Member, *Primary) ? 1 : 0;
  }
  return Following >= majorityOf(memberCount(D));
}

bool followDue(const promotion_context &D) {
  if (!D.Inputs.IsCoordinator ||
      D.Now - D.State.LastFollowSent < FollowInterval)
    return false;
  const auto Primary = knownPrimary(D);
  if (!Primary)
    return false;
  const auto &Members = D.Inputs.View.Members;
  return std::any_of(Members.begin(), Members.end(),
                     [&Primary](const member_view &Member) {
                       return Member.Reachable && mustFollow(Member, *Primary);
                     });
}

bool recordDue(const promotion_context &D) {
  const record_progress &Record = D.State.Record;
  const auto Primary = knownPrimary(D);
  return D.Inputs.IsCoordinator && Primary &&
         Primary->Term > Record.RecordedTerm && recordReadDue(Record, D.Now);
}

bool isRecorded(const promotion_state &State) {
  return State.Record.RecordedTerm >= State.Record.DesiredRecord.Term;
}

std::uint64_t termOfStep(const promotion_state &State) {
  return State.Step == promotion_step::Recording
             ? State.Record.DesiredRecord.Term
             : State.Term;
}

bool isPromoted(const promotion_context &D) {
  const promotion_state &State = D.State;
  if (State.ChosenAccepted)
    return true;
  const member_view *Member = findMember(D.Inputs.View, State.Chosen);
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

bool evaluateGuard(const promotion_context &D, promotion_guard Guard) {
  const promotion_state &State = D.State;
  switch (Guard) {
  case promotion_guard::PrimaryNeeded:
    return primaryNeeded(D);
  case promotion_guard::Superseded:
    return State.KnownTerm > termOfStep(State);
  case promotion_guard::MajorityGranted:
    return majorityGranted(D);
  case promotion_guard::MajorityImpossible:
    return majorityImpossible(D);
  case promotion_guard::Promoted:
    return isPromoted(D);
  case promotion_guard::PromoteRefused:
    return State.ChosenRefused;
  case promotion_guard::MajorityFollows:
    return majorityFollows(D);
  case promotion_guard::FollowDue:
    return followDue(D);
  case promotion_guard::RecordDue:
    return recordDue(D);
  case promotion_guard::Recorded:
    return isRecorded(State);
  case promotion_guard::SwapNeeded:
    return State.Record.IsRead && !State.Record.PendingCall;
  case promotion_guard::ReadDue:
    return recordReadDue(State.Record, D.Now);
  case promotion_guard::Released:
    return !D.Inputs.IsCoordinator && !State.Record.PendingCall;
  case promotion_guard::ResendDue:
    return D.Now - State.LastCommandSent >= ResendInterval;
  case promotion_guard::StepOverdue:
    return D.Now - State.StepSince >= stepTimeout(State.Step);
  }
  return false;
}

} // namespace bronzespar::impl

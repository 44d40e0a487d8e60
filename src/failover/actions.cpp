/// Actions of charts/promotion.scxml.
#include "failover/drive.hpp"
#include "failover/record.hpp"

#include <boost/container_hash/hash.hpp>

#include <algorithm>

namespace bronzespar::impl {

namespace {

constexpr duration BackOffBase = 50ms;
constexpr duration BackOffJitterStep = 100ms;
constexpr std::uint32_t MaxBackOffJitterSteps = 4;
/// Least time between two promotions for an isolated primary: a group whose
/// replicas all lag for other reasons gains nothing from more of them.
constexpr duration MinIsolationPromotionInterval = 10s;
/// Least time between two attempts to hand over from a leaving primary: one
/// that found it ahead of its replicas has promoted it again.
constexpr duration MinHandoverInterval = 100ms;

void appendLog(const promotion_context &D, effects::log_severity Severity,
               std::string Event, std::vector<effects::log_field> Fields) {
  Fields.push_back({"group", D.State.Group.Value});
  Fields.push_back({"term", std::to_string(D.State.Term)});
  D.Effects.push_back(
      effects::write_log{Severity, std::move(Event), std::move(Fields)});
}

bool hasAnswered(const promotion_state &State, const target_id &Target) {
  return std::any_of(State.Answers.begin(), State.Answers.end(),
                     [&Target](const fence_answer &Answer) {
                       return Answer.Target == Target;
                     });
}

void beginTerm(const promotion_context &D) {
  promotion_state &State = D.State;
  State.Term = std::max(State.Term, State.KnownTerm) + 1;
  State.KnownTerm = State.Term;
  ++State.Attempts;
  State.AttemptReason = State.Reason;
  State.Answers.clear();
  State.Chosen = {};
  State.ChosenAccepted = false;
  State.ChosenRefused = false;
  const auto Primary = currentPrimary(D.Inputs.View);
  State.FormerPrimary = Primary ? Primary->Target : target_id{};
  State.ExcludedTarget = {};
  if (State.Reason == promotion_reason::PrimaryIsolated) {
    State.ExcludedTarget = State.SuspectedPrimary;
    State.NextOptionalAttempt = D.Now + MinIsolationPromotionInterval;
  }
  if (State.Reason == promotion_reason::PrimaryLeaving)
    State.NextOptionalAttempt = D.Now + MinHandoverInterval;
  appendLog(D, effects::log_severity::Warning, "promotion begins",
            {{"reason", std::string(enumName(State.Reason))},
             {"former_primary", State.FormerPrimary.Value}});
}

void send(const promotion_context &D, const target_settings &Member,
          control_request Request) {
  Request.Coordinator = coordinatorName(D);
  D.State.LastCommandSent = D.Now;
  const endpoint Where =
      mapAddress(D.Self, Member.DataCentre, Member.Maintenance);
  D.Effects.push_back(
      effects::send_control_command{Member.Id, Where, std::move(Request)});
}

void sendFences(const promotion_context &D) {
  for (const target_settings &Member : D.Inputs.Settings.Members) {
    if (!hasAnswered(D.State, Member.Id))
      send(D, Member, {control_kind::Fence, D.State.Term, {}, {}, {}});
  }
}

void chooseMember(const promotion_context &D) {
  const fence_answer *Best = bestCandidate(D);
  if (Best == nullptr)
    return;
  D.State.Chosen = Best->Target;
  const bool HandsOver =
      D.State.AttemptReason == promotion_reason::PrimaryLeaving &&
      Best->Target != D.State.FormerPrimary;
  if (HandsOver)
    D.State.NextOptionalAttempt = D.Now;
  appendLog(D, effects::log_severity::Info, "new primary chosen",
            {{"target", Best->Target.Value},
             {"position_term", std::to_string(Best->Report.Position.Term)},
             {"position_index", std::to_string(Best->Report.Position.Index)}});
}

const target_settings *findMemberSettings(const promotion_context &D,
                                          const target_id &Id) {
  const auto &Members = D.Inputs.Settings.Members;
  const auto Found = std::find_if(
      Members.begin(), Members.end(),
      [&Id](const target_settings &Member) { return Member.Id == Id; });
  return Found == Members.end() ? nullptr : &*Found;
}

void sendPromote(const promotion_context &D) {
  const target_settings *Member = findMemberSettings(D, D.State.Chosen);
  if (Member != nullptr)
    send(D, *Member, {control_kind::Promote, D.State.Term, {}, {}, {}});
}

void sendFollows(const promotion_context &D) {
  // Promoted may have been learnt from a report.
  if (D.State.Step == promotion_step::Following)
    D.State.ChosenAccepted = true;
  const auto Primary = knownPrimary(D);
  const target_settings *Leader =
      Primary ? findMemberSettings(D, Primary->Target) : nullptr;
  if (Leader == nullptr)
    return;
  D.State.LastFollowSent = D.Now;
  for (const target_settings &Member : D.Inputs.Settings.Members) {
    const member_view *View = findMember(D.Inputs.View, Member.Id);
    if (View == nullptr || !mustFollow(*View, *Primary))
      continue;
    send(D, Member,
         {control_kind::Follow,
          Primary->Term,
          {},
          Leader->Id.Value,
          toText(Leader->Replication)});
  }
}

void startRecordRead(const promotion_context &D) {
  record_progress &Record = D.State.Record;
  if (const auto Primary = knownPrimary(D))
    Record.DesiredRecord = {Primary->Term, Primary->Target.Value};
  D.State.Attempts = 0;
  readRecord(Record, D.State.Group, *D.Inputs.NextPlatformRef, D.Now,
             D.Effects);
}

void backOff(const promotion_context &D) {
  promotion_state &State = D.State;
  const std::uint32_t Spreads =
      std::clamp(State.Attempts, 1U, MaxBackOffJitterSteps);
  State.NextAttempt =
      D.Now + BackOffBase + jitter(D, State.Term, BackOffJitterStep * Spreads);
  appendLog(D, effects::log_severity::Info, "promotion attempt ended",
            {{"step", std::string(enumName(D.StepBefore))},
             {"known_term", std::to_string(State.KnownTerm)}});
}

/// True when First is to be chosen before Second. The position alone is a
/// matter of safety; the rest are preferences.
bool isBetterCandidate(const promotion_context &D, const fence_answer &First,
                       const fence_answer &Second) {
  if (First.Report.Position != Second.Report.Position)
    return First.Report.Position > Second.Report.Position;
  const bool FirstLeaves = isLeaving(D, First);
  if (FirstLeaves != isLeaving(D, Second))
    return !FirstLeaves;
  if ((First.Target == D.State.FormerPrimary) !=
      (Second.Target == D.State.FormerPrimary))
    return First.Target == D.State.FormerPrimary;
  return First.Target < Second.Target;
}

} // namespace

std::string coordinatorName(const promotion_context &D) {
  return D.Self.Id.Value + '#' + std::to_string(D.Inputs.Incarnation);
}

/// A number that differs between hosts, groups and attempts.
duration jitter(const promotion_context &D, std::uint64_t Salt,
                duration Spread) {
  std::size_t Hash = 0;
  boost::hash_combine(Hash, coordinatorName(D));
  boost::hash_combine(Hash, D.State.Group.Value);
  boost::hash_combine(Hash, Salt);
  const auto Range = static_cast<std::size_t>(Spread.count());
  return duration(static_cast<duration::rep>(Hash % Range));
}

bool isCandidate(const promotion_state &State, const fence_answer &Answer) {
  return Answer.Granted && Answer.Target != State.ExcludedTarget;
}

/// The primary that members are to follow, as far as this host knows.
bool isLeaving(const promotion_context &D, const fence_answer &Answer) {
  const member_view *Member = impl::findMember(D.Inputs.View, Answer.Target);
  return Answer.Report.Leaving || (Member != nullptr && Member->Leaving);
}

const fence_answer *bestCandidate(const promotion_context &D) {
  const fence_answer *Best = nullptr;
  for (const fence_answer &Answer : D.State.Answers) {
    if (!isCandidate(D.State, Answer))
      continue;
    if (Best == nullptr || isBetterCandidate(D, Answer, *Best))
      Best = &Answer;
  }
  return Best;
}

std::optional<group_primary> knownPrimary(const promotion_context &D) {
  const promotion_state &State = D.State;
  if (State.ChosenAccepted && State.Term >= State.KnownTerm)
    return group_primary{State.Chosen, State.Term, true};
  auto Primary = currentPrimary(D.Inputs.View);
  if (!Primary || !Primary->Reported || Primary->Term < State.KnownTerm)
    return std::nullopt;
  return Primary;
}

bool mustFollow(const member_view &Member, const group_primary &Primary) {
  return Member.Target != Primary.Target && Member.Report &&
         !follows(Member, Primary);
}

void runAction(const promotion_context &D, promotion_action Action) {
  switch (Action) {
  case promotion_action::BeginTerm:
    return beginTerm(D);
  case promotion_action::SendFences:
    return sendFences(D);
  case promotion_action::ChooseMember:
    return chooseMember(D);
  case promotion_action::SendPromote:
    return sendPromote(D);
  case promotion_action::SendFollows:
    return sendFollows(D);
  case promotion_action::ReadRecord:
    return startRecordRead(D);
  case promotion_action::SwapRecord:
    return swapRecord(D.State.Record, D.State.Group, *D.Inputs.NextPlatformRef,
                      D.Now, D.Effects);
  case promotion_action::BackOff:
    return backOff(D);
  }
}

} // namespace bronzespar::impl

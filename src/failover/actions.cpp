/// Actions of the promotion state chart (charts/promotion.scxml).
#include "failover/drive.hpp"
#include "failover/record.hpp"

#include <boost/container_hash/hash.hpp>

#include <algorithm>

namespace bronzespar::impl {

namespace {

constexpr duration BackOffBase = 50ms;
constexpr duration BackOffJitterStep = 100ms;
constexpr std::uint32_t MaxBackOffJitterSteps = 4;
/// Minimum time between two promotions because of an isolated primary. If all
/// replicas lag for another reason, further promotions do not help.
constexpr duration MinIsolationPromotionInterval = 10s;
/// Minimum time between two attempts to hand over from a leaving primary. An
/// attempt promotes the leaving primary again if it is ahead of its replicas.
constexpr duration MinHandoverInterval = 100ms;

void appendLog(const promotion_context &Context, effects::log_severity Severity,
               std::string Event, std::vector<effects::log_field> Fields) {
  Fields.push_back({"group", Context.State.Group.Value});
  Fields.push_back({"term", std::to_string(Context.State.Term)});
  Context.Effects.push_back(
      effects::write_log{Severity, std::move(Event), std::move(Fields)});
}

bool hasAnswered(const promotion_state &State, const target_id &Target) {
  return std::any_of(State.Answers.begin(), State.Answers.end(),
                     [&Target](const fence_answer &Answer) {
                       return Answer.Target == Target;
                     });
}

void beginTerm(const promotion_context &Context) {
  promotion_state &State = Context.State;
  State.Term = std::max(State.Term, State.KnownTerm) + 1;
  State.KnownTerm = State.Term;
  ++State.Attempts;
  State.AttemptReason = State.Reason;
  State.Answers.clear();
  State.Chosen = {};
  State.ChosenAccepted = false;
  State.ChosenRefused = false;
  const auto Primary = currentPrimary(Context.Inputs.View);
  State.FormerPrimary = Primary ? Primary->Target : target_id{};
  State.ExcludedTarget = {};
  if (State.Reason == promotion_reason::PrimaryIsolated) {
    State.ExcludedTarget = State.SuspectedPrimary;
    State.NextOptionalAttempt = Context.Now + MinIsolationPromotionInterval;
  }
  if (State.Reason == promotion_reason::PrimaryLeaving)
    State.NextOptionalAttempt = Context.Now + MinHandoverInterval;
  appendLog(Context, effects::log_severity::Warning, "promotion begins",
            {{"reason", std::string(enumName(State.Reason))},
             {"former_primary", State.FormerPrimary.Value}});
}

void send(const promotion_context &Context, const target_settings &Member,
          control_request Request) {
  Request.Coordinator = coordinatorName(Context);
  Context.State.LastCommandSent = Context.Now;
  const endpoint Address =
      mapAddress(Context.Self, Member.DataCentre, Member.Maintenance);
  Context.Effects.push_back(
      effects::send_control_command{Member.Id, Address, std::move(Request)});
}

void sendFences(const promotion_context &Context) {
  for (const target_settings &Member : Context.Inputs.Settings.Members) {
    if (!hasAnswered(Context.State, Member.Id))
      send(Context, Member,
           {control_kind::Fence, Context.State.Term, {}, {}, {}});
  }
}

void chooseMember(const promotion_context &Context) {
  const fence_answer *Best = bestCandidate(Context);
  if (Best == nullptr)
    return;
  Context.State.Chosen = Best->Target;
  const bool HandsOver =
      Context.State.AttemptReason == promotion_reason::PrimaryLeaving &&
      Best->Target != Context.State.FormerPrimary;
  if (HandsOver)
    Context.State.NextOptionalAttempt = Context.Now;
  appendLog(Context, effects::log_severity::Info, "new primary chosen",
            {{"target", Best->Target.Value},
             {"position_term", std::to_string(Best->Report.Position.Term)},
             {"position_index", std::to_string(Best->Report.Position.Index)}});
}

const target_settings *findMemberSettings(const promotion_context &Context,
                                          const target_id &Id) {
  const auto &Members = Context.Inputs.Settings.Members;
  const auto Found = std::find_if(
      Members.begin(), Members.end(),
      [&Id](const target_settings &Member) { return Member.Id == Id; });
  return Found == Members.end() ? nullptr : &*Found;
}

void sendPromote(const promotion_context &Context) {
  const target_settings *Member =
      findMemberSettings(Context, Context.State.Chosen);
  if (Member != nullptr)
    send(Context, *Member,
         {control_kind::Promote, Context.State.Term, {}, {}, {}});
}

void sendFollows(const promotion_context &Context) {
  // The guard Promoted may have been satisfied by a report instead of an
  // answer.
  if (Context.State.Step == promotion_step::Following)
    Context.State.ChosenAccepted = true;
  const auto Primary = knownPrimary(Context);
  const target_settings *PrimarySettings =
      Primary ? findMemberSettings(Context, Primary->Target) : nullptr;
  if (PrimarySettings == nullptr)
    return;
  Context.State.LastFollowSent = Context.Now;
  for (const target_settings &Member : Context.Inputs.Settings.Members) {
    const member_view *MemberView = findMember(Context.Inputs.View, Member.Id);
    if (MemberView == nullptr || !mustFollow(*MemberView, *Primary))
      continue;
    send(Context, Member,
         {control_kind::Follow,
          Primary->Term,
          {},
          PrimarySettings->Id.Value,
          toText(PrimarySettings->Replication)});
  }
}

void startRecordRead(const promotion_context &Context) {
  record_progress &Record = Context.State.Record;
  if (const auto Primary = knownPrimary(Context))
    Record.DesiredRecord = {Primary->Term, Primary->Target.Value};
  Context.State.Attempts = 0;
  readRecord(Record, Context.State.Group, *Context.Inputs.NextPlatformRef,
             Context.Now, Context.Effects);
}

void backOff(const promotion_context &Context) {
  promotion_state &State = Context.State;
  const std::uint32_t JitterSteps =
      std::clamp(State.Attempts, 1U, MaxBackOffJitterSteps);
  State.NextAttempt =
      Context.Now + BackOffBase +
      jitter(Context, State.Term, BackOffJitterStep * JitterSteps);
  appendLog(Context, effects::log_severity::Info, "promotion attempt ended",
            {{"step", std::string(enumName(Context.StepBefore))},
             {"known_term", std::to_string(State.KnownTerm)}});
}

/// True when First is preferred to Second. Only the comparison of positions is
/// needed for safety.
bool isBetterCandidate(const promotion_context &Context,
                       const fence_answer &First, const fence_answer &Second) {
  if (First.Report.Position != Second.Report.Position)
    return First.Report.Position > Second.Report.Position;
  const bool FirstLeaves = isLeaving(Context, First);
  if (FirstLeaves != isLeaving(Context, Second))
    return !FirstLeaves;
  if ((First.Target == Context.State.FormerPrimary) !=
      (Second.Target == Context.State.FormerPrimary))
    return First.Target == Context.State.FormerPrimary;
  return First.Target < Second.Target;
}

} // namespace

std::string coordinatorName(const promotion_context &Context) {
  return Context.Self.Id.Value + '#' +
         std::to_string(Context.Inputs.Incarnation);
}

duration jitter(const promotion_context &Context, std::uint64_t Salt,
                duration Limit) {
  std::size_t Hash = 0;
  boost::hash_combine(Hash, coordinatorName(Context));
  boost::hash_combine(Hash, Context.State.Group.Value);
  boost::hash_combine(Hash, Salt);
  const auto Range = static_cast<std::size_t>(Limit.count());
  return duration(static_cast<duration::rep>(Hash % Range));
}

bool isCandidate(const promotion_state &State, const fence_answer &Answer) {
  return Answer.Granted && Answer.Target != State.ExcludedTarget;
}

bool isLeaving(const promotion_context &Context, const fence_answer &Answer) {
  const member_view *Member =
      impl::findMember(Context.Inputs.View, Answer.Target);
  return Answer.Report.Leaving || (Member != nullptr && Member->Leaving);
}

const fence_answer *bestCandidate(const promotion_context &Context) {
  const fence_answer *Best = nullptr;
  for (const fence_answer &Answer : Context.State.Answers) {
    if (!isCandidate(Context.State, Answer))
      continue;
    if (Best == nullptr || isBetterCandidate(Context, Answer, *Best))
      Best = &Answer;
  }
  return Best;
}

std::optional<group_primary> knownPrimary(const promotion_context &Context) {
  const promotion_state &State = Context.State;
  if (State.ChosenAccepted && State.Term >= State.KnownTerm)
    return group_primary{State.Chosen, State.Term, true};
  auto Primary = currentPrimary(Context.Inputs.View);
  if (!Primary || !Primary->Reported || Primary->Term < State.KnownTerm)
    return std::nullopt;
  return Primary;
}

bool mustFollow(const member_view &Member, const group_primary &Primary) {
  return Member.Target != Primary.Target && Member.Report &&
         !follows(Member, Primary);
}

void runAction(const promotion_context &Context, promotion_action Action) {
  switch (Action) {
  case promotion_action::BeginTerm:
    return beginTerm(Context);
  case promotion_action::SendFences:
    return sendFences(Context);
  case promotion_action::ChooseMember:
    return chooseMember(Context);
  case promotion_action::SendPromote:
    return sendPromote(Context);
  case promotion_action::SendFollows:
    return sendFollows(Context);
  case promotion_action::ReadRecord:
    return startRecordRead(Context);
  case promotion_action::SwapRecord:
    return swapRecord(Context.State.Record, Context.State.Group,
                      *Context.Inputs.NextPlatformRef, Context.Now,
                      Context.Effects);
  case promotion_action::BackOff:
    return backOff(Context);
  }
}

} // namespace bronzespar::impl

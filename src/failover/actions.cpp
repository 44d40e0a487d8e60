/// Actions of the promotion state machine (charts/promotion.scxml).
#include "failover/drive.hpp"
#include "failover/record.hpp"

#include <boost/container_hash/hash.hpp>

#include <algorithm>

namespace bronzespar::impl {

namespace {

constexpr duration BackOffBase = 50ms;
constexpr duration BackOffSpread = 100ms;
constexpr std::uint32_t MaxSpreads = 4;
/// Minimum time between two promotions because of an isolated primary. If all
/// replicas lag for another reason, further promotions do not help.
constexpr duration IsolationPause = 10s;
/// Minimum time between two attempts to hand over from a leaving primary. An
/// attempt promotes the leaving primary again if it is ahead of its replicas.
constexpr duration HandoverPause = 100ms;

void log(const decision &Context, effects::log_severity Severity,
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

void beginTerm(const decision &Context) {
  promotion_state &State = Context.State;
  State.Term = std::max(State.Term, State.KnownTerm) + 1;
  State.KnownTerm = State.Term;
  ++State.Tries;
  State.AttemptReason = State.Reason;
  State.Answers.clear();
  State.Chosen = {};
  State.ChosenAccepted = false;
  State.ChosenRefused = false;
  const auto Primary = currentPrimary(Context.Inputs.View);
  State.Former = Primary ? Primary->Target : target_id{};
  State.Avoided = {};
  if (State.Reason == promotion_reason::PrimaryIsolated) {
    State.Avoided = State.Suspect;
    State.NextOptional = Context.Now + IsolationPause;
  }
  if (State.Reason == promotion_reason::PrimaryLeaving)
    State.NextOptional = Context.Now + HandoverPause;
  log(Context, effects::log_severity::Warning, "promotion begins",
      {{"reason", std::string(enumName(State.Reason))},
       {"former_primary", State.Former.Value}});
}

void send(const decision &Context, const target_settings &Member,
          control_request Request) {
  Request.Coordinator = coordinatorName(Context);
  Context.State.LastSent = Context.Now;
  const endpoint Address =
      mapAddress(Context.Self, Member.DataCentre, Member.Maintenance);
  Context.Effects.push_back(
      effects::control_member{Member.Id, Address, std::move(Request)});
}

void sendFences(const decision &Context) {
  for (const target_settings &Member : Context.Inputs.Settings.Members) {
    if (!hasAnswered(Context.State, Member.Id))
      send(Context, Member,
           {control_kind::Fence, Context.State.Term, {}, {}, {}});
  }
}

void chooseMember(const decision &Context) {
  const fence_answer *Best = bestCandidate(Context);
  if (Best == nullptr)
    return;
  Context.State.Chosen = Best->Target;
  const bool HandsOver =
      Context.State.AttemptReason == promotion_reason::PrimaryLeaving &&
      Best->Target != Context.State.Former;
  if (HandsOver)
    Context.State.NextOptional = Context.Now;
  log(Context, effects::log_severity::Info, "new primary chosen",
      {{"target", Best->Target.Value},
       {"position_term", std::to_string(Best->Report.Position.Term)},
       {"position_index", std::to_string(Best->Report.Position.Index)}});
}

const target_settings *findSettings(const decision &Context,
                                    const target_id &Id) {
  const auto &Members = Context.Inputs.Settings.Members;
  const auto Found = std::find_if(
      Members.begin(), Members.end(),
      [&Id](const target_settings &Member) { return Member.Id == Id; });
  return Found == Members.end() ? nullptr : &*Found;
}

void sendPromote(const decision &Context) {
  const target_settings *Member = findSettings(Context, Context.State.Chosen);
  if (Member != nullptr)
    send(Context, *Member,
         {control_kind::Promote, Context.State.Term, {}, {}, {}});
}

void sendFollows(const decision &Context) {
  // The guard Promoted may have been satisfied by a report instead of an
  // answer.
  if (Context.State.Step == promotion_step::Following)
    Context.State.ChosenAccepted = true;
  const auto Primary = knownPrimary(Context);
  const target_settings *PrimarySettings =
      Primary ? findSettings(Context, Primary->Target) : nullptr;
  if (PrimarySettings == nullptr)
    return;
  Context.State.LastFollow = Context.Now;
  for (const target_settings &Member : Context.Inputs.Settings.Members) {
    const member_view *MemberView = findMember(Context.Inputs.View, Member.Id);
    if (MemberView == nullptr || !needsFollow(*MemberView, *Primary))
      continue;
    send(Context, Member,
         {control_kind::Follow,
          Primary->Term,
          {},
          PrimarySettings->Id.Value,
          toText(PrimarySettings->Replication)});
  }
}

void orderRead(const decision &Context) {
  record_progress &Record = Context.State.Record;
  if (const auto Primary = knownPrimary(Context))
    Record.Wanted = {Primary->Term, Primary->Target.Value};
  Context.State.Tries = 0;
  readRecord(Record, Context.State.Group, *Context.Inputs.NextPlatformRef,
             Context.Now, Context.Effects);
}

void backOff(const decision &Context) {
  promotion_state &State = Context.State;
  const std::uint32_t JitterSteps = std::clamp(State.Tries, 1U, MaxSpreads);
  State.NextTry = Context.Now + BackOffBase +
                  jitter(Context, State.Term, BackOffSpread * JitterSteps);
  log(Context, effects::log_severity::Info, "promotion attempt ended",
      {{"step", std::string(enumName(Context.From))},
       {"known_term", std::to_string(State.KnownTerm)}});
}

/// True when First is preferred to Second. Only the comparison of positions is
/// needed for safety.
bool isBetter(const decision &Context, const fence_answer &First,
              const fence_answer &Second) {
  if (First.Report.Position != Second.Report.Position)
    return First.Report.Position > Second.Report.Position;
  const bool FirstLeaves = isLeaving(Context, First);
  if (FirstLeaves != isLeaving(Context, Second))
    return !FirstLeaves;
  if ((First.Target == Context.State.Former) !=
      (Second.Target == Context.State.Former))
    return First.Target == Context.State.Former;
  return First.Target < Second.Target;
}

} // namespace

std::string coordinatorName(const decision &Context) {
  return Context.Self.Id.Value + '#' +
         std::to_string(Context.Inputs.Incarnation);
}

duration jitter(const decision &Context, std::uint64_t Salt, duration Limit) {
  std::size_t Hash = 0;
  boost::hash_combine(Hash, coordinatorName(Context));
  boost::hash_combine(Hash, Context.State.Group.Value);
  boost::hash_combine(Hash, Salt);
  const auto Range = static_cast<std::size_t>(Limit.count());
  return duration(static_cast<duration::rep>(Hash % Range));
}

bool isCandidate(const promotion_state &State, const fence_answer &Answer) {
  return Answer.Granted && Answer.Target != State.Avoided;
}

bool isLeaving(const decision &Context, const fence_answer &Answer) {
  const member_view *Member =
      impl::findMember(Context.Inputs.View, Answer.Target);
  return Answer.Report.Leaving || (Member != nullptr && Member->Leaving);
}

const fence_answer *bestCandidate(const decision &Context) {
  const fence_answer *Best = nullptr;
  for (const fence_answer &Answer : Context.State.Answers) {
    if (!isCandidate(Context.State, Answer))
      continue;
    if (Best == nullptr || isBetter(Context, Answer, *Best))
      Best = &Answer;
  }
  return Best;
}

std::optional<group_primary> knownPrimary(const decision &Context) {
  const promotion_state &State = Context.State;
  if (State.ChosenAccepted && State.Term >= State.KnownTerm)
    return group_primary{State.Chosen, State.Term, true};
  auto Primary = currentPrimary(Context.Inputs.View);
  if (!Primary || !Primary->Reported || Primary->Term < State.KnownTerm)
    return std::nullopt;
  return Primary;
}

bool needsFollow(const member_view &Member, const group_primary &Primary) {
  return Member.Target != Primary.Target && Member.Report &&
         !follows(Member, Primary);
}

void perform(const decision &Context, promotion_action Action) {
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
    return orderRead(Context);
  case promotion_action::SwapRecord:
    return swapRecord(Context.State.Record, Context.State.Group,
                      *Context.Inputs.NextPlatformRef, Context.Now,
                      Context.Effects);
  case promotion_action::BackOff:
    return backOff(Context);
  }
}

} // namespace bronzespar::impl

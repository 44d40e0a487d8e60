/// Runs the promotion state chart (charts/promotion.scxml).
#include "failover/drive.hpp"
#include "failover/record.hpp"

namespace bronzespar {

namespace {

using impl::assessment;
using impl::promotion_context;

void observeTerm(promotion_state &State, std::uint64_t Term, instant Now) {
  if (Term <= State.KnownTerm)
    return;
  State.KnownTerm = Term;
  // Another host is running a promotion; restart the delay to give it time.
  if (Term != State.Term)
    State.SuspectSince = Now;
}

void updateSuspicion(const promotion_context &Context) {
  promotion_state &State = Context.State;
  observeTerm(State, highestTerm(Context.Inputs.View), Context.Now);
  const assessment Assessment = impl::assess(Context.Inputs);
  if (Assessment.Reason == State.Reason &&
      Assessment.SuspectedPrimary == State.SuspectedPrimary)
    return;
  const bool SameSuspect =
      Assessment.Reason != promotion_reason::None &&
      State.Reason != promotion_reason::None &&
      Assessment.SuspectedPrimary == State.SuspectedPrimary;
  State.Reason = Assessment.Reason;
  State.SuspectedPrimary = Assessment.SuspectedPrimary;
  if (!SameSuspect)
    State.SuspectSince = Context.Now;
}

/// Performs the first transition for the event whose guard holds, if any.
void takeTransition(const promotion_context &Context, promotion_event Event) {
  const auto *Transition = Context.Inputs.Chart.find(
      Context.StepBefore, Event, [&Context](promotion_guard Guard) {
        return impl::evaluateGuard(Context, Guard);
      });
  if (Transition == nullptr)
    return;
  if (Transition->Target != Context.StepBefore) {
    Context.State.Step = Transition->Target;
    Context.State.StepSince = Context.Now;
  }
  for (const promotion_action Action : Transition->Actions)
    impl::runAction(Context, Action);
}

void applyFenceAnswer(promotion_state &State,
                      const events::control_command_finished &Event) {
  std::erase_if(State.Answers, [&Event](const fence_answer &Earlier) {
    return Earlier.Target == Event.Target;
  });
  State.Answers.push_back(
      {Event.Target, Event.Answer.Granted, Event.Answer.Report});
}

void applyPromoteAnswer(promotion_state &State,
                        const events::control_command_finished &Event) {
  if (Event.Target != State.Chosen)
    return;
  State.ChosenAccepted = State.ChosenAccepted || Event.Answer.Granted;
  State.ChosenRefused = !Event.Answer.Granted;
}

/// True when the answered command belongs to the current step and term.
bool isForCurrentStep(const promotion_state &State,
                      const control_request &Request) {
  if (Request.Term != State.Term)
    return false;
  return (State.Step == promotion_step::Fencing &&
          Request.Kind == control_kind::Fence) ||
         (State.Step == promotion_step::Promoting &&
          Request.Kind == control_kind::Promote);
}

} // namespace

boost::leaf::result<promotion_chart>
loadPromotionChart(const std::string &Directory) {
  return loadCompiledChart<promotion_step, promotion_event, promotion_guard,
                           promotion_action>(Directory + "/promotion.scxml");
}

void tickPromotion(promotion_state &State, const promotion_inputs &Inputs,
                   const host_settings &Self, instant Now,
                   effect_list &Effects) {
  const promotion_context Context{State, Inputs,  Self,
                                  Now,   Effects, State.Step};
  updateSuspicion(Context);
  takeTransition(Context, promotion_event::Tick);
}

void applyControlAnswer(promotion_state &State, const promotion_inputs &Inputs,
                        const host_settings &Self,
                        const events::control_command_finished &Event,
                        instant Now, effect_list &Effects) {
  if (!Event.Answered)
    return;
  observeTerm(State, Event.Answer.Report.Term, Now);
  if (isForCurrentStep(State, Event.Request)) {
    if (Event.Request.Kind == control_kind::Fence)
      applyFenceAnswer(State, Event);
    else
      applyPromoteAnswer(State, Event);
  }
  takeTransition({State, Inputs, Self, Now, Effects, State.Step},
                 promotion_event::MemberAnswered);
}

bool applyRecordAnswer(promotion_state &State, const promotion_inputs &Inputs,
                       const host_settings &Self,
                       const events::platform_answered &Event, instant Now,
                       effect_list &Effects) {
  if (State.Record.PendingCall != Event.Ref)
    return false;
  impl::handleRecordAnswer(State.Record, Event.Answer, Now);
  takeTransition({State, Inputs, Self, Now, Effects, State.Step},
                 promotion_event::PlatformAnswered);
  return true;
}

} // namespace bronzespar

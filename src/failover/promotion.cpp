/// Drives a promotion along charts/promotion.scxml.
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
  // Another host is at work: it gets the time that this one would want.
  if (Term != State.Term)
    State.SuspectSince = Now;
}

void updateSuspicion(const promotion_context &D) {
  promotion_state &State = D.State;
  observeTerm(State, highestTerm(D.Inputs.View), D.Now);
  const assessment Found = impl::assess(D.Inputs);
  if (Found.Reason == State.Reason &&
      Found.SuspectedPrimary == State.SuspectedPrimary)
    return;
  const bool Continues = Found.Reason != promotion_reason::None &&
                         State.Reason != promotion_reason::None &&
                         Found.SuspectedPrimary == State.SuspectedPrimary;
  State.Reason = Found.Reason;
  State.SuspectedPrimary = Found.SuspectedPrimary;
  if (!Continues)
    State.SuspectSince = D.Now;
}

/// Takes the first transition that the chart has for the event.
void takeTransition(const promotion_context &D, promotion_event Event) {
  const auto *Transition =
      D.Inputs.Chart.find(D.StepBefore, Event, [&D](promotion_guard Guard) {
        return impl::evaluateGuard(D, Guard);
      });
  if (Transition == nullptr)
    return;
  if (Transition->Target != D.StepBefore) {
    D.State.Step = Transition->Target;
    D.State.StepSince = D.Now;
  }
  for (const promotion_action Action : Transition->Actions)
    impl::runAction(D, Action);
}

void applyFenceAnswer(promotion_state &State,
                      const events::control_command_finished &Answer) {
  std::erase_if(State.Answers, [&Answer](const fence_answer &Earlier) {
    return Earlier.Target == Answer.Target;
  });
  State.Answers.push_back(
      {Answer.Target, Answer.Answer.Granted, Answer.Answer.Report});
}

void applyPromoteAnswer(promotion_state &State,
                        const events::control_command_finished &Answer) {
  if (Answer.Target != State.Chosen)
    return;
  State.ChosenAccepted = State.ChosenAccepted || Answer.Answer.Granted;
  State.ChosenRefused = !Answer.Answer.Granted;
}

/// True when the answer is to the command that the present step sent.
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
  const promotion_context D{State, Inputs, Self, Now, Effects, State.Step};
  updateSuspicion(D);
  takeTransition(D, promotion_event::Tick);
}

void applyControlAnswer(promotion_state &State, const promotion_inputs &Inputs,
                        const host_settings &Self,
                        const events::control_command_finished &Answer,
                        instant Now, effect_list &Effects) {
  if (!Answer.Answered)
    return;
  observeTerm(State, Answer.Answer.Report.Term, Now);
  if (isForCurrentStep(State, Answer.Request)) {
    if (Answer.Request.Kind == control_kind::Fence)
      applyFenceAnswer(State, Answer);
    else
      applyPromoteAnswer(State, Answer);
  }
  takeTransition({State, Inputs, Self, Now, Effects, State.Step},
                 promotion_event::MemberAnswered);
}

bool applyRecordAnswer(promotion_state &State, const promotion_inputs &Inputs,
                       const host_settings &Self,
                       const events::platform_answered &Answer, instant Now,
                       effect_list &Effects) {
  if (State.Record.PendingCall != Answer.Ref)
    return false;
  impl::handleRecordAnswer(State.Record, Answer.Answer, Now);
  takeTransition({State, Inputs, Self, Now, Effects, State.Step},
                 promotion_event::PlatformAnswered);
  return true;
}

} // namespace bronzespar

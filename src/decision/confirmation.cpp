/// What a target's answer is worth: its disposal, and the wait until a
/// majority holds the position it names.
#include "entry.hpp"
#include "runs.hpp"

#include <algorithm>

namespace bronzespar::impl {

namespace {

const group_view *findGroupView(const context &Context, const group_id &Group) {
  const auto Found = Context.State.Groups.find(Group);
  return Found == Context.State.Groups.end() ? nullptr : &Found->second;
}

/// Statements inside a transaction are confirmed by its commit.
bool needsMajority(const statement_run &Run) {
  const statement_kind Kind = Run.Request.Kind;
  if (Kind == statement_kind::Begin || Kind == statement_kind::Rollback)
    return false;
  return Run.Transaction == 0 || Kind == statement_kind::Commit;
}

struct refusal_text {
  refusal_cause Cause;
  const char *Detail;
};

refusal_text refusalOf(const statement_run &Run, target_status Status) {
  if (Status == target_status::Busy)
    return {refusal_cause::TargetRefused, "The target had no free slot."};
  if (Run.Transaction != 0)
    return {refusal_cause::TransactionLost,
            "The target has rolled the transaction back."};
  if (Status == target_status::WrongTerm)
    return {refusal_cause::NoPrimary,
            "The target is not the primary of the stated term."};
  return {refusal_cause::TargetRefused, "The target takes no new work."};
}

} // namespace

bool isDurable(const context &Context, const statement_run &Run) {
  const log_position Position = Run.Answer.Position;
  if (!needsMajority(Run) || Position == log_position{})
    return true;
  const group_view *View = findGroupView(Context, Run.Request.Group);
  if (View == nullptr)
    return false;
  if (isConfirmed(*View, Position))
    return true;
  // An older position that the primary of a later term has in its log: a
  // repeated write that was applied before, or data that was read.
  const std::uint64_t Later =
      isWrite(Run.Request.Kind) ? Run.Request.Term : majorityTerm(*View);
  return Later > Position.Term && isHeldByMajority(*View, Position, Later);
}

void runAnswered(context &Context, statement_run &Run,
                 const target_answer &Answer) {
  Run.Answer = Answer;
  if (Answer.Status == target_status::Done) {
    dispatchRunEvent(Context, Run, run_event::Done);
    return;
  }
  const refusal_text Text = refusalOf(Run, Answer.Status);
  refuseRun(Context, Run, Text.Cause, Text.Detail);
}

void confirmRuns(context &Context, const group_id &Group) {
  const group_view *View = findGroupView(Context, Group);
  if (View == nullptr)
    return;
  const std::uint64_t Term = majorityTerm(*View);
  std::vector<std::uint64_t> Superseded;
  const std::set<std::uint64_t> Confirming = Context.State.ConfirmingRuns;
  for (const std::uint64_t Number : Confirming) {
    statement_run &Run = Context.State.Runs.at(Number);
    if (Run.Request.Group == Group && isDurable(Context, Run))
      dispatchRunEvent(Context, Run, run_event::PositionReached);
  }
  for (const auto &[Number, Run] : Context.State.Runs) {
    const bool TermBound = Run.Request.Kind != statement_kind::Read;
    if (TermBound && Run.Request.Group == Group && Run.Request.Term < Term)
      Superseded.push_back(Number);
  }
  std::sort(Superseded.begin(), Superseded.end());
  for (const std::uint64_t Number : Superseded)
    dispatchRunEvent(Context, Context.State.Runs.at(Number),
                     run_event::Superseded);
}

void reportRun(context &Context, const statement_run &Run,
               run_outcome Outcome) {
  forward_answer Answer;
  Answer.ForwardId = Run.Request.ForwardId;
  Answer.Outcome = Outcome;
  Answer.Spans = Run.Spans;
  Answer.Transaction = Run.Request.Transaction;
  if (Outcome == run_outcome::Ran) {
    Answer.Value = Run.Answer.Value;
    Answer.Position = Run.Answer.Position;
  } else {
    Answer.Cause = Run.Cause;
    Answer.Detail = Run.Detail;
  }
  if (Run.EntryHost == Context.State.Self.Id)
    ownerAnswered(Context, Run.EntryHost, Answer);
  else
    emit(Context, effects::send_peer_message{Run.EntryHost, std::move(Answer)});
}

} // namespace bronzespar::impl

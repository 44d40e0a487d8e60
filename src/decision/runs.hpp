/// Runs: executions of statements at the pool owner, from the queue to the
/// confirmation by a majority.
#pragma once

#include "state.hpp"

namespace bronzespar::impl {

/// \brief Accepts a forwarded request as the target's pool owner.
/// \param From Entry host, which receives the answer.
void startRun(context &Context, const host_id &From,
              const forward_request &Request);

/// \brief Dispatches an event to the run's state chart and performs the actions
/// of the transition.
void dispatchRunEvent(context &Context, statement_run &Run, run_event Event);

/// \brief Ends a run whose statement the target has not run.
void refuseRun(context &Context, statement_run &Run, refusal_cause Cause,
               std::string Detail);

/// \brief Assigns free slots to queued runs, in the queue's order.
void grantSlots(context &Context, target_pool &Pool);

/// \brief Handles a target's complete answer to a run.
void runAnswered(context &Context, statement_run &Run,
                 const target_answer &Answer);

/// \brief Finishes runs of a group that new member reports have confirmed, and
/// those whose term has been superseded.
void confirmRuns(context &Context, const group_id &Group);

/// \brief True once the run's result is certain to survive every later
/// promotion.
[[nodiscard]] bool isDurable(const context &Context, const statement_run &Run);

/// \brief Time at which an unanswered statement is overdue and its connection
/// is closed.
[[nodiscard]] instant overdueAt(const target_pool &Pool,
                                const statement_run &Run);

void tickRuns(context &Context);
/// \brief Erases runs that finished during this step.
void eraseFinishedRuns(context &Context);

/// \brief Sends the run's answer to its entry host.
void reportRun(context &Context, const statement_run &Run, run_outcome Outcome);

} // namespace bronzespar::impl

/// Owner side of requests: one run of a statement from queue to confirmation.
#pragma once

#include "state.hpp"

namespace bronzespar::impl {

/// \brief Takes in a request as the target's pool owner.
/// \param From Host that waits for the answer.
void startRun(context &Context, const host_id &From,
              const forward_request &Request);

/// \brief Takes an event through the run's chart.
void dispatchRunEvent(context &Context, statement_run &Run, run_event Event);

/// \brief Refuses a run that the target has not run.
void refuseRun(context &Context, statement_run &Run, refusal_cause Cause,
               std::string Detail);

/// \brief Gives free slots to waiting runs, in the queue's order.
void grantSlots(context &Context, target_pool &Pool);

/// \brief Disposes of a target's whole answer to a run.
void runAnswered(context &Context, statement_run &Run,
                 const target_answer &Answer);

/// \brief Looks again at runs of a group after news about its members.
void confirmRuns(context &Context, const group_id &Group);

/// \brief True once what the run returned survives every later promotion.
[[nodiscard]] bool isDurable(const context &Context, const statement_run &Run);

/// \brief Time a statement may take before its connection is given up.
[[nodiscard]] instant overdueAt(const target_pool &Pool,
                                const statement_run &Run);

void tickRuns(context &Context);
/// \brief Frees runs that finished during this step.
void eraseFinishedRuns(context &Context);

/// \brief Sends the run's answer to the host that waits for it.
void reportRun(context &Context, const statement_run &Run, run_outcome Outcome);

} // namespace bronzespar::impl

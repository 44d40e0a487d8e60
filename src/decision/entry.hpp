/// Processing of callers' requests at the entry host: checks, choice of a
/// member, attempts, and the final answer.
#pragma once

#include "state.hpp"

namespace bronzespar::impl {

/// \brief Starts processing a caller's request.
void requestArrived(context &Context, const events::request_arrived &Event);
/// \brief Drops the request of a caller that has disconnected.
void callerDisconnected(context &Context,
                        const events::caller_disconnected &Event);

/// \brief Result of the checks of a request.
struct refusal {
  refusal_cause Cause = refusal_cause::None;
  std::string Detail;
  std::string Setting;
  duration RetryAfter{};
};

/// \brief Checks key, route and session token, and fills in the account.
/// \returns A refusal whose Cause is None if the request passed.
[[nodiscard]] refusal checkRequest(context &Context, entry_request &Request);

/// \brief Dispatches an event to the request's state chart and performs the
/// actions of the transition, if the event has one in the current state.
void dispatchRequestEvent(context &Context, entry_request &Request,
                          request_event Event);

/// \brief Chooses the member for the next attempt, or the host that holds the
/// transaction.
/// \returns The event to dispatch next.
[[nodiscard]] request_event chooseTarget(context &Context,
                                         entry_request &Request);

/// \brief Starts an attempt: sends the request to its pool owner, or runs it
/// here if this host is the owner.
void sendToOwner(context &Context, entry_request &Request);

/// \brief Processes a pool owner's answer. Answers to attempts that have ended
/// are ignored.
void ownerAnswered(context &Context, const host_id &From,
                   const forward_answer &Answer);
/// \brief Ends the attempts that were sent to a failed pool owner.
/// \param Certain False if the failure is only suspected. Then only attempts of
/// idempotent requests are ended.
void ownerLost(context &Context, const host_id &Owner, bool Certain);

/// \brief Chooses again for requests that wait for a change of a group's view.
void groupChanged(context &Context, const group_id &Group);
/// \brief Ends requests whose deadline has passed and starts attempts that are
/// due.
void tickRequests(context &Context);
/// \brief Erases the requests that finished during this step.
void eraseFinishedRequests(context &Context);

/// \brief True if the request can safely be sent again although it may have
/// run.
[[nodiscard]] bool isIdempotent(const caller_request &Request);

/// \brief Attributes the time since the last stage change to a stage.
void closeStage(entry_request &Request, trace_stage Stage, instant Now);
/// \brief Attributes the time since the last stage change to the stages that
/// the pool owner reported, and what remains to the hop between the hosts.
void closeOwnerStages(entry_request &Request,
                      const std::vector<trace_span> &Spans, instant Now);

/// \brief Sends the final answer and stores the trace.
void answerCaller(context &Context, entry_request &Request);

} // namespace bronzespar::impl

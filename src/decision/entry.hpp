/// Entry side of requests: checks, choice of a member, attempts, answer.
#pragma once

#include "state.hpp"

namespace bronzespar::impl {

/// \brief Takes in a caller's request.
void requestArrived(context &Context, const events::request_arrived &Event);
/// \brief Drops the request of a caller that is gone.
void callerDisconnected(context &Context,
                        const events::caller_disconnected &Event);

/// \brief Why a request is refused before an attempt.
struct refusal {
  refusal_cause Cause = refusal_cause::None;
  std::string Detail;
  std::string Setting;
  duration RetryAfter{};
};

/// \brief Checks key, route and session token, and fills in the account.
/// \returns A refusal with Cause None when the request may go on.
[[nodiscard]] refusal checkRequest(context &Context, entry_request &Request);

/// \brief Takes an event through the request's chart.
void dispatchRequestEvent(context &Context, entry_request &Request,
                          request_event Event);

/// \brief Chooses the member (or the transaction's host) for the next attempt.
/// \returns The event that follows from the choice.
[[nodiscard]] request_event chooseTarget(context &Context,
                                         entry_request &Request);

/// \brief Hands the request to its pool owner.
void sendToOwner(context &Context, entry_request &Request);

/// \brief Takes in a pool owner's answer; late ones are ignored.
void ownerAnswered(context &Context, const host_id &From,
                   const forward_answer &Answer);
/// \brief A peer cannot answer what was sent to it.
/// \param Certain False if it is only suspected; then only requests that may
/// be sent again are given up.
void ownerLost(context &Context, const host_id &Owner, bool Certain);

/// \brief Lets requests that wait for a group try again.
void groupChanged(context &Context, const group_id &Group);
/// \brief Deadlines, back-off and owners that fell silent.
void tickRequests(context &Context);
/// \brief Frees requests that finished during this step.
void eraseFinishedRequests(context &Context);

/// \brief True if the request may be sent again after it may have run.
[[nodiscard]] bool isIdempotent(const caller_request &Request);

/// \brief Adds the time since the last stage change to a stage.
void closeStage(entry_request &Request, trace_stage Stage, instant Now);
/// \brief Accounts for an owner's spans; the rest is the hop between hosts.
void closeOwnerStages(entry_request &Request,
                      const std::vector<trace_span> &Spans, instant Now);

/// \brief Sends the final answer and files the trace.
void answerCaller(context &Context, entry_request &Request);

} // namespace bronzespar::impl

/// Admission of requests by their account's rate limit.
#include "rates.hpp"
#include "bounds.hpp"

#include <algorithm>

namespace bronzespar::impl {

namespace {

void refuse(entry_request &Request, duration RetryAfter) {
  Request.LatestAnswer.Cause = refusal_cause::RateExceeded;
  Request.LatestAnswer.Detail = "The account's rate is used up for the moment.";
  Request.LatestAnswer.RetryAfter = RetryAfter;
  Request.Trace.Setting = "accounts/" + Request.Account.Value + ":rate";
}

const peer_view *findPeerInSlot(const host_state &State,
                                const host_slot &Slot) {
  for (const peer_view &Peer : State.Membership.Peers)
    if (Peer.Connected && Peer.DataCentre == Slot.DataCentre &&
        Peer.Slot == Slot.Number)
      return &Peer;
  return nullptr;
}

void sendDemands(context &Context) {
  for (outgoing_token_request &Order :
       planTokenRequests(Context.State.Shares, Context.Now))
    if (const peer_view *Peer = findPeerInSlot(Context.State, Order.RefillSlot))
      emit(Context,
           effects::send_peer_message{Peer->Id, std::move(Order.Request)});
}

void resumeWaitingRequests(context &Context) {
  for (const resolved_admission &Settled :
       takeResolvedAdmissions(Context.State.Shares, Context.Now)) {
    const auto Found = Context.State.Requests.find(Settled.Ticket);
    if (Found == Context.State.Requests.end())
      continue;
    entry_request &Request = Found->second;
    if (Settled.Result.Kind == admission_kind::Admitted) {
      dispatchRequestEvent(Context, Request, request_event::Accepted);
      continue;
    }
    refuse(Request, Settled.Result.RetryAfter);
    dispatchRequestEvent(Context, Request, request_event::Refused);
  }
}

} // namespace

request_event requestRateToken(context &Context, entry_request &Request) {
  if (Request.Account.empty())
    return request_event::Accepted;
  const duration TimeLeft = Request.Deadline - Context.Now - AnswerReturnMargin;
  const duration MaxWait = std::clamp(TimeLeft, duration{}, MaxRateWait);
  const admission Admission =
      admitRequest(Context.State.Shares, Request.Account, Request.Number,
                   MaxWait, Context.Now);
  if (Admission.Kind == admission_kind::Admitted)
    return request_event::Accepted;
  if (Admission.Kind == admission_kind::Waiting) {
    sendDemands(Context);
    return request_event::RateAwaited;
  }
  refuse(Request, Admission.RetryAfter);
  return request_event::Refused;
}

void stopAwaitingRate(context &Context, const entry_request &Request) {
  cancelAdmission(Context.State.Shares, Request.Account, Request.Number);
}

void shareDemanded(context &Context, const host_id &From,
                   const share_demand &Demand) {
  emit(Context, effects::send_peer_message{
                    From, answerTokenRequest(Context.State.Shares, Demand,
                                             Context.Now)});
}

void shareGranted(context &Context, const host_id &From,
                  const share_grant &Grant) {
  const peer_view *Peer = findPeer(Context.State.Membership, From);
  if (Peer == nullptr)
    return;
  applyGrant(Context.State.Shares, {Peer->DataCentre, Peer->Slot}, Grant,
             Context.Now);
  resumeWaitingRequests(Context);
}

void tickRates(context &Context) {
  resumeWaitingRequests(Context);
  sendDemands(Context);
}

} // namespace bronzespar::impl

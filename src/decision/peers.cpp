/// Wiring of membership, and dispatch of peers' messages.
#include "peers.hpp"
#include "control.hpp"
#include "entry.hpp"
#include "rates.hpp"
#include "runs.hpp"
#include "settings_intake.hpp"
#include "traces.hpp"

#include <boost/mp11/algorithm.hpp>

namespace bronzespar::impl {

namespace {

bool isSuspectOrGone(host_state_kind Kind) {
  return Kind == host_state_kind::Suspect || Kind == host_state_kind::Gone;
}

void refuseForwardedRequest(context &Context, const host_id &From,
                            const forward_request &Request) {
  forward_answer Answer;
  Answer.ForwardId = Request.ForwardId;
  Answer.Cause = refusal_cause::NotConfigured;
  Answer.Detail = "The pool owner has no settings yet.";
  emit(Context, effects::send_peer_message{From, std::move(Answer)});
}

void handleMessage(context &Context, const host_id &From,
                   const heartbeat &Beat) {
  applyHeartbeat(Context.State.Membership, From, Beat, Context.Now);
  settingsOffered(Context, From, Beat.Revision);
}

void handleMessage(context &Context, const host_id &From,
                   const member_reports &Reports) {
  peerReported(Context, From, Reports);
}

void handleMessage(context &Context, const host_id &From,
                   const forward_request &Request) {
  std::uint64_t &Last = Context.State.LastForwardFrom[From];
  if (Request.ForwardId <= Last)
    return; // A repeated frame; forward ids only grow.
  Last = Request.ForwardId;
  if (Context.State.Fleet.Revision == 0)
    refuseForwardedRequest(Context, From, Request);
  else
    startRun(Context, From, Request);
}

void handleMessage(context &Context, const host_id &From,
                   const forward_answer &Answer) {
  ownerAnswered(Context, From, Answer);
}

void handleMessage(context &Context, const host_id &From,
                   const share_demand &Demand) {
  shareDemanded(Context, From, Demand);
}

void handleMessage(context &Context, const host_id &From,
                   const share_grant &Grant) {
  shareGranted(Context, From, Grant);
}

void handleMessage(context &Context, const host_id &From,
                   const settings_offer &Offer) {
  settingsOffered(Context, From, Offer.Revision);
}

void handleMessage(context &Context, const host_id &From,
                   const settings_fetch &Fetch) {
  settingsRequested(Context, From, Fetch);
}

void handleMessage(context &Context, const host_id &,
                   const settings_body &Body) {
  settingsArrived(Context, Body.Revision, Body.Text);
}

void handleMessage(context &Context, const host_id &,
                   const key_withdrawal &Withdrawal) {
  keyWithdrawn(Context, Withdrawal.Key);
}

void handleMessage(context &Context, const host_id &, const trace_copy &Copy) {
  storeTrace(Context, Copy.Trace);
}

void handleMessage(context &Context, const host_id &From,
                   const trace_query &Query) {
  traceQueried(Context, From, Query);
}

void handleMessage(context &Context, const host_id &,
                   const trace_reply &Reply) {
  traceReplied(Context, Reply);
}

} // namespace

void peerConnected(context &Context, const host_id &Host) {
  applyLink(Context.State.Membership, Host, true, Context.Now);
  offerSettings(Context, Host);
  sendUnreachableMembers(Context);
}

void peerDisconnected(context &Context, const host_id &Host) {
  applyLink(Context.State.Membership, Host, false, Context.Now);
  ownerLost(Context, Host, true);
}

void peerMessageArrived(context &Context,
                        const events::peer_message_arrived &Event) {
  std::visit(
      [&](const auto &Message) { handleMessage(Context, Event.Host, Message); },
      Event.Message);
}

void hostsListed(context &Context, const events::hosts_listed &Event) {
  host_state &State = Context.State;
  applyHostList(State.Membership, State.Self, Event.Hosts, Context.Now,
                Context.Effects);
}

void tickPeers(context &Context) {
  host_state &State = Context.State;
  std::set<host_id> Awaited;
  for (const auto &[Forward, Number] : State.RequestByForward)
    Awaited.insert(State.Requests.at(Number).Owner);
  tickMembership(State.Membership, State.Fleet.Revision, Context.Now,
                 Context.Effects);
  for (const host_id &Owner : Awaited) {
    const peer_view *Peer = findPeer(State.Membership, Owner);
    if (Peer != nullptr && isSuspectOrGone(Peer->State))
      ownerLost(Context, Owner, Peer->State == host_state_kind::Gone);
  }
}

} // namespace bronzespar::impl

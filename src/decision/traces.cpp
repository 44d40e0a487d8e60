/// Bounded memory of traces, and the search for one over the fleet.
#include "traces.hpp"
#include "bounds.hpp"

#include <algorithm>

namespace bronzespar::impl {

namespace {

const request_trace *findTrace(const trace_store &Memory,
                               const request_id &Id) {
  for (auto Trace = Memory.Latest.rbegin(); Trace != Memory.Latest.rend();
       ++Trace)
    if (Trace->Id == Id)
      return &*Trace;
  for (const request_trace &Trace : Memory.Slowest)
    if (Trace.Id == Id)
      return &Trace;
  return nullptr;
}

void storeIfAmongSlowest(trace_store &Memory, const request_trace &Trace) {
  if (Memory.Slowest.size() < MaxSlowestTraces) {
    Memory.Slowest.push_back(Trace);
    return;
  }
  const auto Fastest = std::min_element(
      Memory.Slowest.begin(), Memory.Slowest.end(),
      [](const request_trace &Left, const request_trace &Right) {
        return Left.Total < Right.Total;
      });
  if (Fastest->Total < Trace.Total)
    *Fastest = Trace;
}

void copyToPeer(context &Context, const entry_request &Request) {
  const auto &Peers = Context.State.Membership.Peers;
  for (std::size_t Step = 0; Step < Peers.size(); ++Step) {
    const peer_view &Peer = Peers[(Request.Number + Step) % Peers.size()];
    if (!Peer.Connected)
      continue;
    emit(Context,
         effects::send_peer_message{Peer.Id, trace_copy{Request.Trace}});
    return;
  }
}

void answerExplain(context &Context, caller_ref Caller,
                   const request_trace *Trace) {
  effects::answer_explain Answer;
  Answer.Caller = Caller;
  Answer.Found = Trace != nullptr;
  if (Trace != nullptr)
    Answer.Trace = *Trace;
  emit(Context, std::move(Answer));
}

} // namespace

void finishTrace(context &Context, entry_request &Request) {
  request_trace &Trace = Request.Trace;
  Trace.Id = Request.Request.Id;
  Trace.Account = Request.Account;
  Trace.Route = Request.Request.Route;
  Trace.Class = Request.Route.Class;
  Trace.Kind = enumName(Request.Request.Kind);
  Trace.EntryHost = Context.State.Self.Id;
  Trace.Target = Request.Target;
  Trace.Outcome = Request.LatestAnswer.Outcome;
  Trace.Cause = Request.LatestAnswer.Cause;
  Trace.Revision = Context.State.Fleet.Revision;
  Trace.Total = Context.Now - Request.ArrivedAt;
  storeTrace(Context, Trace);
  copyToPeer(Context, Request);
  emit(Context, effects::record_trace{Trace});
}

void storeTrace(context &Context, request_trace Trace) {
  trace_store &Memory = Context.State.Traces;
  storeIfAmongSlowest(Memory, Trace);
  Memory.Latest.push_back(std::move(Trace));
  if (Memory.Latest.size() > MaxLatestTraces)
    Memory.Latest.pop_front();
}

void explainRequested(context &Context,
                      const events::explain_requested &Event) {
  host_state &State = Context.State;
  if (const auto *Trace = findTrace(State.Traces, Event.Request)) {
    answerExplain(Context, Event.Caller, Trace);
    return;
  }
  pending_explain Pending{Event.Caller, Event.Request,
                          Context.Now + ExplainTimeout, 0};
  const std::uint64_t Query = State.NextQuery++;
  for (const peer_view &Peer : State.Membership.Peers) {
    if (!Peer.Connected)
      continue;
    ++Pending.Outstanding;
    emit(Context, effects::send_peer_message{
                      Peer.Id, trace_query{Query, Event.Request}});
  }
  if (Pending.Outstanding == 0)
    answerExplain(Context, Event.Caller, nullptr);
  else
    State.PendingExplains[Query] = Pending;
}

void traceQueried(context &Context, const host_id &From,
                  const trace_query &Query) {
  trace_reply Reply;
  Reply.QueryId = Query.QueryId;
  if (const auto *Trace = findTrace(Context.State.Traces, Query.Request)) {
    Reply.Found = true;
    Reply.Trace = *Trace;
  }
  emit(Context, effects::send_peer_message{From, std::move(Reply)});
}

void traceReplied(context &Context, const trace_reply &Reply) {
  const auto Found = Context.State.PendingExplains.find(Reply.QueryId);
  if (Found == Context.State.PendingExplains.end())
    return;
  pending_explain &Pending = Found->second;
  --Pending.Outstanding;
  if (!Reply.Found && Pending.Outstanding > 0)
    return;
  answerExplain(Context, Pending.Caller, Reply.Found ? &Reply.Trace : nullptr);
  Context.State.PendingExplains.erase(Found);
}

void tickExplains(context &Context) {
  auto &Explains = Context.State.PendingExplains;
  for (auto Pending = Explains.begin(); Pending != Explains.end();) {
    if (Context.Now < Pending->second.Deadline) {
      ++Pending;
      continue;
    }
    answerExplain(Context, Pending->second.Caller, nullptr);
    Pending = Explains.erase(Pending);
  }
}

} // namespace bronzespar::impl

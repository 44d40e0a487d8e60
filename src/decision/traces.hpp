/// Traces of finished requests: storage, copies to peers, and look-up by id.
#pragma once

#include "state.hpp"

namespace bronzespar::impl {

/// \brief Completes the request's trace, stores it and sends a copy to one
/// peer.
void finishTrace(context &Context, entry_request &Request);

/// \brief Adds a trace to the bounded trace store.
void storeTrace(context &Context, request_trace Trace);

/// \brief Answers an operator's look-up, asking the peers if this host does not
/// have the trace.
void explainRequested(context &Context, const events::explain_requested &Event);
void traceQueried(context &Context, const host_id &From,
                  const trace_query &Query);
void traceReplied(context &Context, const trace_reply &Reply);
/// \brief Ends look-ups whose timeout has passed.
void tickExplains(context &Context);

} // namespace bronzespar::impl

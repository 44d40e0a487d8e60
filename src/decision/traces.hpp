/// Traces of finished requests: filing, copies at one peer, and questions.
#pragma once

#include "state.hpp"

namespace bronzespar::impl {

/// \brief Completes the request's trace, files it and copies it to one peer.
void finishTrace(context &Context, entry_request &Request);

/// \brief Keeps a trace in the bounded memory.
void storeTrace(context &Context, request_trace Trace);

void explainRequested(context &Context, const events::explain_requested &Event);
void traceQueried(context &Context, const host_id &From,
                  const trace_query &Query);
void traceReplied(context &Context, const trace_reply &Reply);
/// \brief Gives up questions whose time is over.
void tickExplains(context &Context);

} // namespace bronzespar::impl

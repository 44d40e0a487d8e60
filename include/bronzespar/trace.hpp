/// Trace of one request: how long it spent in each stage of its processing.
#pragma once

#include <bronzespar/fleet_settings.hpp>
#include <bronzespar/outcome.hpp>

#include <string>
#include <vector>

namespace bronzespar {

/// \brief Stage of a request's processing that time is attributed to.
enum class trace_stage {
  Rate,       ///< Checking key and route, and waiting for a rate token.
  Queue,      ///< Waiting for a slot of the target.
  Connection, ///< Waiting for a connection to the target.
  CatchUp,    ///< Waiting for a member to reach the session's position.
  Failover,   ///< Waiting for the group to have a primary.
  Target,     ///< Running the statement at the target.
  Confirm,    ///< Waiting for a majority to hold the position.
  PeerHop     ///< In transit between entry host and pool owner.
};
BOOST_DESCRIBE_ENUM(trace_stage, Rate, Queue, Connection, CatchUp, Failover,
                    Target, Confirm, PeerHop)

/// \brief Time that a request spent in one stage.
struct trace_span {
  trace_stage Stage = trace_stage::Rate;
  duration Duration{};
};

/// \brief Trace of one request. Invariant: the spans add up to Total.
struct request_trace {
  request_id Id;
  account_id Account; ///< Empty if the request has no accepted key.
  route_id Route;
  request_class Class = request_class::Normal;
  std::string Kind; ///< Name of the statement kind.
  host_id EntryHost;
  target_id Target; ///< Empty if no target was chosen.
  run_outcome Outcome = run_outcome::NotRun;
  refusal_cause Cause = refusal_cause::None;
  std::string Setting; ///< Path of the setting that caused the refusal.
  settings_revision Revision = 0;
  std::uint32_t Attempts = 0;
  duration Total{};
  std::vector<trace_span> Spans;
};

/// \brief Adds time to the span of a stage, which is created if needed.
void addSpan(request_trace &Trace, trace_stage Stage, duration Span);

/// \brief Formats the spans as the value of a Server-Timing header, in
/// milliseconds.
/// \returns For example "rate;dur=0.1, target;dur=2.3, total;dur=2.4".
[[nodiscard]] std::string toServerTiming(const request_trace &Trace);

} // namespace bronzespar

/// Account of where one request's time went.
#pragma once

#include <bronzespar/fleet_settings.hpp>
#include <bronzespar/outcome.hpp>

#include <string>
#include <vector>

namespace bronzespar {

/// \brief Part of a request's life that takes time.
enum class trace_stage {
  Rate,       ///< Key, route and rate checks.
  Queue,      ///< Waiting for a slot of the target.
  Connection, ///< Waiting for a connection to the target.
  CatchUp,    ///< Waiting for a member to reach the session's position.
  Failover,   ///< Waiting for the group to have a primary.
  Target,     ///< The target running the statement.
  Confirm,    ///< Waiting for a majority to hold the write.
  PeerHop     ///< Between entry host and pool owner.
};
BOOST_DESCRIBE_ENUM(trace_stage, Rate, Queue, Connection, CatchUp, Failover,
                    Target, Confirm, PeerHop)

struct trace_span {
  trace_stage Stage = trace_stage::Rate;
  duration Duration{};
};

/// \brief Record of one request. Invariant: the spans add up to Total.
struct request_trace {
  request_id Id;
  account_id Account; ///< Empty on open routes and before the key is checked.
  route_id Route;
  request_class Class = request_class::Normal;
  std::string Kind; ///< Statement kind's name.
  host_id EntryHost;
  target_id Target; ///< Empty if none was chosen.
  run_outcome Outcome = run_outcome::NotRun;
  refusal_cause Cause = refusal_cause::None;
  std::string Setting; ///< Path of the setting that refused or delayed it.
  settings_revision Revision = 0;
  std::uint32_t Attempts = 0;
  duration Total{};
  std::vector<trace_span> Spans;
};

/// \brief Adds time to a stage, keeping one span for each stage.
void addSpan(request_trace &Trace, trace_stage Stage, duration Span);

/// \brief Formats the spans as a Server-Timing header value, in milliseconds.
/// \returns For example "rate;dur=0.1, target;dur=2.3, total;dur=2.4".
[[nodiscard]] std::string toServerTiming(const request_trace &Trace);

} // namespace bronzespar

/// Everything that a host can do. The decision library returns these; the
/// adapters carry them out in order.
#pragma once

#include <bronzespar/events.hpp>

#include <string>
#include <variant>
#include <vector>

namespace bronzespar::effects {

struct answer_caller {
  caller_ref Caller;
  caller_answer Answer;
};
struct answer_explain {
  caller_ref Caller;
  bool Found = false;
  request_trace Trace;
};
struct answer_status {
  caller_ref Caller;
  std::string Json;
};

/// \brief Dial a target; answered by target_connected or target_disconnected.
struct open_connection {
  connection_ref Connection;
  target_id Target;
  endpoint Endpoint; ///< Address as seen from this host.
};
/// \brief Send one statement on an idle connection. The adapter matches the
/// answer's id and reports target_answered or target_disconnected.
struct send_statement {
  connection_ref Connection;
  target_request Request;
};
/// \brief Close at once; no event follows.
struct close_connection {
  connection_ref Connection;
};

/// \brief Keep a long poll of the member's reports running.
struct watch_member {
  target_id Target;
  endpoint Endpoint;
};
struct unwatch_member {
  target_id Target;
};
/// \brief Send one control command on a fresh connection.
struct send_control_command {
  target_id Target;
  endpoint Endpoint;
  control_request Request;
};

/// \brief Keep a link to a peer.
struct connect_peer {
  host_id Host;
  endpoint Endpoint;
};
struct disconnect_peer {
  host_id Host;
};
/// \brief Queue a message on the peer's link; lost if the link is down.
struct send_peer_message {
  host_id Host;
  peer_message Message;
};

struct call_platform {
  platform_ref Ref;
  platform_call Call;
};

/// \brief Record a finished request in histograms and the log.
struct record_trace {
  request_trace Trace;
};
/// \brief Severity of a log entry.
enum class log_severity { Debug, Info, Warning, Error };
BOOST_DESCRIBE_ENUM(log_severity, Debug, Info, Warning, Error)
struct log_field {
  std::string Name;
  std::string Value;
};
/// \brief Write a structured log entry.
struct write_log {
  log_severity Severity = log_severity::Info;
  std::string Event; ///< Fixed text that names what happened.
  std::vector<log_field> Fields;
};

/// \brief Whether the balancer's check (GET /ready) answers 200 or 503.
struct set_ready {
  bool Ready = false;
};
/// \brief All work is finished: stop the process.
struct stop_process {};

using effect =
    std::variant<answer_caller, answer_explain, answer_status, open_connection,
                 send_statement, close_connection, watch_member, unwatch_member,
                 send_control_command, connect_peer, disconnect_peer,
                 send_peer_message, call_platform, record_trace, write_log,
                 set_ready, stop_process>;

} // namespace bronzespar::effects

namespace bronzespar {
using event = events::event;
using effect = effects::effect;
using effect_list = std::vector<effect>;
} // namespace bronzespar

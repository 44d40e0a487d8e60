/// Effects: the actions that the decision library requests from the adapters,
/// which carry them out in order.
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

/// \brief Connects to a target; target_connected or target_disconnected
/// follows.
struct open_connection {
  connection_ref Connection;
  target_id Target;
  endpoint Endpoint; ///< Address of the target as seen from this host.
};
/// \brief Sends one statement on an idle connection. The adapter compares the
/// answer's id with the request's and reports target_answered or
/// target_disconnected.
struct send_statement {
  connection_ref Connection;
  target_request Request;
};
/// \brief Closes a connection immediately; no event follows.
struct close_connection {
  connection_ref Connection;
};

/// \brief Polls the member for reports (long polling) until unwatch_member.
struct watch_member {
  target_id Target;
  endpoint Endpoint;
};
struct unwatch_member {
  target_id Target;
};
/// \brief Sends one control command on a new connection;
/// control_command_finished follows.
struct send_control_command {
  target_id Target;
  endpoint Endpoint;
  control_request Request;
};

/// \brief Keeps a link to a peer open until disconnect_peer.
struct connect_peer {
  host_id Host;
  endpoint Endpoint;
};
struct disconnect_peer {
  host_id Host;
};
/// \brief Queues a message on the link to a peer. The message is lost if the
/// link is down.
struct send_peer_message {
  host_id Host;
  peer_message Message;
};

struct call_platform {
  platform_ref Ref;
  platform_call Call;
};

/// \brief Records a finished request in the histograms and the log.
struct record_trace {
  request_trace Trace;
};
enum class log_severity { Debug, Info, Warning, Error };
BOOST_DESCRIBE_ENUM(log_severity, Debug, Info, Warning, Error)
struct log_field {
  std::string Name;
  std::string Value;
};
/// \brief Writes a structured log entry.
struct write_log {
  log_severity Severity = log_severity::Info;
  std::string Event; ///< Fixed name of the event.
  std::vector<log_field> Fields;
};

/// \brief Sets the answer to the load balancer's health check (GET /ready): 200
/// if Ready, otherwise 503.
struct set_ready {
  bool Ready = false;
};
/// \brief Stops the process; all work is finished.
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

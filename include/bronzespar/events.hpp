/// Everything that can happen to a host. The adapters turn sockets, timers and
/// signals into these; the decision library consumes them.
#pragma once

#include <bronzespar/caller_messages.hpp>
#include <bronzespar/peer_messages.hpp>
#include <bronzespar/platform_messages.hpp>
#include <bronzespar/target_messages.hpp>

#include <variant>
#include <vector>

namespace bronzespar::events {

/// \brief A caller's request has arrived whole.
struct request_arrived {
  caller_ref Caller;
  caller_request Request;
};
/// \brief The caller's connection closed before it was answered.
struct caller_disconnected {
  caller_ref Caller;
};

struct target_connected {
  connection_ref Connection;
};
/// \brief Why a connection to a target ended or never was.
enum class connection_fault {
  ConnectFailed, ///< Refused, unreachable or not up in time; nothing sent.
  Closed,        ///< Closed or reset by the target.
  AnswerInvalid  ///< Cut short, malformed, or for another request id.
};
BOOST_DESCRIBE_ENUM(connection_fault, ConnectFailed, Closed, AnswerInvalid)
/// \brief The connection is gone; the adapter has closed its socket.
struct target_disconnected {
  connection_ref Connection;
  connection_fault Fault = connection_fault::Closed;
};
/// \brief A whole answer whose id matched the outstanding request.
struct target_answered {
  connection_ref Connection;
  target_answer Answer;
};

/// \brief A member's maintenance port answered a report request.
struct member_reported {
  target_id Target;
  member_report Report;
  /// When the request was sent. The state in Report was true at a moment
  /// between SentAt and now, so data is proved fresh as of SentAt only.
  instant SentAt{};
};
/// \brief A report request failed on a fresh connection as well.
struct member_unreachable {
  target_id Target;
};
/// \brief A control command was answered, or not (Answered false).
struct control_command_finished {
  target_id Target;
  control_request Request;
  bool Answered = false;
  control_answer Answer;
};

struct peer_connected {
  host_id Host;
};
struct peer_disconnected {
  host_id Host;
};
struct peer_message_arrived {
  host_id Host;
  peer_message Message;
};

/// \brief The platform's settings text, from a read or the watch.
struct settings_read {
  settings_revision Revision = 0; ///< Version of the key in the store.
  std::string Text;
};
/// \brief The platform's lagging host list.
struct hosts_listed {
  std::vector<listed_host> Hosts;
};
struct platform_answered {
  platform_ref Ref;
  platform_answer Answer;
};

/// \brief Operator's or platform's order to leave (SIGTERM).
struct leave_requested {};
/// \brief Time has passed; sent at least every 5 ms.
struct tick {};

/// \brief An operator asked which request had this id; answered by
/// effects::answer_explain.
struct explain_requested {
  caller_ref Caller;
  request_id Request;
};
/// \brief An operator asked for the host's state (JSON).
struct status_requested {
  caller_ref Caller;
};

using event =
    std::variant<request_arrived, caller_disconnected, target_connected,
                 target_disconnected, target_answered, member_reported,
                 member_unreachable, control_command_finished, peer_connected,
                 peer_disconnected, peer_message_arrived, settings_read,
                 hosts_listed, platform_answered, leave_requested, tick,
                 explain_requested, status_requested>;

} // namespace bronzespar::events

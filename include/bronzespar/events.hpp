/// Events: the inputs of the decision library. The adapters create them from
/// sockets, timers and signals.
#pragma once

#include <bronzespar/caller_messages.hpp>
#include <bronzespar/peer_messages.hpp>
#include <bronzespar/platform_messages.hpp>
#include <bronzespar/target_messages.hpp>

#include <variant>
#include <vector>

namespace bronzespar::events {

/// \brief A caller's request was received completely.
struct request_arrived {
  caller_ref Caller;
  caller_request Request;
};
/// \brief The caller's connection was closed before the answer was sent.
struct caller_disconnected {
  caller_ref Caller;
};

struct target_connected {
  connection_ref Connection;
};
/// \brief Why a connection to a target failed.
enum class connection_fault {
  ConnectFailed, ///< Refused, unreachable or timed out; nothing was sent.
  Closed,        ///< Closed or reset by the target.
  AnswerInvalid  ///< Truncated, malformed, or for another request id.
};
BOOST_DESCRIBE_ENUM(connection_fault, ConnectFailed, Closed, AnswerInvalid)
/// \brief A connection failed; the adapter has closed its socket.
struct target_disconnected {
  connection_ref Connection;
  connection_fault Fault = connection_fault::Closed;
};
/// \brief A complete answer arrived whose id matches the outstanding request.
struct target_answered {
  connection_ref Connection;
  target_answer Answer;
};

/// \brief A member answered a report request on its maintenance port.
struct member_reported {
  target_id Target;
  member_report Report;
  /// When the request was sent. The member was in the reported state at some
  /// moment between SentAt and now, so its data is only proved to be current
  /// as of SentAt.
  instant SentAt{};
};
/// \brief A report request failed, also when it was sent on a new connection.
struct member_unreachable {
  target_id Target;
};
/// \brief A control command was answered, or failed if Answered is false.
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

/// \brief The settings text was read from the platform, or its watch reported a
/// change.
struct settings_read {
  settings_revision Revision = 0; ///< Version of the key in the platform.
  std::string Text;
};
/// \brief The platform's list of hosts, which may be out of date.
struct hosts_listed {
  std::vector<listed_host> Hosts;
};
struct platform_answered {
  platform_ref Ref;
  platform_answer Answer;
};

/// \brief The operator or the platform asked the host to shut down gracefully
/// (SIGTERM).
struct leave_requested {};
/// \brief Periodic timer event, sent at least every 5 ms.
struct tick {};

/// \brief An operator asked for the trace of a request; answered by
/// effects::answer_explain.
struct explain_requested {
  caller_ref Caller;
  request_id Request;
};
/// \brief An operator asked for the host's state; answered by
/// effects::answer_status.
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

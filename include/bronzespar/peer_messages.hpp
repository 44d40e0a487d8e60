/// Messages between hosts, as plain structs. On the wire they are FlatBuffers
/// in authenticated TCP frames (schemas/peer.fbs).
#pragma once

#include <bronzespar/caller_messages.hpp>
#include <bronzespar/fleet_settings.hpp>
#include <bronzespar/target_messages.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bronzespar {

/// \brief Lifecycle phase that a host reports about itself.
enum class host_phase { Starting, Serving, Leaving };
BOOST_DESCRIBE_ENUM(host_phase, Starting, Serving, Leaving)

/// \brief Periodic liveness message. It also carries what peers need to assign
/// duties and to detect newer settings.
struct heartbeat {
  std::uint64_t Incarnation = 0; ///< Increases with each start of the host.
  std::uint64_t Sequence = 0;
  host_phase Phase = host_phase::Starting;
  /// Number of the sender's host slot in its data centre.
  std::uint32_t Slot = 0;
  settings_revision Revision = 0; ///< Active on the sender.
};

/// \brief A member's report, passed on by a host that received it.
struct relayed_report {
  member_report Report;
  duration Age{}; ///< Time since the sender received it.
};

/// \brief Reports of members that the sender can reach, and the members that it
/// cannot reach.
struct member_reports {
  std::vector<relayed_report> Reports;
  std::vector<target_id> Unreachable;
};

/// \brief A checked request that an entry host forwards to a pool owner.
/// \remarks Names the account and does not contain the API key.
struct forward_request {
  std::uint64_t ForwardId = 0; ///< Unique per sender, increasing.
  request_id Id;
  account_id Account;
  route_id Route;
  request_class Class = request_class::Normal;
  group_id Group;
  target_id Target;
  statement_kind Kind = statement_kind::Read;
  std::string Row;
  std::string Value;
  std::string IdempotencyKey;
  /// For writes: term in which the target must be primary.
  std::uint64_t Term = 0;
  log_position RequiredPosition; ///< Lowest position that a read may be run at.
  duration TimeLeft{};           ///< Time left until the caller's deadline.
  transaction_id Transaction;
};

/// \brief A pool owner's answer to a forwarded request.
struct forward_answer {
  std::uint64_t ForwardId = 0;
  run_outcome Outcome = run_outcome::NotRun;
  refusal_cause Cause = refusal_cause::None;
  std::string Detail;
  std::string Value;
  log_position Position;
  transaction_id Transaction;
  duration RetryAfter{};
  std::vector<trace_span> Spans;
};

/// \brief Number of one account's rate tokens that are requested or granted.
struct account_tokens {
  account_id Account;
  double Tokens = 0;
  double Level = 0; ///< In grants: tokens left at the refill slot.
};
/// \brief Requests rate tokens from a refill slot of the accounts.
struct share_demand {
  std::uint64_t Sequence = 0; ///< Increases with each demand of the sender.
  std::vector<account_tokens> Accounts;
};
/// \brief A refill slot's answer. The tokens have already been deducted there.
/// Their validity period starts when the demand was sent.
struct share_grant {
  std::uint64_t DemandSequence = 0;
  std::vector<account_tokens> Accounts;
};

struct settings_offer {
  settings_revision Revision = 0;
};
struct settings_fetch {
  settings_revision AboveRevision = 0; ///< Requests a later revision.
};
struct settings_body {
  settings_revision Revision = 0;
  std::string Text;
};

/// \brief Announces that an API key was withdrawn (revoked), before the
/// settings that withdraw it have been distributed.
struct key_withdrawal {
  key_id Key;
};

struct trace_copy {
  request_trace Trace;
};
struct trace_query {
  std::uint64_t QueryId = 0;
  request_id Request;
};
struct trace_reply {
  std::uint64_t QueryId = 0;
  bool Found = false;
  request_trace Trace;
};

using peer_message =
    std::variant<heartbeat, member_reports, forward_request, forward_answer,
                 share_demand, share_grant, settings_offer, settings_fetch,
                 settings_body, key_withdrawal, trace_copy, trace_query,
                 trace_reply>;

} // namespace bronzespar

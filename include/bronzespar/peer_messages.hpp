/// Messages between hosts. On the wire they are FlatBuffers in authenticated
/// TCP frames (schemas/peer.fbs); here they are plain structs.
#pragma once

#include <bronzespar/caller_messages.hpp>
#include <bronzespar/fleet_settings.hpp>
#include <bronzespar/target_messages.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bronzespar {

/// \brief Phase of a host's life, as it says itself.
enum class host_phase { Starting, Serving, Leaving };
BOOST_DESCRIBE_ENUM(host_phase, Starting, Serving, Leaving)

/// \brief Sign of life, with what peers need in order to act as one.
struct heartbeat {
  std::uint64_t Incarnation = 0; ///< Grows with each start of the host.
  std::uint64_t Sequence = 0;
  host_phase Phase = host_phase::Starting;
  std::uint32_t Slot = 0; ///< The sender's host slot in its data centre.
  settings_revision Revision = 0; ///< In force on the sender.
};

/// \brief A member's report as the sender knows it.
struct relayed_report {
  member_report Report;
  duration Age{}; ///< Since the sender received it.
};

/// \brief What the sender sees of members; absent targets are unreachable.
struct member_reports {
  std::vector<relayed_report> Reports;
  std::vector<target_id> Unreachable;
};

/// \brief A checked request passed from its entry host to a pool owner.
/// \remarks Holds the account in place of the key.
struct forward_request {
  std::uint64_t ForwardId = 0; ///< Unique for the sender.
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
  std::uint64_t Term = 0; ///< For writes: term the target must be primary in.
  log_position RequiredPosition; ///< Read only at or after this position.
  duration TimeLeft{};           ///< Until the caller's deadline.
  transaction_id Transaction;
};

/// \brief Answer of a pool owner.
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

/// \brief Tokens of one account that are asked for, or granted.
struct account_tokens {
  account_id Account;
  double Tokens = 0;
  double Level = 0; ///< Grants: tokens left at the mint.
};
/// \brief Asks a mint for tokens.
struct share_demand {
  std::uint64_t Sequence = 0; ///< Grows with each demand of the sender.
  std::vector<account_tokens> Accounts;
};
/// \brief A mint's answer. The tokens have been deducted there; their validity
/// counts from the moment the demand was sent.
struct share_grant {
  std::uint64_t DemandSequence = 0;
  std::vector<account_tokens> Accounts;
};

struct settings_offer {
  settings_revision Revision = 0;
};
struct settings_fetch {
  settings_revision AboveRevision = 0; ///< Send a version later than this.
};
struct settings_body {
  settings_revision Revision = 0;
  std::string Text;
};

/// \brief A withdrawn key spreads ahead of the settings that withdraw it.
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

/// \brief Any message between hosts.
using peer_message =
    std::variant<heartbeat, member_reports, forward_request, forward_answer,
                 share_demand, share_grant, settings_offer, settings_fetch,
                 settings_body, key_withdrawal, trace_copy, trace_query,
                 trace_reply>;

} // namespace bronzespar

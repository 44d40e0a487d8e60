/// What can happen to a session host and what it can do. The adapters turn
/// sockets, timers and the store's answers into events and carry out effects in
/// order.
#pragma once

#include <bronzespar/proxy/messages.hpp>
#include <bronzespar/proxy/settings.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bronzespar::proxy {

/// One caller's session; one connection to a target; one call to the store.
using session_number = std::uint64_t;
using connection_number = std::uint64_t;
using call_number = std::uint64_t;

/// \brief A record of the project in the platform's store.
/// \remarks Keys stand below the project's own prefix.
struct store_record {
  std::string Key;
  std::string Value;
  std::uint64_t Revision = 0; ///< Of its last change.
  std::uint64_t Lease = 0;    ///< Whose end removes it; 0: none.
};

struct store_write {
  std::string Key;
  std::string Value;
  bool BoundToLease = false; ///< Removed when the host's lease ends.
};

/// \brief How a conditional change ended.
enum class change_outcome {
  Done,
  Conflict,  ///< A record was not at the expected revision.
  LeaseGone, ///< The lease had ended; nothing was written.
  Rejected,  ///< The store did nothing.
  Unknown    ///< No answer: may have been or may yet be carried out.
};
BOOST_DESCRIBE_ENUM(change_outcome, Done, Conflict, LeaseGone, Rejected,
                    Unknown)

/// \brief Tokens of one account that hosts ask for or hand over.
struct token_transfer {
  std::string Account;
  double Tokens = 0;
};

/// \brief Asks electors whether they know newer records than these.
struct vote_request {
  std::uint64_t Round = 0; ///< The asking host's; the answer repeats it.
  std::map<std::string, std::uint64_t> Generations; ///< By group.
};

/// \brief Groups of whose record the voucher knows no newer generation.
struct vote {
  std::uint64_t Round = 0;
  std::string Voter; ///< Name of the host.
  std::vector<std::string> Groups;
};

/// \brief Whether a forwarded statement opens a transaction.
enum class forward_begin { None, Begin, BeginRead };
BOOST_DESCRIBE_ENUM(forward_begin, None, Begin, BeginRead)

/// \brief A statement for the host that owns a target's connections.
struct forwarded_statement {
  std::string Id;
  std::string Group;
  std::string Account;
  std::string Target;
  std::map<std::string, std::string> Values; ///< Of the caller's session.
  std::string Template; ///< That the statement executes, if it executes one.
  statement Statement;
  std::optional<log_position> RequiredPosition;
  forward_begin Begins = forward_begin::None;
  bool InTransaction = false;
  bool NeedsPrimary = false; ///< Only while the owner may use it as primary.
  int Priority = 0;
  duration RemainingTime{};
};

namespace events {

struct session_opened {
  session_number Session = 0;
  std::string Database;
  std::string Key; ///< The caller's credential.
};
struct statement_arrived {
  session_number Session = 0;
  std::string Id;
  statement Statement;
};
/// \brief The caller closed or its connection was lost.
struct session_closed {
  session_number Session = 0;
};

struct target_ready {
  connection_number Connection = 0;
  std::optional<log_position> Position;
};
/// \brief The target refused the connection itself.
struct target_refused {
  connection_number Connection = 0;
  answer_code Code = answer_code::Failed;
};
struct target_answered {
  connection_number Connection = 0;
  answer Answer;
};
struct target_lost {
  connection_number Connection = 0;
};
/// \brief Answer to probe_target; nothing when it did not answer in time.
struct target_probed {
  std::string Target;
  std::optional<target_status> Status;
};

struct settings_changed {
  proxy_settings Settings;
};
/// \brief All targets that are listed now.
struct targets_listed {
  std::vector<target_entry> Targets;
};
/// \brief The store answered again after an outage, or stopped answering.
struct store_reachability_changed {
  bool Reachable = true;
};
/// \brief Neither the store nor other hosts answer, or one does again.
struct isolation_changed {
  bool Isolated = false;
};
struct record_changed {
  store_record Record;
};
struct record_removed {
  std::string Key;
};
/// \brief All records below a prefix, as of a moment after the call was made.
struct records_read {
  call_number Call = 0;
  std::string Prefix;
  std::vector<store_record> Records;
  bool Answered = false;
};
struct change_ended {
  call_number Call = 0;
  change_outcome Outcome = change_outcome::Unknown;
  std::uint64_t Revision = 0;
};
/// \brief A lease was granted, or a renewal was answered.
/// \remarks SentAt is when the call was sent: the lease counts from there.
struct lease_answered {
  std::uint64_t Lease = 0; ///< 0: none, or it has ended.
  duration TimeToLive{};
  instant SentAt{};
  bool Answered = false;
};
/// \brief The platform answered an order to promote.
struct promotion_answered {
  std::string Group;
  bool Accepted = false;
};

/// \brief Another host asks this one, as the owner, to run a statement.
struct forward_requested {
  std::string Link; ///< Connection of the asking host.
  connection_number Ticket = 0;
  forwarded_statement Forwarded;
};
struct forward_ended {
  std::string Link;
  connection_number Ticket = 0;
};
/// \brief A connection with another host is gone, and its sessions with it.
struct peer_lost {
  std::string Link; ///< "address:port" when this host had dialled.
};

struct vote_requested {
  std::string Link; ///< Connection of the asking host.
  vote_request Request;
};
struct vote_received {
  vote Vote;
};

struct tokens_requested {
  std::string Link;
  token_transfer Wanted;
};
struct tokens_granted {
  std::string Link;
  token_transfer Granted;
};

/// \brief The process was asked to stop.
struct stop_requested {};
struct tick {};

} // namespace events

using event = std::variant<
    events::session_opened, events::statement_arrived, events::session_closed,
    events::target_ready, events::target_refused, events::target_answered,
    events::target_lost, events::target_probed, events::settings_changed,
    events::targets_listed, events::store_reachability_changed,
    events::isolation_changed, events::record_changed, events::record_removed,
    events::records_read, events::change_ended, events::lease_answered,
    events::promotion_answered, events::forward_requested,
    events::forward_ended, events::peer_lost, events::vote_requested,
    events::vote_received, events::tokens_requested, events::tokens_granted,
    events::stop_requested, events::tick>;

namespace effects {

struct accept_session {
  session_number Session = 0;
};
/// \brief Refuse with an error, then close.
struct refuse_session {
  session_number Session = 0;
  answer_code Code = answer_code::Busy;
  std::string Text;
};
struct answer_caller {
  session_number Session = 0;
  answer Answer;
};
struct close_session {
  session_number Session = 0;
};

struct open_target {
  connection_number Connection = 0;
  endpoint Endpoint;
  std::string Group;
  std::string Account;
  std::string Target;
};
struct send_target {
  connection_number Connection = 0;
  std::vector<outgoing_statement> Statements;
};
struct close_target {
  connection_number Connection = 0;
};
/// \brief Ask a target's status on a connection of its own.
struct probe_target {
  std::string Target;
  std::string Group;
  endpoint Endpoint;
};

/// \brief Change records if all expected ones are at their revision.
struct change_records {
  call_number Call = 0;
  std::vector<std::pair<std::string, std::uint64_t>> Expected;
  std::vector<store_write> Writes;
  std::vector<std::string> Deletes;
  std::uint64_t Lease = 0; ///< For the writes that are leased.
};
struct read_records {
  call_number Call = 0;
  std::string Prefix;
};
struct grant_lease {
  duration TimeToLive{};
};
struct renew_lease {
  std::uint64_t Lease = 0;
};
struct revoke_lease {
  std::uint64_t Lease = 0;
};
struct order_promotion {
  std::string Group;
  std::string Target;
  std::string Holder;
  std::uint64_t FencingToken = 0;
};

/// \brief Have a target's owner run a statement; answered by target_answered
/// or target_lost of the connection that Ticket names.
struct forward {
  endpoint Owner;
  connection_number Ticket = 0;
  forwarded_statement Forwarded;
};
struct end_forward {
  endpoint Owner;
  connection_number Ticket = 0;
};
/// \brief End a connection with a silent host; peer_lost follows.
struct drop_peer {
  endpoint Peer;
};
struct answer_forward {
  std::string Link;
  connection_number Ticket = 0;
  answer Answer;
};

struct request_vote {
  endpoint Elector;
  vote_request Request;
};
struct send_vote {
  std::string Link;
  vote Vote;
};

struct request_tokens {
  endpoint Peer;
  token_transfer Wanted;
};
struct grant_tokens {
  std::string Link;
  token_transfer Granted;
};

/// \brief Hosts that may relay calls to the store.
struct set_store_relays {
  std::vector<endpoint> Relays;
};
/// \brief The host from whose watches this one is told of changes; none: it
/// watches the store itself.
struct set_watch_source {
  std::optional<endpoint> Source;
};
struct set_ready {
  bool Ready = false;
};
/// \brief A field of a log line.
struct log_field {
  std::string_view Name;
  std::string Value;
};
/// \brief A structured log line.
/// \remarks Event is a fixed text; lines of one event share a budget.
struct write_log {
  std::string_view Event;
  std::vector<log_field> Fields;
};
/// \brief A finished statement, for counters and histograms.
struct record_outcome {
  std::string_view Class; ///< Name of the route's read rule.
  std::string Account;
  answer_code Code = answer_code::Complete;
  duration Latency{};
};
struct stop_process {};

} // namespace effects

using effect = std::variant<
    effects::accept_session, effects::refuse_session, effects::answer_caller,
    effects::close_session, effects::open_target, effects::send_target,
    effects::close_target, effects::probe_target, effects::change_records,
    effects::read_records, effects::grant_lease, effects::renew_lease,
    effects::revoke_lease, effects::order_promotion, effects::forward,
    effects::end_forward, effects::drop_peer, effects::answer_forward,
    effects::request_vote, effects::send_vote, effects::request_tokens,
    effects::grant_tokens, effects::set_store_relays, effects::set_watch_source,
    effects::set_ready, effects::write_log, effects::record_outcome,
    effects::stop_process>;
using effect_list = std::vector<effect>;

} // namespace bronzespar::proxy

/// Events that a session host processes and effects that it emits. The adapters
/// turn socket input, timers and the store's answers into events, and carry out
/// the effects in order.
#pragma once

#include <bronzespar/proxy/messages.hpp>
#include <bronzespar/proxy/settings.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bronzespar::proxy {

/// Numbers of callers' sessions, connections to targets and calls to the store.
using session_number = std::uint64_t;
using connection_number = std::uint64_t;
using call_number = std::uint64_t;

/// \brief A record of the project in the platform's store.
/// \remarks Keys are relative to the project's own prefix.
struct store_record {
  std::string Key;
  std::string Value;
  std::uint64_t Revision = 0; ///< Store revision of its last change.
  std::uint64_t Lease = 0;    ///< Lease whose end removes the record, or 0.
};

struct store_write {
  std::string Key;
  std::string Value;
  /// The store removes the record when the host's lease ends.
  bool BoundToLease = false;
};

/// \brief Result of a conditional change.
enum class change_outcome {
  Done,
  Conflict,  ///< A record had another revision than expected.
  LeaseGone, ///< The lease had ended, so nothing was written.
  Rejected,  ///< The store refused the call and did nothing.
  /// No answer came: the change may have been made or may still be made.
  Unknown
};
BOOST_DESCRIBE_ENUM(change_outcome, Done, Conflict, LeaseGone, Rejected,
                    Unknown)

/// \brief The platform's answer to an order to promote a target.
enum class order_outcome {
  Accepted,   ///< It is carried out within a bounded time.
  Unanswered, ///< No answer came: it may be carried out.
  NotRunning, ///< The target does not run, so that it can't be promoted.
  Rejected,   ///< The platform did nothing: it is down or overloaded.
  NotSent     ///< The order never left this host; see mayOrder in host.hpp.
};
BOOST_DESCRIBE_ENUM(order_outcome, Accepted, Unanswered, NotRunning, Rejected,
                    NotSent)

/// \brief Tokens of one account that a host requests or grants.
struct token_transfer {
  std::string Account;
  double Tokens = 0;
};

/// \brief Asks electors whether they know newer generations than these.
struct vote_request {
  /// Number of the requesting host's round; the vote repeats it.
  std::uint64_t Round = 0;
  /// Generation that the requesting host knows, by group.
  std::map<std::string, std::uint64_t> Generations;
};

/// \brief The groups for which the voter knows no generation newer than the
/// requested one.
struct vote {
  std::uint64_t Round = 0;
  std::string Voter; ///< Host name of the elector.
  std::vector<std::string> Groups;
};

/// \brief Asks a primary's connection owner for the primary's position.
struct position_request {
  std::string Group;
  instant AskedAt{}; ///< By the asking host's clock; the answer repeats it.
};

/// \brief A position that a primary reported to its connection owner.
struct shared_position {
  std::string Group;
  std::string Primary;
  log_position Position;
  duration Age{}; ///< Since the primary's statement was sent.
  instant AskedAt{};
};

/// \brief Which transaction, if any, a forwarded statement begins.
enum class forward_begin { None, Begin, BeginRead };
BOOST_DESCRIBE_ENUM(forward_begin, None, Begin, BeginRead)

/// \brief A statement sent to the host that owns a target's connections.
struct forwarded_statement {
  std::string Id;
  std::string Group;
  std::string Account;
  std::string Target;
  std::map<std::string, std::string> Values; ///< The session's values.
  std::string Template; ///< Statement template, for Execute only.
  statement Statement;
  /// Position that the session requires; the owner adds what MaxStaleness
  /// requires.
  std::optional<log_position> RequiredPosition;
  duration MaxStaleness{}; ///< Of a read on a replica.
  forward_begin Begins = forward_begin::None;
  bool InTransaction = false;
  /// The owner may run it only while it may use the target as primary.
  bool NeedsPrimary = false;
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
/// \brief The caller closed the session, or its connection was lost.
struct session_closed {
  session_number Session = 0;
};

struct target_ready {
  connection_number Connection = 0;
  std::optional<log_position> Position;
};
/// \brief The target refused the connection.
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
/// \brief Result of probe_target. Status is empty when no answer came in time.
struct target_probed {
  std::string Target;
  std::optional<target_status> Status;
  call_number Call = 0; ///< Of the probe.
};

struct settings_changed {
  proxy_settings Settings;
};
/// \brief The complete list of targets.
struct targets_listed {
  std::vector<target_entry> Targets;
};
/// \brief The store stopped answering, or answers again.
struct store_reachability_changed {
  bool Reachable = true;
};
/// \brief Neither the store nor any peer answers, or one of them does again.
struct isolation_changed {
  bool Isolated = false;
};
/// \brief The store came back from an older copy, so that changes which it
/// confirmed may be gone, and leases with them.
/// \remarks Comes before everything that the store's answers in this era hold.
struct store_restored {
  std::uint64_t Era = 0; ///< Rises with each restore.
};
/// \brief The data centres that operators want evacuated now.
struct evacuations_changed {
  std::set<std::string> DataCentres;
  /// The change was confirmed no longer ago than this.
  duration MaxAge = duration::max();
};
struct record_changed {
  store_record Record;
};
struct record_removed {
  std::string Key;
  std::uint64_t Revision = 0; ///< Store revision of the removal.
};
/// \brief All records below a prefix, as of some time after the call was made.
struct records_read {
  call_number Call = 0;
  std::string Prefix;
  std::vector<store_record> Records;
  bool Answered = false;
  /// Store revision when the read began; no earlier change is missing.
  std::uint64_t Revision = 0;
};
struct change_ended {
  call_number Call = 0;
  change_outcome Outcome = change_outcome::Unknown;
  std::uint64_t Revision = 0;
  /// After a conflict, the expected records that exist, as they stand now.
  std::optional<std::vector<store_record>> Current = std::nullopt;
};
/// \brief Answer to a grant or a renewal of the lease.
/// \remarks The lease's lifetime counts from SentAt, when the call was sent.
struct lease_answered {
  std::uint64_t Lease = 0; ///< 0: not granted, or already ended.
  duration TimeToLive{};
  instant SentAt{};
  bool Answered = false;
};
/// \brief An order to promote leaves this host now.
struct promotion_sent {
  std::string Group;
  std::string Target;
  std::uint64_t FencingToken = 0;
  instant DecidedAt{}; ///< As in order_promotion.
};
/// \brief The platform's answer to order_promotion.
struct promotion_answered {
  std::string Group;
  call_number Call = 0; ///< Of the order.
  order_outcome Outcome = order_outcome::Rejected;
};

/// \brief Another host asks this one, as connection owner, to run a statement.
struct forward_requested {
  std::string Link; ///< Name of the connection to the forwarding host.
  connection_number Ticket = 0; ///< Connection number at the forwarding host.
  forwarded_statement Forwarded;
};
struct forward_ended {
  std::string Link;
  connection_number Ticket = 0;
};
/// \brief A connection owner works but has not answered all statements yet.
struct forward_pending {
  std::string Link;
};
/// \brief A connection with another host was lost; its forwarded sessions end.
struct peer_lost {
  std::string Link; ///< "address:port" if this host had dialled.
  /// If set, the connection was replaced: only forwarded statements with
  /// tickets up to this one were sent on it.
  std::optional<connection_number> LastTicket = std::nullopt;
};
/// \brief A connection to a host was silent and the host answered on another
/// one, which replaces it. \remarks The silent connection ends a little later.
struct link_replaced {
  std::string Link;                 ///< "address:port".
  connection_number LastTicket = 0; ///< Highest one sent on the silent one.
};

/// \brief Another host is stopping and wants no further statements.
struct peer_stopping {
  std::string Link; ///< "address:port" if this host had dialled.
};

struct vote_requested {
  std::string Link; ///< Name of the connection to the requesting host.
  vote_request Request;
};
struct vote_received {
  vote Vote;
};

struct position_requested {
  std::string Link;
  position_request Request;
};
struct position_received {
  shared_position Shared;
};

struct tokens_requested {
  std::string Link;
  token_transfer Wanted;
};
struct tokens_granted {
  std::string Link;
  token_transfer Granted;
};

/// \brief The process received a request to stop.
struct stop_requested {};
struct tick {};

} // namespace events

using event = std::variant<
    events::session_opened, events::statement_arrived, events::session_closed,
    events::target_ready, events::target_refused, events::target_answered,
    events::target_lost, events::target_probed, events::settings_changed,
    events::targets_listed, events::store_reachability_changed,
    events::isolation_changed, events::store_restored,
    events::evacuations_changed, events::record_changed, events::record_removed,
    events::records_read, events::change_ended, events::lease_answered,
    events::promotion_sent, events::promotion_answered,
    events::forward_requested, events::forward_ended, events::forward_pending,
    events::peer_lost, events::link_replaced, events::peer_stopping,
    events::vote_requested, events::vote_received, events::position_requested,
    events::position_received, events::tokens_requested, events::tokens_granted,
    events::stop_requested, events::tick>;

namespace effects {

struct accept_session {
  session_number Session = 0;
};
/// \brief Refuse the session with an error, then close its connection.
struct refuse_session {
  session_number Session = 0;
  answer_code Code = answer_code::Busy;
  std::string Text;
};
struct answer_caller {
  session_number Session = 0;
  answer Answer;
};
/// \brief Close the session's connection. If a statement has arrived meanwhile,
/// the connection stays; the host refuses it and asks once more.
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
/// \brief Query a target's status over a separate connection.
struct probe_target {
  std::string Target;
  std::string Group;
  endpoint Endpoint;
  /// Tells the answers to a promotion's probes from others; 0: any other.
  call_number Call = 0;
};

/// \brief Change records if every expected record has its expected revision.
struct change_records {
  call_number Call = 0;
  std::vector<std::pair<std::string, std::uint64_t>> Expected;
  std::vector<store_write> Writes;
  std::vector<std::string> Deletes;
  std::uint64_t Lease = 0; ///< Lease for the writes that are bound to one.
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
  call_number Call = 0;
  std::string Group;
  std::string Target;
  std::string Holder;
  std::uint64_t FencingToken = 0;
  instant DecidedAt{}; ///< It may wait in a queue before it is sent.
  /// It is dropped instead of being sent at this time or later.
  instant SendBefore{};
};

/// \brief Ask a target's connection owner to run a statement. The result is
/// target_answered or target_lost for the connection number in Ticket.
struct forward {
  endpoint Owner;
  connection_number Ticket = 0;
  forwarded_statement Forwarded;
};
struct end_forward {
  endpoint Owner;
  connection_number Ticket = 0;
};
/// \brief Check over a new connection whether a host still answers, as the
/// connection to it is silent.
struct check_peer {
  endpoint Peer;
};
/// \brief Close the connection to a host that does not answer; peer_lost
/// follows.
struct drop_peer {
  endpoint Peer;
};
struct answer_forward {
  std::string Link;
  connection_number Ticket = 0;
  answer Answer;
};
/// \brief Tell a forwarding host that its statements are still being worked on.
struct report_pending {
  std::string Link;
};

/// \brief Tell all connected hosts that this one is stopping.
struct announce_stop {};

struct request_vote {
  endpoint Elector;
  vote_request Request;
};
struct send_vote {
  std::string Link;
  vote Vote;
};

struct request_position {
  endpoint Owner;
  position_request Request;
};
struct send_position {
  std::string Link;
  shared_position Shared;
};

struct request_tokens {
  endpoint Peer;
  token_transfer Wanted;
};
struct grant_tokens {
  std::string Link;
  token_transfer Granted;
};

/// \brief Hosts that may relay this host's calls to the store.
struct set_store_relays {
  std::vector<endpoint> Relays;
};
/// \brief The hosts whose watches of the store this host shares, in order of
/// preference; empty if it watches the store itself.
struct set_watch_sources {
  std::vector<endpoint> Sources;
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
/// \remarks Event is a constant text. The log limits its lines by event.
struct write_log {
  std::string_view Event;
  std::vector<log_field> Fields;
};
/// \brief A finished statement, counted in the metrics.
struct record_outcome {
  std::string_view Class; ///< Name of the route's read consistency.
  std::string Account;
  answer_code Code = answer_code::Complete;
  duration Latency{};
};
/// \brief Ends the process once the last answers were received.
struct stop_process {
  instant EndBy{}; ///< The process ends by then, also if they were not.
};

} // namespace effects

using effect = std::variant<
    effects::accept_session, effects::refuse_session, effects::answer_caller,
    effects::close_session, effects::open_target, effects::send_target,
    effects::close_target, effects::probe_target, effects::change_records,
    effects::read_records, effects::grant_lease, effects::renew_lease,
    effects::revoke_lease, effects::order_promotion, effects::forward,
    effects::end_forward, effects::check_peer, effects::drop_peer,
    effects::answer_forward, effects::report_pending, effects::announce_stop,
    effects::request_vote, effects::send_vote, effects::request_position,
    effects::send_position, effects::request_tokens, effects::grant_tokens,
    effects::set_store_relays, effects::set_watch_sources, effects::set_ready,
    effects::write_log, effects::record_outcome, effects::stop_process>;
using effect_list = std::vector<effect>;

} // namespace bronzespar::proxy

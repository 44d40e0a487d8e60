/// State of one session host.
#pragma once

#include <bronzespar/proxy/allowance.hpp>
#include <bronzespar/proxy/freshness.hpp>
#include <bronzespar/proxy/host.hpp>
#include <bronzespar/proxy/waiting_queue.hpp>

#include "records.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzespar::proxy {

using request_number = std::uint64_t;

/// \brief A shape that a caller gave a name.
struct prepared_statement {
  std::string Template; ///< With its kind, as it is prepared at targets.
  bool Writes = false;
};

struct queued_statement {
  std::string Id;
  statement Statement;
};

/// \brief An open transaction of a session.
struct transaction_state {
  session_route Route; ///< Of its begin; later changes do not apply.
  bool ReadOnly = false;
  bool Wrote = false;               ///< A write was sent to a target.
  unsigned AnsweredStatements = 0;  ///< Answered by the target.
  connection_number Connection = 0; ///< 0: no target was needed yet.
  instant LastUsedAt{};
};

/// \brief Another host's session that this host serves as a target's owner.
struct forward_origin {
  std::string Link;
  connection_number Ticket = 0;

  auto operator<=>(const forward_origin &) const = default;
};

/// \brief A caller's session.
/// Invariant: Transaction is empty exactly when Phase is Idle or Failed.
struct caller_session {
  session_number Number = 0;
  std::optional<forward_origin> Origin; ///< Empty for a caller of this host.
  std::string Database;
  std::string Key;
  std::string Account;
  std::map<std::string, std::string> Values;
  std::map<std::string, prepared_statement> PreparedStatements;
  session_phase Phase = session_phase::Idle;
  std::optional<transaction_state> Transaction;
  /// Of the session's last acknowledged commit.
  std::optional<log_position> LastCommitPosition;
  instant LastCommitAt{};
  request_number Request = 0; ///< Statement that waits for its answer; 0: none.
  std::deque<queued_statement> Backlog; ///< Sent before the last was answered.
};

/// \brief A statement that needs a target.
/// Invariant: either Rank is set (waiting) or Connection is (with a target).
struct target_request {
  request_number Number = 0;
  session_number Session = 0; ///< 0: the caller has left.
  std::string Id;
  statement Statement;
  session_route Route;
  std::string Account;
  bool NeedsPrimary = false;
  bool Writes = false; ///< Cannot be sent twice.
  bool InTransaction = false;
  /// Set at the owner that runs it for another host: the only target.
  std::string ForwardedTarget;
  instant ArrivedAt{};
  instant Deadline{};
  unsigned Attempts = 0;
  instant RetryAt{};                     ///< Not before this is it tried again.
  std::set<std::string> ExcludedTargets; ///< Targets that did not run it.
  /// Position that the target must cover; of the latest attempt.
  std::optional<log_position> RequiredPosition;
  std::optional<waiting_rank> Rank;
  connection_number Connection = 0;
  connection_number HedgedConnection =
      0; ///< Earlier attempt that was not answered yet.
  bool TokenTaken = false;
  answer_code LastCode = answer_code::Busy; ///< Of the last attempt.
};

enum class connection_phase {
  Dialling,
  Idle,
  Preparing, ///< Values, shapes or BEGIN are under way.
  Running,   ///< A caller's statement is under way.
  Resting,   ///< Inside a caller's transaction, between statements.
  Ending     ///< ROLLBACK is under way; nobody waits.
};
BOOST_DESCRIBE_ENUM(connection_phase, Dialling, Idle, Preparing, Running,
                    Resting, Ending)

/// \brief A connection to a target, for one client account.
struct target_connection {
  connection_number Number = 0;
  std::string Target;
  std::string Group;
  std::string Account;
  /// Host that owns the real connection; this one only names it.
  std::optional<endpoint> Owner;
  connection_phase Phase = connection_phase::Dialling;
  std::map<std::string, std::string> Values; ///< That it holds.
  std::map<std::string, std::string>
      PreparedNames;             ///< Shape to its name there.
  session_number Session = 0;    ///< Whose transaction it is in.
  request_number Request = 0;    ///< 0 while Running: nobody waits any more.
  unsigned SetupAnswersLeft = 0; ///< Answers to come before the statement.
  answer_code SetupError = answer_code::Complete;
  bool SetupIncomplete =
      false; ///< Values are not as wanted; not to be used again.
  bool BeginsTransaction = false; ///< The setup begins a transaction.
  instant SentAt{};
  instant IdleSince{};
  instant DialledAt{};
};

/// \brief What this host knows of a target.
struct target_view {
  target_entry Entry;
  bool Listed = true;
  bool Absent = false;       ///< Not in the latest list; see listing.cpp.
  instant DrainingSince{};   ///< When its entry first said so.
  double LatencyMs = 8;      ///< Of statements, smoothed.
  unsigned Connections = 0;  ///< Open or dialling.
  unsigned Running = 0;      ///< Statements under way from here.
  unsigned DialFailures = 0; ///< Since the last success.
  instant FirstDialFailure{};
  instant NextDialAt{};
  instant BusyUntil{};            ///< It refused for lack of room.
  instant ConnectionLimitUntil{}; ///< All its connections are taken.
  instant LaggingUntil{};         ///< It lacked a wanted position.
  duration LagBackOff = std::chrono::milliseconds(20);
  log_position KnownPosition; ///< Latest position that it showed.
  instant AnsweredAt{};
  std::string OwnerName; ///< Owner of its connections as of OwnerVersion.
  std::uint64_t OwnerVersion = 0;
};

enum class promotion_stage {
  None,
  Closing,   ///< The record is being closed.
  Gathering, ///< Hosts acknowledge that they stopped.
  Choosing,  ///< Replicas are asked for their positions.
  Ordered,   ///< The platform was told; the replica is to lead.
  Opening    ///< The record is being opened.
};
BOOST_DESCRIBE_ENUM(promotion_stage, None, Closing, Gathering, Choosing,
                    Ordered, Opening)

/// \brief A change of primary under this host's duty.
struct promotion_state {
  promotion_stage Stage = promotion_stage::None;
  bool Planned = false;
  bool ReplacesElectors =
      false;            ///< The primary stays; its electors are replaced.
  instant StageSince{}; ///< Of the stage.
  instant StartedAt{};  ///< Of the promotion.
  instant NextTryAt{};
  unsigned PendingProbes = 0;
  call_number ChangeCall = 0;
  std::string ChangeValue; ///< Value of the group's record that Call writes.
  call_number HostsCall = 0;
  bool HostsRead = false; ///< Since the record was closed.
  /// Since when hosts that did not acknowledge have been waited for.
  std::map<std::string, instant> AwaitedSince;
  instant OrderNotBefore{}; ///< Orders wait for leases that this host ended.
  std::map<std::string, target_status> Statuses;
  std::set<std::string>
      RefusedCandidates; ///< Candidates that the platform refused.
  std::string Candidate;
};

struct group_state {
  std::optional<group_record> Record;
  std::uint64_t Revision = 0; ///< Of the record.
  freshness_samples Samples;
  promotion_state Promotion;
  bool PrimaryUnreachable = false; ///< This host cannot reach the primary.
  std::uint64_t AcknowledgedClosure =
      0;                        ///< Closed generation this host stopped for.
  instant ClosedAt{};           ///< When this host learnt that it was closed.
  std::set<std::string> Voters; ///< Electors that answered in this round.
  instant QuorumUntil{};        ///< Until then enough electors vouch.
  /// Until then another host may rely on what this one vouched.
  instant OwnVoteUntil{};
  instant ElectorsSufficedAt{}; ///< When the record's electors last sufficed.
  instant NextElectorCheckAt{};
};

struct lease_state {
  std::uint64_t Id = 0;
  instant ValidUntil{}; ///< Primaries may be used until then.
  duration TimeToLive{};
  instant NextCallAt{};
  bool CallPending = false;
  /// The groups' records were read after the host was registered under this
  /// lease, so whoever closed one before must wait for this host or was seen.
  bool GroupsRead = false;
  call_number GroupsCall = 0;
  std::string RegisteredValue; ///< Value of the host's record under this lease.
  instant RegisteredAt{};      ///< First time under this lease.
  call_number RegisterCall = 0;
  std::string PendingValue;
  instant NextRegisterAt{};
};

/// \brief What this host asks of electors while the store is away.
struct vote_round {
  std::uint64_t Number = 0;
  instant SentAt{};
  instant NextAt{};
  /// Sending of the last call that proved the lease of a registered host.
  instant LastRenewalSentAt{};
  /// This incarnation has read the groups' records while it was registered.
  bool HasReadGroups = false;
};

struct coordinator_state {
  std::string Holder; ///< Empty: nobody.
  std::uint64_t Revision = 0;
  bool IsHeld = false;
  std::uint64_t FencingToken = 0;
  instant OrdersFrom{}; ///< Orders of an earlier holder have arrived by then.
  call_number ClaimCall = 0;
  instant NextClaimAt{};
};

struct listed_peer {
  host_record Record;
  std::uint64_t Lease = 0;
};

/// \brief A host that left the list without a word.
struct expired_host {
  instant ExpiredAt{};
  std::string DataCentre;
};

struct host {
  host_identity Identity;
  std::optional<proxy_settings> Settings;
  bool TargetsKnown = false;
  std::map<session_number, caller_session> Sessions;
  std::map<request_number, target_request> Requests;
  std::map<connection_number, target_connection> Connections;
  std::map<std::string, target_view> Targets; ///< By id.
  std::map<std::string, group_state> Groups;
  std::map<std::string, listed_peer> Hosts; ///< By name, this one included.
  std::map<std::string, expired_host> ExpiredHosts;
  waiting_queue Waiting;
  std::map<forward_origin, session_number> ForwardSessions;
  /// Owners that did not answer in time, and until when they are not asked.
  std::map<endpoint, instant> SilentOwners;
  std::map<endpoint, instant> OwnersAnsweredAt;
  std::uint64_t HostsVersion = 0; ///< Grows as Hosts changes.
  allowance_table Allowances;
  lease_state Lease;
  vote_round Votes;
  coordinator_state Coordinator;
  instant StartedAt{}; ///< First step of this incarnation.
  bool StoreReached = false;
  instant KeepAbsentUntil{}; ///< Lapsed targets may yet come back.
  bool Ready = false;
  /// Neither store nor peers answer; see superviseIsolation.
  bool Isolated = false;
  instant IsolatedAt{};
  bool Stopping = false;
  instant StoppedAt{};
  std::uint64_t DividedVersion =
      0; ///< Hosts and settings at the last division.
  instant NextDivisionAt{};
  instant ExpiredHostDropsAt{}; ///< A lost host that was counted no longer is.
  bool Refilling = false;       ///< As of the last division.
  instant RefillingSince{};
  std::uint64_t LastNumber = 0;
};

/// \brief Everything that one step works on.
struct step_context {
  host &State;
  instant Now;
  effect_list &Out;
};

[[nodiscard]] inline std::uint64_t nextNumber(host &State) noexcept {
  return ++State.LastNumber;
}

template <class Map, class Key>
[[nodiscard]] auto *findIn(Map &Where, const Key &What) {
  const auto Found = Where.find(What);
  return Found == Where.end() ? nullptr : &Found->second;
}

} // namespace bronzespar::proxy

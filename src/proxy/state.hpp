/// State of one session host.
#pragma once

#include <bronzespar/proxy/allowance.hpp>
#include <bronzespar/proxy/freshness.hpp>
#include <bronzespar/proxy/host.hpp>
#include <bronzespar/proxy/stop_plan.hpp>
#include <bronzespar/proxy/target_pace.hpp>
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

/// \brief A statement template that a caller prepared under a name.
struct prepared_statement {
  std::string Template; ///< Text with its kind, as it is prepared at targets.
  bool Writes = false;
};

struct queued_statement {
  std::string Id;
  statement Statement;
};

/// \brief An open transaction of a session.
struct transaction_state {
  session_route Route; ///< As of its begin; later settings do not apply.
  bool ReadOnly = false;
  bool Wrote = false;               ///< A write was sent to a target.
  unsigned AnsweredStatements = 0;  ///< Statements that a target answered.
  connection_number Connection = 0; ///< 0: no statement was sent yet.
  instant LastUsedAt{};
  /// A token that was taken as it began, for its first statement at a target:
  /// when the token was requested, which bounds its lifetime.
  std::optional<instant> TokenRequestedAt;
};

/// \brief Identifies another host's session that this host serves as connection
/// owner of a target.
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
  instant OpenedAt{};
  std::map<std::string, std::string> Values;
  std::map<std::string, prepared_statement> PreparedStatements;
  session_phase Phase = session_phase::Idle;
  std::optional<transaction_state> Transaction;
  /// Position of the session's last acknowledged commit.
  std::optional<log_position> LastCommitPosition;
  instant LastCommitAt{};
  std::string LastCommitGroup; ///< Whose log LastCommitPosition belongs to.
  /// The last acknowledged commit showed no position, so that only the primary
  /// is known to have it.
  bool CommitLacksPosition = false;
  std::uint64_t LastCommitGeneration = 0; ///< In which its primary was used.
  request_number Request = 0; ///< The unanswered statement's request, or 0.
  std::deque<queued_statement> Backlog; ///< Pipelined statements.
};

/// \brief A statement that needs a target.
/// Invariant: either Rank is set (waiting) or Connection is (sent to a target).
struct target_request {
  request_number Number = 0;
  session_number Session = 0; ///< 0: the caller's session was closed.
  std::string Id;
  statement Statement;
  session_route Route;
  std::string Account;
  bool NeedsPrimary = false;
  bool Writes = false; ///< Retried only if the target did not run it.
  bool InTransaction = false;
  /// Set only at an owner that runs it for another host: the target to use.
  std::string ForwardedTarget;
  /// Position that a forwarded statement's session requires.
  std::optional<log_position> ForwardedPosition;
  instant ArrivedAt{};
  instant Deadline{};
  unsigned Attempts = 0;
  instant RetryAt{};                     ///< Earliest time of the next attempt.
  std::set<std::string> ExcludedTargets; ///< Targets where an attempt failed.
  /// Position that the target must cover, as of the latest attempt.
  std::optional<log_position> RequiredPosition;
  /// Generation under which the latest attempt uses a primary, 0 at a replica.
  std::uint64_t PrimaryGeneration = 0;
  std::optional<waiting_rank> Rank;
  connection_number Connection = 0;
  /// Connection of an earlier attempt that may still be answered, or 0.
  connection_number HedgedConnection = 0;
  bool TokenTaken = false;
  bool MayHaveRun = false; ///< In an attempt; its token is not returned.
  answer_code LastCode = answer_code::Busy; ///< Result of the last attempt.
};

enum class connection_phase {
  Dialling,
  Idle,
  Preparing, ///< Values, templates or BEGIN were sent, not yet answered.
  Running,   ///< A caller's statement was sent, not yet answered.
  Resting,   ///< Inside a caller's transaction, between statements.
  Ending     ///< ROLLBACK was sent; no caller waits for its answer.
};
BOOST_DESCRIBE_ENUM(connection_phase, Dialling, Idle, Preparing, Running,
                    Resting, Ending)

/// \brief A connection to a target, for one client account.
struct target_connection {
  connection_number Number = 0;
  std::string Target;
  std::string Group;
  std::string Account;
  /// Host that owns the connection. If set, statements are forwarded to it.
  std::optional<endpoint> Owner;
  connection_phase Phase = connection_phase::Dialling;
  /// Session values that were set on this connection.
  std::map<std::string, std::string> Values;
  /// From statement template to the name it was prepared under.
  std::map<std::string, std::string> PreparedNames;
  session_number Session = 0; ///< Session whose transaction it runs, or 0.
  request_number Request = 0; ///< 0 while Running: the caller no longer waits.
  unsigned SetupAnswersLeft = 0;
  answer_code SetupError = answer_code::Complete;
  /// A value or template may be missing, so the connection is not reused.
  bool SetupIncomplete = false;
  bool BeginsTransaction = false; ///< The setup ends with BEGIN.
  /// Generation of the record under which the target is used as primary, or 0.
  std::uint64_t PrimaryGeneration = 0;
  std::uint64_t PrimaryLease = 0; ///< This host's lease as that use began.
  /// When this host noticed that it may not go on with that use.
  std::optional<instant> RightEndedAt;
  instant SentAt{};
  unsigned UnderWay = 0; ///< Statements at the target when the last was sent.
  instant IdleSince{};
  instant DialledAt{};
};

/// \brief This host's view of a target.
struct target_view {
  target_entry Entry;
  bool Listed = true;
  bool Absent = false;       ///< Not in the latest list; see listing.cpp.
  instant DrainingSince{};   ///< When it began to drain; see listing.cpp.
  double LatencyMs = 8;      ///< Smoothed latency of statements.
  unsigned Connections = 0;  ///< Open and dialling connections of this host.
  unsigned Running = 0;      ///< Unanswered statements of this host.
  unsigned DialFailures = 0; ///< Consecutive failed dials.
  instant FirstDialFailure{};
  instant NextDialAt{};
  /// Other targets are preferred until then, after this one refused a statement
  /// as busy or not primary.
  instant BusyUntil{};
  /// Idle connections are closed early until then, after the target refused a
  /// dial because all its connections are taken.
  instant ConnectionLimitUntil{};
  /// Reads that need a newer position avoid the target until then, after it
  /// lacked a required position.
  instant LaggingUntil{};
  /// Length of the next LaggingUntil; doubles with each such refusal.
  duration LagBackOff = std::chrono::milliseconds(20);
  log_position KnownPosition; ///< Highest position that it reported.
  instant AnsweredAt{};
  unsigned Dialling = 0; ///< Connections that are being opened.
  target_pace Pace;      ///< Learnt by its connection owner.
  instant ColdUntil{};   ///< The target is slow after its start until then.
  /// When this host sent it statements while it was cold, of the last second.
  std::deque<instant> ColdSends;
};

enum class promotion_stage {
  None,
  Closing,   ///< The closed record is being written.
  Gathering, ///< Waiting until every host stopped using the old primary.
  Choosing,  ///< Probing targets for their positions and roles.
  Naming,    ///< The order is being named in the closed record.
  Ordered,   ///< Waiting until the chosen replica is primary.
  Opening    ///< The open record is being written.
};
BOOST_DESCRIBE_ENUM(promotion_stage, None, Closing, Gathering, Choosing, Naming,
                    Ordered, Opening)

/// \brief A change of a group's record that this host runs as coordinator.
struct promotion_state {
  promotion_stage Stage = promotion_stage::None;
  bool Planned = false; ///< The old primary is reachable and drains.
  /// The primary stays; only electors are replaced.
  bool ReplacesElectors = false;
  instant StageSince{}; ///< Start of the stage.
  instant StartedAt{};  ///< Start of the promotion.
  instant NextTryAt{};  ///< Earliest time of the stage's next probe or read.
  /// Number of the latest round of probes. Answers to other probes, of an
  /// earlier round or of a witness, do not count.
  call_number ProbeCall = 0;
  instant ProbesSentAt{};              ///< When that round began.
  std::set<std::string> PendingProbes; ///< Targets that have not answered it.
  call_number OrderCall = 0;           ///< Of the order to promote Candidate.
  call_number ChangeCall = 0;
  std::string ChangeValue; ///< Value that the pending change writes.
  /// Store revision of the closed record as this promotion wrote it. A change
  /// that was sent earlier expects an older one, so that it can't be made.
  std::uint64_t ClosedRevision = 0;
  call_number HostsCall = 0;
  bool HostsRead = false; ///< Hosts were read since the record was closed.
  /// Start of the wait for each host that has not acknowledged.
  std::map<std::string, instant> AwaitedSince;
  /// Orders wait until then: the platform rejected one, or hosts may rely on
  /// leases that the previous coordinator revoked.
  instant OrderNotBefore{};
  std::map<std::string, target_status> Statuses;
  /// The latest order before the one that is named; it counts again if the
  /// platform refuses that one.
  std::optional<named_order> OrderBefore;
  /// The platform has accepted the order that the record names.
  bool IsOrderAccepted = false;
  /// Replicas that do not run, as the platform told.
  std::set<std::string> RefusedCandidates;
  std::string Candidate;
};

/// \brief What this host knows of a loss of a group's primary.
struct witness_state {
  std::vector<std::string> Names; ///< Witnesses as of HostsVersion.
  std::uint64_t HostsVersion = 0;
  instant SuspectedUntil{}; ///< This host has cause for suspicion until then.
  bool IsReporting = false; ///< The host's record shows the suspicion.
  instant NextProbeAt{};
  /// First of the consecutive requests for its status without an answer.
  std::optional<instant> SilentSince;
};

/// \brief A target that is no longer listed and may still hold commits.
struct departed_target {
  endpoint Endpoint;
  instant LeftAt{};
  bool WasDraining = false;
  /// This process saw it leave. Otherwise LeftAt is when it was first missed.
  bool WasSeen = true;
};

/// \brief What a host knows of a group beside the record that a restored store
/// holds; see restored_store.cpp.
struct restored_group {
  /// The store's record, where this host knows a later generation.
  std::optional<group_record> Stored;
  bool IsMissing = false; ///< The store has no record of the group.
  /// Generation whose primary this host was allowed to use when it noticed the
  /// restore, so that none replaced it; or 0.
  std::uint64_t VouchedGeneration = 0;
  /// A lease of an earlier era allows its use until then.
  instant UseUntil{};
  call_number WriteCall = 0; ///< Pending change of the store's record, or 0.
  std::string WrittenValue;  ///< Value that the pending change writes.
  instant NextWriteAt{};
};

/// \brief The latest restore of the store, as far as this host knows.
struct restore_state {
  instant KnownAt{};   ///< When this host learnt of the present era.
  bool IsSeen = false; ///< This process knew an earlier era.
  instant ReturnAt{};  ///< Earliest call for a lease of the present era.
  /// Hosts that were listed as the restore was noticed.
  std::size_t ListedBefore = 0;
  /// Those that have not registered in the present era, by name.
  std::set<std::string> Awaited;
  std::set<std::string> Absent; ///< That were awaited for too long.
};

/// \brief This host's view of a group, and the group's promotion.
struct group_state {
  std::optional<group_record> Record;
  std::uint64_t Revision = 0; ///< Store revision of the record.
  freshness_samples Samples;
  /// Highest position that the primary reported under the record's generation.
  std::optional<log_position> PrimaryPosition;
  instant PrimaryPositionAt{}; ///< When PrimaryPosition was received.
  /// When a read last needed a sample to run on a replica.
  instant ReplicaReadAt{};
  instant PositionAskedAt{}; ///< Latest request for the primary's position.
  /// Latest term that a target of the group has shown.
  std::uint64_t LatestTerm = 0;
  /// Generation whose primary showed by an answer that it must not lead, or 0.
  std::uint64_t DisprovedGeneration = 0;
  promotion_state Promotion;
  /// Until then, the order that the closed record names may be carried out.
  instant OrderUnderWayUntil{};
  /// Targets that have left the list, by id; see members.cpp.
  std::map<std::string, departed_target> Departed;
  /// TargetsVersion for which the record's members were compared last.
  std::uint64_t MembersVersion = 0;
  instant NextMembersCheckAt{};
  instant NextPlannedChangeAt{}; ///< No planned promotion begins before then.
  instant NextChangeAt{}; ///< No change of the record is sent before then.
  bool PrimaryUnreachable = false; ///< This host cannot reach the primary.
  witness_state Witness;
  /// Closed generation for which this host stopped using the primary.
  std::uint64_t AcknowledgedClosure = 0;
  instant ClosedAt{};           ///< When this host saw the closed record.
  std::set<std::string> Voters; ///< Electors that voted in this round.
  instant QuorumUntil{};        ///< The electors' votes are valid until then.
  /// Another host may rely on this host's vote until then.
  instant OwnVoteUntil{};
  /// When the record's electors last needed no replacement.
  instant ElectorsSufficedAt{};
  instant NextElectorCheckAt{};
  restored_group Restored;
};

struct lease_state {
  std::uint64_t Id = 0;
  instant ValidUntil{}; ///< The lease allows use of primaries until then.
  duration TimeToLive{};
  instant NextCallAt{};
  unsigned FailedCalls = 0;         ///< Consecutive lease calls that failed.
  unsigned FailedRegistrations = 0; ///< Consecutive ones.
  bool CallPending = false;
  /// The pending call concerns a lease that has ended; its answer is ignored.
  bool PendingCallIsObsolete = false;
  /// The groups' records were read after the host was registered under this
  /// lease. A coordinator that closes a record later sees the registration and
  /// waits for this host; a record closed earlier was read as closed.
  bool GroupsRead = false;
  call_number GroupsCall = 0;
  std::string RegisteredValue; ///< Stored value of the host's record, or empty.
  std::uint64_t RegisteredRevision = 0; ///< Store revision of that value.
  instant RegisteredAt{}; ///< First registration under this lease.
  call_number RegisterCall = 0;
  std::string PendingValue; ///< Value that the pending call writes.
  instant NextRegisterAt{};
};

/// \brief What this host knows of its own record, whatever lease it is bound
/// to. \remarks A registration expects it, so that the store refuses one that
/// another has overtaken.
struct own_record_state {
  std::uint64_t Revision = 0; ///< 0: there is no record.
  std::uint64_t AsOf = 0;     ///< Store revision of the latest known change.
};

/// \brief The current round of votes that this host requests during a store
/// outage.
struct vote_round {
  std::uint64_t Number = 0;
  instant SentAt{};
  instant NextAt{};
  /// When the last answered renewal was sent, while the host was registered.
  instant LastRenewalSentAt{};
  /// This process has read the groups' records while it was registered.
  bool HasReadGroups = false;
};

/// Invariant: IsHeld only while Holder is this host, HolderLease its lease, and
/// FencingToken is Revision.
struct coordinator_state {
  std::string Holder;         ///< Host that is coordinator, or empty.
  std::string PreviousHolder; ///< The last one whose key was removed.
  std::uint64_t Revision = 0;
  std::uint64_t HolderLease = 0; ///< Lease that the role's key is bound to.
  bool IsHeld = false;
  instant HeldSince{}; ///< When this host took the role.
  std::uint64_t FencingToken = 0;
  /// Orders of the previous coordinator have arrived by then, and revoked
  /// leases have ended on their hosts' clocks. Not known, and instant::max(),
  /// until the records were read since this host took the role.
  instant OrdersFrom{};
  /// Leases that are known or suspected to be revoked have ended by then.
  instant RevokedLeasesEnd{};
  call_number GroupsCall = 0; ///< Pending read of the groups' records, or 0.
  call_number HostsCall = 0;  ///< Pending read of the hosts' records, or 0.
  instant NextReadAt{};
  /// A previous coordinator left a group's record closed.
  bool FoundClosed = false;
  /// Records of hosts as this host's pending changes mark them as revoked.
  std::map<call_number, store_record> PendingMarks;
  call_number ClaimCall = 0;
  std::uint64_t ClaimLease = 0; ///< Lease of the pending claim.
  call_number ReturnCall = 0;   ///< Pending removal of the own key.
  instant NextReturnAt{};
  instant NextClaimAt{};
};

struct listed_peer {
  host_record Record;
  std::uint64_t Lease = 0;
  std::uint64_t Revision = 0; ///< Store revision of the record.
};

/// \brief Removal of a host's record.
struct host_removal {
  std::uint64_t Revision = 0; ///< Store revision of the removal.
  instant SeenAt{};
};

/// \brief A host whose record was removed although it was not stopping.
struct expired_host {
  instant ExpiredAt{};
  std::string DataCentre;
};

/// \brief Connection owners of all targets, best first, by target id.
/// \remarks Valid for the versions of the hosts and targets named here.
struct owner_table {
  std::uint64_t HostsVersion = 0;
  std::uint64_t TargetsVersion = 0;
  std::map<std::string, std::vector<std::string>> Owners;
};

/// \brief The evacuation of a data centre; see evacuation.cpp.
struct evacuation_state {
  instant BegunAt{};   ///< When this host learnt of it.
  instant UseEndsAt{}; ///< Primaries there are used until then at most.
  bool IsOver = false; ///< This host has logged that nothing is left there.
};

struct host {
  host_identity Identity;
  std::optional<proxy_settings> Settings;
  bool TargetsKnown = false;
  std::map<session_number, caller_session> Sessions;
  std::map<request_number, target_request> Requests;
  std::map<connection_number, target_connection> Connections;
  std::map<std::string, target_view> Targets; ///< By target id.
  std::map<std::string, group_state> Groups;
  /// By name, including this host. Changes come from several sources, of which
  /// one may lag, so a record only replaces one with a lower revision.
  std::map<std::string, listed_peer> Hosts;
  /// Hosts whose record reports an unreachable, suspected or disproved primary.
  std::set<std::string> ReportingHosts;
  /// Removals newer than HostsReadRevision, by name: an older record does not
  /// list the host again.
  std::map<std::string, host_removal> HostRemovals;
  /// Highest revision at which Hosts was read as a whole.
  std::uint64_t HostsReadRevision = 0;
  std::map<std::string, expired_host> ExpiredHosts;
  waiting_queue Waiting;
  std::map<forward_origin, session_number> ForwardSessions;
  /// Owners that did not answer in time, and until when they are not used.
  std::map<endpoint, instant> UnresponsiveOwners;
  std::map<endpoint, instant> OwnersAnsweredAt;
  /// Highest ticket that was sent to an owner before its connection was
  /// replaced.
  std::map<endpoint, connection_number> ReplacedLinks;
  /// When this host, as owner, last sent something on a link.
  std::map<std::string, instant> LinksAnsweredAt;
  /// Increases when a host joins, leaves, stops, or changes its address or
  /// link.
  std::uint64_t HostsVersion = 1;
  /// Increases when a target is listed, leaves or moves to a data centre.
  std::uint64_t TargetsVersion = 1;
  owner_table OwnerTable;
  allowance_table Allowances;
  lease_state Lease;
  own_record_state OwnRecord;
  vote_round Votes;
  coordinator_state Coordinator;
  instant StartedAt{}; ///< Time of this process's first step.
  instant SteppedAt{}; ///< Time of its latest step.
  bool StoreReached = false;
  /// Era of the store that this host knows; see restored_store.cpp.
  std::uint64_t StoreEra = 0;
  restore_state Restore;
  std::map<std::string, evacuation_state> Evacuations; ///< By data centre.
  /// Absent targets are kept until then, as expired entries may come back. Set
  /// also at the first contact with the store: it may have been away before.
  instant KeepAbsentUntil{};
  bool Ready = false;
  /// Neither the store nor any peer answers; see superviseIsolation.
  bool Isolated = false;
  instant IsolatedAt{};
  bool Stopping = false;
  instant StoppedAt{}; ///< When the request to stop arrived.
  stop_plan StopPlan;  ///< Set while the host is stopping.
  /// When the other hosts were told of the stop.
  std::optional<instant> StopAnnouncedAt;
  bool HasEnded = false; ///< The process ends; nothing is taken any more.
  /// Sessions whose statements were answered in this step, while stopping.
  std::vector<session_number> AnsweredSessions;
  unsigned SessionsSinceStop = 0; ///< Callers' sessions that were opened.
  /// Version of hosts and settings for which rates were last divided.
  std::uint64_t DividedVersion = 0;
  instant NextDivisionAt{};
  instant ExpiredHostDropsAt{}; ///< When an expired host is no longer counted.
  /// Token buckets refill, as of the last division of rates.
  bool Refilling = false;
  instant RefillingSince{};
  std::uint64_t LastNumber = 0;
};

/// \brief State, time and effects of one step.
struct step_context {
  host &State;
  instant Now;
  effect_list &Out;
};

[[nodiscard]] inline std::uint64_t nextNumber(host &State) noexcept {
  return ++State.LastNumber;
}

/// \brief Finds a value in a map. \returns Null when the map lacks the key.
template <class Map, class Key>
[[nodiscard]] auto *findIn(Map &Entries, const Key &Wanted) {
  const auto Found = Entries.find(Wanted);
  return Found == Entries.end() ? nullptr : &Found->second;
}

} // namespace bronzespar::proxy

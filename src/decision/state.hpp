/// State of a host, shared by all parts of the decision library.
#pragma once

#include "bounds.hpp"
#include "chart_enums.hpp"

#include <bronzespar/effects.hpp>
#include <bronzespar/failover.hpp>
#include <bronzespar/fair_queue.hpp>
#include <bronzespar/group_view.hpp>
#include <bronzespar/host_state.hpp>
#include <bronzespar/key_table.hpp>
#include <bronzespar/membership.hpp>
#include <bronzespar/rate_shares.hpp>
#include <bronzespar/session_token.hpp>

#include <deque>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace bronzespar::impl {

/// \brief A caller's request at its entry host.
/// Invariant: Request.Key is empty after the checks, which erase the key.
struct entry_request {
  std::uint64_t Number = 0;
  caller_ref Caller;
  caller_request Request;
  account_id Account;
  route_settings Route;
  session_state Session;
  request_state State = request_state::Checking;
  instant ArrivedAt{};
  instant StageStartedAt{};
  instant Deadline{};
  instant CatchUpDeadline{};
  instant RetryAt{};
  trace_stage BackOffStage = trace_stage::Queue;
  target_id Target; ///< Target of the latest attempt.
  /// Target of the last failed attempt; other targets are preferred.
  target_id AvoidedTarget;
  std::uint64_t Term = 0;
  host_id Owner;
  std::uint64_t ForwardId = 0; ///< Id of the latest attempt.
  instant SentAt{};            ///< When the latest attempt was sent.
  bool MayHaveRun = false;     ///< An earlier attempt may have run.
  /// Latest answer of a pool owner, or a refusal by this host.
  forward_answer LatestAnswer;
  request_trace Trace;
};

/// \brief Run of a statement at the pool owner.
struct statement_run {
  std::uint64_t Number = 0;
  host_id EntryHost; ///< Host that waits for the answer; may be this host.
  forward_request Request;
  run_state State = run_state::Queued;
  instant StartedAt{};
  instant StageStartedAt{};
  instant Deadline{};
  instant SentAt{};
  double ExpectedMs = 0;
  bool HoldsSlot = false;
  bool CountedAsBegin = false; ///< Counted in BeginsAdmitted of its pool.
  connection_ref Connection;
  std::uint64_t Transaction = 0; ///< Number of its transaction, or 0.
  target_answer Answer;
  refusal_cause Cause = refusal_cause::None;
  std::string Detail;
  std::vector<trace_span> Spans;
};

struct pooled_connection {
  connection_ref Ref;
  target_id Target;
  connection_state State = connection_state::Dialling;
  instant OpenedAt{};
  instant AnsweredAt{};          ///< When it connected or last answered.
  instant IdleSince{};           ///< When it last became idle or pinned.
  std::uint64_t Run = 0;         ///< Number of the outstanding run, or 0.
  std::uint64_t Transaction = 0; ///< Number of the open transaction, or 0.
};

/// \brief Connections and queue of one target at its pool owner.
/// Invariants: Connections.size() <= Target.Connections; SlotsUsed <=
/// Target.Slots; at least Slots connections are not used by transactions.
struct target_pool {
  target_settings Target;
  std::vector<connection_ref> Connections;
  fair_queue Queue;
  std::uint32_t SlotsUsed = 0;
  std::uint32_t OpenTransactions = 0;
  std::uint32_t BeginsAdmitted = 0; ///< Admitted Begins not yet finished.
  /// Begin statements that wait until another transaction can be opened.
  std::deque<std::uint64_t> DelayedBegins;
  /// Runs that hold a slot and wait for a connection.
  std::deque<std::uint64_t> AwaitingConnection;
  instant NextDialAt{};
  duration DialDelay{};
  double SmoothedStatementMs = 1; ///< Exponentially smoothed statement time.
  instant LastUsed{};
};

/// \brief Open transaction whose connection is in one of this host's pools.
struct open_transaction {
  std::uint64_t Number = 0;
  transaction_id Id;
  account_id Account;
  group_id Group;
  target_id Target;
  std::uint64_t Term = 0;
  connection_ref Connection;
  std::uint64_t Run = 0; ///< Number of the current statement's run, or 0.
  instant LastUsed{};
};

/// \brief Trace look-up that waits for answers of peers.
struct pending_explain {
  caller_ref Caller;
  request_id Request;
  instant Deadline{};
  std::size_t Outstanding = 0; ///< Number of peers that have not replied.
};

/// \brief Latest observation of a member by one host.
struct observation {
  bool Reachable = false;
  instant ObservedAt{};
};

/// \brief Failover duties of this host, as of the latest tickControl.
struct failover_duties {
  /// Hosts that can hold duties; Coordinated is computed from them.
  std::vector<host_id> Hosts;
  settings_revision Revision = 0;
  std::set<group_id> Coordinated; ///< Groups whose failover this host runs.
  std::size_t LiveDataCentres = 1;
};

/// \brief Limits retries to a proportion of the accepted requests.
struct retry_budget {
  double Tokens = InitialRetryTokens;
};

/// \brief Traces of finished requests, limited in number.
struct trace_store {
  std::deque<request_trace> Latest;
  std::vector<request_trace> Slowest;
};

} // namespace bronzespar::impl

namespace bronzespar {

/// \brief Complete state of a host.
struct host_state {
  host_settings Self;
  std::mt19937_64 Random;
  std::uint64_t Incarnation = 0;
  impl::chart_set Charts;
  host_phase Phase = host_phase::Starting;
  bool Ready = false;
  bool Stopped = false;
  instant LeavingSince{}; ///< When the graceful shutdown began.

  fleet_settings Fleet;
  std::string FleetText;
  settings_revision RefusedRevision = 0; ///< Latest revision that was invalid.

  key_table Keys;
  rate_share_state Shares;
  membership_state Membership;
  std::map<group_id, group_view> Groups;
  /// Group of each member of Groups.
  std::unordered_map<target_id, group_id> GroupOfTarget;
  impl::failover_duties Duties;
  std::map<target_id, endpoint> WatchedMembers;
  std::map<group_id, promotion_state> Promotions;
  std::map<target_id, std::map<host_id, impl::observation>> Observations;
  instant UnreachableSentAt{};
  instant LastControlTick{}; ///< Time of the latest tickControl.

  /// Next number for requests, runs and transactions.
  std::uint64_t NextNumber = 1;
  std::uint64_t NextConnection = 1;
  std::uint64_t NextForward = 1;
  std::uint64_t NextQuery = 1;
  std::uint64_t NextPlatformRef = 1;
  std::unordered_map<std::uint64_t, impl::entry_request> Requests;
  std::unordered_map<std::uint64_t, std::uint64_t> RequestByForward;
  std::unordered_map<caller_ref, std::uint64_t> RequestByCaller;
  /// Requests that wait for a change of a group's view or for their back-off.
  std::set<std::uint64_t> WaitingRequests;
  std::vector<std::uint64_t> FinishedRequests;
  /// Number of this host's requests that are with a pool owner, by target.
  std::map<target_id, std::uint32_t> Load;
  impl::retry_budget RetryBudget;

  std::map<target_id, impl::target_pool> Pools;
  std::unordered_map<connection_ref, impl::pooled_connection> Connections;
  std::vector<connection_ref> ClosedConnections;
  std::unordered_map<std::uint64_t, impl::statement_run> Runs;
  std::set<std::uint64_t> ConfirmingRuns;
  std::vector<std::uint64_t> FinishedRuns;
  std::map<host_id, std::uint64_t> LastForwardFrom;
  std::map<std::uint64_t, impl::open_transaction> Transactions;
  /// Ids of the transactions lost lately, at most MaxLostTransactions.
  std::deque<transaction_id> LostTransactions;

  impl::trace_store Traces;
  std::map<std::uint64_t, impl::pending_explain> PendingExplains;
};

} // namespace bronzespar

namespace bronzespar::impl {

/// \brief Arguments of the current step, passed to every handler.
struct context {
  host_state &State;
  instant Now;
  effect_list &Effects;
};

/// \brief Appends an effect to those of the current step.
template <class Effect> void emit(context &Context, Effect &&Item) {
  Context.Effects.emplace_back(std::forward<Effect>(Item));
}

void writeLog(context &Context, effects::log_severity Severity,
              std::string Event, std::vector<effects::log_field> Fields);

} // namespace bronzespar::impl

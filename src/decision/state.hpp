/// The decision library's state, as its parts share it.
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
/// Invariant: Request.Key is empty; the key is dropped once it was checked.
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
  target_id Target;        ///< Of the latest attempt.
  target_id AvoidedTarget; ///< Failed lately; others are preferred.
  std::uint64_t Term = 0;
  host_id Owner;
  std::uint64_t ForwardId = 0; ///< Of the latest attempt.
  instant SentAt{};            ///< When the latest attempt was sent.
  bool MayHaveRun = false;     ///< An earlier attempt may have run.
  forward_answer LatestAnswer; ///< Latest answer, or the refusal.
  request_trace Trace;
};

/// \brief One run of a statement at the pool owner.
struct statement_run {
  std::uint64_t Number = 0;
  host_id EntryHost; ///< Host that waits for the answer; may be this one.
  forward_request Request;
  run_state State = run_state::Queued;
  instant StartedAt{};
  instant StageStartedAt{};
  instant Deadline{};
  instant SentAt{};
  double ExpectedMs = 0;
  bool HoldsSlot = false;
  bool CountedAsBegin = false; ///< Counted in its pool's BeginsAdmitted.
  connection_ref Connection;
  std::uint64_t Transaction = 0; ///< Number of its transaction, 0 for none.
  target_answer Answer;
  refusal_cause Cause = refusal_cause::None;
  std::string Detail;
  std::vector<trace_span> Spans;
};

/// \brief A connection of a pool.
struct pooled_connection {
  connection_ref Ref;
  target_id Target;
  connection_state State = connection_state::Dialling;
  instant OpenedAt{};
  instant AnsweredAt{};          ///< When it last proved to be alive.
  instant IdleSince{};           ///< When it last became idle or pinned.
  std::uint64_t Run = 0;         ///< Outstanding run, 0 for none.
  std::uint64_t Transaction = 0; ///< Open transaction, 0 for none.
};

/// \brief Connections and queue of one target on its pool owner.
/// Invariants: Connections.size() <= Target.Connections; SlotsUsed <=
/// Target.Slots; transactions leave Slots connections to other statements.
struct target_pool {
  target_settings Target;
  std::vector<connection_ref> Connections;
  fair_queue Queue;
  std::uint32_t SlotsUsed = 0;
  std::uint32_t OpenTransactions = 0;
  std::uint32_t BeginsAdmitted = 0;        ///< Begin statements not finished.
  std::deque<std::uint64_t> DelayedBegins; ///< Begins held back.
  std::deque<std::uint64_t> AwaitingConnection; ///< Runs that hold a slot.
  instant NextDialAt{};
  duration DialDelay{};
  double SmoothedStatementMs = 1; ///< Smoothed time of a statement.
  instant LastUsed{};
};

/// \brief A transaction whose connection this host holds.
struct open_transaction {
  std::uint64_t Number = 0;
  transaction_id Id;
  account_id Account;
  group_id Group;
  target_id Target;
  std::uint64_t Term = 0;
  connection_ref Connection;
  std::uint64_t Run = 0; ///< Statement under way, 0 for none.
  instant LastUsed{};
};

/// \brief A trace question that waits for a peer.
struct pending_explain {
  caller_ref Caller;
  request_id Request;
  instant Deadline{};
  std::size_t Outstanding = 0; ///< Peers that have not replied.
};

/// \brief What one host last said about a member.
struct observation {
  bool Reachable = false;
  instant ObservedAt{};
};

/// \brief Duties of this host in failover, as of the latest round of control.
struct failover_duties {
  std::vector<host_id> Hosts; ///< That hold duties; Coordinated rests on them.
  settings_revision Revision = 0;
  std::set<group_id> Coordinated; ///< Groups that this host coordinates.
  std::size_t LiveDataCentres = 1;
};

/// \brief Retries allowed in proportion to requests.
struct retry_budget {
  double Tokens = InitialRetryTokens;
};

/// \brief Bounded memory of finished requests.
struct trace_store {
  std::deque<request_trace> Latest;
  std::vector<request_trace> Slowest;
};

} // namespace bronzespar::impl

namespace bronzespar {

/// \brief Everything that a host knows.
struct host_state {
  host_settings Self;
  std::mt19937_64 Random;
  std::uint64_t Incarnation = 0;
  impl::chart_set Charts;
  host_phase Phase = host_phase::Starting;
  bool Ready = false;
  bool Stopped = false;
  instant LeavingSince{}; ///< When leaving began.

  fleet_settings Fleet;
  std::string FleetText;
  settings_revision RefusedRevision = 0; ///< Latest that was refused whole.

  key_table Keys;
  rate_share_state Shares;
  membership_state Membership;
  std::map<group_id, group_view> Groups;
  std::unordered_map<target_id, group_id> GroupOfTarget; ///< All of Groups.
  impl::failover_duties Duties;
  std::map<target_id, endpoint> WatchedMembers;
  std::map<group_id, promotion_state> Promotions;
  std::map<target_id, std::map<host_id, impl::observation>> Observations;
  instant UnreachableSentAt{};
  instant LastControlTick{}; ///< Latest round of tickControl.

  std::uint64_t NextNumber = 1; ///< Requests, runs and transactions.
  std::uint64_t NextConnection = 1;
  std::uint64_t NextForward = 1;
  std::uint64_t NextQuery = 1;
  std::uint64_t NextPlatformRef = 1;
  std::unordered_map<std::uint64_t, impl::entry_request> Requests;
  std::unordered_map<std::uint64_t, std::uint64_t> RequestByForward;
  std::unordered_map<caller_ref, std::uint64_t> RequestByCaller;
  std::set<std::uint64_t> WaitingRequests; ///< Those that wait for the view.
  std::vector<std::uint64_t> FinishedRequests;
  std::map<target_id, std::uint32_t> Load; ///< Own requests at each target.
  impl::retry_budget RetryBudget;

  std::map<target_id, impl::target_pool> Pools;
  std::unordered_map<connection_ref, impl::pooled_connection> Connections;
  std::vector<connection_ref> ClosedConnections;
  std::unordered_map<std::uint64_t, impl::statement_run> Runs;
  std::set<std::uint64_t> ConfirmingRuns;
  std::vector<std::uint64_t> FinishedRuns;
  std::map<host_id, std::uint64_t> LastForwardFrom;
  std::map<std::uint64_t, impl::open_transaction> Transactions;
  std::deque<transaction_id> LostTransactions; ///< Bounded.

  impl::trace_store Traces;
  std::map<std::uint64_t, impl::pending_explain> PendingExplains;
};

} // namespace bronzespar

namespace bronzespar::impl {

/// \brief What each part of a step needs.
struct context {
  host_state &State;
  instant Now;
  effect_list &Effects;
};

/// \brief Appends an effect.
template <class Effect> void emit(context &Context, Effect &&Item) {
  Context.Effects.emplace_back(std::forward<Effect>(Item));
}

/// \brief Writes a log entry.
void writeLog(context &Context, effects::log_severity Severity,
              std::string Event, std::vector<effects::log_field> Fields);

} // namespace bronzespar::impl

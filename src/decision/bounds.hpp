/// Timeouts, intervals and size limits of the decision library.
#pragma once

#include <bronzespar/instant.hpp>

#include <cstddef>
#include <cstdint>

namespace bronzespar::impl {

/// How long a read waits for a replica to catch up before it is sent to the
/// primary.
inline constexpr duration CatchUpBound = 20ms;
/// How long a read that has run waits until a majority holds the position that
/// it returned.
inline constexpr duration ReadConfirmBound = 100ms;
/// Time after which a connection is closed if an idempotent statement sent on
/// it has not been answered.
inline constexpr duration RepeatableTimeout = 250ms;
/// The same for a statement that cannot be sent again.
inline constexpr duration SingleTimeout = 1s;
/// Both timeouts are at least this multiple of the target's usual statement
/// time.
inline constexpr double TimeoutFactor = 20.0;
/// How long a request waits for a token of its account's rate.
inline constexpr duration LongestRateWait = 250ms;
/// Time limit for establishing a connection to a target.
inline constexpr duration DialTimeout = 300ms;
/// Delay of the next dial to a target after a failed one. It doubles with each
/// further failure up to the maximum.
inline constexpr duration FirstDialDelay = 10ms;
inline constexpr duration LongestDialDelay = 160ms;
/// Part of the caller's deadline that is reserved for returning the answer from
/// the pool owner to the entry host.
inline constexpr duration AnswerMargin = 10ms;
/// Delay before a request's second attempt. It doubles with each further
/// attempt up to the maximum.
inline constexpr duration FirstBackOff = 2ms;
inline constexpr duration LongestBackOff = 50ms;
/// Idle time after which a transaction is rolled back.
inline constexpr duration TransactionIdleTimeout = 5s;
/// Time after its last use at which a pool that this host need not keep,
/// usually because another host owns it, closes its idle connections.
inline constexpr duration ForeignPoolLinger = 500ms;
/// How long to wait for the peers' answers to a trace query.
inline constexpr duration ExplainBound = 200ms;
/// Interval at which a host tells its peers which members it cannot reach.
inline constexpr duration ReportPeriod = 200ms;
/// Interval at which promotions are advanced and old observations dropped.
inline constexpr duration ControlPeriod = 10ms;
/// Age at which a peer's observation of a member is discarded.
inline constexpr duration ObservationLifetime = 1s;
/// Minimum time for which a leaving host keeps serving, so that the load
/// balancer can stop sending requests to it.
inline constexpr duration LeaveGrace = 1500ms;
/// Time after which a leaving host stops even if work is unfinished. Open
/// requests are answered with their actual outcome.
inline constexpr duration LeaveBound = 15s;
/// Retry tokens that each accepted request adds to the retry budget, and the
/// largest number of tokens in the budget.
inline constexpr double RetryShare = 0.2;
inline constexpr double RetrySavings = 200.0;
/// Retry tokens in the budget when a host starts.
inline constexpr double RetryStart = 50.0;
/// Most runs that can be queued for one target.
inline constexpr std::size_t LongestQueue = 4096;
inline constexpr std::size_t LatestTraces = 1024;
inline constexpr std::size_t SlowestTraces = 64;
/// Number of lost transactions whose ids are kept, so that later statements of
/// them get the right refusal.
inline constexpr std::size_t RememberedTransactions = 1024;
/// Weight of the newest sample in the exponentially smoothed statement time.
inline constexpr double StatementSmoothing = 0.1;
/// Load added to the target of a request's failed attempt, so that the next
/// attempt prefers other members.
inline constexpr std::uint32_t AvoidLoad = 1000;

} // namespace bronzespar::impl

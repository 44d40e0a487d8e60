/// Timeouts, intervals and size limits of the decision library.
#pragma once

#include <bronzespar/instant.hpp>

#include <cstddef>
#include <cstdint>

namespace bronzespar::impl {

/// How long a read waits for a replica to catch up before it is sent to the
/// primary.
inline constexpr duration MaxCatchUpWait = 20ms;
/// How long a read that has run waits until a majority holds the position that
/// it returned.
inline constexpr duration MaxReadConfirmWait = 100ms;
/// Time after which a connection is closed if an idempotent statement sent on
/// it has not been answered.
inline constexpr duration IdempotentStatementTimeout = 250ms;
/// The same for a statement that cannot be sent again.
inline constexpr duration NonIdempotentStatementTimeout = 1s;
/// Both timeouts are at least this multiple of the target's usual statement
/// time.
inline constexpr double StatementTimeoutFactor = 20.0;
/// How long a request waits for a token of its account's rate.
inline constexpr duration MaxRateWait = 250ms;
/// Time limit for establishing a connection to a target.
inline constexpr duration DialTimeout = 300ms;
/// Delay of the next dial to a target after a failed one. It doubles with each
/// further failure up to the maximum.
inline constexpr duration InitialDialDelay = 10ms;
inline constexpr duration MaxDialDelay = 160ms;
/// Part of the caller's deadline that is reserved for returning the answer from
/// the pool owner to the entry host.
inline constexpr duration AnswerReturnMargin = 10ms;
/// Delay before a request's second attempt. It doubles with each further
/// attempt up to the maximum.
inline constexpr duration InitialBackOff = 2ms;
inline constexpr duration MaxBackOff = 50ms;
/// Idle time after which a transaction is rolled back.
inline constexpr duration TransactionIdleTimeout = 5s;
/// Time after its last use at which a pool that this host need not keep,
/// usually because another host owns it, closes its idle connections.
inline constexpr duration ForeignPoolIdleTimeout = 500ms;
/// How long to wait for the peers' answers to a trace query.
inline constexpr duration ExplainTimeout = 200ms;
/// Interval at which a host tells its peers which members it cannot reach.
inline constexpr duration UnreachableReportInterval = 200ms;
/// Interval at which promotions are advanced and old observations dropped.
inline constexpr duration FailoverControlInterval = 10ms;
/// Age at which a peer's observation of a member is discarded.
inline constexpr duration ObservationLifetime = 1s;
/// Minimum time for which a leaving host keeps serving, so that the load
/// balancer can stop sending requests to it.
inline constexpr duration LeaveGracePeriod = 1500ms;
/// Time after which a leaving host stops even if work is unfinished. Open
/// requests are answered with their actual outcome.
inline constexpr duration LeaveTimeout = 15s;
/// Retry tokens that each accepted request adds to the retry budget, and the
/// largest number of tokens in the budget.
inline constexpr double RetryTokensPerRequest = 0.2;
inline constexpr double MaxRetryTokens = 200.0;
/// Retry tokens in the budget when a host starts.
inline constexpr double InitialRetryTokens = 50.0;
/// Most runs that can be queued for one target.
inline constexpr std::size_t MaxQueueLength = 4096;
inline constexpr std::size_t MaxLatestTraces = 1024;
inline constexpr std::size_t MaxSlowestTraces = 64;
/// Number of lost transactions whose ids are kept, so that later statements of
/// them get the right refusal.
inline constexpr std::size_t MaxLostTransactions = 1024;
/// Weight of the newest sample in the exponentially smoothed statement time.
inline constexpr double StatementTimeSmoothing = 0.1;
/// Load added to the target of a request's failed attempt, so that the next
/// attempt prefers other members.
inline constexpr std::uint32_t AvoidedTargetLoad = 1000;

} // namespace bronzespar::impl

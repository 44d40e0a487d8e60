/// Bounds and delays of the decision library.
#pragma once

#include <bronzespar/instant.hpp>

#include <cstddef>
#include <cstdint>

namespace bronzespar::impl {

/// Longest wait of a read for a replica to catch up before the primary runs it.
inline constexpr duration MaxCatchUpWait = 20ms;
/// Longest wait for a majority to hold what a read returned.
inline constexpr duration MaxReadConfirmWait = 100ms;
/// Time a repeatable statement may take before its connection is given up.
inline constexpr duration IdempotentStatementTimeout = 250ms;
/// The same for one that cannot be sent again.
inline constexpr duration NonIdempotentStatementTimeout = 1s;
/// Multiple of the usual statement time that both timeouts respect.
inline constexpr double StatementTimeoutFactor = 20.0;
/// Longest wait of a request for a token of its account's rate.
inline constexpr duration MaxRateWait = 250ms;
/// Longest time for a connection to be established.
inline constexpr duration DialTimeout = 300ms;
inline constexpr duration InitialDialDelay = 10ms;
inline constexpr duration MaxDialDelay = 160ms;
/// Part of the caller's deadline kept back for the way home from the owner.
inline constexpr duration AnswerReturnMargin = 10ms;
inline constexpr duration InitialBackOff = 2ms;
inline constexpr duration MaxBackOff = 50ms;
/// Time after which an idle transaction is rolled back.
inline constexpr duration TransactionIdleTimeout = 5s;
/// Time after which an unused pool that another host owns is closed.
inline constexpr duration ForeignPoolIdleTimeout = 500ms;
/// Wait for peers that are asked for a trace.
inline constexpr duration ExplainTimeout = 200ms;
/// Period in which hosts tell each other which members they cannot reach.
inline constexpr duration UnreachableReportInterval = 200ms;
/// Period in which promotions are driven and observations aged.
inline constexpr duration FailoverControlInterval = 10ms;
/// Age at which what a peer said about a member no longer counts.
inline constexpr duration ObservationLifetime = 1s;
/// Time that a leaving host keeps serving so that the balancer can notice.
inline constexpr duration LeaveGracePeriod = 1500ms;
/// Time after which a leaving host stops, with truthful answers, whatever runs.
inline constexpr duration LeaveTimeout = 15s;
/// Repeats earned by each accepted request, and how many can be saved up.
inline constexpr double RetryTokensPerRequest = 0.2;
inline constexpr double MaxRetryTokens = 200.0;
/// Repeats that a host has when it starts.
inline constexpr double InitialRetryTokens = 50.0;
inline constexpr std::size_t MaxQueueLength = 4096;
inline constexpr std::size_t MaxLatestTraces = 1024;
inline constexpr std::size_t MaxSlowestTraces = 64;
inline constexpr std::size_t MaxLostTransactions = 1024;
/// Weight of the newest sample in the smoothed statement time.
inline constexpr double StatementTimeSmoothing = 0.1;
/// Load added to a target that has just failed a request.
inline constexpr std::uint32_t AvoidedTargetLoad = 1000;

} // namespace bronzespar::impl

/// Outcome of a request: whether it was run, and why it was refused.
#pragma once

#include <bronzespar/enum_table.hpp>

namespace bronzespar {

/// \brief Whether the target ran a request, as far as the proxy can prove it.
enum class run_outcome {
  NotRun, ///< Certainly not run; the request can safely be sent again.
  Ran,    ///< Certainly run.
  Unknown ///< May have run: it was sent, but no conclusive answer arrived.
};
BOOST_DESCRIBE_ENUM(run_outcome, NotRun, Ran, Unknown)

/// \brief Reason for a refusal, as reported to the caller and in the trace.
enum class refusal_cause {
  None,
  MalformedRequest,
  KeyMissing,
  KeyUnknown,
  AccountNotPermitted,
  RouteUnknown,
  RateExceeded,
  QueueFull,
  DeadlineExceeded,
  NoPrimary,
  NoTarget,
  CatchUpTimeout,
  ConnectionLost,
  TransactionUnknown,
  TransactionLost,
  RetryBudgetSpent,
  SessionTokenInvalid,
  HostLeaving,
  TargetRefused,
  NotConfigured
};
BOOST_DESCRIBE_ENUM(refusal_cause, None, MalformedRequest, KeyMissing,
                    KeyUnknown, AccountNotPermitted, RouteUnknown, RateExceeded,
                    QueueFull, DeadlineExceeded, NoPrimary, NoTarget,
                    CatchUpTimeout, ConnectionLost, TransactionUnknown,
                    TransactionLost, RetryBudgetSpent, SessionTokenInvalid,
                    HostLeaving, TargetRefused, NotConfigured)

} // namespace bronzespar

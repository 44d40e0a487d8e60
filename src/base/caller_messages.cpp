/// HTTP status of answers to callers.
#include <bronzespar/caller_messages.hpp>

namespace bronzespar {

unsigned httpStatus(const caller_answer &Answer) noexcept {
  switch (Answer.Cause) {
  case refusal_cause::None:
    return 200;
  case refusal_cause::MalformedRequest:
  case refusal_cause::SessionTokenInvalid:
    return 400;
  case refusal_cause::KeyMissing:
  case refusal_cause::KeyUnknown:
    return 401;
  case refusal_cause::AccountNotPermitted:
    return 403;
  case refusal_cause::RouteUnknown:
  case refusal_cause::TransactionUnknown:
    return 404;
  case refusal_cause::TransactionLost:
    return 409;
  case refusal_cause::RateExceeded:
    return 429;
  case refusal_cause::ConnectionLost:
  case refusal_cause::TargetRefused:
    return 502;
  case refusal_cause::QueueFull:
  case refusal_cause::NoPrimary:
  case refusal_cause::NoTarget:
  case refusal_cause::RetryBudgetSpent:
  case refusal_cause::HostLeaving:
  case refusal_cause::NotConfigured:
    return 503;
  case refusal_cause::DeadlineExceeded:
  case refusal_cause::CatchUpTimeout:
    return 504;
  }
  return 500;
}

} // namespace bronzespar

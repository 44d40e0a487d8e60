/// Requests of callers and the answers to them, independent of HTTP. The
/// adapters translate them from and to these HTTP messages:
///
/// | request                             | meaning                          |
/// |-------------------------------------|----------------------------------|
/// | POST /v1/routes/ROUTE/STATEMENT     | run a statement (JSON body)      |
///
/// STATEMENT is read, put, append, begin, commit or rollback; the body is an
/// object with `row` and, for writes, `value`. Headers:
///
/// | header                     | meaning                                   |
/// |----------------------------|-------------------------------------------|
/// | Authorization: Bearer KEY  | caller's key                              |
/// | Bronzespar-Session         | session token, returned by each answer    |
/// | Bronzespar-Max-Age-Ms      | greatest accepted age of the data read    |
/// | Bronzespar-Transaction     | transaction that the statement belongs to |
/// | Bronzespar-Deadline-Ms     | longest wait for the answer               |
/// | Idempotency-Key            | makes a write idempotent                  |
/// | Bronzespar-Request-Id      | (answer) id for `bronzespar explain`      |
/// | Server-Timing              | (answer) time spent in each stage         |
///
/// A write without an Idempotency-Key is not sent again once it may have run.
#pragma once

#include <bronzespar/ids.hpp>
#include <bronzespar/instant.hpp>
#include <bronzespar/log_position.hpp>
#include <bronzespar/outcome.hpp>
#include <bronzespar/secret.hpp>
#include <bronzespar/target_messages.hpp>
#include <bronzespar/trace.hpp>

#include <optional>
#include <string>

namespace bronzespar {

struct caller_request {
  request_id Id; ///< Assigned by the entry host; unique within the fleet.
  route_id Route;
  statement_kind Kind = statement_kind::Read;
  std::string Row;
  std::string Value;
  secret Key;
  std::string SessionToken; ///< Empty to start a new session.
  std::optional<duration> MaxAge;
  std::optional<duration> Deadline; ///< Limited by the route's deadline.
  std::string IdempotencyKey;       ///< If empty, a write is not idempotent.
  transaction_id Transaction;       ///< Empty outside a transaction.
};

struct caller_answer {
  request_id Id;
  run_outcome Outcome = run_outcome::NotRun;
  refusal_cause Cause = refusal_cause::None; ///< None on success.
  std::string Detail;                        ///< Human-readable explanation.
  std::string Value;
  log_position Position;
  std::string Role; ///< Role of the member that ran the statement.
  std::string SessionToken;
  transaction_id Transaction;
  std::optional<duration> RetryAfter;
  request_trace Trace;
};

/// \brief HTTP status for an answer: 200 on success, otherwise by Cause.
[[nodiscard]] unsigned httpStatus(const caller_answer &Answer) noexcept;

} // namespace bronzespar

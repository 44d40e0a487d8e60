/// Codec of callers' requests and answers, apart from HTTP itself.
#pragma once

#include <bronzespar/caller_messages.hpp>
#include <bronzespar/wire/wire_fault.hpp>

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bronzespar {

/// \brief What a caller's request says before its body. Absent headers are
/// empty.
struct caller_head {
  std::string_view Path;
  std::string_view Authorization;
  std::string_view SessionToken;
  std::string_view MaxAgeMs;
  std::string_view DeadlineMs;
  std::string_view Transaction;
  std::string_view IdempotencyKey;
};

/// \brief Path prefix of statements.
inline constexpr std::string_view RoutesPath = "/v1/routes/";

/// \brief Reads a statement's request.
/// \param Body JSON object; may be empty for begin, commit and rollback.
/// \returns The request without an Id, or an error carrying wire_fault.
[[nodiscard]] boost::leaf::result<caller_request>
decodeCallerRequest(const caller_head &Head, std::string_view Body);

/// \brief Writes an answer's body: `{"value","position","role"}` on success,
/// else problem details.
[[nodiscard]] std::string encodeCallerAnswer(const caller_answer &Answer);

/// \brief Headers of an answer, apart from those of the body.
[[nodiscard]] std::vector<std::pair<std::string, std::string>>
answerHeaders(const caller_answer &Answer);

/// \brief Problem details of a request that an adapter refused by itself; it
/// was certainly not run.
[[nodiscard]] std::string encodeProblem(unsigned Status, refusal_cause Cause,
                                        std::string_view Detail);

/// \brief Body of `GET /v1/explain/REQUEST-ID`.
[[nodiscard]] std::string encodeTrace(const request_trace &Trace);

/// \brief Writes an enumerator's name in kebab case: "NotRun" is "not-run".
[[nodiscard]] std::string kebabCase(std::string_view Name);

} // namespace bronzespar

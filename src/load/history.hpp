/// What the load tool's callers sent and how each request ended. The checker
/// and the figures are computed from this record alone.
#pragma once

#include <bronzespar/enum_table.hpp>
#include <bronzespar/instant.hpp>
#include <bronzespar/target_messages.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzespar::load {

/// \brief How a request ended, as its caller saw it.
enum class request_end {
  Served,  ///< Answered with success.
  Refused, ///< Refused with the outcome not-run.
  Ran,     ///< Refused with the outcome ran.
  Unknown  ///< Outcome unknown, or no answer came.
};
BOOST_DESCRIBE_ENUM(request_end, Served, Refused, Ran, Unknown)

/// \brief One change of a row. Each row is written by one session only, and
/// Sequence grows with each change that the session asks for.
struct row_write {
  std::string Row;
  std::uint32_t Sequence = 0;
};

/// Account number of requests on open routes.
inline constexpr std::uint32_t NoAccount = 0xffffffff;

/// Cause of an answer that is not what docs/PROTOCOLS.md describes.
inline constexpr auto UnreadableAnswer = "unreadable-answer";

/// \brief One request and its end.
struct request_record {
  std::uint32_t Account = NoAccount;
  std::uint32_t Session = 0;
  std::string Group;
  std::string Host;
  statement_kind Kind = statement_kind::Read;
  std::optional<duration> MaxAge;
  /// Begin, a statement inside a transaction, commit or rollback.
  bool InTransaction = false;
  std::string Row; ///< Row of a read.
  /// Put and append outside a transaction: one. Commit: the transaction's.
  std::vector<row_write> Writes;
  std::string IdempotencyKey;
  instant SentAt{};
  instant DoneAt{};
  request_end End = request_end::Unknown;
  std::string Cause;     ///< Cause of a refusal, in kebab case.
  std::string RequestId; ///< Of the answer.
  std::string Value;     ///< Read: the answer's value.
  std::string Role;      ///< Role of the member that answered.
  duration Deadline{};
};

using history = std::vector<request_record>;

/// \brief What the text written to a row says of its writer.
struct value_mark {
  std::uint32_t Session = 0;
  std::uint32_t Sequence = 0;
  std::string Row;
};

/// \brief Writes "SESSION.SEQUENCE@ROW".
[[nodiscard]] std::string formatMark(const value_mark &Mark);

/// \returns Nothing unless the text is a mark.
[[nodiscard]] std::optional<value_mark> parseMark(std::string_view Text);

/// \brief Splits the value of a row that is appended to into its lines.
[[nodiscard]] std::vector<std::string> splitLines(std::string_view Text);

} // namespace bronzespar::load

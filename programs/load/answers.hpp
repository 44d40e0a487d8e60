/// JSON of callers' answers and of the stand-ins' states.
#pragma once

#include "http_client.hpp"

#include <bronzespar/log_position.hpp>
#include <load/checker.hpp>

#include <optional>
#include <string>

namespace bronzespar::load {

/// Cause when no host took a connection.
inline constexpr auto NoHost = "no-host";
/// Cause when the connection ended or the time was up without an answer.
inline constexpr auto NoAnswer = "no-answer";

/// \brief Sets a record's end, cause, value and role from an answer.
void readAnswer(request_record &Record, const http_answer &Answer);

/// \brief Body of a caller's request.
[[nodiscard]] std::string requestBody(const std::string &Row,
                                      const std::string &Value);

/// \brief State of one member, as its control port tells it.
struct member_state {
  std::string Role;
  log_position Position;
  std::uint64_t Term = 0;
  final_rows Final;
  /// Transactions begun on a connection that had one open.
  std::uint64_t NestedBegins = 0;
};

/// \returns Nothing if the text is not a state.
[[nodiscard]] std::optional<member_state>
readMemberState(const std::string &Text);

} // namespace bronzespar::load

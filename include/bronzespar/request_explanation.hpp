/// Explains a request's outcome from the logs of session hosts: finds the lines
/// that carry the request's id and the lines of other decisions that may have
/// caused the outcome.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzespar {

/// \brief One structured log line.
struct log_line {
  std::int64_t WallMs = 0; ///< Unix time in milliseconds, by Host's clock.
  std::string Host;
  std::string Event;
  std::map<std::string, std::string> Fields; ///< All other fields, as text.
};

/// \brief Log lines that explain a request's outcome.
struct request_explanation {
  std::vector<log_line> RequestLines; ///< Lines with the request's id, by time.
  std::vector<log_line> RelatedLines; ///< Lines of related decisions, by time.
  std::size_t UnparsedLines = 0; ///< Lines that are not structured log lines.
};

/// \brief Parses one log line; text before its first brace is ignored.
/// \returns An empty optional if the text is not a structured log line.
[[nodiscard]] std::optional<log_line> parseLogLine(std::string_view Text);

/// \brief Finds the lines of a request and of related decisions.
/// \param Log Lines of any number of hosts, in any order. The stream is read
/// twice and must be seekable.
[[nodiscard]] request_explanation explainRequest(std::istream &Log,
                                                 std::string_view Request);

/// \brief Formats the explanation as text, one line for each log line, with
/// times relative to the request's first line.
[[nodiscard]] std::string
formatExplanation(const request_explanation &Explanation);

} // namespace bronzespar

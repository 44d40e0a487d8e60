/// From a request's id to its cause, in the logs of session hosts: the lines
/// that name the request, and those of other decisions that its outcome points
/// to.
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
struct story_line {
  std::int64_t WallMs = 0; ///< Unix milliseconds, by the clock of Host.
  std::string Host;
  std::string Event;
  std::map<std::string, std::string> Fields; ///< All others, as text.
};

/// \brief What the logs tell of a request.
struct request_story {
  std::vector<story_line> Own;     ///< Lines that name it, by time.
  std::vector<story_line> Related; ///< What its outcomes point to, by time.
  std::size_t UnreadLines = 0;     ///< Lines that are no structured log.
};

/// \brief Reads a line; what stands before its first brace is passed over.
/// \returns Nothing when it is not a structured log line.
[[nodiscard]] std::optional<story_line> parseStoryLine(std::string_view Text);

/// \brief Finds a request's lines and those of related decisions.
/// \param Log Lines of any number of hosts, in any order; read twice.
[[nodiscard]] request_story explainRequest(std::istream &Log,
                                           std::string_view Request);

/// \brief Writes the story as text, a line for each log line; times count from
/// the request's first line.
[[nodiscard]] std::string formatStory(const request_story &Story);

} // namespace bronzespar

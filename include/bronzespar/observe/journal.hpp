/// Structured log: one JSON object per line, written through log4cplus.
#pragma once

#include <bronzespar/effects.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace bronzespar {

/// \brief Receives log lines in place of standard error; for tests.
using line_sink = std::function<void(const std::string &Line)>;

/// \brief Writes log entries. Entries of one event that exceed
/// MaxEntriesPerSecond are counted instead of written, and the count is written
/// with a later entry of the event.
/// \remarks Not thread-safe: one thread may use it at a time.
class journal {
public:
  /// Bound on the entries of one event that are written within one second.
  static constexpr std::uint32_t MaxEntriesPerSecond = 20;
  using wall_time = std::chrono::system_clock::time_point;

  /// \param Level Name of the lowest severity to write, such as "INFO"; "INFO"
  /// applies if there is no such level.
  /// \param Sink Receives the lines; if empty, they go to standard error.
  explicit journal(const std::string &Level, line_sink Sink = {});
  journal(const journal &) = delete;
  journal &operator=(const journal &) = delete;
  ~journal();

  /// \brief Sets the lowest severity to write.
  /// \returns False, without any change, if there is no such level.
  bool setLevel(const std::string &Level);

  void write(const effects::write_log &Entry, wall_time Now);

  /// \brief Writes the counts of suppressed entries.
  void flushCounts(wall_time Now);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

/// \brief Makes the log entry of a finished request, with severity Info if the
/// request was refused or slow, otherwise Debug.
[[nodiscard]] effects::write_log requestEntry(const request_trace &Trace);

} // namespace bronzespar

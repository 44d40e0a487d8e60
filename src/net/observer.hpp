/// The logging duty: writes the log, keeps the histograms, renders metrics.
#pragma once

#include "one_shot.hpp"

#include <bronzespar/effects.hpp>
#include <bronzespar/observe/journal.hpp>
#include <bronzespar/observe/metrics.hpp>

#include <functional>
#include <variant>

namespace bronzespar {

/// \brief An operator scrapes the metrics.
struct metrics_asked {
  caller_ref Caller;
};
/// \brief Answer to metrics_asked.
struct metrics_rendered {
  caller_ref Caller;
  std::string Text;
};

using observation =
    std::variant<effects::write_log, effects::record_trace, metrics_asked>;

/// \brief Adapter of log and metrics; used by the logging thread only.
class observer {
public:
  observer(boost::asio::io_context &Loop, const std::string &LogLevel,
           std::function<void(metrics_rendered &&)> Answer);
  observer(const observer &) = delete;
  observer &operator=(const observer &) = delete;
  ~observer();

  void take(const observation &Observation);

private:
  void take(const effects::write_log &Entry);
  void take(const effects::record_trace &Effect);
  void take(const metrics_asked &Asked);
  void flushLater();

  journal Journal;
  metrics_registry Metrics;
  one_shot FlushTimer;
  std::function<void(metrics_rendered &&)> Answer;
};

} // namespace bronzespar

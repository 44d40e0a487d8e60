/// Latency histograms and counters of finished requests, in bounded memory.
#pragma once

#include <bronzespar/trace.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace bronzespar {

/// \brief Latency histograms by account, class and stage, and request counters
/// by outcome and cause.
/// Invariant: there are at most MaxSeries latency series and one overflow
/// series, whose account, class and stage are "other". Requests that would need
/// another series are counted there.
class metrics_registry {
public:
  static constexpr std::size_t DefaultMaxSeries = 1024;

  explicit metrics_registry(std::size_t MaxSeries = DefaultMaxSeries);
  metrics_registry(const metrics_registry &) = delete;
  metrics_registry &operator=(const metrics_registry &) = delete;
  ~metrics_registry();

  /// \brief Adds a finished request to the counters and histograms.
  void record(const request_trace &Trace);

  /// \brief Formats all metrics in the Prometheus text exposition format.
  [[nodiscard]] std::string render() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bronzespar

/// Types for points in time and durations. Decision code never reads a clock:
/// the caller passes the current time to each step, so that tests can run on
/// virtual time.
#pragma once

#include <chrono>

namespace bronzespar {

/// \brief Duration type of the whole project, with microsecond resolution.
using duration = std::chrono::microseconds;

/// \brief Clock type of one process. It deliberately has no `now()`; the
/// adapters convert the monotonic clock's time to it.
struct process_clock {
  using duration = bronzespar::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<process_clock>;
  static constexpr bool is_steady = true; // NOLINT: required by std::chrono
};

/// \brief Point in time on the monotonic clock of one process.
/// \remarks Instants of different processes must never be compared.
using instant = process_clock::time_point;

using namespace std::chrono_literals;

/// \brief Converts a duration to fractional milliseconds.
[[nodiscard]] constexpr double toMilliseconds(duration Duration) noexcept {
  return static_cast<double>(Duration.count()) / 1000.0;
}

/// \brief Converts a duration to fractional seconds.
[[nodiscard]] constexpr double toSeconds(duration Duration) noexcept {
  return static_cast<double>(Duration.count()) / 1'000'000.0;
}

static_assert(toMilliseconds(1500us) == 1.5);

} // namespace bronzespar

/// Structured log on standard output. Lines that do not fit are dropped, so
/// that logging never blocks the event loop.
#pragma once

#include <bronzespar/instant.hpp>
#include <bronzespar/proxy/interface.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bronzespar::serve {

/// \brief Rate limit of one event's log lines, counted per second.
struct line_budget {
  std::int64_t Second = 0;
  unsigned Written = 0;
  std::uint64_t Dropped = 0; ///< Since the event's last line.
};

/// \brief Log of a process.
/// Invariant: Pending holds at most MaxPendingBytes.
struct journal {
  static constexpr std::size_t MaxPendingBytes = std::size_t{256} << 10;
  std::string Host;
  std::string Pending; ///< Formatted, not yet written.
  std::map<std::string_view, line_budget> Budgets;
  std::uint64_t DroppedBytes = 0;
};

/// \brief Makes standard output non-blocking.
void setOutputNonBlocking() noexcept;

/// \brief Adds a line unless its event has used up its budget.
/// \param Now Time of the boot clock, for time differences between lines.
void addLine(journal &Log, const proxy::effects::write_log &Line, instant Now);

/// \brief Writes as much as standard output accepts without blocking.
void flushLines(journal &Log) noexcept;

} // namespace bronzespar::serve

/// Structured log on standard output. Lines are dropped, never waited for.
#pragma once

#include <bronzespar/instant.hpp>
#include <bronzespar/proxy/interface.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bronzespar::serve {

/// \brief Lines of one kind that were written in the present second.
struct line_budget {
  std::int64_t Second = 0;
  unsigned Written = 0;
  std::uint64_t Dropped = 0; ///< Since the last line of this kind.
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
void prepareOutput() noexcept;

/// \brief Adds a line, within the budget of its kind.
/// \param Now Of the process; tells ages apart across lines.
void addLine(journal &Log, const proxy::effects::write_log &Line, instant Now);

/// \brief Writes what standard output takes at once.
void flushLines(journal &Log) noexcept;

} // namespace bronzespar::serve

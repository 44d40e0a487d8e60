/// Model of one row with a single writer: which values a read may show.
#pragma once

#include <load/checker.hpp>

#include <map>
#include <set>
#include <string>

namespace bronzespar::load {

/// \brief Final fate of one write, over all times it was sent.
enum class write_fate { NotRun, Unknown, Acknowledged };

/// \brief One write and its fate. A repeated idempotent write is one write.
struct known_write {
  write_fate Fate = write_fate::NotRun;
  instant AcknowledgedAt = instant::max();
  std::string IdempotencyKey;
};

/// \brief All writes of one row, by sequence.
struct row_writes {
  std::uint32_t Session = 0; ///< The one that writes the row.
  bool Appended = false;     ///< The row is only appended to.
  bool Committed = false;    ///< The row is only written by transactions.
  std::map<std::uint32_t, known_write> Writes;
};

/// \brief Rows of one group by name.
using row_table = std::map<std::string, row_writes>;

/// \brief Collects the writes of each group.
[[nodiscard]] std::map<std::string, row_table>
collectWrites(const history &History);

/// \brief What a row may show its writer next. A write of unknown outcome may
/// take effect at any later moment, but only once.
struct row_view {
  std::uint32_t Shown = 0; ///< Latest acknowledged or read; 0: row is empty.
  bool ShownByRead = false;
  std::set<std::uint32_t> Pending; ///< Unknown and not seen yet.
};

/// \brief Takes in the end of a write.
void applyWrite(row_view &View, std::uint32_t Sequence, write_fate Fate);

/// \brief Takes in a read; tells which promise it breaks, if any.
[[nodiscard]] std::optional<promise>
applyRead(row_view &View, const row_writes &Row, std::uint32_t Sequence);

/// \brief Compares the lines of a row that is appended to with its writes.
/// \param Until Only writes acknowledged up to this moment must be there.
[[nodiscard]] violation_list checkLines(const std::string &Name,
                                        const row_writes &Row,
                                        const std::string &Text, instant Until,
                                        promise Missing);

} // namespace bronzespar::load

/// Log lines in JSON, rate limited for each event.
#include "journal.hpp"

#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace bronzespar::serve {

namespace {

/// Bounds the lines of one event, because under overload writing more would add
/// to the load that they report.
constexpr unsigned MaxLinesPerSecond = 40;
/// Served statements are only sampled; failed ones are logged up to
/// MaxLinesPerSecond.
constexpr unsigned MaxServedLinesPerSecond = 4;
/// Fields may hold what other writers left in the store, of up to a megabyte.
constexpr std::size_t MaxFieldBytes = 1024;

/// Appends a JSON string. Bytes beyond ASCII are escaped one by one, as Text
/// need not be valid UTF-8.
void appendEscaped(std::string &Out, std::string_view Text) {
  Out.push_back('"');
  for (const char Character : Text.substr(0, MaxFieldBytes)) {
    const auto Byte = static_cast<unsigned char>(Character);
    if (Character == '"' || Character == '\\') {
      Out.push_back('\\');
      Out.push_back(Character);
    } else if (Byte < 0x20 || Byte >= 0x7f) {
      char Escape[8];
      std::snprintf(Escape, sizeof Escape, "\\u%04x", Byte);
      Out.append(Escape);
    } else {
      Out.push_back(Character);
    }
  }
  if (Text.size() > MaxFieldBytes)
    Out += "... " + std::to_string(Text.size()) + " bytes";
  Out.push_back('"');
}

void appendField(std::string &Out, std::string_view Name,
                 std::string_view Value) {
  Out.push_back(',');
  appendEscaped(Out, Name);
  Out.push_back(':');
  appendEscaped(Out, Value);
}

std::int64_t wallMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool withinBudget(line_budget &Budget, std::string_view Event, instant Now) {
  const std::int64_t Second = Now.time_since_epoch().count() / 1'000'000;
  if (Second != Budget.Second) {
    Budget.Second = Second;
    Budget.Written = 0;
  }
  const unsigned MaxLines =
      Event == "statement.served" ? MaxServedLinesPerSecond : MaxLinesPerSecond;
  if (Budget.Written >= MaxLines) {
    Budget.Dropped += 1;
    return false;
  }
  Budget.Written += 1;
  return true;
}

} // namespace

void setOutputNonBlocking() noexcept {
  const int Flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (Flags >= 0)
    fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
}

void addLine(journal &Log, const proxy::effects::write_log &Line, instant Now) {
  line_budget &Budget = Log.Budgets[Line.Event];
  if (!withinBudget(Budget, Line.Event, Now))
    return;
  std::string Text = "{\"wall_ms\":" + std::to_string(wallMilliseconds());
  Text += ",\"now_us\":" + std::to_string(Now.time_since_epoch().count());
  appendField(Text, "host", Log.Host);
  appendField(Text, "event", Line.Event);
  for (const proxy::effects::log_field &Field : Line.Fields)
    if (!Field.Value.empty())
      appendField(Text, Field.Name, Field.Value);
  if (Budget.Dropped > 0)
    Text += ",\"dropped_before\":" + std::to_string(Budget.Dropped);
  Budget.Dropped = 0;
  Text += "}\n";
  if (Log.Pending.size() + Text.size() > journal::MaxPendingBytes) {
    Log.DroppedBytes += Text.size();
    return;
  }
  Log.Pending += Text;
}

void flushLines(journal &Log) noexcept {
  while (!Log.Pending.empty()) {
    const ssize_t Written =
        ::write(STDOUT_FILENO, Log.Pending.data(), Log.Pending.size());
    if (Written <= 0)
      return;
    Log.Pending.erase(0, static_cast<std::size_t>(Written));
  }
}

} // namespace bronzespar::serve

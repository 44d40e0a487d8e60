/// Model of one row with a single writer.
#include <load/row_model.hpp>

#include <algorithm>

namespace bronzespar::load {

namespace {

write_fate fateOf(request_end End) {
  switch (End) {
  case request_end::Served:
  case request_end::Ran:
    return write_fate::Acknowledged;
  case request_end::Refused:
    return write_fate::NotRun;
  case request_end::Unknown:
    break;
  }
  return write_fate::Unknown;
}

void collectWrite(row_writes &Row, const request_record &Request,
                  std::uint32_t Sequence) {
  Row.Session = Request.Session;
  Row.Appended = Request.Kind == statement_kind::Append;
  Row.Committed = Request.Kind == statement_kind::Commit;
  known_write &Write = Row.Writes[Sequence];
  const write_fate Fate = fateOf(Request.End);
  Write.Fate = std::max(Write.Fate, Fate);
  Write.IdempotencyKey = Request.IdempotencyKey;
  if (Fate == write_fate::Acknowledged)
    Write.AcknowledgedAt = std::min(Write.AcknowledgedAt, Request.DoneAt);
}

} // namespace

std::map<std::string, row_table> collectWrites(const history &History) {
  std::map<std::string, row_table> Groups;
  for (const request_record &Request : History) {
    for (const row_write &Write : Request.Writes)
      collectWrite(Groups[Request.Group][Write.Row], Request, Write.Sequence);
  }
  return Groups;
}

void applyWrite(row_view &View, std::uint32_t Sequence, write_fate Fate) {
  if (Fate == write_fate::Unknown)
    View.Pending.insert(Sequence);
  if (Fate != write_fate::Acknowledged)
    return;
  View.Pending.erase(Sequence);
  View.Shown = Sequence;
  View.ShownByRead = false;
}

std::optional<promise> applyRead(row_view &View, const row_writes &Row,
                                 std::uint32_t Sequence) {
  if (Sequence == View.Shown)
    return std::nullopt;
  if (View.Pending.erase(Sequence) > 0) {
    View.Shown = Sequence;
    View.ShownByRead = true;
    return std::nullopt;
  }
  const auto Write = Row.Writes.find(Sequence);
  const bool Known = Sequence == 0 || Write != Row.Writes.end();
  if (!Known)
    return promise::OwnAnswers;
  if (Sequence != 0 && Write->second.Fate == write_fate::NotRun)
    return promise::TrueRefusals;
  return View.ShownByRead ? promise::MonotonicReads : promise::ReadYourWrites;
}

violation_list checkLines(const std::string &Name, const row_writes &Row,
                          const std::string &Text, instant Until,
                          promise Missing) {
  violation_list Found;
  std::map<std::uint32_t, std::uint32_t> Counts;
  for (const std::string &Line : splitLines(Text)) {
    const auto Mark = parseMark(Line);
    if (Mark && Mark->Row == Name && Row.Writes.count(Mark->Sequence) > 0) {
      ++Counts[Mark->Sequence];
    } else {
      Found.push_back({promise::OwnAnswers,
                       std::string(Name).append(" holds ").append(Line)});
    }
  }
  for (const auto &[Sequence, Write] : Row.Writes) {
    const std::uint32_t Count = Counts[Sequence];
    const std::string What = Name + " line " + std::to_string(Sequence);
    if (Count > 1) {
      Found.push_back({promise::AppliedOnce,
                       What + " is there " + std::to_string(Count) + " times"});
    }
    if (Count > 0 && Write.Fate == write_fate::NotRun)
      Found.push_back({promise::TrueRefusals, What + " was refused, but ran"});
    if (Count == 0 && Write.AcknowledgedAt <= Until)
      Found.push_back({Missing, What + " was acknowledged, but is missing"});
  }
  return Found;
}

} // namespace bronzespar::load

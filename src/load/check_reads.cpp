/// Checks of reads during the load.
#include <load/row_model.hpp>

#include <algorithm>
#include <tuple>

namespace bronzespar::load {

namespace {

/// Session, group and row.
using view_key = std::tuple<std::uint32_t, std::string, std::string>;

struct read_check {
  std::map<std::string, row_table> Groups;
  std::map<view_key, row_view> Views; ///< Of the session that writes the row.
  /// Values that a session has read of rows that others write.
  std::map<view_key, std::set<std::uint32_t>> Seen;
  violation_list Found;
};

std::string describe(const request_record &Read, std::uint32_t Sequence) {
  return "session " + std::to_string(Read.Session) + " read " + Read.Row +
         " and got write " + std::to_string(Sequence) + " from a " + Read.Role +
         " by " + Read.Host + ", request " + Read.RequestId;
}

/// Latest write that had been acknowledged at a moment.
std::uint32_t acknowledgedBy(const row_writes &Row, instant Moment) {
  std::uint32_t Latest = 0;
  for (const auto &[Sequence, Write] : Row.Writes) {
    if (Write.AcknowledgedAt <= Moment)
      Latest = Sequence;
  }
  return Latest;
}

bool mayComeLate(const row_writes &Row, std::uint32_t Sequence) {
  const auto Write = Row.Writes.find(Sequence);
  return Write != Row.Writes.end() && Write->second.Fate == write_fate::Unknown;
}

void checkAge(read_check &Check, const request_record &Read,
              const row_writes &Row, std::uint32_t Sequence) {
  const std::uint32_t Required =
      acknowledgedBy(Row, Read.SentAt - *Read.MaxAge);
  if (Sequence < Required && !mayComeLate(Row, Sequence)) {
    Check.Found.push_back(
        {promise::BoundedStaleness, describe(Read, Sequence) + ", but write " +
                                        std::to_string(Required) +
                                        " was older than the stated age"});
  }
}

void checkOwnRead(read_check &Check, const request_record &Read,
                  const row_writes &Row, std::uint32_t Sequence) {
  row_view &View = Check.Views[{Read.Session, Read.Group, Read.Row}];
  const std::uint32_t Expected = View.Shown;
  if (const auto Broken = applyRead(View, Row, Sequence)) {
    Check.Found.push_back({*Broken, describe(Read, Sequence) +
                                        ", expected write " +
                                        std::to_string(Expected)});
  }
}

void checkOtherRead(read_check &Check, const request_record &Read,
                    const row_writes &Row, std::uint32_t Sequence) {
  const auto Write = Row.Writes.find(Sequence);
  if (Sequence != 0 && Write == Row.Writes.end()) {
    Check.Found.push_back({promise::OwnAnswers, describe(Read, Sequence)});
    return;
  }
  if (Sequence != 0 && Write->second.Fate == write_fate::NotRun)
    Check.Found.push_back({promise::TrueRefusals, describe(Read, Sequence)});
  if (Read.MaxAge)
    return;
  auto &Seen = Check.Seen[{Read.Session, Read.Group, Read.Row}];
  const bool Older = !Seen.empty() && Sequence < *Seen.rbegin();
  const bool Again = Seen.count(Sequence) > 0;
  if (Older && (Again || !mayComeLate(Row, Sequence))) {
    Check.Found.push_back(
        {promise::MonotonicReads, describe(Read, Sequence) + " after write " +
                                      std::to_string(*Seen.rbegin())});
  }
  if (Older)
    Seen.clear();
  Seen.insert(Sequence);
}

void checkRead(read_check &Check, const request_record &Read) {
  const row_table &Table = Check.Groups[Read.Group];
  const auto Row = Table.find(Read.Row);
  static const row_writes Unwritten;
  const row_writes &Writes = Row == Table.end() ? Unwritten : Row->second;
  const bool Own = Row != Table.end() && Writes.Session == Read.Session;
  if (Writes.Appended) {
    const instant Until = Own ? Read.SentAt : instant::min();
    violation_list Lines = checkLines(Read.Row, Writes, Read.Value, Until,
                                      promise::ReadYourWrites);
    for (violation &Line : Lines)
      Check.Found.push_back(std::move(Line));
    return;
  }
  const auto Mark = parseMark(Read.Value);
  if (!Read.Value.empty() && (!Mark || Mark->Row != Read.Row)) {
    Check.Found.push_back(
        {promise::OwnAnswers, describe(Read, 0) + ", value is " + Read.Value});
    return;
  }
  const std::uint32_t Sequence = Mark ? Mark->Sequence : 0;
  if (Read.MaxAge)
    checkAge(Check, Read, Writes, Sequence);
  if (Own) {
    checkOwnRead(Check, Read, Writes, Sequence);
  } else {
    checkOtherRead(Check, Read, Writes, Sequence);
  }
}

void checkWrite(read_check &Check, const request_record &Request) {
  if (Request.Kind == statement_kind::Append)
    return;
  for (const row_write &Write : Request.Writes) {
    row_view &View = Check.Views[{Request.Session, Request.Group, Write.Row}];
    const bool Acknowledged =
        Request.End == request_end::Served || Request.End == request_end::Ran;
    if (Acknowledged) {
      applyWrite(View, Write.Sequence, write_fate::Acknowledged);
    } else if (Request.End == request_end::Unknown) {
      applyWrite(View, Write.Sequence, write_fate::Unknown);
    }
  }
}

} // namespace

violation_list checkReads(const history &History) {
  read_check Check{collectWrites(History), {}, {}, {}};
  // A session sends its next request after the end of the former one.
  std::vector<const request_record *> InOrder;
  for (const request_record &Request : History)
    InOrder.push_back(&Request);
  std::stable_sort(InOrder.begin(), InOrder.end(),
                   [](const request_record *Left, const request_record *Right) {
                     return Left->SentAt < Right->SentAt;
                   });
  for (const request_record *Request : InOrder) {
    if (!Request->Writes.empty()) {
      checkWrite(Check, *Request);
    } else if (Request->Kind == statement_kind::Read &&
               Request->End == request_end::Served && !Request->InTransaction) {
      checkRead(Check, *Request);
    }
  }
  return std::move(Check.Found);
}

} // namespace bronzespar::load

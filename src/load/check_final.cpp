/// Checks of the state after the load, and of the answers as a whole.
#include <load/row_model.hpp>

#include <algorithm>
#include <unordered_map>

namespace bronzespar::load {

namespace {

struct final_check {
  const row_table &Table;
  const final_rows &Final;
  const std::string &Source;
  violation_list Found;
};

void report(final_check &Check, promise Promise, const std::string &Detail) {
  Check.Found.push_back({Promise, Check.Source + ": " + Detail});
}

std::string valueOf(const final_rows &Final, const std::string &Row) {
  const auto Found = Final.Rows.find(Row);
  return Found == Final.Rows.end() ? std::string() : Found->second;
}

std::uint32_t sequenceOf(const std::string &Value) {
  const auto Mark = parseMark(Value);
  return Mark ? Mark->Sequence : 0;
}

/// The value must be that of the last acknowledged write, or of one whose
/// outcome is unknown.
void checkRegister(final_check &Check, const std::string &Name,
                   const row_writes &Row) {
  const std::string Value = valueOf(Check.Final, Name);
  const auto Mark = parseMark(Value);
  if (!Value.empty() && (!Mark || Mark->Row != Name)) {
    report(Check, promise::OwnAnswers, Name + " holds " + Value);
    return;
  }
  std::uint32_t Last = 0;
  for (const auto &[Sequence, Write] : Row.Writes) {
    if (Write.Fate == write_fate::Acknowledged)
      Last = Sequence;
  }
  const std::uint32_t Shown = Mark ? Mark->Sequence : 0;
  if (Shown == Last)
    return;
  const auto Write = Row.Writes.find(Shown);
  const bool Known = Shown == 0 || Write != Row.Writes.end();
  const std::string What = Name + " holds write " + std::to_string(Shown) +
                           ", last acknowledged is " + std::to_string(Last);
  if (!Known) {
    report(Check, promise::OwnAnswers, What);
  } else if (Shown != 0 && Write->second.Fate == write_fate::NotRun) {
    report(Check, promise::TrueRefusals, What);
  } else if (Shown == 0 || Write->second.Fate == write_fate::Acknowledged) {
    report(Check, promise::DurableWrites, What);
  }
}

void checkLog(final_check &Check, const std::string &Name,
              const row_writes &Row) {
  const instant AnyTime = instant::max() - duration(1);
  for (const violation &Line : checkLines(Name, Row, valueOf(Check.Final, Name),
                                          AnyTime, promise::DurableWrites))
    report(Check, Line.Promise, Line.Detail);
}

void checkApplied(final_check &Check, const row_writes &Row) {
  for (const auto &[Sequence, Write] : Row.Writes) {
    const auto Applied = Check.Final.Applied.find(Write.IdempotencyKey);
    if (Applied == Check.Final.Applied.end())
      continue;
    if (Applied->second > 1) {
      report(Check, promise::AppliedOnce,
             "idempotency key " + Applied->first + " was applied " +
                 std::to_string(Applied->second) + " times");
    }
  }
}

/// Rows that nobody wrote, such as those of a transaction never committed.
void checkUnwritten(final_check &Check) {
  for (const auto &[Name, Value] : Check.Final.Rows) {
    if (Check.Table.count(Name) == 0)
      report(Check, promise::OwnAnswers,
             std::string(Name).append(" holds ").append(Value) +
                 ", but was not written");
  }
}

/// Commits write the same sequence to all rows of their transaction.
void checkCommit(final_check &Check, const request_record &Commit) {
  if (Commit.Writes.empty())
    return;
  const std::string &First = Commit.Writes.front().Row;
  const std::uint32_t Expected = sequenceOf(valueOf(Check.Final, First));
  for (const row_write &Write : Commit.Writes) {
    const std::uint32_t Shown = sequenceOf(valueOf(Check.Final, Write.Row));
    if (Shown != Expected) {
      report(Check, promise::AtomicCommits,
             First + " holds transaction " + std::to_string(Expected) +
                 ", but " + Write.Row + " holds " + std::to_string(Shown));
    }
  }
}

} // namespace

violation_list checkFinalRows(const history &History, const std::string &Group,
                              const final_rows &Final,
                              const std::string &Source) {
  const auto Groups = collectWrites(History);
  const auto Known = Groups.find(Group);
  const row_table Table = Known == Groups.end() ? row_table{} : Known->second;
  final_check Check{Table, Final, Source, {}};
  checkUnwritten(Check);
  for (const auto &[Name, Row] : Check.Table) {
    if (Row.Appended) {
      checkLog(Check, Name, Row);
    } else {
      checkRegister(Check, Name, Row);
    }
    checkApplied(Check, Row);
  }
  std::set<std::string> CheckedRows;
  for (const request_record &Request : History) {
    if (Request.Kind == statement_kind::Commit && Request.Group == Group &&
        !Request.Writes.empty() &&
        CheckedRows.insert(Request.Writes.front().Row).second)
      checkCommit(Check, Request);
  }
  return std::move(Check.Found);
}

violation_list checkAnswers(const history &History) {
  violation_list Found;
  std::unordered_map<std::string, std::uint32_t> Seen;
  for (const request_record &Request : History) {
    if (Request.Cause == UnreadableAnswer) {
      Found.push_back({promise::OwnAnswers, "unreadable answer of " +
                                                Request.Host + ", request " +
                                                Request.RequestId});
    }
    if (Request.RequestId.empty())
      continue;
    if (++Seen[Request.RequestId] == 2) {
      Found.push_back({promise::OwnAnswers, "request id " + Request.RequestId +
                                                " came with two answers"});
    }
  }
  return Found;
}

} // namespace bronzespar::load

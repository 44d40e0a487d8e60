/// State of a stand-in target as checkers see it.
#include <bronzespar/standin/member_state.hpp>

namespace bronzespar::standin {

namespace {

void countKey(count_by_name &Keys, const std::string &Key) {
  if (!Key.empty())
    ++Keys[Key];
}

void countEntry(member_state &State, const log_entry &Entry) {
  countKey(State.Keys, Entry.IdempotencyKey);
  for (const log_write &Write : Entry.Writes) {
    countKey(State.Keys, Write.IdempotencyKey);
    if (Write.Kind == statement_kind::Append)
      ++State.Appended[Write.Row][Write.Value];
  }
}

} // namespace

member_state describeLog(const member_log &Log) {
  member_state State;
  State.Target = Log.Target;
  State.Role = Log.Role;
  State.Term = Log.Term;
  State.Position = lastPosition(Log);
  State.Primary = Log.Primary;
  State.Rows = Log.Rows;
  for (const log_entry &Entry : Log.Entries)
    countEntry(State, Entry);
  return State;
}

} // namespace bronzespar::standin

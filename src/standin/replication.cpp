/// Pulling of log entries by replicas of a stand-in group.
#include <bronzespar/standin/replication.hpp>

#include <algorithm>

namespace bronzespar::standin {

namespace {

void addEnd(std::vector<log_position> &Ends, log_position Position) {
  if (!Ends.empty() && Ends.back().Term == Position.Term) {
    Ends.back() = Position;
    return;
  }
  Ends.push_back(Position);
}

std::size_t sizeOf(const log_entry &Entry) {
  std::size_t Size = Entry.IdempotencyKey.size();
  for (const log_write &Write : Entry.Writes)
    Size += Write.Row.size() + Write.Value.size() + Write.IdempotencyKey.size();
  return Size;
}

std::vector<log_entry> entriesAfter(const member_log &Log, log_position After) {
  std::vector<log_entry> Entries;
  std::size_t Bytes = 0;
  for (std::size_t I = After.Index; I < Log.Entries.size(); ++I) {
    if (Entries.size() >= PullEntryLimit || Bytes >= PullByteLimit)
      break;
    Bytes += sizeOf(Log.Entries[I]);
    Entries.push_back(Log.Entries[I]);
  }
  return Entries;
}

/// Entries follow on Common without a gap and never fall back in term.
bool isSequence(const pull_answer &Answer) {
  log_position Previous = Answer.Common;
  for (const log_entry &Entry : Answer.Entries) {
    if (Entry.Position.Index != Previous.Index + 1 ||
        Entry.Position.Term < Previous.Term ||
        Entry.Position.Term > Answer.Term)
      return false;
    Previous = Entry.Position;
  }
  return true;
}

} // namespace

std::vector<log_position> termEnds(const member_log &Log) {
  std::vector<log_position> Ends;
  std::uint64_t Index = Log.Entries.size();
  while (Index > 0) {
    const log_position End = Log.Entries[Index - 1].Position;
    Ends.push_back(End);
    // Terms never fall along the log, so that each one's start can be searched.
    const auto Start = std::partition_point(
        Log.Entries.begin(), Log.Entries.begin() + static_cast<long>(Index),
        [End](const log_entry &Entry) {
          return Entry.Position.Term < End.Term;
        });
    Index = static_cast<std::uint64_t>(Start - Log.Entries.begin());
  }
  std::reverse(Ends.begin(), Ends.end());
  return Ends;
}

void extendTermEnds(std::vector<log_position> &Ends,
                    const std::vector<log_entry> &Received) {
  for (const log_entry &Entry : Received)
    addEnd(Ends, Entry.Position);
}

log_position commonPosition(const member_log &Log,
                            const std::vector<log_position> &Ends) {
  const std::vector<log_position> Own = termEnds(Log);
  for (auto Theirs = Ends.rbegin(); Theirs != Ends.rend(); ++Theirs) {
    const auto Mine =
        std::find_if(Own.begin(), Own.end(), [&Theirs](log_position End) {
          return End.Term == Theirs->Term;
        });
    if (Mine == Own.end())
      continue;
    return {Mine->Term, std::min(Mine->Index, Theirs->Index)};
  }
  return {};
}

pull_answer answerPull(const member_log &Primary, const pull_request &Request) {
  pull_answer Answer;
  Answer.Term = Primary.Term;
  if (Primary.Role != member_role::Primary || Primary.Term != Request.Term)
    return Answer;
  Answer.Accepted = true;
  Answer.Common = commonPosition(Primary, Request.TermEnds);
  Answer.Entries = entriesAfter(Primary, Answer.Common);
  Answer.Position = lastPosition(Primary);
  return Answer;
}

bool mayWithhold(const pull_answer &Answer,
                 const pull_request &Request) noexcept {
  if (!Answer.Accepted || !Answer.Entries.empty())
    return false;
  const log_position Theirs =
      Request.TermEnds.empty() ? log_position{} : Request.TermEnds.back();
  return Answer.Common == Theirs;
}

bool applyPull(member_log &Replica, const pull_answer &Answer) {
  if (!Answer.Accepted || Answer.Term != Replica.Term ||
      Replica.Role != member_role::Replica)
    return false;
  if (!holdsPosition(Replica, Answer.Common) || !isSequence(Answer))
    return false;
  const log_position Last = lastPosition(Replica);
  if (Last > Answer.Common && Last.Term == Replica.Term)
    return false;
  truncateLog(Replica, Answer.Common);
  for (const log_entry &Entry : Answer.Entries)
    appendEntry(Replica, Entry);
  return true;
}

} // namespace bronzespar::standin

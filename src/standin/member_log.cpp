/// Log of a stand-in target: granting of terms and running of statements.
#include <bronzespar/standin/member_log.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace bronzespar::standin {

namespace {

void applyWrite(std::string &Row, const log_write &Write) {
  if (Write.Kind == statement_kind::Put) {
    Row = Write.Value;
    return;
  }
  if (!Row.empty())
    Row += '\n';
  Row += Write.Value;
}

void noteKey(member_log &Log, const std::string &Key, log_position Position) {
  if (!Key.empty())
    Log.AppliedKeys.emplace(Key, Position);
}

void applyEntry(member_log &Log, const log_entry &Entry) {
  noteKey(Log, Entry.IdempotencyKey, Entry.Position);
  for (const log_write &Write : Entry.Writes) {
    applyWrite(Log.Rows[Write.Row], Write);
    noteKey(Log, Write.IdempotencyKey, Entry.Position);
  }
}

bool isPrimaryIn(const member_log &Log, std::uint64_t Term) noexcept {
  return Log.Role == member_role::Primary && Log.Term == Term;
}

log_position logEntry(member_log &Log, std::string Key,
                      std::vector<log_write> Writes) {
  const log_position Next{Log.Term, lastPosition(Log).Index + 1};
  appendEntry(Log, {Next, std::move(Key), std::move(Writes)});
  return Next;
}

bool applyFence(member_log &Log, const control_request &Request) {
  if (Request.Term == Log.Term)
    return Request.Coordinator == Log.Coordinator;
  if (Request.Term < Log.Term)
    return false;
  Log.Term = Request.Term;
  Log.Coordinator = Request.Coordinator;
  Log.Role = member_role::Fenced;
  return true;
}

bool applyPromote(member_log &Log, const control_request &Request) {
  if (Request.Term != Log.Term || Request.Coordinator != Log.Coordinator)
    return false;
  if (Log.Role == member_role::Primary)
    return true;
  if (Log.Role != member_role::Fenced)
    return false;
  Log.Role = member_role::Primary;
  Log.Primary = Log.Target;
  Log.PrimaryAddress.clear();
  logEntry(Log, {}, {});
  return true;
}

bool mayFollow(const member_log &Log, const control_request &Request) {
  if (Request.Primary.empty() || Request.Primary == Log.Target)
    return false;
  if (Request.Term != Log.Term)
    return Request.Term > Log.Term;
  if (Log.Role == member_role::Primary)
    return false;
  return Log.Role == member_role::Fenced || Log.Primary == Request.Primary;
}

bool applyFollow(member_log &Log, const control_request &Request) {
  if (!mayFollow(Log, Request))
    return false;
  if (Request.Term > Log.Term) {
    Log.Term = Request.Term;
    Log.Coordinator = Request.Coordinator;
  }
  Log.Role = member_role::Replica;
  Log.Primary = Request.Primary;
  Log.PrimaryAddress = Request.PrimaryAddress;
  return true;
}

const log_position *findKey(const member_log &Log, const std::string &Key) {
  if (Key.empty())
    return nullptr;
  const auto Found = Log.AppliedKeys.find(Key);
  return Found == Log.AppliedKeys.end() ? nullptr : &Found->second;
}

bool isBuffered(const transaction_buffer &Transaction, const std::string &Key) {
  if (Key.empty())
    return false;
  return std::any_of(
      Transaction.Writes.begin(), Transaction.Writes.end(),
      [&Key](const log_write &Write) { return Write.IdempotencyKey == Key; });
}

void runRead(const member_log &Log, const transaction_buffer &Transaction,
             const target_request &Request, target_answer &Answer) {
  const auto Found = Log.Rows.find(Request.Row);
  if (Found != Log.Rows.end())
    Answer.Value = Found->second;
  for (const log_write &Write : Transaction.Writes) {
    if (Write.Row == Request.Row)
      applyWrite(Answer.Value, Write);
  }
  Answer.Position = lastPosition(Log);
}

void runRowWrite(member_log &Log, transaction_buffer &Transaction,
                 const target_request &Request, target_answer &Answer) {
  if (const log_position *First = findKey(Log, Request.IdempotencyKey)) {
    Answer.Position = *First;
    return;
  }
  log_write Write{Request.Kind, Request.Row, Request.Value, {}};
  if (!Transaction.Open) {
    Answer.Position = logEntry(Log, Request.IdempotencyKey, {std::move(Write)});
    return;
  }
  if (isBuffered(Transaction, Request.IdempotencyKey))
    return;
  Write.IdempotencyKey = Request.IdempotencyKey;
  Transaction.Writes.push_back(std::move(Write));
}

void runBegin(transaction_buffer &Transaction, const target_request &Request,
              target_answer &Answer) {
  // The status has no word of its own for a second Begin.
  if (Transaction.Open) {
    Answer.Status = target_status::NoTransaction;
    return;
  }
  Transaction = {true, Request.Term, {}};
}

void runCommit(member_log &Log, transaction_buffer &Transaction,
               const target_request &Request, target_answer &Answer) {
  const transaction_buffer Ended = std::exchange(Transaction, {});
  if (const log_position *First = findKey(Log, Request.IdempotencyKey)) {
    Answer.Position = *First;
    return;
  }
  if (!Ended.Open) {
    Answer.Status = target_status::NoTransaction;
    return;
  }
  const bool LogsNothing =
      Ended.Writes.empty() && Request.IdempotencyKey.empty();
  Answer.Position = LogsNothing
                        ? lastPosition(Log)
                        : logEntry(Log, Request.IdempotencyKey, Ended.Writes);
}

void runRollback(transaction_buffer &Transaction, target_answer &Answer) {
  if (!Transaction.Open)
    Answer.Status = target_status::NoTransaction;
  Transaction = {};
}

} // namespace

member_log makeMemberLog(const std::string &Target,
                         const std::string &Primary) {
  member_log Log;
  Log.Target = Target;
  Log.Primary = Primary;
  Log.Term = InitialTerm;
  Log.Role = Target == Primary ? member_role::Primary : member_role::Replica;
  return Log;
}

log_position lastPosition(const member_log &Log) noexcept {
  return Log.Entries.empty() ? log_position{} : Log.Entries.back().Position;
}

bool holdsPosition(const member_log &Log, log_position Position) noexcept {
  if (Position.Index == 0)
    return Position.Term == 0;
  if (Position.Index > Log.Entries.size())
    return false;
  return Log.Entries[Position.Index - 1].Position == Position;
}

void appendEntry(member_log &Log, log_entry Entry) {
  assert(Entry.Position.Index == Log.Entries.size() + 1);
  assert(Entry.Position.Term >= lastPosition(Log).Term);
  applyEntry(Log, Entry);
  Log.Entries.push_back(std::move(Entry));
}

void truncateLog(member_log &Log, log_position Last) {
  assert(holdsPosition(Log, Last));
  if (Last == lastPosition(Log))
    return;
  Log.Entries.resize(Last.Index);
  Log.Rows.clear();
  Log.AppliedKeys.clear();
  for (const log_entry &Entry : Log.Entries)
    applyEntry(Log, Entry);
}

bool applyControl(member_log &Log, const control_request &Request) {
  switch (Request.Kind) {
  case control_kind::Fence:
    return applyFence(Log, Request);
  case control_kind::Promote:
    return applyPromote(Log, Request);
  case control_kind::Follow:
    return applyFollow(Log, Request);
  }
  return false;
}

bool isWrongTerm(const member_log &Log, const transaction_buffer &Transaction,
                 const target_request &Request) noexcept {
  if (Request.Kind == statement_kind::Rollback)
    return false;
  if (Request.Kind == statement_kind::Read && Request.Term == 0)
    return Transaction.Open && !isPrimaryIn(Log, Transaction.Term);
  if (!isPrimaryIn(Log, Request.Term))
    return true;
  return Transaction.Open && Transaction.Term != Request.Term;
}

target_answer runStatement(member_log &Log, transaction_buffer &Transaction,
                           const target_request &Request) {
  target_answer Answer{Request.Id, target_status::Done, {}, {}};
  if (isWrongTerm(Log, Transaction, Request)) {
    Answer.Status = target_status::WrongTerm;
    if (Request.Kind == statement_kind::Commit)
      Transaction = {};
    return Answer;
  }
  switch (Request.Kind) {
  case statement_kind::Read:
    runRead(Log, Transaction, Request, Answer);
    break;
  case statement_kind::Put:
  case statement_kind::Append:
    runRowWrite(Log, Transaction, Request, Answer);
    break;
  case statement_kind::Begin:
    runBegin(Transaction, Request, Answer);
    break;
  case statement_kind::Commit:
    runCommit(Log, Transaction, Request, Answer);
    break;
  case statement_kind::Rollback:
    runRollback(Transaction, Answer);
    break;
  }
  return Answer;
}

} // namespace bronzespar::standin

/// A member of a group as a plain struct.
#include "fake_member.hpp"

namespace bronzespar::test {

namespace {

target_answer refuse(const target_request &Request, target_status Status) {
  return {Request.Id, Status, {}, {}};
}

const fake_entry *findByIdempotencyKey(const fake_member &Member,
                                       const std::string &Key) {
  for (const fake_entry &Entry : Member.Log)
    if (!Key.empty() && Entry.IdempotencyKey == Key)
      return &Entry;
  return nullptr;
}

log_position append(fake_member &Member, std::vector<fake_change> Changes,
                    const std::string &Key) {
  const log_position Position{Member.Term, lastPosition(Member).Index + 1};
  Member.Log.push_back({Position, std::move(Changes), Key});
  return Position;
}

target_answer write(fake_member &Member, fake_connection &Connection,
                    const target_request &Request) {
  const fake_change Change{Request.Row, Request.Value,
                           Request.Kind == statement_kind::Append};
  target_answer Answer{Request.Id, target_status::Done, {}, {}};
  if (Connection.InTransaction) {
    if (Request.Row.substr(0, Connection.RowPrefix.size()) !=
        Connection.RowPrefix)
      Member.Violations.push_back("mixed transaction: " + Request.Row);
    Connection.PendingChanges.push_back(Change);
  } else if (const auto *Known =
                 findByIdempotencyKey(Member, Request.IdempotencyKey)) {
    Answer.Position = Known->Position;
  } else {
    Answer.Position = append(Member, {Change}, Request.IdempotencyKey);
  }
  return Answer;
}

target_answer endTransaction(fake_member &Member, fake_connection &Connection,
                             const target_request &Request) {
  if (!Connection.InTransaction)
    return refuse(Request, target_status::NoTransaction);
  target_answer Answer{Request.Id, target_status::Done, {}, {}};
  if (Request.Kind == statement_kind::Commit)
    Answer.Position =
        append(Member, Connection.PendingChanges, Request.IdempotencyKey);
  Connection = fake_connection();
  return Answer;
}

target_answer begin(const fake_member &Member, fake_connection &Connection,
                    const target_request &Request) {
  Connection = fake_connection();
  Connection.InTransaction = true;
  Connection.RowPrefix = Request.Row;
  return {Request.Id, target_status::Done, {}, lastPosition(Member)};
}

} // namespace

log_position lastPosition(const fake_member &Member) {
  return Member.Log.empty() ? log_position{} : Member.Log.back().Position;
}

std::string readRow(const std::vector<fake_entry> &Log,
                    const std::string &Row) {
  std::string Value;
  for (const fake_entry &Entry : Log)
    for (const fake_change &Change : Entry.Changes)
      if (Change.Row == Row)
        Value = (Change.Append ? Value : std::string()) + Change.Value + ";";
  return Value;
}

target_answer runStatement(fake_member &Member, fake_connection &Connection,
                           const target_request &Request) {
  const bool PlainRead =
      Request.Kind == statement_kind::Read && Request.Term == 0;
  if (!PlainRead &&
      (Member.Role != member_role::Primary || Member.Term != Request.Term))
    return refuse(Request, target_status::WrongTerm);
  switch (Request.Kind) {
  case statement_kind::Read:
    if (Connection.InTransaction && PlainRead)
      Member.Violations.push_back("plain read inside a transaction");
    return {Request.Id, target_status::Done, readRow(Member.Log, Request.Row),
            lastPosition(Member)};
  case statement_kind::Begin:
    return begin(Member, Connection, Request);
  case statement_kind::Put:
  case statement_kind::Append:
    return write(Member, Connection, Request);
  default:
    return endTransaction(Member, Connection, Request);
  }
}

control_answer applyControl(fake_member &Member,
                            const control_request &Request) {
  control_answer Answer;
  switch (Request.Kind) {
  case control_kind::Fence:
    Answer.Granted = Request.Term > Member.Term ||
                     (Request.Term == Member.Term &&
                      Request.Coordinator == Member.Coordinator);
    if (Request.Term > Member.Term) {
      Member.Term = Request.Term;
      Member.Coordinator = Request.Coordinator;
      Member.Role = member_role::Fenced;
    }
    break;
  case control_kind::Promote:
    Answer.Granted = Request.Term == Member.Term &&
                     Request.Coordinator == Member.Coordinator;
    if (Answer.Granted) {
      Member.Role = member_role::Primary;
      Member.Primary = Member.Settings.Id.Value;
    }
    break;
  case control_kind::Follow:
    Answer.Granted =
        Request.Term >= Member.Term &&
        !(Member.Role == member_role::Primary && Request.Term == Member.Term);
    if (Answer.Granted) {
      Member.Term = Request.Term;
      Member.Role = member_role::Replica;
      Member.Primary = Request.Primary;
    }
    break;
  }
  return Answer;
}

member_report makeReport(const fake_member &Member, instant Now) {
  member_report Report;
  Report.Target = Member.Settings.Id.Value;
  Report.Role = Member.Role;
  Report.Term = Member.Term;
  Report.Position = lastPosition(Member);
  Report.PrimaryPosition = Member.Role == member_role::Primary
                               ? Report.Position
                               : Member.PrimaryPosition;
  if (Member.Role != member_role::Primary)
    Report.HeardAgeMs =
        static_cast<std::uint32_t>(toMilliseconds(Now - Member.HeardAt) + 1);
  Report.Primary = Member.Primary;
  Report.Leaving = Member.Leaving;
  return Report;
}

void replicate(const fake_member &Primary, fake_member &Replica, instant Now) {
  if (Primary.Role != member_role::Primary ||
      Replica.Role != member_role::Replica || Replica.Term != Primary.Term ||
      Replica.Primary != Primary.Settings.Id.Value)
    return;
  Replica.Log = Primary.Log;
  Replica.PrimaryPosition = lastPosition(Primary);
  Replica.HeardAt = Now;
}

} // namespace bronzespar::test

/// Callers: what they send and what they are told.
#include "callers.hpp"

#include <algorithm>

namespace bronzespar::test {

namespace {

constexpr duration ThinkTime = 10ms;

std::string rowName(int Session) { return "s" + std::to_string(Session); }

} // namespace

callers::callers(fake_fleet &TestedFleet, int Count, int CallsEach)
    : Fleet(TestedFleet) {
  Fleet.OnAnswer = [this](const host_id &Host, const caller_answer &Answer,
                          caller_ref Caller) {
    answered(Host, Answer, Caller);
  };
  for (int Number = 0; Number < Count; ++Number) {
    session Session;
    Session.Number = Number;
    Session.CallsLeft = CallsEach;
    Sessions.push_back(Session);
    Fleet.schedule(ThinkTime * (Number + 1),
                   [this, Number] { sendNext(Number); });
  }
}

bool callers::isDone() const {
  return std::all_of(Sessions.begin(), Sessions.end(),
                     [](const session &S) {
                       return S.CallsLeft <= 0 && S.Transaction == 0;
                     }) &&
         std::all_of(Calls.begin(), Calls.end(), [](const call &Call) {
           return Call.Answered || Call.EntryHostDied;
         });
}

std::size_t callers::countSucceeded() const {
  return static_cast<std::size_t>(
      std::count_if(Calls.begin(), Calls.end(), [](const call &Call) {
        return Call.Answered && Call.Answer.Cause == refusal_cause::None;
      }));
}

call callers::makeTransactionCall(session &Session) {
  call Call;
  Call.TransactionNumber = Session.Transaction;
  Call.Row = "t" + std::to_string(Session.Transaction) + ".";
  Call.Value = std::to_string(NextValue++);
  switch (Session.TransactionStep++) {
  case 0:
    Call.Kind = statement_kind::Begin;
    break;
  case 1:
    Call.Kind = statement_kind::Append;
    break;
  case 2:
    Call.Kind = statement_kind::Read;
    break;
  case 3:
    Call.Kind = statement_kind::Put;
    Call.Row += "b";
    break;
  default:
    Call.Kind = statement_kind::Commit;
  }
  return Call;
}

call callers::makeCall(session &Session) {
  if (Session.Transaction != 0)
    return makeTransactionCall(Session);
  call Call;
  Call.Row = rowName(Session.Number);
  const auto Choice = Fleet.Random() % 10;
  if (Choice == 0) {
    Session.Transaction = NextTransaction++;
    Session.TransactionStep = 0;
    return makeTransactionCall(Session);
  }
  if (Choice <= 3) {
    Call.Kind = statement_kind::Append;
    Call.Value = std::to_string(NextValue++);
    if (Choice != 1)
      Call.IdempotencyKey = "k" + Call.Value;
    return Call;
  }
  Call.Kind = statement_kind::Read;
  Call.HasMaxAge = Choice >= 8;
  return Call;
}

void callers::sendNext(int Number) {
  session &Session = Sessions.at(static_cast<std::size_t>(Number));
  if (Session.CallsLeft <= 0 && Session.Transaction == 0)
    return;
  --Session.CallsLeft;
  send(Session, makeCall(Session));
}

void callers::send(session &Session, call Call) {
  std::vector<host_id> Live;
  for (const auto &[Id, Host] : Fleet.Hosts)
    if (!Host.Dead && !Host.Stopped)
      Live.push_back(Id);
  Call.Session = Session.Number;
  Call.Host = Live.at(Fleet.Random() % Live.size());
  Call.ExpectedValues = Session.Acknowledged;
  events::request_arrived Event;
  Event.Caller.Value = Calls.size() + 1;
  caller_request &Request = Event.Request;
  Request.Id = request_id("r" + std::to_string(Event.Caller.Value));
  Request.Route = route_id("main");
  Request.Kind = Call.Kind;
  Request.Row = Call.Row;
  Request.Value = Call.Value;
  Request.Key = secret("key-alpha");
  Request.SessionToken = Session.Token;
  Request.IdempotencyKey = Call.IdempotencyKey;
  if (Call.HasMaxAge)
    Request.MaxAge = 200ms;
  if (Call.Kind != statement_kind::Begin)
    Request.Transaction = transaction_id(Session.TransactionId);
  Fleet.scheduleEvent(Call.Host, Event, 1ms);
  Calls.push_back(std::move(Call));
}

void callers::answered(const host_id &, const caller_answer &Answer,
                       caller_ref Caller) {
  call &Call = Calls.at(Caller.Value - 1);
  if (Call.Answered)
    Fleet.Violations.push_back("answered twice: " + Answer.Id.Value);
  if (Answer.Id.Value != "r" + std::to_string(Caller.Value))
    Fleet.Violations.push_back("answer of another request");
  Call.Answered = true;
  Call.Answer = Answer;
  session &Session = Sessions.at(static_cast<std::size_t>(Call.Session));
  updateSession(Session, Call);
  Fleet.schedule(ThinkTime,
                 [this, Number = Call.Session] { sendNext(Number); });
}

void callers::updateSession(session &Session, call &Call) {
  const bool Success = Call.Answer.Cause == refusal_cause::None;
  Session.Token = Call.Answer.SessionToken;
  if (Call.TransactionNumber != 0) {
    if (Call.Kind == statement_kind::Begin)
      Session.TransactionId = Call.Answer.Transaction.Value;
    const bool Over = !Success || Call.Kind == statement_kind::Commit;
    if (Over) {
      Session.Transaction = 0;
      Session.TransactionId.clear();
    }
    return;
  }
  if (Success && Call.Kind == statement_kind::Append)
    Session.Acknowledged.push_back(Call.Value);
}

void callers::hostDied(const host_id &Host) {
  for (call &Call : Calls) {
    if (Call.Host != Host || Call.Answered || Call.EntryHostDied)
      continue;
    Call.EntryHostDied = true;
    session &Session = Sessions.at(static_cast<std::size_t>(Call.Session));
    Session.Transaction = 0;
    Session.TransactionId.clear();
    Fleet.schedule(ThinkTime,
                   [this, Number = Call.Session] { sendNext(Number); });
  }
}

} // namespace bronzespar::test

/// Statement port: connections, slots and transactions.
#include "member.hpp"

#include "standin/messages_json.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace bronzespar::standin {

namespace leaf = boost::leaf;

namespace {

/// Longest wait for a slot before Busy.
constexpr std::chrono::seconds SlotWaitBound{5};
/// How long a leaving member still takes work, until proxies know.
constexpr std::chrono::seconds LeavingGrace{5};
/// A statement takes its time give or take this part of it.
constexpr double StatementSpread = 0.1;

void startStatement(const member_ptr &Member, waiting_statement Statement);

transaction_ptr transactionOf(member &Member,
                              const http_connection &Connection) {
  transaction_ptr &Transaction =
      Member.Transactions[connectionNumber(Connection)];
  if (!Transaction)
    Transaction = std::make_shared<transaction_buffer>();
  return Transaction;
}

void answerStatement(member &Member, const http_connection_ptr &Connection,
                     const target_answer &Answer) {
  if (Answer.Status == target_status::WrongTerm)
    ++Member.Counts.WrongTerm;
  if (Answer.Status == target_status::Busy)
    ++Member.Counts.Busy;
  sendAnswer(Connection, 200, toJson(Answer));
}

void refuse(member &Member, const waiting_statement &Statement,
            target_status Status) {
  answerStatement(Member, Statement.Connection,
                  {Statement.Request.Id, Status, {}, {}});
}

duration statementTime(member &Member) {
  std::uniform_real_distribution<double> Spread(1 - StatementSpread,
                                                1 + StatementSpread);
  const duration Whole = Member.Costs.Statement;
  return duration(static_cast<std::int64_t>(static_cast<double>(Whole.count()) *
                                            Spread(Member.Random)));
}

void startWaiting(const member_ptr &Member) {
  while (Member->Running < Member->Plan.Self.Slots &&
         !Member->Waiting.empty()) {
    waiting_statement Next = std::move(Member->Waiting.front());
    Member->Waiting.pop_front();
    startStatement(Member, std::move(Next));
  }
}

void finishStatement(const member_ptr &Member,
                     const waiting_statement &Statement) {
  --Member->Running;
  const log_position Before = lastPosition(Member->Log);
  const bool Nested = Statement.Request.Kind == statement_kind::Begin &&
                      Statement.Transaction->Open;
  Member->Counts.NestedBegins += Nested ? 1 : 0;
  const target_answer Answer =
      runStatement(Member->Log, *Statement.Transaction, Statement.Request);
  answerStatement(*Member, Statement.Connection, Answer);
  if (lastPosition(Member->Log) != Before)
    stateChanged(Member);
  startWaiting(Member);
}

void startStatement(const member_ptr &Member, waiting_statement Statement) {
  ++Member->Running;
  Statement.Bound = nullptr;
  const auto Timer =
      std::make_shared<boost::asio::steady_timer>(Member->Context);
  Timer->expires_after(statementTime(*Member));
  Timer->async_wait([Member, Timer, Statement = std::move(Statement)](
                        const boost::system::error_code &) {
    finishStatement(Member, Statement);
  });
}

void boundWait(const member_ptr &Member, waiting_statement &Statement) {
  Statement.Bound =
      std::make_shared<boost::asio::steady_timer>(Member->Context);
  Statement.Bound->expires_after(SlotWaitBound);
  Statement.Bound->async_wait([Member, Bound = Statement.Bound.get()](
                                  const boost::system::error_code &Error) {
    if (Error)
      return;
    const auto Found =
        std::find_if(Member->Waiting.begin(), Member->Waiting.end(),
                     [Bound](const waiting_statement &Waiting) {
                       return Waiting.Bound.get() == Bound;
                     });
    if (Found == Member->Waiting.end())
      return;
    refuse(*Member, *Found, target_status::Busy);
    Member->Waiting.erase(Found);
  });
}

/// \returns True if the member no longer takes this statement.
bool refusesAsLeaving(member &Member, const transaction_buffer &Transaction) {
  if (!Member.Leaving || Transaction.Open)
    return false;
  const auto Age = std::chrono::steady_clock::now() - Member.LeavingSince;
  ++Member.Counts.SinceLeaving;
  Member.Counts.LastSinceLeavingMs = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Age).count());
  return Age > LeavingGrace;
}

void takeStatement(const member_ptr &Member,
                   const http_connection_ptr &Connection,
                   target_request Request) {
  ++Member->Counts.Statements;
  waiting_statement Statement{Connection, transactionOf(*Member, *Connection),
                              std::move(Request), nullptr};
  if (refusesAsLeaving(*Member, *Statement.Transaction)) {
    refuse(*Member, Statement, target_status::Leaving);
    return;
  }
  if (isWrongTerm(Member->Log, *Statement.Transaction, Statement.Request)) {
    answerStatement(
        *Member, Connection,
        runStatement(Member->Log, *Statement.Transaction, Statement.Request));
    return;
  }
  if (Member->Running < Member->Plan.Self.Slots) {
    startStatement(Member, std::move(Statement));
    return;
  }
  boundWait(Member, Statement);
  Member->Waiting.push_back(std::move(Statement));
}

void handleRequest(const member_ptr &Member,
                   const http_connection_ptr &Connection,
                   const http_request &Request) {
  if (Request.Method != "POST" || Request.Path != "/statement") {
    sendError(Connection, 404, "only POST /statement is served here");
    return;
  }
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(Parsed, fromJson<target_request>(Request.Body));
        takeStatement(Member, Connection, std::move(Parsed));
        return {};
      },
      [&](const standin_fault &Fault) {
        sendError(Connection, 400, Fault.Reason);
      },
      [&]() { sendError(Connection, 400, "malformed request"); });
}

/// Ends the connection's transaction; a statement that is running keeps its
/// own hold on it.
void connectionClosed(member &Member, const http_connection_ptr &Connection) {
  Member.Transactions.erase(connectionNumber(*Connection));
  Member.Waiting.remove_if([&Connection](const waiting_statement &Waiting) {
    return Waiting.Connection == Connection;
  });
}

} // namespace

void refuseWrongTerms(const member_ptr &Member) {
  std::list<waiting_statement> Refused;
  for (auto Next = Member->Waiting.begin(); Next != Member->Waiting.end();) {
    const auto Statement = Next++;
    if (isWrongTerm(Member->Log, *Statement->Transaction, Statement->Request))
      Refused.splice(Refused.end(), Member->Waiting, Statement);
  }
  for (const waiting_statement &Statement : Refused)
    answerStatement(
        *Member, Statement.Connection,
        runStatement(Member->Log, *Statement.Transaction, Statement.Request));
}

void startStatements(const member_ptr &Member) {
  http_limits Limits;
  Limits.Connections = Member->Plan.Self.Connections;
  Limits.ConnectTime = Member->Costs.Connect;
  http_service Service;
  Service.Handle = [Member](const http_connection_ptr &Connection,
                            const http_request &Request) {
    handleRequest(Member, Connection, Request);
  };
  Service.Closed = [Member](const http_connection_ptr &Connection) {
    connectionClosed(*Member, Connection);
  };
  Service.Refused = [Member] { ++Member->Counts.ConnectionsRefused; };
  Member->Statements =
      startServer(Member->Context, Member->Plan.Self.Statements, Limits,
                  std::move(Service));
}

} // namespace bronzespar::standin

/// Sending of single requests, and the balancer's part: which host gets one.
#include "answers.hpp"
#include "driver.hpp"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/post.hpp>

namespace bronzespar::load {

namespace {

/// Hosts tried for a request as long as none took a connection.
constexpr std::uint32_t MaxConnectTries = 4;
/// Longest wait of a caller beyond the route's deadline.
constexpr duration AnswerSlack = std::chrono::milliseconds(1000);
constexpr duration ProbeTimeout = std::chrono::milliseconds(1000);

struct request_state {
  request_plan Plan;
  request_record Record;
  request_handler Handler;
  std::uint32_t Tries = 0;
};

using request_ptr = std::shared_ptr<request_state>;

/// \returns nullptr when no host is ready.
entry_host *chooseHost(driver &Driver) {
  std::vector<entry_host *> Ready;
  for (entry_host &Host : Driver.Hosts) {
    if (Host.Ready)
      Ready.push_back(&Host);
  }
  if (Ready.empty())
    return nullptr;
  return Ready[Driver.Random() % Ready.size()];
}

std::string keyOf(const driver &Driver, std::uint32_t Account) {
  if (Account == NoAccount)
    return {};
  const auto Key =
      Driver.Run.Keys.find(Driver.Run.Fleet.Accounts[Account].Id.Value);
  return Key == Driver.Run.Keys.end() ? std::string() : Key->second;
}

void addHeader(http_call &Call, const char *Name, std::string Value) {
  if (!Value.empty())
    Call.Headers.emplace_back(Name, std::move(Value));
}

http_call toCall(const driver &Driver, const caller_session &Session,
                 const request_plan &Plan, const entry_host &Host) {
  http_call Call;
  Call.Where = Host.Host.Callers;
  Call.Path = "/v1/routes/" + Plan.Route->Id.Value + '/' +
              boost::algorithm::to_lower_copy(std::string(enumName(Plan.Kind)));
  Call.Body = requestBody(Plan.Row, Plan.Value);
  Call.Timeout = Plan.Route->Deadline + AnswerSlack;
  const std::string Key = keyOf(Driver, Session.Account);
  if (!Key.empty())
    addHeader(Call, "Authorization", "Bearer " + Key);
  addHeader(Call, "Bronzespar-Session", Session.Token);
  addHeader(Call, "Bronzespar-Transaction", Plan.Transaction);
  addHeader(Call, "Idempotency-Key", Plan.IdempotencyKey);
  if (Plan.MaxAge) {
    const auto Age =
        std::chrono::duration_cast<std::chrono::milliseconds>(*Plan.MaxAge);
    addHeader(Call, "Bronzespar-Max-Age-Ms", std::to_string(Age.count()));
  }
  return Call;
}

void finishRequest(driver &Driver, caller_session &Session,
                   const request_ptr &Request, const http_answer &Answer) {
  Request->Record.DoneAt = nowOf(Driver);
  readAnswer(Request->Record, Answer);
  const std::string Token = headerOf(Answer, "Bronzespar-Session");
  if (!Token.empty())
    Session.Token = Token;
  Driver.History.push_back(Request->Record);
  Request->Handler(Request->Record, headerOf(Answer, "Bronzespar-Transaction"));
}

void trySend(driver &Driver, caller_session &Session,
             const request_ptr &Request) {
  entry_host *Host = chooseHost(Driver);
  ++Request->Tries;
  Request->Record.SentAt = nowOf(Driver);
  if (Host == nullptr || Request->Tries > MaxConnectTries) {
    http_answer Nothing;
    Nothing.End = transport_end::NotSent;
    boost::asio::post(Driver.Context, [&Driver, &Session, Request, Nothing] {
      finishRequest(Driver, Session, Request, Nothing);
    });
    return;
  }
  Request->Record.Host = Host->Host.Id.Value;
  Driver.Client.send(
      toCall(Driver, Session, Request->Plan, *Host),
      [&Driver, &Session, Request, Host](const http_answer &Answer) {
        if (Answer.End == transport_end::NotSent) {
          Host->Ready = false;
          trySend(Driver, Session, Request);
          return;
        }
        finishRequest(Driver, Session, Request, Answer);
      });
}

request_record toRecord(const caller_session &Session,
                        const request_plan &Plan) {
  request_record Record;
  Record.Account = Session.Account;
  Record.Session = Session.Id;
  Record.Group = Plan.Route->Group.Value;
  Record.Kind = Plan.Kind;
  Record.MaxAge = Plan.MaxAge;
  Record.InTransaction = Plan.InTransaction;
  Record.Row = Plan.Row;
  Record.Writes = Plan.Writes;
  Record.IdempotencyKey = Plan.IdempotencyKey;
  Record.Deadline = Plan.Route->Deadline;
  return Record;
}

} // namespace

driver::driver(boost::asio::io_context &ForContext, const load_run &ForRun)
    : Context(ForContext), Run(ForRun), Client(ForContext),
      Start(std::chrono::steady_clock::now()),
      Sessions(ForRun.Fleet.Accounts.size() + 1), Random(ForRun.Identity.Seed) {
  for (const load_host &Host : ForRun.Hosts)
    Hosts.push_back({Host, false});
}

instant nowOf(const driver &Driver) {
  return instant(std::chrono::duration_cast<duration>(
      std::chrono::steady_clock::now() - Driver.Start));
}

void sendRequest(driver &Driver, caller_session &Session,
                 const request_plan &Plan, request_handler Handler) {
  auto Request = std::make_shared<request_state>();
  Request->Plan = Plan;
  Request->Record = toRecord(Session, Plan);
  Request->Handler = std::move(Handler);
  trySend(Driver, Session, Request);
}

void probeHosts(driver &Driver, const std::function<void()> &Handler) {
  auto Left = std::make_shared<std::size_t>(Driver.Hosts.size());
  for (entry_host &Host : Driver.Hosts) {
    http_call Call;
    Call.Where = Host.Host.Callers;
    Call.Post = false;
    Call.Path = "/ready";
    Call.Timeout = ProbeTimeout;
    Driver.Client.send(Call, [&Host, Left, Handler](const http_answer &Answer) {
      constexpr unsigned Welcome = 200;
      Host.Ready = Answer.Status == Welcome;
      if (--*Left == 0)
        Handler();
    });
  }
}

} // namespace bronzespar::load

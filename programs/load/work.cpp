/// Pieces of work: which rows a session reads and writes, and in what steps.
#include "driver.hpp"

namespace bronzespar::load {

namespace {

/// Of ten reads of a session, how many are of rows that another one writes.
constexpr std::uint32_t ForeignReadTenths = 2;
/// The same for reads that accept data of a stated age.
constexpr std::uint32_t ForeignAgedReadTenths = 7;
/// Every how many transactions one is rolled back.
constexpr std::uint32_t RollbackEvery = 6;
/// Pause before a failed idempotent write is repeated.
constexpr auto RepeatPause = std::chrono::milliseconds(100);

constexpr const char *Register = "register";
constexpr const char *Log = "log";
constexpr const char *Debit = "debit";
constexpr const char *Credit = "credit";

std::string accountName(const driver &Driver, std::uint32_t Account) {
  return Account == NoAccount ? "open"
                              : Driver.Run.Fleet.Accounts[Account].Id.Value;
}

std::string rowName(const driver &Driver, std::uint32_t Account,
                    std::uint32_t Number, const char *Kind) {
  return accountName(Driver, Account) + "/s" + std::to_string(Number) + '/' +
         Kind;
}

std::string ownRow(const driver &Driver, const caller_session &Session,
                   const char *Kind) {
  return rowName(Driver, Session.Account, Session.Number, Kind);
}

std::uint32_t nextSequence(caller_session &Session, const std::string &Group,
                           const std::string &Row) {
  return ++Session.Sequences[{Group, Row}];
}

bool mayUse(const route_settings &Route, const driver &Driver,
            std::uint32_t Account) {
  if (Account == NoAccount)
    return Route.Open;
  if (Route.Open)
    return false;
  const account_id &Id = Driver.Run.Fleet.Accounts[Account].Id;
  for (const account_id &Permitted : Route.Accounts) {
    if (Permitted == Id || Permitted.Value == "*")
      return true;
  }
  return false;
}

/// \returns nullptr when the account may use no route.
const route_settings *chooseRoute(const driver &Driver,
                                  const planned_work &Work) {
  std::vector<const route_settings *> Routes;
  for (const route_settings &Route : Driver.Run.Fleet.Routes) {
    if (mayUse(Route, Driver, Work.Account))
      Routes.push_back(&Route);
  }
  if (Routes.empty())
    return nullptr;
  return Routes[Work.RandomRoute % Routes.size()];
}

std::deque<caller_session> &sessionsOf(driver &Driver, std::uint32_t Account) {
  if (Account == NoAccount)
    return Driver.Sessions.back();
  return Driver.Sessions[Account];
}

void addSession(driver &Driver, std::uint32_t Account) {
  auto &Sessions = sessionsOf(Driver, Account);
  caller_session Session;
  Session.Id = Driver.NextSession++;
  Session.Account = Account;
  Session.Number = static_cast<std::uint32_t>(Sessions.size());
  Sessions.push_back(std::move(Session));
}

/// The planned session, or the next one after it that is not busy.
caller_session &idleSession(driver &Driver, const planned_work &Work) {
  auto &Sessions = sessionsOf(Driver, Work.Account);
  while (Sessions.size() < Driver.Run.Load.SessionsPerAccount)
    addSession(Driver, Work.Account);
  for (std::size_t Step = 0; Step < Sessions.size(); ++Step) {
    caller_session &Session = Sessions[(Work.Session + Step) % Sessions.size()];
    if (!Session.Busy)
      return Session;
  }
  addSession(Driver, Work.Account);
  return Sessions.back();
}

void endWork(driver &Driver, caller_session &Session) {
  Session.Busy = false;
  --Driver.Working;
}

/// One request, after which the work is done.
void sendLast(driver &Driver, caller_session &Session,
              const request_plan &Plan) {
  sendRequest(Driver, Session, Plan,
              [&](const request_record &, const std::string &) {
                endWork(Driver, Session);
              });
}

void read(driver &Driver, caller_session &Session, const planned_work &Work,
          request_plan Plan) {
  const bool Aged = Work.Kind == work_kind::AgedRead;
  const std::uint32_t Foreign =
      Aged ? ForeignAgedReadTenths : ForeignReadTenths;
  const std::uint32_t Choice = Work.RandomRow / 16;
  if (Work.RandomRow % 10 < Foreign) {
    const std::uint32_t Other = Choice % Driver.Run.Load.SessionsPerAccount;
    Plan.Row = rowName(Driver, Session.Account, Other, Register);
  } else {
    constexpr std::array<const char *, 4> Rows{Register, Log, Debit, Credit};
    Plan.Row = ownRow(Driver, Session, Rows[Choice % Rows.size()]);
  }
  if (Aged)
    Plan.MaxAge = Driver.Run.Load.MaxAge;
  sendLast(Driver, Session, Plan);
}

void repeatLater(driver &Driver, caller_session &Session,
                 const request_plan &Plan) {
  auto Timer =
      std::make_shared<boost::asio::steady_timer>(Driver.Context, RepeatPause);
  Timer->async_wait([&Driver, &Session, Plan, Timer](const auto &) {
    sendLast(Driver, Session, Plan);
  });
}

bool isRepeatable(const request_record &Record) {
  const bool Failed =
      Record.End == request_end::Unknown || Record.End == request_end::Refused;
  return Failed && !Record.IdempotencyKey.empty();
}

void write(driver &Driver, caller_session &Session, const planned_work &Work,
           request_plan Plan) {
  const bool Appends = Work.Kind == work_kind::Append ||
                       Work.Kind == work_kind::IdempotentAppend;
  const bool Idempotent = Work.Kind == work_kind::IdempotentPut ||
                          Work.Kind == work_kind::IdempotentAppend;
  Plan.Kind = Appends ? statement_kind::Append : statement_kind::Put;
  Plan.Row = ownRow(Driver, Session, Appends ? Log : Register);
  const std::uint32_t Sequence =
      nextSequence(Session, Plan.Route->Group.Value, Plan.Row);
  Plan.Value = formatMark({Session.Id, Sequence, Plan.Row});
  Plan.Writes = {{Plan.Row, Sequence}};
  if (Idempotent)
    Plan.IdempotencyKey = "load-" + std::to_string(Driver.NextKey++);
  sendRequest(Driver, Session, Plan,
              [&Driver, &Session, Plan](const request_record &Record,
                                        const std::string &) {
                if (isRepeatable(Record))
                  repeatLater(Driver, Session, Plan);
                else
                  endWork(Driver, Session);
              });
}

/// Steps of one transaction after its begin.
struct transaction {
  request_plan Plan; ///< Route and transaction id of each step.
  std::vector<row_write> Writes;
  std::size_t Next = 0; ///< Of Writes, to be put.
  bool RollsBack = false;
};

void endTransaction(driver &Driver, caller_session &Session, transaction Steps,
                    bool Commits) {
  Steps.Plan.Kind = Commits ? statement_kind::Commit : statement_kind::Rollback;
  if (Commits)
    Steps.Plan.Writes = Steps.Writes;
  sendLast(Driver, Session, Steps.Plan);
}

void putNext(driver &Driver, caller_session &Session, transaction Steps) {
  if (Steps.Next == Steps.Writes.size()) {
    endTransaction(Driver, Session, Steps, !Steps.RollsBack);
    return;
  }
  const row_write &Write = Steps.Writes[Steps.Next++];
  request_plan Put = Steps.Plan;
  Put.Kind = statement_kind::Put;
  Put.Row = Write.Row;
  Put.Value = formatMark({Session.Id, Write.Sequence, Write.Row});
  sendRequest(Driver, Session, Put,
              [&Driver, &Session, Steps](const request_record &Record,
                                         const std::string &) {
                if (Record.End == request_end::Served)
                  putNext(Driver, Session, Steps);
                else
                  endTransaction(Driver, Session, Steps, false);
              });
}

void transact(driver &Driver, caller_session &Session, const planned_work &Work,
              request_plan Plan) {
  transaction Steps;
  Plan.InTransaction = true;
  Steps.RollsBack = Work.RandomRow % RollbackEvery == 0;
  for (const char *Kind : {Debit, Credit}) {
    const std::string Row = ownRow(Driver, Session, Kind);
    Steps.Writes.push_back(
        {Row, nextSequence(Session, Plan.Route->Group.Value, Row)});
  }
  Plan.Kind = statement_kind::Begin;
  sendRequest(Driver, Session, Plan,
              [&Driver, &Session, Steps, Plan](const request_record &Record,
                                               const std::string &Id) {
                if (Record.End != request_end::Served || Id.empty()) {
                  endWork(Driver, Session);
                  return;
                }
                transaction Begun = Steps;
                Begun.Plan = Plan;
                Begun.Plan.Transaction = Id;
                putNext(Driver, Session, Begun);
              });
}

} // namespace

void runWork(driver &Driver, const planned_work &Work) {
  request_plan Plan;
  Plan.Route = chooseRoute(Driver, Work);
  if (Plan.Route == nullptr)
    return;
  caller_session &Session = idleSession(Driver, Work);
  Session.Busy = true;
  ++Driver.Working;
  switch (Work.Kind) {
  case work_kind::SessionRead:
  case work_kind::AgedRead:
    read(Driver, Session, Work, Plan);
    break;
  case work_kind::Put:
  case work_kind::IdempotentPut:
  case work_kind::Append:
  case work_kind::IdempotentAppend:
    write(Driver, Session, Work, Plan);
    break;
  case work_kind::Transaction:
    transact(Driver, Session, Work, Plan);
    break;
  }
}

} // namespace bronzespar::load

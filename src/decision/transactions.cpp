/// Transactions on their host: begin, membership of statements, loss.
#include "transactions.hpp"
#include "bounds.hpp"
#include "pools.hpp"
#include "runs.hpp"

#include <algorithm>
#include <cstdio>

namespace bronzespar::impl {

namespace {

transaction_id makeTransactionId(host_state &State, std::uint64_t Number) {
  char Nonce[20];
  std::snprintf(Nonce, sizeof Nonce, "%016llx",
                static_cast<unsigned long long>(State.Random()));
  return transaction_id(State.Self.Id.Value + "." + std::to_string(Number) +
                        "." + Nonce);
}

open_transaction *findTransaction(host_state &State, const transaction_id &Id) {
  for (auto &[Number, Transaction] : State.Transactions)
    if (Transaction.Id == Id)
      return &Transaction;
  return nullptr;
}

bool wasLost(const host_state &State, const transaction_id &Id) {
  return std::find(State.LostTransactions.begin(), State.LostTransactions.end(),
                   Id) != State.LostTransactions.end();
}

/// A commit that finds no transaction may have run before, unless the
/// transaction is known to have been lost while open.
void refuseUnknownTransaction(context &Context, statement_run &Run) {
  if (wasLost(Context.State, Run.Request.Transaction)) {
    refuseRun(Context, Run, refusal_cause::TransactionLost,
              "The transaction was rolled back.");
    return;
  }
  if (Run.Request.Kind != statement_kind::Commit) {
    refuseRun(Context, Run, refusal_cause::TransactionUnknown,
              "No such transaction is open.");
    return;
  }
  Run.Cause = refusal_cause::TransactionUnknown;
  Run.Detail = "No such transaction is open; it may have been committed.";
  dispatchRunEvent(Context, Run, run_event::ConnectionLost);
}

void openTransaction(context &Context, statement_run &Run,
                     pooled_connection &Connection) {
  host_state &State = Context.State;
  open_transaction Transaction;
  Transaction.Number = State.NextNumber++;
  Transaction.Id = makeTransactionId(State, Transaction.Number);
  Transaction.Account = Run.Request.Account;
  Transaction.Group = Run.Request.Group;
  Transaction.Target = Run.Request.Target;
  Transaction.Term = Run.Request.Term;
  Transaction.Connection = Connection.Ref;
  Transaction.LastUsed = Context.Now;
  Connection.Transaction = Transaction.Number;
  Run.Request.Transaction = Transaction.Id;
  ++State.Pools.at(Connection.Target).OpenTransactions;
  State.Transactions.emplace(Transaction.Number, std::move(Transaction));
}

void closeTransaction(context &Context, pooled_connection &Connection) {
  host_state &State = Context.State;
  State.Transactions.erase(Connection.Transaction);
  --State.Pools.at(Connection.Target).OpenTransactions;
  Connection.Transaction = 0;
}

} // namespace

std::optional<host_id> hostOfTransaction(const transaction_id &Transaction) {
  const std::string &Text = Transaction.Value;
  const std::size_t NonceDot = Text.rfind('.');
  if (NonceDot == std::string::npos || NonceDot == 0)
    return std::nullopt;
  const std::size_t NumberDot = Text.rfind('.', NonceDot - 1);
  if (NumberDot == std::string::npos || NumberDot == 0)
    return std::nullopt;
  return host_id(Text.substr(0, NumberDot));
}

bool joinTransaction(context &Context, statement_run &Run) {
  open_transaction *Transaction =
      findTransaction(Context.State, Run.Request.Transaction);
  if (Transaction == nullptr || Transaction->Account != Run.Request.Account ||
      Transaction->Group != Run.Request.Group) {
    refuseUnknownTransaction(Context, Run);
    return false;
  }
  if (Transaction->Run != 0) {
    refuseRun(Context, Run, refusal_cause::QueueFull,
              "Another statement of the transaction is under way.");
    return false;
  }
  Transaction->Run = Run.Number;
  Transaction->LastUsed = Context.Now;
  Run.Transaction = Transaction->Number;
  Run.Request.Target = Transaction->Target;
  Run.Request.Term = Transaction->Term;
  return true;
}

bool hasTransactionCapacity(const target_pool &Pool) {
  const std::uint32_t Connections = Pool.Target.Connections;
  const std::uint32_t Slots = Pool.Target.Slots;
  const std::uint32_t Limit =
      Connections > Slots ? Connections - Slots : std::uint32_t{1};
  return Pool.OpenTransactions + Pool.BeginsAdmitted < Limit;
}

bool updateTransaction(context &Context, statement_run &Run,
                       pooled_connection &Connection,
                       const target_answer &Answer) {
  const bool Done = Answer.Status == target_status::Done;
  if (Run.Transaction == 0) {
    if (Run.Request.Kind == statement_kind::Begin && Done)
      openTransaction(Context, Run, Connection);
    return true;
  }
  open_transaction &Transaction =
      Context.State.Transactions.at(Run.Transaction);
  Transaction.Run = 0;
  Transaction.LastUsed = Context.Now;
  const bool Ends = Run.Request.Kind == statement_kind::Commit ||
                    Run.Request.Kind == statement_kind::Rollback;
  if (Done && Ends)
    closeTransaction(Context, Connection);
  return Done || Answer.Status == target_status::Busy;
}

void loseTransaction(context &Context, std::uint64_t Number) {
  host_state &State = Context.State;
  const auto Found = State.Transactions.find(Number);
  if (Found == State.Transactions.end())
    return;
  const open_transaction Lost = Found->second;
  State.Transactions.erase(Found);
  --State.Pools.at(Lost.Target).OpenTransactions;
  State.LostTransactions.push_back(Lost.Id);
  if (State.LostTransactions.size() > MaxLostTransactions)
    State.LostTransactions.pop_front();
  const auto Run = State.Runs.find(Lost.Run);
  if (Run != State.Runs.end())
    dispatchRunEvent(Context, Run->second, run_event::TransactionLost);
}

void endSupersededTransactions(context &Context, const group_id &Group) {
  host_state &State = Context.State;
  const std::uint64_t Term = majorityTerm(State.Groups.at(Group));
  std::vector<connection_ref> Doomed;
  for (const auto &[Number, Transaction] : State.Transactions)
    if (Transaction.Group == Group && Transaction.Term < Term)
      Doomed.push_back(Transaction.Connection);
  for (const connection_ref Ref : Doomed)
    dispatchConnectionEvent(Context, State.Connections.at(Ref),
                            connection_event::Retired);
}

void tickTransactions(context &Context) {
  host_state &State = Context.State;
  std::vector<connection_ref> Expired;
  for (const auto &[Number, Transaction] : State.Transactions)
    if (Transaction.Run == 0 &&
        Context.Now - Transaction.LastUsed >= TransactionIdleTimeout)
      Expired.push_back(Transaction.Connection);
  for (const connection_ref Ref : Expired)
    dispatchConnectionEvent(Context, State.Connections.at(Ref),
                            connection_event::Retired);
}

} // namespace bronzespar::impl

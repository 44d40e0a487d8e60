/// Transactions: each reserves (pins) one connection at the primary's pool
/// owner.
#pragma once

#include "state.hpp"

#include <optional>

namespace bronzespar::impl {

/// \brief Host that a transaction id names as the one holding the transaction.
/// \returns Nothing if the id is malformed.
[[nodiscard]] std::optional<host_id>
hostOfTransaction(const transaction_id &Transaction);

/// \brief Assigns a run to the open transaction that its request names, with
/// that transaction's target and term.
/// \returns False if the run was refused.
[[nodiscard]] bool joinTransaction(context &Context, statement_run &Run);

/// \brief True if the target's pool can pin one more connection.
[[nodiscard]] bool hasTransactionCapacity(const target_pool &Pool);

/// \brief Updates transaction state after the answer to a statement: a Begin
/// that was run opens a transaction, a Commit or Rollback closes it.
/// \returns False if the state of the connection's transaction is uncertain;
/// the connection must then be closed.
[[nodiscard]] bool updateTransaction(context &Context, statement_run &Run,
                                     pooled_connection &Connection,
                                     const target_answer &Answer);

/// \brief Ends a transaction whose connection was closed; the target rolls it
/// back.
void loseTransaction(context &Context, std::uint64_t Number);

/// \brief Ends the group's transactions of superseded terms.
void endSupersededTransactions(context &Context, const group_id &Group);

/// \brief Ends transactions that have been idle for TransactionIdleTimeout, by
/// closing their connections.
void tickTransactions(context &Context);

} // namespace bronzespar::impl

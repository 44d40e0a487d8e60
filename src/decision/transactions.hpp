/// Transactions: each pins one connection at the primary's pool owner.
#pragma once

#include "state.hpp"

#include <optional>

namespace bronzespar::impl {

/// \brief Host named in a transaction's id; nothing if it is malformed.
[[nodiscard]] std::optional<host_id>
hostOfTransaction(const transaction_id &Transaction);

/// \brief Binds a run to its open transaction.
/// \returns False when the run was refused.
[[nodiscard]] bool joinTransaction(context &Context, statement_run &Run);

/// \brief True while the target's pool can pin one more connection.
[[nodiscard]] bool hasTransactionCapacity(const target_pool &Pool);

/// \brief Opens or ends the transaction that an answer opened or ended.
/// \returns False when the connection can no longer be trusted.
[[nodiscard]] bool updateTransaction(context &Context, statement_run &Run,
                                     pooled_connection &Connection,
                                     const target_answer &Answer);

/// \brief The connection is gone, and the transaction with it.
void loseTransaction(context &Context, std::uint64_t Number);

/// \brief Ends transactions of terms that are over.
void endSupersededTransactions(context &Context, const group_id &Group);

/// \brief Rolls back transactions that were left idle.
void tickTransactions(context &Context);

} // namespace bronzespar::impl

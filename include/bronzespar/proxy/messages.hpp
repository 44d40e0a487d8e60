/// Statements of callers and the answers to them as typed values. Only the
/// codec knows their text form on a connection.
#pragma once

#include <bronzespar/enum_table.hpp>
#include <bronzespar/instant.hpp>
#include <bronzespar/log_position.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzespar::proxy {

/// \brief Operation that a statement requests.
enum class statement_kind {
  Begin,     ///< Opens a transaction that may write.
  BeginRead, ///< Opens a transaction that only reads.
  Commit,
  Rollback,
  Read,
  Write,
  SetValue,    ///< Sets a session value.
  Prepare,     ///< Stores a statement template under a name.
  Execute,     ///< Runs a prepared statement.
  Deallocate,  ///< Removes a prepared statement.
  ResetValues, ///< Clears a connection's values and prepared statements.
  Status,      ///< Asks a target for its role, term and position.
  Unknown      ///< Text that is not a valid statement.
};
BOOST_DESCRIBE_ENUM(statement_kind, Begin, BeginRead, Commit, Rollback, Read,
                    Write, SetValue, Prepare, Execute, Deallocate, ResetValues,
                    Status, Unknown)

/// \brief A parsed statement together with its original text.
struct statement {
  statement_kind Kind = statement_kind::Unknown;
  std::string Text; ///< As the caller sent it and as targets receive it.
  std::string Name; ///< Of the session value or prepared statement.
  /// Session value, statement template, or arguments of Execute.
  std::string Operand;
  bool Writes = false; ///< Write, or Prepare of a template that writes.
};

/// \brief Outcome of a statement.
enum class answer_code {
  Complete,
  Busy,        ///< Not run; the caller may retry later.
  Aborted,     ///< The whole transaction was rolled back.
  Lagging,     ///< Not run: the replica lacks the required position.
  ReadOnly,    ///< Not run: the target is not a primary.
  WrongTarget, ///< Not run: another target listens at this address.
  TooManyConnections,
  Failed, ///< Run, but failed.
  UnknownName,
  TimedOut,
  Denied,
  UnknownDatabase,
  TooLarge,
  Malformed,
  InDoubt ///< May or may not have been run.
};
BOOST_DESCRIBE_ENUM(answer_code, Complete, Busy, Aborted, Lagging, ReadOnly,
                    WrongTarget, TooManyConnections, Failed, UnknownName,
                    TimedOut, Denied, UnknownDatabase, TooLarge, Malformed,
                    InDoubt)

/// \brief State of a session between statements.
enum class session_phase { Idle, InTransaction, Failed };
BOOST_DESCRIBE_ENUM(session_phase, Idle, InTransaction, Failed)

/// \brief Answer to one statement, from a target or to a caller.
struct answer {
  answer_code Code = answer_code::Complete;
  std::string Text; ///< Signature of the target, or the cause of a failure.
  std::vector<std::string> Rows;
  session_phase Phase = session_phase::Idle;
  std::optional<log_position> Position; ///< Of the target's log.
  /// Time that statements take at the target now, as its connection owner
  /// knows it; waiting included.
  std::optional<duration> Pace = std::nullopt;
};

/// \brief A statement that is sent to a target.
struct outgoing_statement {
  /// The caller's request id; empty for statements that the host adds.
  std::string Id;
  /// A target whose log lacks this position refuses the statement.
  std::optional<log_position> RequiredPosition;
  statement Statement;
};

/// \brief True when the code guarantees that the statement was not run.
[[nodiscard]] constexpr bool isNotRun(answer_code Code) noexcept {
  switch (Code) {
  case answer_code::Busy:
  case answer_code::Lagging:
  case answer_code::ReadOnly:
  case answer_code::WrongTarget:
  case answer_code::TooManyConnections:
  case answer_code::UnknownName:
    return true;
  default:
    return false;
  }
}
static_assert(isNotRun(answer_code::Busy) && !isNotRun(answer_code::Failed));

/// \brief Replication status that a target reports.
struct target_status {
  bool IsPrimary = false;
  log_position Received; ///< Last position received, with its term.
  std::uint64_t Term = 0;
};

} // namespace bronzespar::proxy

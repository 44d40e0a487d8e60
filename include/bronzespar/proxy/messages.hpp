/// What callers ask in a session and what they and targets are answered, as
/// typed values. Their spelling on a connection is known to the codec alone.
#pragma once

#include <bronzespar/enum_table.hpp>
#include <bronzespar/instant.hpp>
#include <bronzespar/log_position.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzespar::proxy {

/// \brief What one statement asks for.
enum class statement_kind {
  Begin,     ///< Opens a transaction that may write.
  BeginRead, ///< Opens a transaction that only reads.
  Commit,
  Rollback,
  Read,
  Write,
  SetValue,    ///< Sets a session value.
  Prepare,     ///< Gives a statement shape a name.
  Execute,     ///< Runs a prepared shape.
  Deallocate,  ///< Forgets a prepared name.
  ResetValues, ///< Drops values and prepared names of a connection.
  Status,      ///< Asks a target for its role, term and position.
  Unknown      ///< A text that is no statement.
};
BOOST_DESCRIBE_ENUM(statement_kind, Begin, BeginRead, Commit, Rollback, Read,
                    Write, SetValue, Prepare, Execute, Deallocate, ResetValues,
                    Status, Unknown)

/// \brief A statement, with its text as the caller wrote it.
struct statement {
  statement_kind Kind = statement_kind::Unknown;
  std::string Text;    ///< Unchanged; reads and writes are passed on with it.
  std::string Name;    ///< Of the value or of the prepared shape.
  std::string Operand; ///< Value, shape, or arguments of the prepared shape.
  bool Writes = false; ///< Write, or Prepare of a shape that writes.
};

/// \brief How a statement ended.
enum class answer_code {
  Complete,
  Busy,        ///< Not run; may be asked again later.
  Aborted,     ///< The transaction is rolled back; nothing is kept.
  Lagging,     ///< Not run: the replica lacks the wanted position.
  ReadOnly,    ///< Not run: the target is no primary.
  WrongTarget, ///< Not run: another target answers at this address.
  TooManyConnections,
  Failed, ///< Run, and failed.
  UnknownName,
  TimedOut,
  Denied,
  UnknownDatabase,
  TooLarge,
  Malformed,
  InDoubt ///< May have been run; nothing is promised.
};
BOOST_DESCRIBE_ENUM(answer_code, Complete, Busy, Aborted, Lagging, ReadOnly,
                    WrongTarget, TooManyConnections, Failed, UnknownName,
                    TimedOut, Denied, UnknownDatabase, TooLarge, Malformed,
                    InDoubt)

/// \brief Where a session stands between statements.
enum class session_phase { Idle, InTransaction, Failed };
BOOST_DESCRIBE_ENUM(session_phase, Idle, InTransaction, Failed)

/// \brief Answer to one statement, of a target or to a caller.
struct answer {
  answer_code Code = answer_code::Complete;
  std::string Text; ///< Signature of the target, or what went wrong.
  std::vector<std::string> Rows;
  session_phase Phase = session_phase::Idle;
  std::optional<log_position> Position; ///< Of the target's log.
};

/// \brief A statement on its way to a target.
struct outgoing_statement {
  std::string Id; ///< The caller's request id; empty for the host's own.
  std::optional<log_position>
      RequiredPosition; ///< Refused by a log that lacks it.
  statement Statement;
};

/// \brief True when the code promises that the statement was not run.
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

/// \brief What a target says of itself.
struct target_status {
  bool IsPrimary = false;
  log_position Received; ///< Last position received, with its term.
  std::uint64_t Term = 0;
};

} // namespace bronzespar::proxy

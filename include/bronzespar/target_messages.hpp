/// Messages between a host and a member of a database group. They travel as
/// JSON objects over HTTP/1.1, with the names of the structs' members as keys.
///
/// | request                | body              | answer          |
/// |------------------------|-------------------|-----------------|
/// | POST /statement        | target_request    | target_answer   |
/// | POST /report           | report_request    | member_report   |
/// | POST /control          | control_request   | control_answer  |
///
/// /statement counts against the member's connection and slot limits. /report
/// and /control are served on a separate maintenance port, so that the member's
/// state stays visible when its connections are exhausted.
#pragma once

#include <bronzespar/enum_table.hpp>
#include <bronzespar/log_position.hpp>

#include <boost/describe/class.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace bronzespar {

/// \brief Kind of statement.
enum class statement_kind {
  Read,    ///< Returns a row's value.
  Put,     ///< Replaces a row's value.
  Append,  ///< Appends a line to a row's value; a repeated run is visible.
  Begin,   ///< Opens a transaction on this connection.
  Commit,  ///< Applies the transaction's writes atomically.
  Rollback ///< Discards the transaction's writes.
};
BOOST_DESCRIBE_ENUM(statement_kind, Read, Put, Append, Begin, Commit, Rollback)

/// \brief True for statements that change rows.
[[nodiscard]] constexpr bool isWrite(statement_kind Kind) noexcept {
  return Kind == statement_kind::Put || Kind == statement_kind::Append ||
         Kind == statement_kind::Commit;
}

/// \brief One statement sent to a member.
struct target_request {
  std::string Id; ///< Returned in the answer; unique for each attempt.
  statement_kind Kind = statement_kind::Read;
  std::string Row;
  std::string Value;
  /// Term in which the sender believes this member is primary. The member
  /// refuses a write with WrongTerm unless it is primary in exactly this term.
  /// 0 for reads outside a transaction.
  std::uint64_t Term = 0;
  /// A write with a key that was applied before is not applied again; the
  /// answer then contains the position of the first application. Empty for
  /// none.
  std::string IdempotencyKey;
  std::string Account; ///< For the target's accounting; never an API key.
};
BOOST_DESCRIBE_STRUCT(target_request, (),
                      (Id, Kind, Row, Value, Term, IdempotencyKey, Account))

/// \brief Result of a statement at a member.
enum class target_status {
  Done,          ///< Ran; a write is in the member's log at Position.
  WrongTerm,     ///< Not run: the member is not primary in the given term.
  Busy,          ///< Not run: no slot became free within the member's limit.
  NoTransaction, ///< Not run: no transaction is open on this connection.
  Leaving        ///< Not run: the member accepts no new work.
};
BOOST_DESCRIBE_ENUM(target_status, Done, WrongTerm, Busy, NoTransaction,
                    Leaving)

struct target_answer {
  std::string Id; ///< Id of the answered request.
  target_status Status = target_status::Done;
  std::string Value;
  /// For writes, the log position of the change; for reads, the log position at
  /// which the value was read.
  log_position Position;
};
BOOST_DESCRIBE_STRUCT(target_answer, (), (Id, Status, Value, Position))

/// \brief Requests a member's state by long poll: the answer is delayed until
/// the state differs from the known one or WaitMs has passed.
struct report_request {
  std::uint64_t KnownTerm = 0;
  log_position KnownPosition;
  std::uint32_t WaitMs = 0;
};
BOOST_DESCRIBE_STRUCT(report_request, (), (KnownTerm, KnownPosition, WaitMs))

/// \brief A member's role in its group.
enum class member_role { Replica, Primary, Fenced };
BOOST_DESCRIBE_ENUM(member_role, Replica, Primary, Fenced)

/// \brief A member's state at the time it answered.
struct member_report {
  std::string Target;
  member_role Role = member_role::Replica;
  /// Highest term granted. While it equals T, the member's report confirms all
  /// of its entries for T; after a fence to T+1 it never confirms T again.
  std::uint64_t Term = 0;
  log_position Position; ///< Last entry in the member's log.
  /// Replica: the primary's log position when this replica last heard from it.
  log_position PrimaryPosition;
  /// Replica: age of PrimaryPosition in milliseconds; 0 on the primary.
  std::uint32_t HeardAgeMs = 0;
  std::string Primary; ///< Target id of its primary, which may be itself.
  bool Leaving = false;
};
BOOST_DESCRIBE_STRUCT(member_report, (),
                      (Target, Role, Term, Position, PrimaryPosition,
                       HeardAgeMs, Primary, Leaving))

/// \brief Commands of the failover coordinator to a member.
enum class control_kind {
  Fence,   ///< Grant Term to Coordinator and stop confirming lower terms.
  Promote, ///< Become primary in Term, which must have been granted.
  Follow   ///< Replicate from Primary in Term; drop entries Primary lacks.
};
BOOST_DESCRIBE_ENUM(control_kind, Fence, Promote, Follow)

/// \brief A control command. All are idempotent: repeating a command that took
/// effect returns the same answer.
struct control_request {
  control_kind Kind = control_kind::Fence;
  std::uint64_t Term = 0;
  /// Host that sends the command. A member grants a term to one coordinator
  /// only.
  std::string Coordinator;
  std::string Primary;        ///< For Follow: target id of the primary.
  std::string PrimaryAddress; ///< For Follow: replication address "ip:port".
};
BOOST_DESCRIBE_STRUCT(control_request, (),
                      (Kind, Term, Coordinator, Primary, PrimaryAddress))

/// \brief Answer to a control command, with the member's state after it.
struct control_answer {
  bool Granted = false;
  member_report Report;
};
BOOST_DESCRIBE_STRUCT(control_answer, (), (Granted, Report))

} // namespace bronzespar

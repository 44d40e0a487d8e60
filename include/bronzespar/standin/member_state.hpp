/// What a stand-in target shows to checkers (GET /state).
#pragma once

#include <bronzespar/standin/member_log.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace bronzespar::standin {

/// \brief Counts of what a member has seen, for checkers.
struct member_counts {
  std::uint64_t Statements = 0;         ///< Received, whatever the answer.
  std::uint64_t Busy = 0;               ///< Answered Busy.
  std::uint64_t WrongTerm = 0;          ///< Answered WrongTerm.
  std::uint64_t NestedBegins = 0;       ///< Begin inside a transaction.
  std::uint64_t ConnectionsRefused = 0; ///< Over the limit.
  /// Statements outside transactions since the member began to leave, and the
  /// age of its leaving at the latest of them.
  std::uint64_t SinceLeaving = 0;
  std::uint64_t LastSinceLeavingMs = 0;
};
BOOST_DESCRIBE_STRUCT(member_counts, (),
                      (Statements, Busy, WrongTerm, NestedBegins,
                       ConnectionsRefused, SinceLeaving, LastSinceLeavingMs))

using count_by_name = std::map<std::string, std::uint64_t>;

/// \brief A member's state with all that its log has applied.
struct member_state {
  std::string Target;
  member_role Role = member_role::Replica;
  std::uint64_t Term = 0;
  log_position Position;
  std::string Primary;
  bool Leaving = false;
  std::uint64_t Connections = 0; ///< Open ones that count.
  std::map<std::string, std::string> Rows;
  count_by_name Keys; ///< Applications of each idempotency key.
  /// Applications of each appended line, by row and line.
  std::map<std::string, count_by_name> Appended;
  member_counts Counts;
};
BOOST_DESCRIBE_STRUCT(member_state, (),
                      (Target, Role, Term, Position, Primary, Leaving,
                       Connections, Rows, Keys, Appended, Counts))

/// \brief Describes what a log holds; Leaving, Connections and Counts are left
/// to the caller.
[[nodiscard]] member_state describeLog(const member_log &Log);

} // namespace bronzespar::standin

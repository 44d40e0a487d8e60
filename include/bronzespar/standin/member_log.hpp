/// The stand-in target's decisions: its log, the terms it grants, and what each
/// statement does. Free of sockets and clocks.
#pragma once

#include <bronzespar/target_messages.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace bronzespar::standin {

/// \brief One change of one row.
struct log_write {
  statement_kind Kind = statement_kind::Put; ///< Put or Append.
  std::string Row;
  std::string Value;
  /// Key of a write that came within a transaction; empty for none.
  std::string IdempotencyKey;
};
BOOST_DESCRIBE_STRUCT(log_write, (), (Kind, Row, Value, IdempotencyKey))

/// \brief Changes that are applied atomically.
struct log_entry {
  log_position Position;
  std::string IdempotencyKey;    ///< Of the whole entry; empty for none.
  std::vector<log_write> Writes; ///< Empty: marks the start of a term.
};
BOOST_DESCRIBE_STRUCT(log_entry, (), (Position, IdempotencyKey, Writes))

/// \brief State of one member that outlives connections.
/// Invariants: Entries[I].Position.Index == I + 1; terms never fall along
/// Entries; Rows and AppliedKeys are what applying Entries in order gives; Term
/// never falls.
struct member_log {
  std::string Target;
  member_role Role = member_role::Replica;
  std::uint64_t Term = 0;     ///< Highest term granted.
  std::string Coordinator;    ///< Whom Term was granted to; empty at first.
  std::string Primary;        ///< Whom this member follows; itself if primary.
  std::string PrimaryAddress; ///< As the latest Follow gave it; may be empty.
  std::vector<log_entry> Entries;
  std::map<std::string, std::string> Rows;
  /// Position of the first application of each idempotency key.
  std::unordered_map<std::string, log_position> AppliedKeys;
};

/// \brief Transaction of one connection.
/// Invariant: Writes is empty while Open is false.
struct transaction_buffer {
  bool Open = false;
  std::uint64_t Term = 0; ///< Term that it began in.
  std::vector<log_write> Writes;
};

/// \brief Term in which every group starts.
inline constexpr std::uint64_t InitialTerm = 1;

/// \brief Makes a member of a new group.
[[nodiscard]] member_log makeMemberLog(const std::string &Target,
                                       const std::string &Primary);

/// \brief Position of the last entry held; zero for an empty log.
[[nodiscard]] log_position lastPosition(const member_log &Log) noexcept;

/// \brief True when the member holds an entry at exactly this position.
/// Position zero is held by every log.
[[nodiscard]] bool holdsPosition(const member_log &Log,
                                 log_position Position) noexcept;

/// \brief Appends an entry and applies it.
/// \remarks Precondition: Entry.Position follows on the last position.
void appendEntry(member_log &Log, log_entry Entry);

/// \brief Drops all entries after a held position and rebuilds the rows.
void truncateLog(member_log &Log, log_position Last);

/// \brief Carries out a control command.
/// \returns True if it was granted, or had been before.
/// \remarks A refused command changes nothing. A term is granted to one
/// coordinator only, and only the holder of that grant may promote in it.
[[nodiscard]] bool applyControl(member_log &Log,
                                const control_request &Request);

/// \brief True when the statement must be refused with WrongTerm: it changes
/// rows, belongs to a transaction, or states a term, and the member is not
/// primary in exactly that term.
[[nodiscard]] bool isWrongTerm(const member_log &Log,
                               const transaction_buffer &Transaction,
                               const target_request &Request) noexcept;

/// \brief Runs a statement to its end, at the moment of logging.
/// \returns The answer; its Position is zero for statements that neither read
/// nor log (Begin, Rollback, writes that wait for their Commit).
/// \remarks A commit ends the transaction, also when it is refused.
[[nodiscard]] target_answer runStatement(member_log &Log,
                                         transaction_buffer &Transaction,
                                         const target_request &Request);

} // namespace bronzespar::standin

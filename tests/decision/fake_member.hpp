/// In-memory fake of a group member: log, terms and transactions, without
/// sockets.
#pragma once

#include <bronzespar/bronzespar.hpp>

#include <map>
#include <string>
#include <vector>

namespace bronzespar::test {

struct fake_change {
  std::string Row;
  std::string Value;
  bool Append = false;
};

struct fake_entry {
  log_position Position;
  std::vector<fake_change> Changes;
  std::string IdempotencyKey;
};

/// The member's state of one connection.
struct fake_connection {
  bool InTransaction = false;
  /// Row of the Begin. Rows written in the transaction must start with it.
  std::string RowPrefix;
  std::vector<fake_change> PendingChanges;
  bool Unresponsive = false;
};

struct fake_member {
  target_settings Settings;
  member_role Role = member_role::Replica;
  std::uint64_t Term = 1;
  std::string Coordinator;
  std::string Primary;
  std::vector<fake_entry> Log;
  log_position PrimaryPosition;
  instant HeardAt{};
  bool Partitioned = false; ///< Neither receives nor sends messages.
  bool Frozen = false; ///< Receives requests but answers only after unfreezing.
  bool Lagging = false;
  bool Leaving = false;
  std::map<std::pair<host_id, connection_ref>, fake_connection> Connections;
  std::vector<std::string> Violations;
};

[[nodiscard]] log_position lastPosition(const fake_member &Member);
[[nodiscard]] std::string readRow(const std::vector<fake_entry> &Log,
                                  const std::string &Row);
[[nodiscard]] target_answer runStatement(fake_member &Member,
                                         fake_connection &Connection,
                                         const target_request &Request);
[[nodiscard]] control_answer applyControl(fake_member &Member,
                                          const control_request &Request);
[[nodiscard]] member_report makeReport(const fake_member &Member, instant Now);
/// Replaces the replica's log by the primary's, if the replica follows it in
/// the same term.
void replicate(const fake_member &Primary, fake_member &Replica, instant Now);

} // namespace bronzespar::test

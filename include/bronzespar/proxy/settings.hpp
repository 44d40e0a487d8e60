/// The operators' settings as the session proxy uses them, and the entries of
/// the target list.
#pragma once

#include <bronzespar/endpoint.hpp>
#include <bronzespar/enum_table.hpp>
#include <bronzespar/instant.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzespar::proxy {

/// \brief Which writes the answer of a read must reflect.
enum class read_consistency {
  Primary,          ///< All acknowledged writes.
  BoundedStaleness, ///< All writes older than the route's MaxStaleness.
  ReadYourWrites    ///< As BoundedStaleness, and the session's own writes.
};
BOOST_DESCRIBE_ENUM(read_consistency, Primary, BoundedStaleness, ReadYourWrites)

/// \brief Maps a database name to a group, with the settings of its statements.
struct session_route {
  std::string Database;
  std::string Group;
  read_consistency Consistency = read_consistency::Primary;
  duration StatementTimeout{};
  duration LatencyGoal{};
  duration MaxStaleness{}; ///< Age limit of BoundedStaleness reads.
  int Priority = 0;        ///< 0 is served first.
  bool Public = false;     ///< Callers need no key.
};

struct client_account {
  std::string Name;
  double RatePerSecond = 0;
  double Burst = 0;
};

struct group_limits {
  unsigned MaxConnections = 1; ///< To each target, from all hosts together.
  /// Replicas that have received a commit before the primary acknowledges it.
  unsigned ConfirmingReplicas = 0;
  /// Statements that a cold target takes in a second, from all hosts together;
  /// 0: no limit.
  double ColdPerSecond = 0;
};

/// \brief One version of the operators' settings.
/// Invariant: Accounts contains every account that Keys names.
struct proxy_settings {
  std::uint64_t Version = 0;
  std::map<std::string, session_route> Routes; ///< By database name.
  std::map<std::string, client_account> Accounts;
  std::map<std::string, std::string> Keys; ///< From key to account name.
  std::map<std::string, group_limits> Groups;
  duration TransactionIdleTimeout = std::chrono::seconds(3);
};

/// \brief A target's entry in the list.
struct target_entry {
  std::string Id;
  std::string Group;
  endpoint Endpoint;
  std::string DataCentre;
  unsigned Slots = 1;    ///< Number of statements that it runs at once.
  bool Draining = false; ///< It takes no new work.
  bool ClaimsPrimary = false;
  duration ColdFor{};         ///< It stays slow for this long after its start.
  std::int64_t StartedAt = 0; ///< Differs after a restart under the same id.
};

} // namespace bronzespar::proxy

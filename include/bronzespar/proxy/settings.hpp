/// The operators' settings as the session proxy uses them, and the targets that
/// are listed beside them.
#pragma once

#include <bronzespar/endpoint.hpp>
#include <bronzespar/enum_table.hpp>
#include <bronzespar/instant.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzespar::proxy {

/// \brief Which log positions a read may be answered from.
enum class read_consistency {
  Primary,          ///< Everything that was acknowledged.
  BoundedStaleness, ///< All but what is younger than the route's bound.
  ReadYourWrites    ///< As bounded, and all that the session wrote.
};
BOOST_DESCRIBE_ENUM(read_consistency, Primary, BoundedStaleness, ReadYourWrites)

/// \brief Way from a database name to a group.
struct session_route {
  std::string Database;
  std::string Group;
  read_consistency Consistency = read_consistency::Primary;
  duration StatementTimeout{}; ///< Of one statement.
  duration LatencyGoal{};      ///< Latency that the operator aims at.
  duration MaxStaleness{};     ///< For reads of bounded age.
  int Priority = 0;            ///< 0 is served first.
  bool Public = false;         ///< Needs no key.
};

struct client_account {
  std::string Name;
  double RatePerSecond = 0;
  double Burst = 0;
};

struct group_limits {
  unsigned MaxConnections = 1; ///< Of each target, over all hosts.
};

/// \brief One version of the operators' settings.
/// Invariant: every account named in Keys stands in Accounts.
struct proxy_settings {
  std::uint64_t Version = 0;
  std::map<std::string, session_route> Routes; ///< By database name.
  std::map<std::string, client_account> Accounts;
  std::map<std::string, std::string> Keys; ///< Key to account name.
  std::map<std::string, group_limits> Groups;
  duration TransactionIdleTimeout = std::chrono::seconds(3);
};

/// \brief A listed target.
struct target_entry {
  std::string Id;
  std::string Group;
  endpoint Endpoint;
  std::string DataCentre;
  unsigned Slots = 1;    ///< Statements that it runs at once.
  bool Draining = false; ///< Takes no new work.
  bool ClaimsPrimary = false;
  std::int64_t StartedAt = 0; ///< Tells restarts under one id apart.
};

} // namespace bronzespar::proxy

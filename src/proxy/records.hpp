/// The project's own records in the platform's store.
#pragma once

#include <bronzespar/endpoint.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bronzespar::proxy {

/// Prefixes and keys below the project's own prefix.
inline constexpr std::string_view HostsPrefix = "hosts/";
inline constexpr std::string_view GroupsPrefix = "groups/";
inline constexpr std::string_view CoordinatorKey = "duty";

/// \brief Which target leads a group, and whether it may be used.
struct group_record {
  std::uint64_t Generation = 0; ///< Grows with each change.
  std::string Primary;
  bool Open = true; ///< False: no host may use the primary.
  /// Hosts that vouch for this generation while the store is away.
  std::vector<std::string> Electors = {};
};

/// \brief A live host; its record ends with its lease.
struct host_record {
  endpoint PeerEndpoint;
  std::string DataCentre;
  bool Leaving = false; ///< Owns no connections any more.
  /// Closed generations for which the host has stopped using the primary.
  std::map<std::string, std::uint64_t> AcknowledgedClosures;
  /// Primaries that it cannot reach, by group.
  std::map<std::string, std::string> UnreachablePrimaries;
};

/// \brief Whether the host stopped using the group's primary for a generation.
[[nodiscard]] bool hasAcknowledged(const host_record &Record,
                                   const std::string &Group,
                                   std::uint64_t Generation);
[[nodiscard]] std::string formatRecord(const group_record &Record);
[[nodiscard]] std::string formatRecord(const host_record &Record);
[[nodiscard]] std::optional<group_record>
parseGroupRecord(std::string_view Text);
[[nodiscard]] std::optional<host_record> parseHostRecord(std::string_view Text);

} // namespace bronzespar::proxy

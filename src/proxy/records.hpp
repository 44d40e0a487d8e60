/// The project's own records in the platform's store, and their JSON form.
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

/// Prefixes and keys, relative to the project's own prefix.
inline constexpr std::string_view HostsPrefix = "hosts/";
inline constexpr std::string_view GroupsPrefix = "groups/";
inline constexpr std::string_view CoordinatorKey = "duty";

/// \brief An order to promote a target, as a closed record names it before the
/// order is sent.
struct named_order {
  std::string Target; ///< Empty: an order that is not known may have been sent.
  /// Term in which the target called itself primary when it was chosen; 0: it
  /// was a replica. It leads by this order once it leads in a later term.
  std::uint64_t LedTerm = 0;
};

/// \brief A target that may hold a group's acknowledged commits.
struct recorded_member {
  endpoint Endpoint;
  bool IsDraining = false; ///< As its entry last showed.
  friend bool operator==(const recorded_member &,
                         const recorded_member &) = default;
};

/// \brief Which target is a group's primary, and whether hosts may use it.
struct group_record {
  std::uint64_t Generation = 0; ///< Increases with each change.
  std::string Primary; ///< Empty in a closed record: it is not known who leads.
  bool Open = true;    ///< False (closed): no host may use the primary.
  /// Hosts whose votes allow the use of this generation during a store outage.
  std::vector<std::string> Electors = {};
  /// Closed to replace electors only: in this generation no promotion may be
  /// ordered, and the primary is used again when the record is opened.
  bool PrimaryStays = false;
  std::uint64_t Term = 0; ///< In which the primary leads; 0: not known.
  /// The latest order that may have been sent since the record was closed.
  /// None: there is none, so that the primary still leads.
  std::optional<named_order> LatestOrder = {};
  /// Era of the store in which the record was written or confirmed; 0: written
  /// by a host that knew of none.
  std::uint64_t Era = 0;
  /// Closed since a restore of the store may have lost changes of the record.
  bool Rebuilt = false;
  /// Where replicas confirm commits: all targets that may hold one, also of
  /// those that have left the list, by id.
  std::map<std::string, recorded_member> Members = {};
};

/// \brief A live host. The store removes the record when its lease ends.
struct host_record {
  endpoint PeerEndpoint; ///< Where other hosts connect to this one.
  std::string DataCentre;
  double LinkMbps = 0;  ///< Bandwidth of its network link; 0: not known.
  bool Leaving = false; ///< The host is stopping; it owns no connections.
  /// The host can divide accounts' rates by data centre; see rates.cpp.
  bool GrantsByDataCentre = false;
  /// Last closed generation for which the host stopped using the primary, by
  /// group.
  std::map<std::string, std::uint64_t> AcknowledgedClosures;
  /// Primaries that the host cannot reach, by group.
  std::map<std::string, std::string> UnreachablePrimaries;
  /// Primaries whose connection owner does not answer the host, by group.
  std::map<std::string, std::string> SuspectedPrimaries;
  /// Generations of groups' records whose primary does not lead, as the host
  /// has proof, by group.
  std::map<std::string, std::uint64_t> DisprovedGenerations;
  /// Written by a coordinator before it has the store end the record's lease.
  bool Revoked = false;
};

/// \brief Whether the host stopped using the group's primary for this closed
/// generation or a later one.
[[nodiscard]] bool hasAcknowledged(const host_record &Record,
                                   const std::string &Group,
                                   std::uint64_t Generation);
[[nodiscard]] std::string formatRecord(const group_record &Record);
[[nodiscard]] std::string formatRecord(const host_record &Record);
[[nodiscard]] std::optional<group_record>
parseGroupRecord(std::string_view Text);
[[nodiscard]] std::optional<host_record> parseHostRecord(std::string_view Text);

} // namespace bronzespar::proxy

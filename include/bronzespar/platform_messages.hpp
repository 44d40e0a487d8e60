/// Calls to the platform's key-value service, independent of its protocol. The
/// adapter translates them to the JSON mapping of the etcd v3 API.
#pragma once

#include <bronzespar/endpoint.hpp>
#include <bronzespar/enum_table.hpp>
#include <bronzespar/ids.hpp>
#include <bronzespar/instant.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bronzespar {

/// \brief How a platform call ended.
enum class platform_status {
  Done,        ///< Took effect; for compare-and-swap, the comparison held.
  Conflict,    ///< Took no effect because the comparison failed.
  Unreachable, ///< Was not sent, so it took no effect.
  Unknown      ///< Sent but not answered; the caller must read the key back.
};
BOOST_DESCRIBE_ENUM(platform_status, Done, Conflict, Unreachable, Unknown)

struct platform_get {
  std::string Key;
};
/// \brief Compare-and-swap: replaces the value if the key's revision still
/// equals ModRevision. ModRevision 0 requires that the key is absent.
struct platform_compare_and_swap {
  std::string Key;
  std::string Value;
  std::int64_t ModRevision = 0;
  std::int64_t Lease = 0; ///< Lease that the key expires with; 0 for none.
};
struct platform_grant_lease {
  std::int64_t TimeToLiveSeconds = 0;
};
struct platform_renew_lease {
  std::int64_t Lease = 0;
};
using platform_call = std::variant<platform_get, platform_compare_and_swap,
                                   platform_grant_lease, platform_renew_lease>;

struct platform_entry {
  std::string Key;
  std::string Value;
  std::int64_t ModRevision = 0;
};

struct platform_answer {
  platform_status Status = platform_status::Unreachable;
  /// The entry read by a get, or the current entry after a conflict.
  std::vector<platform_entry> Entries;
  std::int64_t Lease = 0;
  duration TimeToLive{};
};

/// \brief A host in the platform's host list.
struct listed_host {
  host_id Id;
  data_centre_id DataCentre;
  endpoint Peers;
  bool Leaving = false;
};

} // namespace bronzespar

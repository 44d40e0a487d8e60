/// Calls to the platform's key-value service, in terms of what a host wants;
/// the adapter maps them to the JSON mapping of the etcd v3 API.
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
  Done,        ///< Took effect (compare-and-swap: the comparison held).
  Conflict,    ///< Certainly took no effect: the comparison failed.
  Unreachable, ///< Certainly not sent.
  Unknown      ///< Sent, answer lost: read back to find out.
};
BOOST_DESCRIBE_ENUM(platform_status, Done, Conflict, Unreachable, Unknown)

struct platform_get {
  std::string Key;
};
/// \brief Replaces a value if the key's revision is still ModRevision (0: if
/// the key is absent).
struct platform_compare_and_swap {
  std::string Key;
  std::string Value;
  std::int64_t ModRevision = 0;
  std::int64_t Lease = 0; ///< 0: kept until changed.
};
struct platform_grant_lease {
  std::int64_t TimeToLiveSeconds = 0;
};
struct platform_renew_lease {
  std::int64_t Lease = 0;
};
using platform_call = std::variant<platform_get, platform_compare_and_swap,
                                   platform_grant_lease, platform_renew_lease>;

/// \brief One key and its value.
struct platform_entry {
  std::string Key;
  std::string Value;
  std::int64_t ModRevision = 0;
};

struct platform_answer {
  platform_status Status = platform_status::Unreachable;
  std::vector<platform_entry> Entries; ///< get, or the winner of a conflict.
  std::int64_t Lease = 0;
  duration TimeToLive{};
};

/// \brief A host as the platform lists it.
struct listed_host {
  host_id Id;
  data_centre_id DataCentre;
  endpoint Peers;
  bool Leaving = false;
};

} // namespace bronzespar

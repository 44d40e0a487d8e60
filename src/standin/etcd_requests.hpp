/// Requests of the etcd v3 JSON mapping: keys and values in Base64, 64-bit
/// numbers as texts or numbers, names in snake or camel case. Each function
/// returns standin_fault for malformed ones.
#pragma once

#include "program.hpp"

#include <bronzespar/standin/key_value_store.hpp>

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>

namespace bronzespar::standin {

/// \brief Body of /v3/lease/grant, keepalive and revoke.
struct lease_request {
  std::int64_t Id = 0;
  std::int64_t Seconds = 0; ///< Grants only.
};

/// \brief Body of /v3/watch: {"create_request": {...}}.
struct watch_request {
  key_range Keys;
  std::int64_t StartRevision = 0; ///< 0: from now on.
  bool ProgressNotify = false;
};

[[nodiscard]] boost::leaf::result<store_operation>
parseRange(const std::string &Body);
[[nodiscard]] boost::leaf::result<store_operation>
parsePut(const std::string &Body);
[[nodiscard]] boost::leaf::result<store_operation>
parseDelete(const std::string &Body);
[[nodiscard]] boost::leaf::result<store_transaction>
parseTransaction(const std::string &Body);
[[nodiscard]] boost::leaf::result<lease_request>
parseLease(const std::string &Body);
[[nodiscard]] boost::leaf::result<watch_request>
parseWatch(const std::string &Body);

} // namespace bronzespar::standin

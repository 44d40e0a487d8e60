/// The JSON mapping of the etcd v3 API, as far as the stand-in platform has it.
#pragma once

#include <bronzespar/standin/key_value_store.hpp>

#include <string>

namespace bronzespar::standin {

/// \brief An HTTP answer.
struct etcd_answer {
  unsigned Status = 200;
  std::string Body;
};

/// \brief Name under which a path's calls are counted ("range", "txn",
/// "lease_grant", ...); empty for unknown paths.
[[nodiscard]] std::string callName(const std::string &Path);

/// \brief Carries out one call, other than a watch.
[[nodiscard]] etcd_answer callStore(key_value_store &Store,
                                    const std::string &Path,
                                    const std::string &Body, instant Now);

} // namespace bronzespar::standin

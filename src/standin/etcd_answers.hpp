/// Answers of the etcd v3 JSON mapping. As the gateway does, zeros and empty
/// texts are left out.
#pragma once

#include <bronzespar/standin/key_value_store.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace bronzespar::standin {

/// \brief {"header"} alone.
[[nodiscard]] std::string headerText(std::int64_t Revision);
[[nodiscard]] std::string operationText(const operation_result &Result,
                                        std::int64_t Revision);
[[nodiscard]] std::string transactionText(const transaction_result &Result,
                                          std::int64_t Revision);
[[nodiscard]] std::string leaseGrantText(std::int64_t Id, std::int64_t Seconds,
                                         std::int64_t Revision);
/// \brief One line of the keepalive stream; Seconds 0: no such lease.
[[nodiscard]] std::string leaseKeepText(std::int64_t Id, std::int64_t Seconds,
                                        std::int64_t Revision);

/// \brief One line of a watch's stream.
[[nodiscard]] std::string watchCreatedText(std::int64_t Revision);
[[nodiscard]] std::string
watchEventsText(std::int64_t Revision, const std::vector<store_event> &Events);
[[nodiscard]] std::string watchProgressText(std::int64_t Revision);
[[nodiscard]] std::string watchCompactedText(std::int64_t Revision,
                                             std::int64_t Compacted);

/// \brief gRPC status codes.
inline constexpr int InvalidArgumentCode = 3;
inline constexpr int NotFoundCode = 5;

/// \brief An error as the gateway writes it: {"error","code","message"}.
[[nodiscard]] std::string etcdErrorText(const std::string &Reason, int Code);

} // namespace bronzespar::standin

/// Codec of the platform's interface: the JSON mapping of the etcd v3 API
/// (keys and values in base64, 64-bit numbers as strings) and the host list.
#pragma once

#include <bronzespar/base64.hpp>
#include <bronzespar/platform_messages.hpp>
#include <bronzespar/wire/wire_fault.hpp>

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzespar {

/// \brief Path and body of a call.
struct platform_request {
  std::string Path;
  std::string Body;
};
[[nodiscard]] platform_request encodePlatformCall(const platform_call &Call);

/// \brief Reads the answer to a call whose HTTP status was 200.
/// \returns The answer (status Done or Conflict), or wire_fault.
[[nodiscard]] boost::leaf::result<platform_answer>
decodePlatformAnswer(const platform_call &Call, std::string_view Body);

/// \brief A version of a key's value.
struct versioned_value {
  std::string Value;
  std::int64_t Version = 0; ///< Number of changes since the key was made.
  std::int64_t ModRevision = 0;
};

/// \brief Reads the answer to a range request for one key.
/// \returns Nothing inside the result when the key is absent.
[[nodiscard]] boost::leaf::result<std::optional<versioned_value>>
decodeRange(std::string_view Body);

/// \brief Body of a range request for one key.
/// \param KeysOnly Asks for version and revision without the value.
[[nodiscard]] std::string encodeRange(std::string_view Key, bool KeysOnly);

/// \brief Body of a request to watch one key from a revision on.
[[nodiscard]] std::string encodeWatch(std::string_view Key,
                                      std::int64_t StartRevision);

/// \brief Reads one JSON object of a watch's stream.
/// \returns The new versions in order; none for a mere confirmation.
[[nodiscard]] boost::leaf::result<std::vector<versioned_value>>
decodeWatchEvent(std::string_view Text);

/// \brief Reads the platform's host list.
[[nodiscard]] boost::leaf::result<std::vector<listed_host>>
decodeHostList(std::string_view Body);

} // namespace bronzespar

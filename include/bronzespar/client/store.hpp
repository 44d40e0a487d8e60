/// The platform's key-value service, as command-line tools use it.
#pragma once

#include <bronzespar/client/http_call.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace bronzespar::client {

/// \brief A key's value and its versions in the store.
struct stored_value {
  std::string Value;
  std::int64_t ModRevision = 0; ///< Store's revision of the last change.
  std::uint64_t Version = 0;    ///< Changes of this key since it was created.
};

/// \brief How a compare-and-swap ended.
enum class swap_outcome {
  Done,     ///< Took effect.
  Conflict, ///< Took no effect: another change came first.
  Unknown   ///< Sent, and its fate could not be found out.
};
BOOST_DESCRIBE_ENUM(swap_outcome, Done, Conflict, Unknown)

/// \brief Error of the store layer.
struct store_fault {
  bool MayHaveTakenEffect = false;
  std::string Reason;
};

/// \brief Reads a key.
/// \returns The value, nothing when the key is absent, or an error carrying
/// store_fault.
[[nodiscard]] boost::leaf::result<std::optional<stored_value>>
readKey(const endpoint &Platform, const std::string &Key);

/// \brief Replaces a value if its ModRevision is still the expected one (0:
/// the key is absent). An answer that is lost is settled by reading back.
[[nodiscard]] boost::leaf::result<swap_outcome>
swapKey(const endpoint &Platform, const std::string &Key,
        const std::string &Value, std::int64_t ExpectedRevision);

} // namespace bronzespar::client

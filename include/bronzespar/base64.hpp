/// Base64 of RFC 4648, with padding.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bronzespar {

/// \brief Writes bytes in base64.
[[nodiscard]] std::string encodeBase64(std::string_view Bytes);

/// \brief Reads base64.
/// \returns Nothing unless the text is canonical, padded base64.
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace bronzespar

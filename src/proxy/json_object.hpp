/// Parsing of JSON texts that hold one object.
#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace bronzespar::proxy {

/// \returns Nothing when the text is not a JSON object.
[[nodiscard]] std::optional<boost::json::object>
parseObject(std::string_view Text);

/// \returns Nothing when the value is missing or not an unsigned integer.
[[nodiscard]] std::optional<std::uint64_t>
toUnsigned(const boost::json::value *Value);

} // namespace bronzespar::proxy

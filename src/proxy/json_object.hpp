/// Reading of JSON texts that hold one object.
#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace bronzespar::proxy {

/// \returns Nothing when the text is no JSON object.
[[nodiscard]] std::optional<boost::json::object>
parseObject(std::string_view Text);

/// \returns Nothing for a missing value or one that is no whole number.
[[nodiscard]] std::optional<std::uint64_t>
toUnsigned(const boost::json::value *Value);

} // namespace bronzespar::proxy

/// Parsing of JSON objects with Boost.JSON.
#include "json_object.hpp"

#include <utility>

namespace bronzespar::proxy {

namespace json = boost::json;

std::optional<json::object> parseObject(std::string_view Text) {
  // Other writers choose the keys that a page of the store's items holds.
  json::parse_options Options;
  Options.allow_invalid_utf8 = true;
  boost::system::error_code Error;
  json::value Value =
      json::parse({Text.data(), Text.size()}, Error, {}, Options);
  if (Error || !Value.is_object())
    return std::nullopt;
  return std::move(Value.as_object());
}

std::optional<std::uint64_t> toUnsigned(const json::value *Value) {
  if (Value == nullptr)
    return std::nullopt;
  boost::system::error_code Error;
  const auto Number = Value->to_number<std::uint64_t>(Error);
  if (Error)
    return std::nullopt;
  return Number;
}

} // namespace bronzespar::proxy

/// Writer of small JSON objects.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzespar::impl {

/// \brief A JSON object under construction.
class json_object_writer {
public:
  json_object_writer &member(std::string_view Name, std::string_view Value);
  json_object_writer &member(std::string_view Name, const std::string &Value);
  json_object_writer &member(std::string_view Name, const char *Value) = delete;
  json_object_writer &member(std::string_view Name, bool Value);
  json_object_writer &member(std::string_view Name, std::uint64_t Value);
  json_object_writer &member(std::string_view Name,
                             const json_object_writer &Value);
  json_object_writer &member(std::string_view Name,
                             const std::vector<json_object_writer> &Items);

  /// \brief The finished object.
  [[nodiscard]] std::string text() const { return '{' + Members + '}'; }

private:
  json_object_writer &addMember(std::string_view Name, std::string_view Value);

  std::string Members;
};

/// \brief Writes a JSON string with its quotes.
[[nodiscard]] std::string quoteJson(std::string_view Text);

} // namespace bronzespar::impl

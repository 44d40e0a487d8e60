/// Serialisation of small JSON objects.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzespar::impl {

/// \brief Builds the text of a JSON object member by member.
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

  /// \returns The finished object.
  [[nodiscard]] std::string text() const { return '{' + Members + '}'; }

private:
  /// \brief Appends a member whose value is JSON text already.
  json_object_writer &addMember(std::string_view Name, std::string_view Value);

  std::string Members;
};

/// \returns Text as a JSON string, escaped and quoted.
[[nodiscard]] std::string quoteJson(std::string_view Text);

} // namespace bronzespar::impl

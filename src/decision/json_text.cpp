/// Writer of small JSON objects.
#include "json_text.hpp"

#include <cstdio>

namespace bronzespar::impl {

std::string quoteJson(std::string_view Text) {
  std::string Quoted = "\"";
  for (const char Letter : Text) {
    const auto Code = static_cast<unsigned char>(Letter);
    if (Letter == '"' || Letter == '\\') {
      Quoted += '\\';
      Quoted += Letter;
    } else if (Code < 0x20) {
      char Escape[8];
      std::snprintf(Escape, sizeof Escape, "\\u%04x", Code);
      Quoted += Escape;
    } else {
      Quoted += Letter;
    }
  }
  return Quoted + '"';
}

json_object_writer &json_object_writer::addMember(std::string_view Name,
                                                  std::string_view Value) {
  if (!Members.empty())
    Members += ',';
  Members += quoteJson(Name);
  Members += ':';
  Members += Value;
  return *this;
}

json_object_writer &json_object_writer::member(std::string_view Name,
                                               std::string_view Value) {
  return addMember(Name, quoteJson(Value));
}

json_object_writer &json_object_writer::member(std::string_view Name,
                                               const std::string &Value) {
  return addMember(Name, quoteJson(Value));
}

json_object_writer &json_object_writer::member(std::string_view Name,
                                               bool Value) {
  return addMember(Name, Value ? "true" : "false");
}

json_object_writer &json_object_writer::member(std::string_view Name,
                                               std::uint64_t Value) {
  return addMember(Name, std::to_string(Value));
}

json_object_writer &
json_object_writer::member(std::string_view Name,
                           const json_object_writer &Value) {
  return addMember(Name, Value.text());
}

json_object_writer &
json_object_writer::member(std::string_view Name,
                           const std::vector<json_object_writer> &Items) {
  std::string List = "[";
  for (const json_object_writer &Item : Items) {
    if (List.size() > 1)
      List += ',';
    List += Item.text();
  }
  return addMember(Name, List + ']');
}

} // namespace bronzespar::impl

/// Serialisation of small JSON objects.
#include "json_text.hpp"

#include <cstdio>

namespace bronzespar::impl {

std::string quoteJson(std::string_view Text) {
  std::string Quoted = "\"";
  for (const char Character : Text) {
    const auto Code = static_cast<unsigned char>(Character);
    if (Character == '"' || Character == '\\') {
      Quoted += '\\';
      Quoted += Character;
    } else if (Code < 0x20) {
      char Escape[8];
      std::snprintf(Escape, sizeof Escape, "\\u%04x", Code);
      Quoted += Escape;
    } else {
      Quoted += Character;
    }
  }
  return Quoted + '"';
}

json_text &json_text::raw(std::string_view Name, std::string_view Value) {
  if (!Members.empty())
    Members += ',';
  Members += quoteJson(Name);
  Members += ':';
  Members += Value;
  return *this;
}

json_text &json_text::member(std::string_view Name, std::string_view Value) {
  return raw(Name, quoteJson(Value));
}

json_text &json_text::member(std::string_view Name, const std::string &Value) {
  return raw(Name, quoteJson(Value));
}

json_text &json_text::member(std::string_view Name, bool Value) {
  return raw(Name, Value ? "true" : "false");
}

json_text &json_text::member(std::string_view Name, std::uint64_t Value) {
  return raw(Name, std::to_string(Value));
}

json_text &json_text::member(std::string_view Name, const json_text &Value) {
  return raw(Name, Value.object());
}

json_text &json_text::member(std::string_view Name,
                             const std::vector<json_text> &Items) {
  std::string List = "[";
  for (const json_text &Item : Items) {
    if (List.size() > 1)
      List += ',';
    List += Item.object();
  }
  return raw(Name, List + ']');
}

} // namespace bronzespar::impl

/// The table of settings and the checks that it implies.
#include <bronzespar/setting_rules.hpp>

#include <bronzespar/endpoint.hpp>
#include <bronzespar/ini_text.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace bronzespar {

namespace {

constexpr double NoMinimum = 0;
constexpr std::size_t DigestDigits = 64;

using kind = section_kind;
using type = value_type;

constexpr auto Rules = std::to_array<setting_rule>({
    {kind::DataCentre, "region", type::Name, nullptr, NoMinimum, false, "",
     "region that the data centre belongs to"},
    {kind::DataCentre, "hosts", type::WholeNumber, "2", 1, false, "hosts",
     "host slots, each taken by one host of the system"},
    {kind::Target, "data_centre", type::Name, nullptr, NoMinimum, false, "",
     "data centre that the member stands in"},
    {kind::Target, "statements", type::Endpoint, nullptr, NoMinimum, false, "",
     "listener for statements"},
    {kind::Target, "maintenance", type::Endpoint, nullptr, NoMinimum, false, "",
     "listener for reports and control"},
    {kind::Target, "replication", type::Endpoint, nullptr, NoMinimum, false, "",
     "listener for the other members"},
    {kind::Target, "slots", type::WholeNumber, nullptr, 1, false, "statements",
     "statements that the member runs at once"},
    {kind::Target, "connections", type::WholeNumber, nullptr, 1, false,
     "connections", "connections for the whole fleet, at least slots"},
    {kind::Target, "leaving", type::Boolean, "false", NoMinimum, false, "",
     "true: the member gets no new work"},
    {kind::Account, "rate", type::Number, nullptr, 0, true, "requests/s",
     "rate over all hosts together"},
    {kind::Account, "burst", type::Number, nullptr, 2, false, "requests",
     "requests at once over all hosts together"},
    {kind::Account, "weight", type::Number, "1", 0, true, "",
     "part of a contended target, against other accounts' weights"},
    {kind::Route, "group", type::Name, nullptr, NoMinimum, false, "",
     "database group that the route leads to"},
    {kind::Route, "class", type::RequestClass, "normal", NoMinimum, false, "",
     "order of work within an account"},
    {kind::Route, "open", type::Boolean, "false", NoMinimum, false, "",
     "true: no key is needed"},
    {kind::Route, "accounts", type::Names, "", NoMinimum, false, "",
     "accounts that may use the route, or * for all"},
    {kind::Route, "deadline_ms", type::WholeNumber, "2000", 1, false, "ms",
     "longest time until the answer"},
    {kind::Key, "account", type::Name, nullptr, NoMinimum, false, "",
     "account that the key belongs to"},
    {kind::Key, "digest", type::Digest, nullptr, NoMinimum, false, "",
     "SHA-256 of the key, in hexadecimal digits"},
    {kind::Key, "withdrawn", type::Boolean, "false", NoMinimum, false, "",
     "true: the key is refused"},
    {kind::Operator, "subtree", type::Path, nullptr, NoMinimum, false, "",
     "path below which the operator may change settings"},
    {kind::Operator, "digest", type::Digest, nullptr, NoMinimum, false, "",
     "SHA-256 of the operator's key, in hexadecimal digits"},
    {kind::Sessions, "token_key", type::Text, nullptr, 16, false, "characters",
     "key of the session tokens' authentication"},
});

bool isNameCharacter(char Character) noexcept {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '-' ||
         Character == '_' || Character == '.';
}

bool isName(std::string_view Text) noexcept {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

bool isHexDigit(char Character) noexcept {
  return (Character >= '0' && Character <= '9') ||
         (Character >= 'a' && Character <= 'f') ||
         (Character >= 'A' && Character <= 'F');
}

std::string shownNumber(double Number) {
  std::string Text = std::to_string(Number);
  Text.erase(Text.find_last_not_of('0') + 1);
  if (Text.back() == '.')
    Text.pop_back();
  return Text;
}

template <class Value>
std::optional<std::string> faultOfNumber(const setting_rule &Rule,
                                         const std::string &Text,
                                         const char *Expected) {
  Value Number{};
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End ||
      !std::isfinite(static_cast<double>(Number)))
    return "expected " + std::string(Expected) + ", got \"" + Text + '"';
  const auto Plain = static_cast<double>(Number);
  if (Rule.MinimumExcluded && Plain <= Rule.Minimum)
    return "must be above " + shownNumber(Rule.Minimum);
  if (Plain < Rule.Minimum)
    return "must be at least " + shownNumber(Rule.Minimum);
  return std::nullopt;
}

std::optional<std::string> expect(bool Good, const char *Expected,
                                  const std::string &Value) {
  if (Good)
    return std::nullopt;
  return "expected " + std::string(Expected) + ", got \"" + Value + '"';
}

bool areNames(const std::string &Value) {
  const std::vector<std::string> Words = splitWords(Value);
  return Value == "*" || std::all_of(Words.begin(), Words.end(), isName);
}

} // namespace

std::span<const setting_rule> settingRules() noexcept { return Rules; }

const setting_rule *findRule(section_kind Section,
                             std::string_view Name) noexcept {
  const auto *Found =
      std::find_if(Rules.begin(), Rules.end(), [&](const setting_rule &Rule) {
        return Rule.Section == Section && Name == Rule.Name;
      });
  return Found == Rules.end() ? nullptr : Found;
}

std::optional<std::string> faultOfValue(const setting_rule &Rule,
                                        const std::string &Value) {
  switch (Rule.Type) {
  case value_type::Name:
    return expect(isName(Value), "a name", Value);
  case value_type::Names:
    return expect(areNames(Value), "names separated by spaces", Value);
  case value_type::Text:
    return expect(static_cast<double>(Value.size()) >= Rule.Minimum,
                  "a longer text", "(hidden)");
  case value_type::Path:
    return expect(Value.starts_with('/'), "a path that starts with /", Value);
  case value_type::Endpoint:
    return expect(parseEndpoint(Value).has_value(), "IP:PORT", Value);
  case value_type::WholeNumber:
    return faultOfNumber<std::uint32_t>(Rule, Value, "a whole number");
  case value_type::Number:
    return faultOfNumber<double>(Rule, Value, "a number");
  case value_type::Boolean:
    return expect(Value == "true" || Value == "false", "true or false", Value);
  case value_type::RequestClass:
    return expect(Value == "urgent" || Value == "normal" ||
                      Value == "settlement",
                  "urgent, normal or settlement", Value);
  case value_type::Digest:
    return expect(Value.size() == DigestDigits &&
                      std::all_of(Value.begin(), Value.end(), isHexDigit),
                  "64 hexadecimal digits", Value);
  }
  return "the setting has no type";
}

const char *pathPattern(section_kind Section) noexcept {
  switch (Section) {
  case section_kind::DataCentre:
    return "P/data-centres/ID";
  case section_kind::Target:
    return "P/groups/GROUP/members/TARGET";
  case section_kind::Account:
    return "P/accounts/ID";
  case section_kind::Route:
    return "P/routes/ID";
  case section_kind::Key:
    return "P/keys/ID";
  case section_kind::Operator:
    return "P/operators/NAME";
  case section_kind::Sessions:
    return "P/sessions";
  }
  return "";
}

std::string describeSettings() {
  std::string Text = "| section | setting | type | unit | default | meaning |\n"
                     "|---|---|---|---|---|---|\n";
  for (const setting_rule &Rule : Rules) {
    Text += std::string("| `[") + pathPattern(Rule.Section) + "]` | `" +
            Rule.Name + "` | " + std::string(enumName(Rule.Type)) + " | " +
            Rule.Unit + " | " +
            (Rule.Default == nullptr ? "required" : Rule.Default) + " | " +
            Rule.Description + " |\n";
  }
  return Text;
}

} // namespace bronzespar

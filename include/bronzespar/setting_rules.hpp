/// The table of all fleet settings: names, types, bounds, units and defaults.
/// Checks, defaults, `settings check` and docs/SETTINGS.md come from it.
#pragma once

#include <bronzespar/enum_table.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bronzespar {

/// \brief Kind of a section, told by its path.
enum class section_kind {
  DataCentre, ///< P/data-centres/ID
  Target,     ///< P/groups/GROUP/members/TARGET
  Account,    ///< P/accounts/ID
  Route,      ///< P/routes/ID
  Key,        ///< P/keys/ID
  Operator,   ///< P/operators/NAME
  Sessions    ///< P/sessions
};
BOOST_DESCRIBE_ENUM(section_kind, DataCentre, Target, Account, Route, Key,
                    Operator, Sessions)

/// \brief Type of a setting's value.
enum class value_type {
  Name,         ///< Letters, digits, '-', '_', '.'.
  Names,        ///< Names separated by spaces, or "*" for all.
  Text,         ///< Any text of at least Minimum characters.
  Path,         ///< Starts with '/'.
  Endpoint,     ///< IPv4 number, colon, port.
  WholeNumber,  ///< At least Minimum.
  Number,       ///< Above Minimum if MinimumExcluded, else at least.
  Boolean,      ///< true or false.
  RequestClass, ///< urgent, normal or settlement.
  Digest        ///< 64 hexadecimal digits.
};
BOOST_DESCRIBE_ENUM(value_type, Name, Names, Text, Path, Endpoint, WholeNumber,
                    Number, Boolean, RequestClass, Digest)

/// \brief One setting.
struct setting_rule {
  section_kind Section;
  const char *Name;
  value_type Type;
  const char *Default; ///< nullptr: required.
  double Minimum;
  bool MinimumExcluded;
  const char *Unit; ///< Empty when it has none.
  const char *Description;
};

/// \brief All settings, grouped by section.
[[nodiscard]] std::span<const setting_rule> settingRules() noexcept;

/// \brief Finds a setting's rule. \returns nullptr for an unknown setting.
[[nodiscard]] const setting_rule *findRule(section_kind Section,
                                           std::string_view Name) noexcept;

/// \brief Checks one value.
/// \returns A sentence saying what is wrong, or nothing when it is good.
[[nodiscard]] std::optional<std::string> faultOfValue(const setting_rule &Rule,
                                                      const std::string &Value);

/// \brief Pattern of a section's path, for documents and messages.
[[nodiscard]] const char *pathPattern(section_kind Section) noexcept;

/// \brief The table as the Markdown of docs/SETTINGS.md.
[[nodiscard]] std::string describeSettings();

} // namespace bronzespar

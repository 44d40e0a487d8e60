/// Sections of an INI text, in order, with their settings.
#pragma once

#include "program.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bronzespar::standin {

struct ini_setting {
  std::string Name;
  std::string Value;
};

/// \brief One section; its name is a path such as "links/suva/nadi".
struct ini_section {
  std::string Path;
  std::vector<ini_setting> Settings;
};

/// \brief Parses an INI text (Boost.PropertyTree).
/// \returns The sections, or standin_fault with file and line.
[[nodiscard]] boost::leaf::result<std::vector<ini_section>>
parseIni(const std::string &Text, const std::string &File);

/// \brief Splits "links/suva/nadi" at its slashes; empty parts are dropped.
[[nodiscard]] std::vector<std::string> splitPath(std::string_view Path);

/// \brief Splits at blanks.
[[nodiscard]] std::vector<std::string> splitWords(std::string_view Text);

/// \brief Finds a setting. \returns nullptr when there is none.
[[nodiscard]] const std::string *findSetting(const ini_section &Section,
                                             std::string_view Name);

/// \brief Finds a setting that must be there.
[[nodiscard]] boost::leaf::result<std::string>
requireSetting(const ini_section &Section, std::string_view Name,
               const std::string &File);

/// \brief Reads a whole number within bounds.
[[nodiscard]] boost::leaf::result<std::uint32_t>
parseWhole(const std::string &Text, std::uint32_t Least, std::uint32_t Most,
           const std::string &Place);

} // namespace bronzespar::standin

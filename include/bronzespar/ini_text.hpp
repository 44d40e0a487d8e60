/// Reader of INI texts that keeps line numbers, so that faults can name them.
#pragma once

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzespar {

struct ini_entry {
  std::string Name;
  std::string Value;
  std::uint32_t Line = 0; ///< From 1.
};

/// Invariant: no two entries have the same name.
struct ini_section {
  std::string Path;
  std::uint32_t Line = 0;
  std::vector<ini_entry> Entries;
};

/// \brief Reads sections and entries; comments start with ';' or '#'.
/// \returns The sections in order, no two with the same path, or an error
/// carrying settings_fault (Syntax, DuplicatePath or DuplicateSetting).
[[nodiscard]] boost::leaf::result<std::vector<ini_section>>
parseIni(std::string_view Text, const std::string &File);

/// \brief Finds an entry. \returns nullptr when the section has none.
[[nodiscard]] const ini_entry *findEntry(const ini_section &Section,
                                         std::string_view Name) noexcept;

/// \brief Removes blanks at both ends.
[[nodiscard]] std::string_view trimmed(std::string_view Text) noexcept;

/// \brief Splits at blanks.
[[nodiscard]] std::vector<std::string> splitWords(std::string_view Text);

} // namespace bronzespar

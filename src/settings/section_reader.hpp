/// Sections of a fleet settings text after they were checked against the table
/// of rules, and access to their typed values.
#pragma once

#include <bronzespar/endpoint.hpp>
#include <bronzespar/ini_text.hpp>
#include <bronzespar/setting_rules.hpp>

#include <string>
#include <vector>

namespace bronzespar::impl {

/// Invariant: each required setting is there and each value passes its rule.
struct checked_section {
  section_kind Kind = section_kind::Sessions;
  std::string Path;
  std::string Id;
  std::string Parent; ///< Targets: the group.
  ini_section Text;
};

/// \brief Reads all sections and checks each by itself.
/// \returns The sections, or an error carrying settings_fault.
[[nodiscard]] boost::leaf::result<std::vector<checked_section>>
readSections(std::string_view Text, const std::string &File);

/// \brief Values of a setting, or of its default.
[[nodiscard]] std::string textOf(const checked_section &Section,
                                 const char *Name);
[[nodiscard]] std::uint32_t wholeOf(const checked_section &Section,
                                    const char *Name);
[[nodiscard]] double numberOf(const checked_section &Section, const char *Name);
[[nodiscard]] bool flagOf(const checked_section &Section, const char *Name);
[[nodiscard]] endpoint endpointOf(const checked_section &Section,
                                  const char *Name);
[[nodiscard]] std::vector<std::string> wordsOf(const checked_section &Section,
                                               const char *Name);

/// \brief Line of a setting, or of its section when a default holds.
[[nodiscard]] std::uint32_t lineOf(const checked_section &Section,
                                   const char *Name);

/// \brief The text with A to Z turned into a to z.
[[nodiscard]] std::string lowerCase(std::string Text);

} // namespace bronzespar::impl

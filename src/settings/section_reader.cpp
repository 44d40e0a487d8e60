/// Checks each section of a fleet settings text against the table of rules.
#include "settings/section_reader.hpp"

#include <bronzespar/fleet_settings.hpp>

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace bronzespar::impl {

namespace {

std::vector<std::string> splitPath(const std::string &Path) {
  std::vector<std::string> Parts;
  std::size_t Start = 0;
  while (Start <= Path.size()) {
    const std::size_t End = std::min(Path.find('/', Start), Path.size());
    if (End > Start)
      Parts.push_back(Path.substr(Start, End - Start));
    Start = End + 1;
  }
  return Parts;
}

std::optional<section_kind> kindOfFolder(const std::string &Folder) {
  if (Folder == "data-centres")
    return section_kind::DataCentre;
  if (Folder == "accounts")
    return section_kind::Account;
  if (Folder == "routes")
    return section_kind::Route;
  if (Folder == "keys")
    return section_kind::Key;
  if (Folder == "operators")
    return section_kind::Operator;
  return std::nullopt;
}

/// Tells kind and ids from the path; nothing for an unknown pattern.
std::optional<checked_section> classify(const ini_section &Section) {
  if (!Section.Path.starts_with('/'))
    return std::nullopt;
  const std::vector<std::string> Parts = splitPath(Section.Path);
  const std::size_t Count = Parts.size();
  checked_section Result{section_kind::Sessions, Section.Path, "", "", Section};
  if (Count >= 1 && Parts[Count - 1] == "sessions")
    return Result;
  if (Count >= 4 && Parts[Count - 4] == "groups" &&
      Parts[Count - 2] == "members") {
    Result.Kind = section_kind::Target;
    Result.Parent = Parts[Count - 3];
    Result.Id = Parts[Count - 1];
    return Result;
  }
  if (Count < 2)
    return std::nullopt;
  const auto Kind = kindOfFolder(Parts[Count - 2]);
  if (!Kind)
    return std::nullopt;
  Result.Kind = *Kind;
  Result.Id = Parts[Count - 1];
  return Result;
}

boost::leaf::result<void> checkEntry(const checked_section &Section,
                                     const ini_entry &Entry,
                                     const std::string &File) {
  const std::string Path = Section.Path + ':' + Entry.Name;
  const setting_rule *Rule = findRule(Section.Kind, Entry.Name);
  if (Rule == nullptr)
    return boost::leaf::new_error(
        settings_fault{settings_fault_kind::UnknownSetting, File, Entry.Line,
                       Path, "there is no such setting"});
  const auto Fault = faultOfValue(*Rule, Entry.Value);
  if (!Fault)
    return {};
  const bool Range = Fault->starts_with("must be");
  return boost::leaf::new_error(settings_fault{
      Range ? settings_fault_kind::OutOfRange : settings_fault_kind::WrongType,
      File, Entry.Line, Path, *Fault});
}

boost::leaf::result<void> checkRequired(const checked_section &Section,
                                        const std::string &File) {
  for (const setting_rule &Rule : settingRules()) {
    if (Rule.Section != Section.Kind || Rule.Default != nullptr)
      continue;
    if (findEntry(Section.Text, Rule.Name) == nullptr)
      return boost::leaf::new_error(settings_fault{
          settings_fault_kind::MissingSetting, File, Section.Text.Line,
          Section.Path + ':' + Rule.Name, "the setting is required"});
  }
  return {};
}

boost::leaf::result<void> checkSection(const checked_section &Section,
                                       const std::string &File) {
  for (const ini_entry &Entry : Section.Text.Entries) {
    auto Checked = checkEntry(Section, Entry, File);
    if (!Checked)
      return Checked;
  }
  return checkRequired(Section, File);
}

boost::leaf::result<void>
checkUnique(const std::vector<checked_section> &Earlier,
            const checked_section &Section, const std::string &File) {
  for (const checked_section &Other : Earlier) {
    if (Other.Kind == Section.Kind && Other.Id == Section.Id)
      return boost::leaf::new_error(
          settings_fault{settings_fault_kind::DuplicatePath, File,
                         Section.Text.Line, Section.Path,
                         "the same name is defined on line " +
                             std::to_string(Other.Text.Line) + " already"});
  }
  return {};
}

} // namespace

boost::leaf::result<std::vector<checked_section>>
readSections(std::string_view Text, const std::string &File) {
  auto Plain = parseIni(Text, File);
  if (!Plain)
    return Plain.error();
  std::vector<checked_section> Sections;
  for (const ini_section &Item : *Plain) {
    auto Section = classify(Item);
    if (!Section)
      return boost::leaf::new_error(
          settings_fault{settings_fault_kind::UnknownSection, File, Item.Line,
                         Item.Path, "the path names no kind of setting"});
    auto Unique = checkUnique(Sections, *Section, File);
    if (!Unique)
      return Unique.error();
    auto Checked = checkSection(*Section, File);
    if (!Checked)
      return Checked.error();
    Sections.push_back(std::move(*Section));
  }
  return Sections;
}

std::string textOf(const checked_section &Section, const char *Name) {
  if (const ini_entry *Entry = findEntry(Section.Text, Name))
    return Entry->Value;
  const setting_rule *Rule = findRule(Section.Kind, Name);
  return Rule != nullptr && Rule->Default != nullptr ? Rule->Default : "";
}

std::uint32_t wholeOf(const checked_section &Section, const char *Name) {
  const std::string Text = textOf(Section, Name);
  std::uint32_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

double numberOf(const checked_section &Section, const char *Name) {
  const std::string Text = textOf(Section, Name);
  double Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

bool flagOf(const checked_section &Section, const char *Name) {
  return textOf(Section, Name) == "true";
}

endpoint endpointOf(const checked_section &Section, const char *Name) {
  return parseEndpoint(textOf(Section, Name)).value_or(endpoint{});
}

std::vector<std::string> wordsOf(const checked_section &Section,
                                 const char *Name) {
  return splitWords(textOf(Section, Name));
}

std::uint32_t lineOf(const checked_section &Section, const char *Name) {
  const ini_entry *Entry = findEntry(Section.Text, Name);
  return Entry != nullptr ? Entry->Line : Section.Text.Line;
}

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](char Character) {
    return Character >= 'A' && Character <= 'Z'
               ? static_cast<char>(Character - 'A' + 'a')
               : Character;
  });
  return Text;
}

} // namespace bronzespar::impl

/// Reader of INI texts. Boost.PropertyTree's reader forgets line numbers, which
/// every fault has to name.
#include <bronzespar/ini_text.hpp>

#include <bronzespar/fleet_settings.hpp>

#include <boost/leaf/error.hpp>

#include <algorithm>

namespace bronzespar {

namespace {

constexpr std::string_view Blanks = " \t\r";

/// Reading position and what was read so far.
struct ini_reader {
  const std::string &File;
  std::uint32_t Line = 0;
  std::vector<ini_section> Sections;
};

auto fault(const ini_reader &Reader, settings_fault_kind Kind, std::string Path,
           std::string Reason) {
  return boost::leaf::new_error(settings_fault{
      Kind, Reader.File, Reader.Line, std::move(Path), std::move(Reason)});
}

boost::leaf::result<void> readSection(ini_reader &Reader,
                                      std::string_view Text) {
  if (Text.back() != ']')
    return fault(Reader, settings_fault_kind::Syntax, "",
                 "a section's name must end with ]");
  std::string Path(trimmed(Text.substr(1, Text.size() - 2)));
  if (Path.empty())
    return fault(Reader, settings_fault_kind::Syntax, "",
                 "a section needs a name");
  for (const ini_section &Section : Reader.Sections) {
    if (Section.Path == Path)
      return fault(Reader, settings_fault_kind::DuplicatePath, Path,
                   "the section stands on line " +
                       std::to_string(Section.Line) + " already");
  }
  Reader.Sections.push_back({std::move(Path), Reader.Line, {}});
  return {};
}

boost::leaf::result<void> readEntry(ini_reader &Reader, std::string_view Text) {
  const std::size_t Equals = Text.find('=');
  if (Equals == std::string_view::npos)
    return fault(Reader, settings_fault_kind::Syntax, "",
                 "expected [section] or name = value");
  if (Reader.Sections.empty())
    return fault(Reader, settings_fault_kind::Syntax, "",
                 "a setting must stand in a section");
  ini_section &Section = Reader.Sections.back();
  std::string Name(trimmed(Text.substr(0, Equals)));
  if (Name.empty())
    return fault(Reader, settings_fault_kind::Syntax, Section.Path,
                 "a setting needs a name");
  if (findEntry(Section, Name) != nullptr)
    return fault(Reader, settings_fault_kind::DuplicateSetting,
                 Section.Path + ':' + Name, "the setting stands twice");
  std::string Value(trimmed(Text.substr(Equals + 1)));
  Section.Entries.push_back({std::move(Name), std::move(Value), Reader.Line});
  return {};
}

boost::leaf::result<void> readLine(ini_reader &Reader, std::string_view Line) {
  const std::string_view Text = trimmed(Line);
  if (Text.empty() || Text.front() == ';' || Text.front() == '#')
    return {};
  if (Text.front() == '[')
    return readSection(Reader, Text);
  return readEntry(Reader, Text);
}

} // namespace

std::string_view trimmed(std::string_view Text) noexcept {
  const std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  const std::size_t Last = Text.find_last_not_of(Blanks);
  return Text.substr(First, Last - First + 1);
}

std::vector<std::string> splitWords(std::string_view Text) {
  std::vector<std::string> Words;
  while (true) {
    const std::size_t First = Text.find_first_not_of(Blanks);
    if (First == std::string_view::npos)
      return Words;
    Text.remove_prefix(First);
    const std::size_t End = std::min(Text.find_first_of(Blanks), Text.size());
    Words.emplace_back(Text.substr(0, End));
    Text.remove_prefix(End);
  }
}

const ini_entry *findEntry(const ini_section &Section,
                           std::string_view Name) noexcept {
  const auto Found = std::find_if(
      Section.Entries.begin(), Section.Entries.end(),
      [Name](const ini_entry &Entry) { return Entry.Name == Name; });
  return Found == Section.Entries.end() ? nullptr : &*Found;
}

boost::leaf::result<std::vector<ini_section>>
parseIni(std::string_view Text, const std::string &File) {
  ini_reader Reader{File, 0, {}};
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    ++Reader.Line;
    auto Read = readLine(Reader, Text.substr(0, End));
    if (!Read)
      return Read.error();
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return std::move(Reader.Sections);
}

} // namespace bronzespar

/// Reading of INI texts by Boost.PropertyTree.
#include "ini_sections.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace bronzespar::standin {

namespace leaf = boost::leaf;
namespace property_tree = boost::property_tree;

namespace {

std::vector<std::string> splitAt(std::string_view Text,
                                 std::string_view Separators) {
  std::vector<std::string> Parts;
  std::size_t Start = Text.find_first_not_of(Separators);
  while (Start != std::string_view::npos) {
    const std::size_t End = Text.find_first_of(Separators, Start);
    Parts.emplace_back(Text.substr(Start, End - Start));
    Start = Text.find_first_not_of(Separators, End);
  }
  return Parts;
}

/// PropertyTree knows ';' comments only.
std::string withoutHashComments(const std::string &Text) {
  std::istringstream Lines(Text);
  std::string Kept;
  std::string Line;
  while (std::getline(Lines, Line)) {
    const std::size_t First = Line.find_first_not_of(" \t");
    if (First == std::string::npos || Line[First] != '#')
      Kept += Line;
    Kept += '\n';
  }
  return Kept;
}

ini_section toSection(const std::string &Path,
                      const property_tree::ptree &Tree) {
  ini_section Section{Path, {}};
  for (const auto &[Name, Value] : Tree)
    Section.Settings.push_back({Name, Value.data()});
  return Section;
}

leaf::error_id outsideFault(const std::string &File, const std::string &Name) {
  std::ostringstream Text;
  Text << File << ": '" << Name << "' stands outside a section";
  return leaf::new_error(standin_fault{Text.str()});
}

} // namespace

leaf::result<std::vector<ini_section>> parseIni(const std::string &Text,
                                                const std::string &File) {
  property_tree::ptree Tree;
  std::istringstream Stream(withoutHashComments(Text));
  try {
    property_tree::read_ini(Stream, Tree);
  } catch (const property_tree::ini_parser_error &Error) {
    return leaf::new_error(standin_fault{
        File + ":" + std::to_string(Error.line()) + ": " + Error.message()});
  }
  std::vector<ini_section> Sections;
  for (const auto &[Path, Section] : Tree) {
    if (Section.empty() && !Section.data().empty())
      return outsideFault(File, Path);
    Sections.push_back(toSection(Path, Section));
  }
  return Sections;
}

std::vector<std::string> splitPath(std::string_view Path) {
  return splitAt(Path, "/");
}

std::vector<std::string> splitWords(std::string_view Text) {
  return splitAt(Text, " \t");
}

const std::string *findSetting(const ini_section &Section,
                               std::string_view Name) {
  const auto Found = std::find_if(
      Section.Settings.begin(), Section.Settings.end(),
      [Name](const ini_setting &Setting) { return Setting.Name == Name; });
  return Found == Section.Settings.end() ? nullptr : &Found->Value;
}

leaf::result<std::string> requireSetting(const ini_section &Section,
                                         std::string_view Name,
                                         const std::string &File) {
  if (const std::string *Value = findSetting(Section, Name))
    return *Value;
  return leaf::new_error(standin_fault{File + ": [" + Section.Path +
                                       "] lacks '" + std::string(Name) + "'"});
}

leaf::result<std::uint32_t> parseWhole(const std::string &Text,
                                       std::uint32_t Least, std::uint32_t Most,
                                       const std::string &Place) {
  std::uint32_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End || Number < Least ||
      Number > Most)
    return leaf::new_error(
        standin_fault{Place + ": '" + Text + "' is not a whole number from " +
                      std::to_string(Least) + " to " + std::to_string(Most)});
  return Number;
}

} // namespace bronzespar::standin

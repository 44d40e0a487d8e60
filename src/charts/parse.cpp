/// Reads the project's subset of SCXML with Boost.PropertyTree:
///
///   <scxml name="..." initial="STATE">
///     <state id="STATE">
///       <transition event="EVENT" cond="GUARD" target="STATE">
///         <send event="ACTION"/>
///       </transition>
///     </state>
///     <final id="STATE"/>
///   </scxml>
///
/// The attributes cond and target are optional, as in SCXML. Any other element
/// or attribute is an error, except version and xmlns of the root.
#include <bronzespar/state_chart.hpp>

#include <boost/property_tree/ptree.hpp>
#include <boost/property_tree/xml_parser.hpp>

#include <algorithm>
#include <fstream>
#include <initializer_list>
#include <sstream>

namespace bronzespar {

namespace {

using boost::property_tree::ptree;

/// Finds the line numbers of elements. The property tree does not keep them,
/// but it keeps the document order, so the text is scanned for each element in
/// that order.
class line_finder {
public:
  explicit line_finder(std::string_view Text) : Document(Text) {}

  /// Finds the line of the next element with a name; 0 if there is none.
  std::uint32_t next(std::string_view Element) {
    const std::string Tag = "<" + std::string(Element);
    for (;;) {
      skipToTag();
      if (Offset >= Document.size())
        return 0;
      const std::uint32_t Found = Line;
      const bool Matches = Document.substr(Offset).starts_with(Tag);
      advance(1);
      if (Matches)
        return Found;
    }
  }

private:
  static constexpr std::string_view CommentStart = "<!--";
  static constexpr std::string_view CommentEnd = "-->";

  void advance(std::size_t Count) {
    const std::size_t End = std::min(Offset + Count, Document.size());
    for (; Offset < End; ++Offset)
      Line += Document[Offset] == '\n' ? 1 : 0;
  }

  void skipToTag() {
    while (Offset < Document.size()) {
      if (Document.substr(Offset).starts_with(CommentStart)) {
        advance(Document.find(CommentEnd, Offset) - Offset);
        continue;
      }
      if (Document[Offset] == '<')
        return;
      advance(1);
    }
  }

  std::string_view Document;
  std::size_t Offset = 0;
  std::uint32_t Line = 1;
};

/// Thrown while the tree is read; carries the line of the error.
struct located_error {
  std::uint32_t Line;
  std::string Reason;
};

void rejectUnknownAttributes(const ptree &Element, std::uint32_t Line,
                             std::initializer_list<std::string_view> Allowed) {
  const auto Attributes = Element.get_child_optional("<xmlattr>");
  if (!Attributes)
    return;
  for (const auto &[Name, Value] : *Attributes) {
    if (std::find(Allowed.begin(), Allowed.end(), Name) == Allowed.end())
      throw located_error{Line, "attribute '" + Name + "' is not known"};
  }
}

std::string attribute(const ptree &Element, const std::string &Name) {
  return Element.get<std::string>("<xmlattr>." + Name, "");
}

std::string requiredAttribute(const ptree &Element, const std::string &Name,
                              std::uint32_t Line) {
  std::string Value = attribute(Element, Name);
  if (Value.empty())
    throw located_error{Line, "attribute '" + Name + "' is missing"};
  return Value;
}

[[noreturn]] void rejectElement(const std::string &Name, std::uint32_t Line) {
  throw located_error{Line, "element '" + Name + "' is not allowed here"};
}

chart_transition readTransition(const ptree &Element, line_finder &Lines) {
  chart_transition Transition;
  Transition.Line = Lines.next("transition");
  rejectUnknownAttributes(Element, Transition.Line,
                          {"event", "cond", "target"});
  Transition.Event = requiredAttribute(Element, "event", Transition.Line);
  Transition.Guard = attribute(Element, "cond");
  Transition.Target = attribute(Element, "target");
  for (const auto &[Name, Child] : Element) {
    if (Name == "<xmlattr>")
      continue;
    const std::uint32_t Line = Lines.next(Name);
    if (Name != "send")
      rejectElement(Name, Line);
    rejectUnknownAttributes(Child, Line, {"event"});
    Transition.Actions.push_back(requiredAttribute(Child, "event", Line));
  }
  return Transition;
}

chart_state readState(const std::string &Kind, const ptree &Element,
                      line_finder &Lines) {
  chart_state State;
  State.Line = Lines.next(Kind);
  State.Final = Kind == "final";
  rejectUnknownAttributes(Element, State.Line, {"id"});
  State.Name = requiredAttribute(Element, "id", State.Line);
  for (const auto &[Name, Child] : Element) {
    if (Name == "<xmlattr>")
      continue;
    if (Name != "transition" || State.Final)
      rejectElement(Name, Lines.next(Name));
    State.Transitions.push_back(readTransition(Child, Lines));
  }
  return State;
}

state_chart readChart(const ptree &Document, line_finder &Lines) {
  const auto Root = Document.get_child_optional("scxml");
  if (!Root)
    throw located_error{1, "element 'scxml' is missing"};
  const std::uint32_t RootLine = Lines.next("scxml");
  rejectUnknownAttributes(*Root, RootLine,
                          {"name", "initial", "version", "xmlns"});
  state_chart Chart;
  Chart.Name = attribute(*Root, "name");
  Chart.Initial = requiredAttribute(*Root, "initial", RootLine);
  for (const auto &[Name, Child] : *Root) {
    if (Name == "<xmlattr>")
      continue;
    if (Name != "state" && Name != "final")
      rejectElement(Name, Lines.next(Name));
    Chart.States.push_back(readState(Name, Child, Lines));
  }
  return Chart;
}

ptree readXml(std::string_view Text) {
  namespace xml = boost::property_tree::xml_parser;
  std::istringstream Stream{std::string(Text)};
  ptree Document;
  xml::read_xml(Stream, Document, xml::no_comments | xml::trim_whitespace);
  return Document;
}

} // namespace

boost::leaf::result<state_chart> parseChart(std::string_view Text,
                                            const std::string &File) {
  line_finder Lines(Text);
  try {
    return readChart(readXml(Text), Lines);
  } catch (const boost::property_tree::xml_parser_error &Error) {
    return boost::leaf::new_error(
        chart_fault{chart_fault_kind::Syntax, File,
                    static_cast<std::uint32_t>(Error.line()), Error.message()});
  } catch (const located_error &Fault) {
    return boost::leaf::new_error(
        chart_fault{chart_fault_kind::Syntax, File, Fault.Line, Fault.Reason});
  }
}

boost::leaf::result<state_chart> loadChart(const std::string &File,
                                           const chart_vocabulary &Vocabulary) {
  std::ifstream Stream(File);
  std::ostringstream Text;
  if (!Stream || !(Text << Stream.rdbuf())) {
    return boost::leaf::new_error(
        chart_fault{chart_fault_kind::Unreadable, File, 0, "cannot be read"});
  }
  boost::leaf::result<state_chart> Chart = parseChart(Text.str(), File);
  if (!Chart)
    return Chart.error();
  boost::leaf::result<void> Checked = checkChart(*Chart, Vocabulary, File);
  if (!Checked)
    return Checked.error();
  return Chart;
}

std::string toText(const chart_fault &Fault) {
  return Fault.File + ":" + std::to_string(Fault.Line) + ": " +
         std::string(enumName(Fault.Kind)) + ": " + Fault.Reason;
}

} // namespace bronzespar

/// Lines of a request and of the decisions behind its outcome.
#include <bronzespar/log_story.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace bronzespar {

namespace {

namespace json = boost::json;

constexpr int TimeWidth = 9;   // characters
constexpr int HostWidth = 18;  // characters
constexpr int EventWidth = 20; // characters

/// \brief Which lines an outcome points to.
struct relation {
  std::string_view Cause; ///< Part of the outcome's cause or code.
  std::string_view Event; ///< Beginning of the related lines' event.
  std::string_view Field; ///< Must be equal in both; empty: none.
  bool SameHost = false;
  std::int64_t BeforeMs = 0;
  std::int64_t AfterMs = 0;
};

/// Settings in force are told once; what they say may be hours old.
constexpr std::int64_t AnyTime = std::int64_t{1} << 40;
/// A change of primary takes up to a lease, a call and its effect.
constexpr std::int64_t ChangeMs = 6000;
constexpr std::int64_t RecentMs = 2000;

constexpr relation Relations[] = {
    {"beyond its rate", "account.rate", "account", true, AnyTime, 0},
    {"beyond its rate", "host.", "", true, ChangeMs, 0},
    {"primary", "promotion.", "group", false, ChangeMs, ChangeMs},
    {"primary", "primary.", "group", false, ChangeMs, ChangeMs},
    {"primary", "duty.", "", false, ChangeMs, ChangeMs},
    {"InDoubt", "promotion.", "group", false, ChangeMs, ChangeMs},
    {"InDoubt", "connection.lost", "target", true, RecentMs, 0},
    {"Aborted", "connection.lost", "target", true, RecentMs, 0},
    {"lease", "lease.", "", true, ChangeMs, 0},
    {"lease", "store.", "", true, ChangeMs, 0},
    {"in time", "owner.silent", "", true, RecentMs, 0},
    {"in time", "target.refused", "", true, RecentMs, 0},
    {"in time", "connection.lost", "", true, RecentMs, 0},
    {"settings in force", "settings.adopted", "", true, AnyTime, 0},
};

std::string textOf(const json::value &Value) {
  if (const json::string *Text = Value.if_string())
    return std::string(std::string_view(*Text));
  return json::serialize(Value);
}

const std::string &fieldOf(const story_line &Line, std::string_view Name) {
  static const std::string None;
  const auto Found = Line.Fields.find(std::string(Name));
  return Found == Line.Fields.end() ? None : Found->second;
}

bool pointsTo(const relation &Relation, const story_line &Outcome,
              const story_line &Line) {
  const bool Applies =
      fieldOf(Outcome, "cause").find(Relation.Cause) != std::string::npos ||
      fieldOf(Outcome, "code") == Relation.Cause;
  const std::int64_t Age = Outcome.WallMs - Line.WallMs;
  return Applies && Line.Event.starts_with(Relation.Event) &&
         (!Relation.SameHost || Line.Host == Outcome.Host) &&
         (Relation.Field.empty() ||
          fieldOf(Line, Relation.Field) == fieldOf(Outcome, Relation.Field)) &&
         Age <= Relation.BeforeMs && -Age <= Relation.AfterMs;
}

bool isRelated(const std::vector<story_line> &Own, const story_line &Line) {
  return std::any_of(Own.begin(), Own.end(), [&](const story_line &Outcome) {
    return std::any_of(std::begin(Relations), std::end(Relations),
                       [&](const relation &Relation) {
                         return pointsTo(Relation, Outcome, Line);
                       });
  });
}

void sortByTime(std::vector<story_line> &Lines) {
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const story_line &Left, const story_line &Right) {
                     return Left.WallMs < Right.WallMs;
                   });
}

void formatLines(std::ostringstream &Text, const std::vector<story_line> &Lines,
                 std::int64_t StartMs) {
  for (const story_line &Line : Lines) {
    Text << std::right << std::setw(TimeWidth) << Line.WallMs - StartMs
         << " ms  " << std::left << std::setw(HostWidth) << Line.Host << ' '
         << std::setw(EventWidth) << Line.Event;
    for (const auto &[Name, Value] : Line.Fields)
      if (!Value.empty())
        Text << ' ' << Name << '=' << Value;
    Text << '\n';
  }
}

} // namespace

std::optional<story_line> parseStoryLine(std::string_view Text) {
  const std::size_t Begin = Text.find('{');
  if (Begin == std::string_view::npos)
    return std::nullopt;
  Text.remove_prefix(Begin);
  boost::system::error_code Error;
  const json::value Value = json::parse({Text.data(), Text.size()}, Error);
  const json::object *Object = Error ? nullptr : Value.if_object();
  if (Object == nullptr)
    return std::nullopt;
  story_line Line;
  for (const json::key_value_pair &Item : *Object) {
    if (Item.key() == "host")
      Line.Host = textOf(Item.value());
    else if (Item.key() == "event")
      Line.Event = textOf(Item.value());
    else if (Item.key() == "wall_ms" && Item.value().is_int64())
      Line.WallMs = Item.value().get_int64();
    else if (Item.key() != "now_us")
      Line.Fields[std::string(Item.key())] = textOf(Item.value());
  }
  if (Line.Event.empty())
    return std::nullopt;
  return Line;
}

request_story explainRequest(std::istream &Log, std::string_view Request) {
  request_story Story;
  std::string Text;
  while (std::getline(Log, Text)) {
    auto Line = parseStoryLine(Text);
    if (!Line)
      Story.UnreadLines += 1;
    else if (fieldOf(*Line, "request") == Request)
      Story.Own.push_back(std::move(*Line));
  }
  sortByTime(Story.Own);
  Log.clear();
  Log.seekg(0);
  while (std::getline(Log, Text)) {
    auto Line = parseStoryLine(Text);
    if (Line && fieldOf(*Line, "request").empty() &&
        isRelated(Story.Own, *Line))
      Story.Related.push_back(std::move(*Line));
  }
  sortByTime(Story.Related);
  return Story;
}

std::string formatStory(const request_story &Story) {
  std::ostringstream Text;
  const std::int64_t Start = Story.Own.empty() ? 0 : Story.Own.front().WallMs;
  Text << "the request:\n";
  formatLines(Text, Story.Own, Start);
  Text << "decisions that its outcome points to:\n";
  formatLines(Text, Story.Related, Start);
  if (Story.Related.empty())
    Text << "  none in this log\n";
  if (Story.UnreadLines > 0)
    Text << Story.UnreadLines << " lines are no structured log\n";
  return Text.str();
}

} // namespace bronzespar

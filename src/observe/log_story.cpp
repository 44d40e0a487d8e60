/// Finds the log lines of a request and of the decisions that led to its
/// outcome.
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

/// \brief Rule that relates log lines of other decisions to an outcome.
struct relation {
  std::string_view Cause; ///< Part of the outcome's cause, or its whole code.
  std::string_view Event; ///< Start of the related line's event name.
  std::string_view Field; ///< Field equal in both lines; empty: no field.
  bool SameHost = false;
  std::int64_t BeforeMs = 0;
  std::int64_t AfterMs = 0;
};

/// Active settings are logged only once, so the related line may be hours old.
constexpr std::int64_t AnyTime = std::int64_t{1} << 40;
/// Upper bound on a change of primary: a lease must expire, and the call to the
/// new primary must be sent and take effect.
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

bool isRelated(const std::vector<story_line> &RequestLines,
               const story_line &Line) {
  return std::any_of(
      RequestLines.begin(), RequestLines.end(), [&](const story_line &Outcome) {
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
  request_story Explanation;
  std::string Text;
  while (std::getline(Log, Text)) {
    auto Line = parseStoryLine(Text);
    if (!Line)
      Explanation.UnreadLines += 1;
    else if (fieldOf(*Line, "request") == Request)
      Explanation.Own.push_back(std::move(*Line));
  }
  sortByTime(Explanation.Own);
  Log.clear();
  Log.seekg(0);
  while (std::getline(Log, Text)) {
    auto Line = parseStoryLine(Text);
    if (Line && fieldOf(*Line, "request").empty() &&
        isRelated(Explanation.Own, *Line))
      Explanation.Related.push_back(std::move(*Line));
  }
  sortByTime(Explanation.Related);
  return Explanation;
}

std::string formatStory(const request_story &Explanation) {
  std::ostringstream Text;
  const std::int64_t Start =
      Explanation.Own.empty() ? 0 : Explanation.Own.front().WallMs;
  Text << "the request:\n";
  formatLines(Text, Explanation.Own, Start);
  Text << "decisions that its outcome points to:\n";
  formatLines(Text, Explanation.Related, Start);
  if (Explanation.Related.empty())
    Text << "  none in this log\n";
  if (Explanation.UnreadLines > 0)
    Text << Explanation.UnreadLines << " lines are no structured log\n";
  return Text.str();
}

} // namespace bronzespar

/// Finds the log lines of a request and of the decisions that led to its
/// outcome.
#include <bronzespar/request_explanation.hpp>

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
struct cause_rule {
  std::string_view
      CausePart; ///< Part of the outcome's cause, or its whole code.
  std::string_view EventPrefix; ///< Start of the related line's event name.
  std::string_view EqualField;  ///< Field equal in both lines; empty: no field.
  bool SameHost = false;
  std::int64_t MaxBeforeMs = 0;
  std::int64_t MaxAfterMs = 0;
};

/// Active settings are logged only once, so the related line may be hours old.
constexpr std::int64_t UnlimitedMs = std::int64_t{1} << 40;
/// Upper bound on a change of primary: a lease must expire, and the call to the
/// new primary must be sent and take effect.
constexpr std::int64_t PrimaryChangeMs = 6000;
constexpr std::int64_t RecentFailureMs = 2000;

constexpr cause_rule CauseRules[] = {
    {"beyond its rate", "account.rate", "account", true, UnlimitedMs, 0},
    {"beyond its rate", "host.", "", true, PrimaryChangeMs, 0},
    {"primary", "promotion.", "group", false, PrimaryChangeMs, PrimaryChangeMs},
    {"primary", "primary.", "group", false, PrimaryChangeMs, PrimaryChangeMs},
    {"primary", "duty.", "", false, PrimaryChangeMs, PrimaryChangeMs},
    {"InDoubt", "promotion.", "group", false, PrimaryChangeMs, PrimaryChangeMs},
    {"InDoubt", "connection.lost", "target", true, RecentFailureMs, 0},
    {"Aborted", "connection.lost", "target", true, RecentFailureMs, 0},
    {"lease", "lease.", "", true, PrimaryChangeMs, 0},
    {"lease", "store.", "", true, PrimaryChangeMs, 0},
    {"in time", "owner.silent", "", true, RecentFailureMs, 0},
    {"in time", "target.refused", "", true, RecentFailureMs, 0},
    {"in time", "connection.lost", "", true, RecentFailureMs, 0},
    {"settings in force", "settings.adopted", "", true, UnlimitedMs, 0},
};

std::string textOf(const json::value &Value) {
  if (const json::string *Text = Value.if_string())
    return std::string(std::string_view(*Text));
  return json::serialize(Value);
}

const std::string &fieldOf(const log_line &Line, std::string_view Name) {
  static const std::string None;
  const auto Found = Line.Fields.find(std::string(Name));
  return Found == Line.Fields.end() ? None : Found->second;
}

bool matchesRule(const cause_rule &Relation, const log_line &Outcome,
                 const log_line &Line) {
  const bool Applies =
      fieldOf(Outcome, "cause").find(Relation.CausePart) != std::string::npos ||
      fieldOf(Outcome, "code") == Relation.CausePart;
  const std::int64_t Age = Outcome.WallMs - Line.WallMs;
  return Applies && Line.Event.starts_with(Relation.EventPrefix) &&
         (!Relation.SameHost || Line.Host == Outcome.Host) &&
         (Relation.EqualField.empty() ||
          fieldOf(Line, Relation.EqualField) ==
              fieldOf(Outcome, Relation.EqualField)) &&
         Age <= Relation.MaxBeforeMs && -Age <= Relation.MaxAfterMs;
}

bool isRelated(const std::vector<log_line> &RequestLines,
               const log_line &Line) {
  return std::any_of(
      RequestLines.begin(), RequestLines.end(), [&](const log_line &Outcome) {
        return std::any_of(std::begin(CauseRules), std::end(CauseRules),
                           [&](const cause_rule &Relation) {
                             return matchesRule(Relation, Outcome, Line);
                           });
      });
}

void sortByTime(std::vector<log_line> &Lines) {
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const log_line &Left, const log_line &Right) {
                     return Left.WallMs < Right.WallMs;
                   });
}

void formatLines(std::ostringstream &Text, const std::vector<log_line> &Lines,
                 std::int64_t StartMs) {
  for (const log_line &Line : Lines) {
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

std::optional<log_line> parseLogLine(std::string_view Text) {
  const std::size_t Begin = Text.find('{');
  if (Begin == std::string_view::npos)
    return std::nullopt;
  Text.remove_prefix(Begin);
  boost::system::error_code Error;
  const json::value Value = json::parse({Text.data(), Text.size()}, Error);
  const json::object *Object = Error ? nullptr : Value.if_object();
  if (Object == nullptr)
    return std::nullopt;
  log_line Line;
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

request_explanation explainRequest(std::istream &Log,
                                   std::string_view Request) {
  request_explanation Explanation;
  std::string Text;
  while (std::getline(Log, Text)) {
    auto Line = parseLogLine(Text);
    if (!Line)
      Explanation.UnparsedLines += 1;
    else if (fieldOf(*Line, "request") == Request)
      Explanation.RequestLines.push_back(std::move(*Line));
  }
  sortByTime(Explanation.RequestLines);
  Log.clear();
  Log.seekg(0);
  while (std::getline(Log, Text)) {
    auto Line = parseLogLine(Text);
    if (Line && fieldOf(*Line, "request").empty() &&
        isRelated(Explanation.RequestLines, *Line))
      Explanation.RelatedLines.push_back(std::move(*Line));
  }
  sortByTime(Explanation.RelatedLines);
  return Explanation;
}

std::string formatExplanation(const request_explanation &Explanation) {
  std::ostringstream Text;
  const std::int64_t Start = Explanation.RequestLines.empty()
                                 ? 0
                                 : Explanation.RequestLines.front().WallMs;
  Text << "the request:\n";
  formatLines(Text, Explanation.RequestLines, Start);
  Text << "decisions that its outcome points to:\n";
  formatLines(Text, Explanation.RelatedLines, Start);
  if (Explanation.RelatedLines.empty())
    Text << "  none in this log\n";
  if (Explanation.UnparsedLines > 0)
    Text << Explanation.UnparsedLines << " lines are no structured log\n";
  return Text.str();
}

} // namespace bronzespar

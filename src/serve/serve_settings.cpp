/// Parser of a session host's settings.
#include "serve_settings.hpp"

#include <bronzespar/fleet_settings.hpp>
#include <bronzespar/ini_text.hpp>
#include <bronzespar/setting_rules.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <charconv>

namespace bronzespar::serve {

namespace {

namespace leaf = boost::leaf;

/// Error in the settings; thrown within this file only.
struct settings_error {
  std::string Text;
};

/// \returns Null when the settings lack the entry.
const ini_entry *findIn(const std::vector<ini_section> &Sections,
                        std::string_view Path, std::string_view Name) {
  for (const ini_section &Section : Sections)
    if (Section.Path == Path)
      if (const ini_entry *Entry = findEntry(Section, Name))
        return Entry;
  return nullptr;
}

/// Calls to the store take up to a few hundred milliseconds.
constexpr duration MinSettingsDeadline = std::chrono::milliseconds(1000);

constexpr std::size_t MinMemoryMb = 32;
constexpr std::size_t MinDescriptors = 128;

/// Whether an optional setting has a value. A platform that does not know the
/// field of the template leaves nothing, or the braces.
bool isFilled(const ini_entry *Entry) {
  return Entry != nullptr && !Entry->Value.empty() &&
         !Entry->Value.starts_with("{{");
}

const ini_entry &entryOf(const std::vector<ini_section> &Sections,
                         std::string_view Path, std::string_view Name) {
  if (const ini_entry *Entry = findIn(Sections, Path, Name))
    return *Entry;
  throw settings_error{"[" + std::string(Path) + "] lacks " +
                       std::string(Name)};
}

settings_error badValue(const ini_entry &Entry, std::string_view Wanted) {
  return {"line " + std::to_string(Entry.Line) + ": " + Entry.Name +
          " is not " + std::string(Wanted)};
}

endpoint endpointOf(const std::vector<ini_section> &Sections,
                    std::string_view Path, std::string_view Name) {
  const ini_entry &Entry = entryOf(Sections, Path, Name);
  const auto Where = parseEndpoint(Entry.Value);
  if (!Where)
    throw badValue(Entry, "an address:port");
  return *Where;
}

double numberOf(const std::vector<ini_section> &Sections, std::string_view Path,
                std::string_view Name) {
  const ini_entry &Entry = entryOf(Sections, Path, Name);
  double Value = 0;
  const char *End = Entry.Value.data() + Entry.Value.size();
  const auto Parsed = std::from_chars(Entry.Value.data(), End, Value);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End || !(Value >= 0))
    throw badValue(Entry, "a number");
  return Value;
}

/// \returns Nothing when the setting is not filled in.
std::optional<std::size_t> limitOf(const std::vector<ini_section> &Sections,
                                   std::string_view Name, std::size_t Least) {
  if (!isFilled(findIn(Sections, "limits", Name)))
    return std::nullopt;
  constexpr double Most = 1e9;
  const double Value = numberOf(Sections, "limits", Name);
  if (Value < static_cast<double>(Least) || Value > Most)
    throw badValue(entryOf(Sections, "limits", Name),
                   "between " + std::to_string(Least) + " and 1000000000");
  return static_cast<std::size_t>(Value);
}

/// The soft limit of the process.
std::size_t descriptorLimit() noexcept {
  constexpr std::size_t Unlimited = 65536;
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return Unlimited;
  return std::min<std::size_t>(Limit.rlim_cur, Unlimited);
}

duration millisecondsOf(double Number) {
  return duration(static_cast<duration::rep>(Number * 1000));
}

duration secondsOf(double Number) { return millisecondsOf(Number * 1000); }

/// An evacuation reaches a host as a version of the settings does, so that the
/// shorter of the two deadlines holds for both.
void setEvacuationPeriod(const std::vector<ini_section> &Sections,
                         serve_settings &Settings) {
  Settings.Identity.EvacuationPeriod =
      millisecondsOf(numberOf(Sections, "bounds", "evacuate_ms"));
  if (Settings.Identity.EvacuationPeriod < MinSettingsDeadline)
    throw badValue(entryOf(Sections, "bounds", "evacuate_ms"),
                   "at least 1000 ms");
  Settings.SettingsDeadline =
      std::min(Settings.SettingsDeadline, Settings.Identity.EvacuationPeriod);
}

serve_settings read(const std::vector<ini_section> &Sections) {
  serve_settings Settings;
  Settings.Identity.Name = entryOf(Sections, "host", "id").Value;
  Settings.Identity.DataCentre = entryOf(Sections, "host", "data_centre").Value;
  Settings.Identity.PeerEndpoint = endpointOf(Sections, "host", "peers");
  if (findIn(Sections, "host", "link_mbps") != nullptr)
    Settings.Identity.LinkMbps = numberOf(Sections, "host", "link_mbps");
  Settings.Callers = endpointOf(Sections, "host", "callers");
  Settings.Readiness = endpointOf(Sections, "host", "readiness");
  Settings.Metrics = endpointOf(Sections, "host", "metrics");
  Settings.Store = endpointOf(Sections, "platform", "store");
  Settings.PromotionEndpoint = endpointOf(Sections, "platform", "duty");
  Settings.Identity.MinimumLease =
      millisecondsOf(numberOf(Sections, "platform", "minimum_lease_ms"));
  Settings.Identity.GracePeriod =
      secondsOf(numberOf(Sections, "bounds", "grace_period_s"));
  Settings.Identity.DrainPeriod =
      millisecondsOf(numberOf(Sections, "bounds", "drain_ms"));
  if (isFilled(findIn(Sections, "bounds", "settings_ms")))
    Settings.SettingsDeadline =
        millisecondsOf(numberOf(Sections, "bounds", "settings_ms"));
  if (Settings.SettingsDeadline < MinSettingsDeadline)
    throw badValue(entryOf(Sections, "bounds", "settings_ms"),
                   "at least 1000 ms");
  if (isFilled(findIn(Sections, "bounds", "evacuate_ms")))
    setEvacuationPeriod(Sections, Settings);
  Settings.MemoryMb =
      limitOf(Sections, "memory_mb", MinMemoryMb).value_or(Settings.MemoryMb);
  Settings.MaxDescriptors =
      limitOf(Sections, "max_fds", MinDescriptors).value_or(descriptorLimit());
  return Settings;
}

std::optional<std::vector<ini_section>> sectionsOf(std::string_view Text,
                                                   std::string &Fault) {
  std::optional<std::vector<ini_section>> Out;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(auto Sections, parseIni(Text, "settings"));
        Out = std::move(Sections);
        return {};
      },
      [&] { Fault = "the settings file is not valid INI"; });
  return Out;
}

} // namespace

std::optional<serve_settings> parseServeSettings(std::string_view Text,
                                                 std::string &Fault) {
  const auto Sections = sectionsOf(Text, Fault);
  if (!Sections)
    return std::nullopt;
  try {
    return read(*Sections);
  } catch (const settings_error &Error) {
    Fault = Error.Text;
    return std::nullopt;
  }
}

} // namespace bronzespar::serve

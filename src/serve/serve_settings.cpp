/// Reader of a session host's settings.
#include "serve_settings.hpp"

#include <bronzespar/fleet_settings.hpp>
#include <bronzespar/ini_text.hpp>
#include <bronzespar/setting_rules.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <charconv>

namespace bronzespar::serve {

namespace {

namespace leaf = boost::leaf;

/// What is wrong with the settings.
struct serve_fault {
  std::string Text;
};

const ini_entry &entryOf(const std::vector<ini_section> &Sections,
                         std::string_view Path, std::string_view Name) {
  for (const ini_section &Section : Sections)
    if (Section.Path == Path)
      if (const ini_entry *Entry = findEntry(Section, Name))
        return *Entry;
  throw serve_fault{"[" + std::string(Path) + "] lacks " + std::string(Name)};
}

serve_fault badValue(const ini_entry &Entry, std::string_view Wanted) {
  return {"line " + std::to_string(Entry.Line) + ": " + Entry.Name + " is no " +
          std::string(Wanted)};
}

endpoint endpointOf(const std::vector<ini_section> &Sections,
                    std::string_view Path, std::string_view Name) {
  const ini_entry &Entry = entryOf(Sections, Path, Name);
  const auto Where = parseEndpoint(Entry.Value);
  if (!Where)
    throw badValue(Entry, "address:port");
  return *Where;
}

double numberOf(const std::vector<ini_section> &Sections, std::string_view Path,
                std::string_view Name) {
  const ini_entry &Entry = entryOf(Sections, Path, Name);
  double Value = 0;
  const char *End = Entry.Value.data() + Entry.Value.size();
  const auto Parsed = std::from_chars(Entry.Value.data(), End, Value);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End || !(Value >= 0))
    throw badValue(Entry, "number");
  return Value;
}

duration millisecondsOf(double Number) {
  return duration(static_cast<duration::rep>(Number * 1000));
}

duration secondsOf(double Number) { return millisecondsOf(Number * 1000); }

serve_settings read(const std::vector<ini_section> &Sections) {
  serve_settings Out;
  Out.Identity.Name = entryOf(Sections, "host", "id").Value;
  Out.Identity.DataCentre = entryOf(Sections, "host", "data_centre").Value;
  Out.Identity.PeerEndpoint = endpointOf(Sections, "host", "peers");
  Out.Callers = endpointOf(Sections, "host", "callers");
  Out.Readiness = endpointOf(Sections, "host", "readiness");
  Out.Metrics = endpointOf(Sections, "host", "metrics");
  Out.Store = endpointOf(Sections, "platform", "store");
  Out.Duty = endpointOf(Sections, "platform", "duty");
  Out.Identity.MinimumLease =
      millisecondsOf(numberOf(Sections, "platform", "minimum_lease_ms"));
  Out.Identity.GracePeriod =
      secondsOf(numberOf(Sections, "bounds", "grace_period_s"));
  Out.Identity.DrainPeriod =
      millisecondsOf(numberOf(Sections, "bounds", "drain_ms"));
  return Out;
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
      [&] { Fault = "the settings are no INI text"; });
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
  } catch (const serve_fault &Found) {
    Fault = Found.Text;
    return std::nullopt;
  }
}

} // namespace bronzespar::serve

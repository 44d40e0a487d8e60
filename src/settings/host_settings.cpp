/// Parses a host's own settings file.
#include <bronzespar/host_settings.hpp>

#include <bronzespar/ini_text.hpp>

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace bronzespar {

namespace {

constexpr std::size_t ShortestPeerKey = 16; // characters

constexpr auto HostSettingNames = std::to_array<std::string_view>(
    {"id", "data_centre", "callers", "peers", "platform", "peer_key",
     "settings_key", "log_level", "chart_directory", "slot"});

/// The section [host] of a file, with what faults need.
struct host_section {
  const std::string &File;
  const ini_section &Text;
};

auto fault(const host_section &Section, settings_fault_kind Kind,
           std::string_view Name, std::uint32_t Line, std::string Reason) {
  return boost::leaf::new_error(settings_fault{
      Kind, Section.File, Line, Section.Text.Path + ':' + std::string(Name),
      std::move(Reason)});
}

boost::leaf::result<std::string> required(const host_section &Section,
                                          std::string_view Name) {
  const ini_entry *Entry = findEntry(Section.Text, Name);
  if (Entry == nullptr || Entry->Value.empty())
    return fault(Section, settings_fault_kind::MissingSetting, Name,
                 Section.Text.Line, "the setting is required");
  return Entry->Value;
}

std::string valueOr(const host_section &Section, std::string_view Name,
                    const std::string &Default) {
  const ini_entry *Entry = findEntry(Section.Text, Name);
  return Entry != nullptr ? Entry->Value : Default;
}

boost::leaf::result<std::vector<endpoint>>
requiredEndpoints(const host_section &Section, std::string_view Name) {
  auto Text = required(Section, Name);
  if (!Text)
    return Text.error();
  std::vector<endpoint> Endpoints;
  for (const std::string &Word : splitWords(*Text)) {
    const auto Where = parseEndpoint(Word);
    if (!Where)
      return fault(Section, settings_fault_kind::WrongType, Name,
                   findEntry(Section.Text, Name)->Line,
                   "expected IP:PORT, got \"" + Word + '"');
    Endpoints.push_back(*Where);
  }
  return Endpoints;
}

boost::leaf::result<std::uint32_t> slotOf(const host_section &Section) {
  const ini_entry *Entry = findEntry(Section.Text, "slot");
  if (Entry == nullptr)
    return 0U;
  std::uint32_t Slot = 0;
  const char *End = Entry->Value.data() + Entry->Value.size();
  const auto Parsed = std::from_chars(Entry->Value.data(), End, Slot);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End)
    return fault(Section, settings_fault_kind::WrongType, "slot", Entry->Line,
                 "expected a whole number, got \"" + Entry->Value + '"');
  return Slot;
}

boost::leaf::result<void> checkNames(const host_section &Section) {
  for (const ini_entry &Entry : Section.Text.Entries) {
    const bool Known =
        std::find(HostSettingNames.begin(), HostSettingNames.end(),
                  Entry.Name) != HostSettingNames.end();
    if (!Known)
      return fault(Section, settings_fault_kind::UnknownSetting, Entry.Name,
                   Entry.Line, "there is no such setting");
  }
  return {};
}

boost::leaf::result<host_settings> readHost(const host_section &Section) {
  auto Names = checkNames(Section);
  if (!Names)
    return Names.error();
  host_settings Host;
  auto Id = required(Section, "id");
  if (!Id)
    return Id.error();
  auto DataCentre = required(Section, "data_centre");
  if (!DataCentre)
    return DataCentre.error();
  auto Callers = requiredEndpoints(Section, "callers");
  if (!Callers)
    return Callers.error();
  auto Peers = requiredEndpoints(Section, "peers");
  if (!Peers)
    return Peers.error();
  auto Platform = requiredEndpoints(Section, "platform");
  if (!Platform)
    return Platform.error();
  auto PeerKey = required(Section, "peer_key");
  if (!PeerKey)
    return PeerKey.error();
  if (PeerKey->size() < ShortestPeerKey)
    return fault(Section, settings_fault_kind::OutOfRange, "peer_key",
                 findEntry(Section.Text, "peer_key")->Line,
                 "must have at least 16 characters");
  Host.Id = host_id(*Id);
  Host.DataCentre = data_centre_id(*DataCentre);
  Host.Callers = Callers->front();
  Host.Peers = Peers->front();
  Host.Platform = *Platform;
  Host.PeerKey = *PeerKey;
  auto Slot = slotOf(Section);
  if (!Slot)
    return Slot.error();
  Host.Slot = *Slot;
  Host.SettingsKey = valueOr(Section, "settings_key", Host.SettingsKey);
  Host.LogLevel = valueOr(Section, "log_level", Host.LogLevel);
  Host.ChartDirectory =
      valueOr(Section, "chart_directory", Host.ChartDirectory);
  return Host;
}

boost::leaf::result<void> readAddresses(host_settings &Host,
                                        const host_section &Section) {
  for (const ini_entry &Entry : Section.Text.Entries) {
    if (!parseEndpoint(Entry.Value + ":1"))
      return fault(Section, settings_fault_kind::WrongType, Entry.Name,
                   Entry.Line,
                   "expected an IPv4 number, got \"" + Entry.Value + '"');
    Host.Addresses.push_back({data_centre_id(Entry.Name), Entry.Value});
  }
  return {};
}

const ini_section *findSection(const std::vector<ini_section> &Sections,
                               std::string_view Path) {
  const auto Found = std::find_if(
      Sections.begin(), Sections.end(),
      [Path](const ini_section &Section) { return Section.Path == Path; });
  return Found == Sections.end() ? nullptr : &*Found;
}

} // namespace

boost::leaf::result<host_settings> parseHostSettings(std::string_view Text,
                                                     const std::string &File) {
  auto Sections = parseIni(Text, File);
  if (!Sections)
    return Sections.error();
  for (const ini_section &Section : *Sections) {
    if (Section.Path != "host" && Section.Path != "addresses")
      return fault({File, Section}, settings_fault_kind::UnknownSection, "",
                   Section.Line, "expected [host] or [addresses]");
  }
  const ini_section *Host = findSection(*Sections, "host");
  if (Host == nullptr)
    return boost::leaf::new_error(
        settings_fault{settings_fault_kind::MissingSetting, File, 0, "host",
                       "the section is required"});
  auto Settings = readHost({File, *Host});
  if (!Settings)
    return Settings.error();
  if (const ini_section *Addresses = findSection(*Sections, "addresses")) {
    auto Read = readAddresses(*Settings, {File, *Addresses});
    if (!Read)
      return Read.error();
  }
  return std::move(*Settings);
}

boost::leaf::result<std::vector<address_mapping>>
parseAddresses(std::string_view Text, const std::string &File) {
  auto Sections = parseIni(Text, File);
  if (!Sections)
    return Sections.error();
  host_settings Host;
  for (const ini_section &Section : *Sections) {
    if (Section.Path != "addresses")
      return fault({File, Section}, settings_fault_kind::UnknownSection, "",
                   Section.Line, "expected [addresses]");
    auto Read = readAddresses(Host, {File, Section});
    if (!Read)
      return Read.error();
  }
  return std::move(Host.Addresses);
}

endpoint mapAddress(const host_settings &Host, const data_centre_id &DataCentre,
                    const endpoint &Where) {
  for (const address_mapping &Mapping : Host.Addresses) {
    if (Mapping.DataCentre == DataCentre)
      return {Mapping.Address, Where.Port};
  }
  return Where;
}

} // namespace bronzespar

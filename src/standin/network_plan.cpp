/// Reading of NETWORK.ini.
#include "network_plan.hpp"

#include "ini_sections.hpp"

#include <bronzespar/endpoint.hpp>

#include <algorithm>
#include <limits>
#include <set>
#include <sstream>

namespace bronzespar::standin {

namespace leaf = boost::leaf;

namespace {

constexpr std::uint32_t MostPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint32_t LongestLatencyUs = 60'000'000;

/// A section that is being read, for messages.
struct section_place {
  const ini_section &Section;
  const std::string &File;
};

std::string describe(const section_place &Place, std::string_view Name) {
  return Place.File + ": [" + Place.Section.Path + "] " + std::string(Name);
}

leaf::result<std::string> requireNumber(const section_place &Place,
                                        std::string_view Name) {
  BOOST_LEAF_AUTO(Text, requireSetting(Place.Section, Name, Place.File));
  // Any port serves to check the number.
  if (!parseEndpoint(Text + ":1"))
    return leaf::new_error(standin_fault{describe(Place, Name) + ": '" + Text +
                                         "' is not an IP number"});
  return Text;
}

leaf::result<void> checkNames(const section_place &Place,
                              const std::vector<std::string_view> &Known) {
  for (const ini_setting &Setting : Place.Section.Settings) {
    if (std::find(Known.begin(), Known.end(), Setting.Name) == Known.end())
      return leaf::new_error(
          standin_fault{describe(Place, Setting.Name) + ": unknown setting"});
  }
  return {};
}

leaf::result<network_zone> toZone(const section_place &Place,
                                  const std::string &Name) {
  if (auto Checked = checkNames(Place, {"address", "ports"}); !Checked)
    return Checked.error();
  network_zone Zone;
  Zone.Name = Name;
  BOOST_LEAF_ASSIGN(Zone.Address, requireNumber(Place, "address"));
  BOOST_LEAF_AUTO(Ports, requireSetting(Place.Section, "ports", Place.File));
  for (const std::string &Word : splitWords(Ports)) {
    BOOST_LEAF_AUTO(Port,
                    parseWhole(Word, 1, MostPort, describe(Place, "ports")));
    Zone.Ports.push_back(static_cast<std::uint16_t>(Port));
  }
  if (Zone.Ports.empty())
    return leaf::new_error(
        standin_fault{describe(Place, "ports") + ": no port is given"});
  return Zone;
}

leaf::result<network_link> toLink(const section_place &Place,
                                  const std::string &From,
                                  const std::string &To) {
  if (auto Checked = checkNames(Place, {"listen", "latency_us"}); !Checked)
    return Checked.error();
  network_link Link;
  Link.From = From;
  Link.To = To;
  BOOST_LEAF_ASSIGN(Link.Listen, requireNumber(Place, "listen"));
  BOOST_LEAF_AUTO(Text,
                  requireSetting(Place.Section, "latency_us", Place.File));
  BOOST_LEAF_AUTO(Latency, parseWhole(Text, 0, LongestLatencyUs,
                                      describe(Place, "latency_us")));
  Link.Latency = duration(Latency);
  return Link;
}

leaf::result<void> addSection(network_plan &Plan, const section_place &Place) {
  const std::vector<std::string> Parts = splitPath(Place.Section.Path);
  if (Parts.size() == 2 && Parts[0] == "zones") {
    BOOST_LEAF_AUTO(Zone, toZone(Place, Parts[1]));
    Plan.Zones.push_back(std::move(Zone));
    return {};
  }
  if (Parts.size() == 3 && Parts[0] == "links") {
    BOOST_LEAF_AUTO(Link, toLink(Place, Parts[1], Parts[2]));
    Plan.Links.push_back(std::move(Link));
    return {};
  }
  return leaf::new_error(standin_fault{Place.File + ": unknown section [" +
                                       Place.Section.Path + "]"});
}

leaf::error_id linkFault(const network_link &Link, const std::string &File,
                         const std::string &Reason) {
  std::ostringstream Text;
  Text << File << ": [links/" << Link.From << '/' << Link.To << "]: " << Reason;
  return leaf::new_error(standin_fault{Text.str()});
}

leaf::result<void> checkLinks(const network_plan &Plan,
                              const std::string &File) {
  std::set<endpoint> Listens;
  for (const network_link &Link : Plan.Links) {
    const network_zone *Zone = findZone(Plan, Link.To);
    if (!Zone)
      return linkFault(Link, File, "zone '" + Link.To + "' is missing");
    for (const std::uint16_t Port : Zone->Ports) {
      const endpoint Where{Link.Listen, Port};
      if (!Listens.insert(Where).second)
        return linkFault(Link, File, toText(Where) + " is listened on already");
    }
  }
  return {};
}

} // namespace

leaf::result<network_plan> parseNetworkPlan(const std::string &Text,
                                            const std::string &File) {
  BOOST_LEAF_AUTO(Sections, parseIni(Text, File));
  network_plan Plan;
  for (const ini_section &Section : Sections)
    if (auto Checked = addSection(Plan, {Section, File}); !Checked)
      return Checked.error();
  if (auto Checked = checkLinks(Plan, File); !Checked)
    return Checked.error();
  return Plan;
}

const network_zone *findZone(const network_plan &Plan,
                             const std::string &Name) {
  const auto Found = std::find_if(
      Plan.Zones.begin(), Plan.Zones.end(),
      [&Name](const network_zone &Zone) { return Zone.Name == Name; });
  return Found == Plan.Zones.end() ? nullptr : &*Found;
}

std::vector<std::string> zoneNames(const network_plan &Plan) {
  std::set<std::string> Names;
  for (const network_zone &Zone : Plan.Zones)
    Names.insert(Zone.Name);
  for (const network_link &Link : Plan.Links) {
    Names.insert(Link.From);
    Names.insert(Link.To);
  }
  return {Names.begin(), Names.end()};
}

} // namespace bronzespar::standin

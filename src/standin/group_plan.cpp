/// Reading of a stand-in target's group from the fleet's settings.
#include "group_plan.hpp"

#include "ini_sections.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace bronzespar::standin {

namespace leaf = boost::leaf;

namespace {

/// Turns faults of the settings layer into this layer's own.
leaf::result<fleet_settings> parseFleet(const std::string &Text,
                                        const std::string &File) {
  return leaf::try_handle_some(
      [&] { return parseFleetSettings(Text, File); },
      [](const settings_fault &Fault) -> leaf::result<fleet_settings> {
        return leaf::new_error(standin_fault{toText(Fault)});
      });
}

} // namespace

leaf::result<group_plan> parseGroupPlan(const std::string &Text,
                                        const std::string &File,
                                        const std::string &Target) {
  BOOST_LEAF_AUTO(Fleet, parseFleet(Text, File));
  const target_settings *Self = findTarget(Fleet, target_id(Target));
  if (!Self)
    return leaf::new_error(
        standin_fault{File + ": no group has a member '" + Target + "'"});
  return group_plan{*Self, findGroup(Fleet, Self->Group)->Members, {}};
}

leaf::result<std::vector<address_mapping>>
parseAddresses(const std::string &Text, const std::string &File) {
  BOOST_LEAF_AUTO(Sections, parseIni(Text, File));
  std::vector<address_mapping> Addresses;
  for (const ini_section &Section : Sections) {
    if (Section.Path != "addresses")
      return leaf::new_error(
          standin_fault{File + ": unknown section [" + Section.Path + "]"});
    for (const ini_setting &Setting : Section.Settings) {
      // Any port serves to check the number.
      if (!parseEndpoint(Setting.Value + ":1"))
        return leaf::new_error(standin_fault{File + ": " + Setting.Name +
                                             ": '" + Setting.Value +
                                             "' is not an IP number"});
      Addresses.push_back({data_centre_id(Setting.Name), Setting.Value});
    }
  }
  return Addresses;
}

const target_settings *findMember(const group_plan &Plan,
                                  const std::string &Target) {
  const auto Found = std::find_if(Plan.Members.begin(), Plan.Members.end(),
                                  [&Target](const target_settings &Member) {
                                    return Member.Id.Value == Target;
                                  });
  return Found == Plan.Members.end() ? nullptr : &*Found;
}

std::optional<endpoint> replicationAddress(const group_plan &Plan,
                                           const std::string &Primary,
                                           const std::string &Given) {
  const target_settings *Member = findMember(Plan, Primary);
  std::optional<endpoint> Where = parseEndpoint(Given);
  if (!Member)
    return Where;
  if (!Where)
    Where = Member->Replication;
  for (const address_mapping &Mapping : Plan.Addresses) {
    if (Mapping.DataCentre == Member->DataCentre)
      Where->Address = Mapping.Address;
  }
  return Where;
}

} // namespace bronzespar::standin

/// Parses and checks the fleet settings: first each section against the table
/// of rules, then the references between sections.
#include <bronzespar/fleet_settings.hpp>

#include "settings/section_reader.hpp"

#include <boost/leaf/error.hpp>

#include <algorithm>

namespace bronzespar {

namespace {

using impl::checked_section;

/// What parsing builds up.
struct fleet_builder {
  const std::string &File;
  fleet_settings Fleet;
  std::vector<checked_section> Sections;
};

void addTarget(fleet_settings &Fleet, const checked_section &Section) {
  target_settings Target;
  Target.Id = target_id(Section.Id);
  Target.Group = group_id(Section.Parent);
  Target.DataCentre = data_centre_id(textOf(Section, "data_centre"));
  Target.Statements = endpointOf(Section, "statements");
  Target.Maintenance = endpointOf(Section, "maintenance");
  Target.Replication = endpointOf(Section, "replication");
  Target.Slots = wholeOf(Section, "slots");
  Target.Connections = wholeOf(Section, "connections");
  Target.Leaving = flagOf(Section, "leaving");
  const auto Group = std::find_if(
      Fleet.Groups.begin(), Fleet.Groups.end(),
      [&](const group_settings &Known) { return Known.Id == Target.Group; });
  if (Group != Fleet.Groups.end())
    Group->Members.push_back(std::move(Target));
  else
    Fleet.Groups.push_back({Target.Group, {Target}});
}

void addAccount(fleet_settings &Fleet, const checked_section &Section) {
  Fleet.Accounts.push_back({account_id(Section.Id), numberOf(Section, "rate"),
                            numberOf(Section, "burst"),
                            numberOf(Section, "weight")});
}

request_class classOf(const std::string &Name) {
  if (Name == "urgent")
    return request_class::Urgent;
  return Name == "settlement" ? request_class::Settlement
                              : request_class::Normal;
}

void addRoute(fleet_settings &Fleet, const checked_section &Section) {
  route_settings Route;
  Route.Id = route_id(Section.Id);
  Route.Group = group_id(textOf(Section, "group"));
  Route.Class = classOf(textOf(Section, "class"));
  Route.Open = flagOf(Section, "open");
  Route.Deadline = std::chrono::milliseconds(wholeOf(Section, "deadline_ms"));
  for (std::string &Account : wordsOf(Section, "accounts"))
    Route.Accounts.emplace_back(std::move(Account));
  Fleet.Routes.push_back(std::move(Route));
}

void addSection(fleet_settings &Fleet, const checked_section &Section) {
  switch (Section.Kind) {
  case section_kind::DataCentre:
    Fleet.DataCentres.push_back({data_centre_id(Section.Id),
                                 textOf(Section, "region"),
                                 wholeOf(Section, "hosts")});
    return;
  case section_kind::Target:
    return addTarget(Fleet, Section);
  case section_kind::Account:
    return addAccount(Fleet, Section);
  case section_kind::Route:
    return addRoute(Fleet, Section);
  case section_kind::Key:
    Fleet.Keys.push_back({key_id(Section.Id),
                          account_id(textOf(Section, "account")),
                          impl::lowerCase(textOf(Section, "digest")),
                          flagOf(Section, "withdrawn")});
    return;
  case section_kind::Operator:
    Fleet.Operators.push_back({Section.Id, textOf(Section, "subtree"),
                               impl::lowerCase(textOf(Section, "digest"))});
    return;
  case section_kind::Sessions:
    Fleet.TokenKey = textOf(Section, "token_key");
    return;
  }
}

/// Gives "*" its meaning, once all accounts are known.
void expandRouteAccounts(fleet_settings &Fleet) {
  for (route_settings &Route : Fleet.Routes) {
    if (Route.Accounts != std::vector{account_id("*")})
      continue;
    Route.Accounts.clear();
    for (const account_settings &Account : Fleet.Accounts)
      Route.Accounts.push_back(Account.Id);
  }
}

boost::leaf::result<void> missing(const fleet_builder &Builder,
                                  const checked_section &Section,
                                  const char *Setting,
                                  const std::string &Reason) {
  return boost::leaf::new_error(settings_fault{
      settings_fault_kind::MissingReference, Builder.File,
      lineOf(Section, Setting), Section.Path + ':' + Setting, Reason});
}

boost::leaf::result<void> checkTarget(const fleet_builder &Builder,
                                      const checked_section &Section) {
  const std::string DataCentre = textOf(Section, "data_centre");
  const auto &Known = Builder.Fleet.DataCentres;
  const bool Found = std::any_of(Known.begin(), Known.end(),
                                 [&](const data_centre_settings &Item) {
                                   return Item.Id.Value == DataCentre;
                                 });
  if (!Found)
    return missing(Builder, Section, "data_centre",
                   "there is no data centre " + DataCentre);
  if (wholeOf(Section, "connections") < wholeOf(Section, "slots"))
    return boost::leaf::new_error(settings_fault{
        settings_fault_kind::OutOfRange, Builder.File,
        lineOf(Section, "connections"), Section.Path + ":connections",
        "must be at least slots"});
  return {};
}

boost::leaf::result<void> checkRoute(const fleet_builder &Builder,
                                     const checked_section &Section) {
  const std::string Group = textOf(Section, "group");
  if (findGroup(Builder.Fleet, group_id(Group)) == nullptr)
    return missing(Builder, Section, "group", "there is no group " + Group);
  for (const std::string &Account : wordsOf(Section, "accounts")) {
    if (Account != "*" &&
        findAccount(Builder.Fleet, account_id(Account)) == nullptr)
      return missing(Builder, Section, "accounts",
                     "there is no account " + Account);
  }
  return {};
}

boost::leaf::result<void> checkKey(const fleet_builder &Builder,
                                   const checked_section &Section) {
  const std::string Account = textOf(Section, "account");
  if (findAccount(Builder.Fleet, account_id(Account)) == nullptr)
    return missing(Builder, Section, "account",
                   "there is no account " + Account);
  return {};
}

boost::leaf::result<void> checkReferences(const fleet_builder &Builder,
                                          const checked_section &Section) {
  switch (Section.Kind) {
  case section_kind::Target:
    return checkTarget(Builder, Section);
  case section_kind::Route:
    return checkRoute(Builder, Section);
  case section_kind::Key:
    return checkKey(Builder, Section);
  default:
    return {};
  }
}

boost::leaf::result<void> checkGroups(const fleet_builder &Builder) {
  for (const group_settings &Group : Builder.Fleet.Groups) {
    if (Group.Members.size() % 2 == 0)
      return boost::leaf::new_error(
          settings_fault{settings_fault_kind::OutOfRange, Builder.File, 0,
                         "groups/" + Group.Id.Value,
                         "a group needs an odd number of members, this has " +
                             std::to_string(Group.Members.size())});
  }
  if (Builder.Fleet.TokenKey.empty())
    return boost::leaf::new_error(
        settings_fault{settings_fault_kind::MissingSetting, Builder.File, 0,
                       "sessions:token_key", "the setting is required"});
  return {};
}

boost::leaf::result<void> checkWhole(const fleet_builder &Builder) {
  for (const checked_section &Section : Builder.Sections) {
    auto Checked = checkReferences(Builder, Section);
    if (!Checked)
      return Checked;
  }
  return checkGroups(Builder);
}

template <class Items, class Id>
const typename Items::value_type *findById(const Items &All, const Id &Wanted) {
  const auto Found =
      std::find_if(All.begin(), All.end(),
                   [&](const auto &Item) { return Item.Id == Wanted; });
  return Found == All.end() ? nullptr : &*Found;
}

} // namespace

std::string toText(const settings_fault &Fault) {
  std::string Text = Fault.File;
  if (Fault.Line != 0)
    Text += ':' + std::to_string(Fault.Line);
  if (!Fault.Path.empty())
    Text += ": " + Fault.Path;
  return Text + ": " + Fault.Reason;
}

boost::leaf::result<fleet_settings>
parseFleetSettings(std::string_view Text, const std::string &File) {
  auto Sections = impl::readSections(Text, File);
  if (!Sections)
    return Sections.error();
  fleet_builder Builder{File, {}, std::move(*Sections)};
  for (const checked_section &Section : Builder.Sections)
    addSection(Builder.Fleet, Section);
  auto Checked = checkWhole(Builder);
  if (!Checked)
    return Checked.error();
  expandRouteAccounts(Builder.Fleet);
  return std::move(Builder.Fleet);
}

const account_settings *findAccount(const fleet_settings &Fleet,
                                    const account_id &Id) {
  return findById(Fleet.Accounts, Id);
}

const route_settings *findRoute(const fleet_settings &Fleet,
                                const route_id &Id) {
  return findById(Fleet.Routes, Id);
}

const group_settings *findGroup(const fleet_settings &Fleet,
                                const group_id &Id) {
  return findById(Fleet.Groups, Id);
}

const target_settings *findTarget(const fleet_settings &Fleet,
                                  const target_id &Id) {
  for (const group_settings &Group : Fleet.Groups) {
    if (const target_settings *Found = findById(Group.Members, Id))
      return Found;
  }
  return nullptr;
}

} // namespace bronzespar

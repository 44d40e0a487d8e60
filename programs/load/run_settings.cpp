/// Reading of the run's settings.
#include "run_settings.hpp"

#include <boost/describe/enumerators.hpp>
#include <boost/leaf/common.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/mp11/algorithm.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <cctype>
#include <fstream>
#include <sstream>

namespace bronzespar::load {

namespace {

using boost::leaf::new_error;
using boost::leaf::result;
using boost::property_tree::ptree;

result<ptree> readIni(const std::string &File) {
  ptree Tree;
  try {
    boost::property_tree::read_ini(File, Tree);
  } catch (const boost::property_tree::ini_parser_error &Error) {
    return new_error(run_fault{Error.what()});
  }
  return Tree;
}

result<std::string> readText(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream)
    return new_error(run_fault{File + " cannot be read"});
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

result<endpoint> readEndpoint(const ptree &Section, const char *Name) {
  const auto Text = Section.get<std::string>(Name, "");
  const auto Where = parseEndpoint(Text);
  if (!Where)
    return new_error(run_fault{std::string(Name) + " is not IP:PORT: " + Text});
  return *Where;
}

/// The id at the end of a section "KIND/ID"; empty for another kind.
std::string idOf(const std::string &Section, const std::string &Kind) {
  const std::string Prefix = Kind + '/';
  if (Section.compare(0, Prefix.size(), Prefix) != 0)
    return {};
  return Section.substr(Prefix.size());
}

result<void> readHost(load_run &Run, const std::string &Id,
                      const ptree &Section) {
  load_host Host;
  Host.Id = host_id(Id);
  Host.DataCentre = data_centre_id(Section.get<std::string>("data_centre", ""));
  BOOST_LEAF_ASSIGN(Host.Callers, readEndpoint(Section, "callers"));
  Host.Pid = Section.get<int>("pid", 0);
  Run.Hosts.push_back(std::move(Host));
  return {};
}

result<void> readTarget(load_run &Run, const std::string &Id,
                        const ptree &Section) {
  load_target Target;
  Target.Id = target_id(Id);
  const target_settings *Settings = findTarget(Run.Fleet, Target.Id);
  if (Settings == nullptr)
    return new_error(run_fault{"no target " + Id + " in the settings"});
  Target.Group = Settings->Group;
  BOOST_LEAF_ASSIGN(Target.Control, readEndpoint(Section, "control"));
  Target.Pid = Section.get<int>("pid", 0);
  Run.Targets.push_back(std::move(Target));
  return {};
}

/// Reads a section of a host or target; passes over all others.
result<void> readListed(load_run &Run, const std::string &Name,
                        const ptree &Section) {
  if (const std::string Id = idOf(Name, "hosts"); !Id.empty())
    return readHost(Run, Id, Section);
  if (const std::string Id = idOf(Name, "targets"); !Id.empty())
    return readTarget(Run, Id, Section);
  return {};
}

std::string snakeCase(std::string_view Name) {
  std::string Text;
  for (const char Letter : Name) {
    const auto Code = static_cast<unsigned char>(Letter);
    if (std::isupper(Code) != 0 && !Text.empty())
      Text += '_';
    Text += static_cast<char>(std::tolower(Code));
  }
  return Text;
}

load_settings readLoad(const ptree &Bench) {
  load_settings Load;
  const ptree Empty;
  const ptree &Amount = Bench.get_child("load", Empty);
  Load.PartOfRate = Amount.get("part_of_rate", Load.PartOfRate);
  Load.SessionsPerAccount =
      Amount.get("sessions_per_account", Load.SessionsPerAccount);
  Load.OpenRate = Amount.get("open_rate", Load.OpenRate);
  Load.SurgeFactor = Amount.get("surge_factor", Load.SurgeFactor);
  const ptree &Mix = Bench.get_child("mix", Empty);
  using kinds = boost::describe::describe_enumerators<work_kind>;
  boost::mp11::mp_for_each<kinds>([&](auto Kind) {
    double &Weight = Load.Mix[static_cast<std::size_t>(Kind.value)];
    Weight = Mix.get(snakeCase(Kind.name), Weight);
  });
  const auto MaxAgeMs = Mix.get<std::int64_t>("max_age_ms", 500);
  Load.MaxAge = std::chrono::milliseconds(MaxAgeMs);
  return Load;
}

result<fleet_settings> readFleet(const std::string &File) {
  BOOST_LEAF_AUTO(Text, readText(File));
  return boost::leaf::try_handle_some(
      [&]() -> result<fleet_settings> {
        return parseFleetSettings(Text, File);
      },
      [](const settings_fault &Fault) -> result<fleet_settings> {
        return new_error(run_fault{toText(Fault)});
      });
}

} // namespace

result<load_run> readRun(const std::string &File) {
  BOOST_LEAF_AUTO(Tree, readIni(File));
  load_run Run;
  BOOST_LEAF_AUTO(Fleet,
                  readFleet(Tree.get<std::string>("files.settings", "")));
  Run.Fleet = std::move(Fleet);
  BOOST_LEAF_AUTO(Keys, readIni(Tree.get<std::string>("files.keys", "")));
  const ptree Empty;
  for (const auto &[Account, Key] : Keys.get_child("keys", Empty))
    Run.Keys[Account] = Key.data();
  BOOST_LEAF_AUTO(Bench, readIni(Tree.get<std::string>("files.bench", "")));
  Run.Load = readLoad(Bench);
  Run.HealMarker = Tree.get<std::string>("files.heal_marker", "");
  const ptree &StandIns = Tree.get_child("stand-ins", Empty);
  BOOST_LEAF_ASSIGN(Run.PlatformControl, readEndpoint(StandIns, "platform"));
  BOOST_LEAF_ASSIGN(Run.NetworkControl, readEndpoint(StandIns, "network"));
  for (const auto &[Name, Section] : Tree) {
    result<void> Read = readListed(Run, Name, Section);
    if (!Read)
      return Read.error();
  }
  if (Run.Hosts.empty())
    return new_error(run_fault{File + " names no host"});
  return Run;
}

std::vector<rate_limit> limitsOf(const fleet_settings &Fleet) {
  std::vector<rate_limit> Limits;
  Limits.reserve(Fleet.Accounts.size());
  for (const account_settings &Account : Fleet.Accounts)
    Limits.push_back({Account.RatePerSecond, Account.Burst});
  return Limits;
}

} // namespace bronzespar::load

/// Settings of one run of the load tool.
#pragma once

#include <bronzespar/fleet_settings.hpp>
#include <load/plan.hpp>
#include <load/report.hpp>

#include <boost/leaf/result.hpp>

#include <map>
#include <string>
#include <vector>

namespace bronzespar::load {

/// \brief Error of the load tool: a file that it cannot use.
struct run_fault {
  std::string Reason; ///< Sentence for a person.
};

struct load_host {
  host_id Id;
  data_centre_id DataCentre;
  endpoint Callers; ///< As the callers reach it.
  int Pid = 0;
};

struct load_target {
  target_id Id;
  group_id Group;
  endpoint Control; ///< Control port of the stand-in.
  int Pid = 0;
};

struct load_run {
  run_identity Identity;
  duration Length{};
  fleet_settings Fleet;
  std::map<std::string, std::string> Keys; ///< Clear key by account.
  load_settings Load;
  std::vector<load_host> Hosts;
  std::vector<load_target> Targets;
  endpoint PlatformControl;
  endpoint NetworkControl;
  /// Written when the fault is healed, so that the runner starts killed
  /// processes again.
  std::string HealMarker;
};

/// \brief Reads the run's file and those that it names.
/// \returns The run without identity and length, or an error carrying
/// run_fault.
[[nodiscard]] boost::leaf::result<load_run> readRun(const std::string &File);

/// \brief Limits of the accounts, by their number in the settings.
[[nodiscard]] std::vector<rate_limit> limitsOf(const fleet_settings &Fleet);

} // namespace bronzespar::load

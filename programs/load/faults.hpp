/// Faults that a run injects and heals.
#pragma once

#include "driver.hpp"

#include <boost/leaf/result.hpp>

#include <functional>

namespace bronzespar::load {

enum class fault_kind {
  None,
  PrimaryCut,        ///< A primary is cut off from peers and hosts.
  PrimaryFreeze,     ///< A primary's process stands still.
  HostKill,          ///< A host dies without notice.
  PlatformOutage,    ///< The platform refuses all calls.
  ReplicaLag,        ///< One replica of each group falls behind.
  SilentConnections, ///< Open connections to a group's members go silent.
  DcCut,             ///< A data centre is cut off from others and platform.
  AccountSurge       ///< An account asks for several times its rate.
};
BOOST_DESCRIBE_ENUM(fault_kind, None, PrimaryCut, PrimaryFreeze, HostKill,
                    PlatformOutage, ReplicaLag, SilentConnections, DcCut,
                    AccountSurge)

/// \brief Finds a fault by its name on the command line, such as
/// "primary-cut".
[[nodiscard]] std::optional<fault_kind> faultFromName(const std::string &Name);

/// \brief Begins the fault; the seed chooses whom it hits.
/// \param Handler Called with the groups hit, once the fault is in force;
/// Heal undoes it.
struct active_fault {
  std::vector<std::string> Groups;
  std::function<void()> Heal;
};
using fault_handler = std::function<void(active_fault)>;
void injectFault(driver &Driver, fault_kind Kind, const fault_handler &Handler);

} // namespace bronzespar::load

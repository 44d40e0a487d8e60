/// NETWORK.ini: zones and the links between them.
#pragma once

#include "program.hpp"

#include <bronzespar/instant.hpp>

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace bronzespar::standin {

/// \brief A zone's own address and the ports that are relayed to it.
struct network_zone {
  std::string Name;
  std::string Address;
  std::vector<std::uint16_t> Ports;
};

/// \brief Relays for connections from one zone to another.
/// Invariant: To names a zone of the plan.
struct network_link {
  std::string From;
  std::string To;
  std::string Listen; ///< IP number.
  duration Latency{}; ///< One way, each direction.
};

struct network_plan {
  std::vector<network_zone> Zones;
  std::vector<network_link> Links;
};

/// \brief Parses and checks a NETWORK.ini.
[[nodiscard]] boost::leaf::result<network_plan>
parseNetworkPlan(const std::string &Text, const std::string &File);

/// \brief Finds a zone. \returns nullptr when there is none.
[[nodiscard]] const network_zone *findZone(const network_plan &Plan,
                                           const std::string &Name);

/// \brief All names that zones and links mention, sorted.
[[nodiscard]] std::vector<std::string> zoneNames(const network_plan &Plan);

} // namespace bronzespar::standin

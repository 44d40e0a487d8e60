/// Settings of one host: who it is and where it listens.
#pragma once

#include <bronzespar/fleet_settings.hpp>

#include <string>
#include <vector>

namespace bronzespar {

/// \brief Address under which a data centre is reached from this host.
struct address_mapping {
  data_centre_id DataCentre;
  std::string Address;
};

/// \brief Contents of a host's own INI file.
///
/// \code{.ini}
/// [host]
/// id = host-1
/// data_centre = suva
/// slot = 0
/// callers = 127.0.0.1:8101
/// peers = 127.0.0.1:8201
/// platform = 127.0.10.99:7000
/// peer_key = shared-by-all-hosts
/// [addresses]
/// nadi = 127.0.10.11
/// \endcode
struct host_settings {
  host_id Id;
  data_centre_id DataCentre;
  /// Place among the data centre's hosts, from 0; a replacement host takes over
  /// the slot. Two live hosts of one data centre must not have the same.
  std::uint32_t Slot = 0;
  endpoint Callers;               ///< HTTP for callers and operators.
  endpoint Peers;                 ///< TCP frames from other hosts.
  std::vector<endpoint> Platform; ///< Any of them answers for the platform.
  std::string PeerKey;            ///< Authenticates frames between hosts.
  /// Operators' settings live below this key in the platform's store.
  std::string SettingsKey = "/bronzespar/settings";
  std::vector<address_mapping> Addresses;
  std::string LogLevel = "INFO";
  std::string ChartDirectory = "charts";
};

/// \brief Parses a host's settings file.
/// \returns The settings, or an error carrying settings_fault.
[[nodiscard]] boost::leaf::result<host_settings>
parseHostSettings(std::string_view Text, const std::string &File);

/// \brief Parses a text that holds only the section [addresses].
/// \returns The mappings, or an error carrying settings_fault.
[[nodiscard]] boost::leaf::result<std::vector<address_mapping>>
parseAddresses(std::string_view Text, const std::string &File);

/// \brief Address to dial for a listener that stands in a data centre.
/// \returns Where with its address replaced by the mapping, if there is one.
[[nodiscard]] endpoint mapAddress(const host_settings &Host,
                                  const data_centre_id &DataCentre,
                                  const endpoint &Where);

} // namespace bronzespar

/// Other hosts beside a driven one, so that it forwards statements to the
/// connection owners among them.
#pragma once

#include "host_driver.hpp"

#include <string>

namespace session_test {

/// \brief Lists twenty other hosts of the driven host's data centre.
inline void listOtherHosts(host_driver &Driver) {
  for (int Host = 20; Host < 40; ++Host) {
    host_record Other;
    Other.PeerEndpoint = {"10.0.0." + std::to_string(Host), 7560};
    Other.DataCentre = "suva";
    Driver.send(
        events::record_changed{{"hosts/host-" + std::to_string(Host),
                                formatRecord(Other), ++Driver.Revision, 8}});
  }
}

} // namespace session_test

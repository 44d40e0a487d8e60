/// What a host's own record reports of a primary that does not lead.
#pragma once

#include "host_driver.hpp"

namespace session_test {

/// Lets the host register, and takes that.
/// \returns The disproved generation that its record reports, or 0.
inline std::uint64_t takeDisprovedGeneration(host_driver &Driver) {
  Driver.grantLease(7);
  Driver.send(events::tick{});
  const auto Record = Driver.takeRegistration();
  if (!Record || !Record->DisprovedGenerations.contains(Group))
    return 0;
  return Record->DisprovedGenerations.at(Group);
}

} // namespace session_test

/// What must hold whatever the clients do.
#pragma once

#include "running_host.hpp"

#include <catch2/catch.hpp>

namespace bronzespar::crowds {

/// \brief Checks a host while the crowd's connections are still open.
inline void checkHolds(running_host &Host) {
  Host.awaitCalm();
  REQUIRE(Host.lives());
  CHECK(Host.openDescriptors() <= MaxFds);
  CHECK(Host.servesOrdinaryRequest());
  REQUIRE(Host.lives());
  CHECK(Host.peakMemoryKb() <= MemoryMb * 1024);
}

} // namespace bronzespar::crowds

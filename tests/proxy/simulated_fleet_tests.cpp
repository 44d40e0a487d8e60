/// Rules of a fleet whose store loses answers, rejects calls and makes changes
/// late, while hosts restart and primaries are replaced.
#include "simulated_fleet.hpp"

using namespace session_test;

namespace {

constexpr unsigned Seeds = 40;
constexpr std::size_t HostCount = 5;

/// A minute of trouble: each second a host may be restarted, and every ten
/// seconds the primary is to be replaced.
void runTrouble(simulated_fleet &Fleet) {
  for (int Second = 0; Second < 60; ++Second) {
    if (Second % 10 == 0)
      Fleet.listTargets({Fleet.Leader});
    if (Second % 10 == 8)
      Fleet.listTargets({});
    if (Fleet.Random() % 6 == 0)
      Fleet.restartHost("host-" +
                        std::to_string(1 + Fleet.Random() % HostCount));
    Fleet.advanceTime(1s);
  }
}

} // namespace

TEST_CASE("No host uses a replaced primary, whatever becomes of the changes of "
          "records") {
  std::size_t Promotions = 0;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    INFO("seed " << Seed);
    simulated_fleet Fleet(Seed, HostCount);
    Fleet.advanceTime(5s);
    Fleet.Faults = {0.1, 0.15, 0.1};
    runTrouble(Fleet);
    for (const std::string &Violation : Fleet.Violations)
      UNSCOPED_INFO(Violation);
    CHECK(Fleet.Violations.empty());
    Promotions += Fleet.Promotions;
  }
  CHECK(Promotions > Seeds);
}

TEST_CASE("A fleet serves again once its store answers every call") {
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    INFO("seed " << Seed);
    simulated_fleet Fleet(Seed, HostCount);
    Fleet.Faults = {0.2, 0.2, 0.2};
    runTrouble(Fleet);
    Fleet.Faults = {};
    Fleet.listTargets({});
    Fleet.advanceTime(30s);
    CHECK(Fleet.isServing());
  }
}

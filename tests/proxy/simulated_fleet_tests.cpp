/// Rules of a fleet whose store loses answers, rejects calls and makes changes
/// late, while hosts restart or are suspended and primaries are replaced.
#include "simulated_fleet.hpp"

using namespace session_test;

namespace {

constexpr unsigned Seeds = 40;
/// More, as few of them have a late write while its lease lasts.
constexpr unsigned SilentSeeds = 120;
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

/// A time in which hosts restart, and watches of single hosts are silent for
/// up to 4 s while their calls are answered.
void runSilentWatches(simulated_fleet &Fleet) {
  for (int Second = 0; Second < 60; ++Second) {
    if (Second % 6 == 0)
      Fleet.listTargets({Fleet.Leader});
    if (Second % 6 == 5)
      Fleet.listTargets({});
    const auto Name = "host-" + std::to_string(1 + Fleet.Random() % HostCount);
    if (Fleet.Random() % 2 == 0) {
      Fleet.restartHost(Name);
      Fleet.advanceTime(std::chrono::milliseconds(Fleet.Random() % 800));
      Fleet.restartHost(Name);
    }
    Fleet.advanceTime(std::chrono::milliseconds(Fleet.Random() % 400));
    Fleet.silenceWatch(Name,
                       std::chrono::milliseconds(500 + Fleet.Random() % 3500));
    Fleet.advanceTime(1s);
  }
}

void checkNoViolation(const simulated_fleet &Fleet) {
  for (const std::string &Violation : Fleet.Violations)
    UNSCOPED_INFO(Violation);
  CHECK(Fleet.Violations.empty());
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
    checkNoViolation(Fleet);
    Promotions += Fleet.Promotions;
  }
  CHECK(Promotions > Seeds);
}

TEST_CASE("A suspended host neither orders nor goes on at a replaced primary") {
  // Guards against rights that are checked when an order is decided or a
  // transaction begins, and not when the order or a statement is sent.
  std::size_t Promotions = 0;
  std::size_t UnsentOrders = 0;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    INFO("seed " << Seed);
    simulated_fleet Fleet(Seed, HostCount);
    Fleet.advanceTime(5s);
    Fleet.Faults = {0.05, 0.05, 0.05};
    Fleet.SlowOrders = 0.3;
    for (int Second = 0; Second < 60; ++Second) {
      if (Second % 6 == 0)
        Fleet.listTargets({Fleet.Leader});
      if (Second % 6 == 5)
        Fleet.listTargets({});
      const auto Name =
          "host-" + std::to_string(1 + Fleet.Random() % HostCount);
      if (Fleet.Random() % 2 == 0)
        Fleet.suspendHost(
            Name, std::chrono::milliseconds(200 + Fleet.Random() % 4000));
      Fleet.advanceTime(1s);
    }
    checkNoViolation(Fleet);
    Promotions += Fleet.Promotions;
    UnsentOrders += Fleet.UnsentOrders;
  }
  CHECK(Promotions > Seeds);
  CHECK(UnsentOrders > 0);
}

TEST_CASE("A host whose watch is silent uses no replaced primary") {
  // Guards against a right to use primaries that ends when the host hears it.
  std::size_t Promotions = 0;
  std::size_t Failed = 0;
  for (unsigned Seed = 1; Seed <= SilentSeeds; ++Seed) {
    INFO("seed " << Seed);
    simulated_fleet Fleet(Seed, HostCount);
    Fleet.advanceTime(5s);
    Fleet.Faults = {0.05, 0.3, 0.05, 100ms, 3s};
    runSilentWatches(Fleet);
    checkNoViolation(Fleet);
    Promotions += Fleet.Promotions;
    Failed += Fleet.Violations.empty() ? 0 : 1;
  }
  INFO("seeds with a violation: " << Failed);
  CHECK(Failed == 0);
  CHECK(Promotions > SilentSeeds);
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

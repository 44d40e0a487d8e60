/// No host in touch acts on outdated settings, in fleets whose hosts learn of
/// versions from one another while some are suspended, restarted, slow, cut off
/// or refused, and connections go silent.
///
/// The environment chooses other seeds for longer runs by hand:
/// BRONZESPAR_FIRST_SEED, BRONZESPAR_SEEDS, and BRONZESPAR_TRACE for what came
/// before the first violation.
#include "simulated_settings.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace settings_test;

namespace {

constexpr unsigned FirstSeed = 1;
constexpr unsigned Seeds = 60;

unsigned environmentNumber(const char *Name, unsigned Otherwise) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Otherwise : static_cast<unsigned>(std::stoul(Text));
}

/// Runs the seeds that the environment chooses, or those of CI.
void runFleets(bool RestoresStore) {
  const unsigned First = environmentNumber("BRONZESPAR_FIRST_SEED", FirstSeed);
  const unsigned Count = environmentNumber("BRONZESPAR_SEEDS", Seeds);
  const bool IsTraced = std::getenv("BRONZESPAR_TRACE") != nullptr;
  std::size_t Failed = 0;
  std::size_t Calls = 0;
  for (unsigned Seed = First; Seed < First + Count; ++Seed) {
    INFO("seed " << Seed);
    simulated_settings Fleet(Seed, RestoresStore);
    Fleet.TracesCalls = IsTraced;

    Fleet.run();
    Calls += Fleet.Store.Calls;
    for (const std::string &Violation : Fleet.Violations)
      UNSCOPED_INFO(Violation);
    CHECK(Fleet.Violations.empty());
    CHECK(Fleet.Versions > 5);
    if (RestoresStore && Fleet.Violations.empty())
      CHECK(Fleet.Restores > 0);
    Failed += Fleet.Violations.empty() ? 0 : 1;
    if (IsTraced)
      for (const std::string &Line : Fleet.Trace)
        std::cerr << Line << '\n';
  }
  WARN(Failed << " of " << Count << " runs failed; " << Calls / Count
              << " calls to the store a run");
}

} // namespace

TEST_CASE("No host in touch acts on outdated settings", "[settings]") {
  runFleets(false);
}

TEST_CASE("No host in touch acts on outdated settings after the store came "
          "back from a copy",
          "[settings]") {
  runFleets(true);
}

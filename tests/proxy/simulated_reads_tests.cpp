/// No read lacks a commit that it must show, in fleets whose targets lag, fail
/// and are replaced while hosts are suspended and restarted.
#include "simulated_runs.hpp"

using namespace session_test;

namespace {

/// From here on, the seeds include one that shows each of the mutants named in
/// docs/incidents/stale-read.md.
constexpr unsigned FirstSeed = 195;
constexpr unsigned Seeds = 50;

run_totals runReads(bool Owned) {
  run_plan Plan;
  Plan.FirstSeed = FirstSeed;
  Plan.Seeds = Seeds;
  Plan.Owned = Owned;
  return runFleets(Plan);
}

} // namespace

TEST_CASE("No read lacks a commit that it must show") {
  const run_totals Totals = runReads(false);
  CHECK(Totals.Promotions > 0);
  CHECK(Totals.ReplicaReads * 10 > Totals.Reads);
  CHECK(Totals.Commits > 0);
}

TEST_CASE("No read that a connection owner runs lacks a commit that it must "
          "show") {
  const run_totals Totals = runReads(true);
  CHECK(Totals.Promotions > 0);
  CHECK(Totals.ReplicaReads * 10 > Totals.Reads);
  CHECK(Totals.Commits > 0);
}

/// One target is used at a time, and one order is under way at a time, in
/// fleets whose coordinator is cut off from what it has just ordered, ends or
/// stands still, and whose orders are lost, rejected or not answered.
#include "simulated_cuts.hpp"

using namespace session_test;

namespace {

constexpr unsigned FirstSeed = 1000;
constexpr unsigned Seeds = 100;

run_totals
runCuts(bool Owned, duration MostPromotionTime,
        std::function<void(simulated_reads &)> Disturb = cutAtRandom) {
  run_plan Plan;
  Plan.FirstSeed = FirstSeed;
  Plan.Seeds = Seeds;
  Plan.Owned = Owned;
  Plan.LeastPromotionTime = 1s;
  Plan.MostPromotionTime = MostPromotionTime;
  Plan.Prepare = aimAtOrders;
  Plan.Disturb = std::move(Disturb);
  return runFleets(Plan);
}

void checkTotals(const run_totals &Totals) {
  CHECK(Totals.Promotions > 0);
  CHECK(Totals.Orders > Totals.Promotions);
  CHECK(Totals.UnansweredOrders > 0);
  CHECK(Totals.Cuts > Totals.Orders);
  CHECK(Totals.Commits > 0);
}

} // namespace

TEST_CASE("One target is used at a time while orders are under way", "[cuts]") {
  checkTotals(runCuts(false, 1100ms));
}

TEST_CASE("One target is used at a time by connection owners while orders are "
          "under way",
          "[cuts]") {
  checkTotals(runCuts(true, 1100ms));
}

TEST_CASE("One target is used at a time while orders are under way and all "
          "hosts are replaced by new processes",
          "[cuts]") {
  checkTotals(runCuts(false, 1100ms, [](simulated_reads &Reads) {
    cutAtRandom(Reads);
    replaceHostsAtRandom(Reads);
  }));
}

TEST_CASE("One target is used at a time while orders take up to 3 s",
          "[cuts]") {
  checkTotals(runCuts(false, 3s));
}

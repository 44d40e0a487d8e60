/// Fleets whose store comes back from a copy that is 1 to 10 s old, beside
/// cuts, suspended and restarted hosts, and orders under way.
#include "simulated_cuts.hpp"

using namespace session_test;

namespace {

/// The seeds from here on include some that show a host which uses records that
/// are not confirmed.
constexpr unsigned FirstSeed = 3000;
/// The same of a host that confirms records without a right.
constexpr unsigned FirstOwnedSeed = 4005;
constexpr unsigned Seeds = 51;
/// A fleet serves again this long after its store is back.
constexpr duration RecoveryTime = 15s;
/// Callers commit something in this time where they are served.
constexpr duration ServiceSample = 3s;

void restore(simulated_reads &Reads) {
  simulated_fleet &Fleet = Reads.Fleet;
  const duration Age = Fleet.drawSpan(1s, MaxCopyAge);
  const duration Away = Fleet.drawSpan(100ms, 2s);
  Reads.noteText("the store goes away for " +
                 elapsedMsText(Fleet.Now, Fleet.Now + Away) + " ms and loses " +
                 elapsedMsText(Fleet.Now, Fleet.Now + Age) + " ms");
  Fleet.restoreStore(Age, Away);
}

void restoreAfter(simulated_reads &Reads, duration Delay) {
  Reads.Fleet.Scheduled.emplace(Reads.Fleet.Now + Delay,
                                [&Reads] { restore(Reads); });
}

/// A restore, which may follow an outage or be followed by another one, or by a
/// host that knows nothing of what was lost.
void restoreAtRandom(simulated_reads &Reads) {
  simulated_fleet &Fleet = Reads.Fleet;
  if (Fleet.draw() >= 0.15)
    return;
  duration Delay = Fleet.drawSpan(0ms, 1s);
  if (Fleet.draw() < 0.3) {
    Fleet.interruptStore(Delay + 2s, Fleet.draw() < 0.5);
    Delay += 2s;
  }
  restoreAfter(Reads, Delay);
  if (Fleet.draw() < 0.25)
    restoreAfter(Reads, Delay + Fleet.drawSpan(300ms, 5s));
  if (Fleet.draw() < 0.4)
    Fleet.Scheduled.emplace(Fleet.Now + Delay + Fleet.drawSpan(0ms, 3s),
                            [&Reads, Host = drawHost(Fleet)] {
                              Reads.noteText(Host + " is started anew");
                              Reads.restartHost(Host);
                            });
}

/// Restores the store within the second after some of the orders.
void aimRestoresAtOrders(simulated_reads &Reads) {
  aimAtOrders(Reads);
  simulated_fleet &Fleet = Reads.Fleet;
  Fleet.OnOrder = [&Reads, &Fleet, Aim = std::move(Fleet.OnOrder)](
                      const std::string &Host,
                      const effects::order_promotion &Order, order_fate Fate) {
    Aim(Host, Order, Fate);
    if (Fleet.draw() < 0.15)
      restoreAfter(Reads, Fleet.drawSpan(0ms, 1500ms));
  };
}

void disturb(simulated_reads &Reads) {
  cutAtRandom(Reads);
  restoreAtRandom(Reads);
}

/// Ends all disturbances but the store's last restore.
void checkRecovery(simulated_reads &Reads) {
  simulated_fleet &Fleet = Reads.Fleet;
  Fleet.Faults = {};
  Fleet.OrderFaults = {};
  Fleet.SlowOrders = 0;
  Fleet.SlowAnswers = 0;
  Fleet.OnOrder = {};
  Fleet.listTargets({});
  for (const auto &[Id, Target] : Reads.Targets.Targets)
    if (!Target.IsRunning)
      Reads.Targets.restart(Id, 1);
  Reads.advanceTime(LongestCut);
  const duration Away = 500ms;
  Fleet.restoreStore(Fleet.drawSpan(1s, MaxCopyAge), Away);
  Reads.advanceTime(Away + RecoveryTime - ServiceSample);
  const std::size_t Commits = Reads.Acknowledged.size();
  Reads.advanceTime(ServiceSample);
  CHECK(Fleet.isServing());
  CHECK(Reads.Acknowledged.size() > Commits);
}

/// Takes new processes through restores that none of them has seen.
void disturbNewProcesses(simulated_reads &Reads) {
  disturb(Reads);
  replaceHostsAtRandom(Reads);
}

void runRestores(bool Owned, duration MostPromotionTime,
                 std::function<void(simulated_reads &)> Disturb = disturb) {
  run_plan Plan;
  Plan.FirstSeed = Owned ? FirstOwnedSeed : FirstSeed;
  Plan.Seeds = Seeds;
  Plan.Owned = Owned;
  Plan.LeastPromotionTime = 1s;
  Plan.MostPromotionTime = MostPromotionTime;
  Plan.Prepare = aimRestoresAtOrders;
  Plan.Disturb = std::move(Disturb);
  Plan.Finish = checkRecovery;
  Plan.StoreEra = 1;
  const run_totals Totals = runFleets(Plan);
  CHECK(Totals.Restores > Seeds);
  CHECK(Totals.Promotions > 0);
  CHECK(Totals.Commits > 0);
}

} // namespace

TEST_CASE("A fleet keeps its rules while its store comes back from copies",
          "[restore]") {
  runRestores(false, 1100ms);
}

TEST_CASE("Fleets of new processes keep their rules while their store comes "
          "back from copies",
          "[restore]") {
  runRestores(false, 1100ms, disturbNewProcesses);
}

TEST_CASE("A fleet with connection owners keeps its rules while its store "
          "comes back from copies",
          "[restore]") {
  runRestores(true, 3s);
}

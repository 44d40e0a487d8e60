/// Disturbances of hosts, targets and the store, by seed.
#include "simulated_runs.hpp"

#include <cstdlib>
#include <iostream>

namespace session_test {

namespace {

constexpr std::size_t HostCount = 5;
constexpr std::size_t CallerCount = 16;
constexpr int TroubleSeconds = 25;

void disturbTargets(simulated_reads &Reads) {
  simulated_fleet &Fleet = Reads.Fleet;
  for (auto &[Id, Target] : Reads.Targets.Targets) {
    if (Fleet.Now >= Target.LagsUntil) {
      const bool Lags = Fleet.draw() < 0.4;
      Target.ApplyDelay = Lags ? Fleet.drawSpan(300ms, 4s) : duration(60ms);
      Target.LagsUntil = Fleet.Now + Fleet.drawSpan(2s, 8s);
    }
    if (Fleet.draw() < 0.07)
      Target.DeafUntil = Fleet.Now + Fleet.drawSpan(500ms, 4s);
    if (Fleet.draw() < 0.15)
      Target.SlowUntil = Fleet.Now + Fleet.drawSpan(500ms, 3s);
  }
  const std::string Id = drawTarget(Fleet);
  const bool IsRunning = Reads.Targets.Targets.at(Id).IsRunning;
  if (IsRunning && Fleet.draw() < 0.08)
    Reads.Targets.crash(Id);
  else if (!IsRunning && Fleet.draw() < 0.7)
    Reads.Targets.restart(Id, Fleet.draw() < 0.5 ? 1 : Fleet.draw());
}

void disturbHosts(simulated_reads &Reads) {
  simulated_fleet &Fleet = Reads.Fleet;
  if (Fleet.draw() < 0.3)
    Fleet.suspendHost(drawHost(Fleet), Fleet.drawSpan(100ms, 4s));
  if (Fleet.draw() < 0.08 && Fleet.Now >= Fleet.StoreDownUntil)
    Reads.restartHost(drawHost(Fleet));
  if (Fleet.draw() < 0.2)
    Fleet.Hosts.at(drawHost(Fleet)).WatchSilentUntil =
        Fleet.Now + Fleet.drawSpan(500ms, 4s);
  Fleet.WatchLag = Fleet.draw() < 0.3 ? duration(1500ms) : duration(100ms);
}

void disturbStore(simulated_reads &Reads) {
  simulated_fleet &Fleet = Reads.Fleet;
  if (Fleet.draw() < 0.04 && Fleet.Now >= Fleet.StoreDownUntil)
    Fleet.interruptStore(Fleet.drawSpan(3s, 8s), Fleet.draw() < 0.5);
}

/// Each second some of the hosts, targets and the store are disturbed, and
/// every few seconds the primary is to be replaced.
void runTrouble(simulated_reads &Reads, const run_plan &Plan) {
  simulated_fleet &Fleet = Reads.Fleet;
  for (int Second = 0; Second < TroubleSeconds; ++Second) {
    if (Second % 4 == 0)
      Fleet.listTargets({Fleet.Leader});
    if (Second % 4 == 3)
      Fleet.listTargets({});
    Fleet.PromotionTime =
        Fleet.drawSpan(Plan.LeastPromotionTime, Plan.MostPromotionTime);
    disturbTargets(Reads);
    disturbHosts(Reads);
    disturbStore(Reads);
    if (Plan.Disturb)
      Plan.Disturb(Reads);
    Reads.advanceTime(1s);
  }
}

/// Prints violations with the log lines before them, and the run's counts.
void printTrace(unsigned Seed, const simulated_reads &Reads) {
  if (!Reads.Fleet.Violations.empty())
    for (const std::string &Line : Reads.Trace)
      std::cerr << Line << '\n';
  for (const std::string &Violation : Reads.Fleet.Violations)
    std::cerr << "seed " << Seed << ' ' << Violation << '\n';
  std::cerr << "seed " << Seed << " orders " << Reads.Fleet.Orders
            << " promotions " << Reads.Fleet.Promotions << " reads "
            << Reads.Targets.Reads << " on replicas "
            << Reads.Targets.ReplicaReads << " commits "
            << Reads.Acknowledged.size() << " answered " << Reads.Answered;
  for (const auto &[Code, Count] : Reads.Refusals)
    std::cerr << ' ' << Code << ' ' << Count;
  std::cerr << '\n';
}

void runFleet(unsigned Seed, const run_plan &Plan, run_totals &Totals) {
  INFO("seed " << Seed);
  simulated_reads Reads(Seed, HostCount, CallerCount, Plan.Owned, Seed % 2,
                        Plan.StoreEra);
  Reads.advanceTime(4s);
  Reads.Fleet.Faults = {0.03, 0.03, 0.03};
  Reads.Fleet.SlowOrders = 0.2;
  Reads.Fleet.SlowAnswers = 0.1;
  Reads.Targets.LostAnswers = 0.005;
  Reads.Targets.Busy = 0.01;
  if (Plan.Prepare)
    Plan.Prepare(Reads);
  runTrouble(Reads, Plan);
  if (Plan.Finish)
    Plan.Finish(Reads);
  for (const std::string &Violation : Reads.Fleet.Violations)
    UNSCOPED_INFO(Violation);
  CHECK(Reads.Fleet.Violations.empty());
  if (std::getenv("BRONZESPAR_TRACE") != nullptr)
    printTrace(Seed, Reads);
  Totals.Orders += Reads.Fleet.Orders;
  Totals.UnansweredOrders += Reads.Fleet.UnansweredOrders;
  Totals.Cuts += Reads.Fleet.Network.Cuts;
  Totals.Restores += Reads.Fleet.Restores;
  Totals.Promotions += Reads.Fleet.Promotions;
  Totals.Reads += Reads.Targets.Reads;
  Totals.ReplicaReads += Reads.Targets.ReplicaReads;
  Totals.Commits += Reads.Acknowledged.size();
}

} // namespace

unsigned environmentNumber(const char *Name, unsigned Otherwise) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Otherwise : static_cast<unsigned>(std::stoul(Text));
}

void replaceHosts(simulated_reads &Reads) {
  Reads.noteText("all hosts are replaced by new processes");
  std::vector<std::string> Names;
  for (const auto &[Name, Simulated] : Reads.Fleet.Hosts)
    Names.push_back(Name);
  for (const std::string &Name : Names)
    Reads.restartHost(Name);
}

void replaceHostsAtRandom(simulated_reads &Reads) {
  constexpr double Share = 0.12;
  simulated_fleet &Fleet = Reads.Fleet;
  if (Fleet.draw() < Share)
    Fleet.Scheduled.emplace(Fleet.Now + Fleet.drawSpan(0ms, 1s),
                            [&Reads] { replaceHosts(Reads); });
}

std::string drawHost(simulated_fleet &Fleet) {
  return "host-" + std::to_string(1 + Fleet.Random() % Fleet.Hosts.size());
}

std::string drawTarget(simulated_fleet &Fleet) {
  return std::string(1, static_cast<char>('a' + Fleet.Random() % 3));
}

run_totals runFleets(const run_plan &Plan) {
  const unsigned First =
      environmentNumber("BRONZESPAR_FIRST_SEED", Plan.FirstSeed);
  const unsigned Count = environmentNumber("BRONZESPAR_SEEDS", Plan.Seeds);
  run_totals Totals;
  for (unsigned Seed = First; Seed < First + Count; ++Seed)
    runFleet(Seed, Plan, Totals);
  return Totals;
}

} // namespace session_test

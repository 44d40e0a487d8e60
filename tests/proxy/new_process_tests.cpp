/// Fleets all of whose hosts are replaced by new processes at any moment, while
/// replicas confirm commits, fall behind, and are lost for tens of seconds.
/// What one process knew of a lost replica, the next ones must still respect.
#include "simulated_runs.hpp"

using namespace session_test;

namespace {

/// The seeds from here on include some that show processes which count only the
/// replicas that they saw.
constexpr unsigned FirstSeed = 9000;
constexpr unsigned Seeds = 30;
constexpr int TroubleSeconds = 60;
/// A target that is away for longer may be given up.
constexpr duration LongestLoss = 40s;
constexpr std::size_t HostCount = 5;
constexpr std::size_t CallerCount = 16;
/// A fleet serves again this long after all targets are back.
constexpr duration RecoveryTime = 15s;

/// Reports acknowledged commits that are not in the log of a new primary.
void checkPromotions(simulated_reads &Reads) {
  simulated_fleet &Fleet = Reads.Fleet;
  Fleet.OnPromotion = [&Reads, &Fleet, Next = std::move(Fleet.OnPromotion)](
                          const std::string &Id) {
    Next(Id);
    const auto &Log = Reads.Targets.Targets.at(Id).Log;
    std::size_t Missing = 0;
    for (const acknowledged_commit &Each : Reads.Acknowledged) {
      const std::size_t Index =
          Reads.Targets.Commits[Each.Commit].Position.Index;
      Missing += Index > Log.size() || Log[Index - 1] != Each.Commit ? 1 : 0;
    }
    if (Missing > 0)
      Fleet.report("LOST: " + Id + " is promoted and lacks " +
                   std::to_string(Missing) + " acknowledged commits");
  };
}

void loseTarget(simulated_reads &Reads, const std::string &Id) {
  Reads.noteText(Id + " is lost");
  Reads.Targets.crash(Id);
  Reads.Fleet.announceTargets();
  Reads.Fleet.Scheduled.emplace(Reads.Fleet.Now +
                                    Reads.Fleet.drawSpan(3s, LongestLoss),
                                [&Reads, Id] { Reads.Targets.restart(Id, 1); });
}

void disturb(simulated_reads &Reads) {
  simulated_fleet &Fleet = Reads.Fleet;
  const std::string Id = drawTarget(Fleet);
  if (Fleet.draw() < 0.2)
    Reads.Targets.Targets.at(drawTarget(Fleet)).DeafUntil =
        Fleet.Now + Fleet.drawSpan(1s, 6s);
  if (Fleet.draw() < 0.12 && Reads.Targets.Targets.at(Id).IsRunning)
    loseTarget(Reads, Id);
  replaceHostsAtRandom(Reads);
}

void checkRecovery(simulated_reads &Reads) {
  Reads.advanceTime(LongestLoss);
  const std::size_t Commits = Reads.Acknowledged.size();
  Reads.advanceTime(RecoveryTime);
  CHECK(Reads.Fleet.isServing());
  CHECK(Reads.Acknowledged.size() > Commits);
}

} // namespace

TEST_CASE("Processes that know nothing of what was before promote no replica "
          "that lacks acknowledged commits",
          "[new-processes]") {
  std::size_t Promotions = 0;
  const unsigned First = environmentNumber("BRONZESPAR_FIRST_SEED", FirstSeed);
  const unsigned Count = environmentNumber("BRONZESPAR_SEEDS", Seeds);
  for (unsigned Seed = First; Seed < First + Count; ++Seed) {
    INFO("seed " << Seed);
    simulated_reads Reads(Seed, HostCount, CallerCount, false, 1);
    checkPromotions(Reads);
    Reads.advanceTime(4s);
    for (int Second = 0; Second < TroubleSeconds; ++Second) {
      disturb(Reads);
      Reads.advanceTime(1s);
    }
    checkRecovery(Reads);
    for (const std::string &Violation : Reads.Fleet.Violations)
      UNSCOPED_INFO(Violation);
    CHECK(Reads.Fleet.Violations.empty());
    Promotions += Reads.Fleet.Promotions;
  }
  CHECK(Promotions > Seeds);
}

/// Logs of the simulated targets: replication, promotions and crashes.
#include "simulated_targets.hpp"

#include <algorithm>
#include <utility>

namespace session_test {

namespace {

/// Number of commits that two logs have in common at their start.
std::size_t commonLength(const std::vector<std::size_t> &Left,
                         const std::vector<std::size_t> &Right) {
  const auto End =
      std::mismatch(Left.begin(), Left.end(), Right.begin(), Right.end());
  return static_cast<std::size_t>(std::distance(Left.begin(), End.first));
}

/// Whether a target receives what the primary sends.
bool hears(const simulated_target &Target, instant Now) {
  return Now >= Target.DeafUntil && Now >= Target.CutOffUntil;
}

} // namespace

void simulated_targets::promoted(const std::string &Id) {
  LastPromotionAt = Fleet.Now;
  for (auto &[Name, Target] : Targets)
    Target.NoticesPromotionAt =
        Fleet.Now + (Target.IsPrimary ? Fleet.drawSpan(1s, 2500ms)
                                      : Fleet.drawSpan(10ms, 400ms));
  simulated_target &Primary = Targets.at(Id);
  Primary.Term = Fleet.Term;
  Primary.IsPrimary = true;
  Primary.Applied = Primary.Log.size();
}

void simulated_targets::rollBack(simulated_target &Target) {
  const auto &Log = Targets.at(Fleet.Leader).Log;
  Target.Log.resize(commonLength(Target.Log, Log));
  Target.Applied = std::min(Target.Applied, Target.Log.size());
  Target.Term = Fleet.Term;
  Target.IsPrimary = false;
}

void simulated_targets::receive(const std::string &Id,
                                simulated_target &Replica) {
  const simulated_target &Primary = Targets.at(Fleet.Leader);
  const std::size_t Size = Primary.Log.size();
  if (Size <= Replica.Log.size())
    return;
  const std::uint64_t Term = Replica.Term;
  const unsigned Incarnation = Replica.Incarnation;
  const auto IsCurrent = [this, Id, Term, Incarnation] {
    const simulated_target &Target = Targets.at(Id);
    return Target.IsRunning && !Target.IsPrimary && Target.Term == Term &&
           Target.Incarnation == Incarnation;
  };
  Fleet.Scheduled.emplace(
      Fleet.Now + Fleet.drawSpan(1ms, 20ms), [this, Id, Size, IsCurrent] {
        simulated_target &Target = Targets.at(Id);
        const auto &Log = Targets.at(Fleet.Leader).Log;
        if (!IsCurrent() || !hears(Target, Fleet.Now) ||
            Target.Term != Fleet.Term)
          return;
        for (std::size_t Index = Target.Log.size(); Index < Size; ++Index)
          Target.Log.push_back(Log[Index]);
        Fleet.Scheduled.emplace(Fleet.Now + Target.ApplyDelay, [this, Id, Size,
                                                                IsCurrent] {
          simulated_target &Applying = Targets.at(Id);
          if (IsCurrent())
            Applying.Applied =
                std::max(Applying.Applied, std::min(Size, Applying.Log.size()));
        });
      });
}

void simulated_targets::replicate() {
  const simulated_target &Primary = Targets.at(Fleet.Leader);
  if (!Primary.IsRunning || Fleet.Now < Primary.CutOffUntil)
    return;
  for (auto &[Id, Target] : Targets) {
    if (!Target.IsRunning || Id == Fleet.Leader ||
        Fleet.Now < Target.CutOffUntil)
      continue;
    if (Target.Term < Fleet.Term && Fleet.Now >= Target.NoticesPromotionAt)
      rollBack(Target);
    if (Target.Term == Fleet.Term && Fleet.Now >= Target.DeafUntil)
      receive(Id, Target);
  }
}

void simulated_targets::cutOff(const std::string &Id, duration Span) {
  instant &Until = Targets.at(Id).CutOffUntil;
  Until = std::max(Until, Fleet.Now + Span);
}

void simulated_targets::crash(const std::string &Id) {
  simulated_target &Target = Targets.at(Id);
  Target.IsRunning = false;
  Target.Incarnation += 1;
  Fleet.Absent.insert(Id);
  for (auto &[Key, Connection] : Connections)
    if (Connection->Target == Id)
      lose(*Connection);
}

void simulated_targets::restart(const std::string &Id, double Kept) {
  simulated_target &Target = Targets.at(Id);
  if (Target.IsRunning)
    return;
  Target.IsRunning = true;
  Fleet.Absent.erase(Id);
  Fleet.Births[Id] += 1;
  if (Id != Fleet.Leader) {
    rollBack(Target);
    Target.Log.resize(static_cast<std::size_t>(
        static_cast<double>(Target.Log.size()) * Kept));
    Target.Applied = std::min(Target.Applied, Target.Log.size());
  }
  Fleet.announceTargets();
}

} // namespace session_test

/// Targets that have started and are still slow. Answers the load of a return:
/// after a restart or the end of an evacuation, all hosts find a target idle
/// and send it what it can't run yet.
///
/// A group's settings say how many statements a cold target takes in a second
/// from all hosts. Each host has a whole number of them in any second, by its
/// own clock; these add up to no more than the limit, and no message passes.
/// Where a target's connections are owned, its owner has most, and each
/// stand-in some, as they may act beside it for a moment.
#include "parts.hpp"

#include <bronzespar/membership.hpp>

#include <algorithm>
#include <cmath>

namespace bronzespar::proxy {

namespace {

constexpr duration ColdWindow = std::chrono::seconds(1);
/// Part of the limit that each of an owner's two stand-ins has.
constexpr unsigned StandInDivisor = 8;
/// With a smaller limit, the owner has all of it.
constexpr unsigned LeastSharedLimit = 4;
constexpr unsigned StandIns = 2;

/// Statements in a second for all hosts; 0: no limit.
double limitOf(const host &State, const target_view &Target) {
  const group_limits *Limits =
      State.Settings ? findIn(State.Settings->Groups, Target.Entry.Group)
                     : nullptr;
  return Limits == nullptr ? 0 : Limits->ColdPerSecond;
}

/// This host's part where one host owns the connections.
unsigned ownersPart(host &State, const std::string &Target, unsigned Limit) {
  const auto Rank = ownerRank(State, Target);
  const unsigned StandIn =
      Limit < LeastSharedLimit ? 0 : std::max(1U, Limit / StandInDivisor);
  if (!Rank)
    return 0;
  return *Rank == 0 ? Limit - StandIns * StandIn : StandIn;
}

/// This host's part where each host has connections. What is left over after
/// the division goes to some of the hosts, which differ for each target.
unsigned equalPart(const host &State, const std::string &Target,
                   unsigned Limit) {
  std::vector<host_id> Hosts;
  for (const auto &[DataCentre, Names] : servingHosts(State))
    Hosts.insert(Hosts.end(), Names.begin(), Names.end());
  if (Hosts.empty())
    return 0;
  const unsigned Each = Limit / static_cast<unsigned>(Hosts.size());
  const unsigned Rest = Limit % static_cast<unsigned>(Hosts.size());
  const auto First = rendezvousTop("cold/" + Target, Hosts, Rest);
  const bool HasMore =
      std::any_of(First.begin(), First.end(), [&](const host_id &Host) {
        return Host.Value == State.Identity.Name;
      });
  return Each + (HasMore ? 1 : 0);
}

unsigned partOf(host &State, const target_view &Target) {
  constexpr double MaxLimit = 1e6;
  // A limit below one statement a second would stop the group's primary.
  const auto Limit = static_cast<unsigned>(
      std::clamp(std::floor(limitOf(State, Target)), 1.0, MaxLimit));
  return areConnectionsOwned(State, Target.Entry.Group)
             ? ownersPart(State, Target.Entry.Id, Limit)
             : equalPart(State, Target.Entry.Id, Limit);
}

} // namespace

void noteColdness(step_context &Step, target_view &Target,
                  const target_entry *Old) {
  const target_entry &Entry = Target.Entry;
  // The list repeats entries that have not changed, whose time runs on.
  if (Old != nullptr && Old->ColdFor == Entry.ColdFor &&
      Old->StartedAt == Entry.StartedAt)
    return;
  const bool WasCold = isCold(Step.State, Target, Step.Now);
  Target.ColdUntil =
      Entry.ColdFor > duration::zero() ? Step.Now + Entry.ColdFor : instant{};
  if (WasCold || !isCold(Step.State, Target, Step.Now))
    return;
  logLine(Step, "target.cold",
          {{"target", Entry.Id},
           {"ms", elapsedMsText(Step.Now, Target.ColdUntil)},
           {"per_s", std::to_string(limitOf(Step.State, Target))},
           {"own_per_s", std::to_string(partOf(Step.State, Target))}});
}

bool isCold(const host &State, const target_view &Target, instant Now) {
  return Now < Target.ColdUntil && limitOf(State, Target) > 0;
}

bool hasColdRoom(host &State, const target_view &Target, instant Now) {
  if (!isCold(State, Target, Now))
    return true;
  const auto Sent =
      std::count_if(Target.ColdSends.begin(), Target.ColdSends.end(),
                    [&](instant SentAt) { return Now - SentAt <= ColdWindow; });
  return static_cast<unsigned>(Sent) < partOf(State, Target);
}

void noteColdSend(const host &State, target_view &Target, instant Now) {
  if (!isCold(State, Target, Now)) {
    Target.ColdSends.clear();
    return;
  }
  while (!Target.ColdSends.empty() &&
         Now - Target.ColdSends.front() > ColdWindow)
    Target.ColdSends.pop_front();
  Target.ColdSends.push_back(Now);
}

} // namespace bronzespar::proxy

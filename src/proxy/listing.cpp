/// Active settings and listed targets. A process never returns to an older
/// version of the settings. Targets whose entries expired during a store outage
/// are kept until shortly after the store answers again.
#include "parts.hpp"

#include <algorithm>
#include <utility>

namespace bronzespar::proxy {

namespace {

void logTarget(step_context &Step, std::string_view Event,
               const target_entry &Entry) {
  logLine(Step, Event,
          {{"target", Entry.Id},
           {"group", Entry.Group},
           {"address", toText(Entry.Endpoint)},
           {"draining", Entry.Draining ? "true" : "false"},
           {"says_primary", Entry.ClaimsPrimary ? "true" : "false"}});
}

/// When a drain began whose entry is first seen now. A host that was out of
/// touch, or has just started, does not know, and counts half of the drain.
instant drainStart(const host &State, instant Now) {
  const bool WasOutOfTouch = Now < State.KeepAbsentUntil;
  return WasOutOfTouch ? Now - State.Identity.DrainPeriod / 2 : Now;
}

void updateTarget(step_context &Step, target_entry &&Entry) {
  const auto [Found, IsNew] = Step.State.Targets.try_emplace(Entry.Id);
  target_view &Target = Found->second;
  const bool Restarted = !IsNew && (Target.Entry.StartedAt != Entry.StartedAt ||
                                    Target.Entry.Endpoint != Entry.Endpoint ||
                                    Target.Entry.Group != Entry.Group);
  const bool Changed = IsNew || Restarted || !Target.Listed ||
                       Target.Entry.Draining != Entry.Draining ||
                       Target.Entry.ClaimsPrimary != Entry.ClaimsPrimary;
  if (Changed)
    logTarget(Step, "target.listed", Entry);
  if (IsNew || Target.Entry.DataCentre != Entry.DataCentre)
    Step.State.TargetsVersion += 1;
  if (Entry.Draining && (IsNew || !Target.Entry.Draining))
    Target.DrainingSince = drainStart(Step.State, Step.Now);
  Target.Listed = true;
  Target.Absent = false;
  const target_entry Old = std::exchange(Target.Entry, std::move(Entry));
  noteColdness(Step, Target, IsNew ? nullptr : &Old);
  if (Restarted) {
    failConnections(Step, Target.Entry.Id, false);
    Target.KnownPosition = {};
    Target.Pace = {};
    Target.NextDialAt = {};
  }
}

} // namespace

void adoptSettings(step_context &Step, proxy_settings &&Settings) {
  host &State = Step.State;
  if (State.Settings && Settings.Version <= State.Settings->Version)
    return;
  for (const auto &[Name, Account] : Settings.Accounts) {
    const client_account *Old =
        State.Settings ? findIn(State.Settings->Accounts, Name) : nullptr;
    if (Old != nullptr && Old->RatePerSecond == Account.RatePerSecond &&
        Old->Burst == Account.Burst)
      continue;
    logLine(Step, "account.rate",
            {{"account", Name},
             {"rate", std::to_string(Account.RatePerSecond)},
             {"burst", std::to_string(Account.Burst)},
             {"settings", std::to_string(Settings.Version)}});
  }
  logLine(Step, "settings.adopted",
          {{"version", std::to_string(Settings.Version)},
           {"routes", std::to_string(Settings.Routes.size())},
           {"keys", std::to_string(Settings.Keys.size())}});
  State.Settings = std::move(Settings);
  for (const auto &[Name, Limits] : State.Settings->Groups)
    State.Groups.try_emplace(Name);
  redistributeRates(Step);
}

void adoptTargets(step_context &Step, std::vector<target_entry> &&Targets) {
  host &State = Step.State;
  std::set<std::string> Present;
  for (target_entry &Entry : Targets) {
    Present.insert(Entry.Id);
    updateTarget(Step, std::move(Entry));
  }
  State.TargetsKnown = true;
  for (auto &[Id, Target] : State.Targets)
    Target.Absent = !Present.contains(Id);
}

void dropAbsentTargets(step_context &Step) {
  host &State = Step.State;
  if (!State.StoreReached || Step.Now < State.KeepAbsentUntil)
    return;
  for (auto &[Id, Target] : State.Targets) {
    if (!Target.Absent || !Target.Listed)
      continue;
    Target.Listed = false;
    logTarget(Step, "target.gone", Target.Entry);
    targetDeparted(Step, Target.Entry);
  }
  const auto Erased = std::erase_if(State.Targets, [](const auto &Entry) {
    return !Entry.second.Listed && Entry.second.Connections == 0;
  });
  if (Erased > 0)
    State.TargetsVersion += 1;
}

} // namespace bronzespar::proxy

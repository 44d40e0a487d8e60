/// Targets that may hold a group's acknowledged commits, where replicas confirm
/// commits.
///
/// Failure that it answers: the replica that has confirmed commits leaves the
/// list, and with it the hosts' processes end. Those that start afterwards know
/// only the targets that remain, and take the answer of one of these for proof.
///
/// So the group's record names its members. It is written again when one joins,
/// and when one that left no longer counts. A process that finds one in the
/// record and not in the list takes it for one that has just left
/// (docs/design/recorded-members.md).
#include "parts.hpp"

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// A target that left the list without draining counts as a replica for this
/// long, as it may return with its log.
constexpr duration LostTargetRetention = std::chrono::seconds(60);
/// The same for one that had drained. The target that takes over its log is
/// listed by then.
constexpr duration DrainedTargetRetention = std::chrono::seconds(5);
/// Time between two comparisons of a group's record with its members.
constexpr duration MembersCheckInterval = std::chrono::milliseconds(500);

bool needsConfirmation(const host &State, const std::string &Name) {
  return State.Settings->Groups.at(Name).ConfirmingReplicas > 0;
}

bool isListedIn(const host &State, const std::string &Id,
                const std::string &Name) {
  const target_view *Target = findIn(State.Targets, Id);
  return Target != nullptr && isMemberOf(*Target, Name);
}

/// Whether a target that left the group's list may return with commits that no
/// listed target holds. The log of one that drained goes to a target at its
/// address.
bool mayReturn(const host &State, const std::string &Name,
               const departed_target &Departed, instant Now) {
  const bool IsReplaced = std::any_of(
      State.Targets.begin(), State.Targets.end(), [&](const auto &Entry) {
        const target_view &Target = Entry.second;
        return isMemberOf(Target, Name) &&
               Target.Entry.Endpoint == Departed.Endpoint;
      });
  return !IsReplaced &&
         Now < Departed.LeftAt + (Departed.WasDraining ? DrainedTargetRetention
                                                       : LostTargetRetention);
}

} // namespace

bool isMemberOf(const target_view &Target, const std::string &Name) {
  return Target.Listed && Target.Entry.Group == Name;
}

void targetDeparted(step_context &Step, const target_entry &Entry) {
  group_state *Group = findIn(Step.State.Groups, Entry.Group);
  if (Group == nullptr)
    return;
  std::erase_if(Group->Departed, [&](const auto &Departed) {
    const bool IsRecorded =
        Group->Record && Group->Record->Members.contains(Departed.first);
    return !IsRecorded &&
           Step.Now >= Departed.second.LeftAt + LostTargetRetention;
  });
  Group->Departed[Entry.Id] = {Entry.Endpoint, Step.Now, Entry.Draining};
}

void noteUnlistedMembers(step_context &Step, const std::string &Name,
                         group_state &Group) {
  if (!Step.State.TargetsKnown || !Group.Record)
    return;
  for (const auto &[Id, Member] : Group.Record->Members) {
    if (isListedIn(Step.State, Id, Name) || Group.Departed.contains(Id))
      continue;
    Group.Departed[Id] = {Member.Endpoint, Step.Now, Member.IsDraining, false};
    logLine(Step, "member.missing",
            {{"group", Name},
             {"target", Id},
             {"address", toText(Member.Endpoint)},
             {"draining", Member.IsDraining ? "true" : "false"}});
  }
}

std::map<std::string, recorded_member> membersToRecord(const host &State,
                                                       const std::string &Name,
                                                       const group_state &Group,
                                                       instant Now) {
  if (!needsConfirmation(State, Name))
    return {};
  if (!State.TargetsKnown && Group.Record)
    return Group.Record->Members;
  std::map<std::string, recorded_member> Members;
  for (const auto &[Id, Target] : State.Targets)
    if (isMemberOf(Target, Name))
      Members[Id] = {Target.Entry.Endpoint, Target.Entry.Draining};
  for (const auto &[Id, Departed] : Group.Departed)
    if (mayReturn(State, Name, Departed, Now))
      Members.try_emplace(
          Id, recorded_member{Departed.Endpoint, Departed.WasDraining});
  return Members;
}

bool mayBeListedSoon(const host &State, const group_state &Group,
                     const std::string &Id, instant Now) {
  const departed_target *Departed = findIn(Group.Departed, Id);
  return !State.Targets.contains(Id) && Now < State.KeepAbsentUntil &&
         (Departed == nullptr || !Departed->WasSeen);
}

bool areMembersStale(const host &State, const std::string &Name,
                     group_state &Group, instant Now) {
  const bool MayHaveChanged = Group.MembersVersion != State.TargetsVersion ||
                              Now >= Group.NextMembersCheckAt;
  if (!MayHaveChanged)
    return false;
  Group.MembersVersion = State.TargetsVersion;
  Group.NextMembersCheckAt = Now + MembersCheckInterval;
  return membersToRecord(State, Name, Group, Now) != Group.Record->Members;
}

std::size_t countReplicas(const host &State, const std::string &Name,
                          const group_state &Group, instant Now) {
  const std::string &Primary = Group.Record->Primary;
  const auto Listed = std::count_if(
      State.Targets.begin(), State.Targets.end(), [&](const auto &Entry) {
        return Entry.first != Primary && isMemberOf(Entry.second, Name);
      });
  const auto Departed = std::count_if(
      Group.Departed.begin(), Group.Departed.end(), [&](const auto &Entry) {
        return Entry.first != Primary &&
               !isListedIn(State, Entry.first, Name) &&
               mayReturn(State, Name, Entry.second, Now);
      });
  return static_cast<std::size_t>(Listed + Departed);
}

} // namespace bronzespar::proxy

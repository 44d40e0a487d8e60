/// The first record of a group.
///
/// Failure that it answers: the store comes back from a copy that lacks the
/// record, and a process that starts then takes the group for a new one. It
/// opens the record for a target that calls itself primary, and was replaced
/// (docs/design/restored-decisions.md).
#include "parts.hpp"

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// Listed targets of the group that call themselves its primary.
std::vector<std::string> listedClaims(const host &State,
                                      const std::string &Name) {
  std::vector<std::string> Claims;
  for (const auto &[Id, Target] : State.Targets)
    if (isMemberOf(Target, Name) && Target.Entry.ClaimsPrimary)
      Claims.push_back(Id);
  return Claims;
}

/// A closed record that names no primary, so that an order decides who leads.
group_record closedFirstRecord(const host &State) {
  group_record Record;
  Record.Generation = 1;
  Record.Open = false;
  Record.LatestOrder = named_order{};
  return wasRestored(State) ? rebuiltRecord(State, Record) : Record;
}

} // namespace

std::optional<group_record> firstRecord(const host &State,
                                        const std::string &Name, instant Now) {
  const bool HasMembers = std::any_of(
      State.Targets.begin(), State.Targets.end(),
      [&](const auto &Entry) { return isMemberOf(Entry.second, Name); });
  if (!HasMembers)
    return std::nullopt;
  if (wasRestored(State)) {
    // Hosts that know the record write it again before then.
    if (Now < earlierErasEnd(State))
      return std::nullopt;
    return closedFirstRecord(State);
  }
  const std::vector<std::string> Claims = listedClaims(State, Name);
  if (Claims.empty())
    return std::nullopt;
  if (Claims.size() > 1)
    return closedFirstRecord(State);
  return group_record{1, Claims.front(), true, chooseElectors(State, Now)};
}

std::string describeClaims(const host &State, const std::string &Name) {
  std::string Text;
  for (const std::string &Id : listedClaims(State, Name))
    Text += (Text.empty() ? "" : " ") + Id;
  return Text;
}

} // namespace bronzespar::proxy

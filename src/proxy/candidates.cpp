/// Choice of the replica that becomes primary.
#include "parts.hpp"

#include <algorithm>

namespace bronzespar::proxy {

namespace {

bool isDraining(const host &State, const std::string &Id) {
  const auto Target = State.Targets.find(Id);
  return Target == State.Targets.end() || Target->second.Entry.Draining;
}

} // namespace

const probed_target *bestReplica(const host &State, const group_state &Group) {
  const probed_target *Best = nullptr;
  for (const probed_target &Entry : Group.Promotion.Statuses) {
    if (Entry.first == Group.Record->Primary ||
        !State.Targets.contains(Entry.first) ||
        Group.Promotion.RefusedCandidates.contains(Entry.first) ||
        (Group.Promotion.Planned && isDraining(State, Entry.first)))
      continue;
    // After the loss of a primary, a draining replica is the better one if the
    // others lack commits, although it has to be replaced soon.
    const bool IsBetter =
        Best == nullptr || Entry.second.Received > Best->second.Received ||
        (Entry.second.Received == Best->second.Received &&
         isDraining(State, Best->first) && !isDraining(State, Entry.first));
    if (IsBetter)
      Best = &Entry;
  }
  return Best;
}

std::optional<std::string> promotedReplica(const promotion_state &Promotion,
                                           const std::string &OldPrimary) {
  std::uint64_t LatestTerm = 0;
  for (const auto &[Id, Status] : Promotion.Statuses)
    LatestTerm = std::max(LatestTerm, Status.Term);
  for (const auto &[Id, Status] : Promotion.Statuses)
    if (Id != OldPrimary && Status.IsPrimary && Status.Term == LatestTerm)
      return Id;
  return std::nullopt;
}

std::string describeStatuses(const host &State,
                             const promotion_state &Promotion) {
  std::string Text;
  for (const auto &[Id, Status] : Promotion.Statuses) {
    const target_view *Target = findIn(State.Targets, Id);
    Text +=
        Id + (Status.IsPrimary ? " primary " : " replica ") +
        std::to_string(Status.Received.Term) + '.' +
        std::to_string(Status.Received.Index) + " term " +
        std::to_string(Status.Term) +
        (Target != nullptr && Target->Entry.Draining ? " draining; " : "; ");
  }
  return Text;
}

} // namespace bronzespar::proxy

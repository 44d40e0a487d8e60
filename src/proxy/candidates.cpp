/// Choice of the replica that becomes primary.
///
/// Failure that it answers: while the primary is lost, a replica that holds
/// acknowledged commits drains, is silent or is slow to answer, and another one
/// that lacks them answers at once.
///
/// Where the settings require it, a commit is acknowledged once a number of
/// replicas, ConfirmingReplicas, have received it. Of the group's N replicas,
/// any N - ConfirmingReplicas + 1 include one of those. So the highest position
/// among that many covers all acknowledged commits, and so does the position of
/// the old primary itself.
#include "parts.hpp"

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// Number of replicas that answered.
/// \returns 0 if one of them has a higher position than Candidate.
std::size_t countCovered(const host &State, const std::string &Name,
                         const group_state &Group,
                         const target_status &Candidate) {
  std::size_t Covered = 0;
  for (const auto &[Id, Status] : Group.Promotion.Statuses) {
    const target_view *Target = findIn(State.Targets, Id);
    if (Id == Group.Record->Primary || Target == nullptr ||
        !isMemberOf(*Target, Name))
      continue;
    if (Status.Received > Candidate.Received)
      return 0;
    Covered += 1;
  }
  return Covered;
}

/// Whether a target has to be replaced soon if it becomes primary.
bool isTransient(const host &State, const std::string &Id) {
  const target_view *Target = findIn(State.Targets, Id);
  return Target == nullptr || Target->Entry.Draining ||
         isEvacuated(State, Target->Entry);
}

/// The latest term in which a target is known to lead. The answers do not show
/// it if only a primary of an earlier term has answered.
std::uint64_t latestTerm(const group_state &Group) {
  std::uint64_t Latest = Group.Record->Term;
  for (const auto &[Id, Status] : Group.Promotion.Statuses)
    Latest = std::max(Latest, Status.Term);
  return Latest;
}

/// Whether a target still calls itself the primary of a term that has ended.
bool isFormerPrimary(const group_state &Group, const target_status &Status) {
  return Status.IsPrimary && Status.Term < latestTerm(Group);
}

/// Whether a target is the better candidate. After the loss of a primary, a
/// draining or evacuated replica is preferred if the others lack commits,
/// although it has to be replaced.
bool isBetter(const host &State, const probed_target &Left,
              const probed_target &Right) {
  // An order of a target that leads takes longer to prove. There is one among
  // the candidates if the record does not name the primary.
  const auto Rank = [&](const probed_target &Each) {
    return std::pair(!isTransient(State, Each.first), !Each.second.IsPrimary);
  };
  if (Left.second.Received != Right.second.Received)
    return Left.second.Received > Right.second.Received;
  return Rank(Left) > Rank(Right);
}

} // namespace

const probed_target *bestReplica(const host &State, const group_state &Group) {
  const probed_target *Best = nullptr;
  for (const probed_target &Entry : Group.Promotion.Statuses) {
    if (Entry.first == Group.Record->Primary ||
        !State.Targets.contains(Entry.first) ||
        Group.Promotion.RefusedCandidates.contains(Entry.first) ||
        isFormerPrimary(Group, Entry.second) ||
        (Group.Promotion.Planned && isTransient(State, Entry.first)))
      continue;
    if (Best == nullptr || isBetter(State, Entry, *Best))
      Best = &Entry;
  }
  return Best;
}

bool holdsAcknowledgedCommits(const host &State, const std::string &Name,
                              const group_state &Group,
                              const target_status &Candidate, instant Now) {
  const unsigned Confirming =
      State.Settings->Groups.at(Name).ConfirmingReplicas;
  if (Confirming == 0)
    return true;
  const target_status *Old =
      findIn(Group.Promotion.Statuses, Group.Record->Primary);
  if (Old != nullptr && Old->IsPrimary && Candidate.Received >= Old->Received)
    return true;
  // If the primary is not known, it is one of those that are counted, and holds
  // all commits like the replicas that confirmed them.
  const std::size_t Holders =
      Confirming + (Group.Record->Primary.empty() ? 1 : 0);
  const std::size_t Counted = countReplicas(State, Name, Group, Now);
  const std::size_t Needed = Counted >= Holders ? Counted - Holders + 1 : 1;
  return countCovered(State, Name, Group, Candidate) >= Needed;
}

bool leadsByLatestOrder(const group_state &Group, instant Now) {
  const auto &Order = Group.Record->LatestOrder;
  const target_status *Status =
      Order ? findIn(Group.Promotion.Statuses, Order->Target) : nullptr;
  if (Status == nullptr || !Status->IsPrimary)
    return false;
  // An order of the target that leads changes nothing.
  const bool StillLeads =
      Group.Promotion.IsOrderAccepted && Now >= Group.OrderUnderWayUntil;
  return Status->Term > Order->LedTerm || StillLeads;
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

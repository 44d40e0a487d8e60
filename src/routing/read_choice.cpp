/// Choice of the member that runs a read.
#include <bronzespar/group_view.hpp>

namespace bronzespar {

namespace {

/// Number of statements by which the load of a member in another data centre
/// must be lower for it to be preferred to one in the preferred data centre.
constexpr double RemoteDataCentrePenalty = 1.0;

bool isUsable(const member_view &Member) {
  return Member.Reachable && !Member.Leaving && Member.Report &&
         !Member.Report->Leaving;
}

bool isReplica(const member_view &Member) {
  return Member.Report->Role == member_role::Replica;
}

bool isFresh(const group_view &View, const member_report &Report,
             const read_requirement &Requirement, instant Now) {
  if (!Requirement.MaxAge)
    return true;
  const auto FreshAsOf = freshAsOf(View, Report.Position);
  return FreshAsOf && Now - *FreshAsOf <= *Requirement.MaxAge;
}

bool satisfies(const group_view &View, const member_view &Member,
               const read_requirement &Requirement, instant Now) {
  return Member.Report->Position >= Requirement.RequiredPosition &&
         isFresh(View, *Member.Report, Requirement, Now);
}

double scoreOf(const member_view &Member, const read_requirement &Requirement,
               std::uint32_t Load) {
  const double Penalty = Member.DataCentre == Requirement.PreferredDataCentre
                             ? 0.0
                             : RemoteDataCentrePenalty;
  return static_cast<double>(Load) + Penalty;
}

const member_view *bestReplica(const group_view &View,
                               const read_requirement &Requirement, instant Now,
                               const std::vector<std::uint32_t> &Load) {
  const member_view *Best = nullptr;
  double BestScore = 0;
  for (std::size_t Index = 0; Index < View.Members.size(); ++Index) {
    const member_view &Member = View.Members[Index];
    if (!isUsable(Member) || !isReplica(Member))
      continue;
    if (!satisfies(View, Member, Requirement, Now))
      continue;
    const double Score =
        scoreOf(Member, Requirement, Index < Load.size() ? Load[Index] : 0);
    if (Best == nullptr || Score < BestScore) {
      Best = &Member;
      BestScore = Score;
    }
  }
  return Best;
}

/// Finds the usable replica with the latest log position.
const member_view *mostCaughtUpReplica(const group_view &View) {
  const member_view *Best = nullptr;
  for (const member_view &Member : View.Members) {
    if (!isUsable(Member) || !isReplica(Member))
      continue;
    if (Best == nullptr || Best->Report->Position < Member.Report->Position)
      Best = &Member;
  }
  return Best;
}

} // namespace

read_choice chooseReadTarget(const group_view &View,
                             const read_requirement &Requirement, instant Now,
                             const std::vector<std::uint32_t> &Load) {
  if (const member_view *Replica = bestReplica(View, Requirement, Now, Load))
    return {read_choice_kind::Now, Replica->Target};
  if (const member_view *Replica = mostCaughtUpReplica(View))
    return {read_choice_kind::Wait, Replica->Target};
  const member_view *Primary = findPrimary(View);
  if (Primary != nullptr && isUsable(*Primary))
    return {read_choice_kind::Now, Primary->Target};
  return {};
}

} // namespace bronzespar

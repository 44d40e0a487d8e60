/// Assessment of a group's view: whether and why a promotion is needed.
#include "failover/evidence.hpp"

#include <algorithm>
#include <set>

namespace bronzespar {

namespace {

/// Maximum lag of a replica behind a leaving primary at which writes wait until
/// the replica has caught up.
constexpr std::uint64_t MaxHandoverLagEntries = 256;
/// Maximum age of a replica's latest contact with the leaving primary at which
/// writes wait.
constexpr std::uint32_t MaxHandoverHeardAgeMs = 500;

bool reportsPrimary(const member_view &Member, std::uint64_t Term) {
  return Member.Report && Member.Report->Term == Term &&
         Member.Report->Role == member_role::Primary;
}

bool namesPrimary(const member_view &Member, std::uint64_t Term) {
  return Member.Report && Member.Report->Term == Term &&
         Member.Report->Role == member_role::Replica &&
         !Member.Report->Primary.empty();
}

bool answers(const member_view &Member) {
  return Member.Reachable && Member.Report;
}

std::size_t countAnswering(const group_view &View) {
  return static_cast<std::size_t>(
      std::count_if(View.Members.begin(), View.Members.end(), answers));
}

bool mayTakeOver(const member_view &Member, std::uint64_t Term) {
  return answers(Member) && !Member.Leaving && Member.Report->Term == Term &&
         Member.Report->Role == member_role::Replica;
}

bool isNearlyCaughtUp(const member_view &Member) {
  const member_report &Report = *Member.Report;
  return Report.HeardAgeMs <= MaxHandoverHeardAgeMs &&
         Report.Position.Index + MaxHandoverLagEntries >=
             Report.PrimaryPosition.Index;
}

/// Finds the primary if it answers, reports as primary and is leaving.
const member_view *findLeavingPrimary(const group_view &View) {
  const auto Primary = currentPrimary(View);
  if (!Primary || !Primary->Reported)
    return nullptr;
  const member_view *Member = impl::findMember(View, Primary->Target);
  return answers(*Member) && Member->Leaving ? Member : nullptr;
}

bool handoverDue(const group_view &View) {
  const member_view *Primary = findLeavingPrimary(View);
  if (Primary == nullptr)
    return false;
  const member_report &Report = *Primary->Report;
  return std::any_of(View.Members.begin(), View.Members.end(),
                     [&Report](const member_view &Member) {
                       return mayTakeOver(Member, Report.Term) &&
                              Member.Report->Position >= Report.Position;
                     });
}

bool isPrimaryUnreachable(const promotion_inputs &Inputs,
                          const target_id &Target) {
  std::set<data_centre_id> ObservingDataCentres;
  for (const unreachable_report &Report : Inputs.UnreachableReports) {
    if (Report.Target == Target)
      ObservingDataCentres.insert(Report.DataCentre);
  }
  const std::size_t Needed = Inputs.LiveDataCentres > 1 ? 2 : 1;
  return ObservingDataCentres.size() >= Needed;
}

bool hasHeardPrimary(const member_view &Member) {
  return answers(Member) &&
         std::chrono::milliseconds(Member.Report->HeardAgeMs) <
             impl::PrimaryIsolatedAfter;
}

bool holdsPosition(const member_view &Member, const member_report &Primary) {
  return Member.Report && Member.Report->Term == Primary.Term &&
         Member.Report->Position >= Primary.Position;
}

/// True when the primary has an entry that no majority has, fewer than a
/// majority have heard the primary recently, and a majority of the members
/// besides the primary answer.
bool isIsolated(const group_view &View, const member_view &Primary) {
  if (!answers(Primary))
    return false;
  std::size_t UpToDate = 0;
  std::size_t HearingPrimary = 0;
  for (const member_view &Member : View.Members) {
    UpToDate += holdsPosition(Member, *Primary.Report) ? 1 : 0;
    HearingPrimary +=
        Member.Target == Primary.Target || hasHeardPrimary(Member) ? 1 : 0;
  }
  const std::size_t Majority = majorityOf(View.Members.size());
  const std::size_t AnsweringReplicas = countAnswering(View) - 1;
  return UpToDate < Majority && HearingPrimary < Majority &&
         AnsweringReplicas >= Majority;
}

} // namespace

std::uint64_t highestTerm(const group_view &View) {
  std::uint64_t Highest = 0;
  for (const member_view &Member : View.Members) {
    if (Member.Report)
      Highest = std::max(Highest, Member.Report->Term);
  }
  return Highest;
}

std::optional<group_primary> currentPrimary(const group_view &View) {
  const std::uint64_t Term = highestTerm(View);
  for (const member_view &Member : View.Members) {
    if (reportsPrimary(Member, Term))
      return group_primary{Member.Target, Term, true};
  }
  for (const member_view &Member : View.Members) {
    if (namesPrimary(Member, Term))
      return group_primary{target_id(Member.Report->Primary), Term, false};
  }
  return std::nullopt;
}

bool awaitsHandover(const group_view &View) {
  const member_view *Primary = findLeavingPrimary(View);
  if (Primary == nullptr ||
      countAnswering(View) < majorityOf(View.Members.size()))
    return false;
  return std::any_of(View.Members.begin(), View.Members.end(),
                     [Primary](const member_view &Member) {
                       return mayTakeOver(Member, Primary->Report->Term) &&
                              isNearlyCaughtUp(Member);
                     });
}

namespace impl {

const member_view *findMember(const group_view &View, const target_id &Target) {
  const auto Found = std::find_if(
      View.Members.begin(), View.Members.end(),
      [&Target](const member_view &Member) { return Member.Target == Target; });
  return Found == View.Members.end() ? nullptr : &*Found;
}

bool follows(const member_view &Member, const group_primary &Primary) {
  return namesPrimary(Member, Primary.Term) &&
         Member.Report->Primary == Primary.Target.Value;
}

assessment assess(const promotion_inputs &Inputs) {
  const group_view &View = Inputs.View;
  const auto Primary = currentPrimary(View);
  if (!Primary)
    return {promotion_reason::NoPrimary, {}};
  if (isPrimaryUnreachable(Inputs, Primary->Target))
    return {promotion_reason::PrimarySilent, Primary->Target};
  const member_view *Member = findMember(View, Primary->Target);
  if (Member == nullptr || (!Primary->Reported && answers(*Member)))
    return {promotion_reason::NoPrimary, {}};
  if (handoverDue(View))
    return {promotion_reason::PrimaryLeaving, Primary->Target};
  if (Primary->Reported && isIsolated(View, *Member))
    return {promotion_reason::PrimaryIsolated, Primary->Target};
  return {};
}

bool majorityAnswers(const group_view &View, const assessment &Assessment) {
  std::size_t Answering = 0;
  for (const member_view &Member : View.Members) {
    const bool Unreachable =
        Assessment.Reason == promotion_reason::PrimarySilent &&
        Member.Target == Assessment.SuspectedPrimary;
    Answering += answers(Member) && !Unreachable ? 1 : 0;
  }
  return Answering >= majorityOf(View.Members.size());
}

} // namespace impl

} // namespace bronzespar

/// Conclusions from the reports of a group's members: the primary, confirmed
/// positions and the staleness of data.
#include <bronzespar/group_view.hpp>

#include <algorithm>

namespace bronzespar {

namespace {

member_view *findMember(group_view &View, const std::string &Target) {
  for (member_view &Member : View.Members)
    if (Member.Target.Value == Target)
      return &Member;
  return nullptr;
}

/// Reports of one member are ordered by term, and within a term by the time as
/// of which they are valid, because a follower may drop entries. Relayed
/// reports, whose time is unknown, are ordered by position.
bool isOlder(const member_report &Report, instant ReportedAt,
             const member_view &Known) {
  if (Report.Term != Known.Report->Term)
    return Report.Term < Known.Report->Term;
  if (ReportedAt != instant{})
    return ReportedAt < Known.ReportedAt;
  return Report.Position <= Known.Report->Position;
}

bool holdsPosition(const member_report &Report, log_position Position,
                   std::uint64_t Term) {
  return Report.Term == Term && Report.Position >= Position;
}

/// True if the report proves that the primary of Term has the entry at
/// Position, because the replica's last entry is from that term.
bool provesPrimaryHolds(const member_report &Report, log_position Position,
                        std::uint64_t Term) {
  return holdsPosition(Report, Position, Term) && Report.Position.Term == Term;
}

bool isHeldBy(const group_view &View, const member_view &Member,
              log_position Position, std::uint64_t Term) {
  if (Member.Report && holdsPosition(*Member.Report, Position, Term))
    return true;
  return std::any_of(
      View.Members.begin(), View.Members.end(), [&](const member_view &Other) {
        return Other.Report && Other.Report->Primary == Member.Target.Value &&
               provesPrimaryHolds(*Other.Report, Position, Term);
      });
}

std::size_t countAboveTerm(const group_view &View, std::uint64_t Term) {
  return static_cast<std::size_t>(
      std::count_if(View.Members.begin(), View.Members.end(),
                    [Term](const member_view &Member) {
                      return Member.Report && Member.Report->Term > Term;
                    }));
}

/// What a member's report shows about its primary's log: at HeardAt, the
/// primary of Term had no entry after Position.
struct primary_evidence {
  std::uint64_t Term = 0;
  log_position Position;
  instant HeardAt{};
};

std::optional<primary_evidence> evidenceOf(const member_view &Member) {
  if (!Member.Report || Member.ReportedAt == instant{})
    return std::nullopt;
  const member_report &Report = *Member.Report;
  if (Report.Role == member_role::Primary)
    return primary_evidence{Report.Term, Report.Position, Member.ReportedAt};
  if (Report.Role != member_role::Replica)
    return std::nullopt;
  return primary_evidence{Report.Term, Report.PrimaryPosition,
                          Member.ReportedAt -
                              std::chrono::milliseconds(Report.HeardAgeMs)};
}

/// True if no later term can have been granted by a majority at HeardAt,
/// because the primary and enough other members were still in the term.
bool hadMajorityWhenHeard(const group_view &View,
                          const primary_evidence &Evidence) {
  std::size_t InTerm = 1;
  for (const member_view &Member : View.Members) {
    if (!Member.Report || Member.Report->Term != Evidence.Term)
      continue;
    if (Member.Report->Role != member_role::Primary &&
        Member.ReportedAt >= Evidence.HeardAt)
      ++InTerm;
  }
  return InTerm >= majorityOf(View.Members.size());
}

} // namespace

void applyReport(group_view &View, const member_report &Report,
                 instant ReportedAt) {
  member_view *Member = findMember(View, Report.Target);
  if (Member == nullptr)
    return;
  Member->Reachable = true;
  if (Member->Report && isOlder(Report, ReportedAt, *Member))
    return;
  Member->Report = Report;
  Member->ReportedAt = ReportedAt;
}

const member_view *findPrimary(const group_view &View) {
  const member_view *Best = nullptr;
  for (const member_view &Member : View.Members) {
    if (!Member.Report || Member.Report->Role != member_role::Primary)
      continue;
    if (Best == nullptr || Best->Report->Term < Member.Report->Term)
      Best = &Member;
  }
  if (Best == nullptr)
    return nullptr;
  const bool Superseded = countAboveTerm(View, Best->Report->Term) >=
                          majorityOf(View.Members.size());
  return Superseded ? nullptr : Best;
}

bool isHeldByMajority(const group_view &View, log_position Position,
                      std::uint64_t Term) {
  const auto MembersWithEntry = std::count_if(
      View.Members.begin(), View.Members.end(), [&](const member_view &Member) {
        return isHeldBy(View, Member, Position, Term);
      });
  return !View.Members.empty() && static_cast<std::size_t>(MembersWithEntry) >=
                                      majorityOf(View.Members.size());
}

bool isConfirmed(const group_view &View, log_position Position) {
  return isHeldByMajority(View, Position, Position.Term);
}

std::uint64_t majorityTerm(const group_view &View) {
  std::vector<std::uint64_t> Terms;
  Terms.reserve(View.Members.size());
  for (const member_view &Member : View.Members)
    Terms.push_back(Member.Report ? Member.Report->Term : 0);
  if (Terms.empty())
    return 0;
  std::sort(Terms.begin(), Terms.end(), std::greater<>());
  return Terms[majorityOf(Terms.size()) - 1];
}

std::optional<instant> freshAsOf(const group_view &View,
                                 log_position Position) {
  std::optional<instant> Latest;
  for (const member_view &Member : View.Members) {
    const auto Evidence = evidenceOf(Member);
    if (!Evidence || Evidence->Position > Position)
      continue;
    if (!hadMajorityWhenHeard(View, *Evidence))
      continue;
    if (!Latest || *Latest < Evidence->HeardAt)
      Latest = Evidence->HeardAt;
  }
  return Latest;
}

} // namespace bronzespar

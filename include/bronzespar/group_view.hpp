/// A host's local view of a replication group, built from the members' reports,
/// and the choice of the member that runs a read.
#pragma once

#include <bronzespar/fleet_settings.hpp>
#include <bronzespar/target_messages.hpp>

#include <optional>
#include <vector>

namespace bronzespar {

/// \brief Latest known state of one member.
struct member_view {
  target_id Target;
  data_centre_id DataCentre;
  bool Leaving = false;   ///< Set by the settings or the member's own report.
  bool Reachable = false; ///< Recently, from this host or a peer.
  std::optional<member_report> Report;
  /// Time on this host's clock as of which Report is valid: when the report
  /// was requested, or earlier for a relayed report.
  instant ReportedAt{};
};

/// \brief Latest known state of a group.
struct group_view {
  group_id Group;
  std::vector<member_view> Members;
};

[[nodiscard]] constexpr std::size_t majorityOf(std::size_t Members) noexcept {
  return Members / 2 + 1;
}
static_assert(majorityOf(3) == 2 && majorityOf(1) == 1);

/// \brief Stores a member's report unless it is older than the stored one.
void applyReport(group_view &View, const member_report &Report,
                 instant ReportedAt);

/// \brief Member that reports as primary in the highest term.
/// \returns nullptr when there is none, or when a majority is in later terms.
[[nodiscard]] const member_view *findPrimary(const group_view &View);

/// \brief True once a majority, each member in exactly Position.Term, has the
/// log entry at the position. Such a write survives every later promotion.
[[nodiscard]] bool isConfirmed(const group_view &View, log_position Position);

/// \brief True once a majority in exactly Term has the log entry at Position,
/// which must be in the log of Term's primary.
/// \remarks A replica can have entries of Term only if Term's primary has them
/// too, so its report counts for both members.
[[nodiscard]] bool isHeldByMajority(const group_view &View,
                                    log_position Position, std::uint64_t Term);

/// \brief Highest term that a majority is known to have reached.
[[nodiscard]] std::uint64_t majorityTerm(const group_view &View);

/// \brief Time as of which data read at Position is provably current: the
/// latest time at which the primary had no entry after Position and a majority
/// was in its term.
/// \returns Nothing when no such time is known.
[[nodiscard]] std::optional<instant> freshAsOf(const group_view &View,
                                               log_position Position);

/// \brief Requirements of a read on the member that runs it.
struct read_requirement {
  log_position RequiredPosition; ///< Log position that must be applied.
  /// Bound on the staleness of the data; if unset, RequiredPosition suffices
  /// (read-your-writes).
  std::optional<duration> MaxAge;
  data_centre_id PreferredDataCentre;
};

/// \brief Outcome of the choice of a member for a read.
enum class read_choice_kind {
  Now,    ///< Target can run the read at once.
  Wait,   ///< Target is the most up-to-date replica; wait for its report.
  Nowhere ///< No member can run the read.
};
BOOST_DESCRIBE_ENUM(read_choice_kind, Now, Wait, Nowhere)

struct read_choice {
  read_choice_kind Kind = read_choice_kind::Nowhere;
  target_id Target;
};

/// \brief Chooses a member for a read: the replica with the lowest load that
/// satisfies Requirement, where replicas of other data centres get a penalty;
/// else the replica furthest along in its log, to wait for; else the primary.
/// \param Load Statements running or queued at each member, in the order of
/// View.Members.
[[nodiscard]] read_choice
chooseReadTarget(const group_view &View, const read_requirement &Requirement,
                 instant Now, const std::vector<std::uint32_t> &Load);

} // namespace bronzespar

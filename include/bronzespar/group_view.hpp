/// What a host knows about a group's members, and the choice of a member for a
/// statement.
#pragma once

#include <bronzespar/fleet_settings.hpp>
#include <bronzespar/target_messages.hpp>

#include <optional>
#include <vector>

namespace bronzespar {

/// \brief Latest knowledge of one member.
struct member_view {
  target_id Target;
  data_centre_id DataCentre;
  bool Leaving = false;   ///< By settings or by the member's own report.
  bool Reachable = false; ///< By this host or a peer, lately.
  std::optional<member_report> Report;
  /// When the state in Report was certainly true on this host's clock: the
  /// moment the report request was sent, or earlier for relayed ones.
  instant ReportedAt{};
};

/// \brief Latest knowledge of a group.
struct group_view {
  group_id Group;
  std::vector<member_view> Members;
};

/// \brief Number of members that make a majority.
[[nodiscard]] constexpr std::size_t majorityOf(std::size_t Members) noexcept {
  return Members / 2 + 1;
}
static_assert(majorityOf(3) == 2 && majorityOf(1) == 1);

/// \brief Takes in a report; keeps what it knows if the report is older.
void applyReport(group_view &View, const member_report &Report,
                 instant ReportedAt);

/// \brief Member that is primary in the highest term known to be granted.
/// \returns nullptr while the group has none that serves.
[[nodiscard]] const member_view *findPrimary(const group_view &View);

/// \brief True once a majority, each granting exactly Position.Term, holds the
/// position: the write survives every later promotion.
[[nodiscard]] bool isConfirmed(const group_view &View, log_position Position);

/// \brief True once the position is held by a majority that grants exactly
/// Term; Position must be in the log of Term's primary.
/// \remarks A replica that received entries of Term proves that Term's primary
/// held them too, so its report counts for both.
[[nodiscard]] bool isHeldByMajority(const group_view &View,
                                    log_position Position, std::uint64_t Term);

/// \brief Highest term that a majority is known to grant, or to be past.
[[nodiscard]] std::uint64_t majorityTerm(const group_view &View);

/// \brief Latest moment at which a primary that was certainly in office had
/// nothing beyond Position; data read there is no older than that moment.
/// \returns Nothing when no such moment is known.
[[nodiscard]] std::optional<instant> freshAsOf(const group_view &View,
                                               log_position Position);

/// \brief What a read asks of the member that runs it.
struct read_requirement {
  log_position RequiredPosition; ///< The session's mark.
  /// Longest age of the data; nothing: only read-your-writes is needed.
  std::optional<duration> MaxAge;
  data_centre_id PreferredDataCentre; ///< Preferred data centre.
};

/// \brief Why a read goes where it goes.
enum class read_choice_kind {
  Now,  ///< Target satisfies the need by what is known.
  Wait, ///< Target is nearest to satisfying it: wait for its report.
  Nowhere
};
BOOST_DESCRIBE_ENUM(read_choice_kind, Now, Wait, Nowhere)

struct read_choice {
  read_choice_kind Kind = read_choice_kind::Nowhere;
  target_id Target;
};

/// \brief Chooses a member for a read: a replica that satisfies the need (near
/// ones first, Load breaking ties), else the primary, else a wait.
/// \param Load Statements running or queued at a member, in Members' order.
[[nodiscard]] read_choice
chooseReadTarget(const group_view &View, const read_requirement &Need,
                 instant Now, const std::vector<std::uint32_t> &Load);

} // namespace bronzespar

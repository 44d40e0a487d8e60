/// Assessment of a group's view: whether and why a promotion is needed.
#pragma once

#include <bronzespar/failover.hpp>

namespace bronzespar::impl {

/// \brief Time without contact after which a replica counts as cut off from its
/// primary.
inline constexpr duration PrimaryIsolatedAfter = 3s;

/// \brief Reason for a promotion, and the primary that it refers to.
struct assessment {
  promotion_reason Reason = promotion_reason::None;
  target_id SuspectedPrimary;
};

/// \returns nullptr when the group has no such member.
[[nodiscard]] const member_view *findMember(const group_view &View,
                                            const target_id &Target);

/// \brief True when the member replicates from Primary in Primary's term.
[[nodiscard]] bool follows(const member_view &Member,
                           const group_primary &Primary);

/// \brief Determines whether the group needs a promotion, and why.
[[nodiscard]] assessment assess(const promotion_inputs &Inputs);

/// \brief True when enough members answer for a promotion to succeed. Without
/// this check, a host in a minority partition would raise the terms of the
/// members there without success, and the higher terms would disrupt the group
/// once the partition heals.
[[nodiscard]] bool majorityAnswers(const group_view &View,
                                   const assessment &Assessment);

} // namespace bronzespar::impl

/// Reading of a group's view: is a promotion needed, and why.
#pragma once

#include <bronzespar/failover.hpp>

namespace bronzespar::impl {

/// \brief Age at which replicas' news of their primary counts as silence.
inline constexpr duration PrimaryIsolatedAfter = 3s;

/// \brief A reason to promote, and the primary that it is about.
struct assessment {
  promotion_reason Reason = promotion_reason::None;
  target_id SuspectedPrimary;
};

/// \brief Finds a member. \returns nullptr when there is none.
[[nodiscard]] const member_view *findMember(const group_view &View,
                                            const target_id &Target);

/// \brief True when the member replicates from Primary in Primary's term.
[[nodiscard]] bool follows(const member_view &Member,
                           const group_primary &Primary);

/// \brief Says whether the group needs a promotion by what is known now.
[[nodiscard]] assessment assess(const promotion_inputs &Inputs);

/// \brief True when enough members answer for a promotion to succeed. Without
/// this check a minority would raise its members' terms in vain and disturb
/// the group when the partition heals.
[[nodiscard]] bool majorityAnswers(const group_view &View,
                                   const assessment &Found);

} // namespace bronzespar::impl

/// Context that the guards and actions of the promotion state machine share.
#pragma once

#include "failover/evidence.hpp"

namespace bronzespar::impl {

/// \brief State, inputs and effects of processing one event.
struct decision {
  promotion_state &State;
  const promotion_inputs &Inputs;
  const host_settings &Self;
  instant Now;
  effect_list &Effects;
  promotion_step From; ///< Step before the event was processed.
};

/// \brief Deterministic jitter: a duration below Limit that differs between
/// hosts and groups.
/// \param Salt Makes the result differ between attempts.
[[nodiscard]] duration jitter(const decision &Context, std::uint64_t Salt,
                              duration Limit);

/// \brief Name under which this incarnation of the host requests terms.
[[nodiscard]] std::string coordinatorName(const decision &Context);

/// \brief Primary that the members should follow.
/// \returns Nothing when no primary of the highest known term is known.
[[nodiscard]] std::optional<group_primary>
knownPrimary(const decision &Context);

/// \brief True when the member has reported and does not follow Primary.
[[nodiscard]] bool needsFollow(const member_view &Member,
                               const group_primary &Primary);

/// \brief True when the member granted the term and may be chosen.
[[nodiscard]] bool isCandidate(const promotion_state &State,
                               const fence_answer &Answer);

[[nodiscard]] bool isLeaving(const decision &Context,
                             const fence_answer &Answer);

/// \brief Answer of the preferred candidate. \returns nullptr when there is
/// none.
[[nodiscard]] const fence_answer *bestCandidate(const decision &Context);

[[nodiscard]] bool holds(const decision &Context, promotion_guard Guard);

void perform(const decision &Context, promotion_action Action);

} // namespace bronzespar::impl

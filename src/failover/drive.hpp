/// Context that the guards and actions of the promotion state chart share.
#pragma once

#include "failover/evidence.hpp"

namespace bronzespar::impl {

/// \brief State, inputs and effects of processing one event.
struct promotion_context {
  promotion_state &State;
  const promotion_inputs &Inputs;
  const host_settings &Self;
  instant Now;
  effect_list &Effects;
  promotion_step StepBefore; ///< Step before the event was processed.
};

/// \brief Deterministic jitter: a duration below Limit that differs between
/// hosts and groups.
/// \param Salt Makes the result differ between attempts.
[[nodiscard]] duration jitter(const promotion_context &Context,
                              std::uint64_t Salt, duration Limit);

/// \brief Name under which this incarnation of the host requests terms.
[[nodiscard]] std::string coordinatorName(const promotion_context &Context);

/// \brief Primary that the members should follow.
/// \returns Nothing when no primary of the highest known term is known.
[[nodiscard]] std::optional<group_primary>
knownPrimary(const promotion_context &Context);

/// \brief True when the member has reported and does not follow Primary.
[[nodiscard]] bool mustFollow(const member_view &Member,
                              const group_primary &Primary);

/// \brief True when the member granted the term and may be chosen.
[[nodiscard]] bool isCandidate(const promotion_state &State,
                               const fence_answer &Answer);

[[nodiscard]] bool isLeaving(const promotion_context &Context,
                             const fence_answer &Answer);

/// \brief Answer of the preferred candidate. \returns nullptr when there is
/// none.
[[nodiscard]] const fence_answer *
bestCandidate(const promotion_context &Context);

[[nodiscard]] bool evaluateGuard(const promotion_context &Context,
                                 promotion_guard Guard);

void runAction(const promotion_context &Context, promotion_action Action);

} // namespace bronzespar::impl

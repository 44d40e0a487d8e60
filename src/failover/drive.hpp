/// One decision of a promotion, shared by its guards and actions.
#pragma once

#include "failover/evidence.hpp"

namespace bronzespar::impl {

/// \brief One decision: what it reads, changes and orders.
struct promotion_context {
  promotion_state &State;
  const promotion_inputs &Inputs;
  const host_settings &Self;
  instant Now;
  effect_list &Effects;
  promotion_step StepBefore; ///< Step in which the event arrived.
};

/// \brief A duration below Spread that differs between hosts, groups and
/// attempts.
[[nodiscard]] duration jitter(const promotion_context &D, std::uint64_t Salt,
                              duration Spread);

/// \brief Name under which this start of the host asks for terms.
[[nodiscard]] std::string coordinatorName(const promotion_context &D);

/// \brief The primary that members are to follow, as far as this host knows.
[[nodiscard]] std::optional<group_primary>
knownPrimary(const promotion_context &D);

/// \brief True when the member must be told to follow.
[[nodiscard]] bool mustFollow(const member_view &Member,
                              const group_primary &Primary);

/// \brief True when the member may be chosen by the answer.
[[nodiscard]] bool isCandidate(const promotion_state &State,
                               const fence_answer &Answer);

/// \brief True when the member that answered is leaving.
[[nodiscard]] bool isLeaving(const promotion_context &D,
                             const fence_answer &Answer);

/// \brief The granting member to choose. \returns nullptr when none may be.
[[nodiscard]] const fence_answer *bestCandidate(const promotion_context &D);

/// \brief Says whether a guard of the chart holds.
[[nodiscard]] bool evaluateGuard(const promotion_context &D,
                                 promotion_guard Guard);

/// \brief Carries out an action of the chart.
void runAction(const promotion_context &D, promotion_action Action);

} // namespace bronzespar::impl

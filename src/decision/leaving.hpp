/// Planned shutdown of a host: it hands its duties to other hosts, finishes
/// open work, then stops the process.
#pragma once

#include "state.hpp"

namespace bronzespar::impl {

void leaveRequested(context &Context);
void tickLeaving(context &Context);
/// \brief Whether this host may stop before a deadline. What has such a
/// deadline is refused when it arrives: requests go on arriving until the
/// process ends, and a later one would end in doubt.
[[nodiscard]] bool mayStopBefore(const host_state &State, instant Deadline);
/// Detail of such a refusal.
inline constexpr const char *LeavingDetail =
    "The host is leaving and may stop before the request's deadline.";

} // namespace bronzespar::impl

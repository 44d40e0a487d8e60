/// Planned shutdown of a host: it hands its duties to other hosts, finishes
/// open work, then stops the process.
#pragma once

#include "state.hpp"

namespace bronzespar::impl {

void leaveRequested(context &Context);
void tickLeaving(context &Context);

} // namespace bronzespar::impl

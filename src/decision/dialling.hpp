/// When a pool dials its target, and when it gives connections up.
#pragma once

#include "state.hpp"

namespace bronzespar::impl {

/// \brief Dials for runs that wait, within the target's connections.
void dialForWaitingRuns(context &Context, target_pool &Pool);

/// \brief Waits before the next dial, longer after each failure.
void delayDialling(context &Context, target_pool &Pool);

/// \brief Refuses runs that wait for a connection while none can come soon.
void refuseRunsWithoutConnection(context &Context, target_pool &Pool);

} // namespace bronzespar::impl

/// Opening of connections to a target, and back-off after failed attempts.
#pragma once

#include "state.hpp"

namespace bronzespar::impl {

/// \brief Opens connections for runs that wait for one, up to the target's
/// connection limit.
void dialForWaitingRuns(context &Context, target_pool &Pool);

/// \brief Delays the next dial; the delay doubles with each failure, up to
/// MaxDialDelay.
void delayDialling(context &Context, target_pool &Pool);

/// \brief Refuses the runs that wait for a connection if the pool has none and
/// its next dial is delayed.
void refuseRunsWithoutConnection(context &Context, target_pool &Pool);

} // namespace bronzespar::impl

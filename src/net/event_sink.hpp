/// How adapters hand over what happened.
#pragma once

#include <bronzespar/effects.hpp>

#include <functional>

namespace bronzespar {

/// \brief Hands an event to the decisions. Waits for room in the ring.
using event_sink = std::function<void(event &&)>;
/// \brief Offers a caller's event. \returns False when the ring is full.
using event_offer = std::function<bool(event &&)>;
/// \brief Writes a log entry from the adapter's own thread.
using log_sink = std::function<void(effects::write_log &&)>;

} // namespace bronzespar

/// The host's state for operators.
#pragma once

#include "state.hpp"

namespace bronzespar::impl {

/// \brief Answers with the host's state as JSON.
void statusRequested(context &Context, const events::status_requested &Event);

} // namespace bronzespar::impl

/// Status of the host for operators.
#pragma once

#include "state.hpp"

namespace bronzespar::impl {

/// \brief Answers with the host's state as JSON.
void statusAsked(context &Context, const events::status_asked &Event);

} // namespace bronzespar::impl

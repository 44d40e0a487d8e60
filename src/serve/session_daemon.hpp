/// A session host as a process: decisions, sockets and the store on one thread.
#pragma once

#include "serve_settings.hpp"

#include <platform/store_client.hpp>

namespace bronzespar::serve {

/// \brief Serves until the process is told to stop.
/// \returns The exit status.
int runSessionDaemon(const serve_settings &Settings);

} // namespace bronzespar::serve

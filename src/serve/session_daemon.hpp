/// A session host as a process: decisions, sockets and the store on one thread.
#pragma once

#include "serve_settings.hpp"

#include <platform/store_client.hpp>

#include <functional>
#include <string>

namespace bronzespar::serve {

/// \brief Serves until the process is told to stop.
/// \param Reread Reads the settings anew when the process is told that they
/// changed; what it returns is logged. Addresses stay those of the start.
/// \returns The exit status.
int runSessionDaemon(const serve_settings &Settings,
                     std::function<std::string()> Reread);

} // namespace bronzespar::serve

/// Process of a session host. State machine, sockets and store calls share one
/// thread.
#pragma once

#include "serve_settings.hpp"

#include <functional>
#include <string>

namespace bronzespar::serve {

/// \brief Serves until the process receives SIGTERM or SIGINT.
/// \param Reread Reads the settings file again on SIGHUP; its return value is
/// logged. Addresses change only at the next start.
/// \returns The exit status.
int runSessionDaemon(const serve_settings &Settings,
                     std::function<std::string()> Reread);

} // namespace bronzespar::serve

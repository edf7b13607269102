/// Set-up of easylogging++ for the daemon.
#pragma once

#include "daemon/settings.h"

namespace wisteriashunt
{

/// Configures the default logger: one structured line each, with time, level and thread.
void configureLogging(const daemon_settings &settings);

} // namespace wisteriashunt

/// Configuration of easylogging++ for the daemon.
#pragma once

#include "daemon/settings.h"

namespace wisteriashunt
{

/// Configures all loggers: one line per message, with time, level and text.
void configureLogging(const daemon_settings &settings);

} // namespace wisteriashunt

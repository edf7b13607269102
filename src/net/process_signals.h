/// Signals that request the process to stop or to reload its settings.
#pragma once

namespace wisteriashunt::process_signals
{

/// Installs process-wide handlers for SIGTERM, SIGINT and SIGHUP, and ignores SIGPIPE.
void install();

/// Returns true once SIGTERM or SIGINT has been received.
[[nodiscard]] bool isStopRequested();

/// Returns true if SIGHUP has been received since the last call.
[[nodiscard]] bool takeReloadRequest();

} // namespace wisteriashunt::process_signals

/// Signals by which a process is asked to stop or to read its settings again.
#pragma once

namespace wisteriashunt::process_signals
{

/// Handles SIGTERM, SIGINT and SIGHUP, and ignores SIGPIPE, for the whole process.
void install();

/// SIGTERM or SIGINT has come.
[[nodiscard]] bool isStopRequested();

/// Returns true if a SIGHUP has come since the last call.
[[nodiscard]] bool takeReloadRequest();

} // namespace wisteriashunt::process_signals

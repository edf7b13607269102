/// Subcommands of wisteriashuntctl.
#pragma once

#include "ctl/operator_client.h"

#include <string>
#include <vector>

namespace wisteriashunt::ctl
{

/// Flags that the subcommands use.
struct command_options
{
    std::vector<std::string> arguments;
    std::string file;
    /// "table", "json" or "yaml".
    std::string output = "table";
    bool wait = false;
    /// Version that a change must be based on; 0 takes the version that is read first.
    log_offset ifVersion = 0;
    /// Stops `watch` after this many changes; 0 never.
    int watchCount = 0;
    std::string className;
    std::string endpointName;
};

/// Runs the subcommand named by the first argument. Prints to standard output, faults to standard error.
[[nodiscard]] exit_code runCommand(operator_client &client, const command_options &options);

} // namespace wisteriashunt::ctl

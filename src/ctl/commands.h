/// Subcommands of wisteriashuntctl.
#pragma once

#include "ctl/operator_client.h"

#include <string>
#include <vector>

namespace wisteriashunt::ctl
{

/// Positional arguments and flags of a subcommand.
struct command_options
{
    /// Positional arguments; the first is the name of the subcommand.
    std::vector<std::string> arguments;
    /// YAML file with declarations, for `apply` and `diff`.
    std::string file;
    /// "table", "json" or "yaml".
    std::string output = "table";
    /// Waits until a change is in force at every listed instance.
    bool wait = false;
    /// Version that a change must be based on; 0 for the version that the command itself reads.
    log_offset ifVersion = 0;
    /// Number of changes after which `watch` stops; 0 for no limit.
    int watchCount = 0;
    /// Class that `audit` is limited to; empty for all.
    std::string className;
    /// Endpoint that `audit` is limited to; empty for all.
    std::string endpointName;
};

/// Runs the subcommand named by the first argument. Prints results to standard output and errors to standard error.
[[nodiscard]] exit_code runCommand(operator_client &client, const command_options &options);

} // namespace wisteriashunt::ctl

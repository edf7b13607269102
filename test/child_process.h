/// Programs that a test starts, and waiting for what they do.
#pragma once

#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace wisteriashunt::testing
{

/// Starts the program named by the first argument; its standard output is appended to the file. Without an environment ("NAME=value") it
/// gets the test's own. Throws std::runtime_error if it cannot be started.
[[nodiscard]] pid_t startProcess(const std::vector<std::string> &arguments, const std::string &output, const std::vector<std::string> &environment = {});

/// Exit status from the status that waitpid reports, or minus the signal that ended the process.
[[nodiscard]] int exitStatusOf(int waitStatus);

/// Waits until the condition holds. The limit only ends a test that hangs; it is no bound of the product.
void waitUntil(const std::string &what, const std::function<bool()> &condition);

} // namespace wisteriashunt::testing

/// Helpers for tests that start other programs.
#pragma once

#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace wisteriashunt::testing
{

/// Starts the program named by the first argument and appends its standard output to the file `output`. The environment is a list of
/// "NAME=value"; if it is empty, the program inherits that of the test. Throws std::runtime_error if the program cannot be started.
[[nodiscard]] pid_t startProcess(const std::vector<std::string> &arguments, const std::string &output, const std::vector<std::string> &environment = {});

/// Returns the exit status in a status reported by waitpid, or the negative number of the signal that killed the process.
[[nodiscard]] int exitStatusOf(int waitStatus);

/// Waits until the condition holds and fails the test after 60 s. The time limit only stops tests that hang;
/// it is no requirement on the product. `what` completes the sentence "timed out waiting until ...".
void waitUntil(const std::string &what, const std::function<bool()> &condition);

} // namespace wisteriashunt::testing

#include "child_process.h"

#include <gtest/gtest.h>

#include <chrono>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace wisteriashunt::testing
{

namespace
{

constexpr auto hangLimit = std::chrono::seconds(60);
constexpr auto pollInterval = std::chrono::milliseconds(20);

/// Returns a null-terminated array of pointers for posix_spawn. The texts must outlive it.
std::vector<char *> toArgumentPointers(const std::vector<std::string> &texts)
{
    std::vector<char *> pointers;
    for (const auto &text : texts) {
        pointers.push_back(const_cast<char *>(text.c_str()));
    }
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

pid_t startProcess(const std::vector<std::string> &arguments, const std::string &output, const std::vector<std::string> &environment)
{
    constexpr mode_t ownerOnly = 0600;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(), O_WRONLY | O_CREAT | O_APPEND, ownerOnly);
    pid_t process = 0;
    const int error = posix_spawn(&process,
                                  arguments.front().c_str(),
                                  &actions,
                                  nullptr,
                                  toArgumentPointers(arguments).data(),
                                  environment.empty() ? environ : toArgumentPointers(environment).data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error("cannot start " + arguments.front() + ": posix_spawn failed with error " + std::to_string(error));
    }
    return process;
}

int exitStatusOf(int waitStatus)
{
    return WIFEXITED(waitStatus) ? WEXITSTATUS(waitStatus) : -WTERMSIG(waitStatus);
}

void waitUntil(const std::string &what, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + hangLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            FAIL() << "timed out after " << hangLimit.count() << " s waiting until " << what;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace wisteriashunt::testing

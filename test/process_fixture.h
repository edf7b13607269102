/// A small system of real processes on loopback, for failures that only processes have.
#pragma once

#include "child_process.h"
#include "wisteriashunt/resources.h"

#include <gtest/gtest.h>

#include <functional>
#include <future>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace wisteriashunt::testing
{

/// Answer of an HTTP call as a caller sees it.
struct caller_reply
{
    int status = 0;
    std::string body;
    std::string retryAfter;
    /// The connection ended before the answer was complete.
    bool isIncomplete = false;
};

/// Headers of a call besides Content-Type.
using header_list = std::vector<std::string>;

/// Performs one call. `onData` sees the answer grow; returning false ends the call.
caller_reply callHttp(const std::string &method,
                      const std::string &url,
                      const std::string &body,
                      const header_list &headers = {},
                      const std::function<bool(const std::string &)> &onData = {});

/// Starts two entries, three endpoint processes and the stand-ins; ends all of them by their process ids.
class process_fixture : public ::testing::Test
{
protected:
    void SetUp() override;
    void TearDown() override;

    /// Starts a program and remembers it by name.
    void launch(const std::string &name, const std::vector<std::string> &arguments);
    void launchDaemon(const std::string &name);
    void signalProcess(const std::string &name, int signal);

    /// Waits for the process to end and returns its exit status, or minus the signal that ended it.
    int waitForExit(const std::string &name);

    /// Writes other keys into the settings of a daemon and forgets its log.
    void replaceKeys(const std::string &name, const std::string &keys);

    /// Says whether a line of the daemon's log since the last `replaceKeys` names the event.
    bool hasEventInLog(const std::string &name, const std::string &event) const;

    /// Sends the signal and waits for the end.
    int signalAndWait(const std::string &name, int signal);

    void waitUntilReady(const std::string &instance, std::size_t usableEndpoints = 0);

    /// Streams a chat through an entry; the answer must be `length` tokens of `tag`.
    static caller_reply chat(int entryPort, const std::string &tag, int length, const std::function<bool(const std::string &)> &onData = {});
    static std::string expectedChat(const std::string &tag, int length);

    /// Returns the token texts of an event stream; "[DONE]" ends it.
    static std::string tokenTextOf(const std::string &stream);

    caller_reply book(int entryPort, const std::string &operation, const std::string &key = {}) const;
    int bookingCount(const std::string &operation) const;

    /// Sends a command to a stand-in.
    static void sendControl(int port, const std::string &json);
    static std::string fetch(int port, const std::string &path);

    static constexpr int platformPort = 21000;
    static constexpr int engineAPort = 21100;
    static constexpr int engineBPort = 21101;
    static constexpr int bookingPort = 21200;
    static constexpr int peerBasePort = 21300;
    static constexpr int adminBasePort = 21400;
    static constexpr int entryAPort = 21500;
    static constexpr int entryBPort = 21501;

private:
    void writeSettings(const std::string &name, int index, const std::string &role, const std::string &rest);
    void declareResources();

    std::string m_directory;
    std::map<std::string, pid_t> m_processes;
    std::map<std::string, int> m_adminPorts;
    std::map<std::string, std::size_t> m_logOffsets;
};

} // namespace wisteriashunt::testing

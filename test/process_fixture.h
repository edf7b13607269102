/// Fixture that runs a small system of real processes on the loopback interface, for failures that only real processes can have.
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

/// Answer to an HTTP call as the caller receives it.
struct caller_reply
{
    int status = 0;
    std::string body;
    std::string retryAfter;
    /// The call failed or ended before the answer was complete.
    bool isIncomplete = false;
};

/// Header lines of a call besides Content-Type.
using header_list = std::vector<std::string>;

/// Performs one call. `onData` is called with the body received so far, after each part of it; if it returns false, the call is aborted.
caller_reply callHttp(const std::string &method,
                      const std::string &url,
                      const std::string &body,
                      const header_list &headers = {},
                      const std::function<bool(const std::string &)> &onData = {});

/// Starts two entries, three endpoint processes and the stand-ins before each test, and kills them by their process IDs after it.
class process_fixture : public ::testing::Test
{
protected:
    void SetUp() override;
    void TearDown() override;

    /// Starts a program. The other functions refer to it by `name`.
    void launch(const std::string &name, const std::vector<std::string> &arguments);
    /// Starts a daemon with the settings file of this name.
    void launchDaemon(const std::string &name);
    void signalProcess(const std::string &name, int signal);

    /// Waits for the process to exit and returns its exit status, or the negative number of the signal that killed it.
    int waitForExit(const std::string &name);

    /// Replaces the peer keys in the settings file of a daemon. From then on `hasEventInLog` ignores what the daemon has logged so far.
    void replaceKeys(const std::string &name, const std::string &keys);

    /// Returns whether the daemon has logged the event since the last `replaceKeys`.
    bool hasEventInLog(const std::string &name, const std::string &event) const;

    /// Sends the signal and returns the result of `waitForExit`.
    int signalAndWait(const std::string &name, int signal);

    /// Waits until the instance is ready, has all declared resources and can use at least this number of endpoints.
    void waitUntilReady(const std::string &instance, std::size_t usableEndpoints = 0);

    /// Streams a chat completion of `length` tokens through an entry. `expectedChat` returns the texts of the complete answer.
    static caller_reply chat(int entryPort, const std::string &tag, int length, const std::function<bool(const std::string &)> &onData = {});
    static std::string expectedChat(const std::string &tag, int length);

    /// Returns the joined token texts of an event stream, with "[DONE]" for its closing event.
    static std::string tokenTextOf(const std::string &stream);

    /// Posts a non-idempotent operation through an entry; without a key it carries no Idempotency-Key.
    caller_reply book(int entryPort, const std::string &operation, const std::string &key = {}) const;
    /// Returns how often the booking stand-in has run the operation.
    int bookingCount(const std::string &operation) const;

    /// Sends a command to a stand-in.
    static void sendControl(int port, const std::string &json);
    /// Returns the body of a GET request.
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
    /// Appends the configuration of the tests to the log.
    void declareResources();

    std::string m_directory;
    std::map<std::string, pid_t> m_processes;
    std::map<std::string, int> m_adminPorts;
    /// Sizes of the logs at the last `replaceKeys`.
    std::map<std::string, std::size_t> m_logOffsets;
};

} // namespace wisteriashunt::testing

/// Entries, endpoint processes, their connections, the claim log and the back ends, all in the hands of a test.
#pragma once

#include "endpoint/endpoint_core.h"
#include "request/entry_core.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace wisteriashunt::testing
{

/// What became of one caller's request, as its caller sees it.
struct caller_view
{
    std::string operation;
    std::uint32_t length = 0;
    std::string received;
    std::optional<error_kind> error;
    bool isComplete = false;
    bool isAborted = false;
    int finalAnswers = 0;
    bool hasDisconnected = false;
};

/// Steps are small, so that a failure can fall between any two of them. Every step takes any number and maps it to something that exists.
class simulated_system
{
public:
    simulated_system(std::size_t entries, std::size_t endpoints);

    // Callers.
    void submitOperation(std::size_t entry, int operation, bool withKey);
    void submitStream(std::size_t entry, std::uint32_t length);
    void disconnectCaller(std::size_t caller);

    // Network. Each connection keeps its order; a cut loses what is on the way.
    void deliver(std::size_t link, bool toEndpoint);
    /// Delivers what is on the way in both directions, until nothing is left.
    void deliverAll(std::size_t link);
    void disconnect(std::size_t link);
    void reconnect(std::size_t link);

    // Processes.
    void killEntry(std::size_t entry);
    void killEndpoint(std::size_t endpoint);
    void freezeEntry(std::size_t entry, bool frozen);
    void requestEndpointLeave(std::size_t endpoint);
    /// The platform's list names the endpoint as leaving; the endpoint process itself knows nothing of it.
    void listEndpointLeaving(std::size_t endpoint);
    void advance(duration time);

    // The platform's log.
    void setLogDown(bool down);
    void appendPending(std::size_t entry, bool loseAnswer);
    void readLog(std::size_t entry);

    // Back ends.
    void runUpstream(std::size_t endpoint, bool loseAnswer);
    void emitToken(std::size_t endpoint);
    void failStream(std::size_t endpoint);

    /// Lets everything that can happen happen, with all processes and the log up, for the given virtual time.
    void settle(duration time);

    /// Returns a broken promise in words, or nothing.
    [[nodiscard]] std::optional<std::string> violation() const;

    [[nodiscard]] const std::vector<caller_view> &callers() const;
    [[nodiscard]] int runsOf(const std::string &operation) const;
    [[nodiscard]] std::size_t unansweredCallers() const;
    [[nodiscard]] std::uint64_t startsAt(std::size_t endpoint) const;

private:
    struct link
    {
        peer_id peer = 0;
        bool isUp = false;
        std::deque<message> toEndpoint;
        std::deque<message> toEntry;
    };
    struct entry_process
    {
        std::unique_ptr<entry_core> core;
        std::uint64_t incarnation = 0;
        bool isFrozen = false;
        std::deque<std::string> appends;
        log_offset nextRead = 1;
    };
    struct upstream_work
    {
        start request;
        std::uint32_t next = 0;
    };
    struct endpoint_process
    {
        std::unique_ptr<endpoint_core> core;
        std::uint64_t incarnation = 0;
        std::deque<upstream_work> work;
        std::uint64_t starts = 0;
    };

    void startEntry(std::size_t index);
    void startEndpoint(std::size_t index);
    void toEntry(std::size_t index, const entry_event &event);
    void toEndpoint(std::size_t index, const endpoint_event &event);
    void execute(std::size_t index, std::vector<entry_action> actions);
    void execute(std::size_t index, std::vector<endpoint_action> actions);
    void countFinalAnswer(caller_id caller);
    void submit(std::size_t entry, const routed_request &request, const caller_view &view);
    link &linkAt(std::size_t entry, std::size_t endpoint);

    configuration_state m_configuration;
    std::vector<entry_process> m_entries;
    std::vector<endpoint_process> m_endpoints;
    std::vector<link> m_links;
    std::vector<std::string> m_log;
    bool m_isLogDown = false;
    std::uint64_t m_nextNumber = 100;
    time_point m_now;
    std::vector<caller_view> m_callers;
    std::vector<std::size_t> m_callerEntry;
    std::map<std::string, int> m_runs;
    std::map<std::uint64_t, int> m_runsOfCaller;
    std::mt19937_64 m_random{1};
};

} // namespace wisteriashunt::testing

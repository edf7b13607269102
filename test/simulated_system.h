/// Simulation of entries, endpoint processes, their connections, the claim log and the back ends, in which a test controls every step.
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

/// One caller's request and the answer as the caller sees it.
struct caller_view
{
    /// Name of the operation; empty for a stream.
    std::string operation;
    /// Number of tokens of the stream.
    std::uint32_t length = 0;
    std::string received;
    std::optional<error_kind> error;
    bool isComplete = false;
    bool isAborted = false;
    int finalAnswers = 0;
    bool hasDisconnected = false;
};

/// Steps are small, so that a failure can occur between any two of them. Index arguments may be out of range: they are taken modulo the number
/// of entries, endpoints, links or callers.
class simulated_system
{
public:
    simulated_system(std::size_t entries, std::size_t endpoints);

    // Callers.
    void submitOperation(std::size_t entry, int operation, bool withKey);
    void submitStream(std::size_t entry, std::uint32_t length);
    void disconnectCaller(std::size_t caller);

    // Network. A link delivers messages in order; when it is disconnected, its undelivered messages are lost. Link i connects entry
    // i / endpoints with endpoint i % endpoints.
    void deliver(std::size_t link, bool toEndpointSide);
    /// Delivers messages in both directions until none is left.
    void deliverAll(std::size_t link);
    void disconnect(std::size_t link);
    void reconnect(std::size_t link);

    // Processes.
    void killEntry(std::size_t entry);
    void killEndpoint(std::size_t endpoint);
    void freezeEntry(std::size_t entry, bool frozen);
    void requestEndpointLeave(std::size_t endpoint);
    /// Marks the endpoint as leaving in the platform's list. The endpoint process is not told.
    void listEndpointLeaving(std::size_t endpoint);
    void advance(duration time);

    // The platform's log.
    void setLogDown(bool down);
    /// Appends the entry's next record. With `loseAnswer` the entry does not learn of the success, so the record is appended again later.
    void appendPending(std::size_t entry, bool loseAnswer);
    void readLog(std::size_t entry);

    // Back ends.
    /// Runs the next operation. With `loseAnswer` it runs, but the endpoint process sees a failure.
    void runUpstream(std::size_t endpoint, bool loseAnswer);
    void emitToken(std::size_t endpoint);
    void failStream(std::size_t endpoint);

    /// Runs the system without failures for the given virtual time: all processes and the log are up, and all links are connected.
    void settle(duration time);

    /// Returns a description of the first violated guarantee, or nothing: operations run at most once, every caller gets at most one final
    /// answer, and answers are correct.
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
    std::vector<std::size_t> m_callerEntryIncarnations;
    std::map<std::string, int> m_runs;
    std::map<std::uint64_t, int> m_runsOfCaller;
    std::mt19937_64 m_random{1};
};

} // namespace wisteriashunt::testing

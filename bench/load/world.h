/// The cores of both roles with engine stand-ins on a virtual clock. Repeats exactly from its seed.
#pragma once

#include "endpoint/endpoint_core.h"
#include "load/workload.h"
#include "request/entry_core.h"
#include "standins/engine_model.h"

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace wisteriashunt::load
{

/// Settings of a world.
struct simulation_options
{
    int engines = 6;
    int entries = 2;
    duration networkDelay = std::chrono::microseconds(300);
    std::uint64_t seed = 1;
    /// Endpoints at which a request holds a reservation; 0 means all.
    std::size_t reservationSample = 0;
    bool useAffinity = true;
    /// 0 learns the limit; any other number fixes it.
    int fixedLimit = 0;
    /// Refuses nothing before its caller gives up.
    bool isSheddingOff = false;
    /// The baseline: random endpoint, first in first out, no shedding, a fixed limit.
    bool isBaseline = false;
    int baselineLimit = 64;
    standin::engine_model model;
    /// Prefixes that an engine's cache holds, and the share of a cached prompt that is still computed.
    std::size_t cachedPrefixes = 16;
    double recomputedShare = 0.1;
    configuration_state configuration;
};

/// How a request ended.
enum class request_outcome {
    open,
    completed,
    refused,
    aborted,
};

/// Everything measured of one request.
struct request_result
{
    arrival request;
    request_outcome outcome = request_outcome::open;
    time_point firstTokenAt;
    time_point endedAt;
    std::uint32_t tokens = 0;
    bool isSpliced = false;
    duration retryAfter{};
};

/// Counts over the whole run.
struct simulation_counts
{
    std::uint64_t tokensGenerated = 0;
    std::uint64_t messages = 0;
    std::uint64_t orderViolations = 0;
    std::uint64_t refusedBeforeLower = 0;
    std::uint64_t cacheHits = 0;
    std::uint64_t starts = 0;
    std::uint64_t resumes = 0;
    std::uint64_t floorStarts = 0;
};

/// Drives the cores. Not a model of a cluster: one hop delay, engines with token times, and faults on request.
class simulation
{
public:
    explicit simulation(const simulation_options &options);

    void submit(const std::vector<arrival> &arrivals);

    /// Calls the function at an offset from the start.
    void scheduleAt(duration offset, std::function<void()> action);

    /// Runs until the offset from the start.
    void run(duration until);

    void setSlowness(int engine, double slowness);

    /// Breaks off every answer that the engine is running; it accepts new work at once.
    void failRunningStreams(int engine);

    [[nodiscard]] const std::vector<request_result> &results() const;
    [[nodiscard]] const simulation_counts &counts() const;
    [[nodiscard]] int limitOf(int engine) const;

private:
    struct timed_action
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator>(const timed_action &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };
    struct stream
    {
        std::size_t resultIndex = 0;
        std::uint32_t nextToken = 0;
        std::uint64_t generation = 0;
    };
    struct engine
    {
        std::unique_ptr<endpoint_core> core;
        standin::engine_model model;
        std::map<attempt_id, stream> running;
        std::deque<std::uint64_t> cache;
        std::deque<std::size_t> baselineQueue;
    };

    void schedule(time_point when, std::function<void()> action);
    void connect();
    void tickAll();
    void handleArrival(std::size_t index);
    void deliverToEntry(std::size_t entry, const entry_event &event);
    void deliverToEndpoint(std::size_t engineIndex, const endpoint_event &event);
    void execute(std::size_t entry, std::vector<entry_action> actions);
    void execute(std::size_t engineIndex, std::vector<endpoint_action> actions);
    void startStream(std::size_t engineIndex, const start &request);
    void scheduleToken(std::size_t engineIndex, const attempt_id &id, duration wait);
    void emitToken(std::size_t engineIndex, const attempt_id &id, std::uint64_t generation);
    std::uint32_t uncachedTokens(engine &target, const arrival &request);
    void checkStart(std::size_t engineIndex, const decision &recorded);
    void checkRefusal(std::size_t index);
    void receive(std::size_t index, const std::string &token);
    void finish(std::size_t index, request_outcome outcome);
    std::size_t resultIndexOf(const request_id &id) const;
    std::uint64_t entryIncarnation(std::size_t entry) const;

    // The baseline takes the place of both cores.
    void handleBaselineArrival(std::size_t index);
    void startBaselineRequests(std::size_t engineIndex);

    simulation_options m_options;
    std::mt19937_64 m_random;
    time_point m_now = epoch;
    std::uint64_t m_order = 0;
    std::priority_queue<timed_action, std::vector<timed_action>, std::greater<>> m_actions;
    std::vector<std::unique_ptr<entry_core>> m_entries;
    std::vector<engine> m_engines;
    std::vector<request_result> m_results;
    std::set<std::size_t> m_waiting;
    simulation_counts m_counts;
    std::uint64_t m_generation = 0;
};

} // namespace wisteriashunt::load

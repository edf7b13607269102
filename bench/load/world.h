/// Simulation of entry and endpoint cores with model engines on a virtual clock. The same options, arrivals and seed give the same run.
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

/// Settings of a simulation.
struct simulation_options
{
    /// Number of engines, each with its own endpoint core.
    int engines = 6;
    /// Number of entry cores.
    int entries = 2;
    /// Time that a message between an entry and an endpoint takes.
    duration networkDelay = std::chrono::microseconds(300);
    std::uint64_t seed = 1;
    /// Number of endpoints at which a request holds a reservation; 0 means all.
    std::size_t reservationSample = 0;
    bool useAffinity = true;
    /// Concurrency limit of each endpoint. 0 lets the limiter adapt it.
    int fixedLimit = 0;
    /// Disables shedding, so that no request is refused before its caller gives up.
    bool isSheddingOff = false;
    /// Replaces the cores by the baseline: random endpoint, first-in first-out queue, no shedding, fixed limit of `baselineLimit`.
    bool isBaseline = false;
    int baselineLimit = 64;
    standin::engine_model model;
    /// Capacity of the prefix cache of an engine.
    std::size_t cachedPrefixes = 16;
    /// Share of the prompt tokens that the engine still computes on a hit of the prefix cache.
    double recomputedShare = 0.1;
    configuration_state configuration;
};

/// Outcome of a request.
enum class request_outcome {
    /// Has not ended.
    open,
    completed,
    /// The caller received an error instead of an answer.
    refused,
    /// The answer was broken off before its end.
    aborted,
};

/// Measurements of one request.
struct request_result
{
    arrival request;
    request_outcome outcome = request_outcome::open;
    time_point firstTokenAt;
    time_point endedAt;
    /// Tokens that the caller received.
    std::uint32_t tokens = 0;
    /// The caller received a token out of sequence.
    bool hasTokenOutOfSequence = false;
    /// Delay that a refusal asked for.
    duration retryAfter{};
};

/// Counts over the whole run, warm-up included.
struct simulation_counts
{
    std::uint64_t tokensGenerated = 0;
    /// Messages between entries and endpoints.
    std::uint64_t messages = 0;
    /// Starts, other than by floor credit, while a request of a higher tier waited that was allowed at the same endpoint.
    std::uint64_t orderViolations = 0;
    /// Refusals while lower-tier requests waited that should have been shed first.
    std::uint64_t refusedBeforeLower = 0;
    std::uint64_t cacheHits = 0;
    /// Attempts started at an engine, and how many of them continued an interrupted answer.
    std::uint64_t starts = 0;
    std::uint64_t resumes = 0;
    /// Starts ahead of a higher tier because the class had floor credit.
    std::uint64_t floorStarts = 0;
};

/// Runs the cores on a virtual clock. It models a constant message delay, the token times of engines and injected faults, nothing else of a
/// cluster.
class simulation
{
public:
    explicit simulation(const simulation_options &options);

    /// Schedules the arrivals and appends their results in the same order.
    void submit(const std::vector<arrival> &arrivals);

    /// Schedules a call at an offset from the start of the run.
    void scheduleAt(duration offset, std::function<void()> action);

    /// Runs all actions up to an offset from the start of the run.
    void run(duration until);

    /// Multiplies all times of the engine's model.
    void setSlowness(int engine, double slowness);

    /// Fails every running stream of the engine with a connection reset. The engine accepts new work at once.
    void failRunningStreams(int engine);

    [[nodiscard]] const std::vector<request_result> &results() const;
    [[nodiscard]] const simulation_counts &counts() const;
    /// Returns the current concurrency limit of the engine's endpoint.
    [[nodiscard]] int limitOf(int engine) const;

private:
    struct timed_action
    {
        time_point at;
        /// Order of scheduling; breaks ties.
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
        /// Tells this stream from an earlier one of the same attempt, whose scheduled tokens must not be emitted.
        std::uint64_t generation = 0;
    };
    struct engine
    {
        std::unique_ptr<endpoint_core> core;
        standin::engine_model model;
        std::map<attempt_id, stream> running;
        /// Hashes of cached prefixes, most recently used first.
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
    /// Returns the prompt tokens to compute, and updates the prefix cache.
    std::uint32_t uncachedTokens(engine &target, const arrival &request);
    /// Counts an order violation if a higher-tier request has been passed over by this start.
    void checkStart(std::size_t engineIndex, const decision &recorded);
    /// Counts the refusal if lower-tier requests should have been shed first.
    void checkRefusal(std::size_t index);
    void receive(std::size_t index, const std::string &token);
    void finish(std::size_t index, request_outcome outcome);
    std::size_t resultIndexOf(const request_id &id) const;
    std::uint64_t entryIncarnation(std::size_t entry) const;

    // The baseline replaces the entry and endpoint cores.
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
    /// Indices of requests that have arrived and are neither bound to an endpoint (baseline: started) nor ended.
    std::set<std::size_t> m_waiting;
    simulation_counts m_counts;
    std::uint64_t m_generation = 0;
};

} // namespace wisteriashunt::load

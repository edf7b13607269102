/// Thread that logs decisions, counts them and appends them as evidence, so that requests do not wait for this.
#pragma once

#include "evidence/evidence_chain.h"
#include "evidence/metrics.h"
#include "transport/bounded_ring.h"
#include "wisteriashunt/platform.h"

#include <atomic>
#include <memory>
#include <thread>

namespace wisteriashunt
{

/// Settings of a decision_recorder.
struct recorder_options
{
    std::string instance;
    std::uint64_t incarnation = 0;
    /// Interval between appends. Decisions that have not been appended are lost if the process is killed.
    duration appendInterval = std::chrono::milliseconds(500);
    /// Largest number of decisions per append.
    std::size_t maxBatchSize = 2000;
    /// Decisions that are kept while the log is down. Beyond this number the oldest are dropped and counted.
    std::size_t maxBacklog = 50000;
    std::size_t ringCapacity = 65536;
};

/// Records the decisions of one process. `record` may be called from any thread.
class decision_recorder
{
public:
    decision_recorder(const recorder_options &options, std::unique_ptr<log_service> log, metrics &counters, const clock_source &clock);
    ~decision_recorder();
    decision_recorder(const decision_recorder &) = delete;
    decision_recorder &operator=(const decision_recorder &) = delete;

    /// Queues a decision. Blocks while the ring is full.
    void record(const decision &value);

    /// Stops the thread. Starts no append of the remaining decisions after `timeout`.
    void stop(duration timeout);

private:
    void run();
    /// Logs and counts the queued decisions and moves the evidence to the backlog. Returns true if there were any.
    bool takeDecisions(duration wait);
    void appendBatch();
    void dropOldest();

    recorder_options m_options;
    std::unique_ptr<log_service> m_log;
    metrics &m_metrics;
    const clock_source &m_clock;
    evidence_chain m_chain;
    bounded_ring<decision> m_ring;
    std::vector<decision> m_backlog;
    /// A sealed batch whose append has not been confirmed. It is appended again unchanged.
    std::string m_sealedBatch;
    time_point m_lastAppend{};
    std::atomic<bool> m_isStopping{false};
    std::atomic<std::int64_t> m_stopDeadline{0};
    std::thread m_thread;
};

} // namespace wisteriashunt

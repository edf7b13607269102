/// Thread that logs decisions, counts them and appends them as evidence, off the path of the requests.
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
    /// Longest time that a decision stays only in this process; what a kill can lose.
    duration appendInterval = std::chrono::milliseconds(500);
    std::size_t maxBatchSize = 2000;
    /// Decisions that are kept while the log is down; older ones are dropped and counted.
    std::size_t maxBacklog = 50000;
    std::size_t ringCapacity = 65536;
};

/// Takes decisions from the core thread.
class decision_recorder
{
public:
    decision_recorder(const recorder_options &options, std::unique_ptr<log_service> log, metrics &counters, const clock_source &clock);
    ~decision_recorder();
    decision_recorder(const decision_recorder &) = delete;
    decision_recorder &operator=(const decision_recorder &) = delete;

    void record(const decision &value);

    /// Appends what is left, for at most the time given, and ends the thread.
    void stop(duration timeout);

private:
    void run();
    /// Returns true if there were any.
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
    /// A sealed batch whose append has not been confirmed; it is written again as it is.
    std::string m_sealedBatch;
    time_point m_lastAppend{};
    std::atomic<bool> m_isStopping{false};
    std::atomic<std::int64_t> m_stopDeadline{0};
    std::thread m_thread;
};

} // namespace wisteriashunt

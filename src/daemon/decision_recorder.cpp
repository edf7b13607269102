#include "daemon/decision_recorder.h"

#include "wisteriashunt/errors.h"

#include <easylogging++.h>

namespace wisteriashunt
{

namespace
{

constexpr duration popTimeout = std::chrono::milliseconds(100);
/// Decisions are collected for this long, so that the thread does not wake for each request.
constexpr duration coalesceInterval = std::chrono::milliseconds(20);

} // namespace

decision_recorder::decision_recorder(const recorder_options &options, std::unique_ptr<log_service> log, metrics &counters, const clock_source &clock)
    : m_options(options)
    , m_log(std::move(log))
    , m_metrics(counters)
    , m_clock(clock)
    , m_chain(options.instance, options.incarnation)
    , m_ring(options.ringCapacity)
    , m_thread([this] { run(); })
{
}

decision_recorder::~decision_recorder()
{
    stop(duration::zero());
}

void decision_recorder::record(const decision &value)
{
    m_ring.push(value);
}

void decision_recorder::stop(duration timeout)
{
    m_stopDeadline = (m_clock.now() + timeout).time_since_epoch().count();
    m_isStopping = true;
    m_ring.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void decision_recorder::run()
{
    while (!m_isStopping) {
        if (takeDecisions(popTimeout)) {
            std::this_thread::sleep_for(coalesceInterval);
        }
        if (m_clock.now() - m_lastAppend >= m_options.appendInterval) {
            appendBatch();
        }
    }
    takeDecisions(duration::zero());
    while ((!m_backlog.empty() || !m_sealedBatch.empty()) && m_clock.now().time_since_epoch().count() < m_stopDeadline) {
        appendBatch();
    }
}

bool decision_recorder::takeDecisions(duration wait)
{
    const auto taken = m_ring.popAll(wait);
    for (const auto &value : taken) {
        LOG(INFO) << toLogLine(value);
        m_metrics.observe(value);
        if (isEvidence(value.event)) {
            m_backlog.push_back(value);
        }
    }
    dropOldest();
    return !taken.empty();
}

void decision_recorder::dropOldest()
{
    if (m_backlog.size() <= m_options.maxBacklog) {
        return;
    }
    const auto excess = m_backlog.size() - m_options.maxBacklog;
    m_backlog.erase(m_backlog.begin(), m_backlog.begin() + static_cast<std::ptrdiff_t>(excess));
    m_chain.countLost(excess);
}

void decision_recorder::appendBatch()
{
    m_lastAppend = m_clock.now();
    if (m_sealedBatch.empty()) {
        if (m_backlog.empty()) {
            return;
        }
        const auto count = static_cast<std::ptrdiff_t>(std::min(m_backlog.size(), m_options.maxBatchSize));
        m_sealedBatch = m_chain.seal({m_backlog.begin(), m_backlog.begin() + count});
        m_backlog.erase(m_backlog.begin(), m_backlog.begin() + count);
    }
    try {
        m_log->append(evidenceStream, {m_sealedBatch});
        m_sealedBatch.clear();
    } catch (const shunt_error &) {
        // The same batch is appended again later. The audit recognises a batch that was written twice.
    }
}

} // namespace wisteriashunt

/// State that all request sessions of an entry share.
#pragma once

#include "dispatch/hedge_policy.h"
#include "dispatch/memory_guard.h"
#include "dispatch/placement.h"
#include "dispatch/request_quarantine.h"
#include "dispatch/retry_allowance.h"
#include "dispatch/stream_versions.h"
#include "dispatch/waiting_line.h"
#include "evidence/metrics.h"
#include "gateway/endpoint_crash_watch.h"
#include "gateway/endpoint_pool.h"
#include "gateway/event_log.h"
#include "gateway/wire_dialect.h"
#include "membership/endpoint_roster.h"
#include "net/event_loop.h"
#include "net/memory_ledger.h"
#include "routing/route_table.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace wisteriashunt
{

/// Retry delay of every refusal that takes none from placement_planner or placement_options. Some of these have the error kind `overloaded`:
/// when no attempts, retries or time are left, and when the request can no longer wait behind queued ones.
inline constexpr std::chrono::milliseconds defaultRetryAfter{300};

/// Logs a change of the limit that an endpoint declares, with what it was learnt from.
inline void logRateLimitChange(event_log &log, const rate_limit_change &change, const log_field &source)
{
    const auto text = [](const std::optional<double> &limit) { return limit ? std::to_string(*limit) : "none"; };
    log.write(
        event_number::rate_limit_changed,
        {{"endpoint", change.endpointId}, {"before", text(change.before)}, {"after", text(change.after)}, {"known_for_ms", milliseconds(change.age)}, source});
}

/// Shared state of an entry. Not thread-safe: used from the event loop's thread only.
struct gateway_context
{
    event_loop &loop;
    const wire_dialect &dialect;
    event_log &log;
    endpoint_roster &roster;
    placement_planner &planner;
    stream_versions &streams;
    request_quarantine &quarantine;
    endpoint_pool &pool;
    endpoint_crash_watch &crashes;
    metrics &counters;
    retry_allowance_options retryOptions;
    hedge_policy hedging;
    /// Routes of the declarations in force; nullptr until the first are read.
    std::shared_ptr<const route_table> table;
    std::unordered_map<std::string, retry_allowance> allowances;
    /// Endpoints of which an unusable statement was logged, and when.
    std::map<std::string, time_point> unusableLimitReports;
    std::map<std::string, time_point> oddNoticeReports;
    /// Why requests of which services were not hedged, and when it was logged.
    std::map<std::string, time_point> noHedgeReports;
    admission_queue queue;
    /// Called when a stream is cut that its caller may take up at another entry at once.
    std::function<void()> onStreamCut = [] {};
    /// Frees memory. To be called when buffers are over their limit.
    std::function<void()> onMemoryOver = [] {};
    /// Called when an endpoint has said that it leaves.
    std::function<void()> onEndpointLeaving = [] {};
    /// Called when the quarantine of prompts may have changed.
    std::function<void()> onQuarantineChange = [] {};
    /// Reads the list of endpoints in a reading that begins after the call, and reports whether that succeeded.
    std::function<void(std::function<void(bool isRead)> onRead)> readList = [](const std::function<void(bool)> &onRead) { onRead(false); };
    /// Called when an endpoint has begun to run a request of the workspace.
    std::function<void(const std::string &workspace)> onRunBegun = [](const std::string &) {};
    bool isQueueRunScheduled = false;
    timer_id queueTimer = 0;
    /// Counts all messages of callers, and among them whole requests with the answers that are collected for them.
    std::shared_ptr<memory_ledger> buffers = std::make_shared<memory_ledger>();
    std::shared_ptr<memory_ledger> running = std::make_shared<memory_ledger>();
    /// Bytes of answers that callers have not read, as of the last look, and what follows from it; see watchMemory().
    memory_options memory;
    std::size_t unreadBytes = 0;
    /// Most bytes of buffers since pages were last given back.
    std::size_t mostBufferBytes = 0;
    /// When buffers were last over their limit and nothing could be given up.
    std::optional<time_point> nothingToFreeAt;
    bool isMemoryShort = false;
    /// Most bytes of one answer that is no stream, and of one event.
    std::size_t maxAnswerBytes = 16 * 1024 * 1024;
    std::size_t maxEventBytes = 1024 * 1024;
    /// Number of sessions that exist.
    std::size_t openSessions = 0;
    /// True once gateway_settings::acceptWhileLeaving has passed after SIGTERM. New requests are refused, because too little of the grace
    /// period is left to serve them.
    bool refusesNewRequests = false;
    /// True from SIGTERM on.
    bool isLeaving = false;
    /// When the connections of callers are closed, from SIGTERM on.
    std::optional<time_point> stopsAt;

    /// What messages take, for the decisions of dispatch/memory_guard.h.
    [[nodiscard]] memory_use memoryUse() const
    {
        return {.taken = buffers->bytes(), .limit = buffers->limitBytes(), .running = running->bytes(), .runningLimit = running->limitBytes()};
    }

    /// Called when an endpoint may have free capacity. Tries the queued requests once at the end of this iteration of the loop.
    void onCapacityFreed()
    {
        if (isQueueRunScheduled || queue.size() == 0) {
            return;
        }
        isQueueRunScheduled = true;
        queueTimer = loop.schedule(loop.now(), [this] {
            isQueueRunScheduled = false;
            queue.admitWaitingOfAllServices();
        });
    }

    /// Returns whether an unusable statement of the endpoint is to be logged. Bounds the lines that endpoints with such statements cause.
    [[nodiscard]] bool takeReport(std::map<std::string, time_point> &reports, const std::string &endpointId) const
    {
        constexpr std::chrono::seconds period{10};
        const auto now = loop.now();
        std::erase_if(reports, [&](const auto &report) { return now - report.second >= period; });
        return reports.try_emplace(endpointId, now).second;
    }

    [[nodiscard]] retry_allowance &allowanceOf(const std::string &service)
    {
        return allowances.try_emplace(service, retryOptions).first->second;
    }
};

} // namespace wisteriashunt

/// What all request sessions of an entry share.
#pragma once

#include "dispatch/placement.h"
#include "dispatch/retry_allowance.h"
#include "dispatch/waiting_line.h"
#include "evidence/metrics.h"
#include "gateway/endpoint_pool.h"
#include "gateway/event_log.h"
#include "gateway/wire_dialect.h"
#include "membership/endpoint_roster.h"
#include "net/event_loop.h"
#include "routing/route_table.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace wisteriashunt
{

/// When to come back after a refusal that says nothing about load.
inline constexpr std::chrono::milliseconds shortRetry{300};

/// Shared state of an entry. Members are used from the event loop's thread only.
struct gateway_context
{
    event_loop &loop;
    const wire_dialect &dialect;
    event_log &log;
    endpoint_roster &roster;
    placement_planner &planner;
    endpoint_pool &pool;
    metrics &counters;
    retry_allowance_options retryOptions;
    /// The declarations in force; nullptr before any are known.
    std::shared_ptr<const route_table> table;
    std::unordered_map<std::string, retry_allowance> allowances;
    admission_queue line;
    bool isLineScheduled = false;
    timer_id lineTimer = 0;
    /// Bytes of the bodies of open requests, and how many there may be.
    std::size_t bodyBytes = 0;
    std::size_t maxBodyBytes = 0;
    /// Sessions that are not finished.
    std::size_t openSessions = 0;
    /// New requests are refused: too little of the grace period is left to serve them.
    bool isClosing = false;

    /// Work has ended somewhere: requests in line are tried at the end of this wake-up.
    void noteRoom()
    {
        if (isLineScheduled || line.size() == 0) {
            return;
        }
        isLineScheduled = true;
        lineTimer = loop.schedule(loop.now(), [this] {
            isLineScheduled = false;
            line.admitWaitingOfAllServices();
        });
    }

    [[nodiscard]] retry_allowance &allowanceOf(const std::string &service)
    {
        return allowances.try_emplace(service, retryOptions).first->second;
    }
};

} // namespace wisteriashunt

/// Tells crashes of endpoints from connections that only broke.
#pragma once

#include "dispatch/request_quarantine.h"
#include "gateway/endpoint_pool.h"
#include "gateway/event_log.h"
#include "net/event_loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// An attempt that broke before its answer had begun, or just after.
struct unbegun_attempt
{
    std::string attemptId;
    trait_set traits;

    bool operator==(const unbegun_attempt &) const = default;
};

/// A crash and the attempts of this entry that may have caused it.
struct endpoint_crash
{
    endpoint_pointer endpoint;
    /// When the first of the attempts broke.
    time_point at;
    std::vector<unbegun_attempt> attempts;
};

/// Lists the numbers in hexadecimal, separated by commas; the first ones if there are many. Returns "-" if there are none.
[[nodiscard]] std::string hexadecimalList(const std::set<std::uint64_t> &ids);

/// Settings of an endpoint_crash_watch.
struct crash_watch_options
{
    /// Time between two looks at the connection that is opened to an endpoint whose connections broke.
    duration checkPeriod = std::chrono::milliseconds(25);
    /// Time for which that connection has to stay open. A process that ends may still accept connections.
    duration aliveAfter = std::chrono::milliseconds(50);
    /// Time after which an endpoint that accepts no connection has crashed.
    duration crashedAfter = std::chrono::milliseconds(200);
    channel_options channel;
    /// Most attempts that are kept for one crash.
    std::size_t maxAttempts = 64;
};

/// Opens one connection to each endpoint that broke an attempt before answering it. The endpoint has crashed if it does not accept it.
class endpoint_crash_watch
{
public:
    using crash_hook = std::function<void(const endpoint_crash &)>;

    endpoint_crash_watch(event_loop &loop, event_log &log, endpoint_pool &pool, const crash_watch_options &options, crash_hook onCrash);

    /// Called with each unbegun attempt whose connection the endpoint closed or reset. Ignored for endpoints that leave.
    void onBroken(const endpoint_pointer &endpoint, unbegun_attempt attempt);

private:
    struct suspected_crash
    {
        endpoint_crash crash;
        std::shared_ptr<upstream_connection> connection;
    };

    void check(const listed_endpoint *endpoint);

    event_loop &m_loop;
    event_log &m_log;
    endpoint_pool &m_pool;
    crash_watch_options m_options;
    crash_hook m_onCrash;
    std::map<const listed_endpoint *, suspected_crash> m_suspected;
};

} // namespace wisteriashunt

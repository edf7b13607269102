/// A pool of idle keep-alive connections to endpoints.
#pragma once

#include "http/upstream_connection.h"
#include "membership/endpoint_roster.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace wisteriashunt
{

/// Options of new connections, and when idle ones are closed.
struct pool_options
{
    channel_options channel;
    /// An idle connection is closed this long before the endpoint's announced idle timeout, so that no request is sent while the endpoint
    /// closes it.
    duration idleMargin = std::chrono::milliseconds(700);
    /// Idle time after which a connection is closed if the endpoint announced no timeout.
    duration idleLimit = std::chrono::seconds(8);
};

/// Pools connections by endpoint incarnation. Reuses the most recently used one, so that surplus connections reach their idle limit.
class endpoint_pool
{
public:
    endpoint_pool(event_loop &loop, const pool_options &options);

    /// Returns an idle connection to the endpoint, or opens a new one. Connections on which the endpoint has refused the request before are left
    /// out; see upstream_connection::noteRefused().
    [[nodiscard]] std::shared_ptr<upstream_connection> acquire(const endpoint_pointer &endpoint, std::uint64_t requestKey);

    /// Returns a connection to the pool after its exchange. Closes it if it is not idle or the endpoint is gone.
    void release(const endpoint_pointer &endpoint, std::shared_ptr<upstream_connection> connection);

    /// Closes the idle connections to the endpoint.
    void closeIdle(const endpoint_pointer &endpoint);

    /// Closes connections that have reached their idle limit.
    void closeExpired();

    /// Number of connections opened since the start.
    [[nodiscard]] std::uint64_t openedConnections() const;

private:
    [[nodiscard]] bool isExpired(const upstream_connection &connection) const;

    event_loop &m_loop;
    pool_options m_options;
    std::unordered_map<const listed_endpoint *, std::vector<std::shared_ptr<upstream_connection>>> m_idle;
    std::uint64_t m_openedConnections = 0;
};

} // namespace wisteriashunt

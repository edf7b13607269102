/// Kept connections to endpoints.
#pragma once

#include "http/upstream_connection.h"
#include "membership/endpoint_roster.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace wisteriashunt
{

/// When connections are made, kept and dropped.
struct pool_options
{
    channel_options channel;
    /// A kept connection is dropped this long before the endpoint's announced idle timeout, so that no request meets its close.
    duration idleMargin = std::chrono::milliseconds(700);
    /// Idle time after which a connection is dropped where the endpoint announced no timeout.
    duration idleLimit = std::chrono::seconds(8);
};

/// Pools connections by endpoint incarnation. Reuses the one that was used last, so that the others can age out.
class endpoint_pool
{
public:
    endpoint_pool(event_loop &loop, const pool_options &options);

    /// An idle connection to the endpoint, or a new one.
    [[nodiscard]] std::shared_ptr<upstream_connection> acquire(const endpoint_pointer &endpoint);

    /// Takes a connection back after its exchange.
    void release(const endpoint_pointer &endpoint, std::shared_ptr<upstream_connection> connection);

    /// Drops the idle connections to the endpoint.
    void closeIdle(const endpoint_pointer &endpoint);

    /// Drops idle connections that have aged.
    void closeExpired();

    /// Connections made since the start.
    [[nodiscard]] std::uint64_t openedConnections() const;

private:
    [[nodiscard]] bool isExpired(const upstream_connection &connection) const;

    event_loop &m_loop;
    pool_options m_options;
    std::unordered_map<const listed_endpoint *, std::vector<std::shared_ptr<upstream_connection>>> m_idle;
    std::uint64_t m_openedConnections = 0;
};

} // namespace wisteriashunt

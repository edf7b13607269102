#include "gateway/endpoint_pool.h"

namespace wisteriashunt
{

endpoint_pool::endpoint_pool(event_loop &loop, const pool_options &options)
    : m_loop(loop)
    , m_options(options)
{
}

bool endpoint_pool::isExpired(const upstream_connection &connection) const
{
    const auto idle = m_loop.now() - connection.idleSince();
    const auto announced = connection.idleTimeout();
    return idle > (announced > duration{} ? announced - m_options.idleMargin : m_options.idleLimit);
}

std::shared_ptr<upstream_connection> endpoint_pool::acquire(const endpoint_pointer &endpoint, std::uint64_t requestKey)
{
    auto &idle = m_idle[endpoint.get()];
    for (auto at = idle.size(); at-- > 0;) {
        const auto connection = idle[at];
        const bool isUsable = connection->isIdle() && !isExpired(*connection);
        if (isUsable && connection->hasRefused(requestKey)) {
            continue;
        }
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(at));
        if (isUsable) {
            return connection;
        }
        connection->close();
    }
    ++m_openedConnections;
    return upstream_connection::open(m_loop, endpoint->record.address, m_options.channel);
}

void endpoint_pool::release(const endpoint_pointer &endpoint, std::shared_ptr<upstream_connection> connection)
{
    if (!connection->isIdle() || endpoint->isRemoved) {
        connection->close();
        return;
    }
    m_idle[endpoint.get()].push_back(std::move(connection));
}

void endpoint_pool::closeIdle(const endpoint_pointer &endpoint)
{
    const auto idle = m_idle.extract(endpoint.get());
    if (!idle.empty()) {
        for (const auto &connection : idle.mapped()) {
            connection->close();
        }
    }
}

void endpoint_pool::closeExpired()
{
    for (auto &[endpoint, idle] : m_idle) {
        std::erase_if(idle, [this](const auto &connection) {
            const bool isDropped = !connection->isIdle() || isExpired(*connection);
            if (isDropped) {
                connection->close();
            }
            return isDropped;
        });
    }
}

std::uint64_t endpoint_pool::openedConnections() const
{
    return m_openedConnections;
}

} // namespace wisteriashunt

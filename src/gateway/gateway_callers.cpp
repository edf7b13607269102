// Connections of callers of an entry.
#include "gateway/gateway.h"

#include <unistd.h>

namespace wisteriashunt
{

namespace
{

/// Descriptors reserved for connections to endpoints, the log and peers, and for files.
constexpr std::size_t reservedDescriptors = 1200;

/// Most connections to the ports of readiness and metrics, which a balancer and a few tools use, and the bounds of requests there.
constexpr std::size_t maxReadinessCallers = 64;
constexpr request_bounds readinessBounds{.headBytes = 16 * 1024, .bodyBytes = 64 * 1024};

/// Share of the memory that full receive buffers of callers may take. Connections beyond it get the least size.
constexpr std::size_t receiveMemoryDivisor = 8;
constexpr int leastReceiveBufferBytes = 4 * 1024;

constexpr std::chrono::seconds refusalLogPeriod{1};

std::size_t maxCallers(std::size_t maxDescriptors)
{
    return maxDescriptors > 2 * reservedDescriptors ? maxDescriptors - reservedDescriptors : maxDescriptors / 2;
}

/// Number of connections that get a full receive buffer.
std::size_t fullReceiveBuffers(std::size_t maxMemoryBytes)
{
    return maxMemoryBytes / receiveMemoryDivisor / callerReceiveBufferBytes;
}

} // namespace

void gateway::onCallerDisconnected(caller_connection &caller)
{
    const auto position = m_sessions.find(&caller);
    if (position == m_sessions.end()) {
        return;
    }
    const auto session = position->second.lock();
    m_sessions.erase(position);
    if (session != nullptr) {
        session->onCallerDisconnected();
    }
}

caller_options gateway::callerOptions()
{
    const auto limits = m_context.table == nullptr ? caller_limits{} : m_context.table->declarations().limits;
    return {.bounds = {.headBytes = limits.maxHeadBytes, .bodyBytes = limits.maxBodyBytes},
            .headTimeout = limits.headTimeout,
            .idleTimeout = limits.idleTimeout,
            .ledger = m_context.buffers,
            .lingers = m_lingers,
            .receiveBufferBytes = m_callers.all().size() < fullReceiveBuffers(m_options.settings.maxMemoryBytes) ? 0 : leastReceiveBufferBytes};
}

void gateway::onCaller(int descriptor)
{
    if (!makeRoom(m_callers, maxCallers(m_options.settings.maxDescriptors))) {
        refuseConnection(descriptor);
        return;
    }
    m_callers.add(caller_connection::adopt(m_loop, descriptor, callerOptions(), m_callerHooks));
}

void gateway::onReadinessCaller(int descriptor)
{
    if (!makeRoom(m_readinessCallers, maxReadinessCallers)) {
        refuseConnection(descriptor);
        return;
    }
    m_readinessCallers.add(caller_connection::adopt(m_loop, descriptor, {.bounds = readinessBounds, .lingers = m_lingers}, m_readinessHooks));
}

bool gateway::makeRoom(caller_set &callers, std::size_t most)
{
    if (callers.all().size() < most) {
        return true;
    }
    if (const auto chosen = callers.nextToClose()) {
        m_counters.countLabelled("connections_closed_total", "reason", "limit", chosen->isIdle() ? "idle" : "incoming");
        chosen->closeNow();
        return true;
    }
    return false;
}

void gateway::refuseConnection(int descriptor)
{
    ::close(descriptor);
    m_counters.countLabelled("connections_closed_total", "reason", "limit", "new");
    if (m_loop.now() - m_connectionsRefusedAt < refusalLogPeriod) {
        return;
    }
    m_connectionsRefusedAt = m_loop.now();
    m_log.write(event_number::connections_refused,
                {{"callers", std::to_string(m_callers.all().size())}, {"readiness_callers", std::to_string(m_readinessCallers.all().size())}});
}

void gateway::closeStaleCallers(const caller_set &callers, duration headTimeout, duration idleTimeout)
{
    std::vector<std::shared_ptr<caller_connection>> idle;
    std::vector<std::shared_ptr<caller_connection>> late;
    for (const auto &[address, caller] : callers.all()) {
        const auto quiet = m_loop.now() - caller->lastActivity();
        if (caller->isIdle()) {
            if (quiet > idleTimeout) {
                idle.push_back(caller);
            }
        } else if (caller->hasPartialRequest()) {
            const bool isHeadLate = caller->partialRequest() == nullptr && m_loop.now() - caller->requestSince() > headTimeout;
            if (isHeadLate || quiet > idleTimeout) {
                late.push_back(caller);
            }
        }
    }
    for (const auto &caller : idle) {
        caller->closeWhenIdle();
    }
    for (const auto &caller : late) {
        constexpr int requestTimeout = 408;
        std::string head;
        appendResponseHead(head, requestTimeout, reasonPhrase(requestTimeout), {});
        m_counters.countLabelled("requests_total", "class", "-", "incoming_timed_out");
        caller->refusePartialRequest(std::move(head), {});
    }
}

} // namespace wisteriashunt

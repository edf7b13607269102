// Connections of callers of an entry, and the requests that an entry answers itself.
#include "gateway/explain_operation.h"
#include "gateway/gateway.h"
#include "gateway/quarantine_operations.h"
#include "wisteriashunt/errors.h"

namespace wisteriashunt
{

namespace
{

/// Path of the metrics, which are served in the Prometheus text format.
constexpr std::string_view metricsPath = "/metrics";

/// Size of the kernel's receive buffers of callers.
constexpr int callerReceiveBufferBytes = 16 * 1024;

/// Bounds of requests to the ports of readiness and metrics.
constexpr request_bounds readinessBounds{.headBytes = 16 * 1024, .bodyBytes = 64 * 1024};

/// Share of the memory that full receive buffers of callers may take. Connections beyond it get the least size.
constexpr std::size_t receiveMemoryDivisor = 8;
constexpr int leastReceiveBufferBytes = 4 * 1024;

/// Number of connections that get a full receive buffer.
std::size_t fullReceiveBuffers(std::size_t maxMemoryBytes)
{
    return maxMemoryBytes / receiveMemoryDivisor / callerReceiveBufferBytes;
}

void answerWithoutBody(caller_connection &caller, int status)
{
    std::string head;
    appendResponseHead(head, status, reasonPhrase(status), {});
    caller.answer(std::move(head), {});
}

} // namespace

void gateway::listen()
{
    const auto acceptProbe = [this](int descriptor) { onReadinessCaller(descriptor); };
    const listener_options buffers{.receiveBufferBytes = callerReceiveBufferBytes};
    m_callerListener = std::make_unique<channel_listener>(
        m_loop, m_options.settings.callerAddress, [this](int descriptor) { onCaller(descriptor); }, buffers);
    m_readinessListener = std::make_unique<channel_listener>(m_loop, m_options.settings.readinessAddress, acceptProbe, buffers);
    if (!m_options.settings.metricsAddress) {
        return;
    }
    try {
        m_metricsListener = std::make_unique<channel_listener>(m_loop, *m_options.settings.metricsAddress, acceptProbe, buffers);
    } catch (const shunt_error &error) {
        // An entry without metrics still serves callers.
        m_log.write(event_number::settings_fault, {{"reason", error.what()}});
    }
}

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
    if (m_callerLimit.admit(m_callers, descriptor)) {
        m_callers.add(caller_connection::adopt(m_loop, descriptor, callerOptions(), m_callerHooks));
    }
}

void gateway::onReadinessCaller(int descriptor)
{
    if (m_readinessLimit.admit(m_readinessCallers, descriptor)) {
        m_readinessCallers.add(caller_connection::adopt(m_loop, descriptor, {.bounds = readinessBounds, .lingers = m_lingers}, m_readinessHooks));
    }
}

void gateway::onClosedForLimit(std::string_view closed)
{
    constexpr std::chrono::seconds logPeriod{1};
    m_counters.countLabelled("connections_closed_total", "reason", "limit", std::string(closed));
    if (closed != "new" || m_loop.now() - m_connectionsRefusedAt < logPeriod) {
        return;
    }
    m_connectionsRefusedAt = m_loop.now();
    m_log.write(event_number::connections_refused,
                {{"callers", std::to_string(m_callers.all().size())}, {"readiness_callers", std::to_string(m_readinessCallers.all().size())}});
}

void gateway::onRequest(const std::shared_ptr<caller_connection> &caller, received_request &&request)
{
    if (m_leavingSince) {
        caller->closeWhenIdle();
    }
    const auto session = std::make_shared<request_session>(m_context, caller, std::move(request));
    m_sessions[caller.get()] = session;
    session->start();
}

void gateway::onReadinessRequest(const std::shared_ptr<caller_connection> &caller, const received_request &request)
{
    constexpr int ok = 200;
    constexpr int unavailable = 503;
    constexpr int notFound = 404;
    if (request.target == metricsPath) {
        std::string head;
        appendResponseHead(head, ok, reasonPhrase(ok), {{"Content-Type", "text/plain; version=0.0.4"}});
        caller->answer(std::move(head), m_counters.render());
        return;
    }
    if (const auto answer = answerQuarantineOperation(request, m_quarantine, m_loop.now())) {
        announceQuarantineChange();
        std::string head;
        appendResponseHead(head, answer->status, reasonPhrase(answer->status), {{"Content-Type", "text/plain"}});
        caller->answer(std::move(head), answer->text);
        return;
    }
    if (const auto answer = answerExplainOperation(request, m_context)) {
        std::string head;
        appendResponseHead(head, answer->status, reasonPhrase(answer->status), {{"Content-Type", answer->status == ok ? "application/json" : "text/plain"}});
        caller->answer(std::move(head), answer->text);
        return;
    }
    answerWithoutBody(*caller, request.target != m_options.dialect.readinessPath ? notFound : isReady() ? ok : unavailable);
}

void gateway::onFault(const std::shared_ptr<caller_connection> &caller, read_fault fault)
{
    constexpr int badRequest = 400;
    constexpr int headTooLarge = 431;
    constexpr int bodyTooLarge = 413;
    m_log.write(event_number::request_refused, {{"request", "-"}, {"reason", "malformed_request"}});
    answerWithoutBody(*caller, fault == read_fault::head_too_large ? headTooLarge : fault == read_fault::body_too_large ? bodyTooLarge : badRequest);
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
        m_counters.countLabelled("requests_total", "class", "-", "partial_timed_out");
        caller->refusePartialRequest(std::move(head), {});
    }
}

} // namespace wisteriashunt

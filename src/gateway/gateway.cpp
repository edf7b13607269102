#include "gateway/gateway.h"

#include "wisteriashunt/errors.h"

#include <algorithm>
#include <unistd.h>

namespace wisteriashunt
{

namespace
{

/// Descriptors that are kept for endpoints, the log, the peers and files.
constexpr std::size_t reservedDescriptors = 1200;

/// Pause between two looks at idle connections and at what is due.
constexpr std::chrono::milliseconds tickPeriod{100};

/// Time kept before the end of the grace period to close what is left.
constexpr std::chrono::milliseconds leaveMargin{400};

/// Parts of the time within which a leaving endpoint must get no more work: the pause between two reads of the list, and the time after
/// which a read has failed. One pause, one failed read and one more read stay inside that time.
constexpr double readShareOfLeaving = 0.35;
constexpr double timeoutShareOfLeaving = 0.4;

/// Part of the time to convergence for which the log holds a call for new declarations. The log may not wake the call when there are new
/// ones (it does not when it drops its history), so calls must end and be made again in time.
constexpr double waitShareOfConvergence = 0.65;

/// Where metrics are served, in the text format that collectors read.
constexpr std::string_view metricsPath = "/metrics";

/// Part of the instance's memory that bodies of open requests may take; answers and buffers need about as much again.
constexpr std::size_t partOfMemoryForBodies = 4;

caller_options callerOptions(const caller_limits &limits)
{
    return {
        .bounds = {.headBytes = limits.maxHeadBytes, .bodyBytes = limits.maxBodyBytes}, .headTimeout = limits.headTimeout, .idleTimeout = limits.idleTimeout};
}

void answerPlain(caller_connection &caller, int status)
{
    std::string head;
    appendResponseHead(head, status, reasonPhrase(status), {});
    caller.answer(std::move(head), {});
}

} // namespace

gateway::gateway(gateway_options options, const clock_source &clock)
    : m_options(std::move(options))
    , m_loop(clock)
    , m_log(m_loop, {})
    , m_planner(m_roster, m_options.settings.availabilityZone, {})
    , m_pool(m_loop, {.channel = {.silence = std::chrono::milliseconds(1000), .connectTimeout = std::chrono::milliseconds(200)}})
    , m_context{.loop = m_loop,
                .dialect = m_options.dialect,
                .log = m_log,
                .roster = m_roster,
                .planner = m_planner,
                .pool = m_pool,
                .counters = m_counters,
                .retryOptions = m_options.settings.retries,
                .maxBodyBytes = m_options.settings.maxMemoryBytes / partOfMemoryForBodies}
    , m_declarations(m_loop,
                     m_log,
                     m_options.logDialect,
                     {.topic = m_options.decoders.declarationsTopic,
                      .log = m_options.settings.log,
                      .wait = fromSeconds(waitShareOfConvergence * toSeconds(m_options.settings.convergence))},
                     {.onRecord = [this](const keyed_record &record, record_timing) { onDeclarations(record); }})
    , m_endpoints(m_loop,
                  m_log,
                  m_options.logDialect,
                  {.topic = m_options.decoders.endpointsTopic,
                   .log = m_options.settings.log,
                   .period = fromSeconds(readShareOfLeaving * toSeconds(m_options.settings.leavingBound)),
                   .timeout = fromSeconds(timeoutShareOfLeaving * toSeconds(m_options.settings.leavingBound)),
                   .longestBackoff = endpointsLongestBackoff},
                  {.onRecord = [this](const keyed_record &record, record_timing timing) { onEndpointRecord(record, timing); }})
    , m_callerHooks(std::make_shared<caller_hooks>(
          caller_hooks{.onRequest = [this](const auto &caller, received_request &&request) { onRequest(caller, std::move(request)); },
                       .onGone = [this](caller_connection &caller) { onGone(caller); },
                       .onEnd =
                           [this](caller_connection &caller) {
                               m_sessions.erase(&caller);
                               m_callers.release(m_loop, caller);
                           },
                       .onFault = [this](const auto &caller, read_fault fault) { onFault(caller, fault); }}))
    , m_readinessHooks(std::make_shared<caller_hooks>(
          caller_hooks{.onRequest = [this](const auto &caller, received_request &&request) { onReadinessRequest(caller, request); },
                       .onGone = [](caller_connection &) {},
                       .onEnd = [this](caller_connection &caller) { m_readinessCallers.release(m_loop, caller); },
                       .onFault = [this](const auto &caller, read_fault fault) { onFault(caller, fault); }}))
{
    m_roster.onUnavailable = [this](const endpoint_pointer &endpoint) {
        m_log.write(endpoint->isRemoved ? event_number::endpoint_gone : event_number::endpoint_draining, {{"endpoint", endpoint->record.id}});
        m_pool.forget(endpoint);
    };
}

gateway::~gateway() = default;

void gateway::run()
{
    m_log.write(event_number::process_started,
                {{"instance", m_options.settings.instance}, {"zone", m_options.settings.availabilityZone}, {"callers", toString(m_options.settings.callers)}});
    addGauges();
    listen();
    meetPeers();
    m_declarations.start();
    m_endpoints.start();
    repeat(m_loop, tickPeriod, [this] { onTick(); });
    m_loop.run();
    m_log.write(event_number::process_stopped, {{"open", std::to_string(m_context.openSessions)}});
}

void gateway::listen()
{
    const auto acceptProbe = [this](int descriptor) {
        const auto caller = caller_connection::adopt(m_loop, descriptor, {}, m_readinessHooks);
        m_readinessCallers.add(caller);
    };
    m_callerListener = std::make_unique<channel_listener>(m_loop, m_options.settings.callers, [this](int descriptor) { onCaller(descriptor); });
    m_readinessListener = std::make_unique<channel_listener>(m_loop, m_options.settings.readiness, acceptProbe);
    if (!m_options.settings.metricsAddress) {
        return;
    }
    try {
        m_metricsListener = std::make_unique<channel_listener>(m_loop, *m_options.settings.metricsAddress, acceptProbe);
    } catch (const shunt_error &error) {
        // Callers are served without metrics rather than not at all.
        m_log.write(event_number::settings_fault, {{"reason", error.what()}});
    }
}

void gateway::meetPeers()
{
    const auto &self = m_options.settings.control;
    if (!self) {
        return;
    }
    m_peerRecords = std::make_unique<peer_records>(m_loop, m_log, peer_records_options{.self = *self}, std::vector{&m_declarations, &m_endpoints});
    m_peers = std::make_unique<peer_exchange>(
        m_loop,
        m_log,
        peer_exchange_options{.seeds = m_options.settings.seeds, .self = *self},
        [this] { return describe(); },
        [this](const socket_address &from, const peer_message &message) { onPeerMessage(from, message); });
}

void gateway::onPeerMessage(const socket_address &from, const peer_message &message)
{
    m_planner.onPeerDigest(toString(from), message.load, m_loop.now());
    m_context.noteRoom();
    const std::int64_t inForce = m_context.table == nullptr ? -1 : m_context.table->version();
    if (message.declarationsVersion > inForce) {
        m_peerRecords->notePeerAhead(m_declarations.topic());
    }
}

void gateway::addGauges()
{
    m_counters.addGauge("open_requests", [this] { return static_cast<double>(m_context.openSessions); });
    m_counters.addGauge("waiting_requests", [this] { return static_cast<double>(m_context.line.size()); });
    m_counters.addGauge("caller_connections", [this] { return static_cast<double>(m_callers.all().size()); });
    m_counters.addGauge("endpoint_connections_opened", [this] { return static_cast<double>(m_pool.opened()); });
    m_counters.addGauge("endpoints_listed", [this] { return static_cast<double>(m_roster.size()); });
    m_counters.addGauge("live_entries", [this] { return static_cast<double>(m_planner.liveEntries(m_loop.now())); });
    m_counters.addGauge("declarations_version", [this] { return m_context.table == nullptr ? -1.0 : static_cast<double>(m_context.table->version()); });
    m_counters.addGauge("declarations_age_seconds", [this] { return toSeconds(m_loop.now() - m_declarations.lastAnswer()); });
    m_counters.addGauge("endpoint_list_age_seconds", [this] { return toSeconds(m_loop.now() - m_endpoints.lastAnswer()); });
}

peer_message gateway::describe()
{
    return {.declarationsVersion = m_context.table == nullptr ? -1 : m_context.table->version(),
            .isLeaving = m_leavingSince.has_value(),
            .load = m_planner.digest(m_loop.now())};
}

bool gateway::isReady() const
{
    return m_context.table != nullptr && m_endpoints.isComplete() && !m_leavingSince;
}

void gateway::onCaller(int descriptor)
{
    makeRoom();
    const auto limits = m_context.table == nullptr ? caller_limits{} : m_context.table->declarations().limits;
    const auto caller = caller_connection::adopt(m_loop, descriptor, callerOptions(limits), m_callerHooks);
    m_callers.add(caller);
}

void gateway::makeRoom()
{
    const std::size_t most = m_options.settings.maxDescriptors > 2 * reservedDescriptors ? m_options.settings.maxDescriptors - reservedDescriptors
                                                                                         : m_options.settings.maxDescriptors / 2;
    if (m_callers.all().size() < most) {
        return;
    }
    std::shared_ptr<caller_connection> oldest;
    for (const auto &[address, caller] : m_callers.all()) {
        if (caller->isIdle() && (oldest == nullptr || caller->lastActivity() < oldest->lastActivity())) {
            oldest = caller;
        }
    }
    if (oldest != nullptr) {
        oldest->closeWhenIdle();
    }
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

void gateway::onGone(caller_connection &caller)
{
    const auto position = m_sessions.find(&caller);
    if (position == m_sessions.end()) {
        return;
    }
    const auto session = position->second.lock();
    m_sessions.erase(position);
    if (session != nullptr) {
        session->onCallerGone();
    }
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
    answerPlain(*caller, request.target != m_options.dialect.readinessPath ? notFound : isReady() ? ok : unavailable);
}

void gateway::onFault(const std::shared_ptr<caller_connection> &caller, read_fault fault)
{
    constexpr int badRequest = 400;
    constexpr int headTooLarge = 431;
    constexpr int bodyTooLarge = 413;
    m_log.write(event_number::request_refused, {{"request", "-"}, {"reason", "malformed_request"}});
    answerPlain(*caller, fault == read_fault::head_too_large ? headTooLarge : fault == read_fault::body_too_large ? bodyTooLarge : badRequest);
}

void gateway::onDeclarations(const keyed_record &record)
{
    if (record.key != m_options.decoders.declarationsKey || !record.value) {
        return;
    }
    try {
        auto declared = m_options.decoders.declarations(*record.value);
        const std::int64_t inForce = m_context.table == nullptr ? -1 : m_context.table->version();
        if (declared.version <= inForce) {
            return;
        }
        m_log.write(event_number::configuration_applied,
                    {{"version", std::to_string(declared.version)}, {"before", std::to_string(inForce)}, {"routes", std::to_string(declared.routes.size())}});
        m_context.table = std::make_shared<const route_table>(std::move(declared));
        if (m_peerRecords != nullptr) {
            m_peerRecords->noteNotAhead(m_declarations.topic());
        }
    } catch (const shunt_error &error) {
        m_log.write(event_number::record_unusable, {{"key", record.key}, {"reason", error.what()}});
    }
}

void gateway::onEndpointRecord(const keyed_record &record, record_timing timing)
{
    if (!record.value) {
        const auto hold = removalHold(timing, m_options.settings.leavingBound);
        if (hold == duration{} || m_roster.find(record.key) == nullptr) {
            removeEndpoint(record.key, "removed");
        } else {
            m_missing.try_emplace(record.key, m_loop.now() + hold);
        }
        return;
    }
    try {
        const auto endpoint = m_options.decoders.endpoint(record.key, *record.value);
        m_missing.erase(record.key);
        if (m_roster.apply(endpoint)) {
            m_log.write(event_number::endpoint_listed,
                        {{"endpoint", endpoint.id},
                         {"service", endpoint.service},
                         {"address", toString(endpoint.address)},
                         {"draining", endpoint.isDraining ? "yes" : "no"},
                         {"offset", std::to_string(record.offset)}});
        }
    } catch (const shunt_error &error) {
        m_log.write(event_number::record_unusable, {{"key", record.key}, {"reason", error.what()}});
    }
}

void gateway::removeEndpoint(const std::string &id, std::string_view reason)
{
    m_missing.erase(id);
    if (m_roster.remove(id)) {
        m_log.write(event_number::endpoint_gone, {{"endpoint", id}, {"reason", std::string(reason)}});
    }
}

void gateway::onTick()
{
    std::vector<std::string> lapsed;
    for (const auto &[id, due] : m_missing) {
        if (m_loop.now() >= due && m_endpoints.isReachable()) {
            lapsed.push_back(id);
        }
    }
    for (const auto &id : lapsed) {
        removeEndpoint(id, "missing_after_outage");
    }
    m_pool.dropAged();
    closeStaleCallers();
    if (m_peers != nullptr) {
        m_peerRecords->fetchIfDue(m_peers->livePeers());
    }
    if (m_options.takeReloadRequest()) {
        try {
            const auto settings = m_options.reloadSettings();
            m_log.write(event_number::settings_reloaded, {{"changed", settings == m_options.settings ? "no" : "yes"}});
        } catch (const shunt_error &error) {
            m_log.write(event_number::settings_fault, {{"reason", error.what()}});
        }
    }
    if (m_options.isStopRequested() && !m_leavingSince) {
        beginLeaving();
    }
    if (m_leavingSince) {
        continueLeaving();
    }
}

void gateway::closeStaleCallers()
{
    const auto limits = m_context.table == nullptr ? caller_limits{} : m_context.table->declarations().limits;
    std::vector<std::shared_ptr<caller_connection>> stale;
    for (const auto &[address, caller] : m_callers.all()) {
        const auto quiet = m_loop.now() - caller->lastActivity();
        if ((caller->isIdle() && quiet > limits.idleTimeout) || (caller->hasPartialRequest() && quiet > limits.headTimeout)) {
            stale.push_back(caller);
        }
    }
    for (const auto &caller : stale) {
        caller->closeWhenIdle();
    }
}

void gateway::beginLeaving()
{
    m_leavingSince = m_loop.now();
    m_log.write(event_number::process_leaving, {{"open", std::to_string(m_context.openSessions)}, {"callers", std::to_string(m_callers.all().size())}});
}

void gateway::continueLeaving()
{
    const auto since = m_loop.now() - *m_leavingSince;
    if (since > m_options.settings.acceptWhileLeaving) {
        m_context.isClosing = true;
        m_callerListener->close();
        std::vector<std::shared_ptr<caller_connection>> idle;
        for (const auto &[address, caller] : m_callers.all()) {
            if (caller->isIdle()) {
                idle.push_back(caller);
            }
        }
        for (const auto &caller : idle) {
            caller->closeWhenIdle();
        }
        const bool isDone = m_context.openSessions == 0 && m_callers.all().empty();
        if (isDone || since > m_options.settings.gracePeriod - leaveMargin) {
            m_loop.stop();
        }
    }
}

} // namespace wisteriashunt

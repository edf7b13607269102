#include "daemon/entry_daemon.h"

#include "platform/http_platform.h"

#include <easylogging++.h>

namespace wisteriashunt
{

namespace
{

constexpr std::size_t eventCapacity = 65536;
constexpr duration tickInterval = std::chrono::milliseconds(10);
/// While the core is idle no deadline can expire, so it wakes only to send heartbeats and to detect silent endpoint processes. An event wakes it
/// at once.
constexpr duration idleTickInterval = std::chrono::milliseconds(100);
constexpr duration heartbeatInterval = std::chrono::milliseconds(500);
constexpr duration supervisionInterval = std::chrono::milliseconds(100);

} // namespace

entry_daemon::entry_daemon(const daemon_settings &settings, const clock_source &clock)
    : m_settings(settings)
    , m_clock(clock)
    , m_random(generateIncarnation())
    , m_events(eventCapacity)
{
    const daemon_hooks hooks{.onConfiguration =
                                 [this](const configuration_state &state) {
                                     {
                                         const absl::MutexLock lock(&m_configurationMutex);
                                         m_configuration = std::make_shared<configuration_state>(state);
                                     }
                                     m_events.push(configuration_changed{state});
                                 },
                             .onInstances = [this](const std::vector<instance_row> &rows) { onInstances(rows); },
                             .statusFields =
                                 [this] {
                                     return nlohmann::json{{"openRequests", m_openRequests.load()}, {"usableEndpoints", m_usableEndpoints.load()}};
                                 },
                             .isReady = [this] { return configuration()->offset > 0 && m_usableEndpoints > 0 && m_isClaimLogStatusKnown; }};
    m_base = std::make_unique<daemon_base>(settings, hooks, clock);
    entry_core_options core{.instanceName = settings.instance,
                            .incarnation = m_base->incarnation(),
                            .reservationSample = settings.reservationSample,
                            .random = [this](std::uint64_t bound) { return m_random() % bound; }};
    m_core = std::make_unique<entry_core>(core);
    peer_hub_options hub{.self = {.instance = settings.instance, .endpointName = {}, .incarnation = m_base->incarnation()},
                         .keys = settings.peerKeys,
                         .listen = {},
                         .deliver = [this](hub_event &event) { return onHubEvent(event); }};
    m_hub = std::make_unique<peer_hub>(hub, clock);
    caller_server_options callers{.address = settings.listen.host,
                                  .port = settings.listen.port,
                                  .maxBodyBytes = settings.maxBodyBytes,
                                  .maxConnections = settings.maxConnections,
                                  .onRequest = [this](std::uint64_t caller, http_request request) { onRequest(caller, std::move(request)); },
                                  .onDisconnected = [this](std::uint64_t caller) { m_events.push(caller_disconnected{caller}); }};
    m_callers = std::make_unique<caller_server>(callers);
}

entry_daemon::~entry_daemon()
{
    m_claimFollower.reset();
    m_isCoreStopping = true;
    m_events.close();
    if (m_coreThread.joinable()) {
        m_coreThread.join();
    }
    m_hub->stop();
    m_base->stop();
}

void entry_daemon::run(const daemon_signals &signals)
{
    m_claimWriter = std::make_unique<claim_writer>(claim_writer_options{}, std::make_unique<http_log_service>(m_settings.logUrl));
    m_coreThread = std::thread([this] { runCore(); });
    m_hub->start();
    m_base->start();
    followClaims();
    m_base->counters().addGauge("open_requests", [this] { return static_cast<double>(m_openRequests.load()); });
    while (!signals.isStopRequested() && !m_base->isDrainRequested()) {
        m_base->reloadKeys(signals, *m_hub);
        m_callers->detectDisconnects();
        std::this_thread::sleep_for(supervisionInterval);
    }
    m_base->markLeaving();
    m_events.push(leave_requested{});
    const time_point drainUntil = m_clock.now() + m_settings.drainTimeout;
    // The load balancer takes a moment to notice that this instance is leaving. Until then, new requests are refused with Retry-After.
    constexpr duration balancerGrace = std::chrono::seconds(2);
    const time_point graceUntil = m_clock.now() + balancerGrace;
    while (m_clock.now() < drainUntil && (m_clock.now() < graceUntil || m_callers->openExchanges() > 0)) {
        m_callers->detectDisconnects();
        std::this_thread::sleep_for(supervisionInterval);
    }
    m_callers->stopAccepting();
}

void entry_daemon::followClaims()
{
    stream_follower_options options{.stream = claimStream,
                                    .nextOffset = [this] { return m_nextClaimOffset.load(); },
                                    .onPage =
                                        [this](const log_page &page) {
                                            if (!page.records.empty()) {
                                                m_nextClaimOffset = page.records.back().offset + 1;
                                                m_events.push(claims_read{.firstRetained = page.firstRetained, .records = page.records});
                                            } else if (m_nextClaimOffset < page.firstRetained) {
                                                m_nextClaimOffset = page.firstRetained;
                                            }
                                        },
                                    .onAvailability =
                                        [this](bool available) {
                                            m_events.push(claims_available{available});
                                            // Set after the event, so that every request that finds the entry ready is queued behind it.
                                            m_isClaimLogStatusKnown = true;
                                        }};
    m_claimFollower = std::make_unique<stream_follower>(options, std::make_unique<http_log_service>(m_settings.logUrl));
}

std::shared_ptr<const configuration_state> entry_daemon::configuration() const
{
    const absl::MutexLock lock(&m_configurationMutex);
    return m_configuration;
}

void entry_daemon::onRequest(std::uint64_t caller, http_request request)
{
    try {
        m_events.push(request_received{.caller = caller, .request = routeRequest(*configuration(), request)});
    } catch (const shunt_error &error) {
        LOG(INFO) << "event=" << static_cast<int>(event_number::request_refused) << " name=request_refused reason=" << error.what();
        m_callers->answerError(caller, error.kind(), error.what(), std::chrono::seconds(1));
    }
}

bool entry_daemon::onHubEvent(hub_event &event)
{
    entry_event forwarded = tick{};
    switch (event.type) {
    case hub_event::event_type::up:
        forwarded = endpoint_connected{.peer = event.peer, .name = event.identity.endpointName, .incarnation = event.identity.incarnation};
        break;
    case hub_event::event_type::down:
        forwarded = peer_lost{event.peer};
        break;
    case hub_event::event_type::received:
        forwarded = peer_message{.peer = event.peer, .content = event.content};
        break;
    case hub_event::event_type::rejected:
        m_base->recordEvent(event_number::peer_refused, event.detail);
        return true;
    }
    return m_events.tryPush(forwarded);
}

void entry_daemon::onInstances(const std::vector<instance_row> &rows)
{
    std::set<peer_address> targets;
    std::set<std::string> leaving;
    for (const auto &row : rows) {
        if (row.role != "endpoint") {
            continue;
        }
        targets.insert({.host = row.address, .port = row.port});
        if (row.leaving) {
            leaving.insert(row.endpointName);
        }
    }
    m_hub->setTargets(targets);
    m_events.push(endpoints_listed_leaving{leaving});
}

void entry_daemon::runCore()
{
    while (!m_isCoreStopping) {
        auto events = m_events.popAll(m_core->isIdle() ? idleTickInterval : tickInterval);
        const bool isTickDue = m_clock.now() >= m_nextTick;
        if (isTickDue) {
            m_nextTick = m_clock.now() + tickInterval;
            events.emplace_back(tick{});
        }
        for (auto &event : events) {
            if (const auto *received = std::get_if<peer_message>(&event)) {
                exchangeConfiguration(received->peer, received->content);
            } else if (const auto *connected = std::get_if<endpoint_connected>(&event)) {
                m_peers.insert(connected->peer);
                m_base->recordEvent(event_number::peer_up, connected->name);
            } else if (const auto *lost = std::get_if<peer_lost>(&event)) {
                m_peers.erase(lost->peer);
                m_base->recordEvent(event_number::peer_down, "connection_" + std::to_string(lost->peer));
            }
            auto actions = m_core->handle(m_clock.now(), event);
            execute(actions);
        }
        sendHeartbeats();
        m_openRequests = m_core->openRequests();
        if (!isTickDue) {
            continue;
        }
        std::size_t usable = 0;
        for (const auto &[name, view] : m_core->directory().all()) {
            usable += m_core->directory().isUsable(m_clock.now(), name) ? 1 : 0;
        }
        m_usableEndpoints = usable;
    }
}

void entry_daemon::exchangeConfiguration(peer_id peer, const message &content)
{
    if (const auto *update = std::get_if<configuration_update>(&content)) {
        m_base->configuration().adopt(update->snapshot);
    } else if (const auto *peerHeartbeat = std::get_if<heartbeat>(&content);
               peerHeartbeat != nullptr && peerHeartbeat->configuration < configuration()->offset) {
        m_hub->send(peer, configuration_update{.snapshot = m_base->configuration().snapshot()});
    }
}

void entry_daemon::sendHeartbeats()
{
    const time_point now = m_clock.now();
    if (now < m_nextHeartbeat) {
        return;
    }
    m_nextHeartbeat = now + heartbeatInterval;
    for (const peer_id peer : m_peers) {
        m_hub->send(peer, heartbeat{.configuration = configuration()->offset, .leaving = m_base->isLeaving()});
    }
}

void entry_daemon::execute(std::vector<entry_action> &actions)
{
    for (auto &action : actions) {
        if (auto *outgoing = std::get_if<send_to_peer>(&action)) {
            m_hub->send(outgoing->peer, outgoing->content);
        } else if (auto *complete = std::get_if<answer_complete>(&action)) {
            m_callers->answerComplete(complete->caller, complete->httpStatus, complete->contentType, complete->body);
        } else if (auto *error = std::get_if<answer_error>(&action)) {
            m_callers->answerError(error->caller, error->kind, error->detail, error->retryAfter);
        } else if (auto *chunk = std::get_if<answer_chunk>(&action)) {
            m_callers->answerChunk(chunk->caller, chunk->data);
        } else if (auto *end = std::get_if<answer_end>(&action)) {
            m_callers->answerEnd(end->caller);
        } else if (auto *aborted = std::get_if<answer_aborted>(&action)) {
            m_callers->answerAborted(aborted->caller);
        } else if (auto *claim = std::get_if<append_claim>(&action)) {
            m_claimWriter->append(claim->record);
        } else if (auto *recorded = std::get_if<decision>(&action)) {
            m_base->recorder().record(*recorded);
        }
    }
}

} // namespace wisteriashunt

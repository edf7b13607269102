#include "daemon/endpoint_daemon.h"

#include <easylogging++.h>

namespace wisteriashunt
{

namespace
{

constexpr std::size_t eventCapacity = 65536;
constexpr duration tickInterval = std::chrono::milliseconds(10);
/// While the core is idle no deadline can expire, so it wakes only for heartbeats. An event wakes it at once.
constexpr duration idleTickInterval = std::chrono::milliseconds(100);
constexpr duration heartbeatInterval = std::chrono::milliseconds(200);
constexpr duration supervisionInterval = std::chrono::milliseconds(100);
/// Time for the frames of the last answer to reach the entries.
constexpr duration finalFlushTime = std::chrono::milliseconds(300);

} // namespace

endpoint_daemon::endpoint_daemon(const daemon_settings &settings, const clock_source &clock)
    : m_settings(settings)
    , m_clock(clock)
    , m_events(eventCapacity)
{
    const daemon_hooks hooks{.onConfiguration =
                                 [this](const configuration_state &state) {
                                     const auto own = state.endpoints.find(m_settings.endpointName);
                                     if (own != state.endpoints.end()) {
                                         m_upstream->requireEchoedId(own->second.value.echoesRequestId);
                                     }
                                     m_configurationOffset = state.offset;
                                     m_events.push(configuration_changed{state});
                                 },
                             .onInstances = [](const std::vector<instance_row> &) {},
                             .statusFields =
                                 [this] {
                                     return nlohmann::json{{"endpoint", m_settings.endpointName}, {"idle", m_isIdle.load()}};
                                 },
                             .isReady = [this] { return m_configurationOffset > 0; }};
    m_base = std::make_unique<daemon_base>(settings, hooks, clock);
    m_core = std::make_unique<endpoint_core>(endpoint_core_options{.endpointName = settings.endpointName, .incarnation = m_base->incarnation()});
    peer_hub_options hub{.self = {.instance = settings.instance, .endpointName = settings.endpointName, .incarnation = m_base->incarnation()},
                         .keys = settings.peerKeys,
                         .listen = settings.listen,
                         .deliver = [this](hub_event &event) { return onHubEvent(event); }};
    m_hub = std::make_unique<peer_hub>(hub, clock);
    m_upstream = std::make_unique<upstream_client>(
        upstream_client_options{.baseUrl = settings.upstreamUrl, .deliver = [this](endpoint_event event) { m_events.push(std::move(event)); }});
}

endpoint_daemon::~endpoint_daemon()
{
    m_isCoreStopping = true;
    m_events.close();
    if (m_coreThread.joinable()) {
        m_coreThread.join();
    }
    m_hub->stop();
    m_upstream.reset();
    m_base->stop();
}

void endpoint_daemon::run(const daemon_signals &signals)
{
    m_coreThread = std::thread([this] { runCore(); });
    m_hub->start();
    m_base->start();
    while (!signals.isStopRequested() && !m_base->isDrainRequested()) {
        m_base->reloadKeys(signals, *m_hub);
        std::this_thread::sleep_for(supervisionInterval);
    }
    m_base->markLeaving();
    m_isIdle = false;
    m_events.push(leave_requested{});
    const time_point drainUntil = m_clock.now() + m_settings.drainTimeout;
    while (!m_isIdle && m_clock.now() < drainUntil) {
        std::this_thread::sleep_for(supervisionInterval);
    }
    std::this_thread::sleep_for(finalFlushTime);
}

bool endpoint_daemon::onHubEvent(hub_event &event)
{
    endpoint_event forwarded = tick{};
    switch (event.type) {
    case hub_event::event_type::up:
        m_base->recordEvent(event_number::peer_up, event.identity.instance);
        // The core thread registers a peer at its first message. The core itself ignores this message.
        forwarded = peer_message{.peer = event.peer, .content = queued{}};
        break;
    case hub_event::event_type::down:
        m_base->recordEvent(event_number::peer_down, "connection_" + std::to_string(event.peer));
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

void endpoint_daemon::runCore()
{
    while (!m_isCoreStopping) {
        auto events = m_events.popAll(m_core->isIdle() && m_core->queue().isEmpty() ? idleTickInterval : tickInterval);
        const bool isTickDue = m_clock.now() >= m_nextTick;
        if (isTickDue) {
            m_nextTick = m_clock.now() + tickInterval;
            events.emplace_back(tick{});
        }
        bool hasLeaveRequest = false;
        for (auto &event : events) {
            if (const auto *received = std::get_if<peer_message>(&event)) {
                if (m_peers.insert(received->peer).second) {
                    m_hub->send(received->peer, m_core->status(m_clock.now()));
                }
                exchangeConfiguration(received->peer, received->content);
            } else if (const auto *lost = std::get_if<peer_lost>(&event)) {
                m_peers.erase(lost->peer);
            }
            hasLeaveRequest = hasLeaveRequest || std::holds_alternative<leave_requested>(event);
            auto actions = m_core->handle(m_clock.now(), event);
            execute(actions);
        }
        if (hasLeaveRequest) {
            // Tells the entries at once that this process is leaving.
            m_nextHeartbeat = {};
        }
        sendHeartbeats();
        if (isTickDue && m_core->status(m_clock.now()).leaving) {
            m_isIdle = m_core->isIdle();
        }
    }
}

void endpoint_daemon::exchangeConfiguration(peer_id peer, const message &content)
{
    if (const auto *update = std::get_if<configuration_update>(&content)) {
        m_base->configuration().adopt(update->snapshot);
    } else if (const auto *peerHeartbeat = std::get_if<heartbeat>(&content); peerHeartbeat != nullptr && peerHeartbeat->configuration < m_configurationOffset) {
        m_hub->send(peer, configuration_update{.snapshot = m_base->configuration().snapshot()});
    }
}

void endpoint_daemon::sendHeartbeats()
{
    const time_point now = m_clock.now();
    if (now < m_nextHeartbeat) {
        return;
    }
    m_nextHeartbeat = now + heartbeatInterval;
    const heartbeat load = m_core->status(now);
    for (const peer_id peer : m_peers) {
        m_hub->send(peer, load);
    }
}

void endpoint_daemon::execute(std::vector<endpoint_action> &actions)
{
    for (auto &action : actions) {
        if (auto *outgoing = std::get_if<send_to_peer>(&action)) {
            m_hub->send(outgoing->peer, outgoing->content);
        } else if (auto *started = std::get_if<start_upstream>(&action)) {
            m_upstream->start(started->request);
        } else if (auto *cancelled = std::get_if<cancel_upstream>(&action)) {
            m_upstream->cancel(cancelled->id);
        } else if (auto *recorded = std::get_if<decision>(&action)) {
            m_base->recorder().record(*recorded);
        }
    }
}

} // namespace wisteriashunt

/// Process of the endpoint role: the only one that sends requests to its back end.
#pragma once

#include "daemon/daemon_base.h"
#include "daemon/upstream_client.h"
#include "endpoint/endpoint_core.h"
#include "transport/peer_hub.h"

#include <atomic>
#include <memory>

namespace wisteriashunt
{

/// One endpoint process. It binds the peer port exclusively, so that a second process for the same endpoint fails to start.
class endpoint_daemon
{
public:
    endpoint_daemon(const daemon_settings &settings, const clock_source &clock);
    ~endpoint_daemon();
    endpoint_daemon(const endpoint_daemon &) = delete;
    endpoint_daemon &operator=(const endpoint_daemon &) = delete;

    /// Serves until a stop or a drain is requested. Then finishes running work within the drain timeout and returns.
    void run(const daemon_signals &signals);

private:
    void runCore();
    void execute(std::vector<endpoint_action> &actions);
    bool onHubEvent(hub_event &event);
    void exchangeConfiguration(peer_id peer, const message &content);
    void sendHeartbeats();

    daemon_settings m_settings;
    const clock_source &m_clock;
    std::unique_ptr<daemon_base> m_base;
    bounded_ring<endpoint_event> m_events;
    std::unique_ptr<endpoint_core> m_core;
    std::unique_ptr<peer_hub> m_hub;
    std::unique_ptr<upstream_client> m_upstream;
    std::set<peer_id> m_peers;
    time_point m_nextHeartbeat{};
    time_point m_nextTick{};
    std::atomic<bool> m_isCoreStopping{false};
    std::atomic<bool> m_isIdle{true};
    std::atomic<log_offset> m_configurationOffset{0};
    std::thread m_coreThread;
};

} // namespace wisteriashunt

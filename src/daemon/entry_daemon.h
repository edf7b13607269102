/// Process of the entry role of wisteriashuntd: passes requests and peer messages to the entry core as events and executes its actions.
/// The entry of wisteriashunt-entry, which forwards to endpoints directly, is gateway/gateway.h.
#pragma once

#include "daemon/caller_server.h"
#include "daemon/claim_writer.h"
#include "daemon/daemon_base.h"
#include "request/entry_core.h"
#include "transport/peer_hub.h"

#include <atomic>
#include <memory>
#include <random>

namespace wisteriashunt
{

/// One entry instance.
class entry_daemon
{
public:
    entry_daemon(const daemon_settings &settings, const clock_source &clock);
    ~entry_daemon();
    entry_daemon(const entry_daemon &) = delete;
    entry_daemon &operator=(const entry_daemon &) = delete;

    /// Serves until a stop or a drain is requested. Then finishes all requests within the drain timeout and returns.
    void run(const daemon_signals &signals);

private:
    void runCore();
    void execute(std::vector<entry_action> &actions);
    void onRequest(std::uint64_t caller, http_request request);
    bool onHubEvent(hub_event &event);
    void onInstances(const std::vector<instance_row> &rows);
    void exchangeConfiguration(peer_id peer, const message &content);
    void sendHeartbeats();
    void followClaims();
    [[nodiscard]] std::shared_ptr<const configuration_state> configuration() const;

    daemon_settings m_settings;
    const clock_source &m_clock;
    std::mt19937_64 m_random;
    std::unique_ptr<daemon_base> m_base;
    bounded_ring<entry_event> m_events;
    std::unique_ptr<entry_core> m_core;
    std::unique_ptr<peer_hub> m_hub;
    std::unique_ptr<claim_writer> m_claimWriter;
    std::unique_ptr<stream_follower> m_claimFollower;
    std::unique_ptr<caller_server> m_callers;
    std::atomic<log_offset> m_nextClaimOffset{1};
    std::atomic<bool> m_isCoreStopping{false};
    std::atomic<std::size_t> m_openRequests{0};
    std::atomic<std::size_t> m_usableEndpoints{0};
    /// True once the claim log has answered or failed.
    std::atomic<bool> m_isClaimLogStatusKnown{false};
    std::set<peer_id> m_peers;
    time_point m_nextHeartbeat{};
    time_point m_nextTick{};
    mutable absl::Mutex m_configurationMutex;
    std::shared_ptr<const configuration_state> m_configuration ABSL_GUARDED_BY(m_configurationMutex) = std::make_shared<configuration_state>();
    std::thread m_coreThread;
};

} // namespace wisteriashunt

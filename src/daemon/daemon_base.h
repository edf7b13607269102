/// Parts that both roles share: incarnation, configuration, evidence, metrics, admin port and announcement to the platform.
#pragma once

#include "daemon/configuration_keeper.h"
#include "daemon/decision_recorder.h"
#include "daemon/settings.h"
#include "evidence/metrics.h"
#include "transport/http_server.h"
#include "wisteriashunt/platform.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace wisteriashunt
{

/// Callbacks through which a role extends a daemon_base.
struct daemon_hooks
{
    /// Called with each newer configuration.
    std::function<void(const configuration_state &)> onConfiguration;
    /// Called with the result of each read of the platform's instance list.
    std::function<void(const std::vector<instance_row> &)> onInstances;
    /// Returns role-specific fields of the status page.
    std::function<nlohmann::json()> statusFields;
    /// Returns whether the process can serve traffic.
    std::function<bool()> isReady;
};

/// Requests that a running daemon receives as signals of the operating system.
struct daemon_signals
{
    std::function<bool()> isStopRequested;
    /// Returns the keys of the settings file once per request to reload. Returns nothing if there was none, or if the file has faults.
    std::function<std::optional<std::vector<peer_key>>()> takeReloadedKeys;
};

/// Common parts of a running daemon.
class daemon_base
{
public:
    daemon_base(const daemon_settings &settings, const daemon_hooks &hooks, const clock_source &clock);
    ~daemon_base();
    daemon_base(const daemon_base &) = delete;
    daemon_base &operator=(const daemon_base &) = delete;

    /// Starts the threads that call the hooks.
    void start();

    /// Marks the process as leaving, in the instance list and on the status page.
    void markLeaving();

    /// Passes the keys of the settings file to the hub if a signal requested a reload.
    void reloadKeys(const daemon_signals &signals, peer_hub &hub);

    /// Stops the threads. The remaining evidence is appended before the recorder stops, if the log answers in time.
    void stop();

    [[nodiscard]] bool isLeaving() const;

    /// Returns true once a drain has been requested over the admin port.
    [[nodiscard]] bool isDrainRequested() const;

    [[nodiscard]] std::uint64_t incarnation() const;
    [[nodiscard]] configuration_replica &configuration();
    [[nodiscard]] decision_recorder &recorder();
    [[nodiscard]] metrics &counters();

    /// Logs and records an event of the process itself.
    void recordEvent(event_number event, const std::string &reason);

private:
    void runMembership();
    void announceAndRead(instance_list &list);
    server_reply serveAdmin(const server_request &request);
    [[nodiscard]] nlohmann::json status() const;

    daemon_settings m_settings;
    daemon_hooks m_hooks;
    const clock_source &m_clock;
    std::uint64_t m_incarnation;
    metrics m_metrics;
    std::atomic<bool> m_isLeaving{false};
    std::atomic<bool> m_isDrainRequested{false};
    std::atomic<bool> m_isStopping{false};
    std::atomic<bool> m_isLogAvailable{false};
    std::unique_ptr<decision_recorder> m_recorder;
    std::unique_ptr<configuration_replica> m_configuration;
    std::unique_ptr<http_server> m_admin;
    std::thread m_membership;
};

/// Returns a random incarnation number, never 0. Throws `shunt_error` with `not_ready` if no random bytes are available.
[[nodiscard]] std::uint64_t generateIncarnation();

} // namespace wisteriashunt

/// What both roles share: clock, incarnation, configuration, evidence, metrics, admin port and the announcement to the platform.
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

/// Settings of a daemon_base: the parts in which the roles differ.
struct daemon_hooks
{
    std::function<void(const configuration_state &)> onConfiguration;
    /// Called with each read of the platform's list.
    std::function<void(const std::vector<instance_row> &)> onInstances;
    /// Returns role-specific fields of the status page.
    std::function<nlohmann::json()> statusFields;
    /// Says whether the process may take traffic.
    std::function<bool()> isReady;
};

/// What the operating system's signals ask of a running daemon.
struct daemon_signals
{
    std::function<bool()> isStopRequested;
    /// Returns the keys of the settings file once after each request to reload; nothing otherwise, or if the file has faults.
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

    /// Says that the process leaves: the list and the status page say so from now on.
    void markLeaving();

    /// Gives the hub the keys of the settings file, if a signal asked for that.
    void reloadKeys(const daemon_signals &signals, peer_hub &hub);

    /// Ends the threads; the evidence that is left is appended first.
    void stop();

    [[nodiscard]] bool isLeaving() const;

    /// Returns true once somebody asked over the admin port that the process drains.
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

/// Draws an incarnation number from the operating system's random source.
[[nodiscard]] std::uint64_t generateIncarnation();

} // namespace wisteriashunt

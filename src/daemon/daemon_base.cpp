#include "daemon/daemon_base.h"

#include "platform/http_platform.h"
#include "wisteriashunt/errors.h"

#include <easylogging++.h>
#include <openssl/rand.h>

namespace wisteriashunt
{

namespace
{

constexpr duration membershipInterval = std::chrono::milliseconds(500);
constexpr duration finalAppendTimeout = std::chrono::seconds(2);
/// Keeps incarnations exact for JSON parsers that store numbers as doubles.
constexpr unsigned incarnationBits = 53;

const char *roleName(daemon_role role)
{
    return role == daemon_role::entry ? "entry" : "endpoint";
}

} // namespace

std::uint64_t generateIncarnation()
{
    std::uint64_t value = 0;
    if (RAND_bytes(reinterpret_cast<unsigned char *>(&value), sizeof value) != 1) {
        throw shunt_error(error_kind::not_ready, "cannot generate an incarnation: RAND_bytes failed");
    }
    return (value >> (64U - incarnationBits)) | 1U;
}

daemon_base::daemon_base(const daemon_settings &settings, const daemon_hooks &hooks, const clock_source &clock)
    : m_settings(settings)
    , m_hooks(hooks)
    , m_clock(clock)
    , m_incarnation(generateIncarnation())
    , m_recorder(std::make_unique<decision_recorder>(
          recorder_options{.instance = settings.instance, .incarnation = m_incarnation}, std::make_unique<http_log_service>(settings.logUrl), m_metrics, clock))
{
}

daemon_base::~daemon_base()
{
    stop();
}

void daemon_base::start()
{
    replica_options replicaOptions{.recordsPerSnapshot = m_settings.role == daemon_role::entry ? replica_options{}.recordsPerSnapshot : 0,
                                   .onState =
                                       [this](const configuration_state &state) {
                                           recordEvent(event_number::configuration_applied, "offset_" + std::to_string(state.offset));
                                           m_hooks.onConfiguration(state);
                                       },
                                   .onAvailability =
                                       [this](bool available) {
                                           m_isLogAvailable = available;
                                           recordEvent(available ? event_number::platform_up : event_number::platform_down, "log");
                                       }};
    m_configuration = std::make_unique<configuration_replica>(
        replicaOptions, std::make_unique<http_log_service>(m_settings.logUrl), std::make_unique<http_log_service>(m_settings.logUrl));
    m_admin =
        std::make_unique<http_server>(m_settings.admin.host, m_settings.admin.port, [this](const server_request &request) { return serveAdmin(request); });
    m_membership = std::thread([this] { runMembership(); });
    recordEvent(event_number::process_started, roleName(m_settings.role));
}

void daemon_base::stop()
{
    if (m_isStopping.exchange(true)) {
        return;
    }
    if (m_membership.joinable()) {
        m_membership.join();
    }
    m_admin.reset();
    m_configuration.reset();
    recordEvent(event_number::process_stopped, roleName(m_settings.role));
    m_recorder->stop(finalAppendTimeout);
}

void daemon_base::reloadKeys(const daemon_signals &signals, peer_hub &hub)
{
    if (const auto keys = signals.takeReloadedKeys()) {
        hub.setKeys(*keys);
        recordEvent(event_number::keys_reloaded, std::to_string(keys->size()));
    }
}

void daemon_base::markLeaving()
{
    m_isLeaving = true;
    recordEvent(event_number::process_leaving, roleName(m_settings.role));
}

bool daemon_base::isLeaving() const
{
    return m_isLeaving;
}

bool daemon_base::isDrainRequested() const
{
    return m_isDrainRequested;
}

std::uint64_t daemon_base::incarnation() const
{
    return m_incarnation;
}

configuration_replica &daemon_base::configuration()
{
    return *m_configuration;
}

decision_recorder &daemon_base::recorder()
{
    return *m_recorder;
}

metrics &daemon_base::counters()
{
    return m_metrics;
}

void daemon_base::recordEvent(event_number event, const std::string &reason)
{
    decision value{.event = event, .at = m_clock.now(), .endpointName = m_settings.endpointName, .reason = reason};
    m_recorder->record(value);
}

void daemon_base::runMembership()
{
    http_instance_list list(m_settings.instancesUrl);
    bool hasAnnouncedLeaving = false;
    while (!m_isStopping || (m_isLeaving && !hasAnnouncedLeaving)) {
        const bool isLastRound = m_isStopping;
        try {
            announceAndRead(list);
            hasAnnouncedLeaving = m_isLeaving;
        } catch (const shunt_error &) {
            // Retried after the interval. The list serves discovery only; existing connections do not depend on it.
        }
        if (isLastRound) {
            return;
        }
        std::this_thread::sleep_for(membershipInterval);
    }
}

void daemon_base::announceAndRead(instance_list &list)
{
    list.announce({.name = m_settings.instance,
                   .role = roleName(m_settings.role),
                   .endpointName = m_settings.endpointName,
                   .availabilityZone = m_settings.availabilityZone,
                   .address = m_settings.listen.host,
                   .port = m_settings.listen.port,
                   .adminPort = m_settings.admin.port,
                   .leaving = m_isLeaving});
    const auto rows = list.read();
    if (!m_isStopping) {
        m_hooks.onInstances(rows);
    }
}

nlohmann::json daemon_base::status() const
{
    nlohmann::json page{{"instance", m_settings.instance},
                        {"role", roleName(m_settings.role)},
                        {"zone", m_settings.availabilityZone},
                        {"incarnation", m_incarnation},
                        {"configuration", m_configuration->offset()},
                        {"leaving", m_isLeaving.load()},
                        {"logAvailable", m_isLogAvailable.load()},
                        {"ready", m_hooks.isReady()}};
    page.update(m_hooks.statusFields());
    return page;
}

server_reply daemon_base::serveAdmin(const server_request &request)
{
    constexpr int unavailable = 503;
    if (request.path == "/healthz") {
        return {.body = "{\"status\":\"ok\"}"};
    }
    if (request.path == "/readyz") {
        const bool isReady = m_hooks.isReady() && !m_isLeaving;
        return {.status = isReady ? 200 : unavailable, .body = isReady ? "{\"ready\":true}" : "{\"ready\":false}"};
    }
    if (request.path == "/metrics") {
        return {.contentType = "text/plain; version=0.0.4", .body = m_metrics.render()};
    }
    if (request.path == "/status") {
        return {.body = status().dump()};
    }
    if (request.path == "/drain" && request.method == "POST") {
        m_isDrainRequested = true;
        return {.body = "{\"draining\":true}"};
    }
    return {.status = answerFor(error_kind::unknown_route).httpStatus, .body = "{\"error\":\"unknown_route\"}"};
}

} // namespace wisteriashunt

// What an entry does with the platform's records: the declarations, and the list of endpoints.
#include "gateway/gateway.h"

#include "wisteriashunt/errors.h"

namespace wisteriashunt
{

void gateway::onDeclarations(const keyed_record &record)
{
    if (record.key != m_options.decoders.declarationsKey || !record.value) {
        return;
    }
    try {
        auto declared = m_options.decoders.declarations(*record.value);
        const std::int64_t currentVersion = declarationsVersion();
        if (declared.version <= currentVersion) {
            return;
        }
        m_log.write(
            event_number::configuration_applied,
            {{"version", std::to_string(declared.version)}, {"before", std::to_string(currentVersion)}, {"routes", std::to_string(declared.routes.size())}});
        for (const auto &service : declared.services) {
            if (!service.scalingFault.empty()) {
                m_log.write(event_number::service_not_scaled, {{"service", service.name}, {"reason", service.scalingFault}});
            }
        }
        m_context.table = std::make_shared<const route_table>(std::move(declared));
        if (m_peerRecords != nullptr) {
            m_peerRecords->noteCaughtUp(m_declarationsFollower.topic());
        }
    } catch (const shunt_error &error) {
        m_log.write(event_number::record_unusable, {{"key", record.key}, {"reason", error.what()}});
    }
}

void gateway::onOutdatedDeclarations(const keyed_record &record)
{
    if (record.key != m_options.decoders.declarationsKey) {
        return;
    }
    try {
        m_log.write(event_number::configuration_outdated,
                    {{"version", std::to_string(m_options.decoders.declarations(*record.value).version)},
                     {"in_force", std::to_string(declarationsVersion())},
                     {"offset", std::to_string(record.offset)}});
    } catch (const shunt_error &error) {
        m_log.write(event_number::record_unusable, {{"key", record.key}, {"reason", error.what()}});
    }
}

void gateway::onEndpointRecord(const keyed_record &record, record_timing timing)
{
    if (record.key.empty()) {
        m_log.write(event_number::record_unusable, {{"key", "-"}, {"reason", "a record without a key at " + std::to_string(record.offset)}});
        return;
    }
    m_doubtfulRecords.erase(record.key);
    if (!record.value) {
        if (timing.heldUntil <= m_loop.now() || m_roster.find(record.key) == nullptr) {
            removeEndpoint(record.key, "removed");
        } else {
            m_roster.noteRemoved(record.key);
            m_pendingRemovals.try_emplace(record.key, timing.heldUntil);
        }
        return;
    }
    try {
        const auto endpoint = withoutImpossibleNumbers(m_options.decoders.endpoint(record.key, *record.value), m_options.wallClock());
        if (m_roster.isOutdated(endpoint, record.position())) {
            onOutdatedRecord(endpoint, record.position());
            return;
        }
        m_streams.onListed({.service = endpoint.service, .softwareVersion = endpoint.softwareVersion}, m_loop.now());
        m_pendingRemovals.erase(record.key);
        if (m_roster.apply(endpoint, record.position())) {
            m_log.write(event_number::endpoint_listed,
                        {{"endpoint", endpoint.id},
                         {"service", endpoint.service},
                         {"address", toString(endpoint.address)},
                         {"draining", endpoint.isDraining ? "yes" : "no"},
                         {"started", std::to_string(endpoint.startedAtMilliseconds)},
                         {"sequence", std::to_string(endpoint.sequence)},
                         {"software", endpoint.softwareVersion},
                         {"offset", std::to_string(record.offset)}});
        }
    } catch (const shunt_error &error) {
        m_log.write(event_number::record_unusable, {{"key", record.key}, {"reason", error.what()}});
    }
}

void gateway::onOutdatedRecord(const endpoint_record &endpoint, const log_position &place)
{
    // The record of an endpoint that has ended expires after three heartbeats; the fourth is for reading that.
    constexpr int heartbeatsToExpiry = 4;
    const bool mayBeLive = m_roster.mayBeLive(endpoint);
    m_log.write(event_number::record_outdated,
                {{"endpoint", endpoint.id},
                 {"started", std::to_string(endpoint.startedAtMilliseconds)},
                 {"sequence", std::to_string(endpoint.sequence)},
                 {"draining", endpoint.isDraining ? "yes" : "no"},
                 {"offset", std::to_string(place.offset)},
                 {"may_be_live", mayBeLive ? "yes" : "no"}});
    if (mayBeLive) {
        m_doubtfulRecords[endpoint.id] = {.record = endpoint, .place = place, .due = m_loop.now() + heartbeatsToExpiry * m_options.settings.heartbeat};
    }
}

void gateway::readmitEndpoints()
{
    for (auto each = m_doubtfulRecords.begin(); each != m_doubtfulRecords.end();) {
        if (m_loop.now() < each->second.due || !isEndpointListCurrent()) {
            ++each;
            continue;
        }
        m_log.write(event_number::endpoint_listed, {{"endpoint", each->first}, {"reason", "still_listed"}});
        m_roster.readmit(each->second.record, each->second.place);
        m_pendingRemovals.erase(each->first);
        each = m_doubtfulRecords.erase(each);
    }
}

void gateway::removeEndpoint(const std::string &id, std::string_view reason)
{
    m_pendingRemovals.erase(id);
    if (m_roster.remove(id)) {
        m_log.write(event_number::endpoint_gone, {{"endpoint", id}, {"reason", std::string(reason)}});
    }
}

bool gateway::isEndpointListCurrent() const
{
    // An entry that the log does not answer learns of records from its peers.
    return m_endpointsFollower.isReachable() || m_loop.now() - m_endpointsFollower.lastAnswer() < m_options.settings.maxDrainDelay;
}

} // namespace wisteriashunt

#include "membership/endpoint_roster.h"

#include "membership/hash.h"

#include <algorithm>

namespace wisteriashunt
{

std::string_view toString(endpoint_outcome outcome)
{
    switch (outcome) {
    case endpoint_outcome::answered:
        return "answered";
    case endpoint_outcome::failed:
        return "failed";
    case endpoint_outcome::did_not_run:
        return "rejected";
    case endpoint_outcome::broken:
        return "broken";
    case endpoint_outcome::unreachable:
        return "unreachable";
    }
    return "unknown";
}

bool endpoint_health::report(endpoint_outcome outcome, time_point now, const health_options &options)
{
    // An endpoint that does not run a request indicates load, not poor health.
    if (outcome == endpoint_outcome::did_not_run) {
        return false;
    }
    const bool isFailure = outcome != endpoint_outcome::answered;
    m_failureShare += options.smoothing * ((isFailure ? 1.0 : 0.0) - m_failureShare);
    if (outcome == endpoint_outcome::answered) {
        m_suspension = {};
        m_suspendedUntil = {};
        return false;
    }
    // Concurrent requests fail together when an endpoint becomes unreachable, so failures during a suspension don't extend it.
    if (outcome != endpoint_outcome::unreachable || isSuspended(now)) {
        return false;
    }
    m_suspension = m_suspension == duration{} ? options.initialSuspension : std::min(options.maxSuspension, 2 * m_suspension);
    m_suspendedUntil = now + m_suspension;
    return true;
}

bool endpoint_health::isSuspended(time_point now) const
{
    return now < m_suspendedUntil;
}

double endpoint_health::failureShare() const
{
    return m_failureShare;
}

bool endpoint_health::isFailing(const health_options &options) const
{
    return m_failureShare > options.failingThreshold;
}

bool endpoint_roster::isOutdated(const endpoint_record &record, const std::optional<log_position> &place) const
{
    const auto last = m_lastRecords.find(record.id);
    return last != m_lastRecords.end() && wisteriashunt::isOutdated(record, place, last->second);
}

void endpoint_roster::evictOldestRemovedRecord(const std::string &exceptId)
{
    // Late copies of a record arrive within minutes. By the time that this many others have been removed, none is expected any more.
    constexpr std::size_t maxRemovedRecords = 1000;
    if (m_lastRecords.size() <= m_endpoints.size() + maxRemovedRecords) {
        return;
    }
    auto oldest = m_lastRecords.end();
    for (auto each = m_lastRecords.begin(); each != m_lastRecords.end(); ++each) {
        const bool isRemoved = each->first != exceptId && !m_endpoints.contains(each->first);
        if (isRemoved && (oldest == m_lastRecords.end() || each->second.startedAtMilliseconds < oldest->second.startedAtMilliseconds)) {
            oldest = each;
        }
    }
    if (oldest != m_lastRecords.end()) {
        m_lastRecords.erase(oldest);
    }
}

bool endpoint_roster::apply(const endpoint_record &newest, const std::optional<log_position> &place)
{
    if (isOutdated(newest, place)) {
        return false;
    }
    auto &last = m_lastRecords[newest.id];
    auto record = newest;
    record.isDraining = newest.isDraining || (last.isDraining && isSameIncarnation(newest, last));
    const bool isDrainingByEarlierRecord = record.isDraining && !newest.isDraining;
    last = {.startedAtMilliseconds = record.startedAtMilliseconds, .sequence = record.sequence, .isDraining = record.isDraining, .place = place};
    evictOldestRemovedRecord(record.id);
    const auto position = m_endpoints.find(record.id);
    if (position != m_endpoints.end()) {
        position->second->isDrainingByEarlierRecord = isDrainingByEarlierRecord;
    }
    if (position != m_endpoints.end()) {
        const auto known = position->second;
        auto unchanged = known->record;
        unchanged.sequence = record.sequence;
        if (unchanged == record) {
            known->record.sequence = record.sequence;
            return false;
        }
        const bool isSameIncarnation = known->record.startedAtMilliseconds == record.startedAtMilliseconds && known->record.address == record.address
            && known->record.service == record.service;
        if (isSameIncarnation) {
            const bool beginsDraining = record.isDraining && !known->record.isDraining;
            known->record = record;
            if (beginsDraining) {
                onUnavailable(known);
            }
            return true;
        }
        unlink(known);
    }
    const auto endpoint = std::make_shared<listed_endpoint>(
        listed_endpoint{.record = record, .isDrainingByEarlierRecord = isDrainingByEarlierRecord, .orderKey = mixBits(hashText(record.id))});
    takeNotice(*endpoint);
    m_endpoints[record.id] = endpoint;
    auto &service = m_services[record.service];
    const auto insertPosition = std::lower_bound(
        service.begin(), service.end(), endpoint, [](const endpoint_pointer &left, const endpoint_pointer &right) { return left->orderKey < right->orderKey; });
    service.insert(insertPosition, endpoint);
    return true;
}

bool endpoint_roster::mayBeLive(const endpoint_record &record) const
{
    const auto last = m_lastRecords.find(record.id);
    return last != m_lastRecords.end() && wisteriashunt::mayBeLive(record, last->second);
}

void endpoint_roster::readmit(const endpoint_record &record, const std::optional<log_position> &place)
{
    m_lastRecords.erase(record.id);
    apply(record, place);
}

void endpoint_roster::noteRemoved(const std::string &id)
{
    if (const auto last = m_lastRecords.find(id); last != m_lastRecords.end()) {
        last->second.isRemoved = true;
    }
}

bool endpoint_roster::remove(const std::string &id)
{
    noteRemoved(id);
    const auto position = m_endpoints.find(id);
    if (position == m_endpoints.end()) {
        return false;
    }
    const auto endpoint = position->second;
    unlink(endpoint);
    m_endpoints.erase(id);
    return true;
}

void endpoint_roster::takeNotice(listed_endpoint &endpoint) const
{
    endpoint.notice = m_notices.of(endpoint.incarnation());
}

bool endpoint_roster::noteLeaving(const endpoint_incarnation &incarnation, time_point now)
{
    if (!m_notices.noteLeaving(incarnation, now)) {
        return false;
    }
    if (const auto endpoint = find(incarnation.id); endpoint != nullptr && endpoint->incarnation() == incarnation) {
        takeNotice(*endpoint);
        onUnavailable(endpoint);
    }
    return true;
}

bool endpoint_roster::notePause(const endpoint_incarnation &incarnation, duration pause, time_point now)
{
    if (!m_notices.notePause(incarnation, pause, now)) {
        return false;
    }
    if (const auto endpoint = find(incarnation.id); endpoint != nullptr && endpoint->incarnation() == incarnation) {
        takeNotice(*endpoint);
    }
    return true;
}

std::vector<endpoint_incarnation> endpoint_roster::unlistedLeaving() const
{
    std::vector<endpoint_incarnation> leaving;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (endpoint->isDrainingByEarlierRecord || (endpoint->notice.isLeaving && !endpoint->record.isDraining)) {
            leaving.push_back(endpoint->incarnation());
        }
    }
    return leaving;
}

std::size_t endpoint_roster::pausedEndpoints(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_endpoints.begin(), m_endpoints.end(), [now](const auto &each) { return each.second->notice.isPaused(now); }));
}

endpoint_pointer endpoint_roster::atAddress(const socket_address &address, const std::string &excludedId) const
{
    endpoint_pointer newest;
    for (const auto &[id, endpoint] : m_endpoints) {
        const bool isNewer = newest == nullptr || endpoint->record.startedAtMilliseconds > newest->record.startedAtMilliseconds;
        if (id != excludedId && endpoint->record.address == address && isNewer) {
            newest = endpoint;
        }
    }
    return newest;
}

void endpoint_roster::unlink(const endpoint_pointer &endpoint)
{
    std::erase(m_services[endpoint->record.service], endpoint);
    endpoint->isRemoved = true;
    onUnavailable(endpoint);
}

const std::vector<endpoint_pointer> &endpoint_roster::ofService(const std::string &service) const
{
    static const std::vector<endpoint_pointer> none;
    const auto position = m_services.find(service);
    return position == m_services.end() ? none : position->second;
}

endpoint_pointer endpoint_roster::find(const std::string &id) const
{
    const auto position = m_endpoints.find(id);
    return position == m_endpoints.end() ? nullptr : position->second;
}

std::size_t endpoint_roster::size() const
{
    return m_endpoints.size();
}

} // namespace wisteriashunt

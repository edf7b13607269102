#include "membership/endpoint_roster.h"

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
    case endpoint_outcome::rejected:
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
    // A rejection tells of load, not of health.
    if (outcome == endpoint_outcome::rejected) {
        return false;
    }
    const bool isFailure = outcome != endpoint_outcome::answered;
    m_failureShare += options.smoothing * ((isFailure ? 1.0 : 0.0) - m_failureShare);
    if (outcome == endpoint_outcome::answered) {
        m_suspension = {};
        m_suspendedUntil = {};
        return false;
    }
    // Requests that were under way together fail together; they count as one.
    if (outcome != endpoint_outcome::unreachable || isSuspended(now)) {
        return false;
    }
    m_suspension = m_suspension == duration{} ? options.firstSuspension : std::min(options.longestSuspension, 2 * m_suspension);
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
    return m_failureShare > options.failingShare;
}

bool endpoint_roster::isOutdated(const endpoint_record &record) const
{
    const auto last = m_lastEntries.find(record.id);
    if (last == m_lastEntries.end()) {
        return false;
    }
    return std::pair(record.bornMilliseconds, record.sequence) <= std::pair(last->second.bornMilliseconds, last->second.sequence);
}

void endpoint_roster::dropOldestEntry(const std::string &exceptId)
{
    // Late copies of an entry come within minutes; this many others have come and gone since.
    constexpr std::size_t mostGone = 1000;
    if (m_lastEntries.size() <= m_endpoints.size() + mostGone) {
        return;
    }
    auto oldest = m_lastEntries.end();
    for (auto each = m_lastEntries.begin(); each != m_lastEntries.end(); ++each) {
        const bool isGone = each->first != exceptId && !m_endpoints.contains(each->first);
        if (isGone && (oldest == m_lastEntries.end() || each->second.bornMilliseconds < oldest->second.bornMilliseconds)) {
            oldest = each;
        }
    }
    if (oldest != m_lastEntries.end()) {
        m_lastEntries.erase(oldest);
    }
}

bool endpoint_roster::apply(const endpoint_record &record)
{
    if (isOutdated(record)) {
        return false;
    }
    m_lastEntries[record.id] = {.bornMilliseconds = record.bornMilliseconds, .sequence = record.sequence};
    dropOldestEntry(record.id);
    const auto position = m_endpoints.find(record.id);
    if (position != m_endpoints.end()) {
        const auto known = position->second;
        auto unchanged = known->record;
        unchanged.sequence = record.sequence;
        if (unchanged == record) {
            known->record.sequence = record.sequence;
            return false;
        }
        const bool isSameIncarnation =
            known->record.bornMilliseconds == record.bornMilliseconds && known->record.address == record.address && known->record.service == record.service;
        if (isSameIncarnation) {
            const bool beginsToLeave = record.isDraining && !known->record.isDraining;
            known->record = record;
            if (beginsToLeave) {
                onLeft(known);
            }
            return true;
        }
        unlink(known);
    }
    const auto endpoint = std::make_shared<listed_endpoint>(listed_endpoint{.record = record});
    m_endpoints[record.id] = endpoint;
    auto &service = m_services[record.service];
    const auto place = std::lower_bound(service.begin(), service.end(), endpoint, [](const endpoint_pointer &left, const endpoint_pointer &right) {
        return left->record.id < right->record.id;
    });
    service.insert(place, endpoint);
    return true;
}

bool endpoint_roster::remove(const std::string &id)
{
    const auto position = m_endpoints.find(id);
    if (position == m_endpoints.end()) {
        return false;
    }
    const auto endpoint = position->second;
    unlink(endpoint);
    m_endpoints.erase(id);
    return true;
}

void endpoint_roster::unlink(const endpoint_pointer &endpoint)
{
    std::erase(m_services[endpoint->record.service], endpoint);
    endpoint->isGone = true;
    onLeft(endpoint);
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

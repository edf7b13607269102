// Placement of requests: the endpoints at which a waiting request holds reservations.
#include "request/entry_core.h"

#include <algorithm>
#include <utility>

namespace wisteriashunt
{

bool entry_core::mayServe(const request &current, const std::string &endpointName) const
{
    const auto declared = m_configuration.classes.find(current.routed.className);
    if (declared == m_configuration.classes.end() || current.excludedEndpoints.contains(endpointName) || !m_directory.isUsable(m_now, endpointName)) {
        return false;
    }
    const auto &allowed = declared->second.value.endpoints;
    if (std::find(allowed.begin(), allowed.end(), endpointName) == allowed.end()) {
        return false;
    }
    // Only an endpoint that can resume may continue an answer of which a part was forwarded.
    if (current.forwarded == 0) {
        return true;
    }
    const auto resource = m_configuration.endpoints.find(endpointName);
    return resource != m_configuration.endpoints.end() && resource->second.value.resumes;
}

std::vector<rank_candidate> entry_core::candidatesFor(const request &current) const
{
    std::vector<rank_candidate> candidates;
    const auto declared = m_configuration.classes.find(current.routed.className);
    if (declared == m_configuration.classes.end()) {
        return candidates;
    }
    for (const auto &name : declared->second.value.endpoints) {
        if (mayServe(current, name)) {
            const heartbeat &load = m_directory.find(name)->load;
            candidates.push_back({.name = name, .running = load.running, .limit = load.limit});
        }
    }
    return candidates;
}

void entry_core::place(request &current)
{
    current.state = request_state::waiting;
    current.boundEndpoint.clear();
    current.reservedAt.clear();
    current.overloadedAt.clear();
    current.planned = m_ranker.rank(candidatesFor(current), current.routed.prefixHash);
    if (current.planned.empty()) {
        failRequest(current);
        return;
    }
    if (m_options.reservationSample > 0 && current.planned.size() > m_options.reservationSample) {
        current.planned.resize(m_options.reservationSample);
    }
    // Only the best endpoint gets a reservation at first. If it has a free slot, no messages to other endpoints are needed.
    const std::string first = current.planned.front();
    current.planned.erase(current.planned.begin());
    reserveAt(current, first);
}

void entry_core::reserveAt(request &current, const std::string &endpointName)
{
    // The wait of a retry starts at 0, since the retry budget has granted it.
    const duration waited = current.attempt == 1 ? m_now - current.arrivedAt : duration::zero();
    current.reservedAt.insert(endpointName);
    m_ranker.onReserved(endpointName);
    send(endpointName,
         reserve{.id = attemptOf(current),
                 .className = current.routed.className,
                 .workspaceName = current.routed.workspaceName,
                 .waitedMicroseconds = waited.count(),
                 .promptTokens = current.routed.promptTokens,
                 .idempotent = current.routed.idempotent});
}

void entry_core::reserveAtRemaining(request &current)
{
    if (current.planned.empty()) {
        return;
    }
    for (const auto &name : std::exchange(current.planned, {})) {
        if (mayServe(current, name)) {
            reserveAt(current, name);
        }
    }
    recordDecision(event_number::reservations_placed, current, std::to_string(current.reservedAt.size()));
}

void entry_core::extendReservations(const std::string &endpointName)
{
    for (auto &[id, current] : m_requests) {
        const bool isComplete = m_options.reservationSample > 0 && current.reservedAt.size() >= m_options.reservationSample;
        const bool isPlanned = std::find(current.planned.begin(), current.planned.end(), endpointName) != current.planned.end();
        if (current.state == request_state::waiting && !isComplete && !isPlanned && !current.reservedAt.contains(endpointName)
            && mayServe(current, endpointName)) {
            reserveAt(current, endpointName);
        }
    }
}

void entry_core::dropReservation(request &current, const std::string &endpointName)
{
    if (current.reservedAt.erase(endpointName) > 0) {
        failIfNoEndpointCanStart(current);
    }
}

void entry_core::failIfNoEndpointCanStart(request &current)
{
    const auto hasNoStartableEndpoint = [&current] {
        return std::includes(current.overloadedAt.begin(), current.overloadedAt.end(), current.reservedAt.begin(), current.reservedAt.end());
    };
    if (hasNoStartableEndpoint()) {
        reserveAtRemaining(current);
    }
    if (hasNoStartableEndpoint()) {
        failRequest(current);
    }
}

void entry_core::withdrawAll(request &current, withdraw_reason reason, const std::string &except)
{
    for (const auto &name : std::exchange(current.reservedAt, {})) {
        if (name != except) {
            send(name, withdraw{.id = attemptOf(current), .reason = static_cast<std::uint8_t>(reason)});
        }
    }
    current.planned.clear();
}

} // namespace wisteriashunt

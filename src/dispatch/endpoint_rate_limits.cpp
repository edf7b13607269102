#include "dispatch/endpoint_rate_limits.h"

#include "membership/hash.h"

#include <algorithm>
#include <cmath>

namespace wisteriashunt
{

namespace
{

/// Time constant of the moving average of an entry's demand.
constexpr double demandTimeConstantSeconds = 2;

/// Demand below this many requests per second is not reported.
constexpr double minReportedDemand = 0.01;

/// Time for which the arrival of a more urgent request keeps fresh permits from less urgent ones.
constexpr std::chrono::seconds urgentDemandLifetime{1};

/// Time after the last observation for which a withdrawn limit, or that of an unlisted endpoint, is kept and reported to peers.
constexpr std::chrono::seconds unusedStateLifetime{10};

/// Number between 0 and 1 that differs between entries and endpoints.
double phaseOf(std::uint64_t entryKey, const std::string &endpointId)
{
    constexpr double range = 18446744073709551616.0;
    return static_cast<double>(mixBits(entryKey ^ hashText(endpointId))) / range;
}

} // namespace

endpoint_rate_limits::endpoint_rate_limits(const endpoint_rate_limit_options &options)
    : m_options(options)
    , m_census(options.census)
{
}

endpoint_rate_limits::endpoint_state *endpoint_rate_limits::limitedState(const endpoint_record &endpoint)
{
    const auto known = m_endpoints.find(endpoint.id);
    const bool isLimited =
        known != m_endpoints.end() && known->second.startedAtMilliseconds == endpoint.startedAtMilliseconds && known->second.perSecond.has_value();
    return isLimited ? &known->second : nullptr;
}

std::optional<rate_limit_change> endpoint_rate_limits::apply(const rate_limit_notice &observed, time_point now)
{
    auto &state = m_endpoints[observed.endpointId];
    if (state.startedAtMilliseconds != observed.startedAtMilliseconds) {
        state = {};
    }
    if (state.perSecond && state.perSecond == observed.perSecond) {
        state.observedAt = now - observed.age;
        return std::nullopt;
    }
    if (!state.perSecond) {
        // Permits of the time before the limit would let all entries send at once.
        state.permits = phaseOf(m_options.entryKey, observed.endpointId);
        state.accruedAt = now;
    }
    accrue(state, now);
    const rate_limit_change change{.endpointId = observed.endpointId,
                                   .before = state.perSecond,
                                   .after = observed.perSecond,
                                   .age = state.observedAt == time_point{} ? duration{} : now - state.observedAt};
    state.service = observed.service;
    state.startedAtMilliseconds = observed.startedAtMilliseconds;
    state.perSecond = observed.perSecond;
    state.observedAt = now - observed.age;
    return change.before == change.after ? std::nullopt : std::optional(change);
}

std::optional<rate_limit_change>
endpoint_rate_limits::onAnswer(const endpoint_record &endpoint, std::optional<double> perSecond, time_point sentAt, time_point now)
{
    // The answer was written at some time between the sending of its request and now. The age makes sure that, of two observations whose
    // order is unknown, the one with a limit holds.
    const rate_limit_notice observed{.endpointId = endpoint.id,
                                     .service = endpoint.service,
                                     .startedAtMilliseconds = endpoint.startedAtMilliseconds,
                                     .perSecond = perSecond,
                                     .age = perSecond ? duration{} : now - sentAt};
    const auto known = m_endpoints.find(endpoint.id);
    if (known == m_endpoints.end() || known->second.startedAtMilliseconds < endpoint.startedAtMilliseconds) {
        return perSecond ? apply(observed, now) : std::nullopt;
    }
    const auto &state = known->second;
    if (state.startedAtMilliseconds > endpoint.startedAtMilliseconds) {
        return std::nullopt;
    }
    const bool isLower = perSecond && (!state.perSecond || *perSecond < *state.perSecond);
    return sentAt < state.observedAt && !isLower ? std::nullopt : apply(observed, now);
}

void endpoint_rate_limits::onArrival(const std::string &service, int rank, time_point now)
{
    auto &demand = m_demand[service];
    demand.perSecond = ownDemand(service, now) + 1 / demandTimeConstantSeconds;
    demand.at = now;
    demand.arrivals[rank] = now;
}

void endpoint_rate_limits::onSent(const endpoint_record &endpoint, time_point now)
{
    auto *state = limitedState(endpoint);
    if (state == nullptr) {
        return;
    }
    accrue(*state, now);
    state->permits -= 1;
    state->sent.push_back(now);
}

double endpoint_rate_limits::ownDemand(const std::string &service, time_point now) const
{
    const auto demand = m_demand.find(service);
    return demand == m_demand.end() ? 0 : demand->second.perSecond * std::exp(-toSeconds(now - demand->second.at) / demandTimeConstantSeconds);
}

double endpoint_rate_limits::shareOf(const std::string &service, time_point now) const
{
    const double even = 1 / static_cast<double>(m_census.entries(now));
    if (!m_census.knowsPeers(now)) {
        return even;
    }
    const double own = ownDemand(service, now);
    double total = own;
    for (const auto &[name, peer] : m_peers) {
        if (m_census.isCounted(name, now)) {
            // A peer that has not learnt of the limit yet reports no demand.
            const auto demand = peer.demand.find(service);
            total += demand == peer.demand.end() ? own : demand->second;
        }
    }
    return m_options.evenShare * even + (1 - m_options.evenShare) * (total > 0 ? own / total : even);
}

double endpoint_rate_limits::permitsPerSecond(const endpoint_state &state, time_point now) const
{
    return shareOf(state.service, now) * std::max(*state.perSecond, m_options.minPerSecond);
}

void endpoint_rate_limits::accrue(endpoint_state &state, time_point now) const
{
    if (state.perSecond) {
        const double rate = permitsPerSecond(state, now);
        // Permits that accrued within permitLifetime remain; earlier ones have expired, each as a whole.
        const double kept = rate * toSeconds(m_options.permitLifetime);
        state.permits += rate * toSeconds(now - state.accruedAt);
        if (state.permits >= 1 + kept) {
            state.permits = kept + std::fmod(state.permits - kept, 1);
        }
    }
    state.accruedAt = now;
}

bool endpoint_rate_limits::isWindowFull(const std::string &endpointId, endpoint_state &state, time_point now) const
{
    while (!state.sent.empty() && now - state.sent.front() >= m_options.window) {
        state.sent.pop_front();
    }
    auto sent = static_cast<double>(state.sent.size());
    for (const auto &[name, peer] : m_peers) {
        const auto usage = peer.usage.find(endpointId);
        if (usage != peer.usage.end() && now - usage->second.reportedAt < m_options.window) {
            sent += static_cast<double>(usage->second.sent);
        }
    }
    return sent > std::max(*state.perSecond, m_options.minPerSecond) * toSeconds(m_options.window);
}

bool endpoint_rate_limits::hasMoreUrgentDemand(const std::string &service, int rank, time_point now) const
{
    const auto demand = m_demand.find(service);
    return demand != m_demand.end() && std::any_of(demand->second.arrivals.begin(), demand->second.arrivals.lower_bound(rank), [&](const auto &arrival) {
               return now - arrival.second < urgentDemandLifetime;
           });
}

bool endpoint_rate_limits::hasPermit(const endpoint_record &endpoint, int rank, time_point now)
{
    auto *state = limitedState(endpoint);
    if (state == nullptr) {
        return true;
    }
    accrue(*state, now);
    const double reserved = permitsPerSecond(*state, now) * toSeconds(m_options.permitLifetime) * m_options.reservedLifetimeShare;
    const double needed = hasMoreUrgentDemand(endpoint.service, rank, now) ? 1 + reserved : 1;
    return state->permits >= needed && !isWindowFull(endpoint.id, *state, now);
}

duration endpoint_rate_limits::timeToPermit(const endpoint_record &endpoint, time_point now)
{
    auto *state = limitedState(endpoint);
    if (state == nullptr) {
        return {};
    }
    accrue(*state, now);
    return fromSeconds(std::max(0.0, 1 - state->permits) / permitsPerSecond(*state, now));
}

std::optional<double> endpoint_rate_limits::limitOf(const endpoint_record &endpoint) const
{
    const auto known = m_endpoints.find(endpoint.id);
    const bool isKnown = known != m_endpoints.end() && known->second.startedAtMilliseconds == endpoint.startedAtMilliseconds;
    return isKnown ? known->second.perSecond : std::nullopt;
}

std::size_t endpoint_rate_limits::limitedEndpoints() const
{
    return static_cast<std::size_t>(std::count_if(m_endpoints.begin(), m_endpoints.end(), [](const auto &each) { return each.second.perSecond.has_value(); }));
}

rate_limit_digest endpoint_rate_limits::digest(const endpoint_roster &roster, time_point now)
{
    std::erase_if(m_endpoints, [&](const auto &each) {
        return now - each.second.observedAt > unusedStateLifetime && (!each.second.perSecond || roster.find(each.first) == nullptr);
    });
    m_census.discardOutdated(now);
    std::erase_if(m_peers, [&](const auto &peer) { return !m_census.isCounted(peer.first, now); });
    rate_limit_digest result;
    const std::size_t count = std::min(m_options.maxNotices, m_endpoints.size());
    auto next = m_endpoints.upper_bound(m_lastNoticed);
    for (std::size_t i = 0; i < count; ++i, ++next) {
        next = next == m_endpoints.end() ? m_endpoints.begin() : next;
        auto &[id, state] = *next;
        std::erase_if(state.sent, [&](time_point sentAt) { return now - sentAt >= m_options.window; });
        result.notices.push_back({.endpointId = id,
                                  .service = state.service,
                                  .startedAtMilliseconds = state.startedAtMilliseconds,
                                  .perSecond = state.perSecond,
                                  .age = now - state.observedAt,
                                  .sent = static_cast<std::int64_t>(state.sent.size())});
        m_lastNoticed = id;
    }
    for (const auto &[id, state] : m_endpoints) {
        if (const double demand = ownDemand(state.service, now); demand >= minReportedDemand) {
            result.demand[state.service] = demand;
        }
    }
    return result;
}

std::vector<rate_limit_change> endpoint_rate_limits::onPeerDigest(const std::string &peer, const rate_limit_digest &digest, time_point now)
{
    m_census.onHeard(peer, now);
    auto &known = m_peers[peer];
    known.demand = digest.demand;
    std::erase_if(known.usage, [&](const auto &usage) { return now - usage.second.reportedAt >= m_options.window; });
    std::vector<rate_limit_change> changes;
    for (const auto &notice : digest.notices) {
        known.usage[notice.endpointId] = {.sent = notice.sent, .reportedAt = now};
        const auto position = m_endpoints.find(notice.endpointId);
        const bool isKnown = position != m_endpoints.end() && position->second.startedAtMilliseconds == notice.startedAtMilliseconds;
        const bool isOlderIncarnation = position != m_endpoints.end() && position->second.startedAtMilliseconds > notice.startedAtMilliseconds;
        const bool isNews = isKnown ? now - notice.age > position->second.observedAt : notice.perSecond.has_value();
        if (isOlderIncarnation || !isNews) {
            continue;
        }
        if (auto change = apply(notice, now)) {
            changes.push_back(std::move(*change));
        }
    }
    return changes;
}

} // namespace wisteriashunt

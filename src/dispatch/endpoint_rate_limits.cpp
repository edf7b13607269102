#include "dispatch/endpoint_rate_limits.h"

#include <algorithm>

namespace wisteriashunt
{

std::optional<rate_limit_change>
endpoint_rate_limits::onAnswer(const endpoint_record &endpoint, std::optional<double> perSecond, time_point sentAt, time_point now)
{
    const auto known = m_endpoints.find(endpoint.id);
    const bool isKnown = known != m_endpoints.end() && known->second.startedAtMilliseconds == endpoint.startedAtMilliseconds;
    if (!isKnown) {
        const bool isOlderIncarnation = known != m_endpoints.end() && known->second.startedAtMilliseconds > endpoint.startedAtMilliseconds;
        if (!perSecond || isOlderIncarnation) {
            return std::nullopt;
        }
        m_endpoints[endpoint.id] = {.startedAtMilliseconds = endpoint.startedAtMilliseconds, .perSecond = perSecond, .observedAt = now};
        return rate_limit_change{.after = perSecond};
    }
    auto &state = known->second;
    const bool isLower = perSecond && (!state.perSecond || *perSecond < *state.perSecond);
    if (sentAt < state.observedAt && !isLower) {
        return std::nullopt;
    }
    const rate_limit_change change{.before = state.perSecond, .after = perSecond, .age = now - state.observedAt};
    state.perSecond = perSecond;
    state.observedAt = now;
    return change.before == change.after ? std::nullopt : std::optional(change);
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

} // namespace wisteriashunt

/// Limits on requests per second that endpoints declare in their answers. A limit holds for the requests of all entries together, for as long
/// as the endpoint declares it.
#pragma once

#include "membership/endpoint_roster.h"
#include "wisteriashunt/time.h"

#include <map>
#include <optional>
#include <string>

namespace wisteriashunt
{

/// A change of the limit that an endpoint is known to declare; nullopt is none.
struct rate_limit_change
{
    std::optional<double> before;
    std::optional<double> after;
    /// Time since what held before was last observed; zero if nothing was known.
    duration age{};

    bool operator==(const rate_limit_change &) const = default;
};

/// Knows the limits that endpoints declare. Not thread-safe.
class endpoint_rate_limits
{
public:
    /// Records what an answer of the endpoint declares. sentAt: when the request that it answers was sent. An answer to a request that was sent
    /// before the newest observation may be older than it, and may then only lower a limit.
    std::optional<rate_limit_change> onAnswer(const endpoint_record &endpoint, std::optional<double> perSecond, time_point sentAt, time_point now);

    /// Returns the limit of the endpoint's current incarnation, if one is known.
    [[nodiscard]] std::optional<double> limitOf(const endpoint_record &endpoint) const;
    /// Returns the number of endpoints with a limit.
    [[nodiscard]] std::size_t limitedEndpoints() const;

private:
    struct endpoint_state
    {
        /// Identifies the incarnation; see endpoint_record.
        std::int64_t startedAtMilliseconds = 0;
        /// Requests per second; nullopt after the endpoint has withdrawn its limit.
        std::optional<double> perSecond;
        time_point observedAt;
    };

    std::map<std::string, endpoint_state> m_endpoints;
};

} // namespace wisteriashunt

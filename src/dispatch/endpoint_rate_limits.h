/// Limits on requests per second that endpoints declare in their answers. A limit holds for the requests of all entries together, for as long
/// as the endpoint declares it.
///
/// Entries divide a limit without agreeing on each request. The share of an entry follows its part of the demand, as digests report it, and
/// permits to send accrue at that share of the limit. Permits of different entries accrue at different moments and expire if they are not used,
/// so that many entries with small shares cannot send at the same time. As a second bound, digests report what each entry has sent, and no
/// entry sends if the requests of all of them have reached the limit.
#pragma once

#include "dispatch/entry_census.h"
#include "membership/endpoint_roster.h"
#include "wisteriashunt/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// A change of the limit that an endpoint is known to declare; nullopt is none.
struct rate_limit_change
{
    std::string endpointId;
    std::optional<double> before;
    std::optional<double> after;
    /// Time since what held before was last observed; zero if nothing was known.
    duration age{};

    bool operator==(const rate_limit_change &) const = default;
};

/// What an entry tells its peers of one endpoint's limit.
struct rate_limit_notice
{
    std::string endpointId;
    std::string service;
    /// Identifies the incarnation; see endpoint_record.
    std::int64_t startedAtMilliseconds = 0;
    /// Requests per second; nullopt if the endpoint has withdrawn its limit.
    std::optional<double> perSecond;
    /// Time since an answer declared it.
    duration age{};
    /// Requests that the entry has sent to the endpoint within endpoint_rate_limit_options::window.
    std::int64_t sent = 0;

    bool operator==(const rate_limit_notice &) const = default;
};

/// Part of a digest between entries that concerns limits.
struct rate_limit_digest
{
    std::vector<rate_limit_notice> notices;
    /// The entry's requests per second for services with limited endpoints.
    std::map<std::string, double> demand;

    bool operator==(const rate_limit_digest &) const = default;
};

/// Settings of endpoint_rate_limits.
struct endpoint_rate_limit_options
{
    /// Differs between entries. Spreads the moments at which their permits become available.
    std::uint64_t entryKey = 0;
    /// Time after which an unused permit expires.
    duration permitLifetime = std::chrono::seconds(1);
    /// Share of permitLifetime in which a permit is for the most urgent requests only, if there have been any recently.
    double reservedLifetimeShare = 0.8;
    /// Span within which the requests of all entries are held to the limit.
    duration window = std::chrono::seconds(4);
    /// Share of a limit that is divided evenly, so that an entry whose demand rises has permits at once. The rest follows the demand.
    double evenShare = 0.25;
    entry_census_options census;
    /// Least rate at which a limited endpoint gets requests. An endpoint that gets none cannot withdraw its limit.
    double minPerSecond = 0.2;
    /// Most notices per digest. With more limited endpoints, digests carry them by turns.
    std::size_t maxNotices = 16;
};

/// Knows the limits that endpoints declare, and decides which requests of this entry they leave room for. Not thread-safe.
class endpoint_rate_limits
{
public:
    explicit endpoint_rate_limits(const endpoint_rate_limit_options &options = {});

    /// Records what an answer of the endpoint declares. sentAt: when the request that it answers was sent. An answer to a request that was sent
    /// before the newest observation may be older than it, and may then only lower a limit.
    std::optional<rate_limit_change> onAnswer(const endpoint_record &endpoint, std::optional<double> perSecond, time_point sentAt, time_point now);

    /// Records that a caller's request for the service has arrived.
    void onArrival(const std::string &service, int rank, time_point now);
    /// Records that a request was sent to the endpoint, which uses a permit if it has a limit.
    void onSent(const endpoint_record &endpoint, time_point now);

    /// Returns whether a request of the rank may be sent to the endpoint. If more urgent requests for its service have arrived recently, the
    /// request may only use permits that they have left; see endpoint_rate_limit_options::reservedLifetimeShare.
    [[nodiscard]] bool hasPermit(const endpoint_record &endpoint, int rank, time_point now);
    /// Returns the time until the endpoint has a permit for this entry's most urgent requests; zero if it has one or declares no limit.
    [[nodiscard]] duration timeToPermit(const endpoint_record &endpoint, time_point now);

    /// Returns the limit of the endpoint's current incarnation, if one is known.
    [[nodiscard]] std::optional<double> limitOf(const endpoint_record &endpoint) const;
    /// Returns the entries that share limits.
    [[nodiscard]] const entry_census &census() const
    {
        return m_census;
    }
    /// Returns the number of endpoints with a limit.
    [[nodiscard]] std::size_t limitedEndpoints() const;

    /// Returns what peers are to be told. Also discards withdrawn limits and those of endpoints that the roster no longer lists.
    [[nodiscard]] rate_limit_digest digest(const endpoint_roster &roster, time_point now);
    /// Records a peer's digest, which may be empty. Returns the changes that this entry learns of by it.
    std::vector<rate_limit_change> onPeerDigest(const std::string &peer, const rate_limit_digest &digest, time_point now);

private:
    struct endpoint_state
    {
        std::string service;
        std::int64_t startedAtMilliseconds = 0;
        /// Requests per second; nullopt after the endpoint has withdrawn its limit.
        std::optional<double> perSecond;
        time_point observedAt;
        /// Permits of this entry, up to accruedAt; one may be used from 1 on.
        double permits = 0;
        time_point accruedAt;
        /// When this entry sent requests, within the window.
        std::deque<time_point> sent;
    };
    /// What a peer reported of an endpoint's requests.
    struct peer_usage
    {
        std::int64_t sent = 0;
        time_point reportedAt;
    };
    struct peer_state
    {
        std::map<std::string, double> demand;
        std::map<std::string, peer_usage> usage;
    };
    struct service_demand
    {
        double perSecond = 0;
        time_point at;
        /// Last arrival by rank.
        std::map<int, time_point> arrivals;
    };

    /// Returns the state of the endpoint's incarnation if it has a limit, nullptr otherwise.
    [[nodiscard]] endpoint_state *limitedState(const endpoint_record &endpoint);
    /// Applies an observation that is newer than what was known. Returns the change, if it is one.
    std::optional<rate_limit_change> apply(const rate_limit_notice &observed, time_point now);
    /// Returns this entry's permits per second for a limited endpoint.
    [[nodiscard]] double permitsPerSecond(const endpoint_state &state, time_point now) const;
    void accrue(endpoint_state &state, time_point now) const;
    [[nodiscard]] double ownDemand(const std::string &service, time_point now) const;
    /// Returns this entry's share of the limits of a service's endpoints.
    [[nodiscard]] double shareOf(const std::string &service, time_point now) const;
    [[nodiscard]] bool isWindowFull(const std::string &endpointId, endpoint_state &state, time_point now) const;
    [[nodiscard]] bool hasMoreUrgentDemand(const std::string &service, int rank, time_point now) const;

    endpoint_rate_limit_options m_options;
    std::map<std::string, endpoint_state> m_endpoints;
    entry_census m_census;
    std::map<std::string, peer_state> m_peers;
    std::map<std::string, service_demand> m_demand;
    /// The last endpoint in the newest digest, after which the next one continues.
    std::string m_lastNoticed;
};

} // namespace wisteriashunt

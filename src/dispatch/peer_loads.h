/// Loads that peers have reported, summed by endpoint.
///
/// The sums are kept up to date as digests arrive and expire, so that a placement, which looks at the load of every endpoint, does not also
/// look at every peer.
///
/// A peer that falls silent has either ended, and its requests with it, or is cut off, and its requests go on. Its last load is held for
/// as long as it may still be alive, and follows the load of the entries that are heard: demand rarely changes at one of them alone.
#pragma once

#include "dispatch/load_digest.h"
#include "wisteriashunt/time.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace wisteriashunt
{

/// Settings of peer_loads.
struct peer_loads_options
{
    /// Time since its last digest after which a peer counts as silent.
    duration digestLifetime = std::chrono::milliseconds(1000);
    /// See load_tracker_options.
    duration recentTokensDecayTime = std::chrono::milliseconds(300);
    /// Time since its last digest from which a silent peer counts as ended, unless many fell silent or an entry that is heard still names it. Entries
    /// name a peer for peer_exchange_options::peerLifetime after they have heard it.
    duration endedAfter = std::chrono::milliseconds(2500);
    /// Time since its last digest from which a peer counts as ended in any case.
    duration heldAtMost = std::chrono::seconds(15);
    /// Share of the known peers from which on silent ones count as cut off: machines rarely end so many at once, a link that fails cuts off many.
    double cutOffShare = 0.25;
    /// Whether held loads follow the load of the entries that are heard.
    bool followsHeardLoad = true;
};

/// Newest digests of the peers. Not thread-safe. Times that are passed in never decrease.
class peer_loads
{
public:
    explicit peer_loads(const peer_loads_options &options);

    /// Replaces the digest of the peer.
    void onDigest(const std::string &peer, load_digest digest, time_point now);
    /// Removes the digest of the peer.
    void forget(const std::string &peer, time_point now);
    /// Holds the loads of peers that fell silent, and removes those of peers that count as ended. The functions below do not count them from then on.
    void expire(time_point now);
    /// Sets the number of requests that this entry has at endpoints; zero if it is one of the peers.
    void setOwnRequests(int requests);

    /// Adds the load of the endpoint at all peers to the sum, except recentTokens, which is returned.
    [[nodiscard]] double addTo(endpoint_load &sum, const std::string &endpointId, time_point now) const;
    /// Returns endpoint_load::shortPrompts of the endpoint at all peers.
    [[nodiscard]] int shortPromptsAt(const std::string &endpointId) const;
    /// Returns the prompt tokens of short-prompt requests per second at all peers.
    [[nodiscard]] double shortPromptTokensPerSecond(const std::string &service) const;
    /// Returns the sum of all digests, with recentTokens decayed and without placements and limits.
    [[nodiscard]] load_digest sum(time_point now);
    /// Returns the age of the oldest digest that counts; zero if there is none.
    [[nodiscard]] duration oldestAge(time_point now) const;
    /// Returns the number of peers that are heard.
    [[nodiscard]] std::size_t size() const
    {
        return m_peers.size();
    }
    /// Returns the number of silent peers whose load is held.
    [[nodiscard]] std::size_t silentPeers() const
    {
        return m_silent.size();
    }

private:
    struct peer_state
    {
        load_digest digest;
        time_point receivedAt;
        /// When an entry that is heard last named the peer.
        time_point namedAt;
    };
    struct endpoint_sum
    {
        endpoint_load load;
        /// Sum of recentTokens, decayed up to recentAt.
        double recentTokens = 0;
        time_point recentAt;
        /// Number of digests that name the endpoint.
        int digests = 0;
    };
    struct rate_sum
    {
        double tokensPerSecond = 0;
        int digests = 0;
    };
    using peer_map = std::unordered_map<std::string, peer_state>;
    /// Sums over some of the peers.
    struct load_sums
    {
        std::unordered_map<std::string, endpoint_sum> endpoints;
        std::unordered_map<std::string, rate_sum> rates;
        /// Requests at all endpoints.
        int requests = 0;
    };

    /// Adds what a digest reports to the sums, or subtracts it if sign is -1. recentTokens decay with the given age.
    void apply(load_sums &sums, const load_digest &digest, int sign, duration age, time_point now) const;
    void hold(const std::string &peer, time_point now);
    void forgetSilent(peer_map::iterator peer, time_point now);
    [[nodiscard]] bool hasEnded(const peer_state &silent, time_point now) const;
    /// Returns the mean number of requests of this entry and the peers that are heard.
    [[nodiscard]] double meanRequests() const;
    /// Returns the factor by which the load of the entries that are heard has changed since the others fell silent.
    [[nodiscard]] double heldFactor() const;
    /// Keeps heldFactor() as it was before the entries that are heard became others.
    void keepFactor(double before);
    [[nodiscard]] double decayed(double tokens, duration age) const;

    peer_loads_options m_options;
    peer_map m_peers;
    /// Digests by the time at which they were received. Those that were replaced since are still listed.
    std::deque<std::pair<time_point, std::string>> m_received;
    load_sums m_heardSums;
    peer_map m_silent;
    load_sums m_silentSums;
    /// What meanRequests() is compared with.
    double m_meanBefore = 0;
    /// When silent peers were last looked through.
    time_point m_silentCheckedAt;
    int m_ownRequests = 0;
};

} // namespace wisteriashunt

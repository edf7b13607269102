/// What an entry knows of the endpoints: the work of all entries there, the observed speed, and the prompt parts that they have cached.
#pragma once

#include "dispatch/load_digest.h"
#include "dispatch/peer_loads.h"
#include "gateway/wire_dialect.h"
#include "wisteriashunt/time.h"

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace wisteriashunt
{

/// Settings of a load_tracker.
struct load_tracker_options
{
    /// Time after which a peer counts as silent: twice the period in which peers without load send digests (peer_exchange_options::idlePeriod). Its load
    /// is held; see peer_loads.
    duration digestLifetime = std::chrono::milliseconds(1000);
    /// Longest time for which the load of a silent peer counts; digestLifetime if none is to be held.
    duration silentLifetime = peer_loads_options{}.heldAtMost;
    /// Time constant with which endpoint_load::recentTokens decays: about the longest acceptable pause in the stream of a short prompt.
    duration recentTokensDecayTime = std::chrono::milliseconds(300);
    /// Time since its last use for which a shared part is assumed to be cached by an engine. Current engines keep parts longer.
    duration partLifetime = std::chrono::seconds(20);
    /// Weight of the newest observation in an endpoint's slowness.
    double slownessSmoothing = 0.15;
    /// Weight of the newest observation in the slowness of all endpoints of a service.
    double serviceSlownessSmoothing = 0.1;
    /// Time since the last observation of an endpoint after which it is assumed to be as slow as the endpoints of its service recently were. With
    /// many entries and endpoints, an entry observes each endpoint too rarely to learn anything of it alone.
    duration slownessLifetime = std::chrono::seconds(3);
};

/// Work that a request adds at an endpoint.
struct sent_work
{
    std::string endpointId;
    std::int64_t uncachedTokens = 0;
    int rank = 0;
    bool isLongPrompt = false;
};

/// Tracks the work of this entry, and that of its peers as they report it. Not thread-safe.
class load_tracker
{
public:
    explicit load_tracker(const load_tracker_options &options);

    /// Records that a request was sent. Each onSent() must be followed by exactly one onFinished(), with onFirstByte() before it if an
    /// answer began.
    void onSent(const sent_work &work);
    void onFirstByte(const sent_work &work);
    void onFinished(const sent_work &work, bool hadFirstByte);

    /// Records tokens that an engine was sent to prefill.
    void recordPrefill(const std::string &endpointId, std::int64_t tokens, time_point now);
    /// Records that the shared parts of a prompt were sent to an engine, which then has them cached.
    void recordParts(const std::vector<prompt_part> &prompt, const std::string &endpointId, time_point now);
    /// Records the prompt tokens of a short-prompt request.
    void recordShortPrompt(const std::string &service, std::int64_t tokens, time_point now);
    /// Records how long a first byte took in relation to the prediction.
    void recordSlowness(const std::string &endpointId, double ratioToPrediction, time_point now);
    /// The same for a long prompt, whose prediction assumed the given slowness. Also counts for the endpoints of the service of which no long prompt was
    /// observed within slownessLifetime.
    void recordLongPromptSlowness(const std::string &service, const std::string &endpointId, double ratioToPrediction, double assumedSlowness, time_point now);

    /// Returns this entry's own load, to be sent to its peers. Also discards the state of endpoints that are no longer in use.
    [[nodiscard]] load_digest digest(time_point now);
    void onPeerDigest(const std::string &peer, load_digest digest, time_point now);
    /// Records the sum of the loads of entries in other zones, which replaces the previous one. It is held like the load of a silent peer.
    void onRelayedLoad(load_digest digest, time_point now);
    /// Returns the number of entries that are heard, including this one.
    [[nodiscard]] std::size_t liveEntries(time_point now);
    /// Returns the number of peers that are not heard and whose load is held.
    [[nodiscard]] std::size_t silentPeers(time_point now);
    /// Returns the age of the oldest load of a peer that still counts; zero without peers.
    [[nodiscard]] duration oldestPeerLoadAge(time_point now) const
    {
        return std::max(m_peers.oldestAge(now), m_otherZones.oldestAge(now));
    }

    /// Returns the load of an endpoint, summed over all entries.
    [[nodiscard]] endpoint_load loadOf(const std::string &endpointId, time_point now);
    /// Returns endpoint_load::shortPrompts of the same load.
    [[nodiscard]] int shortPromptsAt(const std::string &endpointId, time_point now);
    /// Returns the factor by which first bytes of the endpoint take longer than predicted.
    [[nodiscard]] double slownessOf(const std::string &endpointId, time_point now) const;
    /// Returns the factor for a long prompt: that of the endpoint, or of its service if the endpoint was not observed recently.
    [[nodiscard]] double longPromptSlownessOf(const std::string &service, const std::string &endpointId, time_point now) const;
    /// Returns the tokens of the prompt's shared parts that the endpoint is expected to have cached. A part is of use only if all parts
    /// before it are cached too.
    [[nodiscard]] std::int64_t cachedTokens(const std::vector<prompt_part> &prompt, const std::string &endpointId, time_point now) const;
    /// Returns the prompt tokens of short-prompt requests per second, summed over all entries.
    [[nodiscard]] double shortPromptTokensPerSecond(const std::string &service, time_point now);
    /// Returns the number of endpoints for which state is held.
    [[nodiscard]] std::size_t trackedEndpoints() const
    {
        return m_endpoints.size();
    }

private:
    /// This entry's own load at an endpoint and the endpoint's observed speed. load.recentTokens stays 0 in favor of the member below.
    struct endpoint_state
    {
        endpoint_load load;
        /// Tokens sent recently, decayed up to recentAt.
        double recentTokens = 0;
        time_point recentAt;
        /// Factor by which first bytes take longer than predicted.
        double slowness = 1;
        time_point slownessAt;
        /// Last observation of a long prompt.
        time_point longPromptAt;
    };
    struct observed_slowness
    {
        double factor = 1;
        time_point at;
    };
    struct token_rate
    {
        double tokensPerSecond = 0;
        time_point at;
    };

    /// Brings the sums of the peers up to date.
    void expirePeers(time_point now);
    void recordPart(std::uint64_t part, const std::string &endpointId, time_point now);
    void decayRate(token_rate &rate, time_point now) const;
    [[nodiscard]] double decayed(double tokens, duration age) const;

    load_tracker_options m_options;
    std::unordered_map<std::string, endpoint_state> m_endpoints;
    /// Requests of this entry at all endpoints.
    int m_ownRequests = 0;
    peer_loads m_peers;
    /// The sum of other zones, as one peer.
    peer_loads m_otherZones;
    /// Prompt tokens of this entry's short-prompt requests, by service.
    std::unordered_map<std::string, token_rate> m_shortPromptRates;
    /// Slowness of all endpoints by service.
    std::unordered_map<std::string, observed_slowness> m_serviceSlowness;
    std::vector<part_placement> m_newPlacements;
    /// Last use of each prompt part, by part and endpoint.
    std::unordered_map<std::uint64_t, std::unordered_map<std::string, time_point>> m_parts;
};

} // namespace wisteriashunt

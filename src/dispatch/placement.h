/// Chooses the endpoint of a request by the work queued and running there, or refuses the request.
///
/// The policy targets a mix of long prompts, whose shared parts engines cache in limited memory, and short prompts, whose streams must not
/// pause. The prefill of a long prompt stalls every stream of its engine. Short prompts are therefore concentrated on a group of engines
/// whose size follows their demand, and long prompts go to the other engines, preferably to one that has their shared parts cached. If the
/// group takes up most engines, long prompts also go to engines in it, at a rate that keeps the pauses of the streams there within bounds.
#pragma once

#include "dispatch/ranked_tokens.h"
#include "gateway/wire_dialect.h"
#include "membership/endpoint_roster.h"
#include "wisteriashunt/time.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wisteriashunt
{

/// Work queued or running at one endpoint.
struct endpoint_load
{
    /// Requests that were sent and whose answers have not begun.
    int waiting = 0;
    /// Uncached prompt tokens of the waiting requests.
    ranked_tokens waitingTokens;
    /// Short-prompt requests, waiting or running.
    int shortPrompts = 0;
    /// Long-prompt requests, waiting or running.
    int longPrompts = 0;
    /// Uncached prompt tokens of the long-prompt requests, waiting or running.
    ranked_tokens longPromptTokens;
    /// Uncached prompt tokens that were sent recently, of long and short prompts. Decays exponentially with the time constant
    /// placement_options::recentTokensDecayTime.
    std::int64_t recentTokens = 0;

    [[nodiscard]] int total() const
    {
        return shortPrompts + longPrompts;
    }
    bool operator==(const endpoint_load &) const = default;
};

/// A shared part of a prompt that was sent to an endpoint, which is then expected to have it cached.
struct part_placement
{
    std::uint64_t part = 0;
    std::string endpointId;

    bool operator==(const part_placement &) const = default;
};

/// The load of one entry, as it reports it to its peers. Loads and rates replace those of the previous digest; placements accumulate.
struct load_digest
{
    std::map<std::string, endpoint_load> endpoints;
    /// Prompt tokens of short-prompt requests per second, by service.
    std::map<std::string, double> shortPromptTokensPerSecond;
    /// Placements since the last digest.
    std::vector<part_placement> placements;

    bool operator==(const load_digest &) const = default;
};

/// Settings of a placement_planner. Predicted times are scaled by each endpoint's observed slowness; the limits are not.
struct placement_options
{
    /// Prompt tokens from which a request counts as a long prompt. At 45 tokens/ms, their prefill takes 62 ms, a fifth of a 300 ms pause.
    std::int64_t minLongPromptTokens = 2800;
    /// Time for which a peer's digest is valid: twice the period in which peers without load send them (peer_exchange_options::idlePeriod).
    duration digestLifetime = std::chrono::milliseconds(1000);
    /// Prefill speed of an engine in tokens per millisecond, before the correction by observed slowness.
    double prefillTokensPerMillisecond = 45;
    /// Time to the first event, excluding the prefill.
    double baseFirstByteMilliseconds = 30;
    /// Limit on the uncached tokens of all long prompts at one engine; about 0.9 s of prefill. Back-to-back prefills leave no decode steps
    /// for the running streams: above this limit, they make more answers late or incomplete than they add.
    std::int64_t maxLongPromptTokensPerEndpoint = 40000;
    /// Limit on endpoint_load::recentTokens for sending a long prompt to an engine that streams answers to short prompts. These tokens are
    /// prefilled between two events of a stream, which must be at most 300 ms apart: 27 ms of decode steps plus 9,000 tokens at
    /// 45 tokens/ms, with about a quarter left for slower engines.
    std::int64_t maxRecentTokensWithStreams = 9000;
    /// Time constant with which endpoint_load::recentTokens decays: about the longest acceptable pause in the stream of a short prompt.
    duration recentTokensDecayTime = std::chrono::milliseconds(300);
    /// Share of the slots that short prompts may occupy before their group grows by another engine.
    double shortPromptSlotShare = 0.8;
    /// Share of an engine's time that the prefill of short prompts may take before their group grows by another engine.
    double shortPromptPrefillShare = 0.55;
    /// Time for which the group of short-prompt engines keeps its size after the demand has fallen.
    duration groupShrinkDelay = std::chrono::seconds(3);
    /// The predicted first byte of a long prompt must come within this share of its target on engines without its shared parts.
    /// The margin is for busy engines, whose predicted times are a third too short. Engines with the parts cached may take longer; see
    /// cacheHolderWaitFactor in placement.cpp.
    double firstByteTargetShare = 0.6;
    /// Share of the target that a prompt may wait behind others in any case, so that no prompt is refused for its own length.
    double queueTargetShare = 0.1;
    /// Fewest engines that a long prompt considers besides those with all its shared parts cached. Entries learn of each other's requests
    /// with a delay; if all considered every engine, they would all send to the one that looks idle.
    std::size_t minSampledEngines = 3;
    /// Shortest retry delay of a placement that is refused for overload; also the retry delay of a request that was queued for its full queue time.
    duration minRetryAfter = std::chrono::milliseconds(1200);
    /// Time since its last use for which a shared part is assumed to be cached by an engine. Current engines keep parts longer.
    duration partLifetime = std::chrono::seconds(20);
};

/// Properties of a request that determine its placement.
struct placement_request
{
    std::string service;
    std::vector<prompt_part> prompt;
    std::int64_t promptTokens = 0;
    /// True if the service caches prompts, as model engines do.
    bool hasPrompt = false;
    /// Priority rank; 0 is the most urgent. Engines begin the waiting request with the most urgent rank first.
    int rank = 0;
    /// Time from now within which the first byte should arrive.
    duration firstByteTarget{};
    /// Longest acceptable time from now to the first byte: half of the time to the request's deadline.
    duration maxFirstByteWait{};
    /// IDs of endpoints that were already tried.
    std::vector<std::string> excluded;
};

/// Why an engine was not chosen for a long prompt.
enum class placement_obstacle {
    none,
    /// The tokens of its long prompts have reached the limit; see placement_options::maxLongPromptTokensPerEndpoint.
    token_limit,
    /// The streams of its short prompts would pause for too long, or all its slots are taken.
    stream_pauses,
    /// The predicted first byte is too late.
    too_late,
    /// The engine has not all shared parts cached and is not in the prompt's sample; see placement_options::minSampledEngines.
    not_sampled,
    /// The engine is eligible, but another one has a lower cost.
    higher_cost,
};

[[nodiscard]] std::string_view toString(placement_obstacle obstacle);

/// The endpoint that was chosen for a request.
struct placement
{
    endpoint_pointer endpoint;
    /// Prompt tokens that the engine is expected to prefill.
    std::int64_t uncachedTokens = 0;
    int rank = 0;
    bool isLongPrompt = false;
    duration predictedFirstByte{};
    /// Long prompts: why the engine with the fewest uncached tokens was not chosen; none if it was.
    placement_obstacle cacheHolderObstacle = placement_obstacle::none;
};

/// Why a request was not placed.
enum class placement_refusal {
    none,
    /// The roster has no usable endpoint for the service.
    no_endpoint,
    /// No endpoint can take the request within its limits.
    overloaded,
};

/// Result of placement_planner::place().
struct placement_decision
{
    placement_refusal refusal = placement_refusal::none;
    placement chosen;
    /// Refusals: time until the caller should retry.
    duration retryAfter{};
    /// Overload: earliest predicted time to the first byte over all endpoints.
    duration predictedFirstByte{};
};

/// Places requests. Tracks the load and observed speed of endpoints and which prompt parts they have cached. Not thread-safe.
class placement_planner
{
public:
    placement_planner(const endpoint_roster &roster, std::string availabilityZone, const placement_options &options);

    [[nodiscard]] placement_decision place(const placement_request &request, time_point now);

    /// Returns true if the request's prompt counts as long.
    [[nodiscard]] bool isLongPrompt(const placement_request &request) const;

    /// Records that the request was sent. Each onSent() must be followed by exactly one onFinished(), with onFirstByte() before it if an
    /// answer began.
    void onSent(const placement_request &request, const placement &placed, time_point now);
    void onFirstByte(const placement &placed, duration sinceSent, time_point now);
    void onFinished(const placement &placed, bool hadFirstByte);

    /// Returns this entry's own load, to be sent to its peers. Also discards the state of endpoints that are no longer in use.
    [[nodiscard]] load_digest digest(time_point now);
    void onPeerDigest(const std::string &peer, load_digest digest, time_point now);
    /// Returns the number of entries with a valid digest, including this one.
    [[nodiscard]] std::size_t liveEntries(time_point now) const;

    /// Returns the load of an endpoint, summed over all entries.
    [[nodiscard]] endpoint_load loadOf(const std::string &endpointId, time_point now) const;
    /// Returns the number of endpoints for which state is held.
    [[nodiscard]] std::size_t trackedEndpoints() const
    {
        return m_endpoints.size();
    }
    /// Returns the number of engines of the service on which short prompts are concentrated.
    [[nodiscard]] std::size_t shortPromptGroupSize(const std::string &service, time_point now);

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
    };
    struct peer_state
    {
        load_digest digest;
        time_point receivedAt;
    };
    struct service_state
    {
        double shortPromptTokensPerSecond = 0;
        time_point rateAt;
        std::size_t groupSize = 1;
        time_point groupNeededAt;
    };
    struct candidate
    {
        endpoint_pointer endpoint;
        endpoint_load load;
        std::uint64_t order = 0;
    };

    /// Assessment of one engine for a long prompt.
    struct long_prompt_option
    {
        const candidate *target = nullptr;
        std::int64_t uncached = 0;
        duration predictedFirstByte{};
        /// In milliseconds of engine time, including the delay caused to other requests.
        double cost = 0;
        placement_obstacle obstacle = placement_obstacle::none;
        bool hasCachedParts = false;
    };

    [[nodiscard]] std::vector<candidate> candidates(const placement_request &request, time_point now) const;
    [[nodiscard]] placement_decision placeByLoad(const std::vector<candidate> &usable) const;
    [[nodiscard]] placement_decision placeShortPrompt(const placement_request &request, std::vector<candidate> usable, time_point now);
    [[nodiscard]] placement_decision placeLongPrompt(const placement_request &request, std::vector<candidate> usable, time_point now);
    /// Predicts first byte and cost of a long prompt at one engine. hasShortStreams: the engine is in the group of short-prompt engines or
    /// streams answers to short prompts. doAllHaveShortStreams: this holds for all usable engines.
    [[nodiscard]] long_prompt_option
    assess(const placement_request &request, const candidate &target, bool hasShortStreams, bool doAllHaveShortStreams, time_point now) const;
    /// Rules out engines outside the prompt's sample, which is drawn by a hash that is the same at every entry.
    void restrictToSample(const placement_request &request, std::vector<long_prompt_option> &options, time_point now) const;
    /// Longest predicted time to the first byte with which the request is still sent, lengthened by waitFactor.
    [[nodiscard]] duration maxFirstByte(const placement_request &request, double prefillMilliseconds, double waitFactor) const;
    [[nodiscard]] std::int64_t uncachedTokens(const placement_request &request, const candidate &target, time_point now) const;
    [[nodiscard]] double millisecondsToPrefill(const std::string &endpointId, std::int64_t tokens, time_point now) const;
    [[nodiscard]] double slownessOf(const std::string &endpointId, time_point now) const;
    void recordPart(std::uint64_t part, const std::string &endpointId, time_point now);
    void decayRate(service_state &service, time_point now) const;
    [[nodiscard]] double decayed(double tokens, duration age) const;

    const endpoint_roster &m_roster;
    std::string m_availabilityZone;
    placement_options m_options;
    std::unordered_map<std::string, endpoint_state> m_endpoints;
    std::map<std::string, peer_state> m_peers;
    std::unordered_map<std::string, service_state> m_services;
    std::vector<part_placement> m_newPlacements;
    /// Last use of each prompt part, by part and endpoint.
    std::unordered_map<std::uint64_t, std::unordered_map<std::string, time_point>> m_parts;
};

} // namespace wisteriashunt

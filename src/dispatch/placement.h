/// Chooses the endpoint of a request by the work queued and running there, or refuses the request.
///
/// The policy targets a mix of long prompts, whose shared parts engines cache in limited memory, and short prompts, whose streams must not
/// pause. The prefill of a long prompt stalls every stream of its engine. Short prompts are therefore concentrated on a group of engines
/// whose size follows their demand, and long prompts go to the other engines, preferably to one that has their shared parts cached. If the
/// group takes up most engines, long prompts also go to engines in it, at a rate that keeps the pauses of the streams there within bounds.
#pragma once

#include "dispatch/endpoint_rate_limits.h"
#include "dispatch/load_tracker.h"
#include "membership/endpoint_roster.h"
#include "wisteriashunt/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wisteriashunt
{

/// Settings of a placement_planner. Predicted times are scaled by each endpoint's observed slowness; the limits are not.
struct placement_options
{
    /// Prompt tokens from which a request counts as a long prompt. At 45 tokens/ms, their prefill takes 62 ms, a fifth of a 300 ms pause.
    std::int64_t minLongPromptTokens = 2800;
    /// Prefill speed of an engine in tokens per millisecond, before the correction by observed slowness.
    double prefillTokensPerMillisecond = 45;
    /// Time to the first event, excluding the prefill.
    double baseFirstByteMilliseconds = 30;
    /// Limit on the uncached tokens of all long prompts at one engine; about 0.9 s of prefill. Back-to-back prefills leave no decode steps
    /// for the running streams: above this limit, they make more answers late or incomplete than they add.
    std::int64_t maxLongPromptTokensPerEndpoint = 40000;
    /// Longest pause between two events of a short prompt's stream, for services that declare none.
    duration defaultLongestPause = std::chrono::milliseconds(300);
    /// Time between two events of a stream while the engine prefills nothing.
    double decodeMilliseconds = 27;
    /// Share of the rest of a pause that the prefill of a long prompt may take. The other quarter is left for slower engines.
    double pausePrefillShare = 0.73;
    /// Share of an engine's slots up to which it takes long prompts. Short prompts may take all slots but wait for none. The rest is left for short ones, so
    /// that none of these is refused while a less urgent long prompt begins.
    double longPromptSlotShare = 0.9;
    /// Share of the slots that short prompts may occupy before their group grows by another engine.
    double shortPromptSlotShare = 0.8;
    /// Share of an engine's time that the prefill of short prompts may take before their group grows by another engine.
    double shortPromptPrefillShare = 0.55;
    /// Time for which the group of short-prompt engines keeps its size after the demand has fallen.
    duration groupShrinkDelay = std::chrono::seconds(3);
    /// The predicted first byte of a long prompt must come within this share of its target on engines without its shared parts.
    /// The margin is for busy engines, whose predicted times are a third too short. Engines with the parts cached may take longer; see
    /// cacheHolderWaitFactor.
    double firstByteTargetShare = 0.6;
    /// Share of the target that a prompt may wait behind others in any case, so that no prompt is refused for its own length.
    double queueTargetShare = 0.1;
    /// Factors by which maxLongPromptTokensPerEndpoint and the longest predicted time to the first byte are raised for an engine that has all
    /// shared parts of a prompt cached. A prefill of these parts on another engine would delay other requests by more than it saves this one.
    double cacheHolderTokenFactor = 3;
    double cacheHolderWaitFactor = 2;
    /// Advantage of an endpoint in the entry's own availability zone, in requests; less than one, so it only breaks ties.
    double sameZoneAdvantage = 0.5;
    /// Whether work that is less urgent than a long prompt counts as ahead of it. Engines begin the most urgent prompt first.
    bool countsLessUrgentWork = false;
    /// Fewest engines that a long prompt considers besides those with all its shared parts cached. Entries learn of each other's requests
    /// with a delay; if all considered every engine, they would all send to the one that looks idle. With few entries the sample is larger:
    /// as many engines as there are for each entry.
    std::size_t minSampledEngines = 3;
    /// Shortest retry delay of a placement that is refused for overload; also the retry delay of a request that was queued for its full queue time.
    duration minRetryAfter = std::chrono::milliseconds(1200);
    /// Time for which an endpoint that has said that it leaves may still get requests if all endpoints of its service leave. Shorter than the
    /// time after which it must get no more work.
    duration leavingGrace = std::chrono::milliseconds(1500);
    load_tracker_options loads;
    endpoint_rate_limit_options rateLimits;
};

/// Properties of a request that determine its placement.
struct placement_request
{
    std::string service;
    std::vector<prompt_part> prompt;
    std::int64_t promptTokens = 0;
    /// True if the service caches prompts, as model engines do.
    bool hasPrompt = false;
    /// Differs between requests. Spreads those without prompt parts over the engines.
    std::uint64_t requestKey = 0;
    /// Priority rank; 0 is the most urgent. Engines begin the waiting request with the most urgent rank first.
    int rank = 0;
    /// Time from now within which the first byte should arrive.
    duration firstByteTarget{};
    /// Longest acceptable time from now to the first byte: half of the time to the request's deadline.
    duration maxFirstByteWait{};
    /// Longest acceptable pause between two events of the answer; zero if none is declared.
    duration longestPause{};
    /// False if more urgent requests are waiting for the permits of endpoints that limit their requests per second.
    bool mayUsePermits = true;
    /// Software version of the endpoints that may take the request; nullopt for any. Set for streams that go on.
    std::optional<std::string> softwareVersion;
    /// IDs of endpoints that were already tried.
    std::vector<std::string> excluded;

    /// Whether the request is neither a stream that goes on nor was tried before.
    [[nodiscard]] bool isFirstTry() const
    {
        return !softwareVersion && excluded.empty();
    }
};

/// Why an endpoint was not chosen. From token_limit to not_sampled: long prompts only.
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
    /// The list says that the endpoint drains.
    draining,
    /// The endpoint has said that it leaves.
    leaving,
    /// The endpoint has asked this entry for a pause.
    paused,
    /// A stream goes on at another software version.
    other_version,
    /// The request was already sent there.
    tried,
    /// The endpoint is suspended or fails too many requests.
    unhealthy,
    /// The endpoint's limit on requests per second leaves no room.
    no_permit,
    /// Short prompts: all slots of the engine are taken.
    no_slot,
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
    /// Slowness that the prediction assumes; see load_tracker::longPromptSlownessOf().
    double assumedSlowness = 1;
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
    /// Endpoints have crashed under such requests; see request_quarantine.
    prompt_quarantined,
    request_quarantined,
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
    /// Overload because all endpoints limit their requests per second or have asked this entry for a pause: time until one of them may take a
    /// request of this entry.
    std::optional<duration> timeToPermit;
};

struct placement_trace;

/// Places requests by what a load_tracker knows. Not thread-safe.
class placement_planner
{
public:
    placement_planner(const endpoint_roster &roster, std::string availabilityZone, const placement_options &options);

    [[nodiscard]] placement_decision place(const placement_request &request, time_point now);

    /// Returns what place() would return, and how it saw each endpoint. Changes nothing that later placements depend on.
    [[nodiscard]] placement_decision explain(const placement_request &request, time_point now, placement_trace &trace);

    /// Returns after what time a caller should retry if all endpoints of the service that do not leave have asked this entry for a pause:
    /// after the first of these pauses, with a spread that differs between requests. Returns nullopt if there is an endpoint without one.
    [[nodiscard]] std::optional<duration> retryAfterPauses(const placement_request &request, time_point now) const;

    /// Returns true if the request's prompt counts as long.
    [[nodiscard]] bool isLongPrompt(const placement_request &request) const;

    /// Records that the request was sent. Each onSent() must be followed by exactly one onFinished(), with onFirstByte() before it if an
    /// answer began.
    void onSent(const placement_request &request, const placement &placed, time_point now);
    void onFirstByte(const placement &placed, duration sinceSent, time_point now);
    void onFinished(const placement &placed, bool hadFirstByte);

    [[nodiscard]] endpoint_rate_limits &rateLimits()
    {
        return m_rateLimits;
    }

    /// See load_tracker.
    [[nodiscard]] load_digest digest(time_point now);
    std::vector<rate_limit_change> onPeerDigest(const std::string &peer, load_digest digest, time_point now);
    /// See load_tracker.
    void onRelayedLoad(load_digest digest, time_point now);
    [[nodiscard]] std::size_t liveEntries(time_point now);
    /// See load_tracker.
    [[nodiscard]] duration oldestPeerLoadAge(time_point now) const;
    /// Returns the number of entries among which limits that hold for all of them are divided; see entry_census.
    [[nodiscard]] std::size_t sharingEntries(time_point now) const;
    [[nodiscard]] endpoint_load loadOf(const std::string &endpointId, time_point now);
    [[nodiscard]] std::size_t trackedEndpoints() const;

    /// Returns the number of engines of the service on which short prompts are concentrated.
    [[nodiscard]] std::size_t shortPromptGroupSize(const std::string &service, time_point now);

private:
    /// Engines on which the short prompts of a service are concentrated.
    struct short_prompt_group
    {
        std::size_t size = 1;
        /// When so many were last needed.
        time_point neededAt;
        /// Shortest of the longest acceptable pauses of recent short prompts, and when it was last declared; zero if none was.
        duration longestPause{};
        time_point pauseDeclaredAt;
    };
    struct candidate
    {
        endpoint_pointer endpoint;
        endpoint_load load;
        /// See load_tracker::slownessOf().
        double slowness = 1;
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
        bool hasShortStreams = false;
    };

    /// Times until the next permit for an endpoint that was left out.
    struct permit_wait
    {
        duration ofThisEntry{};
        duration ofAllEntries{};
    };

    /// The decision of place(). trace may be nullptr.
    [[nodiscard]] placement_decision decide(const placement_request &request, time_point now, placement_trace *trace);
    /// Returns why the request may not be sent to the endpoint, whatever its load and health; none if it may.
    [[nodiscard]] placement_obstacle ineligibilityOf(const placement_request &request, const listed_endpoint &endpoint, time_point now) const;
    /// Lists all endpoints of the service, and why those that are not usable are not.
    void traceListed(const placement_request &request, const std::vector<candidate> &usable, time_point now, placement_trace &trace);
    [[nodiscard]] std::vector<candidate> candidates(const placement_request &request, time_point now);
    /// Returns the listed endpoints that the request may be sent to, whatever their health.
    [[nodiscard]] std::vector<endpoint_pointer> eligibleEndpoints(const placement_request &request, time_point now) const;
    /// Refuses a request that no endpoint may take now. It may wait if the endpoints that it was not sent to yet pause.
    [[nodiscard]] placement_decision refuseWithoutCandidates(const placement_request &request, time_point now) const;
    /// Returns the time until the first pause ends if all endpoints that do not leave have asked this entry for one.
    [[nodiscard]] std::optional<duration> timeToPauseEnd(const std::string &service, time_point now) const;
    /// Removes the endpoints whose declared limits leave no room for the request now.
    permit_wait removeWithoutPermit(std::vector<candidate> &usable, const placement_request &request, time_point now, placement_trace *trace);
    [[nodiscard]] placement_decision placeByLoad(const std::vector<candidate> &usable) const;
    [[nodiscard]] placement_decision placeShortPrompt(const placement_request &request, std::vector<candidate> usable, time_point now, placement_trace *trace);
    [[nodiscard]] placement_decision placeLongPrompt(const placement_request &request, std::vector<candidate> usable, time_point now, placement_trace *trace);
    /// Predicts first byte and cost of a long prompt at one engine. hasShortStreams: the engine is in the group of short-prompt engines or
    /// streams answers to short prompts. doAllHaveShortStreams: this holds for all usable engines.
    [[nodiscard]] long_prompt_option
    assess(const placement_request &request, const candidate &target, bool hasShortStreams, bool doAllHaveShortStreams, time_point now) const;
    /// Rules out engines outside the prompt's sample, which is drawn by a hash that is the same at every entry, so that a new part is sent to
    /// the same few engines from all of them.
    void restrictToSample(const placement_request &request, std::vector<long_prompt_option> &options, time_point now);
    /// Longest predicted time to the first byte with which the request is still sent, lengthened by waitFactor.
    [[nodiscard]] duration maxFirstByte(const placement_request &request, double prefillMilliseconds, double waitFactor) const;
    /// Limit on endpoint_load::recentTokens for sending a long prompt to an engine that streams answers to short prompts of the service. These
    /// tokens are prefilled between two events of a stream.
    [[nodiscard]] std::int64_t maxRecentTokensWithStreams(const std::string &service) const;
    void noteLongestPause(const placement_request &request, time_point now);
    /// Returns the tokens that count as ahead of a long prompt of the rank.
    [[nodiscard]] std::int64_t tokensAhead(const ranked_tokens &tokens, int rank) const;
    [[nodiscard]] double millisecondsToPrefill(const candidate &target, std::int64_t tokens) const;

    const endpoint_roster &m_roster;
    std::string m_availabilityZone;
    placement_options m_options;
    load_tracker m_loads;
    endpoint_rate_limits m_rateLimits;
    std::unordered_map<std::string, short_prompt_group> m_groups;
};

} // namespace wisteriashunt

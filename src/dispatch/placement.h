/// Chooses the endpoint of a request from what waits and runs there, and decides whether to refuse it instead.
///
/// The load that the choice answers: long prompts whose shared parts engines keep in limited memory, next to short prompts whose
/// streams must not pause. A long prompt that is read in stops every stream of its engine, so short prompts are gathered on a part of
/// the engines that follows their demand, and long prompts go to the others, each to the engine that keeps its shared parts. Long prompts
/// also go among short ones, where these have taken most engines, but no faster than the streams there bear.
#pragma once

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

/// Work that is under way at one endpoint.
struct endpoint_load
{
    /// Requests that were sent and have not begun to answer.
    int waiting = 0;
    /// Prompt tokens that these requests leave to read in.
    std::int64_t waitingTokens = 0;
    /// Short-prompt requests, waiting or running.
    int shortPrompts = 0;
    /// Long-prompt requests, waiting or running.
    int longPrompts = 0;
    /// Prompt tokens that these had to read in, or still have to.
    std::int64_t longPromptTokens = 0;
    /// Tokens of prompts, long or short, that were sent there lately; fades with placement_options::recentTokensDecayTime.
    std::int64_t recentTokens = 0;

    [[nodiscard]] int total() const
    {
        return shortPrompts + longPrompts;
    }
    bool operator==(const endpoint_load &) const = default;
};

/// A shared part of a prompt that was sent to an endpoint, which keeps it from then on.
struct part_placement
{
    std::uint64_t part = 0;
    std::string endpointId;

    bool operator==(const part_placement &) const = default;
};

/// What an entry tells the others of its own load. The newest loads replace what came before; placements add to it.
struct load_digest
{
    std::map<std::string, endpoint_load> endpoints;
    /// Prompt tokens of short-prompt requests a second, by service.
    std::map<std::string, double> shortPromptTokensPerSecond;
    /// Since the last digest.
    std::vector<part_placement> placements;

    bool operator==(const load_digest &) const = default;
};

/// What the choice works with. Speeds and times to the first byte are corrected by observation; the bounds are not.
struct placement_options
{
    /// Prompt tokens from which a request counts as long: read in at 45 tokens/ms they take a fifth of a 300 ms pause.
    std::int64_t minLongPromptTokens = 2800;
    /// Time that a digest of another entry counts; ten periods.
    duration digestLifetime = std::chrono::milliseconds(1000);
    /// Prompt tokens that an engine reads in a millisecond before any has been observed.
    double prefillTokensPerMillisecond = 45;
    /// Time to a first event beside reading the prompt.
    double baseFirstByteMilliseconds = 30;
    /// Prompt tokens of all long prompts under way at one engine, 0.9 s of reading. Reading one after the other leaves no steps for the
    /// streams that have begun: with more than this, more end late or not at all than are gained.
    std::int64_t maxLongPromptTokensPerEndpoint = 40000;
    /// Prompt tokens that may be sent within recentTokensDecayTime to an engine that streams answers to short prompts, if a long prompt is among them.
    /// They are read between the steps of one event, which must come within 300 ms: 27 ms of steps and 9,000 tokens at 45 tokens/ms, with a
    /// quarter left for engines that are slower than others.
    std::int64_t maxRecentTokensWithStreams = 9000;
    /// Time with which tokens sent lately fade; about the pause that a stream of a short prompt bears.
    duration recentTokensDecayTime = std::chrono::milliseconds(300);
    /// Share of the slots that short-prompt requests fill before they take another engine.
    double shortPromptSlotShare = 0.8;
    /// Share of an engine's time that may go into reading short prompts before they take another engine.
    double shortPromptPrefillShare = 0.55;
    /// Time for which the group of short-prompt engines keeps its size after the demand has fallen.
    duration groupShrinkDelay = std::chrono::seconds(3);
    /// Share of the target within which the first byte of a long prompt must be predicted where parts have to be read again; predictions are a
    /// third too short where engines are busy. Engines that keep the parts may take longer (placement.cpp).
    double firstByteTargetShare = 0.6;
    /// Share of the target that a prompt may wait behind others in any case, so that the longest are not refused for their length.
    double queueTargetShare = 0.1;
    /// When to come back at the earliest after a refusal for load.
    duration minRetryAfter = std::chrono::milliseconds(1200);
    /// Time for which an engine is expected to keep a shared part; engines of today's sites keep them longer.
    duration partLifetime = std::chrono::seconds(20);
};

/// A request as far as its placement depends on it.
struct placement_request
{
    std::string service;
    std::vector<prompt_part> prompt;
    std::int64_t promptTokens = 0;
    /// The service keeps prompts (model engines).
    bool hasPrompt = false;
    /// Time until which the first byte should have come.
    duration firstByteTarget{};
    /// Most that the caller can still wait for it.
    duration usefulWait{};
    /// Endpoints that were tried.
    std::vector<std::string> excluded;
};

/// Why an engine does not take a long prompt now.
enum class placement_obstacle {
    none,
    /// As many tokens of long prompts are under way there as one engine bears.
    token_limit,
    /// The streams of short prompts there would pause for too long.
    stream_pauses,
    /// The first event would come too late.
    too_late,
    /// It could have been sent there; another engine costs less.
    higher_cost,
};

[[nodiscard]] std::string_view toString(placement_obstacle obstacle);

/// Where a request goes.
struct placement
{
    endpoint_pointer endpoint;
    /// Tokens that the engine is expected to read in.
    std::int64_t uncachedTokens = 0;
    bool isLongPrompt = false;
    duration predictedFirstByte{};
    /// A long prompt: why the engine that keeps most of it was not chosen.
    placement_obstacle cacheHolderObstacle = placement_obstacle::none;
};

/// Why a request was not placed.
enum class placement_refusal {
    none,
    /// No usable endpoint is listed.
    no_endpoint,
    /// Every endpoint has as much work as the request can wait for.
    overloaded,
};

/// The answer of a placement.
struct placement_decision
{
    placement_refusal refusal = placement_refusal::none;
    placement chosen;
    /// When capacity is expected, for a refusal.
    duration retryAfter{};
    /// Time to the first byte at the best endpoint, for a refusal for load.
    duration predictedFirstByte{};
};

/// Loads, learnt speeds and the memory of what was placed where. Not thread-safe.
class placement_planner
{
public:
    placement_planner(const endpoint_roster &roster, std::string availabilityZone, const placement_options &options);

    [[nodiscard]] placement_decision place(const placement_request &request, time_point now);

    /// Whether the request's prompt counts as long.
    [[nodiscard]] bool isLongPrompt(const placement_request &request) const;

    /// The request was sent. Each onSent is followed by one onFinished, and by onFirstByte before it if an answer began.
    void onSent(const placement_request &request, const placement &placed, time_point now);
    void onFirstByte(const placement &placed, duration sinceSent, time_point now);
    void onFinished(const placement &placed, bool hadFirstByte);

    /// The own load, for the other entries.
    [[nodiscard]] load_digest digest(time_point now);
    void onPeerDigest(const std::string &peer, load_digest digest, time_point now);
    /// Entries whose digests are fresh, this one included.
    [[nodiscard]] std::size_t liveEntries(time_point now) const;

    /// Load of an endpoint over all entries.
    [[nodiscard]] endpoint_load loadOf(const std::string &endpointId, time_point now) const;
    /// Endpoints of which something is remembered.
    [[nodiscard]] std::size_t trackedEndpoints() const
    {
        return m_endpoints.size();
    }
    /// Number of engines of the service that short prompts are gathered on.
    [[nodiscard]] std::size_t shortPromptGroupSize(const std::string &service, time_point now);

private:
    /// Own work at an endpoint and what it has taught. The load's own recentTokens stays 0.
    struct endpoint_state
    {
        endpoint_load load;
        /// Tokens sent lately, as of a time.
        double recentTokens = 0;
        time_point recentAt;
        /// How much longer first bytes take than predicted.
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

    /// What it would mean to send a long prompt to one engine.
    struct long_prompt_option
    {
        const candidate *target = nullptr;
        std::int64_t uncached = 0;
        duration predictedFirstByte{};
        /// In milliseconds of the engine's time, with what others lose by it.
        double cost = 0;
        placement_obstacle obstacle = placement_obstacle::none;
    };

    [[nodiscard]] std::vector<candidate> candidates(const placement_request &request, time_point now) const;
    [[nodiscard]] placement_decision placeByLoad(const std::vector<candidate> &usable) const;
    [[nodiscard]] placement_decision placeShortPrompt(const placement_request &request, std::vector<candidate> usable, time_point now);
    [[nodiscard]] placement_decision placeLongPrompt(const placement_request &request, std::vector<candidate> usable, time_point now);
    /// hasShortStreams: the engine streams answers to short prompts. doAllHaveShortStreams: so do all others.
    [[nodiscard]] long_prompt_option
    assess(const placement_request &request, const candidate &target, bool hasShortStreams, bool doAllHaveShortStreams, time_point now) const;
    /// Longest predicted time to the first byte with which the request is still sent; patience lengthens it.
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
    /// Last use of a prompt part, by endpoint.
    std::unordered_map<std::uint64_t, std::unordered_map<std::string, time_point>> m_parts;
};

} // namespace wisteriashunt

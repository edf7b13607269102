#include "dispatch/placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>
#include <utility>

namespace wisteriashunt
{

namespace
{

/// Weight of the newest observation in an endpoint's slowness.
constexpr double slownessSmoothing = 0.15;
constexpr double minSlowness = 0.7;
constexpr double maxSlowness = 6;

/// Number of short-prompt requests from which an engine outside the short-prompt group is protected like one in it: an engine that has just
/// left the group still streams. Protecting engines with fewer streams gains less than the capacity that this takes from long prompts.
constexpr int minProtectedStreams = 6;

/// Cost of placing a long prompt on an engine with streams of short prompts.
constexpr double shortStreamPenaltyMilliseconds = 200;

/// Factors by which maxLongPromptTokensPerEndpoint and the longest predicted time to the first byte are raised for an engine that has all
/// shared parts of a prompt cached. A prefill of these parts on another engine would delay other requests by more than it saves this one.
constexpr double cacheHolderTokenFactor = 3;
constexpr double cacheHolderWaitFactor = 2;

/// Half-life of an endpoint's observed slowness. Without decay, an endpoint that was slow once would get no more work and never recover.
constexpr double slownessHalfLifeSeconds = 2;

/// Time constant of the moving average of the short-prompt token rate.
constexpr double rateTimeConstantSeconds = 1;

/// Number of prompt parts above which expired ones are discarded.
constexpr std::size_t maxTrackedParts = 4096;

/// Most placements per digest; more than a burst produces within one digest period.
constexpr std::size_t maxPlacementsInDigest = 256;

/// Recent tokens below this number are omitted from digests; they amount to two milliseconds of prefill.
constexpr std::int64_t minReportedRecentTokens = 100;

/// Time without work after which the state of an endpoint is discarded: 15 half-lives of its slowness, so nothing of that is left.
constexpr std::chrono::seconds endpointStateLifetime{30};

/// Unhealthy endpoints are left out only if at least this share of a service's endpoints is healthy.
constexpr double minUsableShare = 0.5;

/// Cost of an endpoint whose requests all fail, in requests queued or running there.
constexpr double failurePenalty = 20;

/// Advantage of an endpoint in the entry's own availability zone, in requests; less than one, so it only breaks ties.
constexpr double sameZoneAdvantage = 0.5;

std::uint64_t mixBits(std::uint64_t value)
{
    // The finalizer of splitmix64. Every entry must compute the same order, so std::hash, which differs between libraries, can't be used.
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

std::uint64_t hashText(std::string_view text)
{
    return std::accumulate(text.begin(), text.end(), std::uint64_t{14695981039346656037ULL}, [](std::uint64_t hash, char c) {
        return (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    });
}

/// Key by which prompts with a long common prefix choose the same endpoint: the ID of the last shared part.
std::uint64_t affinityKey(const std::vector<prompt_part> &prompt)
{
    if (prompt.empty()) {
        return 0;
    }
    return prompt.size() == 1 ? prompt.front().id : prompt[prompt.size() - 2].id;
}

duration fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace

std::string_view toString(placement_obstacle obstacle)
{
    switch (obstacle) {
    case placement_obstacle::none:
        return "none";
    case placement_obstacle::token_limit:
        return "full";
    case placement_obstacle::stream_pauses:
        return "streams";
    case placement_obstacle::too_late:
        return "late";
    case placement_obstacle::not_sampled:
        return "unsampled";
    case placement_obstacle::higher_cost:
        return "dearer";
    }
    return "unknown";
}

placement_planner::placement_planner(const endpoint_roster &roster, std::string availabilityZone, const placement_options &options)
    : m_roster(roster)
    , m_availabilityZone(std::move(availabilityZone))
    , m_options(options)
{
}

endpoint_load placement_planner::loadOf(const std::string &endpointId, time_point now) const
{
    endpoint_load sum;
    double recent = 0;
    const auto add = [&sum](const endpoint_load &load) {
        sum.waiting += load.waiting;
        sum.waitingTokens.add(load.waitingTokens);
        sum.shortPrompts += load.shortPrompts;
        sum.longPrompts += load.longPrompts;
        sum.longPromptTokens.add(load.longPromptTokens);
    };
    if (const auto own = m_endpoints.find(endpointId); own != m_endpoints.end()) {
        add(own->second.load);
        recent += decayed(own->second.recentTokens, now - own->second.recentAt);
    }
    for (const auto &[name, peer] : m_peers) {
        const auto load = peer.digest.endpoints.find(endpointId);
        if (now - peer.receivedAt < m_options.digestLifetime && load != peer.digest.endpoints.end()) {
            add(load->second);
            recent += decayed(static_cast<double>(load->second.recentTokens), now - peer.receivedAt);
        }
    }
    sum.recentTokens = static_cast<std::int64_t>(recent);
    return sum;
}

double placement_planner::decayed(double tokens, duration age) const
{
    return tokens * std::exp(-toSeconds(age) / toSeconds(m_options.recentTokensDecayTime));
}

std::size_t placement_planner::liveEntries(time_point now) const
{
    return 1 + static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &peer) {
               return now - peer.second.receivedAt < m_options.digestLifetime;
           }));
}

std::vector<placement_planner::candidate> placement_planner::candidates(const placement_request &request, time_point now) const
{
    const auto &listed = m_roster.ofService(request.service);
    const health_options healthOptions;
    std::vector<candidate> usable;
    std::vector<candidate> unhealthy;
    for (const auto &endpoint : listed) {
        const auto &id = endpoint->record.id;
        if (endpoint->record.isDraining || std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end()) {
            continue;
        }
        candidate found{.endpoint = endpoint, .load = loadOf(id, now), .order = mixBits(hashText(id))};
        const bool isUnhealthy = endpoint->health.isSuspended(now) || endpoint->health.isFailing(healthOptions);
        (isUnhealthy ? unhealthy : usable).push_back(std::move(found));
    }
    // If most endpoints fail, the cause is likely not in the endpoints themselves, and the few healthy ones could not carry the load.
    if (static_cast<double>(usable.size()) < minUsableShare * static_cast<double>(usable.size() + unhealthy.size())) {
        usable.insert(usable.end(), unhealthy.begin(), unhealthy.end());
    }
    std::sort(usable.begin(), usable.end(), [](const candidate &left, const candidate &right) { return left.order < right.order; });
    return usable;
}

double placement_planner::slownessOf(const std::string &endpointId, time_point now) const
{
    const auto known = m_endpoints.find(endpointId);
    if (known == m_endpoints.end()) {
        return 1;
    }
    return 1 + (known->second.slowness - 1) * std::exp2(-toSeconds(now - known->second.slownessAt) / slownessHalfLifeSeconds);
}

double placement_planner::millisecondsToPrefill(const std::string &endpointId, std::int64_t tokens, time_point now) const
{
    return slownessOf(endpointId, now) * static_cast<double>(tokens) / m_options.prefillTokensPerMillisecond;
}

placement_decision placement_planner::place(const placement_request &request, time_point now)
{
    auto usable = candidates(request, now);
    if (usable.empty()) {
        return {.refusal = placement_refusal::no_endpoint, .retryAfter = std::chrono::milliseconds(500)};
    }
    if (!request.hasPrompt) {
        return placeByLoad(usable);
    }
    return isLongPrompt(request) ? placeLongPrompt(request, std::move(usable), now) : placeShortPrompt(request, std::move(usable), now);
}

bool placement_planner::isLongPrompt(const placement_request &request) const
{
    return request.promptTokens >= m_options.minLongPromptTokens;
}

placement_decision placement_planner::placeByLoad(const std::vector<candidate> &usable) const
{
    const auto cost = [this](const candidate &each) {
        const bool isNear = each.endpoint->record.availabilityZone == m_availabilityZone;
        return static_cast<double>(each.load.total()) + failurePenalty * each.endpoint->health.failureShare() - (isNear ? sameZoneAdvantage : 0);
    };
    const auto best = std::min_element(usable.begin(), usable.end(), [&](const candidate &left, const candidate &right) { return cost(left) < cost(right); });
    return {.chosen = {.endpoint = best->endpoint}};
}

void placement_planner::decayRate(service_state &service, time_point now) const
{
    service.shortPromptTokensPerSecond *= std::exp(-toSeconds(now - service.rateAt) / rateTimeConstantSeconds);
    service.rateAt = now;
}

std::size_t placement_planner::shortPromptGroupSize(const std::string &service, time_point now)
{
    auto &state = m_services[service];
    decayRate(state, now);
    double rate = state.shortPromptTokensPerSecond;
    for (const auto &[name, peer] : m_peers) {
        const auto own = peer.digest.shortPromptTokensPerSecond.find(service);
        if (now - peer.receivedAt < m_options.digestLifetime && own != peer.digest.shortPromptTokensPerSecond.end()) {
            rate += own->second;
        }
    }
    int shortPrompts = 0;
    int slots = 0;
    std::size_t usable = 0;
    for (const auto &endpoint : m_roster.ofService(service)) {
        if (!endpoint->record.isDraining) {
            shortPrompts += loadOf(endpoint->record.id, now).shortPrompts;
            slots += endpoint->record.slots;
            ++usable;
        }
    }
    if (usable < 2 || slots == 0) {
        return usable;
    }
    const double slotsPerEndpoint = static_cast<double>(slots) / static_cast<double>(usable);
    const double bySlots = shortPrompts / (m_options.shortPromptSlotShare * slotsPerEndpoint);
    constexpr double millisecondsInSecond = 1000;
    const double byPrefill = rate / (m_options.shortPromptPrefillShare * m_options.prefillTokensPerMillisecond * millisecondsInSecond);
    const auto needed = std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(std::max(bySlots, byPrefill))), 1, usable - 1);
    if (needed >= state.groupSize || now - state.groupNeededAt > m_options.groupShrinkDelay) {
        state.groupSize = needed;
        state.groupNeededAt = now;
    }
    return std::min(state.groupSize, usable - 1);
}

placement_decision placement_planner::placeShortPrompt(const placement_request &request, std::vector<candidate> usable, time_point now)
{
    const std::size_t group = std::min(shortPromptGroupSize(request.service, now), usable.size());
    const auto cost = [&](const candidate &each) {
        const auto position = static_cast<std::size_t>(&each - usable.data());
        const double slots = std::max(1, each.endpoint->record.slots);
        const double fill = each.load.total() / slots;
        const double prefillMilliseconds = millisecondsToPrefill(each.endpoint->record.id, each.load.waitingTokens.upTo(request.rank) + request.promptTokens, now);
        // An engine outside the group may start the prefill of a long prompt at any time, which delays short prompts there.
        constexpr double outsideGroupMilliseconds = 250;
        constexpr double perLongPromptMilliseconds = 30;
        constexpr double fillMilliseconds = 150;
        constexpr double overcommitMilliseconds = 3000;
        return prefillMilliseconds + fillMilliseconds * fill + overcommitMilliseconds * std::max(0.0, fill - 1)
            + (position < group ? 0 : outsideGroupMilliseconds) + perLongPromptMilliseconds * each.load.longPrompts
            + failurePenalty * fillMilliseconds * each.endpoint->health.failureShare();
    };
    const auto best = std::min_element(usable.begin(), usable.end(), [&](const candidate &left, const candidate &right) { return cost(left) < cost(right); });
    const double wait = millisecondsToPrefill(best->endpoint->record.id, best->load.waitingTokens.upTo(request.rank) + request.promptTokens, now);
    return {.chosen = {.endpoint = best->endpoint,
                       .uncachedTokens = request.promptTokens,
                       .rank = request.rank,
                       .isLongPrompt = false,
                       .predictedFirstByte = fromMilliseconds(m_options.baseFirstByteMilliseconds + wait)}};
}

std::int64_t placement_planner::uncachedTokens(const placement_request &request, const candidate &target, time_point now) const
{
    if (request.prompt.empty()) {
        return request.promptTokens;
    }
    std::int64_t shared = 0;
    for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) {
        const auto &part = request.prompt[i];
        const auto uses = m_parts.find(part.id);
        if (uses == m_parts.end()) {
            break;
        }
        const auto use = uses->second.find(target.endpoint->record.id);
        if (use == uses->second.end() || now - use->second > m_options.partLifetime) {
            break;
        }
        shared += part.tokens;
    }
    return std::max<std::int64_t>(request.promptTokens - shared, 0);
}

duration placement_planner::maxFirstByte(const placement_request &request, double prefillMilliseconds, double waitFactor) const
{
    const double target = toMilliseconds(request.firstByteTarget);
    const double unqueuedMilliseconds = m_options.baseFirstByteMilliseconds + prefillMilliseconds;
    return std::min(
        request.maxFirstByteWait,
        fromMilliseconds(waitFactor * std::max(m_options.firstByteTargetShare * target, unqueuedMilliseconds + m_options.queueTargetShare * target)));
}

placement_planner::long_prompt_option
placement_planner::assess(const placement_request &request, const candidate &target, bool hasShortStreams, bool doAllHaveShortStreams, time_point now) const
{
    const auto &id = target.endpoint->record.id;
    const auto uncached = uncachedTokens(request, target, now);
    const double prefillMilliseconds = millisecondsToPrefill(id, uncached, now);
    const double wait = millisecondsToPrefill(id, target.load.waitingTokens.upTo(request.rank) + uncached, now);
    const auto predicted = fromMilliseconds(m_options.baseFirstByteMilliseconds + wait);
    const double slots = std::max(1, target.endpoint->record.slots);
    // If every engine streams answers to short prompts, the longest prompts would exceed the limit everywhere and never be placed.
    const auto countedTokens = doAllHaveShortStreams ? std::min(uncached, m_options.maxRecentTokensWithStreams / 2) : uncached;
    placement_obstacle obstacle = placement_obstacle::none;
    const bool hasCachedParts = request.prompt.size() > 1 && uncached <= request.prompt.back().tokens;
    const auto longPromptTokenLimit = static_cast<double>(m_options.maxLongPromptTokensPerEndpoint) * (hasCachedParts ? cacheHolderTokenFactor : 1);
    if (target.load.longPrompts > 0 && static_cast<double>(target.load.longPromptTokens.upTo(request.rank)) >= longPromptTokenLimit) {
        obstacle = placement_obstacle::token_limit;
    } else if (hasShortStreams && (target.load.recentTokens + countedTokens > m_options.maxRecentTokensWithStreams || target.load.total() >= slots)) {
        obstacle = placement_obstacle::stream_pauses;
    } else if (predicted > maxFirstByte(request, prefillMilliseconds, hasCachedParts ? cacheHolderWaitFactor : 1)) {
        obstacle = placement_obstacle::too_late;
    }
    // Breaks ties by prompt and endpoint, so that entries that place the same new part at the same time choose the same endpoint.
    constexpr double maxTieBreakMilliseconds = 20;
    const double tieBreak = maxTieBreakMilliseconds * static_cast<double>(mixBits(affinityKey(request.prompt) ^ target.order)) / 18446744073709551615.0;
    // The prefill of a long prompt stalls every stream of the engine.
    constexpr double stalledStreamMilliseconds = 60;
    // A prefill delays every request queued behind it, so its time counts in addition to this request's own wait.
    constexpr double prefillWeight = 4;
    constexpr double overcommitMilliseconds = 3000;
    const double cost = wait + prefillWeight * prefillMilliseconds + tieBreak
        + (hasShortStreams ? shortStreamPenaltyMilliseconds : stalledStreamMilliseconds * target.load.shortPrompts)
        + overcommitMilliseconds * std::max(0.0, target.load.total() / slots - 1) + failurePenalty * 100 * target.endpoint->health.failureShare();
    return {.target = &target, .uncached = uncached, .predictedFirstByte = predicted, .cost = cost, .obstacle = obstacle, .hasCachedParts = hasCachedParts};
}

void placement_planner::restrictToSample(const placement_request &request, std::vector<long_prompt_option> &options, time_point now) const
{
    const auto key = affinityKey(request.prompt);
    std::vector<std::pair<std::uint64_t, long_prompt_option *>> drawn;
    for (auto &option : options) {
        // Engines with streams of short prompts are ruled out for long, so they would only shrink the sample.
        if (!option.hasCachedParts && option.obstacle != placement_obstacle::stream_pauses) {
            drawn.emplace_back(mixBits(key ^ option.target->order), &option);
        }
    }
    const std::size_t entries = liveEntries(now);
    const std::size_t size = std::max(m_options.minSampledEngines, (options.size() + entries - 1) / entries);
    if (drawn.size() <= size) {
        return;
    }
    std::sort(drawn.begin(), drawn.end());
    for (std::size_t i = size; i < drawn.size(); ++i) {
        auto &obstacle = drawn[i].second->obstacle;
        obstacle = obstacle == placement_obstacle::none ? placement_obstacle::not_sampled : obstacle;
    }
}

placement_decision placement_planner::placeLongPrompt(const placement_request &request, std::vector<candidate> usable, time_point now)
{
    const std::size_t group = std::min(shortPromptGroupSize(request.service, now), usable.size() - 1);
    const auto hasShortStreams = [&](const candidate &each) {
        return static_cast<std::size_t>(&each - usable.data()) < group || each.load.shortPrompts >= minProtectedStreams;
    };
    const bool doAllHaveShortStreams = std::all_of(usable.begin(), usable.end(), hasShortStreams);
    std::vector<long_prompt_option> options;
    options.reserve(usable.size());
    for (const auto &each : usable) {
        options.push_back(assess(request, each, hasShortStreams(each), doAllHaveShortStreams, now));
    }
    restrictToSample(request, options, now);
    const auto best = std::min_element(options.begin(), options.end(), [](const long_prompt_option &left, const long_prompt_option &right) {
        return std::make_tuple(left.obstacle != placement_obstacle::none, left.cost) < std::make_tuple(right.obstacle != placement_obstacle::none, right.cost);
    });
    if (best->obstacle != placement_obstacle::none) {
        const auto earliestFirstByte = std::min_element(options.begin(), options.end(), [](const long_prompt_option &left, const long_prompt_option &right) {
                                           return left.predictedFirstByte < right.predictedFirstByte;
                                       })->predictedFirstByte;
        return {.refusal = placement_refusal::overloaded,
                .retryAfter = std::max(earliestFirstByte, m_options.minRetryAfter),
                .predictedFirstByte = earliestFirstByte};
    }
    const auto cacheHolder = std::min_element(
        options.begin(), options.end(), [](const long_prompt_option &left, const long_prompt_option &right) { return left.uncached < right.uncached; });
    const bool isCacheHolderSkipped = cacheHolder->uncached < best->uncached;
    const auto cacheHolderObstacle = !isCacheHolderSkipped  ? placement_obstacle::none
        : cacheHolder->obstacle == placement_obstacle::none ? placement_obstacle::higher_cost
                                                            : cacheHolder->obstacle;
    return {.chosen = {.endpoint = best->target->endpoint,
                       .uncachedTokens = best->uncached,
                       .rank = request.rank,
                       .isLongPrompt = true,
                       .predictedFirstByte = best->predictedFirstByte,
                       .cacheHolderObstacle = cacheHolderObstacle}};
}

void placement_planner::onSent(const placement_request &request, const placement &placed, time_point now)
{
    const auto &id = placed.endpoint->record.id;
    auto &known = m_endpoints[id];
    auto &load = known.load;
    ++load.waiting;
    load.waitingTokens.add(placed.rank, placed.uncachedTokens);
    ++(placed.isLongPrompt ? load.longPrompts : load.shortPrompts);
    load.longPromptTokens.add(placed.rank, placed.isLongPrompt ? placed.uncachedTokens : 0);
    if (!request.hasPrompt) {
        return;
    }
    known.recentTokens = decayed(known.recentTokens, now - known.recentAt) + static_cast<double>(placed.uncachedTokens);
    known.recentAt = now;
    if (!placed.isLongPrompt) {
        auto &service = m_services[request.service];
        decayRate(service, now);
        service.shortPromptTokensPerSecond += static_cast<double>(request.promptTokens) / rateTimeConstantSeconds;
        return;
    }
    for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) {
        recordPart(request.prompt[i].id, id, now);
        if (m_newPlacements.size() < maxPlacementsInDigest) {
            m_newPlacements.push_back({.part = request.prompt[i].id, .endpointId = id});
        }
    }
}

void placement_planner::recordPart(std::uint64_t part, const std::string &endpointId, time_point now)
{
    if (m_parts.size() > maxTrackedParts) {
        std::erase_if(m_parts, [&](const auto &known) {
            return std::all_of(known.second.begin(), known.second.end(), [&](const auto &use) { return now - use.second > m_options.partLifetime; });
        });
    }
    m_parts[part][endpointId] = now;
}

void placement_planner::onFirstByte(const placement &placed, duration sinceSent, time_point now)
{
    const auto &id = placed.endpoint->record.id;
    auto &known = m_endpoints[id];
    --known.load.waiting;
    known.load.waitingTokens.add(placed.rank, -placed.uncachedTokens);
    if (placed.predictedFirstByte == duration{}) {
        return;
    }
    const double ratio = std::clamp(toSeconds(sinceSent) / toSeconds(placed.predictedFirstByte), minSlowness, maxSlowness);
    const double factor = slownessOf(id, now) * (1 + slownessSmoothing * (ratio - 1));
    known.slowness = std::clamp(factor, minSlowness, maxSlowness);
    known.slownessAt = now;
}

void placement_planner::onFinished(const placement &placed, bool hadFirstByte)
{
    auto &load = m_endpoints[placed.endpoint->record.id].load;
    if (!hadFirstByte) {
        --load.waiting;
        load.waitingTokens.add(placed.rank, -placed.uncachedTokens);
    }
    --(placed.isLongPrompt ? load.longPrompts : load.shortPrompts);
    load.longPromptTokens.add(placed.rank, placed.isLongPrompt ? -placed.uncachedTokens : 0);
}

load_digest placement_planner::digest(time_point now)
{
    // Discards the state of idle endpoints, since endpoints come and go and the map would otherwise grow without bound.
    std::erase_if(m_endpoints, [&](const auto &each) {
        const auto &known = each.second;
        return known.load == endpoint_load{} && now - std::max(known.recentAt, known.slownessAt) > endpointStateLifetime;
    });
    load_digest result;
    for (const auto &[id, known] : m_endpoints) {
        auto load = known.load;
        const auto recent = static_cast<std::int64_t>(decayed(known.recentTokens, now - known.recentAt));
        load.recentTokens = recent < minReportedRecentTokens ? 0 : recent;
        if (load != endpoint_load{}) {
            result.endpoints[id] = load;
        }
    }
    for (auto &[name, service] : m_services) {
        decayRate(service, now);
        if (service.shortPromptTokensPerSecond > 1) {
            result.shortPromptTokensPerSecond[name] = service.shortPromptTokensPerSecond;
        }
    }
    result.placements = std::exchange(m_newPlacements, {});
    return result;
}

void placement_planner::onPeerDigest(const std::string &peer, load_digest digest, time_point now)
{
    for (const auto &placed : digest.placements) {
        recordPart(placed.part, placed.endpointId, now);
    }
    m_peers[peer] = {.digest = std::move(digest), .receivedAt = now};
}

} // namespace wisteriashunt

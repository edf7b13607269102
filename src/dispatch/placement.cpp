#include "dispatch/placement.h"

#include "dispatch/placement_trace.h"
#include "membership/hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace wisteriashunt
{

namespace
{

/// Number of short-prompt requests from which an engine outside the short-prompt group is protected like one in it: an engine that has just
/// left the group still streams. Protecting engines with fewer streams gains less than the capacity that this takes from long prompts.
constexpr int minProtectedStreams = 6;

/// Cost of placing a long prompt on an engine with streams of short prompts.
constexpr double shortStreamPenaltyMilliseconds = 200;

/// Unhealthy endpoints are left out only if at least this share of a service's endpoints is healthy.
constexpr double minUsableShare = 0.5;

/// Cost of an endpoint whose requests all fail, in requests queued or running there.
constexpr double failurePenalty = 20;

/// Key by which prompts with a long common prefix choose the same endpoint: the ID of the last shared part.
std::uint64_t affinityKey(const placement_request &request)
{
    const auto &prompt = request.prompt;
    if (prompt.empty()) {
        return request.requestKey;
    }
    return prompt.size() == 1 ? prompt.front().id : prompt[prompt.size() - 2].id;
}

bool wasTried(const placement_request &request, const listed_endpoint &endpoint)
{
    return std::find(request.excluded.begin(), request.excluded.end(), endpoint.record.id) != request.excluded.end();
}

sent_work workOf(const placement &placed)
{
    return {.endpointId = placed.endpoint->record.id, .uncachedTokens = placed.uncachedTokens, .rank = placed.rank, .isLongPrompt = placed.isLongPrompt};
}

duration fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace

placement_planner::placement_planner(const endpoint_roster &roster, std::string availabilityZone, const placement_options &options)
    : m_roster(roster)
    , m_availabilityZone(std::move(availabilityZone))
    , m_options(options)
    , m_loads(options.loads)
    , m_rateLimits(options.rateLimits)
{
}

placement_obstacle placement_planner::ineligibilityOf(const placement_request &request, const listed_endpoint &endpoint, time_point now) const
{
    const auto &record = endpoint.record;
    const auto &notice = endpoint.notice;
    if (record.isDraining) {
        return placement_obstacle::draining;
    }
    if (request.softwareVersion && record.softwareVersion != *request.softwareVersion) {
        return placement_obstacle::other_version;
    }
    if (notice.isLeaving && now - notice.leavingSince >= m_options.leavingGrace) {
        return placement_obstacle::leaving;
    }
    if (notice.isPaused(now)) {
        return placement_obstacle::paused;
    }
    return wasTried(request, endpoint) ? placement_obstacle::tried : placement_obstacle::none;
}

std::vector<endpoint_pointer> placement_planner::eligibleEndpoints(const placement_request &request, time_point now) const
{
    std::vector<endpoint_pointer> eligible;
    std::vector<endpoint_pointer> leaving;
    bool doAllLeave = true;
    for (const auto &endpoint : m_roster.ofService(request.service)) {
        const auto obstacle = ineligibilityOf(request, *endpoint, now);
        if (obstacle == placement_obstacle::draining || obstacle == placement_obstacle::other_version) {
            continue;
        }
        const bool isLeaving = endpoint->notice.isLeaving;
        doAllLeave = doAllLeave && isLeaving;
        if (obstacle == placement_obstacle::none) {
            (isLeaving ? leaving : eligible).push_back(endpoint);
        }
    }
    // An endpoint that leaves is no substitute for one that pauses.
    return doAllLeave ? leaving : eligible;
}

std::vector<placement_planner::candidate> placement_planner::candidates(const placement_request &request, time_point now)
{
    const health_options healthOptions;
    std::vector<candidate> usable;
    std::vector<candidate> unhealthy;
    usable.reserve(m_roster.ofService(request.service).size());
    for (const auto &endpoint : eligibleEndpoints(request, now)) {
        const auto &id = endpoint->record.id;
        const double slowness = isLongPrompt(request) ? m_loads.longPromptSlownessOf(request.service, id, now) : m_loads.slownessOf(id, now);
        candidate found{.endpoint = endpoint, .load = m_loads.loadOf(id, now), .slowness = slowness, .order = endpoint->orderKey};
        const bool isUnhealthy = endpoint->health.isSuspended(now) || endpoint->health.isFailing(healthOptions);
        (isUnhealthy ? unhealthy : usable).push_back(std::move(found));
    }
    // If most endpoints fail, the cause is likely not in the endpoints themselves, and the few healthy ones could not carry the load.
    if (static_cast<double>(usable.size()) < minUsableShare * static_cast<double>(usable.size() + unhealthy.size())) {
        usable.insert(usable.end(), unhealthy.begin(), unhealthy.end());
    }
    const auto isEarlier = [](const candidate &left, const candidate &right) { return left.order < right.order; };
    // The roster has this order; unhealthy endpoints that were appended do not.
    if (!std::is_sorted(usable.begin(), usable.end(), isEarlier)) {
        std::sort(usable.begin(), usable.end(), isEarlier);
    }
    return usable;
}

double placement_planner::millisecondsToPrefill(const candidate &target, std::int64_t tokens) const
{
    return target.slowness * static_cast<double>(tokens) / m_options.prefillTokensPerMillisecond;
}

placement_decision placement_planner::place(const placement_request &request, time_point now)
{
    return decide(request, now, nullptr);
}

placement_decision placement_planner::decide(const placement_request &request, time_point now, placement_trace *trace)
{
    auto usable = candidates(request, now);
    if (trace != nullptr) {
        traceListed(request, usable, now, *trace);
    }
    if (usable.empty()) {
        return refuseWithoutCandidates(request, now);
    }
    const auto wait = removeWithoutPermit(usable, request, now, trace);
    if (usable.empty()) {
        return {.refusal = placement_refusal::overloaded,
                .retryAfter = std::max(wait.ofAllEntries, m_options.minRetryAfter),
                .predictedFirstByte = wait.ofThisEntry,
                .timeToPermit = wait.ofThisEntry};
    }
    if (!request.hasPrompt) {
        return placeByLoad(usable);
    }
    return isLongPrompt(request) ? placeLongPrompt(request, std::move(usable), now, trace) : placeShortPrompt(request, std::move(usable), now, trace);
}

placement_decision placement_planner::refuseWithoutCandidates(const placement_request &request, time_point now) const
{
    const auto pause = timeToPauseEnd(request.service, now);
    const auto &listed = m_roster.ofService(request.service);
    const bool hasUntried =
        std::any_of(listed.begin(), listed.end(), [&](const endpoint_pointer &endpoint) { return !endpoint->isLeaving() && !wasTried(request, *endpoint); });
    if (pause && hasUntried) {
        return {.refusal = placement_refusal::overloaded,
                .retryAfter = retryAfterPauses(request, now).value_or(*pause),
                .predictedFirstByte = *pause,
                .timeToPermit = pause};
    }
    constexpr std::chrono::milliseconds unlistedRetryAfter{500};
    return {.refusal = placement_refusal::no_endpoint, .retryAfter = retryAfterPauses(request, now).value_or(unlistedRetryAfter)};
}

std::optional<duration> placement_planner::timeToPauseEnd(const std::string &service, time_point now) const
{
    std::optional<duration> first;
    for (const auto &endpoint : m_roster.ofService(service)) {
        if (endpoint->isLeaving()) {
            continue;
        }
        if (!endpoint->notice.isPaused(now)) {
            return std::nullopt;
        }
        const auto left = endpoint->notice.pausedUntil - now;
        first = std::min(first.value_or(left), left);
    }
    return first;
}

std::optional<duration> placement_planner::retryAfterPauses(const placement_request &request, time_point now) const
{
    const auto first = timeToPauseEnd(request.service, now);
    if (!first) {
        return std::nullopt;
    }
    // Callers that were refused during a pause would otherwise all return at its end.
    constexpr double spreadShare = 0.25;
    constexpr duration minSpread = std::chrono::milliseconds(500);
    constexpr duration maxSpread = std::chrono::seconds(30);
    constexpr std::uint64_t steps = 1024;
    const auto spread = std::clamp(fromSeconds(spreadShare * toSeconds(*first)), minSpread, maxSpread);
    return *first + spread * static_cast<std::int64_t>(mixBits(request.requestKey) % steps) / static_cast<std::int64_t>(steps);
}

placement_planner::permit_wait
placement_planner::removeWithoutPermit(std::vector<candidate> &usable, const placement_request &request, time_point now, placement_trace *trace)
{
    if (m_rateLimits.limitedEndpoints() == 0) {
        return {};
    }
    permit_wait wait{.ofThisEntry = duration::max()};
    double limits = 0;
    std::erase_if(usable, [&](const candidate &each) {
        const auto &record = each.endpoint->record;
        const auto limit = m_rateLimits.limitOf(record);
        if (!limit || (request.mayUsePermits && m_rateLimits.hasPermit(record, request.rank, now))) {
            return false;
        }
        limits += std::max(*limit, m_options.rateLimits.minPerSecond);
        wait.ofThisEntry = std::min(wait.ofThisEntry, m_rateLimits.timeToPermit(record, now));
        if (trace != nullptr) {
            trace->find(record.id)->obstacle = placement_obstacle::no_permit;
        }
        return true;
    });
    wait.ofAllEntries = limits > 0 ? fromSeconds(1 / limits) : duration{};
    return wait;
}

bool placement_planner::isLongPrompt(const placement_request &request) const
{
    return request.promptTokens >= m_options.minLongPromptTokens;
}

placement_decision placement_planner::placeByLoad(const std::vector<candidate> &usable) const
{
    const auto cost = [this](const candidate &each) {
        const bool isNear = each.endpoint->record.availabilityZone == m_availabilityZone;
        return static_cast<double>(each.load.total()) + failurePenalty * each.endpoint->health.failureShare() - (isNear ? m_options.sameZoneAdvantage : 0);
    };
    const auto best = std::min_element(usable.begin(), usable.end(), [&](const candidate &left, const candidate &right) { return cost(left) < cost(right); });
    return {.chosen = {.endpoint = best->endpoint}};
}

std::size_t placement_planner::shortPromptGroupSize(const std::string &service, time_point now)
{
    int shortPrompts = 0;
    int slots = 0;
    std::size_t usable = 0;
    for (const auto &endpoint : m_roster.ofService(service)) {
        if (!endpoint->isLeaving()) {
            shortPrompts += m_loads.shortPromptsAt(endpoint->record.id, now);
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
    const double byPrefill =
        m_loads.shortPromptTokensPerSecond(service, now) / (m_options.shortPromptPrefillShare * m_options.prefillTokensPerMillisecond * millisecondsInSecond);
    const auto needed = std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(std::max(bySlots, byPrefill))), 1, usable - 1);
    auto &group = m_groups[service];
    if (needed >= group.size || now - group.neededAt > m_options.groupShrinkDelay) {
        group.size = needed;
        group.neededAt = now;
    }
    return std::min(group.size, usable - 1);
}

placement_decision placement_planner::placeShortPrompt(const placement_request &request, std::vector<candidate> usable, time_point now, placement_trace *trace)
{
    const std::size_t group = std::min(shortPromptGroupSize(request.service, now), usable.size());
    const auto cost = [&](const candidate &each) {
        const auto position = static_cast<std::size_t>(&each - usable.data());
        const double slots = std::max(1, each.endpoint->record.slots);
        const double fill = each.load.total() / slots;
        const double prefillMilliseconds = millisecondsToPrefill(each, each.load.waitingTokens.total() + request.promptTokens);
        // An engine outside the group may start the prefill of a long prompt at any time, which delays short prompts there.
        constexpr double outsideGroupMilliseconds = 250;
        constexpr double perLongPromptMilliseconds = 30;
        constexpr double fillMilliseconds = 150;
        constexpr double overcommitMilliseconds = 3000;
        return prefillMilliseconds + fillMilliseconds * fill + overcommitMilliseconds * std::max(0.0, fill - 1)
            + (position < group ? 0 : outsideGroupMilliseconds) + perLongPromptMilliseconds * each.load.longPrompts
            + failurePenalty * fillMilliseconds * each.endpoint->health.failureShare();
    };
    const auto predicted = [&](const candidate &each) {
        return fromMilliseconds(m_options.baseFirstByteMilliseconds + millisecondsToPrefill(each, each.load.waitingTokens.total() + request.promptTokens));
    };
    // With all slots taken, a request that waits for one makes every later one wait too, and all of them begin after their targets.
    const auto hasRoom = [&](const candidate &each) {
        const double slots = each.endpoint->record.slots;
        return slots == 0 || each.load.total() < slots;
    };
    const auto best = std::min_element(usable.begin(), usable.end(), [&](const candidate &left, const candidate &right) {
        return std::make_tuple(!hasRoom(left), cost(left)) < std::make_tuple(!hasRoom(right), cost(right));
    });
    if (trace != nullptr) {
        for (const auto &each : usable) {
            auto &traced = *trace->find(each.endpoint->record.id);
            traced.predictedFirstByte = predicted(each);
            traced.obstacle = hasRoom(each) ? placement_obstacle::higher_cost : placement_obstacle::no_slot;
        }
    }
    // A stream that goes on ends unfinished, and a request that was tried before has failed, if no engine takes it.
    if (!hasRoom(*best) && request.isFirstTry()) {
        return {.refusal = placement_refusal::overloaded, .retryAfter = m_options.minRetryAfter, .predictedFirstByte = request.firstByteTarget};
    }
    return {.chosen = {.endpoint = best->endpoint,
                       .uncachedTokens = request.promptTokens,
                       .rank = request.rank,
                       .isLongPrompt = false,
                       .predictedFirstByte = predicted(*best)}};
}

std::int64_t placement_planner::maxRecentTokensWithStreams(const std::string &service) const
{
    const auto group = m_groups.find(service);
    const bool isDeclared = group != m_groups.end() && group->second.longestPause > duration{};
    const double pause = toMilliseconds(isDeclared ? group->second.longestPause : m_options.defaultLongestPause);
    const double prefill = m_options.pausePrefillShare * std::max(0.0, pause - m_options.decodeMilliseconds);
    return static_cast<std::int64_t>(prefill * m_options.prefillTokensPerMillisecond);
}

void placement_planner::noteLongestPause(const placement_request &request, time_point now)
{
    // Routes change, so a pause that no request has declared for this long no longer counts.
    constexpr std::chrono::seconds declarationLifetime{10};
    auto &group = m_groups[request.service];
    const bool isShorter = group.longestPause == duration{} || request.longestPause <= group.longestPause;
    if (request.longestPause > duration{} && (isShorter || now - group.pauseDeclaredAt > declarationLifetime)) {
        group.longestPause = request.longestPause;
        group.pauseDeclaredAt = now;
    }
}

std::int64_t placement_planner::tokensAhead(const ranked_tokens &tokens, int rank) const
{
    return m_options.countsLessUrgentWork ? tokens.total() : tokens.upTo(rank);
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
    const auto uncached = std::max<std::int64_t>(request.promptTokens - m_loads.cachedTokens(request.prompt, id, now), 0);
    const double prefillMilliseconds = millisecondsToPrefill(target, uncached);
    const double wait = millisecondsToPrefill(target, tokensAhead(target.load.waitingTokens, request.rank) + uncached);
    const auto predicted = fromMilliseconds(m_options.baseFirstByteMilliseconds + wait);
    const double slots = std::max(1, target.endpoint->record.slots);
    // If every engine streams answers to short prompts, the longest prompts would exceed the limit everywhere and never be placed.
    const auto maxRecentTokens = maxRecentTokensWithStreams(request.service);
    const auto countedTokens = doAllHaveShortStreams ? std::min(uncached, maxRecentTokens / 2) : uncached;
    placement_obstacle obstacle = placement_obstacle::none;
    const bool hasCachedParts = request.prompt.size() > 1 && uncached <= request.prompt.back().tokens;
    const auto longPromptTokenLimit = static_cast<double>(m_options.maxLongPromptTokensPerEndpoint) * (hasCachedParts ? m_options.cacheHolderTokenFactor : 1);
    // A stream that goes on, or a request that was tried before, is not turned away for slots that short prompts may need.
    const bool isFull = request.isFirstTry() ? target.endpoint->record.slots > 0 && target.load.total() >= m_options.longPromptSlotShare * slots
                                             : hasShortStreams && target.load.total() >= slots;
    if (isFull) {
        obstacle = placement_obstacle::stream_pauses;
    } else if (target.load.longPrompts > 0 && static_cast<double>(tokensAhead(target.load.longPromptTokens, request.rank)) >= longPromptTokenLimit) {
        obstacle = placement_obstacle::token_limit;
    } else if (hasShortStreams && target.load.recentTokens + countedTokens > maxRecentTokens) {
        obstacle = placement_obstacle::stream_pauses;
    } else if (predicted > maxFirstByte(request, prefillMilliseconds, hasCachedParts ? m_options.cacheHolderWaitFactor : 1)) {
        obstacle = placement_obstacle::too_late;
    }
    // Breaks ties by prompt and endpoint, so that entries that place the same new part at the same time choose the same endpoint.
    constexpr double maxTieBreakMilliseconds = 20;
    const double tieBreak = maxTieBreakMilliseconds * static_cast<double>(mixBits(affinityKey(request) ^ target.order)) / 18446744073709551615.0;
    // The prefill of a long prompt stalls every stream of the engine.
    constexpr double stalledStreamMilliseconds = 60;
    // A prefill delays every request queued behind it, so its time counts in addition to this request's own wait.
    constexpr double prefillWeight = 4;
    constexpr double overcommitMilliseconds = 3000;
    const double cost = wait + prefillWeight * prefillMilliseconds + tieBreak
        + (hasShortStreams ? shortStreamPenaltyMilliseconds : stalledStreamMilliseconds * target.load.shortPrompts)
        + overcommitMilliseconds * std::max(0.0, target.load.total() / slots - 1) + failurePenalty * 100 * target.endpoint->health.failureShare();
    return {.target = &target,
            .uncached = uncached,
            .predictedFirstByte = predicted,
            .cost = cost,
            .obstacle = obstacle,
            .hasCachedParts = hasCachedParts,
            .hasShortStreams = hasShortStreams};
}

void placement_planner::restrictToSample(const placement_request &request, std::vector<long_prompt_option> &options, time_point now)
{
    const auto key = affinityKey(request);
    std::vector<std::pair<std::uint64_t, long_prompt_option *>> drawn;
    const bool doAllHaveShortStreams = std::all_of(options.begin(), options.end(), [](const long_prompt_option &option) { return option.hasShortStreams; });
    for (auto &option : options) {
        // Engines with streams of short prompts stay eligible at a higher cost. In the sample they would displace engines without.
        if (!option.hasCachedParts && (doAllHaveShortStreams || !option.hasShortStreams)) {
            drawn.emplace_back(mixBits(key ^ option.target->order), &option);
        }
    }
    const std::size_t entries = m_loads.liveEntries(now);
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

placement_decision placement_planner::placeLongPrompt(const placement_request &request, std::vector<candidate> usable, time_point now, placement_trace *trace)
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
    if (trace != nullptr) {
        for (const auto &option : options) {
            auto &traced = *trace->find(option.target->endpoint->record.id);
            traced.predictedFirstByte = option.predictedFirstByte;
            traced.obstacle = option.obstacle == placement_obstacle::none ? placement_obstacle::higher_cost : option.obstacle;
        }
    }
    auto best = std::min_element(options.begin(), options.end(), [](const long_prompt_option &left, const long_prompt_option &right) {
        return std::make_tuple(left.obstacle != placement_obstacle::none, left.cost) < std::make_tuple(right.obstacle != placement_obstacle::none, right.cost);
    });
    if (best->obstacle != placement_obstacle::none) {
        best = std::min_element(options.begin(), options.end(), [](const long_prompt_option &left, const long_prompt_option &right) {
            return left.predictedFirstByte < right.predictedFirstByte;
        });
    }
    // A stream that goes on has few engines to choose from, and ends unfinished if none takes it.
    const bool takesAnyEngine = request.softwareVersion.has_value() && best->predictedFirstByte <= request.maxFirstByteWait;
    if (best->obstacle != placement_obstacle::none && !takesAnyEngine) {
        return {.refusal = placement_refusal::overloaded,
                .retryAfter = std::max(best->predictedFirstByte, m_options.minRetryAfter),
                .predictedFirstByte = best->predictedFirstByte};
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
                       .assumedSlowness = best->target->slowness,
                       .cacheHolderObstacle = cacheHolderObstacle}};
}

void placement_planner::onSent(const placement_request &request, const placement &placed, time_point now)
{
    const auto &id = placed.endpoint->record.id;
    m_loads.onSent(workOf(placed));
    m_rateLimits.onSent(placed.endpoint->record, now);
    if (!request.hasPrompt) {
        return;
    }
    m_loads.recordPrefill(id, placed.uncachedTokens, now);
    if (placed.isLongPrompt) {
        m_loads.recordParts(request.prompt, id, now);
    } else {
        m_loads.recordShortPrompt(request.service, request.promptTokens, now);
        noteLongestPause(request, now);
    }
}

void placement_planner::onFirstByte(const placement &placed, duration sinceSent, time_point now)
{
    m_loads.onFirstByte(workOf(placed));
    if (placed.predictedFirstByte != duration{}) {
        const double ratio = toSeconds(sinceSent) / toSeconds(placed.predictedFirstByte);
        const auto &record = placed.endpoint->record;
        if (placed.isLongPrompt) {
            m_loads.recordLongPromptSlowness(record.service, record.id, ratio, placed.assumedSlowness, now);
        } else {
            m_loads.recordSlowness(record.id, ratio, now);
        }
    }
}

void placement_planner::onFinished(const placement &placed, bool hadFirstByte)
{
    m_loads.onFinished(workOf(placed), hadFirstByte);
}

load_digest placement_planner::digest(time_point now)
{
    auto result = m_loads.digest(now);
    result.rateLimits = m_rateLimits.digest(m_roster, now);
    return result;
}

std::vector<rate_limit_change> placement_planner::onPeerDigest(const std::string &peer, load_digest digest, time_point now)
{
    auto changes = m_rateLimits.onPeerDigest(peer, digest.rateLimits, now);
    m_loads.onPeerDigest(peer, std::move(digest), now);
    return changes;
}

void placement_planner::onRelayedLoad(load_digest digest, time_point now)
{
    m_loads.onRelayedLoad(std::move(digest), now);
}

std::size_t placement_planner::liveEntries(time_point now)
{
    return m_loads.liveEntries(now);
}

duration placement_planner::oldestPeerLoadAge(time_point now) const
{
    return m_loads.oldestPeerLoadAge(now);
}

std::size_t placement_planner::sharingEntries(time_point now) const
{
    return m_rateLimits.census().entries(now);
}

endpoint_load placement_planner::loadOf(const std::string &endpointId, time_point now)
{
    return m_loads.loadOf(endpointId, now);
}

std::size_t placement_planner::trackedEndpoints() const
{
    return m_loads.trackedEndpoints();
}

} // namespace wisteriashunt

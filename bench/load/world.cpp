#include "load/world.h"

#include <algorithm>

namespace wisteriashunt::load
{

namespace
{

constexpr duration tickInterval = std::chrono::milliseconds(20);
constexpr duration heartbeatInterval = std::chrono::milliseconds(200);
constexpr std::uint64_t firstEntryIncarnation = 1000;
/// A waiting higher-tier request counts as passed over only after this many message delays, because messages take
/// time to reach the endpoints.
constexpr int violationGraceHops = 20;
/// Endpoints select work to shed once per tick, so lower-tier work that arrived within the last ticks may not have been considered yet.
constexpr int refusalGraceTicks = 3;

} // namespace

simulation::simulation(const simulation_options &options)
    : m_options(options)
    , m_random(options.seed)
{
    for (int i = 0; i < options.engines; ++i) {
        endpoint_core_options core{.endpointName = "engine-" + std::to_string(i), .incarnation = static_cast<std::uint64_t>(i) + 1};
        if (options.fixedLimit > 0) {
            core.limiter.initial = core.limiter.minimum = core.limiter.maximum = options.fixedLimit;
        }
        if (options.isSheddingOff) {
            core.shedPolicy = [](time_point, const work_queue &, const wait_predictor &) { return std::vector<std::pair<waiting_work, duration>>{}; };
        }
        m_engines.push_back({.core = std::make_unique<endpoint_core>(core), .model = options.model, .running = {}, .cache = {}, .baselineQueue = {}});
        if (options.fixedLimit > 0) {
            for (auto &[name, resource] : m_options.configuration.endpoints) {
                resource.value.maxConcurrency = options.fixedLimit;
            }
        }
    }
    for (int i = 0; i < options.entries; ++i) {
        entry_core_options core{.instanceName = "entry-" + std::to_string(i),
                                .incarnation = entryIncarnation(static_cast<std::size_t>(i)),
                                .ranker = {.useAffinity = options.useAffinity},
                                .reservationSample = options.reservationSample,
                                .random = [this](std::uint64_t bound) { return m_random() % bound; }};
        m_entries.push_back(std::make_unique<entry_core>(core));
    }
    if (!options.isBaseline) {
        connect();
    }
}

std::uint64_t simulation::entryIncarnation(std::size_t entry) const
{
    return firstEntryIncarnation + entry;
}

void simulation::connect()
{
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        deliverToEndpoint(i, configuration_changed{m_options.configuration});
    }
    for (std::size_t e = 0; e < m_entries.size(); ++e) {
        deliverToEntry(e, configuration_changed{m_options.configuration});
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            deliverToEntry(e, endpoint_connected{.peer = i + 1, .name = "engine-" + std::to_string(i), .incarnation = i + 1});
        }
    }
    schedule(m_now, [this] { tickAll(); });
}

void simulation::schedule(time_point when, std::function<void()> action)
{
    m_actions.push({.at = when, .order = m_order++, .run = std::move(action)});
}

void simulation::scheduleAt(duration offset, std::function<void()> action)
{
    schedule(epoch + offset, std::move(action));
}

void simulation::submit(const std::vector<arrival> &arrivals)
{
    for (const auto &request : arrivals) {
        const std::size_t index = m_results.size();
        m_results.push_back({.request = request});
        schedule(request.at, [this, index] { m_options.isBaseline ? handleBaselineArrival(index) : handleArrival(index); });
    }
}

void simulation::run(duration until)
{
    const time_point end = epoch + until;
    while (!m_actions.empty() && m_actions.top().at <= end) {
        const timed_action next = m_actions.top();
        m_actions.pop();
        m_now = next.at;
        next.run();
    }
    m_now = end;
}

void simulation::tickAll()
{
    const bool isHeartbeat = (m_now - epoch) % heartbeatInterval == duration::zero();
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        deliverToEndpoint(i, tick{});
        if (!isHeartbeat) {
            continue;
        }
        const heartbeat load = m_engines[i].core->status(m_now);
        for (std::size_t e = 0; e < m_entries.size(); ++e) {
            ++m_counts.messages;
            schedule(m_now + m_options.networkDelay, [this, e, i, load] { deliverToEntry(e, peer_message{.peer = i + 1, .content = load}); });
        }
    }
    for (std::size_t e = 0; e < m_entries.size(); ++e) {
        deliverToEntry(e, tick{});
    }
    schedule(m_now + tickInterval, [this] { tickAll(); });
}

void simulation::handleArrival(std::size_t index)
{
    const arrival &request = m_results[index].request;
    m_waiting.insert(index);
    routed_request routed{.workspaceName = request.workspaceName,
                          .className = request.className,
                          .method = "POST",
                          .path = chatPath,
                          .contentType = "application/json",
                          .body = {},
                          .streaming = true,
                          .prefixHash = request.prefixHash,
                          .promptTokens = request.promptTokens};
    deliverToEntry(index % m_entries.size(), request_received{.caller = index + 1, .request = routed});
}

void simulation::deliverToEntry(std::size_t entry, const entry_event &event)
{
    execute(entry, m_entries[entry]->handle(m_now, event));
}

void simulation::deliverToEndpoint(std::size_t engineIndex, const endpoint_event &event)
{
    execute(engineIndex, m_engines[engineIndex].core->handle(m_now, event));
}

void simulation::execute(std::size_t entry, std::vector<entry_action> actions)
{
    for (auto &action : actions) {
        if (auto *sent = std::get_if<send_to_peer>(&action)) {
            ++m_counts.messages;
            const std::size_t target = sent->peer - 1;
            schedule(m_now + m_options.networkDelay, [this, target, entry, content = std::move(sent->content)] {
                deliverToEndpoint(target, peer_message{.peer = entry + 1, .content = content});
            });
        } else if (auto *chunk = std::get_if<answer_chunk>(&action)) {
            receive(chunk->caller - 1, chunk->data);
        } else if (auto *end = std::get_if<answer_end>(&action)) {
            finish(end->caller - 1, request_outcome::completed);
        } else if (auto *completed = std::get_if<answer_complete>(&action)) {
            finish(completed->caller - 1, request_outcome::completed);
        } else if (auto *error = std::get_if<answer_error>(&action)) {
            m_results[error->caller - 1].retryAfter = error->retryAfter;
            checkRefusal(error->caller - 1);
            finish(error->caller - 1, request_outcome::refused);
        } else if (auto *aborted = std::get_if<answer_aborted>(&action)) {
            finish(aborted->caller - 1, request_outcome::aborted);
        } else if (auto *recorded = std::get_if<decision>(&action); recorded != nullptr && recorded->event == event_number::offer_bound) {
            m_waiting.erase(resultIndexOf(recorded->request));
        }
    }
}

void simulation::execute(std::size_t engineIndex, std::vector<endpoint_action> actions)
{
    for (auto &action : actions) {
        if (auto *sent = std::get_if<send_to_peer>(&action)) {
            ++m_counts.messages;
            const std::size_t entry = sent->peer - 1;
            schedule(m_now + m_options.networkDelay, [this, entry, engineIndex, content = std::move(sent->content)] {
                deliverToEntry(entry, peer_message{.peer = engineIndex + 1, .content = content});
            });
        } else if (auto *started = std::get_if<start_upstream>(&action)) {
            startStream(engineIndex, started->request);
        } else if (auto *cancelled = std::get_if<cancel_upstream>(&action)) {
            m_engines[engineIndex].running.erase(cancelled->id);
        } else if (auto *recorded = std::get_if<decision>(&action)) {
            if (recorded->event == event_number::attempt_started) {
                checkStart(engineIndex, *recorded);
            }
        }
    }
}

void simulation::startStream(std::size_t engineIndex, const start &request)
{
    engine &target = m_engines[engineIndex];
    const std::size_t index = resultIndexOf(request.id.request);
    ++m_counts.starts;
    m_counts.resumes += request.resumeFrom > 0 ? 1 : 0;
    const std::uint32_t uncached = uncachedTokens(target, m_results[index].request);
    target.running[request.id] = {.resultIndex = index, .nextToken = request.resumeFrom, .generation = ++m_generation};
    scheduleToken(engineIndex, request.id, target.model.timeToFirstToken(uncached, target.running.size()));
}

std::uint32_t simulation::uncachedTokens(engine &target, const arrival &request)
{
    auto &cache = target.cache;
    const auto cached = std::find(cache.begin(), cache.end(), request.prefixHash);
    const bool isHit = cached != cache.end();
    if (isHit) {
        cache.erase(cached);
        ++m_counts.cacheHits;
    }
    cache.push_front(request.prefixHash);
    if (cache.size() > m_options.cachedPrefixes) {
        cache.pop_back();
    }
    return isHit ? static_cast<std::uint32_t>(request.promptTokens * m_options.recomputedShare) : request.promptTokens;
}

void simulation::scheduleToken(std::size_t engineIndex, const attempt_id &id, duration wait)
{
    const std::uint64_t generation = m_engines[engineIndex].running.at(id).generation;
    schedule(m_now + wait, [this, engineIndex, id, generation] { emitToken(engineIndex, id, generation); });
}

void simulation::emitToken(std::size_t engineIndex, const attempt_id &id, std::uint64_t generation)
{
    engine &target = m_engines[engineIndex];
    const auto position = target.running.find(id);
    if (position == target.running.end() || position->second.generation != generation) {
        return;
    }
    stream &current = position->second;
    const std::size_t index = current.resultIndex;
    const std::uint32_t token = current.nextToken++;
    const bool isLast = current.nextToken >= m_results[index].request.answerTokens;
    ++m_counts.tokensGenerated;
    if (m_options.isBaseline) {
        receive(index, std::to_string(token));
        if (isLast) {
            target.running.erase(position);
            finish(index, request_outcome::completed);
            startBaselineRequests(engineIndex);
            return;
        }
    } else {
        if (isLast) {
            target.running.erase(position);
        }
        deliverToEndpoint(engineIndex, upstream_chunk{.id = id, .events = 1, .data = std::to_string(token)});
        if (isLast) {
            deliverToEndpoint(engineIndex,
                              upstream_finished{finished{.id = id, .httpStatus = 200, .contentType = "text/event-stream", .body = {}, .events = 0}});
            return;
        }
    }
    scheduleToken(engineIndex, id, target.model.tokenGap(target.running.size()));
}

void simulation::receive(std::size_t index, const std::string &token)
{
    request_result &result = m_results[index];
    if (result.tokens == 0) {
        result.firstTokenAt = m_now;
    }
    result.hasTokenOutOfSequence = result.hasTokenOutOfSequence || token != std::to_string(result.tokens);
    ++result.tokens;
}

void simulation::finish(std::size_t index, request_outcome outcome)
{
    m_waiting.erase(index);
    m_results[index].outcome = outcome;
    m_results[index].endedAt = m_now;
}

void simulation::checkStart(std::size_t engineIndex, const decision &recorded)
{
    if (recorded.reason == toString(start_reason::floor)) {
        ++m_counts.floorStarts;
        return;
    }
    const auto &classes = m_options.configuration.classes;
    const std::string name = "engine-" + std::to_string(engineIndex);
    for (const std::size_t index : m_waiting) {
        const arrival &other = m_results[index].request;
        const traffic_class &declared = classes.at(other.className).value;
        const bool isEligible = std::find(declared.endpoints.begin(), declared.endpoints.end(), name) != declared.endpoints.end();
        if (isEligible && declared.tier < recorded.tier && m_now - other.at > violationGraceHops * m_options.networkDelay) {
            ++m_counts.orderViolations;
            return;
        }
    }
}

void simulation::checkRefusal(std::size_t index)
{
    const auto &classes = m_options.configuration.classes;
    const int tier = classes.at(m_results[index].request.className).value.tier;
    // Shedding spares the oldest request of a class with a floor. All other lower-tier requests must have been shed first.
    std::map<std::string, std::uint32_t> lower;
    for (const std::size_t other : m_waiting) {
        const arrival &waiting = m_results[other].request;
        const bool isLower = classes.at(waiting.className).value.tier > tier;
        if (isLower && m_now - waiting.at > refusalGraceTicks * tickInterval) {
            ++lower[waiting.className];
        }
    }
    const bool isPassedOver = std::any_of(lower.begin(), lower.end(), [](const auto &item) { return item.second > 1; });
    m_counts.refusedBeforeLower += isPassedOver ? 1 : 0;
}

std::size_t simulation::resultIndexOf(const request_id &id) const
{
    return id.sequence - 1;
}

void simulation::setSlowness(int engine, double slowness)
{
    m_engines.at(static_cast<std::size_t>(engine)).model.slowness = slowness;
}

void simulation::failRunningStreams(int engine)
{
    const auto index = static_cast<std::size_t>(engine);
    const auto running = std::exchange(m_engines.at(index).running, {});
    for (const auto &[id, current] : running) {
        if (m_options.isBaseline) {
            finish(current.resultIndex, request_outcome::aborted);
        } else {
            deliverToEndpoint(index, upstream_failed{.id = id, .mayHaveBeenSent = true, .detail = "connection reset"});
        }
    }
    if (m_options.isBaseline) {
        startBaselineRequests(index);
    }
}

void simulation::handleBaselineArrival(std::size_t index)
{
    const std::size_t chosen = m_random() % m_engines.size();
    m_engines[chosen].baselineQueue.push_back(index);
    m_waiting.insert(index);
    startBaselineRequests(chosen);
}

void simulation::startBaselineRequests(std::size_t engineIndex)
{
    engine &target = m_engines[engineIndex];
    while (!target.baselineQueue.empty() && target.running.size() < static_cast<std::size_t>(m_options.baselineLimit)) {
        const std::size_t index = target.baselineQueue.front();
        target.baselineQueue.pop_front();
        m_waiting.erase(index);
        decision recorded{.reason = "tier"};
        recorded.tier = m_options.configuration.classes.at(m_results[index].request.className).value.tier;
        checkStart(engineIndex, recorded);
        const attempt_id id{.request = {.entry = 1, .sequence = index + 1}, .attempt = 1};
        ++m_counts.starts;
        const std::uint32_t uncached = uncachedTokens(target, m_results[index].request);
        target.running[id] = {.resultIndex = index, .nextToken = 0, .generation = ++m_generation};
        scheduleToken(engineIndex, id, target.model.timeToFirstToken(uncached, target.running.size()));
    }
}

const std::vector<request_result> &simulation::results() const
{
    return m_results;
}

const simulation_counts &simulation::counts() const
{
    return m_counts;
}

int simulation::limitOf(int engine) const
{
    return static_cast<int>(m_engines.at(static_cast<std::size_t>(engine)).core->status(m_now).limit);
}

} // namespace wisteriashunt::load

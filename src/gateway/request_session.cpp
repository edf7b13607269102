#include "gateway/request_session.h"

#include "dispatch/request_fingerprint.h"
#include "dispatch/stop_admission.h"
#include "gateway/refusal.h"
#include "membership/hash.h"

#include <algorithm>
#include <array>
#include <functional>

namespace wisteriashunt
{

namespace
{

/// Time after the deadline during which an answer that is under way is still delivered.
constexpr std::chrono::milliseconds deadlineGrace{120};

/// Remaining time below which another attempt cannot produce an answer.
constexpr std::chrono::milliseconds minAttemptTime{60};

/// What a part of a prompt takes in the structures of a session.
constexpr std::size_t promptPartBytes = 160;

/// Engines accept priorities from 0, the most urgent, to 9.
constexpr int lowestPriority = 9;

} // namespace

request_session::request_session(gateway_context &context, std::shared_ptr<caller_connection> caller, received_request request)
    : m_context(context)
    , m_caller(std::move(caller))
    , m_request(std::move(request))
    , m_body(std::make_shared<const std::string>(std::move(m_request.body)))
    , m_charge(context.running)
    , m_arrival(context.loop.now())
    , m_run(std::make_shared<upstream_attempt>(context.running))
{
    ++m_context.openSessions;
    m_isRefusedForMemory = !hasRoomForRequest(m_context.memoryUse(), m_body->size());
    m_charge.set(heldBytes());
}

request_session::~request_session()
{
    --m_context.openSessions;
}

std::size_t request_session::heldBytes() const
{
    // A short body is copied for the endpoint.
    const auto copies = m_body->size() < longBodyBytes ? 2U : 1U;
    return m_request.heldBytes() + copies * m_body->size() + m_metadata.prompt.size() * promptPartBytes;
}

std::optional<error_kind> request_session::obstacleToTaking() const
{
    if (m_context.table == nullptr) {
        return error_kind::not_ready;
    }
    if (m_context.refusesNewRequests) {
        return error_kind::shutting_down;
    }
    return m_isRefusedForMemory ? std::optional(error_kind::overloaded) : std::nullopt;
}

std::optional<error_kind> request_session::admit()
{
    m_metadata = m_context.dialect.readRequest(m_request.headers);
    const auto host = findHeader(m_request.headers, "host");
    const auto admitted = admitRequest(
        m_context.table,
        m_context.streams,
        host ? &*host : nullptr,
        m_request.target,
        m_metadata,
        [this](const route_table &table) { return table.findWorkspace(m_metadata.apiKey); },
        m_arrival);
    m_route = admitted.matchedRoute;
    m_rank = admitted.rank;
    m_workspace = admitted.workspace;
    m_service = admitted.service;
    m_origin = admitted.origin;
    m_needsListReading = admitted.needsListReading;
    if (admitted.error) {
        return admitted.error;
    }
    if (m_context.stopsAt && !mayTakeBeforeStop(m_route->kind, timeLimitOf(*m_route, m_metadata), *m_context.stopsAt - m_arrival)) {
        return error_kind::shutting_down;
    }
    m_placementRequest = placementRequestOf(admitted, m_metadata);
    return std::nullopt;
}

void request_session::noteStreamBegun()
{
    if (!m_route->isResumable || m_origin) {
        return;
    }
    m_origin = {.service = m_service, .softwareVersion = m_run->placed.endpoint->record.softwareVersion};
    m_placementRequest.softwareVersion = m_origin->softwareVersion;
    const auto now = m_context.loop.now();
    // Callers take broken streams up until their own deadline, which may lie beyond the route's timeout.
    const auto timeLeft = m_arrival + m_metadata.callerTimeout.value_or(m_route->timeout) - now;
    m_context.streams.onBegun(m_metadata.attemptId, *m_origin, timeLeft, now);
}

void request_session::start()
{
    const auto obstacle = obstacleToTaking();
    if (const auto error = obstacle ? obstacle : admit()) {
        refuse(*error, m_isRefusedForMemory ? memoryRetryAfter : defaultRetryAfter);
        return;
    }
    if (m_needsListReading) {
        readListFirst();
    } else {
        begin();
    }
}

void request_session::readListFirst()
{
    m_isReadingList = true;
    m_timer = m_context.loop.schedule(m_arrival + maxFirstByteWaitOf(timeLimitOf(*m_route, m_metadata)), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onListRead(false);
        }
    });
    m_context.readList([self = shared_from_this()](bool isRead) { self->onListRead(isRead); });
}

void request_session::onListRead(bool isRead)
{
    if (m_isFinished || !std::exchange(m_isReadingList, false)) {
        return;
    }
    m_context.loop.cancel(m_timer);
    // A request that was taken is not refused because the entry has stopped taking requests since.
    const auto error = isRead ? admit() : std::optional(error_kind::stream_origin_unknown);
    m_context.log.write(event_number::list_read_for_stream,
                        {{"request", m_metadata.attemptId},
                         {"resumes", m_metadata.resumedAttempt},
                         {"read", isRead ? "yes" : "no"},
                         {"software", m_origin && !error ? m_origin->softwareVersion : "-"},
                         {"ms", milliseconds(m_context.loop.now() - m_arrival)}});
    if (error) {
        refuse(*error, defaultRetryAfter);
    } else {
        begin();
    }
}

void request_session::begin()
{
    m_deadline = m_arrival + timeLimitOf(*m_route, m_metadata);
    m_timer = m_context.loop.schedule(m_deadline + deadlineGrace, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onTimeout();
        }
    });
    m_line = waitingLineOf(m_service, m_placementRequest.hasPrompt && !m_context.planner.isLongPrompt(m_placementRequest));
    m_resumeAfter = m_metadata.lastEvent;
    m_fingerprint = fingerprintOf({.method = m_request.method, .target = m_request.target, .workspace = m_workspace, .body = *m_body});
    m_traits = m_placementRequest.hasPrompt ? sharedParts(m_metadata.prompt) : trait_set{};
    m_traits.insert({trait_kind::whole_request, m_fingerprint});
    m_charge.set(heldBytes());
    m_context.allowanceOf(m_service).onRequest(m_arrival);
    if (m_context.hedging.isOn()) {
        m_context.hedging.onRequest(m_service, m_context.planner.sharingEntries(m_arrival), m_arrival);
    }
    m_context.planner.rateLimits().onArrival(m_service, m_rank, m_arrival);
    dispatch();
}

duration request_session::timeLeft() const
{
    return m_deadline - m_context.loop.now();
}

std::optional<placement_decision> request_session::held() const
{
    return heldDecision(m_context.quarantine, m_service, m_traits, m_context.loop.now());
}

placement_decision request_session::place()
{
    if (const auto decision = held()) {
        return *decision;
    }
    m_placementRequest.maxFirstByteWait = maxFirstByteWaitOf(timeLeft());
    m_placementRequest.firstByteTarget = std::max(duration{}, m_route->firstByteTarget - (m_context.loop.now() - m_arrival));
    return m_context.planner.place(m_placementRequest, m_context.loop.now());
}

void request_session::dispatch()
{
    if (const auto decision = held()) {
        refuseUnplaced(*decision);
        return;
    }
    const bool mustQueue = mustWaitInLine(m_context.queue, m_placementRequest, m_context.planner.isLongPrompt(m_placementRequest));
    m_placementRequest.mayUsePermits = !hasWaiting(m_context.queue, m_placementRequest);
    const auto decision = mustQueue ? placement_decision{.refusal = placement_refusal::overloaded, .retryAfter = defaultRetryAfter} : place();
    if (decision.refusal == placement_refusal::none) {
        send(decision.chosen);
    } else if (decision.refusal != placement_refusal::overloaded || !waitInQueue(decision)) {
        refuseUnplaced(decision);
    }
}

bool request_session::waitInQueue(const placement_decision &refused)
{
    // The rest of the target is left for the engine to prefill the prompt and generate the first event. A stream that goes on may wait for as
    // long as its pause is acceptable.
    const time_point until = m_hasForwarded ? m_lastByteAt + m_route->eventGapTarget : m_arrival + queueTimeOf(*m_route);
    if (m_context.loop.now() >= until) {
        return false;
    }
    m_context.log.write(event_number::attempt_queued,
                        {{"request", m_metadata.attemptId},
                         {"rank", std::to_string(m_rank)},
                         {"predicted_ms", milliseconds(refused.predictedFirstByte)},
                         {"in_line", std::to_string(m_context.queue.size())},
                         {"entries", std::to_string(m_context.planner.liveEntries(m_context.loop.now()))}});
    m_ticket = m_context.queue.join(m_line, m_rank, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self == nullptr || self->m_isFinished) {
            return true;
        }
        self->m_placementRequest.mayUsePermits = true;
        const auto decision = self->place();
        if (decision.refusal == placement_refusal::overloaded) {
            return false;
        }
        self->leaveQueue();
        if (decision.refusal == placement_refusal::none) {
            self->send(decision.chosen);
        } else {
            self->refuseUnplaced(decision);
        }
        return true;
    });
    m_queueTimer = m_context.loop.schedule(until, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self != nullptr && self->m_ticket) {
            self->leaveQueue();
            self->refuseUnplaced({.refusal = placement_refusal::overloaded, .retryAfter = self->retryAfterPausesOr(placement_options{}.minRetryAfter)});
        }
    });
    if (refused.timeToPermit && m_context.loop.now() + *refused.timeToPermit < until) {
        m_permitTimer = m_context.loop.schedule(m_context.loop.now() + *refused.timeToPermit, [&context = m_context] { context.onCapacityFreed(); });
    }
    // The queue, the caller's connection and the timers hold only weak references to the session.
    m_selfWhileQueued = shared_from_this();
    return true;
}

void request_session::leaveQueue()
{
    if (!m_ticket) {
        return;
    }
    m_context.queue.leave(m_line, *m_ticket);
    m_context.loop.cancel(m_queueTimer);
    m_context.loop.cancel(m_permitTimer);
    m_ticket.reset();
    m_context.loop.retire(std::exchange(m_selfWhileQueued, nullptr));
}

duration request_session::retryAfterPausesOr(duration otherwise) const
{
    return std::max(otherwise, m_context.planner.retryAfterPauses(m_placementRequest, m_context.loop.now()).value_or(otherwise));
}

void request_session::refuseUnplaced(const placement_decision &decision)
{
    if (m_hasForwarded) {
        cut("no_endpoint");
    } else if (m_mayHaveRun) {
        refuse(error_kind::upstream_failed, defaultRetryAfter);
    } else {
        refuse(errorOf(decision.refusal), decision.retryAfter);
    }
}

void request_session::tryHeldTraits()
{
    const auto now = m_context.loop.now();
    if (m_context.quarantine.check(m_service, m_traits, now) != quarantine_verdict::trial) {
        return;
    }
    m_context.quarantine.onTrial(m_service, m_traits, now);
    const bool isWholeRequest = m_context.quarantine.isWholeRequestHeld(m_service, m_traits);
    m_context.log.write(isWholeRequest ? event_number::request_tried : event_number::prompt_tried,
                        {{"request", m_metadata.attemptId},
                         {"fingerprint", toHexadecimal(m_fingerprint)},
                         {"parts", hexadecimalList(idsOf(trait_kind::prompt_part, m_traits))}});
    m_context.onQuarantineChange();
}

std::uint64_t request_session::requestKey() const
{
    return hashText(m_metadata.attemptId);
}

std::string request_session::buildRequest(const listed_endpoint &endpoint) const
{
    const bool isLong = m_body->size() >= longBodyBytes;
    std::string out;
    out.reserve(m_request.headers.heldBytes() + (isLong ? 0 : m_body->size()) + 1024);
    out.append(m_request.method).append(" ").append(m_request.target).append(" HTTP/1.1\r\n");
    m_context.dialect.writeForwarded(out,
                                     endToEndHeaders(m_request.headers),
                                     {.endpointId = endpoint.record.id,
                                      .workspace = m_workspace,
                                      .timeLeft = std::max<duration>(timeLeft(), std::chrono::milliseconds(1)),
                                      .priority = m_placementRequest.hasPrompt ? std::optional(std::min(m_rank, lowestPriority)) : std::nullopt,
                                      .lastEvent = m_resumeAfter});
    if (!m_body->empty() || m_request.method != "GET") {
        appendHeader(out, "Content-Length", std::to_string(m_body->size()));
    }
    out.append("\r\n").append(isLong ? std::string_view{} : std::string_view(*m_body));
    return out;
}

void request_session::send(const placement &placed)
{
    const auto run = std::make_shared<upstream_attempt>(m_context.running);
    run->events = std::move(m_run->events);
    run->isContinuation = m_hasForwarded;
    m_run = run;
    start(run, placed);
    if (!m_hasForwarded && m_context.hedging.isOn()) {
        watchForSlowness();
    }
}

void request_session::start(const std::shared_ptr<upstream_attempt> &run, const placement &placed)
{
    const auto now = m_context.loop.now();
    run->placed = placed;
    run->sentAt = now;
    ++m_sentAttempts;
    m_placementRequest.excluded.push_back(placed.endpoint->record.id);
    tryHeldTraits();
    m_context.planner.onSent(m_placementRequest, placed, now);
    const auto load = m_context.planner.loadOf(placed.endpoint->record.id, now);
    m_context.log.write(event_number::attempt_started,
                        {{"request", m_metadata.attemptId},
                         {"endpoint", placed.endpoint->record.id},
                         {"rank", std::to_string(m_rank)},
                         {"prompt", std::to_string(m_metadata.promptTokens)},
                         {"part", m_metadata.prompt.size() < 2 ? "-" : std::to_string(m_metadata.prompt[m_metadata.prompt.size() - 2].id)},
                         {"unread", std::to_string(placed.uncachedTokens)},
                         {"heavy", placed.isLongPrompt ? "yes" : "no"},
                         {"light_there", std::to_string(load.shortPrompts)},
                         {"heavy_there", std::to_string(load.longPrompts)},
                         {"tokens_there", std::to_string(load.waitingTokens.total())},
                         {"predicted_ms", milliseconds(placed.predictedFirstByte)},
                         {"passed_over", std::string(toString(placed.cacheHolderObstacle))},
                         {"software", placed.endpoint->record.softwareVersion},
                         {"resume_after", m_resumeAfter ? std::to_string(*m_resumeAfter) : "-"},
                         {"resumes", m_metadata.resumedAttempt.empty() ? "-" : m_metadata.resumedAttempt},
                         {"fingerprint", toHexadecimal(m_fingerprint)},
                         {"entries", std::to_string(m_context.planner.liveEntries(now))},
                         {"hedge", run->isHedge ? "yes" : "no"}});
    run->exchange = m_context.pool.acquire(placed.endpoint, requestKey());
    const auto self = shared_from_this();
    run->exchange->send(buildRequest(*placed.endpoint),
                        {.onHead = [self, run](http_response_head &head) { return self->onHead(*run, head); },
                         .onBody = [self, run](std::string_view bytes) { self->onBody(*run, bytes); },
                         .onComplete = [self, run] { self->onComplete(*run); },
                         .onFailure = [self, run](exchange_failure failure, close_reason end) { self->onFailure(*run, failure, end); }},
                        m_body->size() < longBodyBytes ? nullptr : m_body);
}

attempt_state request_session::state() const
{
    return {.kind = m_route->kind,
            .isResumable = m_route->isResumable && m_run->events.canResume() && (!m_hasForwarded || m_forwardsEvents),
            .maxAttempts = m_route->maxAttempts,
            .sentAttempts = m_sentAttempts,
            .failedConnects = m_failedConnects,
            .hasForwarded = m_hasForwarded,
            .mayHaveRun = m_mayHaveRun,
            .mayCrashEndpoints = !m_hasForwarded && !m_context.quarantine.mayRepeat(m_service, m_traits),
            .hasTime = timeLeft() > minAttemptTime};
}

void request_session::onAttemptEnded(upstream_attempt &run, attempt_outcome outcome)
{
    if (goesOnWithOther(run, outcome)) {
        return;
    }
    m_context.loop.cancel(m_hedgeTimer);
    if (outcome == attempt_outcome::answered && m_route->kind == repeatability::idempotent) {
        recordTime(run);
    }
    const auto now = m_context.loop.now();
    const auto step = decideNextStep(state(), outcome, [&] { return m_context.allowanceOf(m_service).trySpend(now, m_context.planner.sharingEntries(now)); });
    if (step != next_step::answer) {
        m_context.counters.count(event_number::attempt_retried, m_route->name);
        m_context.log.write(event_number::attempt_retried,
                            {{"request", m_metadata.attemptId},
                             {"outcome", std::string(toString(outcome))},
                             {"next", std::string(toString(step))},
                             {"attempts", std::to_string(m_sentAttempts)}});
    }
    switch (step) {
    case next_step::answer:
        forwardResponse();
        return;
    case next_step::send_again:
        m_run->events.dropPartial();
        if (m_run->events.lastEvent()) {
            m_resumeAfter = m_run->events.lastEvent();
        }
        dispatch();
        return;
    case next_step::refuse:
        refuse(error_kind::overloaded, retryAfterPausesOr(defaultRetryAfter));
        return;
    case next_step::report_unknown:
        refuse(m_route->kind == repeatability::idempotent ? error_kind::upstream_failed : error_kind::outcome_unknown, defaultRetryAfter);
        return;
    case next_step::cut:
        cut("endpoint_failed");
        return;
    }
}

void request_session::onCallerDisconnected()
{
    m_caller.reset();
    // A non-stream request that may run at most once is left to complete at the endpoint; its answer is discarded.
    if (m_route && m_route->kind == repeatability::at_most_once && m_run->isRunning()) {
        return;
    }
    dropAttempts();
    finish(event_number::request_cut, "caller_left");
}

void request_session::onTimeout()
{
    if (m_isFinished) {
        return;
    }
    const bool wasSent = m_sentAttempts > 0;
    for (const auto &run : {m_run, m_rival}) {
        m_mayHaveRun = m_mayHaveRun || (run != nullptr && run->isRunning() && run->exchange->isConnected());
    }
    dropAttempts();
    if (m_hasForwarded) {
        cut("timeout");
        return;
    }
    if (m_caller == nullptr) {
        finish(event_number::request_cut, "timeout");
        return;
    }
    refuse(wasSent && m_mayHaveRun ? error_kind::deadline_exceeded : error_kind::overloaded, defaultRetryAfter);
}

} // namespace wisteriashunt

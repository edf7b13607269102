// Attempts of a request session: what arrives from the endpoint, and how the attempt ends.
#include "gateway/request_session.h"

#include <utility>

namespace wisteriashunt
{

namespace
{

constexpr int firstServerError = 500;

/// An endpoint that has answered for this long does not crash from beginning the answer.
constexpr std::chrono::milliseconds minAnswered{500};

bool isSuccess(int status)
{
    constexpr int firstRedirect = 300;
    return status < firstRedirect;
}

} // namespace

bool request_session::onHead(upstream_attempt &run, http_response_head &head)
{
    const auto metadata = m_context.dialect.readResponse(head.status, head.headers);
    // Without an ID, an answer on a connection that has carried others may be a late copy of one of them.
    const bool isForOtherAttempt = metadata.attemptId.empty() ? run.exchange->mayCarryCopies() : metadata.attemptId != m_metadata.attemptId;
    const bool isUnverifiedSuccess = isSuccess(head.status) && (metadata.attemptId.empty() || !metadata.isSigned);
    if (isForOtherAttempt && !isUnverifiedSuccess) {
        // A pause is counted from when it is asked for, which was earlier. That an endpoint leaves stays true.
        auto lasting = metadata;
        lasting.pause.reset();
        noteNotices(run, lasting);
    } else if (!isUnverifiedSuccess) {
        noteNotices(run, metadata);
    }
    if (isForOtherAttempt || isUnverifiedSuccess) {
        return false;
    }
    run.head = std::move(head);
    run.response = metadata;
    noteRateLimit(run);
    return true;
}

void request_session::noteNotices(const upstream_attempt &run, const response_metadata &response)
{
    const auto now = m_context.loop.now();
    const auto &asked = run.placed.endpoint->record;
    for (const auto &odd : response.oddNotices) {
        if (m_context.takeReport(m_context.oddNoticeReports, asked.id)) {
            m_context.log.write(event_number::endpoint_notice_odd, {{"endpoint", asked.id}, {"value", odd}});
        }
    }
    // Another endpoint has taken over the address of the one that was asked.
    const auto answering = response.isFromOtherEndpoint ? m_context.roster.atAddress(asked.address, asked.id) : run.placed.endpoint;
    if (answering == nullptr) {
        return;
    }
    const auto incarnation = answering->incarnation();
    if (response.isLeaving && m_context.roster.noteLeaving(incarnation, now)) {
        m_context.log.write(event_number::endpoint_leaving, {{"endpoint", incarnation.id}, {"request", m_metadata.attemptId}});
        m_context.onEndpointLeaving();
    }
    if (response.pause && m_context.roster.notePause(incarnation, *response.pause, now)) {
        m_context.log.write(event_number::endpoint_paused,
                            {{"endpoint", incarnation.id}, {"pause_ms", milliseconds(*response.pause)}, {"request", m_metadata.attemptId}});
    }
}

void request_session::noteRateLimit(const upstream_attempt &run)
{
    if (run.response.isFromOtherEndpoint) {
        return;
    }
    const auto now = m_context.loop.now();
    const auto &endpoint = run.placed.endpoint->record;
    if (run.response.unusableRateLimit) {
        if (m_context.takeReport(m_context.unusableLimitReports, endpoint.id)) {
            m_context.log.write(event_number::rate_limit_unusable, {{"endpoint", endpoint.id}, {"value", "'" + *run.response.unusableRateLimit + "'"}});
        }
        if (!run.response.rateLimit) {
            return;
        }
    }
    if (const auto change = m_context.planner.rateLimits().onAnswer(endpoint, run.response.rateLimit, run.sentAt, now)) {
        logRateLimitChange(m_context.log, *change, {.key = "request", .value = m_metadata.attemptId});
    }
}

bool request_session::isStreamSuccess(const upstream_attempt &run) const
{
    return m_route->kind == repeatability::stream && isSuccess(run.head.status);
}

bool request_session::isEventStream(const upstream_attempt &run) const
{
    constexpr std::string_view eventStreamType = "text/event-stream";
    const auto type = findHeader(run.head.headers, "content-type");
    return isStreamSuccess(run) && (!type || equalsIgnoreCase(std::string_view(*type).substr(0, eventStreamType.size()), eventStreamType));
}

std::optional<std::string> request_session::breakOfCompleteAnswer(const upstream_attempt &run) const
{
    // An endpoint that has no event after the last one ends its stream as it would after others. Any other answer without an event is none.
    const bool isEmptyStream = run.head.framing == body_framing::chunks && isEventStream(run);
    if (run.isContinuation && isStreamSuccess(run) && !run.hasForwardedEvent && !isEmptyStream) {
        return "no_event";
    }
    if (isEventStream(run) && run.events.hasPartial()) {
        return "unfinished_event";
    }
    // An endpoint that fails before the first event closes the connection like one that has written its last event.
    if (isStreamSuccess(run) && run.head.framing == body_framing::connection_end && !run.hasFirstByte) {
        return "no_event";
    }
    return std::nullopt;
}

void request_session::onBody(upstream_attempt &run, std::string_view bytes)
{
    if (!run.hasFirstByte && !run.response.didNotRun) {
        // The endpoint has begun to run the request.
        run.hasFirstByte = true;
        run.firstByteAt = m_context.loop.now();
        m_context.planner.onFirstByte(run.placed, m_context.loop.now() - run.sentAt, m_context.loop.now());
        noteRunBegun(run);
    }
    if (isStreamSuccess(run) && m_context.loop.now() - run.firstByteAt >= minAnswered) {
        clearTraits(run);
    }
    if (!isStreamSuccess(run)) {
        run.appendBody(bytes);
        if (!freeMemory(run)) {
            return;
        }
        if (run.body.size() > m_context.maxAnswerBytes || !hasRoomForAnswer(m_context.memoryUse(), run.body.size())) {
            run.exchange->close();
            onBroken(run, "answer_too_large", toString(run.head.framing));
        }
    } else if (run.isContinuation && !isEventStream(run)) {
        run.exchange->close();
        onBroken(run, "not_an_event_stream", toString(run.head.framing));
    } else if (m_caller != nullptr) {
        forwardEvents(run, isEventStream(run) ? run.events.feed(bytes) : bytes);
        run.updateCharge();
        if (!freeMemory(run)) {
            return;
        }
        if (run.events.partialBytes() > m_context.maxEventBytes) {
            run.exchange->close();
            onBroken(run, "event_too_large", toString(run.head.framing));
            return;
        }
        if (run.events.isOutOfOrder()) {
            dropAttempts();
            cut("resumed_out_of_order");
        }
    }
}

bool request_session::freeMemory(const upstream_attempt &run) const
{
    if (m_context.buffers->isOver()) {
        m_context.onMemoryOver();
    }
    return run.isRunning();
}

void request_session::noteRunBegun(const upstream_attempt &run)
{
    // A model request begins to run with its first token; any other runs if its endpoint answers it at all.
    const bool hasBegun = isSuccess(run.head.status) || m_route->kind != repeatability::stream;
    // A request counts once, however often it runs.
    if (hasBegun && !std::exchange(m_hasBegunToRun, true)) {
        m_context.onRunBegun(m_workspace);
    }
}

void request_session::releaseEndpoint(upstream_attempt &run, endpoint_outcome outcome)
{
    if (!run.isRunning()) {
        return;
    }
    const auto endpoint = run.placed.endpoint;
    const auto exchange = std::exchange(run.exchange, nullptr);
    m_context.counters.countLabelled("attempts_total", "endpoint", endpoint->record.id, std::string(toString(outcome)));
    m_context.planner.onFinished(run.placed, run.hasFirstByte);
    m_context.onCapacityFreed();
    // An endpoint that asks for a pause indicates load, like one that does not run a request.
    const auto healthOutcome = run.response.pause ? endpoint_outcome::did_not_run : outcome;
    if (endpoint->health.report(healthOutcome, m_context.loop.now(), {})) {
        m_context.log.write(event_number::endpoint_suspended, {{"endpoint", endpoint->record.id}, {"request", m_metadata.attemptId}});
        m_context.pool.closeIdle(endpoint);
    }
    m_context.pool.release(endpoint, exchange);
}

void request_session::onComplete(upstream_attempt &run)
{
    if (const auto reason = breakOfCompleteAnswer(run)) {
        reportUnbegun(run);
        onBroken(run, *reason, toString(run.head.framing));
        return;
    }
    const bool didNotRun = run.response.didNotRun;
    if (!didNotRun && !run.hasFirstByte) {
        noteRunBegun(run);
    }
    if (didNotRun) {
        run.exchange->noteRefused(requestKey());
    }
    const bool isServerError = run.head.status >= firstServerError;
    m_mayHaveRun = m_mayHaveRun || !didNotRun;
    if (!didNotRun && (run.hasFirstByte || !isStreamSuccess(run))) {
        clearTraits(run);
    }
    releaseEndpoint(run, didNotRun ? endpoint_outcome::did_not_run : isServerError ? endpoint_outcome::failed : endpoint_outcome::answered);
    if (m_caller == nullptr) {
        finish(event_number::request_cut, "caller_left");
        return;
    }
    if (isStreamSuccess(run)) {
        settleOn(run);
        if (!m_hasForwarded) {
            std::string head;
            appendResponseHead(head, run.head.status, run.head.reason, endToEndHeaders(run.head.headers));
            m_caller->beginStream(std::move(head));
        }
        const auto caller = std::exchange(m_caller, nullptr);
        finish(event_number::request_answered, std::to_string(run.head.status));
        caller->endStream();
        return;
    }
    onAttemptEnded(run, didNotRun ? attempt_outcome::did_not_run : isServerError ? attempt_outcome::server_error : attempt_outcome::answered);
}

void request_session::logAttemptEnd(const upstream_attempt &run, std::string_view reason, std::string_view end)
{
    m_context.log.write(event_number::attempt_ended,
                        {{"request", m_metadata.attemptId},
                         {"endpoint", run.placed.endpoint->record.id},
                         {"reason", std::string(reason)},
                         {"connection", std::string(end)},
                         {"ms", milliseconds(m_context.loop.now() - run.sentAt)}});
}

void request_session::onBroken(upstream_attempt &run, std::string_view reason, std::string_view end)
{
    logAttemptEnd(run, reason, end);
    m_mayHaveRun = true;
    releaseEndpoint(run, endpoint_outcome::broken);
    if (m_caller == nullptr) {
        finish(event_number::request_cut, "caller_left");
        return;
    }
    onAttemptEnded(run, attempt_outcome::broken);
}

void request_session::onFailure(upstream_attempt &run, exchange_failure failure, close_reason end)
{
    const bool wasSent = failure != exchange_failure::never_sent;
    const bool isUnreachable = !wasSent || end == close_reason::timed_out;
    logAttemptEnd(run, toString(failure), toString(end));
    if (wasSent && (end == close_reason::closed_by_peer || end == close_reason::reset)) {
        reportUnbegun(run);
    }
    if (wasSent) {
        m_mayHaveRun = true;
    } else {
        --m_sentAttempts;
        ++m_failedConnects;
    }
    releaseEndpoint(run, isUnreachable ? endpoint_outcome::unreachable : endpoint_outcome::broken);
    if (m_caller == nullptr) {
        finish(event_number::request_cut, "caller_left");
        return;
    }
    onAttemptEnded(run, wasSent ? attempt_outcome::broken : attempt_outcome::never_sent);
}

void request_session::dropAttempt(upstream_attempt &run)
{
    if (!run.isRunning()) {
        return;
    }
    reportSilence(run);
    std::exchange(run.exchange, nullptr)->close();
    m_context.planner.onFinished(run.placed, run.hasFirstByte);
    m_context.onCapacityFreed();
}

void request_session::dropAttempts()
{
    dropAttempt(*m_run);
    if (m_rival != nullptr) {
        dropAttempt(*m_rival);
    }
}

void request_session::clearTraits(upstream_attempt &run)
{
    if (run.hasCleared || run.head.status >= firstServerError) {
        return;
    }
    run.hasCleared = true;
    // An endpoint may reject a request without reading its prompt.
    const trait_set itself{{trait_kind::whole_request, m_fingerprint}};
    m_context.quarantine.onAnswered(m_service, isSuccess(run.head.status) ? m_traits : itself, m_context.loop.now());
    m_context.onQuarantineChange();
}

void request_session::reportUnbegun(const upstream_attempt &run)
{
    if (!run.isRunning()) {
        return;
    }
    const bool isUnbegun = !run.hasFirstByte || m_context.loop.now() - run.firstByteAt < minAnswered;
    if (isUnbegun) {
        m_context.crashes.onBroken(run.placed.endpoint, {.attemptId = m_metadata.attemptId, .traits = m_traits});
    } else if (!isStreamSuccess(run)) {
        // The endpoint may have crashed while it worked on an answer of which it had sent a part.
        m_context.crashes.onBroken(run.placed.endpoint, {.attemptId = m_metadata.attemptId, .traits = {{trait_kind::whole_request, m_fingerprint}}});
    }
}

void request_session::reportSilence(const upstream_attempt &run)
{
    // A caller that disconnects early is no evidence against the endpoint; one that disconnects after a long silence is.
    constexpr std::chrono::milliseconds minSilence{500};
    if (run.isRunning() && !run.hasFirstByte && m_context.loop.now() - run.sentAt > std::max<duration>(2 * m_route->firstByteTarget, minSilence)) {
        run.placed.endpoint->health.report(endpoint_outcome::broken, m_context.loop.now(), {});
    }
}

} // namespace wisteriashunt

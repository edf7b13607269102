// Answers of a request session to its caller: forwarded, refused or cut off.
#include "gateway/request_session.h"

#include "dispatch/answer_lateness.h"
#include "dispatch/request_fingerprint.h"
#include "gateway/refusal.h"

#include <algorithm>
#include <array>

namespace wisteriashunt
{

namespace
{

/// Whether the status tells the caller that the request did not run.
bool promisesNotRun(int status)
{
    constexpr std::array promised{408, 421, 429, 503};
    return std::find(promised.begin(), promised.end(), status) != promised.end();
}

} // namespace

void request_session::recordForwarding()
{
    const auto now = m_context.loop.now();
    if (!m_hasForwarded) {
        m_firstByteAfter = now - m_arrival;
    } else {
        m_longestPause = std::max(m_longestPause, now - m_lastByteAt);
    }
    m_lastByteAt = now;
}

void request_session::forwardEvents(upstream_attempt &run, std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    settleOn(run);
    recordForwarding();
    run.hasForwardedEvent = true;
    if (!m_hasForwarded) {
        m_hasForwarded = true;
        m_forwardsEvents = isEventStream(run);
        recordTime(run);
        noteStreamBegun();
        std::string head;
        appendResponseHead(head, run.head.status, run.head.reason, endToEndHeaders(run.head.headers));
        m_caller->beginStream(std::move(head));
        m_caller->onDrained = [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (self != nullptr && self->m_run->isRunning()) {
                self->m_run->exchange->setReading(true);
            }
        };
    }
    m_caller->writeChunk(bytes);
    if (m_caller->pendingBytes() > answerBacklog(m_context.memory, m_context.openSessions, m_context.isMemoryShort) && run.isRunning()) {
        run.exchange->setReading(false);
    }
}

void request_session::forwardResponse()
{
    if (m_hasForwarded) {
        cut("endpoint_failed");
        return;
    }
    // The endpoint ran the request, so its answer must not carry a status that says otherwise.
    if (promisesNotRun(m_run->head.status)) {
        refuse(error_kind::upstream_failed, defaultRetryAfter);
        return;
    }
    recordForwarding();
    std::string head;
    appendResponseHead(head, m_run->head.status, m_run->head.reason, endToEndHeaders(m_run->head.headers));
    const auto caller = std::exchange(m_caller, nullptr);
    finish(event_number::request_answered, std::to_string(m_run->head.status));
    if (m_run->body.size() < longBodyBytes) {
        caller->answer(std::move(head), m_run->body);
    } else {
        caller->answerShared(std::move(head), std::make_shared<const std::string>(m_run->takeBody()));
    }
}

void request_session::refuse(error_kind kind, duration retryAfter)
{
    if (m_failedAnswer != nullptr && m_caller != nullptr) {
        // The whole answer of an endpoint, if only a failure, tells the caller more.
        m_run = std::exchange(m_failedAnswer, nullptr);
        forwardResponse();
        return;
    }
    const auto answer = makeRefusal(m_context.dialect, kind, retryAfter);
    const auto caller = std::exchange(m_caller, nullptr);
    finish(event_number::request_refused, std::string(answerFor(kind).name));
    if (caller != nullptr) {
        caller->answer(answer.head, answer.body);
    }
}

void request_session::cut(std::string_view reason)
{
    const auto caller = std::exchange(m_caller, nullptr);
    finish(event_number::request_cut, std::string(reason));
    if (m_origin) {
        m_context.onStreamCut();
    }
    if (caller != nullptr) {
        caller->abort();
    }
}

void request_session::finish(event_number event, const std::string &reason)
{
    if (m_isFinished) {
        return;
    }
    m_isFinished = true;
    leaveQueue();
    m_context.loop.cancel(m_timer);
    m_context.loop.cancel(m_hedgeTimer);
    reportNoHedge();
    const std::string routeName = m_route ? m_route->name : "-";
    m_context.counters.count(event, routeName);
    m_context.counters.countLabelled("requests_total", "class", routeName, reason);
    std::string_view late = "-";
    if (event == event_number::request_answered) {
        late = toString(latenessOf({.firstByte = m_firstByteAfter, .longestPause = m_longestPause},
                                   {.firstByte = m_route->firstByteTarget, .longestPause = m_route->eventGapTarget}));
        m_context.counters.countLabelled("answers_late_total", "class", routeName, std::string(late));
        m_context.counters.countLabelled(
            "answers_total", "framing", std::string(toString(m_run->head.framing)), m_run->events.hasPartial() ? "unfinished" : "whole");
    }
    if (m_firstByteAfter > duration{}) {
        m_context.counters.observeSeconds("first_byte_seconds", routeName, toSeconds(m_firstByteAfter));
        m_context.counters.observeSeconds("longest_pause_seconds", routeName, toSeconds(m_longestPause));
    }
    m_context.log.write(event,
                        {{"request", m_metadata.attemptId},
                         {"route", routeName},
                         {"workspace", m_workspace.empty() ? "-" : m_workspace},
                         {"rank", std::to_string(m_rank)},
                         {"reason", reason},
                         {"parts", reason == answerFor(error_kind::prompt_quarantined).name ? hexadecimalList(idsOf(trait_kind::prompt_part, m_traits)) : "-"},
                         {"fingerprint", toHexadecimal(m_fingerprint)},
                         {"framing", std::string(event == event_number::request_answered ? toString(m_run->head.framing) : "-")},
                         {"last_event", m_run->events.hasPartial() ? "unfinished" : "whole"},
                         {"endpoint", m_run->placed.endpoint == nullptr ? "-" : m_run->placed.endpoint->record.id},
                         {"attempts", std::to_string(m_sentAttempts)},
                         {"first_ms", milliseconds(m_firstByteAfter)},
                         {"pause_ms", milliseconds(m_longestPause)},
                         {"late", std::string(late)},
                         {"ms", milliseconds(m_context.loop.now() - m_arrival)},
                         {"version", m_route.version() ? std::to_string(*m_route.version()) : "-"}});
}

} // namespace wisteriashunt

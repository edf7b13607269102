// Second runs of slow requests: when one is sent, and which of the two runs answers the caller.
#include "gateway/request_session.h"

namespace wisteriashunt
{

namespace
{

/// Most looks at one slow run.
constexpr int maxHedgeChecks = 4;

} // namespace

hedge_kind request_session::hedgeKind() const
{
    if (!m_placementRequest.hasPrompt) {
        return m_route->kind == repeatability::stream ? hedge_kind::stream : hedge_kind::plain;
    }
    return m_context.planner.isLongPrompt(m_placementRequest) ? hedge_kind::long_prompt : hedge_kind::short_prompt;
}

void request_session::recordTime(const upstream_attempt &run)
{
    if (mayRepeat(state())) {
        m_context.hedging.onTook(m_service, hedgeKind(), run.placed.predictedFirstByte, m_context.loop.now() - run.sentAt);
    }
}

void request_session::watchForSlowness()
{
    const auto delay = mayRepeat(state()) ? m_context.hedging.delayOf(m_service, hedgeKind(), m_run->placed.predictedFirstByte) : std::nullopt;
    m_hedgeChecks = 0;
    if (delay && *delay < timeLeft()) {
        considerHedge(*delay);
    }
}

void request_session::considerHedge(duration sinceSent)
{
    m_hedgeTimer = m_context.loop.schedule(m_run->sentAt + sinceSent, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self == nullptr || self->m_isFinished || !self->m_run->isRunning() || self->m_rival != nullptr || self->m_hasForwarded) {
            return;
        }
        const auto slow = self->slowRequest();
        const auto obstacle = self->tryHedge(slow);
        self->m_hedgeObstacle = obstacle;
        if (obstacle != hedge_obstacle::none && !isFinal(obstacle) && ++self->m_hedgeChecks < maxHedgeChecks) {
            self->considerHedge(self->m_context.hedging.nextLook(slow, obstacle));
        }
    });
}

slow_request request_session::slowRequest() const
{
    const auto now = m_context.loop.now();
    return {.service = m_service,
            .kind = hedgeKind(),
            .state = state(),
            .isEntryLeaving = m_context.isLeaving,
            .promptTokens = m_placementRequest.hasPrompt ? m_metadata.promptTokens : 0,
            .predicted = m_run->placed.predictedFirstByte,
            .running = now - m_run->sentAt,
            .toTarget = m_arrival + m_route->firstByteTarget - now,
            .toDeadline = timeLeft()};
}

hedge_obstacle request_session::tryHedge(const slow_request &slow)
{
    const auto now = m_context.loop.now();
    placement placed;
    const hedge_questions ask{
        .place = [&]() -> std::optional<hedge_target> {
            // Whoever waits for capacity goes first.
            if (isAnyWaiting(m_context.queue, m_service)) {
                return std::nullopt;
            }
            m_placementRequest.mayUsePermits = true;
            const auto decision = place();
            if (decision.refusal != placement_refusal::none) {
                return std::nullopt;
            }
            placed = decision.chosen;
            const int load = m_context.planner.loadOf(placed.endpoint->record.id, now).total();
            return hedge_target{.predicted = placed.predictedFirstByte,
                                .isFull = load >= placed.endpoint->record.slots,
                                .isBusier = !m_placementRequest.hasPrompt && load > m_context.planner.loadOf(m_run->placed.endpoint->record.id, now).total()};
        },
        .trySpendRetry = [&](double share) { return m_context.allowanceOf(m_service).trySpend(now, m_context.planner.sharingEntries(now), share); }};
    const auto obstacle = m_context.hedging.decide(slow, ask, now);
    if (obstacle != hedge_obstacle::none) {
        return obstacle;
    }
    m_context.counters.countLabelled("hedges_total", "class", m_route->name, "sent");
    m_context.counters.countLabelled("hedge_tokens_total", "class", m_route->name, "sent", static_cast<std::uint64_t>(slow.promptTokens));
    m_context.log.write(event_number::hedge_sent,
                        {{"request", m_metadata.attemptId},
                         {"slow", m_run->placed.endpoint->record.id},
                         {"endpoint", placed.endpoint->record.id},
                         {"after_ms", milliseconds(now - m_run->sentAt)},
                         {"predicted_ms", milliseconds(m_run->placed.predictedFirstByte)},
                         {"tokens", std::to_string(slow.promptTokens)}});
    m_rival = std::make_shared<upstream_attempt>(m_context.running);
    m_rival->isHedge = true;
    m_rival->events = m_run->events;
    m_rival->events.dropPartial();
    start(m_rival, placed);
    return hedge_obstacle::none;
}

void request_session::reportNoHedge()
{
    if (m_hedgeObstacle == hedge_obstacle::none) {
        return;
    }
    const auto reason = std::string(toString(m_hedgeObstacle));
    m_context.counters.countLabelled("hedges_total", "class", m_route->name, "not_sent_" + reason);
    if (m_context.takeReport(m_context.noHedgeReports, m_service + " " + reason)) {
        m_context.log.write(event_number::hedge_not_sent, {{"request", m_metadata.attemptId}, {"service", m_service}, {"reason", reason}});
    }
}

std::shared_ptr<upstream_attempt> request_session::detachOtherThan(const upstream_attempt &run)
{
    return &run == m_run.get() ? std::exchange(m_rival, nullptr) : std::exchange(m_run, std::exchange(m_rival, nullptr));
}

void request_session::settleOn(const upstream_attempt &run)
{
    if (m_rival == nullptr) {
        return;
    }
    const auto other = detachOtherThan(run);
    if (run.isHedge && !other->hasFirstByte) {
        // It would have taken longer still. Without it, the endpoint and the kind of request would seem faster than they are.
        const auto now = m_context.loop.now();
        recordTime(*other);
        other->hasFirstByte = true;
        m_context.planner.onFirstByte(other->placed, now - other->sentAt, now);
    }
    dropAttempt(*other);
    const auto event = run.isHedge ? event_number::hedge_won : event_number::hedge_lost;
    m_context.counters.countLabelled("hedges_total", "class", m_route->name, run.isHedge ? "won" : "lost");
    m_context.log.write(event,
                        {{"request", m_metadata.attemptId},
                         {"endpoint", run.isHedge ? run.placed.endpoint->record.id : other->placed.endpoint->record.id},
                         {"reason", "overtaken"},
                         {"ms", milliseconds(m_context.loop.now() - (run.isHedge ? run : *other).sentAt)}});
}

bool request_session::goesOnWithOther(const upstream_attempt &run, attempt_outcome outcome)
{
    if (m_rival == nullptr) {
        return false;
    }
    if (outcome == attempt_outcome::answered) {
        settleOn(run);
        return false;
    }
    const auto other = &run == m_run.get() ? m_rival : m_run;
    const auto ended = detachOtherThan(*other);
    if (outcome == attempt_outcome::server_error) {
        m_failedAnswer = ended;
    }
    if (ended->isHedge) {
        m_context.counters.countLabelled("hedges_total", "class", m_route->name, "lost");
        m_context.log.write(event_number::hedge_lost,
                            {{"request", m_metadata.attemptId},
                             {"endpoint", ended->placed.endpoint->record.id},
                             {"reason", std::string(toString(outcome))},
                             {"ms", milliseconds(m_context.loop.now() - ended->sentAt)}});
    }
    return true;
}

} // namespace wisteriashunt

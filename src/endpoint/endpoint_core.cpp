#include "endpoint/endpoint_core.h"

#include "endpoint/shedding.h"

#include <algorithm>
#include <utility>

namespace wisteriashunt
{

namespace
{

/// The limiter observes a pause of a stream while it still lasts once it exceeds this multiple of the target time between tokens.
constexpr int silenceFactor = 4;
/// Time between two shedding passes; the cost of a pass grows linearly with the waiting work.
constexpr duration shedInterval = std::chrono::milliseconds(20);
constexpr duration silenceSampleInterval = std::chrono::milliseconds(250);
/// Retry delay for callers while this process leaves. It is short because other instances accept work immediately.
constexpr duration leavingRetryAfter = std::chrono::seconds(1);
/// Average bytes of answer text per token.
constexpr std::size_t bytesPerToken = 4;
constexpr duration defaultRetryAfter = std::chrono::seconds(1);
/// Share of the first-token target that is reserved and not available for waiting.
constexpr double firstTokenReserveShare = 0.1;

} // namespace

endpoint_core::endpoint_core(const endpoint_core_options &options)
    : m_options(options)
    , m_limiter(options.limiter)
    , m_ledger(options.ledger)
{
}

std::vector<endpoint_action> endpoint_core::handle(time_point now, const endpoint_event &event)
{
    m_now = now;
    m_actions.clear();
    std::visit([this](const auto &concrete) { on(concrete); }, event);
    dispatch();
    return std::exchange(m_actions, {});
}

void endpoint_core::on(const peer_message &event)
{
    std::visit([&](const auto &content) { onMessage(event.peer, content); }, event.content);
}

void endpoint_core::onMessage(peer_id peer, const reserve &request)
{
    if (m_isLeaving) {
        refuse(peer, request.id, error_kind::shutting_down, leavingRetryAfter);
        return;
    }
    if (m_configurationOffset == 0) {
        refuse(peer, request.id, error_kind::not_ready, defaultRetryAfter);
        return;
    }
    if (!mayServe(request.className) || m_ledger.isBarred(request.id)) {
        refuse(peer, request.id, error_kind::no_endpoint, defaultRetryAfter);
        return;
    }
    if (m_offers.contains(request.id) || m_running.contains(request.id)) {
        return;
    }
    waiting_work work{.id = request.id,
                      .peer = peer,
                      .className = request.className,
                      .workspaceName = request.workspaceName,
                      .arrivedAt = m_now - duration(request.waitedMicroseconds),
                      .latestStart = {},
                      .idempotent = request.idempotent};
    work.latestStart = work.arrivedAt + waitBudget(*m_queue.findClass(request.className));
    if (!m_queue.add(work)) {
        return;
    }
    dispatch();
    if (m_queue.contains(request.id)) {
        send(peer, queued{.id = request.id});
        recordDecision(event_number::attempt_queued, work, "no_free_slot");
    }
}

void endpoint_core::onMessage(peer_id, const withdraw &request)
{
    std::optional<waiting_work> work = m_queue.remove(request.id);
    const auto offered = m_offers.find(request.id);
    if (offered != m_offers.end()) {
        m_queue.refund(offered->second.choice);
        work = offered->second.choice.work;
        m_offers.erase(offered);
    }
    if (!work) {
        return;
    }
    const bool isBoundElsewhere = request.reason == static_cast<std::uint8_t>(withdraw_reason::bound_elsewhere);
    const traffic_class *declared = m_queue.findClass(work->className);
    if (isBoundElsewhere && declared != nullptr) {
        m_predictor.onDeparture(m_now, declared->tier);
    }
    recordDecision(event_number::attempt_withdrawn, *work, isBoundElsewhere ? "bound_elsewhere" : "caller_gone");
}

void endpoint_core::onMessage(peer_id peer, const start &request)
{
    const auto offered = m_offers.find(request.id);
    const bool isCurrent = request.endpointIncarnation == m_options.incarnation;
    if (!isCurrent || offered == m_offers.end() || offered->second.choice.work.peer != peer) {
        refuse(peer, request.id, error_kind::not_ready, duration::zero());
        return;
    }
    const open_offer acceptedOffer = offered->second;
    const chosen_work &choice = acceptedOffer.choice;
    m_offers.erase(offered);
    if (!choice.work.idempotent && !m_ledger.tryStart(request.id)) {
        m_queue.refund(choice);
        refuse(peer, request.id, error_kind::not_ready, duration::zero());
        return;
    }
    m_running.emplace(request.id,
                      running_attempt{.work = choice.work,
                                      .chargedTokens = choice.chargedTokens,
                                      .startedAt = m_now,
                                      .lastEventAt = m_now,
                                      .events = request.resumeFrom,
                                      .resumedFrom = request.resumeFrom,
                                      .streaming = request.streaming});
    m_limiter.onStart(m_now);
    m_predictor.onDeparture(m_now, m_queue.findClass(choice.work.className) == nullptr ? tierCount : m_queue.findClass(choice.work.className)->tier);
    recordDecision(event_number::attempt_started, choice.work, std::string(toString(choice.reason)));
    std::get<decision>(m_actions.back()).waiting = acceptedOffer.waiting;
    m_actions.emplace_back(start_upstream{request});
}

void endpoint_core::onMessage(peer_id, const cancel &request)
{
    const auto position = m_running.find(request.id);
    if (position == m_running.end()) {
        return;
    }
    // A non-idempotent attempt may have had an effect already, so it runs to completion and its outcome is recorded.
    if (!position->second.work.idempotent) {
        return;
    }
    m_actions.emplace_back(cancel_upstream{request.id});
    endAttempt(position, "cancelled");
}

void endpoint_core::onMessage(peer_id peer, const fate_query &query)
{
    if (query.endpointIncarnation != m_options.incarnation) {
        send(peer, fate_answer{.id = query.id, .state = static_cast<std::uint8_t>(fate::unknown), .outcome = {}});
        return;
    }
    const auto offered = m_offers.find(query.id);
    if (offered != m_offers.end()) {
        if (offered->second.choice.work.peer != peer) {
            // The entry that holds the offer is connected, and its start may be on the way.
            send(peer, fate_answer{.id = query.id, .state = static_cast<std::uint8_t>(fate::running), .outcome = {}});
            return;
        }
        m_queue.refund(offered->second.choice);
        m_offers.erase(offered);
    }
    const auto waiting = m_queue.remove(query.id);
    const fate_answer answer = m_ledger.resolve(query.id);
    if (answer.state == static_cast<std::uint8_t>(fate::never_started)) {
        waiting_work barred = waiting.value_or(waiting_work{});
        barred.id = query.id;
        recordDecision(event_number::attempt_barred, barred, "fate_query");
    }
    send(peer, answer);
}

void endpoint_core::on(const peer_lost &event)
{
    m_queue.removeIf([&event](const waiting_work &work) { return work.peer == event.peer; });
    for (auto it = m_offers.begin(); it != m_offers.end();) {
        if (it->second.choice.work.peer == event.peer) {
            m_queue.refund(it->second.choice);
            it = m_offers.erase(it);
        } else {
            ++it;
        }
    }
    for (auto it = m_running.begin(); it != m_running.end();) {
        const auto current = it++;
        if (current->second.work.peer == event.peer && current->second.work.idempotent) {
            m_actions.emplace_back(cancel_upstream{current->first});
            endAttempt(current, "entry_lost");
        }
    }
}

void endpoint_core::on(const upstream_chunk &event)
{
    const auto position = m_running.find(event.id);
    if (position == m_running.end() || event.events == 0) {
        return;
    }
    running_attempt &attempt = position->second;
    const duration sinceLast = m_now - attempt.lastEventAt;
    const bool isFirst = attempt.lastEventAt == attempt.startedAt;
    if (isFirst) {
        m_limiter.observeFirstToken(sinceLast);
    } else {
        m_limiter.observeGap(sinceLast / event.events);
    }
    attempt.lastEventAt = m_now;
    send(attempt.work.peer, chunk{.id = event.id, .offset = attempt.events, .events = event.events, .data = event.data});
    attempt.events += event.events;
}

void endpoint_core::on(const upstream_finished &event)
{
    const auto position = m_running.find(event.outcome.id);
    if (position == m_running.end()) {
        return;
    }
    running_attempt &attempt = position->second;
    finished outcome = event.outcome;
    outcome.events = attempt.streaming ? attempt.events : 0;
    if (!attempt.streaming && m_isService) {
        m_limiter.observeFirstToken(m_now - attempt.startedAt);
    } else if (!attempt.streaming) {
        // A non-streamed engine answer takes a time that depends on its length and shows no first-token time. Tokens are estimated from its size.
        attempt.events = static_cast<std::uint32_t>(outcome.body.size() / bytesPerToken);
    }
    if (!attempt.work.idempotent) {
        m_ledger.finish(outcome.id, outcome);
    }
    send(attempt.work.peer, outcome);
    endAttempt(position, "finished");
}

void endpoint_core::on(const upstream_failed &event)
{
    const auto position = m_running.find(event.id);
    if (position == m_running.end()) {
        return;
    }
    const waiting_work work = position->second.work;
    if (!event.mayHaveBeenSent) {
        // The back end never received the request, so the entry may place it elsewhere.
        m_ledger.markNotRun(event.id);
        refuse(work.peer, event.id, error_kind::upstream_failed, defaultRetryAfter);
        endAttempt(position, "not_reached");
        return;
    }
    m_ledger.fail(event.id);
    send(work.peer, failed{.id = event.id, .detail = event.detail});
    endAttempt(position, "failed");
}

void endpoint_core::on(const configuration_changed &event)
{
    if (event.state.offset <= m_configurationOffset) {
        return;
    }
    m_configurationOffset = event.state.offset;
    for (const auto &workOfRemovedClass : m_queue.configure(event.state)) {
        refuse(workOfRemovedClass.peer, workOfRemovedClass.id, error_kind::no_endpoint, defaultRetryAfter);
    }
    for (const auto &work : m_queue.removeIf([this](const waiting_work &waiting) { return !mayServe(waiting.className); })) {
        refuse(work.peer, work.id, error_kind::no_endpoint, defaultRetryAfter);
    }
    applyTargets(event.state);
}

void endpoint_core::applyTargets(const configuration_state &state)
{
    const auto own = state.endpoints.find(m_options.endpointName);
    if (own != state.endpoints.end()) {
        m_limiter.setMaximum(own->second.value.maxConcurrency);
        m_isService = own->second.value.kind == endpoint_kind::service;
    }
    duration firstToken = duration::max();
    duration betweenTokens = duration::max();
    for (const auto &[name, declared] : m_queue.classes()) {
        if (mayServe(name)) {
            firstToken = std::min(firstToken, declared.value.firstToken);
            betweenTokens = std::min(betweenTokens, declared.value.betweenTokens);
        }
    }
    if (firstToken != duration::max()) {
        m_limiter.setTargets(firstToken, betweenTokens);
    }
}

void endpoint_core::on(const leave_requested &)
{
    m_isLeaving = true;
    for (const auto &work : m_queue.removeIf([](const waiting_work &) { return true; })) {
        refuse(work.peer, work.id, error_kind::shutting_down, leavingRetryAfter);
    }
}

void endpoint_core::on(const tick &)
{
    expireOffers();
    failStalledAttempts();
    sampleSilence();
    const int previousLimit = m_limiter.limit();
    m_limiter.adjust(m_now, static_cast<int>(m_running.size()));
    if (m_limiter.limit() != previousLimit) {
        recordDecision(event_number::limit_changed, waiting_work{}, std::to_string(previousLimit) + "->" + std::to_string(m_limiter.limit()));
    }
    shed();
}

void endpoint_core::expireOffers()
{
    for (auto it = m_offers.begin(); it != m_offers.end();) {
        if (it->second.expires > m_now) {
            ++it;
            continue;
        }
        const chosen_work choice = it->second.choice;
        it = m_offers.erase(it);
        m_queue.refund(choice);
        recordDecision(event_number::offer_expired, choice.work, "no_answer_from_entry");
        refuse(choice.work.peer, choice.work.id, error_kind::not_ready, duration::zero());
    }
}

void endpoint_core::failStalledAttempts()
{
    for (auto it = m_running.begin(); it != m_running.end();) {
        const auto current = it++;
        const running_attempt &attempt = current->second;
        if (!attempt.streaming || m_now - attempt.lastEventAt < m_options.stallTimeout) {
            continue;
        }
        m_actions.emplace_back(cancel_upstream{current->first});
        m_ledger.fail(current->first);
        send(attempt.work.peer, failed{.id = current->first, .detail = "back end sent no data within the stall timeout"});
        endAttempt(current, "stalled");
    }
}

void endpoint_core::sampleSilence()
{
    if (m_now - m_lastSilenceSample < silenceSampleInterval) {
        return;
    }
    m_lastSilenceSample = m_now;
    for (const auto &[id, attempt] : m_running) {
        const traffic_class *declared = m_queue.findClass(attempt.work.className);
        const bool hasStarted = attempt.lastEventAt != attempt.startedAt;
        if (declared != nullptr && attempt.streaming && hasStarted && m_now - attempt.lastEventAt > silenceFactor * declared->betweenTokens) {
            m_limiter.observeGap(m_now - attempt.lastEventAt);
        }
    }
}

void endpoint_core::shed()
{
    if (m_queue.isEmpty() || m_now - m_lastShed < shedInterval) {
        return;
    }
    m_lastShed = m_now;
    std::vector<std::pair<waiting_work, duration>> victims;
    if (m_options.shedPolicy) {
        victims = m_options.shedPolicy(m_now, m_queue, m_predictor);
    } else {
        for (const auto &[work, retryAfter] : selectShedWork(m_now, m_queue, m_predictor)) {
            victims.emplace_back(work, retryAfter);
        }
    }
    for (const auto &[work, retryAfter] : victims) {
        recordDecision(event_number::attempt_shed, work, "target_out_of_reach");
        // The work stays in the queue: it may still wait at other endpoints, and without it a lower tier could start here first.
        m_queue.markShed(work.id);
        refuse(work.peer, work.id, error_kind::overloaded, retryAfter);
    }
}

void endpoint_core::dispatch()
{
    while (!m_isLeaving && !m_queue.isEmpty()) {
        const int limit = m_limiter.limitAt(m_now);
        if (static_cast<int>(m_running.size() + m_offers.size()) >= limit) {
            return;
        }
        const auto choice = m_queue.takeNext();
        if (!choice) {
            return;
        }
        const duration lifetime = choice->work.idempotent ? m_options.offerLifetime : m_options.claimOfferLifetime;
        m_offers.emplace(choice->work.id, open_offer{.choice = *choice, .expires = m_now + lifetime, .waiting = m_queue.waitingByTier()});
        recordDecision(event_number::attempt_offered, choice->work, std::string(toString(choice->reason)));
        send(choice->work.peer, offer{.id = choice->work.id, .endpointIncarnation = m_options.incarnation});
    }
}

void endpoint_core::refuse(peer_id peer, const attempt_id &id, error_kind kind, duration retryAfter)
{
    send(peer, refused{.id = id, .kind = static_cast<std::uint8_t>(kind), .retryAfterMicroseconds = retryAfter.count()});
}

void endpoint_core::endAttempt(std::map<attempt_id, running_attempt>::iterator position, const std::string &reason)
{
    const running_attempt attempt = position->second;
    m_running.erase(position);
    const double tokens = std::max(1U, attempt.events - attempt.resumedFrom);
    m_queue.settle(attempt.work.className, attempt.work.workspaceName, attempt.chargedTokens, tokens);
    recordDecision(event_number::attempt_ended, attempt.work, reason, tokens);
}

void endpoint_core::recordDecision(event_number event, const waiting_work &work, const std::string &reason, double tokens)
{
    const traffic_class *declared = m_queue.findClass(work.className);
    m_actions.emplace_back(decision{.event = event,
                                    .at = m_now,
                                    .request = work.id.request,
                                    .attempt = work.id.attempt,
                                    .className = work.className,
                                    .tier = declared == nullptr ? 0 : declared->tier,
                                    .workspaceName = work.workspaceName,
                                    .endpointName = m_options.endpointName,
                                    .reason = reason,
                                    .queuedAt = work.arrivedAt,
                                    .configuration = m_configurationOffset,
                                    .waiting = m_queue.waitingByTier(),
                                    .tokens = tokens});
}

void endpoint_core::send(peer_id peer, message content)
{
    m_actions.emplace_back(send_to_peer{.peer = peer, .content = std::move(content)});
}

bool endpoint_core::mayServe(const std::string &className) const
{
    const traffic_class *declared = m_queue.findClass(className);
    return declared != nullptr && std::find(declared->endpoints.begin(), declared->endpoints.end(), m_options.endpointName) != declared->endpoints.end();
}

duration endpoint_core::waitBudget(const traffic_class &declared) const
{
    const duration reserve = fromSeconds(toSeconds(declared.firstToken) * firstTokenReserveShare);
    return std::max(duration::zero(), declared.firstToken - reserve - m_limiter.expectedFirstToken());
}

heartbeat endpoint_core::status(time_point now) const
{
    return {.configuration = m_configurationOffset,
            .leaving = m_isLeaving,
            .running = static_cast<std::uint32_t>(m_running.size() + m_offers.size()),
            .limit = static_cast<std::uint32_t>(m_limiter.limitAt(now)),
            .waiting = m_queue.waitingByTier()};
}

bool endpoint_core::isIdle() const
{
    return m_running.empty() && m_offers.empty();
}

std::uint64_t endpoint_core::incarnation() const
{
    return m_options.incarnation;
}

const work_queue &endpoint_core::queue() const
{
    return m_queue;
}

} // namespace wisteriashunt

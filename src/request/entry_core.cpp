#include "request/entry_core.h"

#include <algorithm>
#include <utility>

namespace wisteriashunt
{

namespace
{

constexpr duration leavingRetryAfter = std::chrono::milliseconds(500);
constexpr duration defaultRetryAfter = std::chrono::seconds(1);

/// HTTP statuses from this one on are failures of the back end, after which an idempotent request is retried.
constexpr int firstServerError = 500;

} // namespace

entry_core::entry_core(const entry_core_options &options)
    : m_options(options)
    , m_directory(options.directory)
    , m_ranker(options.ranker, options.random)
    , m_retries(options.retries)
{
}

std::vector<entry_action> entry_core::handle(time_point now, const entry_event &event)
{
    m_now = now;
    m_actions.clear();
    std::visit([this](const auto &concrete) { on(concrete); }, event);
    eraseClosed();
    return std::exchange(m_actions, {});
}

void entry_core::on(const request_received &event)
{
    request fresh{.caller = event.caller, .routed = event.request, .arrivedAt = m_now};
    auto &current = m_requests.insert_or_assign(event.caller, fresh).first->second;
    recordDecision(event_number::request_taken, current, current.routed.idempotent ? "idempotent" : "non_idempotent");
    if (m_isLeaving) {
        finishWithError(current, error_kind::shutting_down, "this instance is shutting down and accepts no new requests", leavingRetryAfter);
    } else if (m_configuration.offset == 0) {
        finishWithError(current, error_kind::not_ready, "no configuration has been read yet", defaultRetryAfter);
    } else if (isKeyed(current)) {
        admitKeyed(current);
    } else {
        place(current);
    }
}

void entry_core::on(const caller_disconnected &event)
{
    const auto found = m_requests.find(event.caller);
    if (found == m_requests.end()) {
        return;
    }
    request &current = found->second;
    current.callerDisconnected = true;
    const bool mayHaveSideEffects = current.hasStarted && !current.routed.idempotent;
    if (mayHaveSideEffects) {
        // The operation may already have had its effect. It runs on, and its outcome is recorded for a repeat with the same key.
        return;
    }
    withdrawAll(current, withdraw_reason::caller_gone);
    if (current.state == request_state::running) {
        send(current.boundEndpoint, cancel{.id = attemptOf(current)});
    } else if (current.state == request_state::claiming) {
        send(current.boundEndpoint, withdraw{.id = attemptOf(current), .reason = static_cast<std::uint8_t>(withdraw_reason::caller_gone)});
    }
    recordDecision(event_number::request_cut, current, "caller_left");
    close(current);
}

void entry_core::on(const endpoint_connected &event)
{
    const endpoint_view *previous = m_directory.find(event.name);
    const bool isReplaced = previous != nullptr && previous->incarnation != event.incarnation;
    if (previous != nullptr && previous->connected) {
        onEndpointLost(event.name, true);
    }
    if (isReplaced) {
        m_ranker.forgetEndpoint(event.name);
    }
    m_directory.connected(m_now, event.name, event.peer, event.incarnation);
    for (auto &[id, current] : m_requests) {
        if (current.state != request_state::resolving || current.boundEndpoint != event.name) {
            continue;
        }
        if (current.boundIncarnation == event.incarnation) {
            queryFate(current);
        } else {
            finishWithError(current, error_kind::outcome_unknown, "the endpoint process was replaced while it ran the operation", duration::zero());
        }
    }
}

void entry_core::on(const peer_message &event)
{
    m_directory.onPeerActivity(m_now, event.peer);
    const endpoint_view *from = m_directory.findByPeer(event.peer);
    if (from != nullptr) {
        std::visit([&](const auto &content) { onMessage(*from, content); }, event.content);
    }
}

void entry_core::on(const peer_lost &event)
{
    const auto name = m_directory.disconnected(m_now, event.peer);
    if (name) {
        m_usable.erase(*name);
        onEndpointLost(*name, true);
    }
}

void entry_core::on(const endpoints_listed_leaving &event)
{
    m_directory.setListedLeaving(event.names);
}

void entry_core::on(const configuration_changed &event)
{
    if (event.state.offset <= m_configuration.offset) {
        return;
    }
    m_configuration = event.state;
    // A class may have new endpoints that can serve its waiting requests.
    for (const auto &name : m_usable) {
        extendReservations(name);
    }
}

void entry_core::on(const leave_requested &)
{
    m_isLeaving = true;
}

void entry_core::on(const tick &)
{
    for (const auto &name : m_directory.suspectSilent(m_now)) {
        onEndpointLost(name, false);
    }
    for (const auto &[name, view] : m_directory.all()) {
        if (!m_directory.isUsable(m_now, name)) {
            m_usable.erase(name);
        } else if (m_usable.insert(name).second) {
            extendReservations(name);
        }
    }
    for (auto &[id, current] : m_requests) {
        checkDeadline(current);
    }
}

void entry_core::onMessage(const endpoint_view &from, const heartbeat &load)
{
    const std::string name = from.name;
    m_directory.onHeartbeat(m_now, from.peer, load);
    m_ranker.onLoadReport(name);
}

void entry_core::onMessage(const endpoint_view &, const queued &reply)
{
    request *current = findCurrent(reply.id);
    if (current != nullptr && current->state == request_state::waiting) {
        reserveAtRemaining(*current);
    }
}

void entry_core::onMessage(const endpoint_view &from, const offer &reply)
{
    request *current = findCurrent(reply.id);
    const bool isWanted = current != nullptr && current->state == request_state::waiting && current->reservedAt.contains(from.name);
    if (!isWanted) {
        send(from.name, withdraw{.id = reply.id, .reason = static_cast<std::uint8_t>(withdraw_reason::bound_elsewhere)});
        return;
    }
    withdrawAll(*current, withdraw_reason::bound_elsewhere, from.name);
    current->boundEndpoint = from.name;
    current->boundPeer = from.peer;
    current->boundIncarnation = reply.endpointIncarnation;
    current->offerLost = false;
    if (isKeyed(*current)) {
        bindWithClaim(*current);
    } else {
        sendStart(*current);
    }
}

void entry_core::onMessage(const endpoint_view &from, const refused &reply)
{
    request *current = findCurrent(reply.id);
    if (current == nullptr) {
        return;
    }
    const auto kind = reply.kind < errorTable().size() ? static_cast<error_kind>(reply.kind) : error_kind::no_endpoint;
    const bool isBoundHere = current->boundEndpoint == from.name && current->boundPeer == from.peer;
    if (current->state == request_state::waiting) {
        current->retryAfter = std::min(current->retryAfter, duration(reply.retryAfterMicroseconds));
        if (current->failureKind != error_kind::overloaded) {
            current->failureKind = kind;
        }
        if (kind == error_kind::overloaded) {
            current->overloadedAt.insert(from.name);
            failIfNoEndpointCanStart(*current);
            return;
        }
        current->excludedEndpoints.insert(from.name);
        dropReservation(*current, from.name);
    } else if (current->state == request_state::claiming && isBoundHere) {
        current->offerLost = true;
    } else if (current->state == request_state::running && isBoundHere) {
        // A refusal proves that the attempt did not run at this endpoint.
        current->excludedEndpoints.insert(from.name);
        current->failureKind = kind;
        voidClaim(*current);
        reassign(*current);
    }
}

void entry_core::onMessage(const endpoint_view &from, const chunk &reply)
{
    request *current = findCurrent(reply.id);
    if (current == nullptr || current->state != request_state::running || current->boundPeer != from.peer) {
        return;
    }
    if (reply.offset != current->forwarded) {
        // Forwarding a part after a gap, or a part twice, would corrupt the answer.
        if (reply.offset > current->forwarded) {
            send(from.name, cancel{.id = reply.id});
            retryOrFail(*current, "gap in the answer: expected event " + std::to_string(current->forwarded) + ", got event " + std::to_string(reply.offset));
        }
        return;
    }
    current->forwarded += reply.events;
    m_actions.emplace_back(answer_chunk{.caller = current->caller, .data = reply.data});
}

void entry_core::onMessage(const endpoint_view &from, const finished &reply)
{
    request *current = findCurrent(reply.id);
    if (current == nullptr || current->state != request_state::running || current->boundPeer != from.peer) {
        return;
    }
    const bool isFailure = reply.httpStatus >= firstServerError && current->routed.idempotent && current->forwarded == 0;
    const bool hasGap = current->forwarded != reply.events;
    if (isFailure || hasGap) {
        retryOrFail(*current,
                    hasGap ? "gap in the answer: got " + std::to_string(current->forwarded) + " of " + std::to_string(reply.events) + " events"
                           : "back end answered with HTTP status " + std::to_string(reply.httpStatus));
        return;
    }
    complete(*current, reply);
}

void entry_core::onMessage(const endpoint_view &from, const failed &reply)
{
    request *current = findCurrent(reply.id);
    if (current != nullptr && current->state == request_state::running && current->boundPeer == from.peer) {
        retryOrFail(*current, reply.detail);
    }
}

void entry_core::sendStart(request &current)
{
    current.state = request_state::running;
    current.hasStarted = true;
    const routed_request &routed = current.routed;
    m_ranker.onBound(routed.prefixHash, current.boundEndpoint);
    recordDecision(event_number::offer_bound, current, "first_offer");
    send(current.boundEndpoint,
         start{.id = attemptOf(current),
               .endpointIncarnation = current.boundIncarnation,
               .method = routed.method,
               .path = routed.path,
               .contentType = routed.contentType,
               .body = routed.body,
               .streaming = routed.streaming,
               .idempotent = routed.idempotent,
               .resumeFrom = current.forwarded});
}

void entry_core::reassign(request &current)
{
    current.hasStarted = false;
    if (current.attempt >= m_options.maxAttempts) {
        failRequest(current);
        return;
    }
    ++current.attempt;
    current.claimOffset = 0;
    recordDecision(event_number::attempt_retried, current, "did_not_run");
    place(current);
}

void entry_core::retryOrFail(request &current, const std::string &detail)
{
    if (!current.routed.idempotent) {
        finishWithError(current, error_kind::outcome_unknown, detail, duration::zero());
        return;
    }
    current.failureKind = error_kind::upstream_failed;
    current.excludedEndpoints = {current.boundEndpoint};
    if (current.attempt >= m_options.maxAttempts || candidatesFor(current).empty() || !m_retries.trySpend()) {
        failRequest(current);
        return;
    }
    ++current.attempt;
    recordDecision(event_number::attempt_retried, current, current.forwarded > 0 ? "resume" : "restart");
    place(current);
}

void entry_core::onEndpointLost(const std::string &endpointName, bool connectionLost)
{
    for (auto &[id, current] : m_requests) {
        const bool isBoundHere = current.boundEndpoint == endpointName;
        if (current.state == request_state::waiting) {
            if (!connectionLost && current.reservedAt.contains(endpointName)) {
                send(endpointName, withdraw{.id = attemptOf(current), .reason = static_cast<std::uint8_t>(withdraw_reason::refused)});
            }
            dropReservation(current, endpointName);
        } else if (current.state == request_state::claiming && isBoundHere) {
            current.offerLost = true;
        } else if (current.state == request_state::running && isBoundHere && current.routed.idempotent) {
            if (!connectionLost) {
                send(endpointName, cancel{.id = attemptOf(current)});
            }
            retryOrFail(current, "endpoint process disconnected or silent");
        } else if (current.state == request_state::running && isBoundHere && connectionLost) {
            current.state = request_state::resolving;
            current.deadline = m_now + m_options.resolveTimeout;
            current.nextQuery = time_point::max();
        } else if (current.state == request_state::querying_holder && connectionLost && current.queriedClaim.value.endpointName == endpointName) {
            finishWithError(
                current, error_kind::outcome_unknown, "lost the connection to the endpoint process that holds the idempotency key", duration::zero());
        }
    }
}

void entry_core::complete(request &current, const finished &outcome)
{
    if (isKeyed(current) && current.claimOffset != 0) {
        m_actions.emplace_back(append_claim{makeOutcomeRecord(
            keyOf(current), current.claimOffset, {.httpStatus = outcome.httpStatus, .contentType = outcome.contentType, .body = outcome.body})});
    }
    if (outcome.httpStatus < firstServerError) {
        m_retries.onSuccess();
    }
    recordDecision(event_number::request_answered, current, std::to_string(outcome.httpStatus));
    if (current.forwarded > 0) {
        m_actions.emplace_back(answer_end{.caller = current.caller});
    } else {
        m_actions.emplace_back(
            answer_complete{.caller = current.caller, .httpStatus = outcome.httpStatus, .contentType = outcome.contentType, .body = outcome.body});
    }
    close(current);
}

void entry_core::failRequest(request &current)
{
    if (current.forwarded > 0) {
        abortStream(current);
        return;
    }
    const duration retryAfter = current.retryAfter == duration::max() ? defaultRetryAfter : std::max(current.retryAfter, duration::zero());
    // An attempt that was started may have run, so the answer must not claim that it did not.
    const error_kind kind = current.hasStarted ? error_kind::upstream_failed : current.failureKind;
    const bool saysMayHaveRun = answerFor(kind).runState == run_state::may_have_run;
    finishWithError(current, saysMayHaveRun && !current.hasStarted ? error_kind::no_endpoint : kind, "no endpoint completed the request", retryAfter);
}

void entry_core::finishWithError(request &current, error_kind kind, const std::string &detail, duration retryAfter)
{
    withdrawAll(current, withdraw_reason::refused);
    recordDecision(event_number::request_refused, current, std::string(answerFor(kind).name));
    m_actions.emplace_back(answer_error{.caller = current.caller, .kind = kind, .detail = detail, .retryAfter = retryAfter});
    close(current);
}

void entry_core::abortStream(request &current)
{
    withdrawAll(current, withdraw_reason::refused);
    recordDecision(event_number::request_cut, current, "stream_cut");
    m_actions.emplace_back(answer_aborted{.caller = current.caller});
    close(current);
}

void entry_core::close(request &current)
{
    m_closed.push_back(current.caller);
    // The request is erased at the end of handle(). Until then no event may act on it; attempts are numbered from 1, so 0 matches none.
    current.state = request_state::querying_holder;
    current.queriedClaim = {};
    current.boundEndpoint.clear();
    current.deadline = time_point::max();
    current.attempt = 0;
}

void entry_core::eraseClosed()
{
    for (const caller_id caller : std::exchange(m_closed, {})) {
        m_requests.erase(caller);
    }
}

entry_core::request *entry_core::findCurrent(const attempt_id &id)
{
    if (id.request.entry != m_options.incarnation) {
        return nullptr;
    }
    const auto found = m_requests.find(id.request.sequence);
    return found == m_requests.end() || found->second.attempt != id.attempt ? nullptr : &found->second;
}

attempt_id entry_core::attemptOf(const request &current) const
{
    return {.request = {.entry = m_options.incarnation, .sequence = current.caller}, .attempt = current.attempt};
}

void entry_core::send(const std::string &endpointName, message content)
{
    const endpoint_view *view = m_directory.find(endpointName);
    if (view != nullptr && view->connected) {
        m_actions.emplace_back(send_to_peer{.peer = view->peer, .content = std::move(content)});
    }
}

void entry_core::recordDecision(event_number event, const request &current, const std::string &reason)
{
    const auto declared = m_configuration.classes.find(current.routed.className);
    m_actions.emplace_back(decision{.event = event,
                                    .at = m_now,
                                    .request = attemptOf(current).request,
                                    .attempt = current.attempt,
                                    .className = current.routed.className,
                                    .tier = declared == m_configuration.classes.end() ? 0 : declared->second.value.tier,
                                    .workspaceName = current.routed.workspaceName,
                                    .endpointName = current.boundEndpoint,
                                    .reason = reason,
                                    .queuedAt = current.arrivedAt,
                                    .configuration = m_configuration.offset,
                                    .waiting = {},
                                    .tokens = static_cast<double>(current.forwarded)});
}

bool entry_core::isIdle() const
{
    return m_requests.empty();
}

std::size_t entry_core::openRequests() const
{
    return m_requests.size();
}

const endpoint_directory &entry_core::directory() const
{
    return m_directory;
}

const claim_table &entry_core::claims() const
{
    return m_claims;
}

} // namespace wisteriashunt

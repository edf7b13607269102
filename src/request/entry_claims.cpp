// Operations that must run at most once: claims on idempotency keys, and queries for the state of operations after a lost connection.
#include "request/entry_core.h"

namespace wisteriashunt
{

namespace
{

constexpr duration claimRetryAfter = std::chrono::seconds(2);
constexpr duration inProgressRetryAfter = std::chrono::seconds(1);
/// Interval between state queries while an operation is still running.
constexpr duration fateQueryInterval = std::chrono::milliseconds(250);

} // namespace

bool entry_core::isKeyed(const request &current)
{
    return !current.routed.idempotent && !current.routed.idempotencyKey.empty();
}

claim_key entry_core::keyOf(const request &current) const
{
    return {.workspaceName = current.routed.workspaceName, .key = current.routed.idempotencyKey};
}

void entry_core::admitKeyed(request &current)
{
    if (!m_claimsAvailable) {
        finishWithError(current, error_kind::claim_log_unavailable, "the claim log is unavailable, so the idempotency key cannot be claimed", claimRetryAfter);
        return;
    }
    const held_claim *held = m_claims.find(keyOf(current));
    if (held == nullptr) {
        place(current);
        return;
    }
    if (held->value.fingerprint != current.routed.fingerprint) {
        finishWithError(current,
                        error_kind::idempotency_key_reused,
                        "the idempotency key was already used for a request with another method, path or body",
                        duration::zero());
        return;
    }
    if (held->outcome) {
        recordDecision(event_number::request_answered, current, "recorded_outcome");
        m_actions.emplace_back(answer_complete{
            .caller = current.caller, .httpStatus = held->outcome->httpStatus, .contentType = held->outcome->contentType, .body = held->outcome->body});
        close(current);
        return;
    }
    queryClaimHolder(current, *held);
}

void entry_core::queryClaimHolder(request &current, const held_claim &held)
{
    const request_id holder = held.value.attempt.request;
    if (holder == attemptOf(current).request) {
        // An older attempt of this request holds the key. It never started, so its claim can be voided and the caller can retry.
        m_actions.emplace_back(append_claim{makeVoidRecord(held.value.key, held.offset)});
        finishWithError(current,
                        error_kind::claim_log_unavailable,
                        "an older attempt of this request still holds the idempotency key; its claim is being voided",
                        claimRetryAfter);
        return;
    }
    if (holder.entry == m_options.incarnation && m_requests.contains(holder.sequence)) {
        finishWithError(current, error_kind::operation_in_progress, "the operation with this idempotency key is still running", inProgressRetryAfter);
        return;
    }
    const endpoint_view *view = m_directory.find(held.value.endpointName);
    if (view == nullptr || !view->connected || view->incarnation != held.value.endpointIncarnation) {
        finishWithError(
            current, error_kind::outcome_unknown, "the endpoint process that holds the idempotency key is not connected or was replaced", duration::zero());
        return;
    }
    current.state = request_state::querying_holder;
    current.queriedClaim = held;
    current.deadline = m_now + m_options.resolveTimeout;
    send(view->name, fate_query{.id = held.value.attempt, .endpointIncarnation = held.value.endpointIncarnation});
}

void entry_core::bindWithClaim(request &current)
{
    current.state = request_state::claiming;
    current.deadline = m_now + m_options.claimTimeout;
    m_actions.emplace_back(append_claim{makeClaimRecord({.key = keyOf(current),
                                                         .fingerprint = current.routed.fingerprint,
                                                         .attempt = attemptOf(current),
                                                         .endpointName = current.boundEndpoint,
                                                         .endpointIncarnation = current.boundIncarnation})});
}

void entry_core::on(const claims_available &event)
{
    m_claimsAvailable = event.available;
}

void entry_core::on(const claims_read &event)
{
    m_claims.eraseBefore(event.firstRetained);
    for (const auto &record : event.records) {
        const auto recordedClaim = m_claims.apply(record);
        if (recordedClaim && recordedClaim->attempt.request.entry == m_options.incarnation) {
            onOwnClaim(record, *recordedClaim);
        }
    }
}

void entry_core::onOwnClaim(const log_record &record, const claim &recordedClaim)
{
    const held_claim *held = m_claims.find(recordedClaim.key);
    const bool hasWon = held != nullptr && held->offset == record.offset;
    request *current = findCurrent(recordedClaim.attempt);
    if (current == nullptr || current->state != request_state::claiming) {
        // The request ended while its claim was being written. Its start message was not sent and will not be, so the claim can be voided.
        const bool isStarted = current != nullptr && current->hasStarted;
        if (hasWon && !isStarted) {
            m_actions.emplace_back(append_claim{makeVoidRecord(recordedClaim.key, record.offset)});
        }
        return;
    }
    if (!hasWon) {
        recordDecision(event_number::claim_lost, *current, "another_claim_was_first");
        send(current->boundEndpoint, withdraw{.id = attemptOf(*current), .reason = static_cast<std::uint8_t>(withdraw_reason::refused)});
        current->boundEndpoint.clear();
        admitKeyed(*current);
        return;
    }
    current->claimOffset = record.offset;
    recordDecision(event_number::claim_won, *current, "first_in_log");
    if (current->offerLost) {
        current->excludedEndpoints.insert(current->boundEndpoint);
        voidClaim(*current);
        reassign(*current);
        return;
    }
    sendStart(*current);
}

void entry_core::voidClaim(request &current)
{
    if (current.claimOffset != 0) {
        m_actions.emplace_back(append_claim{makeVoidRecord(keyOf(current), current.claimOffset)});
        current.claimOffset = 0;
    }
}

void entry_core::queryFate(request &current)
{
    current.nextQuery = m_now + fateQueryInterval;
    send(current.boundEndpoint, fate_query{.id = attemptOf(current), .endpointIncarnation = current.boundIncarnation});
}

void entry_core::onMessage(const endpoint_view &, const fate_answer &reply)
{
    request *own = findCurrent(reply.id);
    if (own != nullptr && own->state == request_state::resolving) {
        onOwnFate(*own, reply);
    }
    for (auto &[id, current] : m_requests) {
        if (current.state == request_state::querying_holder && current.attempt != 0 && current.queriedClaim.value.attempt == reply.id) {
            onHolderFate(current, reply);
        }
    }
}

void entry_core::onOwnFate(request &current, const fate_answer &reply)
{
    recordDecision(event_number::fate_resolved, current, "state_" + std::to_string(reply.state));
    switch (static_cast<fate>(reply.state)) {
    case fate::never_started:
        current.excludedEndpoints.insert(current.boundEndpoint);
        current.failureKind = error_kind::no_endpoint;
        voidClaim(current);
        reassign(current);
        return;
    case fate::running:
        current.deadline = m_now + m_options.resolveTimeout;
        return;
    case fate::ended:
        complete(current, reply.outcome);
        return;
    case fate::failed:
    case fate::unknown:
        break;
    }
    finishWithError(current, error_kind::outcome_unknown, "the endpoint process does not know the outcome of the operation", duration::zero());
}

void entry_core::onHolderFate(request &current, const fate_answer &reply)
{
    const held_claim held = current.queriedClaim;
    switch (static_cast<fate>(reply.state)) {
    case fate::never_started:
        // The endpoint process has barred the attempt from starting, so its claim can be voided and this request can claim the key.
        m_actions.emplace_back(append_claim{makeVoidRecord(held.value.key, held.offset)});
        place(current);
        return;
    case fate::running:
        finishWithError(current, error_kind::operation_in_progress, "the operation with this idempotency key is still running", inProgressRetryAfter);
        return;
    case fate::ended:
        m_actions.emplace_back(append_claim{makeOutcomeRecord(
            held.value.key, held.offset, {.httpStatus = reply.outcome.httpStatus, .contentType = reply.outcome.contentType, .body = reply.outcome.body})});
        complete(current, reply.outcome);
        return;
    case fate::failed:
    case fate::unknown:
        break;
    }
    finishWithError(current, error_kind::outcome_unknown, "the endpoint process does not know the outcome of the operation", duration::zero());
}

void entry_core::checkDeadline(request &current)
{
    if (current.attempt == 0) {
        return;
    }
    if (current.state == request_state::resolving && m_now >= current.nextQuery) {
        queryFate(current);
    }
    const bool isExpired = m_now >= current.deadline;
    if (current.state == request_state::claiming && isExpired) {
        send(current.boundEndpoint, withdraw{.id = attemptOf(current), .reason = static_cast<std::uint8_t>(withdraw_reason::refused)});
        finishWithError(current, error_kind::claim_log_unavailable, "the claim was not read back from the log within the claim timeout", claimRetryAfter);
    } else if (current.state == request_state::resolving && isExpired) {
        finishWithError(current,
                        error_kind::outcome_unknown,
                        "the endpoint process did not report the state of the operation within the resolve timeout",
                        duration::zero());
    } else if (current.state == request_state::querying_holder && isExpired) {
        finishWithError(current,
                        error_kind::operation_in_progress,
                        "the endpoint process that holds the idempotency key did not report the state of the operation within the resolve timeout",
                        inProgressRetryAfter);
    }
}

} // namespace wisteriashunt

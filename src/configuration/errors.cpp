#include "wisteriashunt/errors.h"

#include <array>
#include <cstddef>

namespace wisteriashunt
{

namespace
{

using enum error_kind;
using enum run_state;

constexpr std::array table{
    error_answer{malformed_request, "malformed_request", 400, not_run, false, "The request could not be parsed."},
    error_answer{body_too_large, "body_too_large", 413, not_run, false, "The body is larger than the declared limit."},
    error_answer{unauthenticated, "unauthenticated", 401, not_run, false, "No workspace has the given API key."},
    error_answer{forbidden_class, "forbidden_class", 403, not_run, false, "The workspace may not use the class."},
    error_answer{unknown_class, "unknown_class", 404, not_run, false, "No class matches the class, model or service of the request."},
    error_answer{unknown_route, "unknown_route", 404, not_run, false, "The path is not one that the router serves."},
    error_answer{overloaded, "overloaded", 429, not_run, true, "The wait would exceed the target of the class."},
    error_answer{no_endpoint, "no_endpoint", 503, not_run, true, "No live endpoint is allowed to serve the class."},
    error_answer{stream_origin_unknown,
                 "stream_origin_unknown",
                 503,
                 not_run,
                 true,
                 "Endpoints of several software versions serve, and which of them began the stream is not known here."},
    error_answer{not_ready, "not_ready", 503, not_run, true, "The instance has no configuration yet."},
    error_answer{shutting_down, "shutting_down", 503, not_run, true, "The instance is shutting down; send the request to another one."},
    error_answer{claim_log_unavailable, "claim_log_unavailable", 503, not_run, true, "The idempotency key could not be claimed."},
    error_answer{operation_in_progress, "operation_in_progress", 409, may_have_run, true, "The operation with this key is still running."},
    error_answer{idempotency_key_reused, "idempotency_key_reused", 422, not_run, false, "The key was used for another request."},
    error_answer{outcome_unknown, "outcome_unknown", 502, may_have_run, false, "The operation was sent and its outcome cannot be determined."},
    error_answer{upstream_failed, "upstream_failed", 502, may_have_run, true, "The endpoint failed and no retry was possible."},
    error_answer{stream_cut, "stream_cut", 502, may_have_run, true, "The answer was interrupted and could not be resumed."},
    error_answer{deadline_exceeded, "deadline_exceeded", 504, may_have_run, false, "The time limit passed before the answer was complete."},
    error_answer{
        configuration_conflict, "configuration_conflict", 409, not_run, false, "The resource has changed since the version on which the change is based."},
    error_answer{invalid_resource, "invalid_resource", 422, not_run, false, "The declaration is invalid."},
    error_answer{platform_unavailable, "platform_unavailable", 503, not_run, true, "A service of the platform did not answer."},
    error_answer{peer_rejected, "peer_rejected", 403, not_run, false, "A peer failed the handshake."},
    error_answer{malformed_frame, "malformed_frame", 400, not_run, false, "A peer sent a frame that could not be decoded."},
    error_answer{prompt_quarantined, "prompt_quarantined", 503, not_run, true, "Endpoints have crashed when they began to answer a part of the prompt."},
    error_answer{request_quarantined, "request_quarantined", 503, not_run, true, "Endpoints have crashed when they ran the same request."},
};

constexpr bool isIndexedByKind()
{
    for (std::size_t i = 0; i < table.size(); ++i) {
        if (static_cast<std::size_t>(table[i].kind) != i) {
            return false;
        }
    }
    return table.size() == static_cast<std::size_t>(request_quarantined) + 1;
}

static_assert(isIndexedByKind(), "the table holds one row per kind, in the order of the enumeration");

} // namespace

const error_answer &answerFor(error_kind kind)
{
    return table.at(static_cast<std::size_t>(kind));
}

std::span<const error_answer> errorTable()
{
    return table;
}

shunt_error::shunt_error(error_kind kind, const std::string &detail)
    : std::runtime_error(std::string(answerFor(kind).name) + ": " + detail)
    , m_kind(kind)
{
}

error_kind shunt_error::kind() const
{
    return m_kind;
}

} // namespace wisteriashunt

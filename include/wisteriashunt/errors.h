/// Error kinds and the answer that a caller receives for each of them.
#pragma once

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace wisteriashunt
{

/// Kinds of failure of a request, an operator's command or a peer's frame. docs/ERRORS.md describes each kind.
enum class error_kind {
    malformed_request,
    body_too_large,
    unauthenticated,
    forbidden_class,
    unknown_class,
    unknown_route,
    overloaded,
    no_endpoint,
    stream_origin_unknown,
    not_ready,
    shutting_down,
    claim_log_unavailable,
    operation_in_progress,
    idempotency_key_reused,
    outcome_unknown,
    upstream_failed,
    stream_cut,
    deadline_exceeded,
    configuration_conflict,
    invalid_resource,
    platform_unavailable,
    peer_rejected,
    malformed_frame,
    prompt_quarantined,
    request_quarantined,
};

/// Whether the requested work may have run. Work that has not run can be requested again without running twice.
enum class run_state {
    not_run,
    may_have_run,
};

/// Answer that a caller receives for one kind of error.
struct error_answer
{
    error_kind kind;
    /// Name in answers and logs; the same as the enumerator.
    std::string_view name;
    int httpStatus;
    run_state runState;
    /// The same request may succeed later, so the answer can carry a Retry-After header.
    bool retryLater;
    /// Message for the caller when the error carries no detail.
    std::string_view defaultMessage;
};

/// Returns the table's row for the kind. Every kind has exactly one row.
[[nodiscard]] const error_answer &answerFor(error_kind kind);

/// Returns the whole table in declaration order.
[[nodiscard]] std::span<const error_answer> errorTable();

/// Exception with an error kind. `what()` returns "NAME: DETAIL", where NAME is the name of the kind.
class shunt_error : public std::runtime_error
{
public:
    shunt_error(error_kind kind, const std::string &detail);
    [[nodiscard]] error_kind kind() const;

private:
    error_kind m_kind;
};

} // namespace wisteriashunt

/// The closed list of error kinds and the table from kind to answer.
#pragma once

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace wisteriashunt
{

/// Every way in which a request, a command or a frame can fail. docs/ERRORS.md describes each kind.
enum class error_kind {
    malformed_request,
    body_too_large,
    unauthenticated,
    forbidden_class,
    unknown_class,
    unknown_route,
    overloaded,
    no_endpoint,
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
};

/// Says whether the requested work may have run.
enum class run_state {
    not_run,
    may_have_run,
};

/// How one kind of error is answered to a caller.
struct error_answer
{
    error_kind kind;
    std::string_view name;
    int httpStatus;
    run_state runState;
    bool retryLater;
    std::string_view defaultMessage;
};

/// Returns the answer for the kind. Every kind has exactly one row.
[[nodiscard]] const error_answer &answerFor(error_kind kind);

/// Returns the whole table in declaration order.
[[nodiscard]] std::span<const error_answer> errorTable();

/// Exception that carries an error kind.
class shunt_error : public std::runtime_error
{
public:
    shunt_error(error_kind kind, const std::string &detail);
    [[nodiscard]] error_kind kind() const;

private:
    error_kind m_kind;
};

} // namespace wisteriashunt

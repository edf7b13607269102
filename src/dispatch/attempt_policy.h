/// Decides how a request continues after an attempt at an endpoint: forward the answer, retry, resume, or end it with an accurate status.
#pragma once

#include "wisteriashunt/routing.h"

#include <functional>
#include <string_view>

namespace wisteriashunt
{

/// How an attempt ended.
enum class attempt_outcome {
    /// The endpoint sent a complete answer, which may be an application-level failure.
    answered,
    /// The endpoint sent a complete answer with a server error status.
    server_error,
    /// No byte of the request reached the endpoint.
    never_sent,
    /// The endpoint stated that it did not run the request.
    did_not_run,
    /// The request was sent, but no complete answer arrived.
    broken,
};

/// How the request continues.
enum class next_step {
    /// Forward the endpoint's answer to the caller.
    answer,
    /// Send the request to another endpoint, from the beginning or resuming after the last forwarded event.
    send_again,
    /// Tell the caller that the request did not run and when to retry.
    refuse,
    /// Tell the caller that the outcome is unknown.
    report_unknown,
    /// Close the connection to the caller, because a part of the answer has already been forwarded.
    cut,
};

[[nodiscard]] std::string_view toString(attempt_outcome outcome);
[[nodiscard]] std::string_view toString(next_step step);

/// Properties of a request that determine the next step.
struct attempt_state
{
    repeatability kind = repeatability::at_most_once;
    bool isResumable = false;
    int maxAttempts = 1;
    /// Endpoints to which the request has been sent.
    int sentAttempts = 0;
    /// Connection attempts that failed. They don't count as sent attempts.
    int failedConnects = 0;
    /// True if a part of the answer has been forwarded to the caller.
    bool hasForwarded = false;
    /// True if an earlier attempt may have run.
    bool mayHaveRun = false;
    /// True if endpoints have crashed under requests like this one, so that it is not sent again after a broken attempt without an answer.
    bool mayCrashEndpoints = false;
    /// True if the deadline leaves time for another attempt.
    bool hasTime = true;
};

/// Returns true if the request may run more than once.
[[nodiscard]] bool mayRepeat(const attempt_state &state);

/// Decides the next step. trySpendRetry takes one retry from the allowance; it is called only if all other conditions permit another
/// attempt, so that no retry is spent in vain.
[[nodiscard]] next_step decideNextStep(const attempt_state &state, attempt_outcome outcome, const std::function<bool()> &trySpendRetry);

} // namespace wisteriashunt

/// What to do after an attempt at an endpoint: answer, try again, resume, or end the request truthfully.
#pragma once

#include "wisteriashunt/routing.h"

#include <functional>
#include <string_view>

namespace wisteriashunt
{

/// How an attempt ended.
enum class attempt_outcome {
    /// A complete answer; a failure of the endpoint's own among them.
    answered,
    /// A complete answer with a server error.
    server_error,
    /// Nothing of the request reached the endpoint.
    never_sent,
    /// The endpoint stated that it did not run the request.
    did_not_run,
    /// The request was sent and no complete answer came.
    broken,
};

/// What happens next with the request.
enum class next_step {
    /// Pass on what the endpoint answered.
    answer,
    /// Send it to another endpoint, from the beginning or after the last event that was forwarded.
    send_again,
    /// Tell the caller that it did not run and when to come back.
    refuse,
    /// Tell the caller that the outcome is unknown.
    report_unknown,
    /// End the connection: a part of the answer has been forwarded.
    cut,
};

[[nodiscard]] std::string_view toString(attempt_outcome outcome);
[[nodiscard]] std::string_view toString(next_step step);

/// The request as far as the next step depends on it.
struct attempt_state
{
    repeatability kind = repeatability::at_most_once;
    bool isResumable = false;
    int maxAttempts = 1;
    /// Endpoints to which the request has been sent.
    int sentAttempts = 0;
    /// Connections that could not be made; they reach no endpoint.
    int failedConnects = 0;
    /// A part of the answer has been forwarded to the caller.
    bool hasForwarded = false;
    /// An earlier attempt may have run.
    bool mayHaveRun = false;
    /// There is time for another attempt.
    bool hasTime = true;
};

/// Whether the request may run more than once.
[[nodiscard]] bool mayRepeat(const attempt_state &state);

/// Decides the next step. trySpendRetry is asked only if everything else speaks for another attempt.
[[nodiscard]] next_step decideNextStep(const attempt_state &state, attempt_outcome outcome, const std::function<bool()> &trySpendRetry);

} // namespace wisteriashunt

#include "dispatch/attempt_policy.h"

namespace wisteriashunt
{

namespace
{

/// Failed connection attempts after which a request is given up. Each may take a full connect timeout if the endpoint does not respond.
constexpr int maxFailedConnects = 4;

next_step endWithoutAnswer(const attempt_state &state)
{
    if (state.hasForwarded) {
        return next_step::cut;
    }
    return state.mayHaveRun ? next_step::report_unknown : next_step::refuse;
}

} // namespace

std::string_view toString(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::server_error:
        return "server_error";
    case attempt_outcome::never_sent:
        return "never_sent";
    case attempt_outcome::did_not_run:
        return "did_not_run";
    case attempt_outcome::broken:
        return "broken";
    }
    return "unknown";
}

std::string_view toString(next_step step)
{
    switch (step) {
    case next_step::answer:
        return "answer";
    case next_step::send_again:
        return "send_again";
    case next_step::refuse:
        return "refuse";
    case next_step::report_unknown:
        return "report_unknown";
    case next_step::cut:
        return "cut";
    }
    return "unknown";
}

bool mayRepeat(const attempt_state &state)
{
    return state.kind == repeatability::idempotent || (state.kind == repeatability::stream && state.isResumable);
}

next_step decideNextStep(const attempt_state &state, attempt_outcome outcome, const std::function<bool()> &trySpendRetry)
{
    const bool hasAttempts = state.sentAttempts < state.maxAttempts;
    switch (outcome) {
    case attempt_outcome::answered:
        return next_step::answer;
    case attempt_outcome::never_sent:
        return state.hasTime && hasAttempts && state.failedConnects < maxFailedConnects ? next_step::send_again : endWithoutAnswer(state);
    case attempt_outcome::did_not_run:
        return state.hasTime && hasAttempts && trySpendRetry() ? next_step::send_again : endWithoutAnswer(state);
    case attempt_outcome::server_error:
        return mayRepeat(state) && state.hasTime && hasAttempts && trySpendRetry() ? next_step::send_again : next_step::answer;
    case attempt_outcome::broken:
        return mayRepeat(state) && !state.mayCrashEndpoints && state.hasTime && hasAttempts && trySpendRetry() ? next_step::send_again
                                                                                                               : endWithoutAnswer(state);
    }
    return next_step::report_unknown;
}

} // namespace wisteriashunt

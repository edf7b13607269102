// Tests of the next step after an attempt, by example and as properties over all states, and of the retry allowance.
#include "dispatch/attempt_policy.h"
#include "dispatch/retry_allowance.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wisteriashunt
{
namespace
{

constexpr time_point start{std::chrono::seconds(1000)};

next_step decide(const attempt_state &state, attempt_outcome outcome, bool hasAllowance = true)
{
    return decideNextStep(state, outcome, [hasAllowance] { return hasAllowance; });
}

TEST(attempt_policy_test, NeverResendsAnAtMostOnceRequestThatMayHaveRun)
{
    const attempt_state operation{.kind = repeatability::at_most_once, .maxAttempts = 3, .sentAttempts = 1, .mayHaveRun = true};
    EXPECT_EQ(decide(operation, attempt_outcome::broken), next_step::report_unknown);
    EXPECT_EQ(decide(operation, attempt_outcome::server_error), next_step::answer);
}

TEST(attempt_policy_test, ResendsARequestThatDidNotRun)
{
    const attempt_state operation{.kind = repeatability::at_most_once, .maxAttempts = 2, .sentAttempts = 1};
    EXPECT_EQ(decide(operation, attempt_outcome::did_not_run), next_step::send_again);
    EXPECT_EQ(decide(operation, attempt_outcome::did_not_run, false), next_step::refuse);
    EXPECT_EQ(decide({.maxAttempts = 1, .sentAttempts = 0, .failedConnects = 1}, attempt_outcome::never_sent), next_step::send_again);
}

TEST(attempt_policy_test, ReportsUnknownIfAnEarlierAttemptMayHaveRun)
{
    const attempt_state retried{.kind = repeatability::idempotent, .maxAttempts = 2, .sentAttempts = 2, .mayHaveRun = true};
    EXPECT_EQ(decide(retried, attempt_outcome::did_not_run), next_step::report_unknown);
}

TEST(attempt_policy_test, ResumesABrokenStreamOnlyIfItIsResumable)
{
    attempt_state stream{.kind = repeatability::stream, .isResumable = true, .maxAttempts = 2, .sentAttempts = 1, .hasForwarded = true, .mayHaveRun = true};
    EXPECT_EQ(decide(stream, attempt_outcome::broken), next_step::send_again);
    stream.isResumable = false;
    EXPECT_EQ(decide(stream, attempt_outcome::broken), next_step::cut);
}

TEST(attempt_policy_test, DoesNotResendWithoutTimeAttemptsOrAllowance)
{
    const attempt_state read{.kind = repeatability::idempotent, .maxAttempts = 2, .sentAttempts = 1, .mayHaveRun = true};
    EXPECT_EQ(decide(read, attempt_outcome::server_error), next_step::send_again);
    EXPECT_EQ(decide(read, attempt_outcome::server_error, false), next_step::answer);
    auto late = read;
    late.hasTime = false;
    EXPECT_EQ(decide(late, attempt_outcome::broken), next_step::report_unknown);
    auto spent = read;
    spent.sentAttempts = 2;
    EXPECT_EQ(decide(spent, attempt_outcome::server_error), next_step::answer);
}

RC_GTEST_PROP(attempt_policy_test, KeepsItsInvariantsInEveryState, ())
{
    const attempt_state state{.kind = *rc::gen::element(repeatability::idempotent, repeatability::at_most_once, repeatability::stream),
                              .isResumable = *rc::gen::arbitrary<bool>(),
                              .maxAttempts = *rc::gen::inRange(1, 4),
                              .sentAttempts = *rc::gen::inRange(0, 4),
                              .failedConnects = *rc::gen::inRange(0, 6),
                              .hasForwarded = *rc::gen::arbitrary<bool>(),
                              .mayHaveRun = *rc::gen::arbitrary<bool>(),
                              .hasTime = *rc::gen::arbitrary<bool>()};
    const auto outcome = *rc::gen::element(
        attempt_outcome::answered, attempt_outcome::server_error, attempt_outcome::never_sent, attempt_outcome::did_not_run, attempt_outcome::broken);
    const auto step = decide(state, outcome, *rc::gen::arbitrary<bool>());
    if (step == next_step::send_again) {
        RC_ASSERT(state.sentAttempts < state.maxAttempts);
        RC_ASSERT(state.hasTime);
        RC_ASSERT(mayRepeat(state) || outcome == attempt_outcome::never_sent || outcome == attempt_outcome::did_not_run);
    }
    if (step == next_step::refuse) {
        RC_ASSERT(!state.hasForwarded && !state.mayHaveRun);
    }
}

TEST(retry_allowance_test, GrowsWithRequestsAndSlidesWithTheWindow)
{
    retry_allowance allowance({.ratio = 0.2, .slack = 4, .window = std::chrono::seconds(10), .usedShare = 1});
    for (int i = 0; i < 10; ++i) {
        allowance.onRequest(start);
    }
    int spent = 0;
    while (allowance.trySpend(start, 2)) {
        ++spent;
    }
    EXPECT_EQ(spent, 4) << "0.2 of 10 requests plus half of the slack of 4";
    EXPECT_FALSE(allowance.trySpend(start + std::chrono::seconds(5), 2));
    EXPECT_TRUE(allowance.trySpend(start + std::chrono::seconds(12), 2));
}

RC_GTEST_PROP(retry_allowance_test, StaysWithinTheLimitInEveryWindow, ())
{
    const retry_allowance_options options{.ratio = 0.2, .slack = 6, .window = std::chrono::seconds(10)};
    retry_allowance allowance(options);
    const auto pauses = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 900));
    std::vector<std::pair<time_point, bool>> history;
    auto now = start;
    for (const int pause : pauses) {
        now += std::chrono::milliseconds(pause);
        if (pause % 3 == 0) {
            allowance.onRequest(now);
            history.emplace_back(now, false);
        } else if (allowance.trySpend(now, 1)) {
            history.emplace_back(now, true);
        }
    }
    for (const auto &[end, ignored] : history) {
        double requests = 0;
        double retries = 0;
        for (const auto &[at, isRetry] : history) {
            if (at <= end && end - at < options.window) {
                (isRetry ? retries : requests) += 1;
            }
        }
        RC_ASSERT(retries <= options.ratio * requests + options.slack);
    }
}

} // namespace
} // namespace wisteriashunt

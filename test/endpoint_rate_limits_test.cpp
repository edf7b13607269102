// Tests what an entry knows of the limits on requests per second that endpoints declare.
#include "dispatch/endpoint_rate_limits.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds(1000)};

endpoint_record engine(std::int64_t startedAt = 1)
{
    return {.id = "e", .service = "model", .startedAtMilliseconds = startedAt};
}

TEST(endpoint_rate_limits_test, KnowsTheLimitOfTheNewestAnswer)
{
    endpoint_rate_limits limits;
    EXPECT_EQ(limits.limitOf(engine()), std::nullopt);
    limits.onAnswer(engine(), 2.5, start, start);
    limits.onAnswer(engine(), 4, start - milliseconds(1), start + milliseconds(10));
    EXPECT_EQ(limits.limitOf(engine()), 2.5) << "the request was sent before the limit was known, so its answer may be older";
    const auto change = limits.onAnswer(engine(), 4, start + milliseconds(20), start + milliseconds(30));
    EXPECT_EQ(change, (rate_limit_change{.before = 2.5, .after = 4, .age = milliseconds(30)}));
    EXPECT_EQ(limits.limitOf(engine()), 4);
}

TEST(endpoint_rate_limits_test, AnAnswerToAnEarlierRequestMayLowerALimitOnly)
{
    endpoint_rate_limits limits;
    limits.onAnswer(engine(), 2.5, start, start + milliseconds(10));
    limits.onAnswer(engine(), 1, start, start + milliseconds(20));
    EXPECT_EQ(limits.limitOf(engine()), 1);
    limits.onAnswer(engine(), std::nullopt, start, start + milliseconds(30));
    EXPECT_EQ(limits.limitOf(engine()), 1);
}

TEST(endpoint_rate_limits_test, AnAnswerWithoutALimitWithdrawsIt)
{
    endpoint_rate_limits limits;
    limits.onAnswer(engine(), 2.5, start, start + milliseconds(10));
    limits.onAnswer(engine(), std::nullopt, start + milliseconds(10), start + milliseconds(20));
    EXPECT_EQ(limits.limitOf(engine()), std::nullopt);
    EXPECT_EQ(limits.limitedEndpoints(), 0U);
}

TEST(endpoint_rate_limits_test, ANewIncarnationHasNoLimit)
{
    endpoint_rate_limits limits;
    limits.onAnswer(engine(1), 2.5, start, start);
    EXPECT_EQ(limits.limitOf(engine(2)), std::nullopt);
    limits.onAnswer(engine(2), 5, start, start + milliseconds(10));
    limits.onAnswer(engine(1), 1, start, start + milliseconds(20));
    EXPECT_EQ(limits.limitOf(engine(2)), 5) << "an answer of the earlier incarnation came late";
}

} // namespace
} // namespace wisteriashunt

// Tests which fate the ledger reports for an attempt.
#include "endpoint/operation_ledger.h"

#include "support.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

using testing::makeAttempt;

fate fateOf(operation_ledger &ledger, const attempt_id &id)
{
    return static_cast<fate>(ledger.resolve(id).state);
}

TEST(operation_ledger_test, BarsAnAttemptReportedAsNeverStarted)
{
    operation_ledger ledger({});
    EXPECT_EQ(fateOf(ledger, makeAttempt(1)), fate::never_started);
    EXPECT_FALSE(ledger.tryStart(makeAttempt(1)));
}

TEST(operation_ledger_test, StartsAnAttemptOnce)
{
    operation_ledger ledger({});
    EXPECT_TRUE(ledger.tryStart(makeAttempt(1)));
    EXPECT_FALSE(ledger.tryStart(makeAttempt(1)));
    EXPECT_EQ(fateOf(ledger, makeAttempt(1)), fate::running);
}

TEST(operation_ledger_test, ReturnsTheRecordedOutcome)
{
    operation_ledger ledger({});
    ASSERT_TRUE(ledger.tryStart(makeAttempt(1)));
    ledger.finish(makeAttempt(1), {.id = makeAttempt(1), .httpStatus = 201, .body = "done"});
    const auto answer = ledger.resolve(makeAttempt(1));
    EXPECT_EQ(static_cast<fate>(answer.state), fate::ended);
    EXPECT_EQ(answer.outcome.body, "done");
}

TEST(operation_ledger_test, ReportsUnknownForAnEvictedAttempt)
{
    operation_ledger ledger({.capacity = 1});
    ASSERT_TRUE(ledger.tryStart(makeAttempt(1)));
    ledger.finish(makeAttempt(1), {.id = makeAttempt(1)});
    ASSERT_TRUE(ledger.tryStart(makeAttempt(2)));
    EXPECT_EQ(fateOf(ledger, makeAttempt(1)), fate::unknown);
}

TEST(operation_ledger_test, DoesNotEvictARunningAttempt)
{
    operation_ledger ledger({.capacity = 1});
    ASSERT_TRUE(ledger.tryStart(makeAttempt(1)));
    ASSERT_TRUE(ledger.tryStart(makeAttempt(2)));
    EXPECT_EQ(fateOf(ledger, makeAttempt(1)), fate::running);
}

} // namespace
} // namespace wisteriashunt

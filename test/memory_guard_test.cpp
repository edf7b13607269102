// Tests what an entry gives up as its buffers fill.
#include "dispatch/memory_guard.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;
constexpr memory_options options{.budgetBytes = 40 * megabyte};

TEST(memory_guard_test, TheBacklogsOfAllAnswersShareAnEighthOfTheBudget)
{
    EXPECT_EQ(answerBacklog(options, 1, false), options.maxBacklogBytes);
    EXPECT_EQ(answerBacklog(options, 500, false), 5 * megabyte / 500);
    EXPECT_EQ(answerBacklog(options, 5000, false), options.minBacklogBytes) << "room for an event";
    EXPECT_EQ(answerBacklog(options, 1, true), options.minBacklogBytes);
}

TEST(memory_guard_test, IsShortBeforeItBreaksOffAnswers)
{
    const auto decision = decideOnMemory(options, 20 * megabyte, {10 * megabyte, 10 * megabyte});
    EXPECT_TRUE(decision.isShort);
    EXPECT_TRUE(decision.dropped.empty());
    EXPECT_FALSE(decideOnMemory(options, 20 * megabyte, {}).isShort);
}

TEST(memory_guard_test, BreaksOffTheLargestUnreadAnswersUntilTheRestFits)
{
    EXPECT_EQ(decideOnMemory(options, 20 * megabyte, {megabyte, 15 * megabyte, 2 * megabyte, 15 * megabyte, 4 * megabyte}).dropped,
              (std::vector<std::size_t>{1, 3}));
}

TEST(memory_guard_test, BreaksOffNoAnswerThatIsRead)
{
    EXPECT_EQ(decideOnMemory(options, 50 * megabyte, {0, kilobyte, 0}).dropped, (std::vector<std::size_t>{1}));
}

TEST(memory_guard_test, AShortRequestHasRoomWhereALongOneHasNone)
{
    const memory_use use{.taken = 38 * megabyte, .limit = 40 * megabyte, .running = 30 * megabyte, .runningLimit = 30 * megabyte};
    EXPECT_FALSE(hasRoomForRequest(use, longBodyBytes));
    EXPECT_TRUE(hasRoomForRequest(use, longBodyBytes - 1));
    EXPECT_FALSE(hasRoomForRequest({.taken = 38 * megabyte, .limit = 40 * megabyte, .running = 35 * megabyte, .runningLimit = 30 * megabyte}, 1))
        << "an eighth is kept for answers";
    EXPECT_TRUE(hasRoomForRequest({.taken = 1000 * megabyte, .running = 1000 * megabyte}, megabyte)) << "no limit";
}

TEST(memory_guard_test, AShortAnswerOfARequestThatHasRunMayExceedTheLimit)
{
    const memory_use use{.taken = 44 * megabyte, .limit = 40 * megabyte};
    EXPECT_TRUE(hasRoomForAnswer(use, kilobyte));
    EXPECT_FALSE(hasRoomForAnswer(use, megabyte));
    EXPECT_FALSE(hasRoomForAnswer({.taken = 46 * megabyte, .limit = 40 * megabyte}, kilobyte));
    EXPECT_TRUE(hasRoomForAnswer({.taken = 1000 * megabyte}, megabyte)) << "no limit";
}

TEST(memory_guard_test, HasNoLimitWithoutABudget)
{
    EXPECT_EQ(decideOnMemory({}, 1000 * megabyte, {megabyte}), memory_decision{});
    EXPECT_EQ(answerBacklog({}, 500, false), options.maxBacklogBytes);
}

} // namespace
} // namespace wisteriashunt

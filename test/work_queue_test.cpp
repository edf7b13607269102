// Tests the order in which the queue releases waiting work.
#include "endpoint/work_queue.h"

#include "support.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

using testing::makeAttempt;
using testing::makeClass;
using testing::makeState;

class work_queue_test : public ::testing::Test
{
protected:
    void add(std::uint64_t sequence, const std::string &className, const std::string &workspaceName = "w")
    {
        ASSERT_TRUE(m_queue.add({.id = makeAttempt(sequence),
                                 .className = className,
                                 .workspaceName = workspaceName,
                                 .arrivedAt = testing::startOfTime + std::chrono::milliseconds(sequence)}));
    }

    chosen_work take()
    {
        const auto choice = m_queue.takeNext();
        EXPECT_TRUE(choice.has_value());
        return choice.value_or(chosen_work{});
    }

    /// Takes the next work and settles it with an answer of 50 tokens.
    chosen_work serve()
    {
        const chosen_work choice = take();
        m_queue.settle(choice.work.className, choice.work.workspaceName, choice.chargedTokens, 50);
        return choice;
    }

    work_queue m_queue;
};

TEST_F(work_queue_test, TakesHigherTierFirst)
{
    m_queue.configure(makeState({makeClass("high", 1), makeClass("low", 3)}));
    add(1, "low");
    add(2, "high");
    EXPECT_EQ(take().work.id, makeAttempt(2));
    EXPECT_EQ(take().work.id, makeAttempt(1));
}

TEST_F(work_queue_test, TakesOldestFirstWithinAWorkspace)
{
    m_queue.configure(makeState({makeClass("only", 2)}));
    add(2, "only");
    add(1, "only");
    EXPECT_EQ(take().work.id, makeAttempt(1));
}

TEST_F(work_queue_test, AlternatesBetweenWorkspacesOfEqualService)
{
    m_queue.configure(makeState({makeClass("only", 2)}));
    for (std::uint64_t i = 1; i <= 4; ++i) {
        add(i, "only", "flooding");
    }
    add(5, "only", "quiet");
    const auto first = take();
    const auto second = take();
    EXPECT_EQ(first.work.workspaceName, "flooding");
    EXPECT_EQ(second.work.workspaceName, "quiet");
    EXPECT_EQ(second.reason, start_reason::fair_share);
}

TEST_F(work_queue_test, ServesTheFloorShareUnderConstantHigherTierLoad)
{
    m_queue.configure(makeState({makeClass("high", 1), makeClass("low", 3, 0.2)}));
    std::uint64_t sequence = 0;
    int low = 0;
    constexpr int starts = 1000;
    for (int i = 0; i < starts; ++i) {
        add(++sequence, "high");
        add(++sequence, "low");
        low += serve().work.className == "low" ? 1 : 0;
    }
    EXPECT_GE(low, starts / 5 - 3);
    EXPECT_LE(low, starts / 5 + 3);
}

TEST_F(work_queue_test, AccruesNoFloorCreditWhileIdle)
{
    m_queue.configure(makeState({makeClass("high", 1), makeClass("low", 3, 0.2)}));
    std::uint64_t sequence = 0;
    for (int i = 0; i < 500; ++i) {
        add(++sequence, "high");
        serve();
    }
    add(++sequence, "low");
    add(++sequence, "high");
    EXPECT_EQ(take().work.className, "high");
}

TEST_F(work_queue_test, RecordsTheFloorAsReasonWhenItPrecedesAHigherTier)
{
    m_queue.configure(makeState({makeClass("high", 1), makeClass("low", 3, 0.2)}));
    std::uint64_t sequence = 0;
    start_reason reason = start_reason::tier;
    for (int i = 0; i < 20; ++i) {
        add(++sequence, "high");
        add(++sequence, "low");
        const auto choice = serve();
        if (choice.work.className == "low") {
            reason = choice.reason;
            break;
        }
    }
    EXPECT_EQ(reason, start_reason::floor);
}

TEST_F(work_queue_test, ReturnsWorkOfADeletedClass)
{
    m_queue.configure(makeState({makeClass("gone", 1)}));
    add(1, "gone");
    const auto workOfRemovedClasses = m_queue.configure(makeState({makeClass("other", 1)}));
    ASSERT_EQ(workOfRemovedClasses.size(), 1U);
    EXPECT_EQ(workOfRemovedClasses[0].id, makeAttempt(1));
    EXPECT_TRUE(m_queue.isEmpty());
}

TEST_F(work_queue_test, RejectsAnAttemptThatAlreadyWaits)
{
    m_queue.configure(makeState({makeClass("only", 1)}));
    add(1, "only");
    EXPECT_FALSE(m_queue.add({.id = makeAttempt(1), .className = "only", .workspaceName = "w"}));
}

} // namespace
} // namespace wisteriashunt

// Tests which work is shed when a target can't be met.
#include "endpoint/shedding.h"

#include "support.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

using testing::makeAttempt;
using testing::makeClass;
using testing::makeState;
using testing::startOfTime;

class shedding_test : public ::testing::Test
{
protected:
    void add(std::uint64_t sequence, const std::string &className, duration budget, const std::string &workspaceName = "w")
    {
        const time_point arrived = startOfTime + std::chrono::microseconds(sequence);
        m_queue.add(
            {.id = makeAttempt(sequence), .className = className, .workspaceName = workspaceName, .arrivedAt = arrived, .latestStart = arrived + budget});
    }

    std::vector<std::uint64_t> shedAt(duration offset)
    {
        std::vector<std::uint64_t> sequences;
        for (const auto &shed : selectShedWork(startOfTime + offset, m_queue, m_predictor)) {
            sequences.push_back(shed.work.id.request.sequence);
        }
        return sequences;
    }

    work_queue m_queue;
    wait_predictor m_predictor;
};

TEST_F(shedding_test, ShedsNothingWithinTheBudget)
{
    m_queue.configure(makeState({makeClass("only", 1)}));
    add(1, "only", std::chrono::seconds(1));
    EXPECT_TRUE(shedAt(std::chrono::milliseconds(500)).empty());
}

TEST_F(shedding_test, ShedsWorkThatMissesItsDeadline)
{
    m_queue.configure(makeState({makeClass("only", 1)}));
    add(1, "only", std::chrono::seconds(1));
    EXPECT_EQ(shedAt(std::chrono::seconds(2)), std::vector<std::uint64_t>{1});
}

TEST_F(shedding_test, ShedsALowerTierInPlaceOfAHigherOneThatMissesItsDeadline)
{
    m_queue.configure(makeState({makeClass("high", 1), makeClass("low", 3)}));
    add(1, "high", std::chrono::seconds(1));
    add(2, "low", std::chrono::seconds(100));
    EXPECT_EQ(shedAt(std::chrono::seconds(2)), std::vector<std::uint64_t>{2});
}

TEST_F(shedding_test, DoesNotShedTheOldestWorkOfAClassWithAFloor)
{
    m_queue.configure(makeState({makeClass("high", 1), makeClass("low", 3, 0.1)}));
    add(1, "high", std::chrono::seconds(1));
    add(2, "low", std::chrono::seconds(100));
    EXPECT_EQ(shedAt(std::chrono::seconds(2)), std::vector<std::uint64_t>{1});
}

TEST_F(shedding_test, ShedsTheWorkspaceWithTheLongestQueueFirst)
{
    m_queue.configure(makeState({makeClass("high", 1), makeClass("low", 3)}));
    add(1, "high", std::chrono::seconds(1));
    add(2, "low", std::chrono::seconds(100), "flooding");
    add(3, "low", std::chrono::seconds(100), "flooding");
    add(4, "low", std::chrono::seconds(100), "quiet");
    EXPECT_EQ(shedAt(std::chrono::seconds(2)), std::vector<std::uint64_t>{3});
}

TEST_F(shedding_test, DoesNotSelectWorkThatWasShedBefore)
{
    m_queue.configure(makeState({makeClass("only", 1)}));
    add(1, "only", std::chrono::seconds(1));
    m_queue.markShed(makeAttempt(1));
    EXPECT_TRUE(shedAt(std::chrono::seconds(2)).empty());
}

TEST_F(shedding_test, ShedsLowerTierWorkThatArrivesAfterHigherTierWorkWasShed)
{
    m_queue.configure(makeState({makeClass("high", 1), makeClass("low", 3)}));
    add(1, "high", std::chrono::seconds(1));
    m_queue.markShed(makeAttempt(1));
    add(2, "low", std::chrono::seconds(100));
    EXPECT_EQ(shedAt(std::chrono::seconds(2)), std::vector<std::uint64_t>{2});
}

} // namespace
} // namespace wisteriashunt

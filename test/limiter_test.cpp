// Tests how the concurrency limit follows observed latencies.
#include "endpoint/concurrency_limiter.h"

#include "support.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

class limiter_test : public ::testing::Test
{
protected:
    limiter_test()
    {
        m_limiter.setTargets(std::chrono::milliseconds(1500), std::chrono::milliseconds(42));
    }

    /// Observes 20 equal gaps and adjusts the limit with all slots in use.
    void runWindow(duration gap)
    {
        for (int i = 0; i < 20; ++i) {
            m_limiter.observeGap(gap);
        }
        m_now += std::chrono::milliseconds(300);
        m_limiter.adjust(m_now, m_limiter.limit());
    }

    time_point m_now = testing::startOfTime;
    concurrency_limiter m_limiter{limiter_options{.initial = 20, .maximum = 64}};
};

TEST_F(limiter_test, RaisesTheLimitBelowTheLowWaterMark)
{
    runWindow(std::chrono::milliseconds(20));
    EXPECT_EQ(m_limiter.limit(), 21);
}

TEST_F(limiter_test, LowersTheLimitWhenGapsMissTheTarget)
{
    runWindow(std::chrono::milliseconds(60));
    EXPECT_EQ(m_limiter.limit(), 17);
}

TEST_F(limiter_test, KeepsTheLimitBetweenTheWaterMarks)
{
    runWindow(std::chrono::microseconds(38000));
    EXPECT_EQ(m_limiter.limit(), 20);
}

TEST_F(limiter_test, DoesNotRaiseTheLimitWhileSlotsAreFree)
{
    for (int i = 0; i < 20; ++i) {
        m_limiter.observeGap(std::chrono::milliseconds(10));
    }
    m_limiter.adjust(m_now + std::chrono::seconds(1), 3);
    EXPECT_EQ(m_limiter.limit(), 20);
}

TEST_F(limiter_test, PausesAStragglerBetweenProbes)
{
    for (int i = 0; i < 40; ++i) {
        runWindow(std::chrono::milliseconds(400));
    }
    ASSERT_TRUE(m_limiter.isStraggling());
    m_limiter.onStart(m_now);
    EXPECT_EQ(m_limiter.limitAt(m_now), 0);
    EXPECT_EQ(m_limiter.limitAt(m_now + std::chrono::seconds(6)), 1);
}

TEST_F(limiter_test, ResumesAStragglerThatMeetsItsTarget)
{
    for (int i = 0; i < 40; ++i) {
        runWindow(std::chrono::milliseconds(400));
    }
    runWindow(std::chrono::milliseconds(20));
    EXPECT_FALSE(m_limiter.isStraggling());
    EXPECT_GT(m_limiter.limitAt(m_now), 0);
}

TEST_F(limiter_test, LowersTheLimitToALoweredMaximum)
{
    m_limiter.setMaximum(5);
    EXPECT_EQ(m_limiter.limit(), 5);
}

} // namespace
} // namespace wisteriashunt

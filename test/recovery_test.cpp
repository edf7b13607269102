// Replacement of all processes, and endpoints that leave.
#include "simulated_system.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

using testing::simulated_system;

class recovery_test : public ::testing::Test
{
protected:
    recovery_test()
    {
        m_system.settle(std::chrono::seconds(2));
    }

    void replaceAll()
    {
        for (std::size_t i = 0; i < 2; ++i) {
            m_system.killEntry(i);
            m_system.killEndpoint(i);
        }
    }

    simulated_system m_system{2, 2};
};

TEST_F(recovery_test, FindsRecordedOutcomesAfterAllProcessesWereReplaced)
{
    m_system.submitOperation(0, 1, true);
    m_system.settle(std::chrono::seconds(1));
    replaceAll();
    m_system.settle(std::chrono::seconds(2));
    m_system.submitOperation(1, 1, true);
    m_system.settle(std::chrono::seconds(1));
    EXPECT_TRUE(m_system.callers()[1].isComplete);
    EXPECT_EQ(m_system.runsOf("keyed-1"), 1);
}

TEST_F(recovery_test, ReportsALostOutcomeAsUnknownAfterAllProcessesWereReplaced)
{
    m_system.submitOperation(0, 1, true);
    for (int i = 0; i < 4; ++i) {
        m_system.deliverAll(0);
        m_system.deliverAll(1);
        m_system.appendPending(0, false);
        m_system.readLog(0);
    }
    replaceAll();
    m_system.settle(std::chrono::seconds(2));
    m_system.submitOperation(1, 1, true);
    m_system.settle(std::chrono::seconds(7));
    ASSERT_TRUE(m_system.callers()[1].error.has_value());
    EXPECT_EQ(*m_system.callers()[1].error, error_kind::outcome_unknown);
    EXPECT_LE(m_system.runsOf("keyed-1"), 1);
}

TEST_F(recovery_test, RefusesKeyedOperationsWhileTheLogIsDownAfterAllProcessesWereReplaced)
{
    replaceAll();
    m_system.setLogDown(true);
    for (std::size_t i = 0; i < 4; ++i) {
        m_system.reconnect(i);
    }
    m_system.submitOperation(0, 1, true);
    ASSERT_TRUE(m_system.callers()[0].error.has_value());
    EXPECT_EQ(*m_system.callers()[0].error, error_kind::claim_log_unavailable);
}

/// Checks that no stream starts at a leaving endpoint later than three seconds after it was marked as leaving.
class leaving_test : public recovery_test
{
protected:
    void expectNoStartAfterThreeSeconds(std::size_t endpoint)
    {
        sendFor(std::chrono::seconds(3));
        const std::uint64_t startsBefore = m_system.startsAt(endpoint);
        sendFor(std::chrono::seconds(2));
        EXPECT_EQ(m_system.startsAt(endpoint), startsBefore);
        EXPECT_EQ(m_system.violation(), std::nullopt);
    }

private:
    void sendFor(duration time)
    {
        for (duration passed{}; passed < time; passed += std::chrono::milliseconds(100)) {
            m_system.submitStream(m_entry++ % 2, 2);
            m_system.settle(std::chrono::milliseconds(100));
        }
    }

    std::size_t m_entry = 0;
};

TEST_F(leaving_test, StopsNewWorkWhenTheEndpointReportsThatItLeaves)
{
    m_system.requestEndpointLeave(0);
    expectNoStartAfterThreeSeconds(0);
}

TEST_F(leaving_test, StopsNewWorkWhenOnlyThePlatformsListMarksTheEndpointAsLeaving)
{
    m_system.listEndpointLeaving(1);
    expectNoStartAfterThreeSeconds(1);
}

} // namespace
} // namespace wisteriashunt

// Streams under failures: each is resumed without a gap or repeat, or aborted so that the caller can detect it.
#include "simulated_system.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

using testing::simulated_system;

class streams_test : public ::testing::Test
{
protected:
    streams_test()
    {
        m_system.settle(std::chrono::seconds(2));
        m_system.submitStream(0, 10);
        m_system.deliver(0, true);
        m_system.deliver(1, true);
        m_system.deliver(0, false);
        m_system.deliver(1, false);
        m_system.deliver(0, true);
        m_system.deliver(1, true);
        emit(3);
    }

    /// Emits tokens at both back ends and delivers them to the caller.
    void emit(int tokens)
    {
        for (int i = 0; i < tokens; ++i) {
            for (std::size_t endpoint = 0; endpoint < 2; ++endpoint) {
                m_system.emitToken(endpoint);
                m_system.deliver(endpoint, false);
            }
        }
    }

    simulated_system m_system{1, 2};
};

TEST_F(streams_test, ResumeOnAnotherEndpointAfterABackEndFails)
{
    m_system.failStream(0);
    m_system.failStream(1);
    m_system.settle(std::chrono::seconds(5));
    EXPECT_TRUE(m_system.callers()[0].isComplete) << m_system.callers()[0].received;
    EXPECT_EQ(m_system.violation(), std::nullopt);
}

TEST_F(streams_test, GetOneFinalAnswerAfterBothEndpointProcessesAreKilled)
{
    m_system.killEndpoint(0);
    m_system.killEndpoint(1);
    m_system.settle(std::chrono::seconds(10));
    EXPECT_EQ(m_system.violation(), std::nullopt);
    EXPECT_EQ(m_system.callers()[0].finalAnswers, 1);
}

TEST_F(streams_test, AreAbortedWhenNoEndpointCanResume)
{
    m_system.requestEndpointLeave(0);
    m_system.requestEndpointLeave(1);
    m_system.advance(std::chrono::milliseconds(500));
    m_system.failStream(0);
    m_system.failStream(1);
    m_system.settle(std::chrono::seconds(5));
    EXPECT_TRUE(m_system.callers()[0].isAborted);
    EXPECT_EQ(m_system.violation(), std::nullopt);
}

} // namespace
} // namespace wisteriashunt

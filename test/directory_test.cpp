// Tests of the liveness of endpoint processes and of how often it may change.
#include "membership/endpoint_directory.h"

#include "support.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

class endpoint_directory_test : public ::testing::Test
{
protected:
    endpoint_directory_test()
    {
        m_directory.connected(m_now, "e1", 1, 10);
    }

    /// Sends a heartbeat every 200 ms for the given time.
    void sendHeartbeatsFor(duration time)
    {
        for (duration passed{}; passed < time; passed += std::chrono::milliseconds(200)) {
            m_now += std::chrono::milliseconds(200);
            m_directory.onHeartbeat(m_now, 1, {});
        }
    }

    time_point m_now = testing::startOfTime;
    endpoint_directory m_directory{directory_options{}};
};

TEST_F(endpoint_directory_test, UsesAConnectedEndpoint)
{
    EXPECT_TRUE(m_directory.isUsable(m_now, "e1"));
}

TEST_F(endpoint_directory_test, SuspectsASilentEndpointOnce)
{
    m_now += std::chrono::seconds(2);
    EXPECT_EQ(m_directory.suspectSilent(m_now), std::vector<std::string>{"e1"});
    EXPECT_TRUE(m_directory.suspectSilent(m_now).empty());
    EXPECT_FALSE(m_directory.isUsable(m_now, "e1"));
}

TEST_F(endpoint_directory_test, HoldsAReturningEndpointDown)
{
    m_now += std::chrono::seconds(2);
    m_directory.suspectSilent(m_now);
    m_directory.onHeartbeat(m_now, 1, {});
    EXPECT_FALSE(m_directory.isUsable(m_now, "e1"));
    sendHeartbeatsFor(std::chrono::milliseconds(1200));
    EXPECT_TRUE(m_directory.isUsable(m_now, "e1"));
}

TEST_F(endpoint_directory_test, BoundsTheChangesOfAFlappingEndpoint)
{
    // The endpoint alternates between silence and heartbeats for five minutes. The hold-down doubles up to 30 s, which limits the changes.
    int changes = 0;
    bool wasUsable = true;
    const time_point end = m_now + std::chrono::minutes(5);
    while (m_now < end) {
        m_now += std::chrono::milliseconds(1600);
        m_directory.suspectSilent(m_now);
        sendHeartbeatsFor(std::chrono::milliseconds(800));
        const bool isUsable = m_directory.isUsable(m_now, "e1");
        changes += isUsable != wasUsable ? 1 : 0;
        wasUsable = isUsable;
    }
    // At most one return per hold-down of 1, 2, 4, 8, 16, 30, 30 ... s: 13 returns within 300 s, or 26 changes.
    EXPECT_LE(changes, 26);
}

TEST_F(endpoint_directory_test, ClearsSuspicionsForANewIncarnation)
{
    m_directory.disconnected(m_now, 1);
    m_directory.connected(m_now, "e1", 2, 11);
    EXPECT_TRUE(m_directory.isUsable(m_now, "e1"));
}

TEST_F(endpoint_directory_test, IgnoresTheEndOfAReplacedConnection)
{
    m_directory.connected(m_now, "e1", 2, 10);
    EXPECT_EQ(m_directory.disconnected(m_now, 1), std::nullopt);
    EXPECT_TRUE(m_directory.isUsable(m_now, "e1"));
}

TEST_F(endpoint_directory_test, DoesNotUseAnEndpointWhoseHeartbeatSaysLeaving)
{
    m_directory.onHeartbeat(m_now, 1, {.leaving = true});
    EXPECT_FALSE(m_directory.isUsable(m_now, "e1"));
}

} // namespace
} // namespace wisteriashunt

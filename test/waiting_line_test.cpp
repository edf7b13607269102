// Tests of the order in which waiting requests start.
#include "dispatch/waiting_line.h"

#include <gtest/gtest.h>

#include <vector>

namespace wisteriashunt
{
namespace
{

class admission_queue_test : public ::testing::Test
{
protected:
    admission_queue::ticket join(const std::string &name, int rank, const std::string &service = "s")
    {
        return m_queue.join(service, rank, [this, name] {
            if (m_freeSlots == 0) {
                return false;
            }
            --m_freeSlots;
            m_started.push_back(name);
            return true;
        });
    }

    admission_queue m_queue;
    int m_freeSlots = 0;
    std::vector<std::string> m_started;
};

TEST_F(admission_queue_test, StartsByRankThenByArrival)
{
    join("late rank 2", 2);
    join("first rank 1", 1);
    join("second rank 1", 1);
    join("rank 0", 0);
    m_freeSlots = 3;
    m_queue.admitWaiting("s");
    EXPECT_EQ(m_started, (std::vector<std::string>{"rank 0", "first rank 1", "second rank 1"}));
    EXPECT_EQ(m_queue.size(), 1U);
}

TEST_F(admission_queue_test, KeepsTheOrderWhenNoSlotIsFree)
{
    join("a", 1);
    m_queue.admitWaiting("s");
    join("b", 1);
    m_freeSlots = 1;
    m_queue.admitWaitingOfAllServices();
    EXPECT_EQ(m_started, (std::vector<std::string>{"a"}));
}

TEST_F(admission_queue_test, ReportsWaitingRequestsOfTheSameOrAMoreUrgentRank)
{
    EXPECT_FALSE(m_queue.hasWaiting("s", 1));
    const auto ticket = join("a", 1);
    EXPECT_TRUE(m_queue.hasWaiting("s", 1));
    EXPECT_TRUE(m_queue.hasWaiting("s", 2));
    EXPECT_FALSE(m_queue.hasWaiting("s", 0)) << "a more urgent request must not wait behind a less urgent one";
    EXPECT_FALSE(m_queue.hasWaiting("other", 2));
    m_queue.leave("s", ticket);
    m_queue.leave("s", ticket);
    EXPECT_FALSE(m_queue.hasWaiting("s", 1));
}

TEST_F(admission_queue_test, AllowsHooksToJoinAndLeave)
{
    admission_queue::ticket second;
    static_cast<void>(m_queue.join("s", 0, [this, &second] {
        m_queue.leave("s", second);
        join("joined", 2);
        return true;
    }));
    second = join("left", 1);
    m_freeSlots = 5;
    m_queue.admitWaiting("s");
    EXPECT_EQ(m_started, (std::vector<std::string>{"joined"}));
    EXPECT_EQ(m_queue.size(), 0U);
}

} // namespace
} // namespace wisteriashunt

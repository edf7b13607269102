// Order among requests that wait for room.
#include "dispatch/waiting_line.h"

#include <gtest/gtest.h>

#include <vector>

namespace wisteriashunt
{
namespace
{

class waiting_line_test : public ::testing::Test
{
protected:
    waiting_line::ticket join(const std::string &name, int rank, const std::string &service = "s")
    {
        return m_line.join(service, rank, [this, name] {
            if (m_room == 0) {
                return false;
            }
            --m_room;
            m_started.push_back(name);
            return true;
        });
    }

    waiting_line m_line;
    int m_room = 0;
    std::vector<std::string> m_started;
};

TEST_F(waiting_line_test, StartsTheMostUrgentFirstAndEqualsByArrival)
{
    join("late rank 2", 2);
    join("first rank 1", 1);
    join("second rank 1", 1);
    join("rank 0", 0);
    m_room = 3;
    m_line.onRoom("s");
    EXPECT_EQ(m_started, (std::vector<std::string>{"rank 0", "first rank 1", "second rank 1"}));
    EXPECT_EQ(m_line.size(), 1U);
}

TEST_F(waiting_line_test, KeepsItsPlaceWhenThereIsNoRoom)
{
    join("a", 1);
    m_line.onRoom("s");
    join("b", 1);
    m_room = 1;
    m_line.onRoomAnywhere();
    EXPECT_EQ(m_started, (std::vector<std::string>{"a"}));
}

TEST_F(waiting_line_test, SendsNewcomersBehindThoseThatAreAtLeastAsUrgent)
{
    EXPECT_FALSE(m_line.hasWaiting("s", 1));
    const auto ticket = join("a", 1);
    EXPECT_TRUE(m_line.hasWaiting("s", 1));
    EXPECT_TRUE(m_line.hasWaiting("s", 2));
    EXPECT_FALSE(m_line.hasWaiting("s", 0)) << "a more urgent request does not wait behind a less urgent one";
    EXPECT_FALSE(m_line.hasWaiting("other", 2));
    m_line.leave("s", ticket);
    m_line.leave("s", ticket);
    EXPECT_FALSE(m_line.hasWaiting("s", 1));
}

TEST_F(waiting_line_test, BearsRequestsThatJoinOrLeaveWhileItStartsOthers)
{
    waiting_line::ticket second;
    static_cast<void>(m_line.join("s", 0, [this, &second] {
        m_line.leave("s", second);
        join("joined", 2);
        return true;
    }));
    second = join("left", 1);
    m_room = 5;
    m_line.onRoom("s");
    EXPECT_EQ(m_started, (std::vector<std::string>{"joined"}));
    EXPECT_EQ(m_line.size(), 0U);
}

} // namespace
} // namespace wisteriashunt

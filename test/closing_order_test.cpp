// Tests which connections of callers are closed for new ones.
#include "dispatch/closing_order.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

using std::chrono::seconds;
using places = std::vector<std::size_t>;

TEST(closing_order_test, IdleConnectionsComeBeforePartialRequestsAndTheLongestIdleFirst)
{
    const std::vector<open_connection> connections{{.hasPartialRequest = true, .lastActivity = time_point(seconds(1))},
                                                   {.lastActivity = time_point(seconds(5))},
                                                   {.lastActivity = time_point(seconds(4))},
                                                   {.hasPartialRequest = true, .lastActivity = time_point(seconds(0))}};
    EXPECT_EQ(closingOrder(connections, 4), (places{2, 1, 3, 0}));
    EXPECT_EQ(closingOrder(connections, 2), (places{2, 1}));
}

// Closed as an idle one, its caller got a part of the answer of a request that had run.
TEST(closing_order_test, AConnectionWhoseAnswerIsNotSentComesLast)
{
    const std::vector<open_connection> connections{{.unsentBytes = 1, .lastActivity = time_point(seconds(0))},
                                                   {.hasPartialRequest = true, .lastActivity = time_point(seconds(9))},
                                                   {.lastActivity = time_point(seconds(9))}};
    EXPECT_EQ(closingOrder(connections, 3), (places{2, 1, 0}));
}

TEST(closing_order_test, AConnectionThatIsBeingAnsweredIsNotClosed)
{
    EXPECT_TRUE(closingOrder({{.isAnswering = true}, {.isAnswering = true}}, 2).empty());
}

} // namespace
} // namespace wisteriashunt

// Tests splitting of server-sent event streams.
#include "daemon/sse_splitter.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

TEST(sse_splitter_test, JoinsEventsSplitAcrossReads)
{
    sse_splitter splitter("");
    EXPECT_EQ(splitter.feed("data: {\"a\"").events, 0U);
    const auto batch = splitter.feed(":1}\n\ndata: [DONE]\n\n");
    EXPECT_EQ(batch.events, 2U);
    EXPECT_TRUE(batch.isDone);
    EXPECT_EQ(batch.data, "data: {\"a\":1}\n\ndata: [DONE]\n\n");
}

TEST(sse_splitter_test, ReportsAWrongIdForAnEventOfAnotherRequest)
{
    sse_splitter splitter("mine");
    EXPECT_FALSE(splitter.feed("data: {\"id\":\"mine\"}\n\n").hasWrongId);
    EXPECT_TRUE(splitter.feed("data: {\"id\":\"other\"}\n\n").hasWrongId);
}

TEST(sse_splitter_test, ReportsAWrongIdForAnUnparsableEvent)
{
    sse_splitter splitter("mine");
    EXPECT_TRUE(splitter.feed("data: {broken\n\n").hasWrongId);
}

TEST(sse_splitter_test, CountsTheBytesOfTheUnfinishedEvent)
{
    sse_splitter splitter("");
    static_cast<void>(splitter.feed("data: 1\n\ndata: 2"));
    EXPECT_EQ(splitter.partialBytes(), 7U);
}

} // namespace
} // namespace wisteriashunt

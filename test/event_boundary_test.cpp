// Tests where events of a stream end.
#include "gateway/event_boundary.h"

#include <gtest/gtest.h>

#include <string>

namespace wisteriashunt
{
namespace
{

/// One stream and whether it ends within an event.
struct boundary_case
{
    const char *name;
    std::string bytes;
    bool isInsideEvent;
};

class event_boundary_test : public ::testing::TestWithParam<boundary_case>
{
};

TEST_P(event_boundary_test, KnowsWhetherAnEventIsUnfinished)
{
    event_boundary whole;
    static_cast<void>(whole.feed(GetParam().bytes));
    EXPECT_EQ(whole.isInsideEvent(), GetParam().isInsideEvent) << "in one piece";
    event_boundary byteByByte;
    for (const char byte : GetParam().bytes) {
        static_cast<void>(byteByByte.feed(std::string_view(&byte, 1)));
    }
    EXPECT_EQ(byteByByte.isInsideEvent(), GetParam().isInsideEvent) << "byte by byte";
}

INSTANTIATE_TEST_SUITE_P(Streams,
                         event_boundary_test,
                         ::testing::Values(boundary_case{"Nothing", "", false},
                                           boundary_case{"WholeEvent", "id: 1\ndata: a\n\n", false},
                                           boundary_case{"WholeEventWithCrLf", "id: 1\r\ndata: a\r\n\r\n", false},
                                           boundary_case{"WholeEventWithCr", "id: 1\rdata: a\r\r", false},
                                           boundary_case{"SeveralDataLines", "data: a\ndata: b\n\n", false},
                                           boundary_case{"CommentBetweenEvents", "data: a\n\n: ping\n", false},
                                           boundary_case{"CommentWithCrLf", "data: a\r\n\r\n: ping\r\n", false},
                                           boundary_case{"InTheId", "data: a\n\nid: 2", true},
                                           boundary_case{"AfterTheId", "data: a\n\nid: 2\n", true},
                                           boundary_case{"InTheData", "data: a\n\nid: 2\ndata: b", true},
                                           boundary_case{"BetweenTheTwoLineEnds", "data: a\n\nid: 2\ndata: b\n", true},
                                           boundary_case{"BetweenTheTwoLineEndsWithCrLf", "data: a\r\n", true},
                                           boundary_case{"InTheSecondLineEndWithCrLf", "data: a\r\n\r", false},
                                           boundary_case{"InAComment", "data: a\n\n: pi", true},
                                           boundary_case{"CommentWithinAnEvent", "data: a\n: ping\n", true}),
                         [](const auto &tested) { return std::string(tested.param.name); });

TEST(event_boundary_test, CountsTheBytesOfWholeEventsOnly)
{
    event_boundary boundary;
    EXPECT_EQ(boundary.feed("data: a\n\ndata: b"), 9U);
    EXPECT_EQ(boundary.feed("c\n"), 0U);
    EXPECT_EQ(boundary.feed("\n"), 1U);
}

TEST(event_boundary_test, CountsTheSecondByteOfACrLfThatArrivesLater)
{
    event_boundary boundary;
    EXPECT_EQ(boundary.feed("data: a\r\n\r"), 10U);
    EXPECT_EQ(boundary.feed("\ndata: b"), 1U);
}

} // namespace
} // namespace wisteriashunt

// Tests what an entry gives up when its callers' messages take too much memory.
#include "dispatch/memory_relief.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

constexpr std::size_t megabyte = 1'000'000;
constexpr relief_options options{.limitBytes = 40 * megabyte};

caller_holdings upload(std::size_t arrived, std::size_t missing, double bytesPerSecond, std::chrono::milliseconds quiet = {})
{
    return {.partialBytes = arrived, .missingBytes = missing, .bytesPerSecond = bytesPerSecond, .quiet = quiet};
}

relief_step refused(std::size_t holder)
{
    return {.holder = holder, .kind = relief_kind::refuse_partial_request};
}

int sameRank(std::size_t)
{
    return 0;
}

TEST(memory_relief_test, GivesUpNothingBelowTheLimit)
{
    EXPECT_TRUE(decideOnRelief(options, options.limitBytes, {upload(40 * megabyte, 1, 1)}, sameRank).empty());
    EXPECT_TRUE(decideOnRelief({}, 1000 * megabyte, {upload(40 * megabyte, 1, 1)}, sameRank).empty());
}

TEST(memory_relief_test, ABodyThatLacksItsLastByteGoesBeforeOneThatMakesProgress)
{
    const std::vector holders{upload(4 * megabyte, 100'000, 1e6), upload(4 * megabyte, 1, 0, std::chrono::seconds(8)), upload(20 * megabyte, 100'000, 1e6)};
    EXPECT_EQ(decideOnRelief(options, 38 * megabyte + 3 * megabyte, holders, sameRank).front(), refused(1));
}

TEST(memory_relief_test, ABodyThatTricklesIsStalled)
{
    EXPECT_GT(expectedArrival(upload(4 * megabyte, 1000, 1, std::chrono::milliseconds(900))), std::chrono::minutes(10));
    EXPECT_LT(expectedArrival(upload(100'000, 4 * megabyte, 2e6)), std::chrono::seconds(3));
}

TEST(memory_relief_test, TheLessUrgentGoesFirstAmongThoseThatMakeProgress)
{
    const std::vector holders{upload(8 * megabyte, megabyte, 1e6), upload(6 * megabyte, megabyte, 1e6), upload(7 * megabyte, megabyte, 1e6)};
    const auto steps = decideOnRelief(options, 41 * megabyte, holders, [](std::size_t holder) { return holder == 1 ? 3 : 1; });
    EXPECT_EQ(steps, std::vector{refused(1)});
}

TEST(memory_relief_test, AnUploadNearItsEndOutlastsOneThatHasBegun)
{
    const std::vector holders{upload(39 * megabyte / 10, megabyte / 10, 2e6), upload(2 * megabyte, 2 * megabyte, 2e6)};
    EXPECT_EQ(decideOnRelief(options, 40 * megabyte + 1, holders, sameRank).front(), refused(1));
}

TEST(memory_relief_test, PipelinedRequestsGoFirst)
{
    const std::vector<caller_holdings> holders{upload(4 * megabyte, 1, 0, std::chrono::seconds(8)), {.pipelinedBytes = 48'000}, {.pipelinedBytes = 64'000}};
    const auto steps = decideOnRelief(options, 40 * megabyte + 1, holders, sameRank);
    ASSERT_EQ(steps.size(), 3U);
    EXPECT_EQ(steps[0], (relief_step{.holder = 2, .kind = relief_kind::drop_pipelined_requests}));
    EXPECT_EQ(steps[1], (relief_step{.holder = 1, .kind = relief_kind::drop_pipelined_requests}));
    EXPECT_EQ(steps[2], refused(0));
}

TEST(memory_relief_test, FreesNoMoreThanAnEighthBeyondTheLimit)
{
    const std::vector holders(100, upload(megabyte / 2, megabyte, 1e6));
    const auto steps = decideOnRelief(options, 41 * megabyte, holders, sameRank);
    EXPECT_EQ(steps.size(), 12U) << "from 41 MB to 35 MB";
}

TEST(memory_relief_test, AConnectionThatHoldsNextToNothingIsLeftAlone)
{
    EXPECT_TRUE(decideOnRelief(options, 50 * megabyte, {upload(100, 5, 0, std::chrono::seconds(60))}, sameRank).empty());
}

} // namespace
} // namespace wisteriashunt

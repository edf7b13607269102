// Tests when an entry sends messages to its peers, and how many bytes they take.
#include "dispatch/exchange_schedule.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

constexpr time_point start{std::chrono::seconds(1000)};

TEST(exchange_schedule_test, BoundsTheMessagesASecondOfAnEntryWithManyPeers)
{
    const exchange_schedule_options options;
    const exchange_schedule schedule(options);
    EXPECT_EQ(schedule.roundPeriod(3), options.busyPeriod);
    for (const std::size_t peers : {27, 60, 102, 120}) {
        constexpr double maxRoundMessagesPerSecond = 250;
        EXPECT_LE(static_cast<double>(peers) / toSeconds(schedule.roundPeriod(peers)), maxRoundMessagesPerSecond + 1) << peers << " peers";
    }
    EXPECT_EQ(schedule.roundPeriod(1900), options.idlePeriod) << "digests would expire";
}

TEST(exchange_schedule_test, RoundsAreFurtherApartWhileMessagesAreLarge)
{
    exchange_schedule schedule({.maxBytesPerSecond = 100'000});
    schedule.onRound(20, 2000, start);
    EXPECT_EQ(schedule.roundPeriod(20), std::chrono::milliseconds(500)) << "40 kB in 0.4 s at 0.8 of 100 kB/s";
}

TEST(exchange_schedule_test, NewsTakeNoMoreThanTheBoundsHoweverManyThereAre)
{
    constexpr std::size_t peers = 102;
    constexpr std::size_t roundBytes = 800;
    constexpr std::size_t newsBytes = 60;
    const exchange_schedule_options options;
    exchange_schedule schedule(options);
    double messages = 0;
    double bytes = 0;
    constexpr int seconds = 20;
    // News at each millisecond, as many streams that begin cause.
    for (auto now = start; now < start + std::chrono::seconds(seconds); now += std::chrono::milliseconds(1)) {
        if (schedule.isRoundDue(peers, true, now)) {
            schedule.onRound(peers, roundBytes, now);
            messages += peers;
            bytes += peers * roundBytes;
        }
        if (schedule.mayTellNews(peers, now)) {
            schedule.onNews(peers, newsBytes, now);
            messages += peers;
            bytes += peers * newsBytes;
        }
    }
    const double allowedSeconds = seconds + toSeconds(options.burst);
    // A round is sent when it is due, and what it exceeds the bound by is made up for afterwards.
    EXPECT_LE(messages, options.maxMessagesPerSecond * allowedSeconds + peers);
    EXPECT_LE(bytes, options.maxBytesPerSecond * allowedSeconds + peers * roundBytes);
}

TEST(exchange_schedule_test, NewsNeedNotWaitAfterAQuietTime)
{
    exchange_schedule schedule;
    EXPECT_TRUE(schedule.mayTellNews(102, start));
    schedule.onNews(102, 60, start);
    EXPECT_TRUE(schedule.mayTellNews(102, start + std::chrono::milliseconds(1)));
}

TEST(exchange_schedule_test, RoundsWithoutLoadAreOneIdlePeriodApart)
{
    exchange_schedule schedule;
    schedule.onRound(3, 100, start);
    EXPECT_FALSE(schedule.isRoundDue(3, false, start + std::chrono::milliseconds(400)));
    EXPECT_TRUE(schedule.isRoundDue(3, true, start + std::chrono::milliseconds(50)));
    EXPECT_TRUE(schedule.isRoundDue(3, false, start + std::chrono::milliseconds(500)));
}

} // namespace
} // namespace wisteriashunt

// Tests how many entries are taken to share a quantity that holds for all of them.
#include "dispatch/entry_census.h"
#include "dispatch/placement.h"
#include "dispatch/retry_allowance.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace wisteriashunt
{
namespace
{

constexpr time_point start{std::chrono::seconds(1000)};

TEST(entry_census_test, AnEntryThatKnowsNoPeersDoesNotAssumeThatItIsAlone)
{
    EXPECT_EQ(entry_census({.assumedEntries = 8}).entries(start), 8U);
}

TEST(entry_census_test, CountsPeersThatWereHeard)
{
    entry_census census;
    census.onHeard("a", start);
    census.onHeard("b", start);
    EXPECT_EQ(census.entries(start), 3U);
}

TEST(entry_census_test, ForgetsASilentPeerWhileOthersAreHeard)
{
    entry_census census({.peerMemory = std::chrono::seconds(30)});
    census.onHeard("a", start);
    census.onHeard("b", start + std::chrono::seconds(29));
    EXPECT_EQ(census.entries(start + std::chrono::seconds(29)), 3U);
    census.onHeard("b", start + std::chrono::seconds(31));
    EXPECT_EQ(census.entries(start + std::chrono::seconds(31)), 2U);
}

TEST(entry_census_test, CountsAllPeersWhileNoneIsHeard)
{
    entry_census census({.isolatedPeerMemory = std::chrono::minutes(1)});
    census.onHeard("a", start);
    census.onHeard("b", start + std::chrono::seconds(1));
    EXPECT_EQ(census.entries(start + std::chrono::seconds(50)), 3U);
    EXPECT_FALSE(census.knowsPeers(start + std::chrono::minutes(2)));
}

TEST(retry_allowance_fleet_test, EntriesThatDoNotHearEachOtherKeepTheLimitOfTheFleet)
{
    constexpr int entryCount = 28;
    const retry_allowance_options options{.ratio = 0.2, .slack = 96, .window = std::chrono::seconds(10)};
    const endpoint_roster roster;
    std::vector<std::unique_ptr<placement_planner>> entries;
    for (int i = 0; i < entryCount; ++i) {
        entries.push_back(std::make_unique<placement_planner>(roster, "z", placement_options{}));
        for (int peer = 0; peer < entryCount; ++peer) {
            if (peer != i) {
                entries.back()->onPeerDigest("entry-" + std::to_string(peer), {}, start);
            }
        }
    }
    const auto now = start + std::chrono::seconds(5);
    int retries = 0;
    for (const auto &entry : entries) {
        retry_allowance allowance(options);
        while (allowance.trySpend(now, entry->sharingEntries(now))) {
            ++retries;
        }
    }
    EXPECT_LE(retries, options.slack) << "retries in one window, without requests, five seconds after the entries heard each other";
}

} // namespace
} // namespace wisteriashunt

// Tests of the endpoint roster and of endpoint health.
#include "membership/endpoint_roster.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

constexpr time_point start{std::chrono::seconds(1000)};

endpoint_record record(const std::string &id, std::int64_t sequence, std::int64_t startedAt = 1, bool isDraining = false)
{
    return {.id = id,
            .service = "s",
            .address = {.ip = 1, .port = 80},
            .availabilityZone = "z",
            .slots = 4,
            .isDraining = isDraining,
            .startedAtMilliseconds = startedAt,
            .sequence = sequence};
}

TEST(endpoint_roster_test, UpdatesAnIncarnationInPlace)
{
    endpoint_roster roster;
    EXPECT_TRUE(roster.apply(record("a", 1)));
    const auto endpoint = roster.find("a");
    EXPECT_FALSE(roster.apply(record("a", 2))) << "only the sequence has changed";
    EXPECT_TRUE(roster.apply(record("a", 3, 1, true)));
    EXPECT_EQ(roster.find("a"), endpoint);
    EXPECT_TRUE(endpoint->record.isDraining);
}

TEST(endpoint_roster_test, IgnoresARecordThatArrivesAfterANewerOne)
{
    endpoint_roster roster;
    roster.apply(record("a", 5, 1, true));
    EXPECT_FALSE(roster.apply(record("a", 4)));
    EXPECT_TRUE(roster.find("a")->record.isDraining);
    roster.remove("a");
    EXPECT_FALSE(roster.apply(record("a", 5))) << "the record belongs to the removed incarnation";
    EXPECT_EQ(roster.find("a"), nullptr);
}

TEST(endpoint_roster_test, ReplacesAnOldIncarnationWithFreshHealth)
{
    endpoint_roster roster;
    roster.apply(record("a", 9, 1));
    const auto before = roster.find("a");
    before->health.report(endpoint_outcome::unreachable, start, {});
    EXPECT_TRUE(roster.apply(record("a", 1, 2)));
    const auto after = roster.find("a");
    EXPECT_NE(before, after);
    EXPECT_TRUE(before->isRemoved);
    EXPECT_FALSE(after->health.isSuspended(start));
    EXPECT_EQ(roster.ofService("s").size(), 1U);
}

TEST(endpoint_roster_test, ReportsDrainingAndRemovedEndpoints)
{
    endpoint_roster roster;
    std::vector<std::string> unavailable;
    roster.onUnavailable = [&](const endpoint_pointer &endpoint) {
        unavailable.push_back(endpoint->record.id + (endpoint->isRemoved ? " removed" : " draining"));
    };
    roster.apply(record("a", 1));
    roster.apply(record("a", 2, 1, true));
    roster.remove("a");
    EXPECT_FALSE(roster.remove("a"));
    EXPECT_EQ(unavailable, (std::vector<std::string>{"a draining", "a removed"}));
}

TEST(endpoint_health_test, SuspendsAnUnreachableEndpointForLongerEachTime)
{
    endpoint_health health;
    const health_options options{.initialSuspension = std::chrono::seconds(1), .maxSuspension = std::chrono::seconds(3)};
    EXPECT_TRUE(health.report(endpoint_outcome::unreachable, start, options));
    EXPECT_FALSE(health.report(endpoint_outcome::unreachable, start, options)) << "failures during a suspension must not start another one";
    auto now = start + std::chrono::seconds(1);
    EXPECT_FALSE(health.isSuspended(now));
    EXPECT_TRUE(health.report(endpoint_outcome::unreachable, now, options));
    EXPECT_TRUE(health.isSuspended(now + std::chrono::milliseconds(1900)));
    now += std::chrono::seconds(2);
    EXPECT_TRUE(health.report(endpoint_outcome::unreachable, now, options));
    EXPECT_FALSE(health.isSuspended(now + std::chrono::seconds(3))) << "the suspension must not exceed maxSuspension";
    health.report(endpoint_outcome::answered, now, options);
    EXPECT_FALSE(health.isSuspended(now));
}

TEST(endpoint_health_test, CountsFailuresButNotRejections)
{
    endpoint_health health;
    for (int i = 0; i < 20; ++i) {
        health.report(endpoint_outcome::did_not_run, start, {});
    }
    EXPECT_EQ(health.failureShare(), 0);
    for (int i = 0; i < 20; ++i) {
        health.report(endpoint_outcome::failed, start, {});
    }
    EXPECT_TRUE(health.isFailing({}));
    for (int i = 0; i < 20; ++i) {
        health.report(endpoint_outcome::answered, start, {});
    }
    EXPECT_FALSE(health.isFailing({}));
}

TEST(endpoint_roster_memory_test, EvictsTheOldestRecordsOfRemovedEndpoints)
{
    endpoint_roster roster;
    const auto recordOf = [](int number) {
        return endpoint_record{
            .id = "e" + std::to_string(number), .service = "s", .address = {.ip = 1, .port = 80}, .startedAtMilliseconds = number, .sequence = 1};
    };
    constexpr int recordCount = 3000;
    for (int number = 0; number < recordCount; ++number) {
        roster.apply(recordOf(number));
        roster.remove("e" + std::to_string(number));
    }
    EXPECT_LE(roster.trackedRecords(), 1001U);
    EXPECT_FALSE(roster.apply(recordOf(recordCount - 1))) << "a late copy of a recently removed record must be ignored";
}

} // namespace
} // namespace wisteriashunt

// Tests of the order of an endpoint's records that the log has executed late.
#include "membership/endpoint_roster.h"

#include <rapidcheck.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <set>

namespace wisteriashunt
{
namespace
{

constexpr time_point wallClock{std::chrono::hours(500'000)};
constexpr std::int64_t started = 1'790'000'000'000;

endpoint_record record(std::int64_t startedAt, std::int64_t sequence, bool isDraining = false)
{
    return {.id = "a",
            .service = "s",
            .address = {.ip = 1, .port = 80},
            .slots = 4,
            .isDraining = isDraining,
            .startedAtMilliseconds = startedAt,
            .sequence = sequence};
}

/// A roster that reads records of one epoch in the order in which the log has executed them.
class record_order_test : public ::testing::Test
{
protected:
    void read(const endpoint_record &record)
    {
        m_roster.apply(record, log_position{.epoch = m_epoch, .offset = m_offset++});
    }

    void readRemoval()
    {
        ++m_offset;
        m_roster.remove("a");
    }

    [[nodiscard]] bool isEligible() const
    {
        const auto endpoint = m_roster.find("a");
        return endpoint != nullptr && !endpoint->isLeaving();
    }

    endpoint_roster m_roster;
    std::int64_t m_epoch = 1;
    std::int64_t m_offset = 0;
};

// A heartbeat that the log executed seconds late brought an endpoint that was draining back into use.
TEST_F(record_order_test, AnIncarnationThatDrainsDoesNotReturn)
{
    read(record(started, 1));
    read(record(started, 8, true));
    read(record(started, 5));
    EXPECT_FALSE(isEligible());
    EXPECT_EQ(m_roster.unlistedLeaving(), (std::vector<endpoint_incarnation>{{.id = "a", .startedAtMilliseconds = started}}))
        << "entries that have not read that it drains learn it from this one";
    read(record(started, 14, true));
    EXPECT_FALSE(isEligible());
    EXPECT_TRUE(m_roster.unlistedLeaving().empty()) << "the list says it again";
}

TEST_F(record_order_test, AnIncarnationThatDrainedDoesNotReturnAfterItsRemovalOrAtAnotherAddress)
{
    read(record(started, 8, true));
    readRemoval();
    read(record(started, 9));
    EXPECT_FALSE(isEligible());
    auto moved = record(started, 10);
    moved.address.port = 81;
    moved.service = "t";
    read(moved);
    EXPECT_FALSE(isEligible());
}

TEST_F(record_order_test, ANewIncarnationIsUsedAfterOneThatDrained)
{
    read(record(started, 8, true));
    read(record(started + 3000, 1));
    EXPECT_TRUE(isEligible());
}

TEST_F(record_order_test, AnOlderIncarnationDoesNotFollowANewerOne)
{
    read(record(started + 3000, 1));
    const auto current = m_roster.find("a");
    read(record(started, 9));
    EXPECT_EQ(m_roster.find("a"), current);
    readRemoval();
    read(record(started, 10));
    EXPECT_EQ(m_roster.find("a"), nullptr);
}

TEST_F(record_order_test, ARemovedIncarnationReturnsWithItsNextRecordOnly)
{
    read(record(started, 5));
    readRemoval();
    read(record(started, 4));
    EXPECT_EQ(m_roster.find("a"), nullptr) << "written before the removal";
    read(record(started, 6));
    EXPECT_TRUE(isEligible()) << "written by an endpoint whose record had expired";
}

TEST_F(record_order_test, AnOutdatedRecordThatStaysIsOfALiveEndpointUnlessItDrained)
{
    read(record(started, 5));
    readRemoval();
    EXPECT_TRUE(m_roster.mayBeLive(record(started, 4)));
    EXPECT_FALSE(m_roster.mayBeLive(record(started - 1, 4)));
    m_roster.readmit(record(started, 4), std::nullopt);
    EXPECT_TRUE(isEligible());
    read(record(started, 6, true));
    readRemoval();
    EXPECT_FALSE(m_roster.mayBeLive(record(started, 4)));
}

TEST_F(record_order_test, ARemovalThatDoesNotTakeEffectYetOrdersRecordsToo)
{
    read(record(started, 5));
    m_roster.noteRemoved("a");
    EXPECT_TRUE(m_roster.isOutdated(record(started, 4), log_position{.epoch = 1, .offset = 9}));
    EXPECT_FALSE(m_roster.isOutdated(record(started, 6), log_position{.epoch = 1, .offset = 9}));
}

TEST_F(record_order_test, ALateRemovalEndsTheNewIncarnationUntilItsNextRecord)
{
    read(record(started, 5));
    read(record(started + 3000, 1));
    readRemoval();
    EXPECT_FALSE(isEligible());
    read(record(started + 3000, 2));
    EXPECT_TRUE(isEligible());
}

TEST_F(record_order_test, OtherContentsOfOneIncarnationFollowTheLog)
{
    read(record(started, 8));
    auto changed = record(started, 5);
    changed.slots = 6;
    read(changed);
    EXPECT_EQ(m_roster.find("a")->record.slots, 6);
}

TEST_F(record_order_test, ContentsOrderRecordsOfDifferentEpochs)
{
    read(record(started, 8, true));
    ++m_epoch;
    m_offset = 0;
    read(record(started, 5));
    EXPECT_FALSE(isEligible());
    read(record(started + 3000, 1));
    EXPECT_TRUE(isEligible());
}

TEST_F(record_order_test, RecordsWithoutAStartFollowTheLog)
{
    read(record(0, 8, true));
    read(record(0, 1));
    EXPECT_TRUE(isEligible());
}

TEST_F(record_order_test, NumbersThatCannotBeDoNotKeepLaterRecordsOut)
{
    constexpr std::int64_t maxNumber = 9'007'199'254'740'991;
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(wallClock.time_since_epoch()).count();
    const auto inFuture = withoutImpossibleNumbers(record(now + 120'000, 3), wallClock);
    EXPECT_EQ(inFuture.startedAtMilliseconds, 0);
    EXPECT_EQ(withoutImpossibleNumbers(record(now - 5'000, maxNumber), wallClock).sequence, 0);
    EXPECT_EQ(withoutImpossibleNumbers(record(now - 5'000, 5), wallClock), record(now - 5'000, 5));
    EXPECT_EQ(withoutImpossibleNumbers(record(now + 2'000, 1), wallClock), record(now + 2'000, 1)) << "clocks differ by seconds";
    read(inFuture);
    read(record(now, 1));
    EXPECT_EQ(m_roster.find("a")->record.startedAtMilliseconds, now);
}

/// Writes of the incarnations of one endpoint, in the order of their writers.
struct endpoint_write
{
    endpoint_record record;
    bool isRemoval = false;
};

std::vector<endpoint_write> randomWrites()
{
    std::vector<endpoint_write> writes;
    const int incarnations = *rc::gen::inRange(1, 4);
    for (int incarnation = 0; incarnation < incarnations; ++incarnation) {
        const auto startedAt = started + 1000 * incarnation;
        const int ready = *rc::gen::inRange(1, 6);
        const int draining = *rc::gen::inRange(0, 4);
        for (int i = 0; i < ready + draining; ++i) {
            writes.push_back({.record = record(startedAt, i + 1, i >= ready)});
        }
        if (*rc::gen::arbitrary<bool>()) {
            writes.push_back({.isRemoval = true});
        }
    }
    return writes;
}

/// The order in which the log executes the writes: each may be executed after some that were written later. The last one is not late.
std::vector<endpoint_write> executed(const std::vector<endpoint_write> &writes)
{
    std::vector<std::pair<std::size_t, std::size_t>> order;
    for (std::size_t i = 0; i < writes.size(); ++i) {
        const bool isLate = i + 1 < writes.size() && *rc::gen::inRange(0, 3) == 0;
        order.emplace_back(std::min(writes.size() - 1, i + (isLate ? *rc::gen::inRange<std::size_t>(1, 8) : 0)), writes.size() - i);
    }
    std::vector<std::size_t> indexes;
    for (std::size_t i = 0; i < writes.size(); ++i) {
        indexes.push_back(i);
    }
    // Of the writes that are executed at one time, the late ones come first.
    std::sort(indexes.begin(), indexes.end(), [&](std::size_t left, std::size_t right) {
        const auto key = [&](std::size_t i) { return std::tuple(order[i].first, order[i].first == i, i); };
        return key(left) < key(right);
    });
    std::vector<endpoint_write> result;
    for (const auto index : indexes) {
        result.push_back(writes[index]);
    }
    return result;
}

RC_GTEST_PROP(record_order, LateWritesTakeNothingBackThatWasRead, ())
{
    const auto writes = randomWrites();
    endpoint_roster roster;
    std::set<std::int64_t> drained;
    std::int64_t newestStart = 0;
    std::int64_t removedAtSequence = 0;
    std::int64_t newestSequence = 0;
    std::int64_t offset = 0;
    for (const auto &write : executed(writes)) {
        const log_position place{.epoch = 1, .offset = offset++};
        if (write.isRemoval) {
            roster.remove("a");
            removedAtSequence = newestSequence;
            continue;
        }
        const bool wasListed = roster.find("a") != nullptr;
        roster.apply(write.record, place);
        if (write.record.isDraining && write.record.startedAtMilliseconds >= newestStart) {
            drained.insert(write.record.startedAtMilliseconds);
        }
        if (write.record.startedAtMilliseconds > newestStart) {
            newestStart = write.record.startedAtMilliseconds;
            removedAtSequence = 0;
        }
        const auto endpoint = roster.find("a");
        if (endpoint == nullptr) {
            continue;
        }
        newestSequence = endpoint->record.sequence;
        RC_ASSERT(endpoint->record.startedAtMilliseconds == newestStart);
        RC_ASSERT(wasListed || endpoint->record.sequence >= removedAtSequence);
        if (!endpoint->record.isDraining) {
            RC_ASSERT(!drained.contains(endpoint->record.startedAtMilliseconds));
        }
    }
    const auto &last = writes.back();
    const auto endpoint = roster.find("a");
    const bool isUsed = endpoint != nullptr && !endpoint->record.isDraining;
    RC_ASSERT(isUsed == (!last.isRemoval && !last.record.isDraining));
}

} // namespace
} // namespace wisteriashunt

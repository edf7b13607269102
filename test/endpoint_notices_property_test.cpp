// Plays endpoints that leave, ask for pauses, restart and reuse addresses, with records that come late and out of order, and judges what each entry
// sends.
#include "dispatch/placement.h"

#include <rapidcheck.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <random>

namespace wisteriashunt
{
namespace
{

using std::chrono::milliseconds;

constexpr int entryCount = 3;
constexpr int endpointCount = 5;
constexpr duration drainTimeout = std::chrono::seconds(2);

/// One entry and what its endpoints have answered it.
struct entry_under_test
{
    endpoint_roster roster;
    placement_planner planner{roster, "z", {.leavingGrace = drainTimeout * 3 / 4}};
    /// By incarnation: when an answer first said that it leaves, and until when it wants nothing.
    std::map<endpoint_incarnation, time_point> toldLeaving;
    std::map<endpoint_incarnation, time_point> toldPause;
};

class notices_world
{
public:
    explicit notices_world(std::uint64_t seed)
        : m_random(seed)
    {
        for (auto &entry : m_entries) {
            entry = std::make_unique<entry_under_test>();
        }
        for (int i = 0; i < endpointCount; ++i) {
            restart(i);
        }
    }

    void step()
    {
        m_now += milliseconds(below(300));
        const int endpoint = below(endpointCount);
        switch (below(12)) {
        case 0:
            m_isLeaving[endpoint] = true;
            return;
        case 1:
            m_pause[endpoint] = milliseconds(below(4) * 700);
            return;
        case 2:
            restart(endpoint);
            return;
        case 3:
            deliverAnyRecord();
            return;
        case 4:
            entry().roster.remove(nameOf(endpoint));
            return;
        case 5:
            m_entries[static_cast<std::size_t>(below(entryCount))] = std::make_unique<entry_under_test>();
            return;
        case 6:
            exchangeNotices();
            return;
        case 7:
            deliverNewest();
            return;
        default:
            request();
        }
    }

private:
    int below(int limit)
    {
        return static_cast<int>(m_random() % static_cast<std::uint64_t>(limit));
    }

    entry_under_test &entry()
    {
        return *m_entries[static_cast<std::size_t>(below(entryCount))];
    }

    static std::string nameOf(int endpoint)
    {
        return "e" + std::to_string(endpoint);
    }

    void restart(int endpoint)
    {
        ++m_starts;
        m_isLeaving[endpoint] = false;
        m_pause[endpoint] = {};
        m_newest[endpoint] = {.id = nameOf(endpoint),
                              .service = "s",
                              .address = {.ip = 1, .port = static_cast<std::uint16_t>(1 + below(endpointCount))},
                              .slots = 4,
                              .startedAtMilliseconds = m_starts,
                              .sequence = 1};
        m_records.push_back(m_newest[endpoint]);
    }

    void deliverAnyRecord()
    {
        static_cast<void>(entry().roster.apply(m_records[static_cast<std::size_t>(below(static_cast<int>(m_records.size())))]));
    }

    void deliverNewest()
    {
        auto &receiver = entry();
        for (auto &record : m_newest) {
            ++record.sequence;
            receiver.roster.apply(record);
        }
    }

    void exchangeNotices()
    {
        const auto &from = entry();
        auto &to = entry();
        for (const auto &incarnation : from.roster.unlistedLeaving()) {
            to.roster.noteLeaving(incarnation, m_now);
        }
    }

    void request()
    {
        auto &sender = entry();
        const auto decision = sender.planner.place({.service = "s", .requestKey = m_random(), .firstByteTarget = milliseconds(300)}, m_now);
        if (decision.refusal != placement_refusal::none) {
            return;
        }
        const auto &endpoint = decision.chosen.endpoint;
        const auto incarnation = endpoint->incarnation();
        judge(sender, incarnation);
        const int index = std::stoi(incarnation.id.substr(1));
        // An incarnation that is gone answers nothing.
        if (m_newest[index].startedAtMilliseconds != incarnation.startedAtMilliseconds) {
            return;
        }
        if (m_isLeaving[index]) {
            sender.toldLeaving.try_emplace(incarnation, m_now);
            sender.roster.noteLeaving(incarnation, m_now);
        }
        if (m_pause[index] > duration{}) {
            auto &until = sender.toldPause[incarnation];
            until = std::max(until, m_now + m_pause[index]);
            sender.roster.notePause(incarnation, m_pause[index], m_now);
        }
    }

    void judge(const entry_under_test &sender, const endpoint_incarnation &incarnation) const
    {
        if (const auto told = sender.toldLeaving.find(incarnation); told != sender.toldLeaving.end()) {
            RC_ASSERT(m_now - told->second < drainTimeout);
            for (const auto &other : sender.roster.ofService("s")) {
                RC_ASSERT(other->isLeaving());
            }
        }
        if (const auto told = sender.toldPause.find(incarnation); told != sender.toldPause.end()) {
            RC_ASSERT(m_now >= told->second);
        }
    }

    std::mt19937_64 m_random;
    time_point m_now{std::chrono::seconds(1000)};
    std::array<std::unique_ptr<entry_under_test>, entryCount> m_entries;
    std::array<endpoint_record, endpointCount> m_newest;
    std::array<bool, endpointCount> m_isLeaving{};
    std::array<duration, endpointCount> m_pause{};
    std::vector<endpoint_record> m_records;
    std::int64_t m_starts = 0;
};

RC_GTEST_PROP(endpoint_notices_property, NoRequestBreaksWhatAnEndpointHasAskedFor, (std::uint64_t seed))
{
    notices_world world(seed);
    constexpr int steps = 500;
    for (int i = 0; i < steps; ++i) {
        world.step();
    }
}

TEST(endpoint_notices_test, APauseThatEndsEarlierDoesNotShortenALongerOne)
{
    constexpr time_point start{std::chrono::seconds(1000)};
    const endpoint_incarnation incarnation{.id = "e", .startedAtMilliseconds = 1};
    endpoint_notices notices;
    EXPECT_TRUE(notices.notePause(incarnation, std::chrono::seconds(5), start));
    EXPECT_FALSE(notices.notePause(incarnation, std::chrono::seconds(1), start));
    EXPECT_TRUE(notices.of(incarnation).isPaused(start + milliseconds(4999)));
    EXPECT_TRUE(notices.notePause(incarnation, std::chrono::seconds(9), start));
    EXPECT_TRUE(notices.of(incarnation).isPaused(start + milliseconds(8999)));
    EXPECT_FALSE(notices.of(incarnation).isPaused(start + std::chrono::seconds(9)));
}

TEST(endpoint_notices_test, ANewIncarnationHasNoNotices)
{
    constexpr time_point start{std::chrono::seconds(1000)};
    endpoint_notices notices;
    notices.noteLeaving({.id = "e", .startedAtMilliseconds = 1}, start);
    EXPECT_FALSE(notices.of({.id = "e", .startedAtMilliseconds = 2}).isLeaving);
    EXPECT_TRUE(notices.of({.id = "e", .startedAtMilliseconds = 1}).isLeaving);
}

TEST(endpoint_notices_test, RemembersABoundedNumberOfIncarnationsAndKeepsThosePaused)
{
    constexpr time_point start{std::chrono::seconds(1000)};
    endpoint_notices notices({.maxIncarnations = 10});
    notices.notePause({.id = "paused"}, std::chrono::seconds(60), start);
    for (int i = 0; i < 100; ++i) {
        notices.noteLeaving({.id = "e" + std::to_string(i)}, start + milliseconds(i));
    }
    EXPECT_EQ(notices.size(), 10U);
    EXPECT_TRUE(notices.of({.id = "paused"}).isPaused(start + std::chrono::seconds(1)));
    EXPECT_TRUE(notices.of({.id = "e99"}).isLeaving);
}

} // namespace
} // namespace wisteriashunt

// Tests that a stream is never taken up at another version than the one that began it, whatever its entries have seen and lost.
#include "dispatch/stream_versions.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

namespace wisteriashunt
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(1000)};
constexpr milliseconds tick{100};
/// Longest time for which the callers of the deployments wait for a stream.
constexpr seconds longestWait{15};

/// Messages that are kept for an entry that is suspended.
constexpr std::size_t receiveBuffer = 200;

/// An entry with its own view of the list.
struct take_up_entry
{
    endpoint_roster roster;
    stream_versions streams{roster};
    time_point listReadAt;
    bool isReading = true;

    take_up_entry()
    {
        streams.listReadAt = [this] { return listReadAt == time_point{} ? std::nullopt : std::optional(listReadAt); };
    }

    void read(const std::set<std::string> &listed, time_point now)
    {
        if (isReading) {
            for (const std::string version : {"v1", "v2", "v3"}) {
                if (listed.contains(version)) {
                    roster.apply(
                        {.id = version, .service = "model", .slots = 8, .startedAtMilliseconds = 1, .sequence = ++m_sequence, .softwareVersion = version});
                } else {
                    roster.remove(version);
                }
            }
            listReadAt = now;
        }
        streams.observeVersions(now);
    }

    /// Returns the version at which an attempt goes on, for which the list may have to be read first.
    [[nodiscard]] std::optional<std::string> origin(const std::string &attempt, const std::set<std::string> &listed, time_point now)
    {
        if (needsReading(attempt, now)) {
            if (!isReading) {
                return std::nullopt;
            }
            read(listed, now);
        }
        return originWithoutReading(attempt, now);
    }

    [[nodiscard]] bool needsReading(const std::string &attempt, time_point now)
    {
        return streams.needsReading(attempt, "model", now);
    }

    [[nodiscard]] std::optional<std::string> originWithoutReading(const std::string &attempt, time_point now)
    {
        const auto found = streams.originOf(attempt, "model", now);
        return found ? std::optional(found->softwareVersion) : std::nullopt;
    }

private:
    std::int64_t m_sequence = 0;
};

/// Entries that have seen the version for longer than streams are taken up.
class stream_take_ups_test : public ::testing::Test
{
protected:
    void passTime(duration time, const std::vector<take_up_entry *> &entries)
    {
        for (const auto until = m_now + time; m_now < until; m_now += tick) {
            for (auto *entry : entries) {
                entry->read(m_listed, m_now);
            }
        }
    }

    std::set<std::string> m_listed{"v1"};
    time_point m_now = start;
};

TEST_F(stream_take_ups_test, AVersionThatLeftWithinTheHistoryCountsAlsoIfNobodyAsked)
{
    take_up_entry entry;
    passTime(seconds(40), {&entry});
    m_listed = {"v2"};
    passTime(seconds(1), {&entry});
    EXPECT_EQ(entry.origin("unknown", m_listed, m_now), std::nullopt);
}

TEST_F(stream_take_ups_test, AVersionAtWhichAPeersStreamBeganCountsAlsoIfTheListDoesNotShowItYet)
{
    take_up_entry behind;
    passTime(seconds(40), {&behind});
    behind.isReading = false;
    passTime(seconds(1), {&behind});
    EXPECT_TRUE(behind.needsReading("unknown", m_now));
    EXPECT_EQ(behind.originWithoutReading("unknown", m_now), "v1");
    take_up_entry restarted;
    m_listed = {"v1", "v2"};
    passTime(tick, {&restarted, &behind});
    restarted.streams.onBegun("told", {"model", "v2"}, seconds(5), m_now);
    behind.streams.onPeerDigest(restarted.streams.digest(m_now), m_now);
    EXPECT_EQ(behind.origin("told", m_listed, m_now), "v2");
    EXPECT_EQ(behind.originWithoutReading("lost", m_now), std::nullopt);
}

TEST_F(stream_take_ups_test, APeerThatHasJustStartedTellsOfTheVersionsThatItSees)
{
    take_up_entry behind;
    passTime(seconds(40), {&behind});
    behind.isReading = false;
    take_up_entry restarted;
    m_listed = {"v1", "v2"};
    passTime(tick, {&restarted, &behind});
    behind.streams.onPeerDigest(restarted.streams.digest(m_now), m_now);
    EXPECT_EQ(behind.originWithoutReading("lost", m_now), std::nullopt);
}

// The list of an entry that is out of step may lack a version that streams have begun at, however short the time.
TEST_F(stream_take_ups_test, AnEntryThatIsOutOfStepAsksForTheListHoweverShortlyItIs)
{
    for (const milliseconds time : {tick, milliseconds(500), milliseconds(1000), milliseconds(2000), milliseconds(4000), milliseconds(4900)}) {
        take_up_entry entry;
        m_listed = {"v1"};
        passTime(seconds(40), {&entry});
        entry.isReading = false;
        passTime(time, {&entry});
        m_listed = {"v1", "v2"};
        EXPECT_TRUE(entry.needsReading("unknown", m_now)) << time.count();
        EXPECT_EQ(entry.origin("unknown", m_listed, m_now), std::nullopt) << time.count();
        entry.isReading = true;
        EXPECT_EQ(entry.origin("unknown", m_listed, m_now), std::nullopt) << time.count();
    }
}

TEST_F(stream_take_ups_test, AVersionThatCameAndLeftBetweenTwoReadingsCounts)
{
    take_up_entry entry;
    passTime(seconds(40), {&entry});
    EXPECT_EQ(entry.origin("unknown", m_listed, m_now), "v1");
    entry.streams.onListed({"model", "v2"}, m_now);
    EXPECT_EQ(entry.origin("unknown", m_listed, m_now), std::nullopt);
    passTime(seconds(31), {&entry});
    EXPECT_EQ(entry.origin("unknown", m_listed, m_now), "v1");
}

TEST_F(stream_take_ups_test, AListWithoutTheRecordsInBetweenDoesNotShowThatOneVersionServedAlone)
{
    take_up_entry entry;
    passTime(seconds(40), {&entry});
    entry.streams.onPassedOver(std::nullopt, m_now);
    EXPECT_EQ(entry.origin("unknown", m_listed, m_now), std::nullopt);
    passTime(seconds(31), {&entry});
    EXPECT_EQ(entry.origin("unknown", m_listed, m_now), "v1");
}

TEST_F(stream_take_ups_test, APeerThatSawTheRecordsInBetweenFillsTheGap)
{
    take_up_entry entry;
    take_up_entry peer;
    passTime(seconds(40), {&entry, &peer});
    entry.isReading = false;
    passTime(seconds(2), {&entry, &peer});
    entry.isReading = true;
    entry.streams.onPassedOver(peer.streams.knowledge(m_now), m_now);
    EXPECT_EQ(entry.origin("unknown", m_listed, m_now), "v1");
    peer.streams.onListed({"model", "v2"}, m_now);
    entry.streams.onPassedOver(peer.streams.knowledge(m_now), m_now);
    EXPECT_EQ(entry.origin("unknown", m_listed, m_now), std::nullopt) << "only the peer saw it";
}

TEST_F(stream_take_ups_test, APeerThatKnowsLessDoesNotFillTheGap)
{
    take_up_entry entry;
    passTime(seconds(40), {&entry});
    entry.isReading = false;
    passTime(seconds(2), {&entry});
    take_up_entry restarted;
    passTime(seconds(1), {&entry, &restarted});
    entry.isReading = true;
    entry.streams.onPassedOver(restarted.streams.knowledge(m_now), m_now);
    EXPECT_EQ(entry.origin("unknown", m_listed, m_now), std::nullopt);
}

TEST_F(stream_take_ups_test, APeerWhoseListEndsBeforeTheOwnOneBeginsProvesNothing)
{
    take_up_entry cutOff;
    passTime(seconds(40), {&cutOff});
    cutOff.isReading = false;
    passTime(seconds(2), {&cutOff});
    take_up_entry restarted;
    passTime(seconds(1), {&cutOff, &restarted});
    restarted.streams.onPeerDigest(cutOff.streams.digest(m_now), m_now);
    EXPECT_EQ(restarted.origin("unknown", m_listed, m_now), std::nullopt) << "v2 may have come and left after the list of the other ends";
}

TEST_F(stream_take_ups_test, AnEntryWhoseListIsOldDoesNotAssumeThatOneVersionServesAlone)
{
    take_up_entry entry;
    passTime(seconds(40), {&entry});
    entry.isReading = false;
    passTime(seconds(6), {&entry});
    EXPECT_EQ(entry.origin("unknown", m_listed, m_now), std::nullopt);
    entry.isReading = true;
    passTime(seconds(1), {&entry});
    EXPECT_EQ(entry.origin("unknown", m_listed, m_now), std::nullopt) << "another version may have come and left";
    passTime(seconds(31), {&entry});
    EXPECT_EQ(entry.origin("unknown", m_listed, m_now), "v1");
}

TEST_F(stream_take_ups_test, AnEntryThatWasSuspendedDoesNotAssumeThatItSawAllVersions)
{
    take_up_entry entry;
    passTime(seconds(40), {&entry});
    m_now += seconds(31);
    m_listed = {"v2"};
    EXPECT_EQ(entry.origin("unknown", m_listed, m_now), std::nullopt) << "before it has read the list";
    passTime(seconds(1), {&entry});
    EXPECT_EQ(entry.origin("unknown", m_listed, m_now), std::nullopt);
}

TEST_F(stream_take_ups_test, MessagesFromBeforeASuspensionProveNothing)
{
    take_up_entry entry;
    take_up_entry peer;
    passTime(seconds(40), {&entry, &peer});
    const auto sentBefore = peer.streams.digest(m_now);
    m_now += seconds(31);
    m_listed = {"v2"};
    entry.read(m_listed, m_now);
    entry.streams.onPeerDigest(sentBefore, m_now);
    passTime(seconds(2), {&entry});
    EXPECT_EQ(entry.origin("unknown", m_listed, m_now), std::nullopt);
}

TEST_F(stream_take_ups_test, ARestartedEntryKnowsWhatAPeerOfAPeerKnew)
{
    take_up_entry old;
    passTime(seconds(40), {&old});
    take_up_entry second;
    passTime(seconds(1), {&old, &second});
    second.streams.onPeerDigest(old.streams.digest(m_now), m_now);
    take_up_entry third;
    passTime(seconds(1), {&second, &third});
    third.streams.onPeerDigest(second.streams.digest(m_now), m_now);
    EXPECT_EQ(third.origin("unknown", m_listed, m_now), "v1");
}

TEST_F(stream_take_ups_test, RestartedEntriesDoNotConfirmEachOther)
{
    m_listed = {"v2"};
    take_up_entry second;
    passTime(seconds(1), {&second});
    take_up_entry third;
    passTime(seconds(1), {&second, &third});
    for (int round = 0; round < 3; ++round) {
        third.streams.onPeerDigest(second.streams.digest(m_now), m_now);
        second.streams.onPeerDigest(third.streams.digest(m_now), m_now);
        EXPECT_EQ(second.origin("unknown", m_listed, m_now), std::nullopt) << "v1 may have left before both started";
        EXPECT_EQ(third.origin("unknown", m_listed, m_now), std::nullopt);
    }
    passTime(seconds(27), {&second, &third});
    EXPECT_EQ(second.origin("unknown", m_listed, m_now), std::nullopt);
    passTime(seconds(1) + 2 * tick, {&second, &third});
    EXPECT_EQ(second.origin("unknown", m_listed, m_now), "v2") << "30 s after its start";
    third.streams.onPeerDigest(second.streams.digest(m_now), m_now);
    EXPECT_EQ(third.origin("unknown", m_listed, m_now), "v2") << "as long as the oldest";
}

/// Four entries of which any are killed, suspended or cut off from the list while versions come and leave.
class random_fleet
{
public:
    explicit random_fleet(std::uint32_t seed)
        : m_random(seed)
    {
        for (auto &member : m_members) {
            member.entry = std::make_unique<take_up_entry>();
        }
    }

    /// Plays four minutes. Returns the number of streams that were taken up at another version than their own.
    int play()
    {
        for (; m_now < start + seconds(240); m_now += tick) {
            changeVersions();
            for (auto &member : m_members) {
                changeMember(member);
            }
            if (draw(0.001)) {
                killMost();
            }
            exchange();
            takeUp();
        }
        return m_wrong;
    }

private:
    struct member
    {
        std::unique_ptr<take_up_entry> entry;
        time_point awayUntil;
        std::deque<stream_digest> received;
    };
    struct begun
    {
        std::string attempt;
        std::string version;
        time_point at;
    };

    bool draw(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(m_random) < share;
    }
    duration drawTime(double from, double to)
    {
        return fromSeconds(std::uniform_real_distribution<>(from, to)(m_random));
    }
    [[nodiscard]] bool isAway(const member &each) const
    {
        return each.entry == nullptr || m_now < each.awayUntil;
    }

    void changeVersions()
    {
        for (const std::string version : {"v1", "v2", "v3"}) {
            if (draw(0.001)) {
                m_listed.contains(version) ? static_cast<void>(m_listed.erase(version)) : static_cast<void>(m_listed.insert(version));
            }
        }
    }

    void kill(member &killed)
    {
        killed = {.awayUntil = m_now + drawTime(0.1, 4)};
    }

    void killMost()
    {
        for (auto &each : m_members) {
            if (draw(0.8)) {
                kill(each);
            }
        }
    }

    void changeMember(member &changed)
    {
        if (m_now < changed.awayUntil) {
            return;
        }
        if (changed.entry == nullptr) {
            changed.entry = std::make_unique<take_up_entry>();
        } else if (draw(0.001)) {
            kill(changed);
            return;
        } else if (draw(0.0015)) {
            changed.awayUntil = m_now + drawTime(0.2, 35); // suspended
            return;
        }
        if (draw(changed.entry->isReading ? 0.002 : 0.01)) {
            changed.entry->isReading = !changed.entry->isReading;
        }
    }

    /// Entries begin streams at the versions that they have seen and told of, read the list and tell each other.
    void exchange()
    {
        for (auto &receiver : m_members) {
            while (!isAway(receiver) && !receiver.received.empty()) {
                receiver.entry->streams.onPeerDigest(receiver.received.front(), m_now);
                receiver.received.pop_front();
            }
        }
        takeUp();
        for (auto &each : m_members) {
            if (!isAway(each)) {
                begin(each);
                each.entry->read(m_listed, m_now);
            }
        }
        for (auto &sender : m_members) {
            if (!isAway(sender)) {
                tell(sender);
            }
        }
    }

    void tell(const member &sender)
    {
        const auto digest = sender.entry->streams.digest(m_now);
        for (auto &receiver : m_members) {
            if (&receiver == &sender || receiver.entry == nullptr) {
                continue;
            }
            if (isAway(receiver)) {
                if (receiver.received.size() < receiveBuffer) {
                    receiver.received.push_back(digest);
                }
            } else {
                receiver.entry->streams.onPeerDigest(digest, m_now);
            }
        }
    }

    void begin(const member &at)
    {
        const auto &endpoints = at.entry->roster.ofService("model");
        if (endpoints.empty() || !draw(0.3)) {
            return;
        }
        const auto &version = endpoints[m_random() % endpoints.size()]->record.softwareVersion;
        m_begun.push_back({.attempt = "a" + std::to_string(++m_attempts), .version = version, .at = m_now});
        const bool isLost = draw(0.2); // as if the entry had ended before it could tell
        if (!isLost) {
            at.entry->streams.onBegun(m_begun.back().attempt, {"model", version}, longestWait, m_now);
        }
    }

    void takeUp()
    {
        std::erase_if(m_begun, [this](const begun &each) { return m_now - each.at > longestWait; });
        if (m_begun.empty()) {
            return;
        }
        const auto &taken = m_begun[m_random() % m_begun.size()];
        for (auto &each : m_members) {
            if (!isAway(each)) {
                const auto origin = each.entry->origin(taken.attempt, m_listed, m_now);
                m_wrong += origin && *origin != taken.version ? 1 : 0;
            }
        }
    }

    std::mt19937 m_random;
    std::set<std::string> m_listed{"v1"};
    std::vector<member> m_members{4};
    std::vector<begun> m_begun;
    time_point m_now = start;
    int m_attempts = 0;
    int m_wrong = 0;
};

RC_GTEST_PROP(stream_take_ups, NoStreamGoesOnAtAnotherVersionThanTheOneThatBeganIt, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    RC_ASSERT(random_fleet(seed).play() == 0);
}

} // namespace
} // namespace wisteriashunt

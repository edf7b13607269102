// Returns of the platform's log from a copy some seconds old: followers over loopback, and the records that they keep.
#include "entry_standins.h"
#include "gateway/log_follower.h"
#include "gateway/peer_records.h"
#include "platform/adapter.h"
#include "wisteriashunt/errors.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <msgpack.hpp>
#include <unistd.h>

namespace wisteriashunt::testing
{
namespace
{

using std::chrono::milliseconds;

constexpr const char *topic = "keyed.servers";

/// A follower of the endpoints' topic on a loop of its own, and the log that it follows.
class store_restore_test : public ::testing::Test
{
protected:
    ~store_restore_test() override
    {
        close(m_sink);
    }

    /// Runs the loop until the condition holds. What it waits for is printed, for the case that the test program's time runs out.
    void runUntil(const std::string &what, const std::function<bool()> &condition)
    {
        std::cout << "waiting until " << what << std::endl;
        m_check = [&] {
            if (condition()) {
                m_loop.stop();
            }
        };
        m_loop.run();
        m_check = [] {};
    }

    [[nodiscard]] std::string known(const std::string &key) const
    {
        for (const auto &record : m_follower.snapshot().records) {
            if (record.key == key) {
                return record.value.value_or("none");
            }
        }
        return "none";
    }

    [[nodiscard]] std::string logged()
    {
        m_events.flush();
        std::ifstream file(m_path);
        return {std::istreambuf_iterator<char>(file), {}};
    }

    boot_clock m_clock;
    event_loop m_loop{m_clock};
    std::string m_path = ::testing::TempDir() + "store_restore_" + std::to_string(getpid());
    int m_sink = open(m_path.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
    event_log m_events{m_loop, {.descriptor = m_sink}};
    keyed_log_dialect m_dialect = platform::makeLogDialect();
    fake_log m_log;
    std::function<void()> m_check = [] {};
    log_follower m_follower{m_loop,
                            m_events,
                            m_dialect,
                            {.topic = topic, .log = {.ip = 0x7f000001, .port = m_log.port()}, .period = milliseconds(20)},
                            {.onRecord = [](const keyed_record &, record_timing) {}}};
    std::function<void()> m_start = [this] {
        runPeriodically(m_loop, milliseconds(2), [this] { m_check(); });
        m_follower.start();
    };
};

TEST_F(store_restore_test, AppliesRecordsWhoseOffsetsAreGivenOutAgain)
{
    m_log.put(topic, "kept", "1");
    m_log.takeCopy();
    for (int i = 0; i < 5; ++i) {
        m_log.put(topic, "lost" + std::to_string(i), "1");
    }
    m_start();
    runUntil("the follower knows the records", [this] { return known("lost4") == "1"; });
    m_log.restoreCopy();
    m_log.put(topic, "kept", "2");
    m_log.put(topic, "new", "1");
    runUntil("the follower knows the records of the new epoch", [this] { return known("kept") == "2" && known("new") == "1"; });
    EXPECT_EQ(known("lost0"), "none") << "the log lacks it";
    m_log.put(topic, "new", "2");
    runUntil("the follower goes on in the new epoch", [this] { return known("new") == "2"; });
}

TEST_F(store_restore_test, ReadsTheTopicAnewOnceInsteadOfAskingForMissingOffsetsAgainAndAgain)
{
    m_log.put(topic, "kept", "1");
    m_log.takeCopy();
    m_log.put(topic, "lost", "1");
    m_start();
    runUntil("the follower knows the records", [this] { return known("lost") == "1"; });
    m_log.restoreCopy();
    const auto newestReads = [this] {
        const auto requests = m_log.requests();
        return std::count_if(
            requests.begin(), requests.end(), [](const received_request &each) { return each.target.find("log-newest") != std::string::npos; });
    };
    const auto before = newestReads();
    constexpr std::size_t readsToWatch = 15;
    const auto requestsBefore = m_log.requests().size();
    runUntil("the follower reads on", [&] { return m_log.requests().size() > requestsBefore + readsToWatch; });
    EXPECT_EQ(newestReads() - before, 1) << "of " << readsToWatch << " calls after the return";
}

TEST_F(store_restore_test, LogsWhatANewEpochChanged)
{
    m_log.put(topic, "kept", "1");
    m_log.takeCopy();
    m_log.put(topic, "lost", "1");
    m_start();
    runUntil("the follower knows the records", [this] { return known("lost") == "1"; });
    m_log.restoreCopy();
    runUntil("the follower has read the new epoch", [this] { return m_follower.epoch() == 1 && known("lost") == "none"; });
    const auto lines = logged();
    EXPECT_NE(lines.find("name=log_restored topic=keyed.servers before=0 epoch=1 superseded=1 kept=0 removed=1"), std::string::npos) << lines;
}

TEST_F(store_restore_test, DiscardsAnswersOfAnEarlierEpoch)
{
    m_log.nameEpoch("7");
    m_log.put(topic, "a", "1");
    m_start();
    runUntil("the follower knows the record", [this] { return known("a") == "1"; });
    m_log.nameEpoch("6");
    m_log.put(topic, "a", "2");
    const auto before = m_log.requests().size();
    runUntil("the follower has got answers of the earlier epoch", [&] { return m_log.requests().size() > before + 3; });
    EXPECT_EQ(known("a"), "1");
    EXPECT_EQ(m_follower.epoch(), 7);
    m_log.nameEpoch("7");
    runUntil("the follower reads on", [this] { return known("a") == "2"; });
}

TEST_F(store_restore_test, FailsACallWhoseEpochIsNoNumber)
{
    m_log.nameEpoch("seven");
    m_log.put(topic, "a", "1");
    m_start();
    runUntil("a call has failed", [this] { return m_log.requests().size() > 2; });
    EXPECT_FALSE(m_follower.isComplete());
    EXPECT_NE(logged().find("expected a number from 0, found 'seven'"), std::string::npos) << logged();
}

keyed_record at(std::int64_t epoch, std::int64_t offset, const std::string &key, const std::string &value)
{
    return {.key = key, .value = value, .offset = offset, .epoch = epoch};
}

/// Values are numbers; a lower one is older.
topic_rules numberRules(bool keepsLostRecords)
{
    return {.isOlder = [](const keyed_record &first, const keyed_record &second) { return std::stoi(*first.value) < std::stoi(*second.value); },
            .keepsLostRecords = keepsLostRecords};
}

TEST(topic_records_test, KeepsANewerStateThanTheOneThatACopyHolds)
{
    std::vector<std::string> changes;
    topic_records records(numberRules(true), [&](const keyed_record &record) { changes.push_back(record.value.value_or("none")); });
    EXPECT_EQ(records.onPage(records.nextRead(), {.records = {at(0, 5, "config", "8")}, .end = 6}), read_step::read_on);
    records.noteEpoch(1);
    records.onPage(records.nextRead(), {.records = {at(0, 3, "config", "6")}, .end = 4});
    EXPECT_EQ(records.takeChange(), (epoch_change{.before = 0, .epoch = 1, .kept = 1}));
    records.onPage(records.nextRead(), {.records = {at(0, 4, "config", "7")}, .end = 5});
    records.onPage(records.nextRead(), {.records = {at(0, 5, "config", "9")}, .end = 6});
    EXPECT_EQ(changes, (std::vector<std::string>{"8", "9"}));
}

TEST(topic_records_test, TakesTheNewestStateOfAnotherEntryThatIsNotAheadInTheLog)
{
    topic_records started(numberRules(true), [](const keyed_record &) {});
    started.noteEpoch(1);
    started.onPage(started.nextRead(), {.records = {at(0, 3, "config", "6")}, .end = 4});
    EXPECT_FALSE(started.merge({.next = 4, .records = {at(0, 5, "config", "8")}, .epoch = 1}));
    EXPECT_EQ(started.snapshot().records, (std::vector{at(0, 5, "config", "8")}));
}

TEST(topic_records_test, ReportsARecordThatTheLogExecutesLateAndKeepsTheNewerOne)
{
    auto rules = numberRules(true);
    rules.mayBeExecutedLate = true;
    std::vector<std::string> outdated;
    topic_records records(
        rules, [](const keyed_record &) {}, [&](const keyed_record &record) { outdated.push_back(*record.value); });
    records.onPage(records.nextRead(), {.records = {at(0, 5, "config", "8")}, .end = 6});
    records.onPage(records.nextRead(), {.records = {at(0, 6, "config", "7")}, .end = 7});
    EXPECT_EQ(records.next(), (log_position{.epoch = 0, .offset = 7}));
    EXPECT_EQ(records.snapshot().records, (std::vector{at(0, 5, "config", "8")}));
    EXPECT_EQ(outdated, (std::vector<std::string>{"7"}));
    records.onPage(records.nextRead(), {.records = {at(0, 7, "config", "8")}, .end = 8});
    EXPECT_EQ(records.snapshot().records, (std::vector{at(0, 7, "config", "8")})) << "neither is older";
    records.onPage(records.nextRead(), {.records = {{.key = "config", .offset = 8}}, .end = 9});
    EXPECT_TRUE(records.snapshot().records.empty()) << "a removal";
}

TEST(topic_records_test, DoesNotBringBackAKeyThatAnEntryBehindStillKnows)
{
    topic_records records(numberRules(false), [](const keyed_record &) {});
    records.noteEpoch(1);
    records.onPage(records.nextRead(), {.end = 9});
    EXPECT_FALSE(records.merge({.next = 90, .records = {at(0, 80, "gone", "1")}, .epoch = 0}));
    EXPECT_TRUE(records.snapshot().records.empty());
}

TEST(topic_records_test, IsNotCompleteAfterAMergeFromAnEntryThatHasNotReadTheTopic)
{
    topic_records peer(numberRules(true), [](const keyed_record &) {});
    peer.noteEpoch(2);
    EXPECT_FALSE(peer.merge({.next = 9, .records = {at(1, 8, "config", "8")}, .epoch = 1}));
    topic_records records(numberRules(true), [](const keyed_record &) {});
    EXPECT_FALSE(records.merge(peer.snapshot()));
    EXPECT_EQ(records.next(), std::nullopt);
}

TEST(topic_records_test, DoesNotBringBackAKeyFromAPageThatIsOlderThanAMergedSnapshot)
{
    topic_records records(numberRules(false), [](const keyed_record &) {});
    const auto newestPage = records.nextRead();
    // The key was removed at offset 1, after the log had answered and before the answer arrived.
    EXPECT_TRUE(records.merge({.next = 2}));
    records.onPage(newestPage, {.records = {at(0, 0, "gone", "1")}, .end = 1});
    EXPECT_TRUE(records.snapshot().records.empty());
    EXPECT_EQ(records.next(), (log_position{.offset = 2}));
}

TEST(topic_records_test, DiscardsPagesThatBeganInAnEarlierEpoch)
{
    topic_records records(numberRules(false), [](const keyed_record &) {});
    EXPECT_EQ(records.onPage(records.nextRead(), {.records = {at(0, 1, "a", "1")}, .end = 9, .hasMore = true}), read_step::next_page);
    const auto secondPage = records.nextRead();
    EXPECT_EQ(secondPage.afterKey, "a");
    records.noteEpoch(1);
    EXPECT_EQ(records.onPage(secondPage, {.records = {at(0, 8, "b", "1")}, .end = 9}), read_step::read_new_epoch);
    EXPECT_EQ(records.nextRead(), (log_read{.from = {.epoch = 1}}));
}

TEST(keyed_snapshot_test, RejectsAnArrayThatAnnouncesMoreMembersThanThereAreBytes)
{
    // An array of 3,572,785,409 members, for which no memory may be allocated.
    using namespace std::string_literals;
    EXPECT_THROW(static_cast<void>(decodeSnapshot("\xdd\xd4\xf4\x61\x01"s)), shunt_error);
}

TEST(keyed_snapshot_test, ReadsSnapshotsOfEntriesWithoutEpochsAsTheFirstEpoch)
{
    // A snapshot as entries without epochs send it.
    using record_without_epoch = std::tuple<std::string, std::string, std::int64_t>;
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, std::make_tuple(std::int64_t{9}, std::vector<record_without_epoch>{{"k", "v", 3}}));
    EXPECT_EQ(decodeSnapshot({buffer.data(), buffer.size()}), (peer_snapshot{.records = {.next = 9, .records = {at(0, 3, "k", "v")}}}));
}

} // namespace
} // namespace wisteriashunt::testing

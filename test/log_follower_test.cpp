// Tests log_follower: the records that it keeps of a topic, and merging of other entries' snapshots.
#include "dispatch/list_readings.h"
#include "gateway/log_follower.h"
#include "gateway/peer_records.h"
#include "loopback_server.h"
#include "platform/adapter.h"
#include "wisteriashunt/errors.h"

#include <gtest/gtest.h>

#include <atomic>
#include <fcntl.h>
#include <thread>
#include <unistd.h>

namespace wisteriashunt
{
namespace
{

class fixed_clock final : public clock_source
{
public:
    [[nodiscard]] time_point now() const override
    {
        return time_point(std::chrono::seconds(1000));
    }
};

class log_follower_test : public ::testing::Test
{
protected:
    ~log_follower_test() override
    {
        close(m_sink);
    }

    static keyed_record record(const std::string &key, const std::string &value, std::int64_t offset)
    {
        return {.key = key, .value = value, .offset = offset};
    }

    int m_sink = open("/dev/null", O_WRONLY | O_CLOEXEC);
    fixed_clock m_clock;
    event_loop m_loop{m_clock};
    event_log m_log{m_loop, {.descriptor = m_sink}};
    keyed_log_dialect m_dialect;
    std::vector<std::string> m_seen;
    int m_completions = 0;
    log_follower m_follower{
        m_loop,
        m_log,
        m_dialect,
        {.topic = "t"},
        {.onRecord = [this](const keyed_record &changed, record_timing) { m_seen.push_back(changed.key + "=" + changed.value.value_or("none")); },
         .onComplete = [this] { ++m_completions; }}};
};

TEST_F(log_follower_test, ReportsASnapshotThatPassesOverRecords)
{
    EXPECT_FALSE(m_follower.merge({.next = 3, .records = {record("a", "1", 1), record("b", "1", 2)}})) << "the first one";
    EXPECT_FALSE(m_follower.merge({.next = 4, .records = {record("a", "1", 1), record("b", "2", 3)}}));
    EXPECT_FALSE(m_follower.merge({.next = 5, .records = {record("a", "1", 1)}})) << "b was removed";
    EXPECT_FALSE(m_follower.merge({.next = 5, .records = {record("a", "1", 1)}}));
    EXPECT_TRUE(m_follower.merge({.next = 7, .records = {record("a", "1", 1)}})) << "a key came and was removed";
    EXPECT_TRUE(m_follower.merge({.next = 9, .records = {record("a", "3", 8)}})) << "a had another value in between";
    EXPECT_TRUE(m_follower.merge({.next = 10, .records = {record("a", "3", 8)}, .epoch = 1})) << "of another epoch";
}

TEST_F(log_follower_test, AppliesAnotherEntrysSnapshot)
{
    m_follower.merge({.next = 8, .records = {record("a", "1", 3), record("b", "2", 7)}});
    EXPECT_EQ(m_seen, (std::vector<std::string>{"a=1", "b=2"}));
    EXPECT_TRUE(m_follower.isComplete());
    EXPECT_EQ(m_completions, 1);
}

TEST_F(log_follower_test, IgnoresOlderRecords)
{
    m_follower.merge({.next = 8, .records = {record("a", "new", 7)}});
    m_follower.merge({.next = 5, .records = {record("a", "old", 4), record("gone", "x", 2)}});
    m_follower.merge({.next = 9, .records = {record("a", "old", 4)}});
    EXPECT_EQ(m_seen, (std::vector<std::string>{"a=new"}));
    EXPECT_EQ(m_follower.snapshot(), (keyed_snapshot{.next = 9, .records = {record("a", "new", 7)}}));
}

TEST_F(log_follower_test, DropsKeysMissingFromANewerSnapshot)
{
    m_follower.merge({.next = 8, .records = {record("a", "1", 3), record("b", "2", 7)}});
    m_follower.merge({.next = 10, .records = {record("b", "2", 7)}});
    EXPECT_EQ(m_seen, (std::vector<std::string>{"a=1", "b=2", "a=none"}));
    EXPECT_EQ(m_completions, 1);
}

TEST(log_follower_socket_test, CountsOffsetsFromTheRequestedOneAfterAMerge)
{
    std::atomic<bool> hasMerged{false};
    using namespace std::string_literals;
    const auto withLength = [](const std::string &body) { return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body; };
    testing::loopback_server server([&](const received_request &request) -> testing::scripted_response {
        if (request.target.find("newest") != std::string::npos) {
            return {.parts = {withLength(R"({"items":[],"has_more":false,"end":0})")}};
        }
        if (request.target.find("from=0") == std::string::npos) {
            return {.isSilent = true};
        }
        while (!hasMerged) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        const std::string offsets = "\0\0\0\0\0\0\0\x02\0\0\0\0\0\0\0\0"s;
        return {.parts = {withLength(offsets + "\0\0\0\x03\x01"s + "a1" + "\0\0\0\x03\x01"s + "b2")}};
    });
    const boot_clock clock;
    event_loop loop(clock);
    const int sink = open("/dev/null", O_WRONLY | O_CLOEXEC);
    event_log log(loop, {.descriptor = sink});
    const auto dialect = platform::makeLogDialect();
    std::vector<std::string> seen;
    log_follower follower(
        loop,
        log,
        dialect,
        {.topic = "t", .log = {.ip = 0x7f000001, .port = server.port()}, .wait = std::chrono::seconds(30)},
        {.onRecord = [&](const keyed_record &changed, record_timing) { seen.push_back(changed.key + "=" + changed.value.value_or("none")); }});
    follower.start();
    constexpr std::size_t newestAndFirstRead = 2;
    runPeriodically(loop, std::chrono::milliseconds(2), [&] {
        if (server.requests().size() == newestAndFirstRead && !hasMerged) {
            follower.merge({.next = 1, .records = {{.key = "a", .value = "1", .offset = 0}}});
            hasMerged = true;
        } else if (server.requests().size() > newestAndFirstRead) {
            loop.stop();
        }
    });
    loop.run();
    EXPECT_EQ(seen, (std::vector<std::string>{"a=1", "b=2"}));
    EXPECT_NE(server.requests().back().target.find("from=2"), std::string::npos) << server.requests().back().target;
    close(sink);
}

/// A follower of an empty topic of a log on a socket that takes its time to answer.
class demanded_reading_test : public ::testing::Test
{
protected:
    ~demanded_reading_test() override
    {
        close(m_sink);
    }

    testing::scripted_response serve(const received_request &request)
    {
        if (m_isAway) {
            return {.closes = true};
        }
        if (request.target.find("log-newest") != std::string::npos) {
            return {.parts = {answer(R"({"items":[],"has_more":false,"end":0})")}};
        }
        return {.parts = {"", answer(std::string(16, '\0'))}, .pause = std::chrono::milliseconds(50)};
    }

    static std::string answer(const std::string &body)
    {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /// Runs the loop, and calls the step every other millisecond.
    void run(const std::function<void()> &step)
    {
        m_follower.start();
        runPeriodically(m_loop, std::chrono::milliseconds(2), step);
        m_loop.run();
    }

    std::atomic<bool> m_isAway{false};
    testing::loopback_server m_server{[this](const received_request &request) { return serve(request); }};
    int m_sink = open("/dev/null", O_WRONLY | O_CLOEXEC);
    boot_clock m_clock;
    event_loop m_loop{m_clock};
    event_log m_log{m_loop, {.descriptor = m_sink}};
    keyed_log_dialect m_dialect = platform::makeLogDialect();
    log_follower m_follower{m_loop,
                            m_log,
                            m_dialect,
                            {.topic = "t", .log = {.ip = 0x7f000001, .port = m_server.port()}, .period = std::chrono::seconds(10)},
                            {.onRecord = [](const keyed_record &, record_timing) {}}};
};

// A reading that had begun before shows the topic as it was before.
TEST_F(demanded_reading_test, IsNotOneThatHasBegunBefore)
{
    bool isDemanded = false;
    std::size_t begunBefore = 0;
    std::size_t begun = 0;
    run([&] {
        if (!isDemanded && m_follower.isComplete()) {
            isDemanded = true;
            m_follower.readNow([](bool) {});
        } else if (isDemanded && begunBefore == 0 && m_server.requests().size() == 2) {
            begunBefore = 2;
            m_follower.readNow([&](bool isRead) {
                EXPECT_TRUE(isRead);
                begun = m_server.requests().size();
                m_loop.stop();
            });
        }
    });
    EXPECT_EQ(begun, 3U);
}

TEST_F(demanded_reading_test, ServesAllDemandsThatWaitForIt)
{
    constexpr int demands = 100;
    int served = 0;
    bool isDemanded = false;
    run([&] {
        if (isDemanded || !m_follower.isComplete()) {
            return;
        }
        isDemanded = true;
        for (int i = 0; i < demands; ++i) {
            m_follower.readNow([&](bool isRead) {
                served += isRead ? 1 : 0;
                if (served == demands) {
                    m_loop.stop();
                }
            });
        }
    });
    constexpr std::size_t newestTwoReadings = 3;
    EXPECT_LE(m_server.requests().size(), newestTwoReadings);
}

TEST_F(demanded_reading_test, FailsIfTheLogDoesNotAnswer)
{
    std::vector<bool> results;
    bool isDemanded = false;
    run([&] {
        if (isDemanded || !m_follower.isComplete()) {
            return;
        }
        isDemanded = true;
        m_isAway = true;
        m_follower.readNow([&](bool isRead) {
            results.push_back(isRead);
            m_loop.stop();
        });
    });
    EXPECT_EQ(results, std::vector<bool>{false});
}

TEST(list_demand_test, AllEntriesTogetherMakeAtMostAThousandCallsASecond)
{
    for (const std::size_t entries : {1, 4, 28, 103, 1900}) {
        EXPECT_LE(static_cast<double>(entries) / toSeconds(listDemandPause(entries)), 1000.0) << entries;
    }
}

TEST(keyed_snapshot_test, RoundTripsAndRejectsTruncatedBytes)
{
    const peer_snapshot snapshot{.records = {.next = 12, .records = {{.key = "k", .value = "v", .offset = 3}}},
                                 .currency = follower_currency{.age = std::chrono::milliseconds(5), .sinceFailure = std::chrono::seconds(3)}};
    const auto bytes = encodeSnapshot(snapshot);
    EXPECT_EQ(decodeSnapshot(bytes), snapshot);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        EXPECT_THROW(static_cast<void>(decodeSnapshot(bytes.substr(0, length))), shunt_error)
            << "expected an error for the first " << length << " of " << bytes.size() << " bytes";
    }
}

} // namespace
} // namespace wisteriashunt

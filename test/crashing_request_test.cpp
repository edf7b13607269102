// Tests entries on real sockets in front of endpoints of a plain service that crash under one request, whichever entry it comes to.
#include "crash_judge.h"
#include "gateway_fixture.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <mutex>

namespace wisteriashunt::testing
{
namespace
{

using std::chrono::milliseconds;

const std::string deadlyBody = "deadly";

/// Several entries in front of endpoints that crash as they run a request with the deadly body, and come back under another ID.
class crashing_request_test : public gateway_test, public ::testing::WithParamInterface<std::string>
{
protected:
    static constexpr std::size_t entryCount = 3;
    static constexpr std::size_t endpointCount = 3;
    static constexpr milliseconds downtime{500};
    static constexpr milliseconds timeToLearn{3000};

    void startEntries()
    {
        for (std::size_t i = 0; i < endpointCount; ++i) {
            m_endpoints.push_back(std::make_unique<loopback_server>([this, i](const received_request &got) { return answer(i, got); }));
            m_log.putEndpoint(endpointId(i), m_endpoints.back()->port());
        }
        for (const auto &ports : m_entries) {
            launch(settingsForTests(ports, m_log.port(), {m_entries.front().control}));
        }
        for (const auto &ports : m_entries) {
            waitUntilReady(ports.readiness);
        }
    }

    /// Calls an entry. Returns the whole answer.
    std::string call(std::size_t entry, const std::string &path, const std::string &body)
    {
        auto bytes = request(path, "", body);
        const std::string standard = "X-Attempt-Id: a1";
        bytes.replace(bytes.find(standard), standard.size(), absl::StrCat("X-Attempt-Id: a", ++m_calls));
        return callOnceAt(m_entries[entry].callers, bytes);
    }

    /// Calls the operators' address of an entry with a method and target.
    std::string callOperator(std::size_t entry, const std::string &call)
    {
        raw_caller caller(m_entries[entry].readiness);
        caller.send(call + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n");
        return caller.readAll();
    }

    /// Calls the entries by turns, with the deadly request and beside it with sound ones on the same path.
    void play(const std::string &path, milliseconds time)
    {
        const auto end = m_clock.now() + time;
        std::thread deadlyCaller([&] {
            constexpr milliseconds pause{70};
            for (std::size_t i = 0; m_clock.now() < end; ++i) {
                m_lastDeadlyAnswer = call(i % entryCount, path, deadlyBody);
                std::this_thread::sleep_for(pause);
            }
        });
        constexpr milliseconds pause{10};
        for (std::size_t i = 0; m_clock.now() < end; ++i) {
            ++m_sound;
            m_soundServed += call(i % entryCount, path, absl::StrCat("sound ", m_sound)).find(" 200 ") != std::string::npos ? 1 : 0;
            std::this_thread::sleep_for(pause);
        }
        deadlyCaller.join();
    }

    int deadlyCrashes(const std::string &path)
    {
        const std::lock_guard lock(m_mutex);
        return m_judge.crashesOf({path, "north", deadlyBody});
    }

    int lateArrivals()
    {
        const std::lock_guard lock(m_mutex);
        return m_judge.mostLateArrivals();
    }

    std::array<entry_ports, entryCount> m_entries;
    boot_clock m_clock;
    std::string m_lastDeadlyAnswer;
    int m_sound = 0;
    int m_soundServed = 0;

private:
    [[nodiscard]] std::string endpointId(std::size_t index) const
    {
        return absl::StrCat("e", index, "-", m_starts[index]);
    }

    scripted_response answer(std::size_t index, const received_request &got)
    {
        constexpr milliseconds work{20};
        {
            const std::lock_guard lock(m_mutex);
            m_judge.arrive(keyOf(got), m_clock.now());
        }
        std::this_thread::sleep_for(work);
        if (got.body != deadlyBody) {
            return {.parts = {okHead(got) + "Content-Length: 2\r\n\r\nok"}};
        }
        const std::lock_guard lock(m_mutex);
        m_judge.crash(keyOf(got), m_clock.now());
        m_log.dropEndpoint(endpointId(index));
        ++m_starts[index];
        m_log.putEndpoint(endpointId(index), m_endpoints[index]->port());
        m_endpoints[index]->crash(downtime);
        return {.closes = true};
    }

    std::mutex m_mutex;
    crash_judge m_judge;
    std::array<int, endpointCount> m_starts{};
    std::atomic<int> m_calls = 0;
};

TEST_P(crashing_request_test, IsKeptFromEndpointsOnceItHasCrashedThree)
{
    startEntries();
    play(GetParam(), timeToLearn + milliseconds(1000));
    const int crashesWhileLearning = deadlyCrashes(GetParam());
    m_sound = 0;
    m_soundServed = 0;
    play(GetParam(), milliseconds(4000));
    RecordProperty("crashes", deadlyCrashes(GetParam()));
    RecordProperty("sound", m_sound);
    RecordProperty("sound_served", m_soundServed);
    EXPECT_LE(lateArrivals(), crash_judge::maxLateArrivals) << deadlyCrashes(GetParam()) << " crashes, " << crashesWhileLearning << " of them early";
    EXPECT_GE(m_soundServed, m_sound * 9 / 10) << "of " << m_sound << " sound requests";
}

TEST_P(crashing_request_test, IsSeenAndFreedByAnOperator)
{
    startEntries();
    for (std::size_t i = 0; i < endpointCount; ++i) {
        static_cast<void>(call(i % entryCount, GetParam(), deadlyBody));
        std::this_thread::sleep_for(downtime + milliseconds(200));
    }
    const auto refused = call(0, GetParam(), deadlyBody);
    EXPECT_NE(refused.find(" 503 "), std::string::npos) << refused;
    EXPECT_NE(refused.find("\"type\":\"request_quarantined\",\"ran\":\"no\""), std::string::npos) << refused;
    EXPECT_NE(refused.find("Retry-After: "), std::string::npos) << refused;

    const std::string listed = callOperator(0, "GET /quarantine");
    const std::string key = "request=";
    const auto begin = listed.find(key);
    ASSERT_NE(begin, std::string::npos) << listed;
    const auto fingerprint = listed.substr(begin + key.size(), listed.find(' ', begin) - begin - key.size());
    EXPECT_NE(callOperator(0, "POST /quarantine/free?request=no-number").find(" 400 "), std::string::npos);
    EXPECT_NE(callOperator(0, "POST /quarantine/free?part=" + fingerprint).find(" 404 "), std::string::npos);
    EXPECT_NE(callOperator(0, "POST /quarantine/free?request=" + fingerprint).find(" 200 "), std::string::npos);
    const auto isHeldAt = [&](std::size_t entry) { return callOperator(entry, "GET /quarantine").find(fingerprint) != std::string::npos; };
    const auto deadline = m_clock.now() + milliseconds(2000);
    while ((isHeldAt(1) || isHeldAt(2)) && m_clock.now() < deadline) {
        std::this_thread::sleep_for(milliseconds(20));
    }
    EXPECT_FALSE(isHeldAt(0) || isHeldAt(1) || isHeldAt(2));
}

INSTANTIATE_TEST_SUITE_P(Routes, crashing_request_test, ::testing::Values("/read/", "/book/"), [](const auto &tested) {
    return std::string(tested.param == "/read/" ? "Idempotent" : "AtMostOnce");
});

} // namespace
} // namespace wisteriashunt::testing

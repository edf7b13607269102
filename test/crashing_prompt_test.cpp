// Tests entries on real sockets in front of endpoints that crash when they begin to answer a prompt with a certain part.
#include "gateway_fixture.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <mutex>

namespace wisteriashunt::testing
{
namespace
{

using std::chrono::milliseconds;

const std::string deadlyPart = "dead";

/// Several entries in front of endpoints that crash on the deadly part and come back under another ID.
class crashing_prompt_test : public gateway_test
{
protected:
    static constexpr std::size_t entryCount = 3;
    static constexpr std::size_t endpointCount = 6;
    static constexpr milliseconds downtime{300};

    void startEntries()
    {
        auto declarations = declarationsForTests();
        for (auto &route : declarations["routes"]) {
            route["sticky"] = route["kind"] == "stream";
        }
        declarations["services"][0]["engine"] = {{"slots", 16}, {"kv_tokens", 300000}};
        declarations["version"] = 2;
        m_log.put("keyed.op", "config", declarations.dump());
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

    /// Calls an entry with a prompt of a common first part, the given part and one of its own. Returns whether the whole answer came.
    bool call(std::size_t entry, const std::string &part)
    {
        const int number = ++m_calls;
        const std::string attempt = absl::StrCat("a", number);
        auto bytes =
            request("/draft/", absl::StrCat("X-Token-Usage: 300,10\r\nX-Prompt-Prefix: c0:100,", part, ":100,", absl::Hex(0x10000 + number), ":100\r\n"));
        const std::string standard = "X-Attempt-Id: a1";
        bytes.replace(bytes.find(standard), standard.size(), "X-Attempt-Id: " + attempt);
        const auto reply = callOnceAt(m_entries[entry].callers, bytes);
        return reply.find(" 200 ") != std::string::npos && reply.ends_with("0\r\n\r\n");
    }

    /// Calls the entries by turns with a sound prompt of a part of few requests, and each fourth time with the deadly part.
    void play(milliseconds time)
    {
        constexpr milliseconds pause{10};
        constexpr int deadlyPeriod = 4;
        constexpr int soundParts = 20;
        const auto end = m_clock.now() + time;
        for (int i = 0; m_clock.now() < end; ++i) {
            const auto entry = static_cast<std::size_t>(i) % entryCount;
            if (i % deadlyPeriod == 0) {
                static_cast<void>(call(entry, deadlyPart));
            } else {
                ++m_sound;
                m_soundServed += call(entry, absl::StrCat("5", i % soundParts)) ? 1 : 0;
            }
            std::this_thread::sleep_for(pause);
        }
    }

    int crashes()
    {
        const std::lock_guard lock(m_mutex);
        return m_crashes;
    }

    std::array<entry_ports, entryCount> m_entries;
    boot_clock m_clock;
    int m_sound = 0;
    int m_soundServed = 0;

private:
    [[nodiscard]] std::string endpointId(std::size_t index) const
    {
        return absl::StrCat("e", index, "-", m_starts[index]);
    }

    scripted_response answer(std::size_t index, const received_request &got)
    {
        const auto prefix = findHeader(got.headers, "x-prompt-prefix");
        if (prefix && prefix->find(deadlyPart) != std::string::npos) {
            const std::lock_guard lock(m_mutex);
            ++m_crashes;
            m_log.dropEndpoint(endpointId(index));
            ++m_starts[index];
            m_log.putEndpoint(endpointId(index), m_endpoints[index]->port());
            m_endpoints[index]->crash(downtime);
            return {.closes = true};
        }
        return {.parts = {okHead(got) + "Transfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: a\n\n") + std::string(lastChunk)}};
    }

    std::mutex m_mutex;
    std::array<int, endpointCount> m_starts{};
    int m_crashes = 0;
    int m_calls = 0;
};

TEST_F(crashing_prompt_test, CrashesNoMoreEndpointsOnceItsPartIsKnown)
{
    startEntries();
    constexpr milliseconds timeToLearn{4000};
    play(timeToLearn);
    const int crashesWhileLearning = crashes();
    m_sound = 0;
    m_soundServed = 0;
    play(milliseconds(4000));
    EXPECT_LE(crashes() - crashesWhileLearning, 3) << "after " << crashesWhileLearning << " crashes in the first " << timeToLearn.count() << " ms";
    EXPECT_GE(m_soundServed, m_sound * 9 / 10) << "of " << m_sound << " sound requests";
}

} // namespace
} // namespace wisteriashunt::testing

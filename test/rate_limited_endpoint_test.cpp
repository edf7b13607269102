// Tests entries on real sockets in front of an endpoint that declares a limit on requests per second.
#include "gateway_fixture.h"
#include "rate_limit_judge.h"

#include <array>
#include <mutex>

namespace wisteriashunt::testing
{
namespace
{

/// Several entries in front of two endpoints, of which the first declares a limit on requests per second.
class rate_limited_endpoint_test : public gateway_test
{
protected:
    static constexpr std::size_t entryCount = 3;
    static constexpr double perSecond = 2;

    void startEntries()
    {
        m_endpoints.push_back(std::make_unique<loopback_server>([this](const received_request &got) {
            const auto now = m_clock.now();
            const std::string entry = *findHeader(got.headers, "x-entry");
            const std::lock_guard lock(m_mutex);
            m_judge.receive(entry, now);
            m_judge.tell(entry, now);
            return scripted_response{.parts = {withLength(okHead(got) + "Server-Limit: " + std::to_string(perSecond) + "\r\n", "limited")}};
        }));
        m_endpoints.push_back(std::make_unique<loopback_server>([](const received_request &got) { return ok(got, "unlimited"); }));
        m_judge.declare(perSecond, m_clock.now());
        m_log.putEndpoint("e0", m_endpoints[0]->port());
        m_log.putEndpoint("e1", m_endpoints[1]->port());
        for (const auto &ports : m_entries) {
            launch(settingsForTests(ports, m_log.port(), {m_entries.front().control}));
        }
        for (const auto &ports : m_entries) {
            waitUntilReady(ports.readiness);
        }
    }

    /// Calls each entry by turns for the time. Returns the number of calls that were not answered by an endpoint.
    int callAll(std::chrono::milliseconds time)
    {
        constexpr std::chrono::milliseconds pause{10};
        int failed = 0;
        const auto end = m_clock.now() + time;
        for (std::size_t i = 0; m_clock.now() < end; ++i) {
            const auto entry = i % entryCount;
            const auto reply = callOnceAt(m_entries[entry].callers, request("/read/1", "X-Entry: " + std::to_string(entry) + "\r\n"));
            failed += reply.find(" 200 ") == std::string::npos ? 1 : 0;
            std::this_thread::sleep_for(pause);
        }
        return failed;
    }

    boot_clock m_clock;
    std::array<entry_ports, entryCount> m_entries;
    std::mutex m_mutex;
    rate_limit_judge m_judge;
};

TEST_F(rate_limited_endpoint_test, GetsNoMoreRequestsFromAllEntriesThanItDeclares)
{
    startEntries();
    EXPECT_EQ(callAll(std::chrono::milliseconds(7500)), 0) << "the other endpoint declares no limit";
    const std::lock_guard lock(m_mutex);
    EXPECT_LE(m_judge.worstExcess(), 0) << m_judge.worst();
}

} // namespace
} // namespace wisteriashunt::testing

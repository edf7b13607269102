// Tests an entry on real sockets in front of endpoints that turn requests away and ask for a pause.
#include "gateway_fixture.h"

#include <absl/strings/str_cat.h>

#include <mutex>

namespace wisteriashunt::testing
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::string refusal(const received_request &got, const std::string &retryAfter)
{
    return withLength("HTTP/1.1 503 Full\r\nX-Attempt-Id: " + attemptIdOf(got) + "\r\nX-Not-Executed: 1\r\nRetry-After: " + retryAfter + "\r\n", "");
}

/// Endpoints that ask for a pause until told otherwise, and when they got requests.
class paused_endpoint_test : public gateway_test
{
protected:
    void addPausing(const std::string &retryAfter)
    {
        add([this, retryAfter](const received_request &got) {
            return m_doPause ? scripted_response{.parts = {refusal(got, retryAfter)}} : ok(got, "resumed");
        });
    }

    void addWilling()
    {
        add([](const received_request &got) { return ok(got, "willing"); });
    }

    void startEntry()
    {
        launch(settingsForTests(m_ports, m_log.port()));
        waitUntilReady(m_ports.readiness);
    }

    std::string call(const std::string &path = "/read/1")
    {
        return callOnce(request(path));
    }

    /// Calls for the time. Returns how many calls got no answer of an endpoint.
    int callFor(milliseconds time, const std::string &path = "/read/1")
    {
        int failed = 0;
        const auto end = steady_clock::now() + time;
        while (steady_clock::now() < end) {
            failed += call(path).find(" 200 ") == std::string::npos ? 1 : 0;
            std::this_thread::sleep_for(milliseconds(20));
        }
        return failed;
    }

    /// Number of requests at an endpoint between its first answer and the end of the pause, with a margin for timers.
    std::size_t arrivalsWithin(std::size_t endpoint, milliseconds pause)
    {
        const std::lock_guard lock(m_mutex);
        const auto &times = m_arrivals[endpoint];
        constexpr milliseconds margin{20};
        return times.empty()
            ? 0
            : static_cast<std::size_t>(std::count_if(times.begin() + 1, times.end(), [&](const auto &time) { return time - times.front() < pause - margin; }));
    }

    std::size_t arrivals(std::size_t endpoint)
    {
        return m_endpoints[endpoint]->requests().size();
    }

    std::atomic<bool> m_doPause{true};

private:
    void add(const loopback_server::handler &handle)
    {
        const auto index = m_endpoints.size();
        m_arrivals.emplace_back();
        m_endpoints.push_back(std::make_unique<loopback_server>([this, index, handle](const received_request &got) {
            {
                const std::lock_guard lock(m_mutex);
                m_arrivals[index].push_back(steady_clock::now());
            }
            return handle(got);
        }));
        m_log.putEndpoint(absl::StrCat("e", index), m_endpoints.back()->port());
    }

    std::mutex m_mutex;
    std::vector<std::vector<steady_clock::time_point>> m_arrivals;
};

TEST_F(paused_endpoint_test, GetsNothingUntilItsPauseEndsAndThenRequestsAgain)
{
    addPausing("1");
    addWilling();
    startEntry();
    EXPECT_EQ(callFor(milliseconds(900)), 0) << "the other endpoint serves";
    m_doPause = false;
    EXPECT_EQ(callFor(milliseconds(800)), 0);
    EXPECT_EQ(arrivalsWithin(0, milliseconds(1000)), 0U);
    EXPECT_GT(arrivals(0), 1U) << "a pause ends at its time";
}

TEST_F(paused_endpoint_test, OperationsAndKeptConnectionsPauseToo)
{
    addPausing("5");
    addWilling();
    startEntry();
    raw_caller kept(m_ports.callers);
    for (int i = 0; i < 40; ++i) {
        kept.send(request(i % 2 == 0 ? "/book/1" : "/read/1"));
        EXPECT_NE(kept.readResponse().find(" 200 "), std::string::npos);
        std::this_thread::sleep_for(milliseconds(10));
    }
    EXPECT_LE(arrivals(0), 1U);
}

TEST_F(paused_endpoint_test, IsNotSuspendedAndDoesNotCountAsFailing)
{
    // Many short pauses: a failure share would rise above its limit and bar the endpoint for longer than it asks for.
    m_retrySlack = 1000;
    addPausing("0.1");
    addWilling();
    startEntry();
    EXPECT_EQ(callFor(milliseconds(2500)), 0);
    const auto asked = arrivals(0);
    EXPECT_GE(asked, 8U) << "about each 120 ms";
}

TEST_F(paused_endpoint_test, CallersLearnWhenTheFirstOfAllPausesEnds)
{
    addPausing("5");
    addPausing("3600");
    startEntry();
    EXPECT_NE(call("/book/1").find("HTTP/1.1 429"), std::string::npos) << "both endpoints were tried";
    for (int i = 0; i < 10; ++i) {
        const auto reply = call("/book/1");
        EXPECT_NE(reply.find("\"ran\":\"no\""), std::string::npos) << reply;
        const std::string field = "Retry-After: ";
        const auto position = reply.find(field);
        ASSERT_NE(position, std::string::npos) << reply;
        const double seconds = std::stod(reply.substr(position + field.size()));
        EXPECT_GE(seconds, 3.5) << "the first pause ends after 5 s";
        EXPECT_LE(seconds, 6.5) << "a quarter of the time to it is the spread";
    }
    EXPECT_EQ(arrivals(0) + arrivals(1), 2U);
}

TEST_F(paused_endpoint_test, ARequestWaitsForAPauseThatEndsWithinItsTime)
{
    addPausing("0.03");
    startEntry();
    EXPECT_NE(call("/book/1").find("HTTP/1.1 503"), std::string::npos) << "the only endpoint was tried";
    m_doPause = false;
    EXPECT_NE(call("/book/1").find(" 200 "), std::string::npos);
}

TEST_F(paused_endpoint_test, UnreadableStatementsAreNoPause)
{
    for (const std::string text : {"-1", "soon", "Fri, 04 Dec 2026 10:00:00 GMT", "", "nan"}) {
        const auto response = platform::makeWireDialect().readResponse(503, {{"Retry-After", text}});
        EXPECT_EQ(response.pause, std::nullopt) << text;
        EXPECT_EQ(response.oddNotices.size(), 1U) << text;
    }
    EXPECT_EQ(platform::makeWireDialect().readResponse(503, {{"Retry-After", "0"}}).pause, std::nullopt);
    EXPECT_EQ(platform::makeWireDialect().readResponse(200, {{"Retry-After", "5"}}).pause, std::nullopt) << "only a 503 turns a request away";
}

TEST_F(paused_endpoint_test, OddStatementsAreUsedAsFarAsTheyAreClear)
{
    const auto dialect = platform::makeWireDialect();
    const auto fraction = dialect.readResponse(503, {{"Retry-After", "1.5"}});
    EXPECT_EQ(fraction.pause, milliseconds(1500));
    EXPECT_EQ(fraction.oddNotices.size(), 1U);
    const auto twice = dialect.readResponse(503, {{"Retry-After", "2"}, {"Retry-After", "7"}});
    EXPECT_EQ(twice.pause, std::chrono::seconds(7));
    EXPECT_EQ(twice.oddNotices.size(), 1U);
    const auto years = dialect.readResponse(503, {{"Retry-After", "999999999"}});
    EXPECT_EQ(years.pause, std::chrono::hours(24));
    EXPECT_EQ(years.oddNotices.size(), 1U);
    EXPECT_TRUE(dialect.readResponse(200, {{"Server-Leaving", "0"}, {"Server-Leaving", "1"}}).isLeaving);
    const auto odd = dialect.readResponse(200, {{"Server-Leaving", "perhaps"}});
    EXPECT_FALSE(odd.isLeaving);
    EXPECT_EQ(odd.oddNotices.size(), 1U);
}

} // namespace
} // namespace wisteriashunt::testing

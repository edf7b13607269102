// Tests entries on real sockets in front of endpoints that say in their answers that they leave.
#include "gateway_fixture.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <atomic>

namespace wisteriashunt::testing
{
namespace
{

using std::chrono::milliseconds;

const std::string leavingField = "Server-Leaving: 1\r\n";
const std::string events = chunk("id: 1\ndata: a\n\n") + std::string(lastChunk);

/// An answer that says that its endpoint leaves.
struct leaving_answer
{
    std::string name;
    std::string path;
    std::function<scripted_response(const received_request &)> make;
};

std::string failureHead(const received_request &got, const std::string &status)
{
    return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + attemptIdOf(got) + "\r\nX-Server-Seal: s\r\n" + leavingField;
}

std::vector<leaving_answer> leavingAnswers()
{
    return {
        {"Success", "/read/1", [](const auto &got) { return scripted_response{.parts = {withLength(okHead(got) + leavingField, "whole")}}; }},
        {"Failure", "/read/1", [](const auto &got) { return scripted_response{.parts = {withLength(failureHead(got, "500 Failed"), "")}}; }},
        {"Refusal",
         "/read/1",
         [](const auto &got) { return scripted_response{.parts = {withLength(failureHead(got, "503 Full") + "X-Not-Executed: 1\r\n", "")}}; }},
        {"BrokenAnswer",
         "/read/1",
         [](const auto &got) { return scripted_response{.parts = {okHead(got) + leavingField + "Content-Length: 9\r\n\r\nhalf"}, .closes = true}; }},
        {"Operation", "/book/1", [](const auto &got) { return scripted_response{.parts = {withLength(okHead(got) + leavingField, "done")}}; }},
        {"HeadOfALongStream",
         "/talk/1",
         [](const auto &got) {
             return scripted_response{.parts = {okHead(got) + leavingField + "Transfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: a\n\n"), events},
                                      .pause = milliseconds(3000)};
         }},
    };
}

/// One or two entries in front of an endpoint that leaves (e0) and, where a test starts it, one that stays (e1).
class leaving_endpoint_test : public gateway_test
{
protected:
    void addEndpoint(const loopback_server::handler &handle)
    {
        m_endpoints.push_back(std::make_unique<loopback_server>(handle));
        m_log.putEndpoint(absl::StrCat("e", m_endpoints.size() - 1), m_endpoints.back()->port());
    }

    void launchEntries(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            launch(settingsForTests(m_entries[i], m_log.port(), {m_entries[0].control}));
        }
        for (std::size_t i = 0; i < count; ++i) {
            waitUntilReady(m_entries[i].readiness);
        }
    }

    /// Writes a record of the first endpoint, whose start is the same in all.
    void putRecord(const std::string &state, int sequence)
    {
        const nlohmann::json record{{"service", "s"},
                                    {"address", absl::StrCat("127.0.0.1:", m_endpoints[0]->port())},
                                    {"zone", "z"},
                                    {"version", "v1"},
                                    {"slots", 4},
                                    {"state", state},
                                    {"born", 1},
                                    {"sequence", sequence}};
        m_log.put("keyed.servers", "e0", record.dump());
    }

    std::string call(std::size_t entry, const std::string &path = "/read/1")
    {
        return callOnceAt(m_entries[entry].callers, request(path));
    }

    /// Calls until the first endpoint has got a request. Endpoints with equal loads are chosen by ID.
    void callUntilFirstIsAsked(std::size_t entry, const std::string &path)
    {
        constexpr int mostCalls = 20;
        for (int i = 0; i < mostCalls && m_endpoints[0]->requests().empty(); ++i) {
            raw_caller caller(m_entries[entry].callers);
            caller.send(request(path));
            std::this_thread::sleep_for(milliseconds(100));
        }
        ASSERT_EQ(m_endpoints[0]->requests().size(), 1U);
    }

    /// Calls the entry for the time, and returns how many calls failed.
    int callFor(std::size_t entry, milliseconds time)
    {
        int failed = 0;
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            failed += call(entry).find(" 200 ") == std::string::npos ? 1 : 0;
            std::this_thread::sleep_for(milliseconds(20));
        }
        return failed;
    }

    std::array<entry_ports, 2> m_entries;
};

class each_leaving_answer_test : public leaving_endpoint_test, public ::testing::WithParamInterface<leaving_answer>
{
};

TEST_P(each_leaving_answer_test, EndsTheRequestsToItsEndpoint)
{
    addEndpoint(GetParam().make);
    addEndpoint([](const received_request &got) { return ok(got, "stays"); });
    launchEntries(1);
    callUntilFirstIsAsked(0, GetParam().path);
    const auto askedBefore = m_endpoints[0]->requests().size();
    EXPECT_EQ(callFor(0, milliseconds(400)), 0);
    EXPECT_EQ(m_endpoints[0]->requests().size(), askedBefore);
}

INSTANTIATE_TEST_SUITE_P(all, each_leaving_answer_test, ::testing::ValuesIn(leavingAnswers()), [](const auto &each) { return each.param.name; });

TEST_F(leaving_endpoint_test, NoRecordOfTheListTakesItBack)
{
    addEndpoint([](const received_request &got) { return scripted_response{.parts = {withLength(okHead(got) + leavingField, "leaves")}}; });
    addEndpoint([](const received_request &got) { return ok(got, "stays"); });
    m_log.takeCopy();
    launchEntries(1);
    callUntilFirstIsAsked(0, "/read/1");
    m_log.putEndpoint("e0", m_endpoints[0]->port(), "ready");
    EXPECT_EQ(callFor(0, milliseconds(900)), 0);
    m_log.dropEndpoint("e0");
    std::this_thread::sleep_for(milliseconds(900));
    m_log.putEndpoint("e0", m_endpoints[0]->port(), "ready");
    EXPECT_EQ(callFor(0, milliseconds(900)), 0);
    m_log.restoreCopy();
    EXPECT_EQ(callFor(0, milliseconds(1500)), 0);
    EXPECT_EQ(m_endpoints[0]->requests().size(), 1U) << "after a newer record, a removal and an older copy of the log";
}

// A heartbeat that the log executed seconds late brought an endpoint that was draining back into use, and what it ran at its end was lost.
TEST_F(leaving_endpoint_test, AHeartbeatThatTheLogExecutesLateDoesNotTakeItBack)
{
    addEndpoint([](const received_request &got) { return ok(got, "drains"); });
    addEndpoint([](const received_request &got) { return ok(got, "stays"); });
    launch(settingsForTests(m_entries[0], m_log.port(), {m_entries[0].control}));
    waitUntilReady(m_entries[0].readiness);
    putRecord("draining", 8);
    std::this_thread::sleep_for(milliseconds(900));
    const auto before = m_endpoints[0]->requests().size();
    putRecord("ready", 5);
    EXPECT_EQ(callFor(0, milliseconds(1200)), 0);
    // An entry that starts now reads the late record only.
    launch(settingsForTests(m_entries[1], m_log.port(), {m_entries[0].control}));
    waitUntilReady(m_entries[1].readiness);
    EXPECT_EQ(callFor(1, milliseconds(1200)), 0);
    m_log.dropEndpoint("e0");
    std::this_thread::sleep_for(milliseconds(900));
    putRecord("ready", 6);
    EXPECT_EQ(callFor(0, milliseconds(1200)), 0);
    EXPECT_EQ(m_endpoints[0]->requests().size(), before);
}

TEST_F(leaving_endpoint_test, AnOldRecordAfterARemovalIsUsedOnceItHasOutlastedTheHeartbeatsToItsExpiry)
{
    addEndpoint([](const received_request &got) { return ok(got, "expired"); });
    addEndpoint([](const received_request &got) { return ok(got, "stays"); });
    putRecord("ready", 8);
    launchEntries(1);
    m_log.dropEndpoint("e0");
    std::this_thread::sleep_for(milliseconds(900));
    const auto before = m_endpoints[0]->requests().size();
    putRecord("ready", 5);
    EXPECT_EQ(callFor(0, milliseconds(3600)), 0);
    EXPECT_EQ(m_endpoints[0]->requests().size(), before);
    EXPECT_EQ(callFor(0, milliseconds(3000)), 0);
    EXPECT_GT(m_endpoints[0]->requests().size(), before);
}

TEST_F(leaving_endpoint_test, APeerLearnsOfItBeforeItsOwnFirstAnswer)
{
    addEndpoint([](const received_request &got) { return scripted_response{.parts = {withLength(okHead(got) + leavingField, "leaves")}}; });
    addEndpoint([](const received_request &got) { return ok(got, "stays"); });
    launchEntries(2);
    // Peers know each other after the first message without load, which is sent each half second.
    std::this_thread::sleep_for(milliseconds(1200));
    callUntilFirstIsAsked(0, "/read/1");
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_EQ(callFor(1, milliseconds(500)), 0);
    EXPECT_EQ(m_endpoints[0]->requests().size(), 1U);
}

TEST_F(leaving_endpoint_test, AnotherEndpointAtItsAddressIsTheOneThatLeaves)
{
    addEndpoint([](const received_request &got) {
        const bool isForOther = *findHeader(got.headers, "x-expect-instance") != "e9";
        return scripted_response{
            .parts = {withLength("HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: " + attemptIdOf(got) + "\r\n" + (isForOther ? leavingField : ""), "")}};
    });
    addEndpoint([](const received_request &got) { return ok(got, "stays"); });
    m_log.putEndpoint("e9", m_endpoints[0]->port());
    launchEntries(1);
    constexpr int calls = 20;
    for (int i = 0; i < calls; ++i) {
        static_cast<void>(call(0));
        std::this_thread::sleep_for(milliseconds(20));
    }
    const auto requests = m_endpoints[0]->requests();
    const auto toTaker = std::count_if(requests.begin(), requests.end(), [](const auto &got) { return *findHeader(got.headers, "x-expect-instance") == "e9"; });
    EXPECT_LE(toTaker, 1) << "e9 answered at the address of e0 that it leaves";
}

TEST_F(leaving_endpoint_test, EndpointsThatAllLeaveGetNoRequestsAfterTheDrainTimeout)
{
    std::atomic<int> late{0};
    std::atomic<std::int64_t> firstAnswer{0};
    const auto leave = [&](const received_request &got) {
        const auto now = std::chrono::steady_clock::now().time_since_epoch().count();
        std::int64_t unset = 0;
        firstAnswer.compare_exchange_strong(unset, now);
        late += now - firstAnswer > std::chrono::nanoseconds(milliseconds(2000)).count() ? 1 : 0;
        return scripted_response{.parts = {withLength(okHead(got) + leavingField, "leaves")}};
    };
    addEndpoint(leave);
    addEndpoint(leave);
    launchEntries(1);
    EXPECT_EQ(callFor(0, milliseconds(1000)), 0) << "requests may still go there";
    static_cast<void>(callFor(0, milliseconds(2500)));
    EXPECT_EQ(late, 0);
    const auto reply = call(0);
    EXPECT_NE(reply.find("HTTP/1.1 503"), std::string::npos) << reply;
    EXPECT_NE(reply.find("\"ran\":\"no\""), std::string::npos) << reply;
}

} // namespace
} // namespace wisteriashunt::testing

// Tests an entry on real sockets, with callers, endpoints and a platform log that the tests script.
#include "gateway_fixture.h"

#include <array>
#include <atomic>
#include <sys/socket.h>
#include <unistd.h>

namespace wisteriashunt::testing
{
namespace
{

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: piece\n\n";
}

TEST_F(gateway_test, ForwardsTheRequestAndItsAnswer)
{
    start([](const received_request &got) { return ok(got, "the body"); });
    const auto reply = callOnce(request("/book/1?q=%20x", "X-Other: kept\r\nX-Tenant: forged\r\n", "payload"));
    EXPECT_NE(reply.find("HTTP/1.1 200 OK\r\n"), std::string::npos) << reply;
    EXPECT_NE(reply.find("X-Server-Seal: seal-1\r\n"), std::string::npos) << reply;
    EXPECT_TRUE(reply.ends_with("the body")) << reply;
    const auto got = m_endpoints[0]->requests().at(0);
    EXPECT_EQ(got.target, "/book/1?q=%20x");
    EXPECT_EQ(got.body, "payload");
    EXPECT_EQ(*findHeader(got.headers, "x-other"), "kept");
    EXPECT_EQ(*findHeader(got.headers, "x-tenant"), "north");
    EXPECT_EQ(*findHeader(got.headers, "x-expect-instance"), "e0");
    EXPECT_EQ(findHeader(got.headers, "authorization"), std::nullopt);
}

TEST_F(gateway_test, RefusesFaultyRequestsWithoutAnEndpoint)
{
    start([](const received_request &got) { return ok(got, ""); });
    EXPECT_NE(callOnce(request("/nowhere/")).find("HTTP/1.1 404"), std::string::npos);
    EXPECT_NE(callOnce(request("/book/", "", "", "wrong")).find("HTTP/1.1 401"), std::string::npos);
    EXPECT_NE(callOnce("POST /book/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n").find("HTTP/1.1 400"),
              std::string::npos);
    EXPECT_NE(callOnce(request("/book/", "", std::string(100001, 'x'))).find("HTTP/1.1 413"), std::string::npos);
    EXPECT_TRUE(m_endpoints[0]->requests().empty());
}

TEST_F(gateway_test, RetriesAFailedSafeRequestAtAnotherEndpoint)
{
    const auto fail = [](const received_request &got) {
        return scripted_response{.parts = {withLength("HTTP/1.1 500 Failed\r\nX-Attempt-Id: " + attemptIdOf(got) + "\r\nX-Server-Seal: bad\r\n", "")}};
    };
    start(fail, [](const received_request &got) { return ok(got, "second"); });
    EXPECT_TRUE(callOnce(request("/read/1")).ends_with("second"));
}

TEST_F(gateway_test, ReportsAnUnknownOutcomeWhenAnOperationsAnswerIsLost)
{
    const auto reset = [](const received_request &) { return scripted_response{.resets = true}; };
    start(reset, reset);
    const auto reply = callOnce(request("/book/1"));
    EXPECT_NE(reply.find("HTTP/1.1 502"), std::string::npos) << reply;
    EXPECT_EQ(m_endpoints[0]->requests().size() + m_endpoints[1]->requests().size(), 1U) << "an operation must be sent only once";
}

TEST_F(gateway_test, RetriesAnOperationThatAnEndpointDidNotRun)
{
    const auto reject = [](const received_request &) { return scripted_response{.parts = {withLength("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n", "")}}; };
    start(reject, [](const received_request &got) { return ok(got, "ran"); });
    EXPECT_TRUE(callOnce(request("/book/1")).ends_with("ran"));
}

TEST_F(gateway_test, Answers429WhenNoEndpointRanTheRequest)
{
    const auto reject = [](const received_request &) { return scripted_response{.parts = {withLength("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n", "")}}; };
    start(reject, reject);
    const auto reply = callOnce(request("/book/1"));
    EXPECT_NE(reply.find("HTTP/1.1 429"), std::string::npos) << reply;
    EXPECT_NE(reply.find("Retry-After: "), std::string::npos) << reply;
}

TEST_F(gateway_test, Replaces503OfAnEndpointThatRanTheRequest)
{
    start([](const received_request &got) {
        return scripted_response{.parts = {withLength("HTTP/1.1 503 Busy\r\nX-Attempt-Id: " + attemptIdOf(got) + "\r\nX-Server-Seal: s\r\n", "")}};
    });
    const auto reply = callOnce(request("/book/1"));
    EXPECT_NE(reply.find("HTTP/1.1 502"), std::string::npos) << reply;
    EXPECT_EQ(reply.find("X-Server-Seal"), std::string::npos) << reply;
}

TEST_F(gateway_test, SkipsALateAnswerToAnotherRequest)
{
    start([](const received_request &got) {
        const std::string late = withLength("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\n", "not yours");
        return scripted_response{.parts = {late + withLength(okHead(got), "yours")}};
    });
    const auto reply = callOnce(request("/book/1"));
    EXPECT_TRUE(reply.ends_with("yours")) << reply;
    EXPECT_EQ(reply.find("not yours"), std::string::npos) << reply;
}

TEST_F(gateway_test, DropsBytesThatFollowAnAnswer)
{
    int answered = 0;
    start([&answered](const received_request &got) {
        return scripted_response{
            .parts = {withLength(okHead(got), "answer " + std::to_string(++answered)) + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"}};
    });
    EXPECT_TRUE(callOnce(request("/book/1")).ends_with("answer 1"));
    EXPECT_TRUE(callOnce(request("/book/1")).ends_with("answer 2"));
}

TEST_F(gateway_test, Answers502WhenTheEndpointsAnswerIsTruncated)
{
    start([](const received_request &got) { return scripted_response{.parts = {okHead(got) + "Content-Length: 10\r\n\r\nhalf"}, .closes = true}; });
    EXPECT_NE(callOnce(request("/book/1")).find("HTTP/1.1 502"), std::string::npos);
}

TEST_F(gateway_test, ForwardsEventsAsTheyArrive)
{
    start([](const received_request &got) {
        return scripted_response{.parts = {okHead(got) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1)), chunk(event(2)) + "0\r\n\r\n"},
                                 .pause = std::chrono::milliseconds(50)};
    });
    const auto reply = callOnce(request("/talk/1"));
    EXPECT_NE(reply.find(chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n"), std::string::npos) << reply;
}

TEST_F(gateway_test, ResumesABrokenStreamAfterItsLastWholeEvent)
{
    const auto serve = [](const received_request &got) {
        const auto after = findHeader(got.headers, "last-event-id");
        const std::string head = okHead(got) + "Transfer-Encoding: chunked\r\n\r\n";
        if (!after) {
            return scripted_response{.parts = {head + chunk(event(1)) + chunk(event(2)) + chunk("id: 3\nda")}, .closes = true};
        }
        return scripted_response{.parts = {head + chunk(event(std::stoi(*after) + 1)) + "0\r\n\r\n"}};
    };
    start(serve, serve);
    const auto reply = callOnce(request("/draft/1"));
    for (int number = 1; number <= 3; ++number) {
        EXPECT_NE(reply.find(event(number)), std::string::npos) << "expected event " << number << " in: " << reply;
    }
    EXPECT_EQ(reply.find("id: 3"), reply.rfind("id: 3")) << "expected the third event once in: " << reply;
    EXPECT_TRUE(reply.ends_with("0\r\n\r\n")) << reply;
}

TEST_F(gateway_test, CutsAStreamThatAnEndpointRestartsInsteadOfResuming)
{
    const auto serve = [](const received_request &got) {
        const std::string head = okHead(got) + "Transfer-Encoding: chunked\r\n\r\n";
        if (!findHeader(got.headers, "last-event-id")) {
            return scripted_response{.parts = {head + chunk(event(1)) + chunk(event(2))}, .closes = true};
        }
        return scripted_response{.parts = {head + chunk(event(1)) + chunk(event(2)) + chunk(event(3)) + "0\r\n\r\n"}};
    };
    start(serve, serve);
    const auto reply = callOnce(request("/draft/1"));
    EXPECT_EQ(reply.find("id: 1"), reply.rfind("id: 1")) << "expected the first event once in: " << reply;
    EXPECT_FALSE(reply.ends_with("0\r\n\r\n")) << reply;
}

TEST_F(gateway_test, CutsAStreamThatMayNotBeResumed)
{
    start([](const received_request &got) {
        return scripted_response{.parts = {okHead(got) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1))}, .closes = true};
    });
    const auto reply = callOnce(request("/talk/1"));
    EXPECT_NE(reply.find(event(1)), std::string::npos) << reply;
    EXPECT_FALSE(reply.ends_with("0\r\n\r\n")) << reply;
    EXPECT_EQ(m_endpoints[0]->requests().size(), 1U);
}

TEST_F(gateway_test, ClosesTheEndpointConnectionWhenTheCallerDisconnects)
{
    start([](const received_request &) { return scripted_response{.isSilent = true}; });
    raw_caller caller(m_ports.callers);
    caller.send(request("/talk/1"));
    while (m_endpoints[0]->requests().empty()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    caller.close();
    while (m_endpoints[0]->abandonedConnections() == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    EXPECT_EQ(m_endpoints[0]->abandonedConnections(), 1);
}

TEST_F(gateway_test, Answers504AtTheRoutesTimeout)
{
    start([](const received_request &) { return scripted_response{.isSilent = true}; });
    EXPECT_NE(callOnce(request("/short/1")).find("HTTP/1.1 504"), std::string::npos);
}

TEST_F(gateway_test, ServesMetricsAtTheReadinessAddress)
{
    start([](const received_request &got) { return ok(got, "body"); });
    callOnce(request("/book/1"));
    raw_caller collector(m_ports.readiness);
    collector.send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const auto page = collector.readAll();
    EXPECT_NE(page.find("wisteriashunt_events_total{event=\"request_answered\",class=\"unsafe\"} 1"), std::string::npos) << page;
    EXPECT_NE(page.find("wisteriashunt_first_byte_seconds_count{class=\"unsafe\"} 1"), std::string::npos) << page;
    EXPECT_NE(page.find("wisteriashunt_endpoints_listed 1"), std::string::npos) << page;
    EXPECT_NE(page.find("wisteriashunt_requests_total{class=\"unsafe\",outcome=\"200\"} 1"), std::string::npos) << page;
    EXPECT_NE(page.find("wisteriashunt_attempts_total{endpoint=\"e0\",outcome=\"answered\"} 1"), std::string::npos) << page;
}

TEST_F(gateway_test, LearnsRecordsFromAnotherEntryWhenTheLogIsUnreachable)
{
    start([](const received_request &got) { return ok(got, "served"); });
    const entry_ports ports;
    const auto closedLog = freePort();
    launch(settingsForTests(ports, closedLog, {m_ports.control}));
    waitUntilReady(ports.readiness);
    EXPECT_TRUE(callOnceAt(ports.callers, request("/book/1")).ends_with("served"));
}

TEST_F(gateway_test, AStartingEntryTakesDeclarationsThatTheLogHasLostFromAPeer)
{
    start([](const received_request &got) { return ok(got, "served"); });
    auto declared = declarationsForTests();
    declared["version"] = 2;
    declared["routes"][0]["path_prefix"] = "/added/";
    m_log.put("keyed.op", "config", declared.dump());
    while (!callOnce(request("/added/1")).ends_with("served")) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    m_log.restore(std::chrono::hours(1));
    m_log.put("keyed.op", "config", declarationsForTests().dump());
    m_log.putEndpoint("e0", m_endpoints[0]->port());
    const entry_ports ports;
    launch(settingsForTests(ports, m_log.port(), {m_ports.control}));
    waitUntilReady(ports.readiness);
    EXPECT_TRUE(callOnceAt(ports.callers, request("/added/1")).ends_with("served")) << "the log holds version 1 only";
    EXPECT_TRUE(callOnce(request("/added/1")).ends_with("served")) << "an entry went back to version 1";
}

TEST_F(gateway_test, AnEntryThatTheLogRefusesFollowsItThroughAReturnFromACopy)
{
    start([](const received_request &got) { return ok(got, "first"); }, [](const received_request &got) { return ok(got, "second"); });
    const entry_ports ports;
    const auto closedLog = freePort();
    launch(settingsForTests(ports, closedLog, {m_ports.control}));
    waitUntilReady(ports.readiness);
    m_log.restore(std::chrono::hours(1));
    m_log.put("keyed.op", "config", declarationsForTests().dump());
    m_log.putEndpoint("e1", m_endpoints[1]->port());
    // The log lacks e0, which is kept for a while, as after an outage, and then taken as gone.
    int answersInARow = 0;
    constexpr int wanted = 10;
    while (answersInARow < wanted) {
        answersInARow = callOnceAt(ports.callers, request("/book/1")).ends_with("second") ? answersInARow + 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        m_log.putEndpoint("e1", m_endpoints[1]->port());
    }
    EXPECT_TRUE(callOnceAt(ports.callers, request("/book/1")).ends_with("second")) << "the refused entry sends to an endpoint that is gone";
}

TEST_F(gateway_test, RefusesRequestsBeyondTheBodyMemoryLimit)
{
    m_memoryBytes = 200'000;
    start([](const received_request &got) { return ok(got, "served"); });
    const auto refused = callOnce(request("/book/1", "", std::string(90'000, 'x')));
    EXPECT_NE(refused.find("HTTP/1.1 429"), std::string::npos) << refused;
    EXPECT_TRUE(callOnce(request("/book/1", "", std::string(40'000, 'x'))).ends_with("served"));
}

TEST_F(gateway_test, LimitsTheWaitOfDeclarationReadsByTheConvergenceTime)
{
    start([](const received_request &got) { return ok(got, "served"); });
    std::string readTarget;
    while (readTarget.empty()) {
        for (const auto &got : m_log.requests()) {
            if (got.target.find("log-read") != std::string::npos && got.target.find("keyed.op") != std::string::npos) {
                readTarget = got.target;
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    constexpr const char *field = "wait_ms=";
    const auto wait = std::stoi(readTarget.substr(readTarget.find(field) + std::string(field).size()));
    // The settings of these tests require new declarations to be in force within 2,000 ms. A log that has deleted its history does not
    // answer held calls, so the wait must leave time for the next call.
    EXPECT_LE(wait, 2000 - 500) << readTarget;
}

TEST_F(gateway_test, AnswersPipelinedRequestsInOrder)
{
    start([](const received_request &got) { return ok(got, got.target); });
    raw_caller caller(m_ports.callers);
    caller.send(request("/book/1") + request("/book/2"));
    const auto replies = caller.readUntil("/book/2");
    EXPECT_LT(replies.find("/book/1"), replies.find("/book/2")) << replies;
}

// A caller that sends a byte now and then must not keep a connection for ever.
TEST_F(gateway_test, AHeadThatTricklesIsRefusedAfterItsTime)
{
    start([](const received_request &got) { return ok(got, "whole"); });
    raw_caller caller(m_ports.callers);
    caller.send("POST /book/1 HTTP/1.1\r\nX-Slow: ");
    constexpr int bytes = 24;
    for (int i = 0; i < bytes && !caller.hasAnswer(); ++i) {
        caller.send("x");
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
    }
    ASSERT_TRUE(caller.hasAnswer());
    EXPECT_TRUE(caller.readAll().starts_with("HTTP/1.1 408 ")) << "not run, and never will be";
    EXPECT_TRUE(m_endpoints.front()->requests().empty());
}

// The time for a head was also the longest pause in a body, after which the connection was closed without an answer.
TEST_F(gateway_test, ABodyMayPauseForLongerThanAHeadMayTake)
{
    start([](const received_request &got) { return ok(got, got.body); });
    raw_caller caller(m_ports.callers);
    const auto sent = request("/book/1", "Connection: close\r\n", "first and second");
    caller.send(sent.substr(0, sent.size() - 6));
    std::this_thread::sleep_for(std::chrono::milliseconds(4000));
    caller.send(sent.substr(sent.size() - 6));
    EXPECT_TRUE(caller.readAll().ends_with("first and second"));
}

TEST_F(gateway_test, ARequestWhoseCallerHasLeftDoesNotReachAnEndpointThatReadsLater)
{
    // The endpoint reads nothing for now, and takes so little that most of the request stays at the entry.
    constexpr int receiveBytes = 4096;
    const int listener = listenOnLoopback();
    setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    m_log.putEndpoint("e0", portOf(listener));
    launch(settingsForTests(m_ports, m_log.port()));
    waitUntilReady(m_ports.readiness);
    const std::string body(90000, 'x');
    {
        raw_caller caller(m_ports.callers);
        caller.send(request("/read/1", "", body));
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const int connection = accept(listener, nullptr, nullptr);
    ASSERT_GE(connection, 0);
    std::size_t received = 0;
    std::array<char, 65536> buffer{};
    ssize_t count = 0;
    while ((count = recv(connection, buffer.data(), buffer.size(), 0)) > 0) {
        received += static_cast<std::size_t>(count);
    }
    EXPECT_LT(received, body.size()) << "the rest was delivered after the caller had left";
    close(connection);
    close(listener);
}

// Operations that came late in the grace period were passed on, and cut off without an answer at its end.
TEST_F(gateway_test, AnEntryThatLeavesRefusesOperationsThatMayOutlastItsGracePeriod)
{
    m_acceptWhileLeaving = std::chrono::milliseconds(2400);
    m_gracePeriod = std::chrono::milliseconds(4000);
    const std::chrono::milliseconds work(2900);
    start([work](const received_request &got) { return scripted_response{.parts = {okHead(got), "Content-Length: 4\r\n\r\ndone"}, .pause = work}; });
    requestStop();
    raw_caller early(m_ports.callers);
    early.send(request("/book/"));
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    const auto late = callOnce(request("/book/"));
    EXPECT_NE(late.find("HTTP/1.1 503"), std::string::npos) << "its route allows 3 s, of which 2.6 s are left: " << late;
    EXPECT_NE(late.find("Retry-After"), std::string::npos) << late;
    EXPECT_NE(callOnce(request("/short/")).find(" 504 "), std::string::npos) << "an operation that ends before is taken";
    EXPECT_NE(early.readResponse().find("done"), std::string::npos);
    EXPECT_EQ(m_endpoints[0]->requests().size(), 2U);
}

TEST_F(gateway_test, ALateRefusalWithoutAnIdIsNotTakenForThatOfTheNextRequest)
{
    std::atomic<int> ran{0};
    const auto serve = [&ran](const received_request &got) {
        const std::string stray = withLength("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n", "");
        return scripted_response{.parts = {++ran == 1 ? withLength(okHead(got), "first") : stray + withLength(okHead(got), "second")}};
    };
    start(serve);
    EXPECT_TRUE(callOnce(request("/book/1")).ends_with("first"));
    const auto reply = callOnce(request("/book/1"));
    // The endpoint ran it, so no status may say otherwise, and it may not be sent again.
    EXPECT_EQ(reply.find("HTTP/1.1 429"), std::string::npos) << reply;
    EXPECT_EQ(reply.find("HTTP/1.1 503"), std::string::npos) << reply;
    EXPECT_EQ(ran, 2);
}

} // namespace
} // namespace wisteriashunt::testing

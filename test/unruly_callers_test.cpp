// Crowds of callers that misbehave at an entry that runs as a process of its own. Checks what does not depend on the speed of the machine: the process lives,
// stays within its memory and descriptors, and answers an ordinary request.
#include "unruly_callers.h"

#include <map>

namespace wisteriashunt::testing
{
namespace
{

TEST_F(unruly_callers_test, BodiesThatLackTheirLastByte)
{
    startProcesses();
    withstand({longBody(60, 1)});
}

TEST_F(unruly_callers_test, ChunkedBodiesThatLackTheirEnd)
{
    startProcesses();
    withstand({chunkedBody(60)});
}

TEST_F(unruly_callers_test, WholeBodiesAtOnce)
{
    startProcesses();
    withstand({longBody(60, 0)});
}

TEST_F(unruly_callers_test, BodiesWhoseEndTrickles)
{
    startProcesses();
    withstand({trickledEnd(40)});
}

TEST_F(unruly_callers_test, BodiesOnALargerMachine)
{
    startProcesses({.memoryMegabytes = 260, .maxDescriptors = 4200});
    withstand({longBody(200, 1)});
}

TEST_F(unruly_callers_test, HeadsOfManyShortLines)
{
    startProcesses();
    withstand({manyLines(900, "a:\r\n", 3500)});
}

TEST_F(unruly_callers_test, HeadsOfManyShortLinesOnALargerMachine)
{
    startProcesses({.memoryMegabytes = 260, .maxDescriptors = 4200});
    withstand({manyLines(3000, "a:\r\n", 3500)});
}

TEST_F(unruly_callers_test, HeadsOfManyOddLines)
{
    startProcesses();
    withstand({manyLines(2500, "!:\t \t \t\r\n", 1700)});
}

TEST_F(unruly_callers_test, TrailersOfManyShortLines)
{
    startProcesses();
    withstand({manyTrailers(900)});
}

TEST_F(unruly_callers_test, HeadsThatLackTheirEnd)
{
    startProcesses();
    withstand({halfHeads(3500)});
}

TEST_F(unruly_callers_test, RequestsOfManyLinesSentAhead)
{
    startProcesses();
    withstand({sentAhead(400, emptyRequest("/read/1", repeated("a:\r\n", 3500)), 100)});
}

TEST_F(unruly_callers_test, RequestsForNoRouteSentAhead)
{
    startProcesses();
    constexpr std::size_t requestsInABlock = 400;
    withstand({sentAhead(500, repeated(emptyRequest("/none/"), requestsInABlock), 500)});
}

TEST_F(unruly_callers_test, RequestsForLongAnswersSentAhead)
{
    startProcesses();
    constexpr std::size_t requestsInABlock = 100;
    withstand({sentAhead(20, repeated(emptyRequest("/read/long"), requestsInABlock), 100)});
}

TEST_F(unruly_callers_test, MoreConnectionsThanDescriptors)
{
    startProcesses({.memoryMegabytes = 260, .maxDescriptors = 700});
    withstand({longBody(1500, maxBodyBytes - 1)});
}

TEST_F(unruly_callers_test, ConnectionsWithHalfHeadsThatReturn)
{
    startProcesses({.memoryMegabytes = 260, .maxDescriptors = 700});
    withstand({{.connections = 1500, .begin = head(), .reads = true, .returns = true}});
}

TEST_F(unruly_callers_test, ManyConnectionsToTheReadinessPort)
{
    startProcesses({.memoryMegabytes = 260, .maxDescriptors = 700});
    withstand({{.port = m_ports.readiness, .connections = 1500, .begin = "GET /wisteriashunt/readiness HTTP/1.1\r\n"}});
}

TEST_F(unruly_callers_test, LongBodiesAtTheReadinessPort)
{
    startProcesses();
    auto bodies = longBody(60, 1);
    bodies.port = m_ports.readiness;
    withstand({bodies});
}

// Guards against giving up the answers of requests that run because they take all memory for messages.
TEST_F(unruly_callers_test, RequestsThatRunForLongKeepTheirAnswers)
{
    startProcesses();
    std::atomic<bool> isHeld{true};
    m_held = &isHeld;
    constexpr std::size_t callers = 900;
    constexpr std::size_t bodyBytes = 60'000;
    std::vector<std::unique_ptr<raw_caller>> all;
    for (std::size_t i = 0; i < callers; ++i) {
        all.push_back(std::make_unique<raw_caller>(m_ports.callers));
        all.back()->send(head("/read/held") + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x'));
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    isHeld = false;
    std::map<std::string, int> statuses;
    for (const auto &caller : all) {
        ++statuses[caller->readResponse().substr(0, 12)];
    }
    for (const auto &[status, count] : statuses) {
        std::cout << status << ": " << count << '\n';
    }
    EXPECT_GT(statuses["HTTP/1.1 200"], 0);
    EXPECT_EQ(statuses["HTTP/1.1 502"] + statuses[""], 0) << "requests that ran";
    EXPECT_TRUE(isOrdinaryRequestServed()) << "after the crowd";
    expectWithinLimits();
}

// The kernel goes on to receive while a process is suspended.
TEST_F(unruly_callers_test, ASuspendedEntryStaysWithinItsMemory)
{
    startProcesses();
    std::vector<std::unique_ptr<crowd>> crowds;
    const auto add = [&](crowd_options options) {
        options.port = m_ports.callers;
        crowds.push_back(std::make_unique<crowd>(std::move(options)));
    };
    const std::string block(64 * 1024, 'x');
    add(longBody(11, 1));
    add({.connections = 2850, .begin = head() + "X-Long: ", .pauseAfterBegin = std::chrono::milliseconds(2500), .repeated = block, .repeats = 1});
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    kill(m_entry, SIGSTOP);
    add({.connections = 1000, .begin = head() + "X-Long: ", .repeated = block, .repeats = 1});
    std::this_thread::sleep_for(std::chrono::seconds(4));
    kill(m_entry, SIGCONT);
    EXPECT_TRUE(isOrdinaryRequestServed()) << "beside the crowds";
    crowds.clear();
    EXPECT_TRUE(isOrdinaryRequestServed()) << "after the crowds";
    expectWithinLimits();
}

TEST_F(unruly_callers_test, SeveralCrowdsTwice)
{
    startProcesses();
    const auto all = [] {
        return std::vector{longBody(30, 1),
                           chunkedBody(30),
                           manyLines(900, "a:\r\n", 3500),
                           halfHeads(900),
                           sentAhead(100, emptyRequest("/read/1", repeated("a:\r\n", 3500)), 100)};
    };
    withstand(all());
    withstand(all());
}

/// One request of each kind, the largest included, is served as it was sent while nothing else goes on.
class largest_request_test : public unruly_callers_test
{
protected:
    [[nodiscard]] static std::string bodyOf(const std::string &answer)
    {
        const auto end = answer.find("\r\n\r\n");
        return answer.starts_with("HTTP/1.1 200") && end != std::string::npos ? answer.substr(end + 4) : std::string{};
    }

    static std::string patternedBody(std::size_t size)
    {
        std::string body(size, ' ');
        for (std::size_t i = 0; i < size; ++i) {
            body[i] = static_cast<char>('a' + (i * i + i / 7) % 26);
        }
        return body;
    }
};

TEST_F(largest_request_test, WithALengthIsServed)
{
    startProcesses();
    const auto body = patternedBody(maxBodyBytes);
    EXPECT_TRUE(bodyOf(callOnce(request("/read/1", "", body))) == body);
    expectWithinLimits();
}

TEST_F(largest_request_test, InSmallChunksIsServed)
{
    startProcesses();
    const auto body = patternedBody(maxBodyBytes);
    constexpr std::size_t chunkBytes = 1000;
    std::string framed;
    for (std::size_t i = 0; i < body.size(); i += chunkBytes) {
        framed += chunk(body.substr(i, chunkBytes));
    }
    EXPECT_TRUE(bodyOf(callOnce(head() + "Transfer-Encoding: chunked\r\n\r\n" + framed + "0\r\n\r\n")) == body);
    expectWithinLimits();
}

TEST_F(largest_request_test, WithManyLinesReachesTheEndpointWhole)
{
    startProcesses();
    constexpr int lines = 3500;
    EXPECT_EQ(bodyOf(callOnce(request("/read/1", repeated("a:\r\n", lines), "whole"))), "whole");
    const auto got = m_endpoints.front()->requests().back();
    EXPECT_EQ(std::count_if(got.headers.begin(), got.headers.end(), [](const auto &field) { return field.name == "a" && field.value.empty(); }), lines);
}

TEST_F(largest_request_test, WithALongHeaderReachesTheEndpointWhole)
{
    startProcesses();
    const std::string value(maxHeadBytes - 300, 'v');
    EXPECT_EQ(bodyOf(callOnce(request("/read/1", "X-Long: " + value + "\r\n", "whole"))), "whole");
    const auto got = m_endpoints.front()->requests().back();
    EXPECT_EQ(std::count_if(got.headers.begin(), got.headers.end(), [&](const auto &field) { return field.name == "X-Long" && field.value == value; }), 1);
}

} // namespace
} // namespace wisteriashunt::testing

// Tests an entry whose endpoints, callers, log and peers send bytes without end that are no message.
#include "gateway_fixture.h"

#include <chrono>

namespace wisteriashunt::testing
{
namespace
{

using std::chrono::milliseconds;

/// How an endpoint's answer goes on without end.
struct endless_answer
{
    const char *name;
    const char *path;
    /// What follows the status line and the fields of a signed answer; the second part is repeated.
    std::string begin;
    std::string repeated;
};

std::string kilobytes(std::size_t count, char byte = 'x')
{
    constexpr std::size_t kilobyte = 1024;
    return std::string(count * kilobyte, byte);
}

class endless_answer_test : public gateway_test, public ::testing::WithParamInterface<endless_answer>
{
protected:
    /// Starts an endpoint that answers /book/ and sends endless bytes otherwise.
    void startEndpoint()
    {
        start([](const received_request &got) {
            if (got.target.starts_with("/book/")) {
                return ok(got, "whole");
            }
            const auto &[name, path, begin, repeated] = GetParam();
            const bool isHead = begin.empty() || begin.front() != '\r';
            return scripted_response{.parts = {(isHead && begin.empty() ? "" : okHead(got)) + begin, repeated}, .pause = milliseconds(1), .isEndless = true};
        });
    }
};

TEST_P(endless_answer_test, IsGivenUpBeforeItsDeadline)
{
    startEndpoint();
    const auto begin = std::chrono::steady_clock::now();
    const auto reply = callOnce(request(GetParam().path));
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    EXPECT_FALSE(reply.find(" 200 ") != std::string::npos && reply.ends_with("0\r\n\r\n")) << reply.substr(0, 200);
    EXPECT_LT(elapsed, std::chrono::seconds(3)) << "the deadline is 5 s, the route's timeout 3 s for /read/";
    constexpr std::size_t maxBytes = 64'000'000;
    EXPECT_LT(m_endpoints.front()->sentBytes(), maxBytes);
    EXPECT_TRUE(callOnce(request("/book/1")).ends_with("whole")) << "other requests are answered";
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         endless_answer_test,
                         ::testing::Values(endless_answer{"StatusLine", "/talk/", "HTTP/1.1 200 ", kilobytes(16)},
                                           endless_answer{"HeaderLine", "/talk/", "X-Long: ", kilobytes(16)},
                                           endless_answer{"Headers", "/talk/", "X-One: 1\r\n", "X-More: 1\r\n" + std::string(1000, 'y') + ": 1\r\n"},
                                           endless_answer{"InterimAnswers", "/talk/", "", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"},
                                           endless_answer{"BlankLines", "/talk/", "", kilobytes(1, '\n')},
                                           endless_answer{"ChunkExtension", "/talk/", "Transfer-Encoding: chunked\r\n\r\n5;", kilobytes(16)},
                                           endless_answer{"Trailers", "/talk/", "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", kilobytes(16)},
                                           endless_answer{"Event", "/talk/", "\r\ndata: ", kilobytes(64)},
                                           endless_answer{"EventOfAResumableStream", "/draft/", "\r\ndata: ", kilobytes(64)},
                                           endless_answer{"PlainBody", "/read/", "\r\n", kilobytes(64)},
                                           endless_answer{
                                               "AnswerToAnotherRequest", "/talk/", "", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n"}),
                         [](const auto &tested) { return std::string(tested.param.name); });

using endless_log_test = gateway_test;

TEST_F(endless_log_test, IsReadUpToABound)
{
    loopback_server log([](const received_request &) {
        return scripted_response{.parts = {"HTTP/1.1 200 OK\r\n\r\n", kilobytes(512)}, .pause = milliseconds(1), .isEndless = true};
    });
    launch(settingsForTests(m_ports, log.port()));
    std::this_thread::sleep_for(std::chrono::seconds(2));
    constexpr std::size_t maxBytesPerRead = 32'000'000;
    const auto reads = log.requests().size();
    ASSERT_GT(reads, 0U);
    EXPECT_LT(log.sentBytes() / reads, maxBytesPerRead) << reads << " reads";
}

/// Bytes that a caller sends without end.
struct endless_request
{
    const char *name;
    std::string begin;
    std::string repeated;
};

class endless_request_test : public gateway_test, public ::testing::WithParamInterface<endless_request>
{
};

TEST_P(endless_request_test, IsRefused)
{
    start([](const received_request &got) { return ok(got, "whole"); });
    raw_caller caller(m_ports.callers);
    caller.send(GetParam().begin);
    constexpr int repetitions = 2000;
    for (int i = 0; i < repetitions && !caller.hasAnswer(); ++i) {
        caller.send(GetParam().repeated);
    }
    EXPECT_TRUE(caller.hasAnswer()) << "after " << repetitions * GetParam().repeated.size() << " bytes";
    EXPECT_TRUE(m_endpoints.front()->requests().empty());
}

INSTANTIATE_TEST_SUITE_P(
    Requests,
    endless_request_test,
    ::testing::Values(endless_request{"BlankLines", "", kilobytes(1, '\n')},
                      endless_request{"HeaderLine", "GET / HTTP/1.1\r\nX: ", kilobytes(1)},
                      endless_request{"ChunkExtension", "POST /book/ HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n5;", kilobytes(1)}),
    [](const auto &tested) { return std::string(tested.param.name); });

} // namespace
} // namespace wisteriashunt::testing

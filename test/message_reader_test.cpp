// Tests of the HTTP message readers and helpers.
#include "http/message_reader.h"

#include <gtest/gtest.h>

#include <optional>

namespace wisteriashunt
{
namespace
{

std::string withHead(const std::string &fields, const std::string &body = "")
{
    return "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n" + body;
}

read_fault faultOf(const std::string &bytes, const request_bounds &bounds = {})
{
    request_reader reader(bounds);
    reader.feed(bytes);
    return reader.fault();
}

TEST(request_reader_test, PreservesTargetFieldsAndBody)
{
    request_reader reader({});
    reader.feed(withHead("X-One:  two \r\nContent-Length: 3\r\n", "abc"));
    ASSERT_TRUE(reader.isComplete());
    const auto request = reader.next();
    EXPECT_EQ(request.method, "POST");
    EXPECT_EQ(request.target, "/a/b?c=d");
    EXPECT_EQ(request.body, "abc");
    ASSERT_NE(findHeader(request.headers, "x-one"), std::nullopt);
    EXPECT_EQ(trim(*findHeader(request.headers, "x-one")), "two");
}

TEST(request_reader_test, AcceptsRequestByteByByte)
{
    request_reader reader({});
    for (const char c : withHead("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")) {
        ASSERT_EQ(reader.feed(std::string_view(&c, 1)), 1U);
    }
    ASSERT_TRUE(reader.isComplete());
    EXPECT_EQ(reader.next().body, "abcde");
}

TEST(request_reader_test, DoesNotConsumePipelinedRequest)
{
    request_reader reader({});
    const std::string first = withHead("Content-Length: 3\r\n", "abc");
    const std::string second = "GET /second HTTP/1.1\r\nHost: x\r\n\r\n";
    EXPECT_EQ(reader.feed(first + second), first.size());
    EXPECT_EQ(reader.next().target, "/a/b?c=d");
    EXPECT_EQ(reader.feed(second), second.size());
    EXPECT_EQ(reader.next().target, "/second");
}

TEST(request_reader_test, RejectsMalformedAndAmbiguousRequests)
{
    EXPECT_EQ(faultOf(withHead("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n")), read_fault::malformed);
    EXPECT_EQ(faultOf(withHead("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd")), read_fault::malformed);
    EXPECT_EQ(faultOf(withHead("Content-Length: 3\r\nContent-Length: 3\r\n", "abc")), read_fault::malformed);
    EXPECT_EQ(faultOf(withHead("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n")), read_fault::malformed);
    EXPECT_EQ(faultOf(withHead("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n")), read_fault::malformed);
    EXPECT_EQ(faultOf(withHead("Transfer-Encoding : chunked\r\n", "0\r\n\r\n")), read_fault::malformed);
    EXPECT_EQ(faultOf(withHead("Content-Length: +3\r\n", "abc")), read_fault::malformed);
    EXPECT_EQ(faultOf(withHead("X: a\r\n Content-Length: 3\r\n", "")), read_fault::none) << "a folded line belongs to the preceding field value";
    EXPECT_EQ(faultOf("GET /a b HTTP/1.1\r\nHost: x\r\n\r\n"), read_fault::malformed);
    EXPECT_EQ(faultOf(withHead("Host: y\r\n")), read_fault::malformed);
}

TEST(request_reader_test, LimitsHeadAndBodySize)
{
    const request_bounds bounds{.headBytes = 64, .bodyBytes = 4};
    EXPECT_EQ(faultOf(withHead("X-Long: " + std::string(100, 'a') + "\r\n"), bounds), read_fault::head_too_large);
    EXPECT_EQ(faultOf(withHead("Content-Length: 5\r\n"), bounds), read_fault::body_too_large);
    EXPECT_EQ(faultOf(withHead("Transfer-Encoding: chunked\r\n", "5\r\nabcde\r\n"), bounds), read_fault::body_too_large);
}

TEST(request_reader_test, TrailersAreNotTakenForFieldsOfTheHead)
{
    request_reader reader({});
    reader.feed(withHead("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\nAuthorization: Bearer other\r\nHost: y\r\n\r\n"));
    ASSERT_TRUE(reader.isComplete());
    const auto request = reader.next();
    EXPECT_EQ(request.body, "abc");
    EXPECT_EQ(std::distance(request.headers.begin(), request.headers.end()), 2) << "Host and Transfer-Encoding";
}

TEST(request_reader_test, WantsContinueUntilItIsSent)
{
    request_reader reader({});
    reader.feed(withHead("Expect: 100-continue\r\nContent-Length: 2\r\n"));
    EXPECT_TRUE(reader.wantsContinue());
    reader.setContinueSent();
    EXPECT_FALSE(reader.wantsContinue());
    reader.feed("ab");
    EXPECT_EQ(reader.next().body, "ab");
}

/// Records the callbacks of a response reader as one line of text.
class response_reader_test : public ::testing::Test
{
protected:
    std::string m_reported;
    response_reader m_reader{{.onHead = [this](http_response_head &head) { m_reported += "head " + std::to_string(head.status) + ";"; },
                              .onBody = [this](std::string_view bytes) { m_reported += "body " + std::string(bytes) + ";"; },
                              .onComplete = [this] { m_reported += "complete;"; }}};
};

TEST_F(response_reader_test, SkipsInterimResponses)
{
    m_reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    EXPECT_EQ(m_reported, "head 200;body hi;complete;");
}

TEST_F(response_reader_test, StopsAtEndOfResponse)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    EXPECT_EQ(m_reader.feed(whole + "HTTP/1.1 200 OK\r\n"), whole.size());
    EXPECT_EQ(m_reported, "head 200;body hi;complete;");
}

TEST_F(response_reader_test, EndOfConnectionCompletesOnlyResponsesOfUnknownLength)
{
    m_reader.feed("HTTP/1.1 200 OK\r\n\r\nab");
    m_reader.feedEnd();
    EXPECT_EQ(m_reported, "head 200;body ab;complete;");
    m_reported.clear();
    m_reader.reset();
    m_reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab");
    m_reader.feedEnd();
    EXPECT_EQ(m_reported, "head 200;body ab;");
    m_reported.clear();
    m_reader.reset();
    m_reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
    m_reader.feedEnd();
    EXPECT_EQ(m_reported, "head 200;body ab;");
}

/// Fields of a response and what they say about its end.
struct framing_case
{
    const char *name;
    const char *head;
    body_framing framing;
};

class body_framing_test : public ::testing::TestWithParam<framing_case>
{
};

TEST_P(body_framing_test, NamesWhatMarksTheEndOfTheBody)
{
    std::optional<body_framing> framing;
    response_reader reader{{.onHead = [&](http_response_head &head) { framing = head.framing; }, .onBody = [](std::string_view) {}, .onComplete = [] {}}};
    static_cast<void>(reader.feed(std::string(GetParam().head) + "\r\n"));
    ASSERT_TRUE(framing.has_value()) << GetParam().head;
    EXPECT_EQ(toString(*framing), toString(GetParam().framing)) << GetParam().head;
}

INSTANTIATE_TEST_SUITE_P(Heads,
                         body_framing_test,
                         ::testing::Values(framing_case{"Length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", body_framing::length},
                                           framing_case{"EmptyBody", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", body_framing::length},
                                           framing_case{"Chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", body_framing::chunks},
                                           framing_case{"Neither", "HTTP/1.1 200 OK\r\n", body_framing::connection_end},
                                           framing_case{"NeitherWithKeepAlive", "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n", body_framing::connection_end},
                                           framing_case{"NeitherInHttp10", "HTTP/1.0 200 OK\r\n", body_framing::connection_end},
                                           framing_case{"NoContent", "HTTP/1.1 204 No Content\r\n", body_framing::none}),
                         [](const auto &tested) { return std::string(tested.param.name); });

TEST_F(response_reader_test, ReportsMalformedResponse)
{
    m_reader.feed("garbage\r\n\r\n");
    EXPECT_TRUE(m_reader.isMalformed());
    EXPECT_EQ(m_reported, "");
}

// Status codes below 100 were skipped like interim responses, and the request waited for another one until its deadline.
TEST_F(response_reader_test, AStatusThatIsNoneIsMalformed)
{
    for (const std::string line : {"HTTP/1.1 000 Trouble",
                                   "HTTP/1.1 099 Trouble",
                                   "HTTP/1.1 20 OK",
                                   "HTTP/1.1 1000 Trouble",
                                   "HTTP/1.1 600 Trouble",
                                   "HTTP/1.1 999 Trouble",
                                   "HTTP/1.1 -200 OK",
                                   "HTTP/1.1 +200 OK",
                                   "HTTP/1.1 2x0 OK",
                                   "HTTP/1.1 OK",
                                   "HTTP/1.1 101 Switching Protocols",
                                   "HTTP/0.9 200 OK",
                                   "HTTP/2.0 200 OK"}) {
        m_reader.reset();
        m_reader.feed(line + "\r\nContent-Length: 2\r\n\r\nhi");
        EXPECT_TRUE(m_reader.isMalformed()) << line;
        EXPECT_EQ(m_reported, "") << line;
    }
}

TEST_F(response_reader_test, AnOddReasonOrMinorVersionIsPassedOn)
{
    for (const std::string line : {"HTTP/1.0 200", "HTTP/1.1 200 ", "HTTP/1.1 200 \x01\xff", "HTTP/1.7 599 Own"}) {
        m_reader.reset();
        m_reported.clear();
        m_reader.feed(line + "\r\nContent-Length: 2\r\n\r\nhi");
        EXPECT_FALSE(m_reader.isMalformed()) << line;
        EXPECT_NE(m_reported.find("body hi;complete;"), std::string::npos) << line;
    }
}

TEST(request_reader_test, AHeadOfManyShortLinesTakesLittleMoreThanOnTheWire)
{
    constexpr std::size_t lines = 3500;
    std::string fields;
    for (std::size_t i = 0; i < lines; ++i) {
        fields += "a:\r\n";
    }
    request_reader reader({});
    reader.feed(withHead(fields));
    ASSERT_TRUE(reader.isComplete());
    const auto request = reader.next();
    EXPECT_EQ(std::distance(request.headers.begin(), request.headers.end()), lines + 1);
    EXPECT_LE(request.heldBytes(), 2 * fields.size());
}

TEST(message_test, FieldsThatAConnectionFieldNamesAreFoundAmongThousands)
{
    constexpr int names = 4000;
    std::string connection;
    header_list headers;
    for (int i = 0; i < names; ++i) {
        connection += "x" + std::to_string(i) + ", ";
    }
    headers.append("Connection", connection);
    for (int i = 0; i < 2 * names; ++i) {
        headers.append("X" + std::to_string(i), "");
    }
    const auto kept = endToEndHeaders(headers);
    EXPECT_EQ(std::distance(kept.begin(), kept.end()), names);
}

TEST(message_test, AHeaderListKeepsFieldsInPartsAndOrder)
{
    header_list headers;
    for (const std::string_view part : {"X-", "One"}) {
        headers.appendToName(part);
    }
    for (const std::string_view part : {"a:", "b"}) {
        headers.appendToValue(part);
    }
    headers.appendToName("X-Two");
    headers.endFields();
    EXPECT_EQ(headers, (header_list{{"X-One", "a:b"}, {"X-Two", ""}}));
    EXPECT_EQ(findHeader(headers, "x-two"), "");
    EXPECT_EQ(findHeader(headers, "x-three"), std::nullopt);
    EXPECT_TRUE(header_list{}.begin() == header_list{}.end());
}

TEST(message_test, EndToEndHeadersExcludeHopByHopFields)
{
    const header_list kept =
        endToEndHeaders({{"Connection", "keep-alive, X-Hop"}, {"X-Hop", "1"}, {"Keep-Alive", "timeout=5"}, {"X-Kept", "2"}, {"TE", "trailers"}});
    EXPECT_EQ(kept, (header_list{{"X-Kept", "2"}}));
}

TEST(message_test, AppendChunkSkipsEmptyData)
{
    std::string out;
    appendChunk(out, "");
    appendChunk(out, "abcdefghijklmnopq");
    EXPECT_EQ(out, "11\r\nabcdefghijklmnopq\r\n");
}

} // namespace
} // namespace wisteriashunt

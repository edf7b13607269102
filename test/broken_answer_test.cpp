// Walks all ways in which an endpoint's answer can end too early, and checks that callers can tell it from a complete one.
#include "gateway_fixture.h"

#include <map>
#include <mutex>

namespace wisteriashunt::testing
{
namespace
{

/// How the endpoint frames the body of its answer.
enum class framing {
    length,
    chunks,
    connection_end,
    connection_end_http10,
};

/// Where the answer ends.
enum class cut_at {
    in_head,
    after_head,
    after_first_event,
    after_id,
    in_data,
    between_line_ends,
    in_chunk_size,
    before_last_chunk,
    after_all_bytes,
};

/// How the connection ends.
enum class ending {
    close,
    reset,
};

struct broken_answer
{
    const char *path;
    framing framed;
    cut_at cut;
    ending ended;
    bool isByteByByte;
};

const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string secondEvent = "id: 2\ndata: bb\n\n";
const std::string thirdEvent = "id: 3\ndata: ccc\n\n";
const std::string wholeStream = firstEvent + secondEvent + thirdEvent;

/// Bytes of the answer's body before its end.
std::string bodyBefore(cut_at cut)
{
    switch (cut) {
    case cut_at::in_head:
    case cut_at::after_head:
        return "";
    case cut_at::after_first_event:
        return firstEvent;
    case cut_at::after_id:
        return firstEvent + "id: 2\n";
    case cut_at::in_data:
        return firstEvent + "id: 2\nda";
    case cut_at::between_line_ends:
    case cut_at::in_chunk_size:
        return firstEvent + "id: 2\ndata: bb\n";
    case cut_at::before_last_chunk:
    case cut_at::after_all_bytes:
        return wholeStream;
    }
    return "";
}

std::string answerBytes(const broken_answer &broken, const received_request &got)
{
    const std::string body = bodyBefore(broken.cut);
    std::string head = okHead(got);
    if (broken.framed == framing::connection_end_http10) {
        head.replace(0, std::string_view("HTTP/1.1").size(), "HTTP/1.0");
    }
    if (broken.cut == cut_at::in_head) {
        return head;
    }
    if (broken.cut == cut_at::after_all_bytes) {
        // The entry would keep the connection, and its end could cross the next request.
        head += "Connection: close\r\n";
    }
    switch (broken.framed) {
    case framing::length:
        return head + "Content-Length: " + std::to_string(wholeStream.size()) + "\r\n\r\n" + body;
    case framing::chunks:
        return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + (broken.cut == cut_at::in_chunk_size ? "1" : "")
            + (broken.cut == cut_at::after_all_bytes ? std::string(lastChunk) : "");
    case framing::connection_end:
    case framing::connection_end_http10:
        return head + "\r\n" + body;
    }
    return "";
}

/// A caller's view of a response.
struct caller_view
{
    int status = 0;
    std::string body;
    /// Whether the framing says that the response is complete.
    bool isComplete = false;
};

caller_view viewOf(const std::string &reply)
{
    caller_view view;
    response_reader reader({.onHead = [&](http_response_head &head) { view.status = head.status; },
                            .onBody = [&](std::string_view bytes) { view.body.append(bytes); },
                            .onComplete = [&] { view.isComplete = true; }});
    static_cast<void>(reader.feed(reply));
    return view;
}

/// Whether the protocol leaves no way to tell the answer from a complete one: its end is the end of its connection, which was closed in order,
/// at a place where a complete answer may end.
bool isIndistinguishable(const broken_answer &broken)
{
    const bool endsWithConnection = broken.framed == framing::connection_end || broken.framed == framing::connection_end_http10;
    if (!endsWithConnection || broken.ended != ending::close || broken.cut == cut_at::in_head) {
        return false;
    }
    const bool isStream = std::string_view(broken.path) == "/talk/" || std::string_view(broken.path) == "/draft/";
    return !isStream || broken.cut == cut_at::after_first_event;
}

std::string nameOf(framing framed)
{
    switch (framed) {
    case framing::length:
        return "Length";
    case framing::chunks:
        return "Chunks";
    case framing::connection_end:
        return "ConnectionEnd";
    case framing::connection_end_http10:
        return "ConnectionEndHttp10";
    }
    return "";
}

std::string nameOf(cut_at cut)
{
    switch (cut) {
    case cut_at::in_head:
        return "in head";
    case cut_at::after_head:
        return "after head";
    case cut_at::after_first_event:
        return "after first event";
    case cut_at::after_id:
        return "after ID";
    case cut_at::in_data:
        return "in data";
    case cut_at::between_line_ends:
        return "between line ends";
    case cut_at::in_chunk_size:
        return "in chunk size";
    case cut_at::before_last_chunk:
        return "before last chunk";
    case cut_at::after_all_bytes:
        return "after all bytes";
    }
    return "";
}

std::string routeName(const std::string &path)
{
    return path.substr(1, path.size() - 2);
}

std::string nameOf(const broken_answer &broken)
{
    return routeName(broken.path) + ", " + nameOf(broken.framed) + ", cut " + nameOf(broken.cut) + (broken.ended == ending::close ? ", closed" : ", reset")
        + (broken.isByteByByte ? ", byte by byte" : "");
}

/// Returns all ways in which an answer of this framing can end.
std::vector<broken_answer> brokenAnswers(const char *path, framing framed)
{
    std::vector<broken_answer> all;
    for (const auto cut : {cut_at::in_head,
                           cut_at::after_head,
                           cut_at::after_first_event,
                           cut_at::after_id,
                           cut_at::in_data,
                           cut_at::between_line_ends,
                           cut_at::in_chunk_size,
                           cut_at::before_last_chunk,
                           cut_at::after_all_bytes}) {
        const bool needsChunks = cut == cut_at::in_chunk_size || cut == cut_at::before_last_chunk;
        if (needsChunks && framed != framing::chunks) {
            continue;
        }
        for (const auto ended : {ending::close, ending::reset}) {
            for (const bool isByteByByte : {false, true}) {
                all.push_back({path, framed, cut, ended, isByteByByte});
            }
        }
    }
    return all;
}

class broken_answer_test : public gateway_test
{
protected:
    /// Starts endpoints that break the first attempt of each caller off, and answer the next one, from the event that it resumes after.
    void startEndpoints()
    {
        const auto handle = [this](const received_request &got) {
            const auto attempt = attemptIdOf(got);
            std::optional<broken_answer> broken;
            {
                const std::lock_guard lock(m_mutex);
                const auto found = m_broken.find(attempt);
                if (found != m_broken.end()) {
                    broken = found->second;
                    m_broken.erase(found);
                }
            }
            if (broken) {
                return breakOff(*broken, got);
            }
            const auto after = findHeader(got.headers, "last-event-id");
            const std::string rest = !after ? wholeStream : *after == "1" ? secondEvent + thirdEvent : *after == "2" ? thirdEvent : std::string();
            return scripted_response{.parts = {okHead(got) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(rest) + std::string(lastChunk)}};
        };
        start(handle, handle);
    }

    /// Calls the entry once; the endpoint breaks the first attempt off.
    caller_view callBroken(const broken_answer &broken)
    {
        const std::string attempt = "a" + std::to_string(++m_calls);
        {
            const std::lock_guard lock(m_mutex);
            m_broken.emplace(attempt, broken);
        }
        auto bytes = request(broken.path);
        const std::string standard = "X-Attempt-Id: a1";
        bytes.replace(bytes.find(standard), standard.size(), "X-Attempt-Id: " + attempt);
        return viewOf(callOnce(bytes));
    }

private:
    static scripted_response breakOff(const broken_answer &broken, const received_request &got)
    {
        const auto bytes = answerBytes(broken, got);
        scripted_response answer{.parts = {bytes}, .closes = broken.ended == ending::close, .resets = broken.ended == ending::reset};
        if (broken.isByteByByte) {
            answer.parts.clear();
            for (const char byte : bytes) {
                answer.parts.emplace_back(1, byte);
            }
        }
        return answer;
    }

    std::mutex m_mutex;
    std::map<std::string, broken_answer> m_broken;
    int m_calls = 0;
};

/// The route's path, and how the endpoint frames its answers.
class framed_answer_test : public broken_answer_test, public ::testing::WithParamInterface<std::tuple<const char *, framing>>
{
};

TEST_P(framed_answer_test, NeverLooksCompleteWhenItIsBrokenOff)
{
    m_retrySlack = 1000;
    startEndpoints();
    const auto [path, framed] = GetParam();
    const bool mayRepeat = std::string_view(path) == "/read/" || std::string_view(path) == "/draft/";
    for (const auto &broken : brokenAnswers(path, framed)) {
        SCOPED_TRACE(nameOf(broken));
        const auto view = callBroken(broken);
        const bool looksWhole = view.isComplete && view.status == 200;
        if (isIndistinguishable(broken)) {
            EXPECT_TRUE(wholeStream.starts_with(view.body)) << view.body;
            continue;
        }
        if (looksWhole) {
            EXPECT_EQ(view.body, wholeStream);
        }
        EXPECT_TRUE(view.status != 200 || wholeStream.starts_with(view.body)) << "no event twice and none missing: " << view.body;
        if (mayRepeat) {
            EXPECT_TRUE(looksWhole) << "the other endpoint can answer: status " << view.status << ", body " << view.body;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         framed_answer_test,
                         ::testing::Combine(::testing::Values("/read/", "/book/", "/talk/", "/draft/"),
                                            ::testing::Values(framing::length, framing::chunks, framing::connection_end, framing::connection_end_http10)),
                         [](const auto &tested) { return routeName(std::get<0>(tested.param)) + nameOf(std::get<1>(tested.param)); });

TEST_F(broken_answer_test, AStreamThatEndsWithinAnEventIsBrokenOffWhateverItsFraming)
{
    start([](const received_request &got) {
        const std::string body = firstEvent + "id: 2\nda";
        return scripted_response{.parts = {okHead(got) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + std::string(lastChunk)}};
    });
    const auto view = viewOf(callOnce(request("/talk/")));
    EXPECT_FALSE(view.isComplete);
    EXPECT_EQ(view.body, firstEvent);
}

TEST_F(broken_answer_test, EventsWithCrLfAreResumedAfterTheLastWholeOne)
{
    const std::string first = "id: 1\r\ndata: a\r\n\r\n";
    const std::string second = "id: 2\r\ndata: b\r\n\r\n";
    const auto handle = [=](const received_request &got) {
        const auto after = findHeader(got.headers, "last-event-id");
        return !after ? scripted_response{.parts = {okHead(got) + "\r\n" + first + "id: 2\r\nda"}, .closes = true}
                      : scripted_response{.parts = {okHead(got) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(second) + std::string(lastChunk)}};
    };
    start(handle, handle);
    const auto view = viewOf(callOnce(request("/draft/")));
    EXPECT_TRUE(view.isComplete);
    EXPECT_EQ(view.body, first + second);
}

TEST_F(broken_answer_test, AStreamIsNotResumedAfterAnEventWithoutId)
{
    const auto handle = [](const received_request &got) {
        return scripted_response{.parts = {okHead(got) + "Transfer-Encoding: chunked\r\n\r\n" + chunk("data: a\n\n")}, .closes = true};
    };
    start(handle, handle);
    const auto view = viewOf(callOnce(request("/draft/")));
    EXPECT_FALSE(view.isComplete);
    EXPECT_EQ(view.body, "data: a\n\n") << "the event must not come twice";
}

/// What the next endpoint answers to a stream that goes on.
struct next_answer
{
    const char *name;
    std::function<scripted_response(const received_request &got)> make;
    /// Events after the first two that the caller gets.
    std::string adds;
    bool isWhole = false;
};

std::vector<next_answer> nextAnswers()
{
    const auto failure = [](const std::string &status) {
        return [status](const received_request &got) {
            return scripted_response{
                .parts = {withLength("HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + attemptIdOf(got) + "\r\nX-Server-Seal: s\r\n", "error text\n\n")}};
        };
    };
    const auto success = [](const std::string &fields, const std::string &body, bool isChunked) {
        return [=](const received_request &got) {
            const auto head = okHead(got) + fields;
            return isChunked ? scripted_response{.parts = {head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + std::string(lastChunk)}}
                             : scripted_response{.parts = {withLength(head, body)}};
        };
    };
    const std::string eventStream = "Content-Type: text/event-stream\r\n";
    const std::string text = "Content-Type: text/plain\r\n";
    return {{"NotFound", failure("404 Not Found"), ""},
            {"Failed", failure("500 Failed"), ""},
            {"Busy", failure("503 Busy"), ""},
            {"NoStatus", failure("000 Trouble"), ""},
            {"Found", failure("302 Found"), ""},
            {"NoContent",
             [](const auto &got) {
                 return scripted_response{.parts = {"HTTP/1.1 204 None\r\nX-Attempt-Id: " + attemptIdOf(got) + "\r\nX-Server-Seal: s\r\n\r\n"}};
             },
             ""},
            {"NoAnswer", [](const auto &) { return scripted_response{.closes = true}; }, ""},
            {"HeadOnly", [](const auto &got) { return scripted_response{.parts = {okHead(got)}, .closes = true}; }, ""},
            {"Text", success(text, "error: out of memory\n\n", false), ""},
            {"TextInChunks", success(text, "error: out of memory\n\n", true), ""},
            {"TextAsEvents", success(eventStream, "error: out of memory\n\n", true), ""},
            {"EventWithoutId", success(eventStream, "event: error\ndata: out of memory\n\n", true), ""},
            {"Empty", success(eventStream, "", false), ""},
            {"EmptyText", success(text, "", true), ""},
            {"EmptyInChunks", success(eventStream, "", true), "", true},
            {"WrongPlace", success(eventStream, firstEvent + secondEvent + thirdEvent, true), ""},
            {"PartOfAnEvent", success(eventStream, "id: 3\ndata", true), ""},
            {"Rest", success(eventStream, ": note\n\n" + thirdEvent, true), ": note\n\n" + thirdEvent, true}};
}

class next_answer_test : public broken_answer_test, public ::testing::WithParamInterface<next_answer>
{
};

// The text of another endpoint's failure came in the middle of a stream, or the stream ended as if it were complete.
TEST_P(next_answer_test, ABrokenStreamGoesOnWithEventsOrEndsBroken)
{
    const auto handle = [](const received_request &got) {
        if (!findHeader(got.headers, "last-event-id")) {
            return scripted_response{.parts = {okHead(got) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(firstEvent) + chunk(secondEvent)}, .closes = true};
        }
        return GetParam().make(got);
    };
    start(handle, handle);
    const auto view = viewOf(callOnce(request("/draft/")));
    EXPECT_EQ(view.status, 200);
    EXPECT_EQ(view.body, firstEvent + secondEvent + GetParam().adds);
    EXPECT_EQ(view.isComplete, GetParam().isWhole);
}

INSTANTIATE_TEST_SUITE_P(Answers, next_answer_test, ::testing::ValuesIn(nextAnswers()), [](const auto &tested) { return std::string(tested.param.name); });

TEST_F(broken_answer_test, AnAnswerOfTextOnAStreamRouteIsNotBegunAgainInTheMiddle)
{
    const auto handle = [](const received_request &got) {
        return scripted_response{.parts = {okHead(got) + "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("half")}, .closes = true};
    };
    start(handle, handle);
    const auto view = viewOf(callOnce(request("/draft/")));
    EXPECT_FALSE(view.isComplete);
    EXPECT_EQ(view.body, "half");
}

// A status that is none was waited behind for a final one until the deadline.
TEST_F(broken_answer_test, AStatusThatIsNoneEndsTheRequestAtOnceWithoutTheEndpointsSignature)
{
    std::mutex mutex;
    std::string status;
    start([&](const received_request &got) {
        const std::lock_guard lock(mutex);
        return scripted_response{.parts = {withLength("HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + attemptIdOf(got) + "\r\nX-Server-Seal: s\r\n", "hi")}};
    });
    for (const std::string each : {"000 Trouble", "099 Trouble", "20 OK", "1000 Trouble", "999 Trouble", "101 Switching Protocols", "abc"}) {
        {
            const std::lock_guard lock(mutex);
            status = each;
        }
        for (const std::string path : {"/read/", "/book/", "/talk/", "/draft/"}) {
            const auto begin = std::chrono::steady_clock::now();
            const auto reply = callOnce(request(path));
            EXPECT_EQ(viewOf(reply).status, 502) << each << " " << path << ": " << reply;
            EXPECT_EQ(reply.find("Server-Seal"), std::string::npos) << reply;
            EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(1)) << each << " " << path;
        }
    }
}

/// A request of a caller that speaks HTTP/1.0 and knows no chunks.
std::string http10Request(const std::string &path)
{
    return "POST " + path + " HTTP/1.0\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n";
}

TEST_F(broken_answer_test, AnHttp10CallerGetsAStreamWithoutChunks)
{
    start([](const received_request &got) {
        return scripted_response{.parts = {okHead(got) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(wholeStream) + std::string(lastChunk)}};
    });
    raw_caller caller(m_ports.callers);
    caller.send(http10Request("/talk/"));
    const auto reply = caller.readAll();
    EXPECT_TRUE(reply.ends_with("\r\n\r\n" + wholeStream)) << reply;
    EXPECT_EQ(reply.find("chunked"), std::string::npos) << reply;
    EXPECT_FALSE(caller.wasReset());
}

TEST_F(broken_answer_test, AnHttp10CallerSeesAResetWhenAStreamIsBrokenOff)
{
    start([](const received_request &got) {
        return scripted_response{.parts = {okHead(got) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(firstEvent)}, .closes = true};
    });
    raw_caller caller(m_ports.callers);
    caller.send(http10Request("/talk/"));
    static_cast<void>(caller.readAll());
    EXPECT_TRUE(caller.wasReset()) << "an orderly close would end the answer";
}

TEST_F(broken_answer_test, ACompleteAnswerReachesASlowCallerThatWantsTheConnectionClosed)
{
    const std::string body(8'000'000, 'x');
    start([&](const received_request &got) { return ok(got, body); });
    raw_caller caller(m_ports.callers);
    const std::string host = "Host: h.example\r\n";
    auto bytes = request("/read/");
    bytes.insert(bytes.find(host) + host.size(), "Connection: close\r\n");
    caller.send(bytes);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const auto view = viewOf(caller.readAll());
    EXPECT_TRUE(view.isComplete);
    EXPECT_EQ(view.body.size(), body.size());
}

} // namespace
} // namespace wisteriashunt::testing

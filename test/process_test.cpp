// Failures of real processes: kills, freezes, outages, bad input and graceful ends.
#include "process_fixture.h"

#include "configuration/reducer.h"
#include "platform/http_platform.h"

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

namespace wisteriashunt::testing
{
namespace
{

using process_test = process_fixture;

constexpr int streams = 12;
constexpr int longAnswer = 120;

/// Streams that run at the same time, alternating between the entries.
class running_streams
{
public:
    running_streams(int count, const std::function<caller_reply(int index, const std::function<bool(const std::string &)> &)> &call)
    {
        for (int i = 0; i < count; ++i) {
            m_replies.push_back(std::async(std::launch::async, [this, i, call] {
                bool hasBegun = false;
                return call(i, [this, &hasBegun](const std::string &) {
                    m_begun += hasBegun ? 0 : 1;
                    hasBegun = true;
                    return true;
                });
            }));
        }
    }

    [[nodiscard]] int begun() const
    {
        return m_begun;
    }

    std::vector<caller_reply> join()
    {
        std::vector<caller_reply> replies;
        for (auto &reply : m_replies) {
            replies.push_back(reply.get());
        }
        return replies;
    }

private:
    std::atomic<int> m_begun{0};
    std::vector<std::future<caller_reply>> m_replies;
};

#define EXPECT_ALL_WHOLE(replies, length)                                                                                                                      \
    for (std::size_t i = 0; i < (replies).size(); ++i) {                                                                                                       \
        EXPECT_FALSE((replies)[i].isBroken) << "stream " << i << " status " << (replies)[i].status;                                                            \
        EXPECT_EQ(textOf((replies)[i].body), expectedChat("t" + std::to_string(i), length)) << "stream " << i;                                                 \
    }

TEST_F(process_test, StreamsAreWholeWhenAnEndpointProcessIsKilled)
{
    running_streams running(streams,
                            [](int i, const auto &onData) { return chat(i % 2 == 0 ? entryAPort : entryBPort, "t" + std::to_string(i), longAnswer, onData); });
    waitUntil("all streams have begun", [&] { return running.begun() == streams; });
    endProcess("endpoint-a", SIGKILL);
    const auto replies = running.join();
    EXPECT_ALL_WHOLE(replies, longAnswer);
}

TEST_F(process_test, StreamsAreWholeWhenAnEndpointProcessFreezesAndWakes)
{
    running_streams running(streams,
                            [](int i, const auto &onData) { return chat(i % 2 == 0 ? entryAPort : entryBPort, "t" + std::to_string(i), longAnswer, onData); });
    waitUntil("all streams have begun", [&] { return running.begun() == streams; });
    signalProcess("endpoint-a", SIGSTOP);
    const auto replies = running.join();
    signalProcess("endpoint-a", SIGCONT);
    EXPECT_ALL_WHOLE(replies, longAnswer);
    waitUntil("the woken process is used again", [&] { return nlohmann::json::parse(fetch(adminBasePort + 3, "/status")).value("usableEndpoints", 0) == 3; });
}

TEST_F(process_test, StreamsAreWholeWhenAnEngineBreaksOff)
{
    control(engineAPort, R"({"crashAfter":5,"crashCount":3})");
    control(engineBPort, R"({"crashAfter":9,"crashCount":2})");
    running_streams running(streams, [](int i, const auto &onData) { return chat(entryAPort, "t" + std::to_string(i), longAnswer, onData); });
    const auto replies = running.join();
    EXPECT_ALL_WHOLE(replies, longAnswer);
}

TEST_F(process_test, AnAnswerOfAnotherRequestNeverReachesACaller)
{
    control(engineAPort, R"({"crossedCount":2})");
    control(engineBPort, R"({"crossedCount":1})");
    running_streams running(4, [](int i, const auto &onData) { return chat(entryAPort, "t" + std::to_string(i), 10, onData); });
    const auto replies = running.join();
    EXPECT_ALL_WHOLE(replies, 10);
}

TEST_F(process_test, AGracefulEndOfAnEndpointProcessCutsOffNothing)
{
    running_streams running(streams,
                            [](int i, const auto &onData) { return chat(i % 2 == 0 ? entryAPort : entryBPort, "t" + std::to_string(i), longAnswer, onData); });
    waitUntil("all streams have begun", [&] { return running.begun() == streams; });
    EXPECT_EQ(endProcess("endpoint-a", SIGTERM), 0);
    const auto replies = running.join();
    EXPECT_ALL_WHOLE(replies, longAnswer);
    const auto stats = nlohmann::json::parse(fetch(engineAPort, "/stats"));
    EXPECT_EQ(stats["started"], stats["finished"]) << "an answer was cut off: " << stats.dump();
}

TEST_F(process_test, AGracefulEndOfAnEntryCutsOffNothing)
{
    running_streams running(streams, [](int i, const auto &onData) { return chat(entryAPort, "t" + std::to_string(i), longAnswer, onData); });
    waitUntil("all streams have begun", [&] { return running.begun() == streams; });
    signalProcess("entry-a", SIGTERM);
    waitUntil("new requests are sent elsewhere", [] {
        const auto reply = chat(entryAPort, "late", 1);
        return reply.status == 503 && !reply.retryAfter.empty();
    });
    const auto replies = running.join();
    EXPECT_ALL_WHOLE(replies, longAnswer);
    EXPECT_EQ(waitForEnd("entry-a"), 0);
}

TEST_F(process_test, ARepeatedOperationRunsOnceThroughBothEntriesAtOnce)
{
    control(bookingPort, R"({"workMs":200})");
    std::vector<std::future<caller_reply>> replies;
    for (int i = 0; i < 8; ++i) {
        replies.push_back(std::async(std::launch::async, [this, i] { return book(i % 2 == 0 ? entryAPort : entryBPort, "op", "key"); }));
    }
    int confirmed = 0;
    for (auto &reply : replies) {
        const auto answer = reply.get();
        confirmed += answer.status == 200 ? 1 : 0;
        EXPECT_TRUE(answer.status == 200 || answer.status == 409) << answer.status << " " << answer.body;
    }
    EXPECT_GE(confirmed, 1);
    EXPECT_EQ(bookingCount("op"), 1);
    waitUntil("the recorded outcome is answered", [&] { return book(entryBPort, "op", "key").status == 200; });
    EXPECT_EQ(bookingCount("op"), 1);
}

TEST_F(process_test, AKilledEndpointProcessLeavesAnUnknownOutcomeAndNoSecondRun)
{
    control(bookingPort, R"({"workMs":1500})");
    auto first = std::async(std::launch::async, [this] { return book(entryAPort, "op", "key"); });
    waitUntil("the operation runs", [&] { return bookingCount("op") == 1; });
    endProcess("endpoint-c", SIGKILL);
    launchDaemon("endpoint-c");
    EXPECT_EQ(first.get().status, 502);
    waitUntilReady("entry-b", 3);
    const auto repeat = book(entryBPort, "op", "key");
    EXPECT_EQ(repeat.status, 502) << repeat.body;
    EXPECT_EQ(bookingCount("op"), 1);
}

TEST_F(process_test, AnOutcomeSurvivesTheEntryThatWasKilled)
{
    control(bookingPort, R"({"workMs":700})");
    auto first = std::async(std::launch::async, [this] { return book(entryAPort, "op", "key"); });
    waitUntil("the operation runs", [&] { return bookingCount("op") == 1; });
    endProcess("entry-a", SIGKILL);
    EXPECT_TRUE(first.get().isBroken);
    waitUntil("the other entry knows the outcome", [&] { return book(entryBPort, "op", "key").status == 200; });
    EXPECT_EQ(bookingCount("op"), 1);
}

TEST_F(process_test, ALostAnswerOfTheServiceIsNeverSentAgain)
{
    control(bookingPort, R"({"loseAnswers":1})");
    const auto reply = book(entryAPort, "op");
    EXPECT_EQ(reply.status, 502) << reply.body;
    EXPECT_NE(reply.body.find("outcome_unknown"), std::string::npos) << reply.body;
    EXPECT_EQ(bookingCount("op"), 1);
}

TEST_F(process_test, AnOutageOfTheLogRefusesKeyedOperationsOnly)
{
    control(platformPort, R"({"down":true})");
    waitUntil("keyed operations are refused", [&] {
        const auto reply = book(entryAPort, "refused", "key-of-the-outage");
        return reply.status == 503 && !reply.retryAfter.empty();
    });
    EXPECT_EQ(bookingCount("refused"), 0);
    EXPECT_EQ(book(entryAPort, "plain").status, 200);
    const auto reply = chat(entryAPort, "t", 5);
    EXPECT_EQ(textOf(reply.body), expectedChat("t", 5));
    control(platformPort, R"({"down":false})");
    waitUntil("keyed operations are taken again", [&] { return book(entryAPort, "after", "key-after").status == 200; });
}

TEST_F(process_test, AProcessThatStartsDuringAnOutageLearnsTheConfigurationFromItsPeers)
{
    control(platformPort, R"({"down":true})");
    endProcess("endpoint-a", SIGKILL);
    endProcess("endpoint-b", SIGKILL);
    launchDaemon("endpoint-a");
    waitUntilReady("endpoint-a");
    waitUntil("the new process is used", [] { return textOf(chat(entryAPort, "t", 5).body) == expectedChat("t", 5); });
}

TEST_F(process_test, AnEntryIsNotReadyBeforeItHasAskedTheClaimLog)
{
    endProcess("entry-a", SIGKILL);
    control(platformPort, R"({"holdStream":"claims"})");
    launchDaemon("entry-a");
    const auto status = [] { return nlohmann::json::parse(fetch(adminBasePort + 3, "/status"), nullptr, false); };
    waitUntil("everything but the claims is known", [&] {
        const auto page = status();
        return page.is_object() && page.value("usableEndpoints", 0) == 3;
    });
    EXPECT_FALSE(status().value("ready", true)) << "the claim log has not answered";
    control(platformPort, R"({"holdStream":""})");
    waitUntilReady("entry-a", 3);
    EXPECT_EQ(book(entryAPort, "first", "key-of-first").status, 200);
}

TEST_F(process_test, AChangeIsInForceEverywhere)
{
    http_log_service log("http://127.0.0.1:" + std::to_string(platformPort));
    const traffic_class fresh{.name = "fresh", .tier = 3, .endpoints = {"e-a"}};
    const log_offset offset = log.append(
        configurationStream, {makeChangeRecord({.changeId = "x", .author = "a", .changedAt = "now", .baseVersion = 0, .isDelete = false, .value = fresh})});
    for (int index = 0; index < 5; ++index) {
        waitUntil("the change is in force",
                  [&] { return nlohmann::json::parse(fetch(adminBasePort + index, "/status")).value("configuration", log_offset{0}) >= offset; });
    }
}

TEST_F(process_test, ACallerThatLeavesFreesItsSlot)
{
    const auto reply = chat(entryAPort, "t", 5000, [](const std::string &received) { return received.size() < 200; });
    EXPECT_TRUE(reply.isBroken);
    waitUntil("both engines are idle", [] {
        return nlohmann::json::parse(fetch(engineAPort, "/stats"))["running"] == 0 && nlohmann::json::parse(fetch(engineBPort, "/stats"))["running"] == 0;
    });
}

TEST_F(process_test, BadInputGetsItsErrorKindAndTheDaemonGoesOn)
{
    const std::string url = "http://127.0.0.1:" + std::to_string(entryAPort);
    const header_list key{"Authorization: Bearer key-of-the-tests"};
    EXPECT_EQ(callHttp("POST", url + "/v1/chat/completions", "{", key).status, 400);
    EXPECT_EQ(callHttp("POST", url + "/v1/chat/completions", R"({"model":"none","messages":[1]})", key).status, 404);
    EXPECT_EQ(callHttp("POST", url + "/v1/chat/completions", "{}", {}).status, 401);
    EXPECT_EQ(callHttp("GET", url + "/elsewhere", "", key).status, 404);
    EXPECT_EQ(callHttp("POST", url + "/v1/chat/completions", std::string(100000, 'x'), key).status, 413);
    EXPECT_EQ(callHttp("POST", url + "/services/booking/deposits", "{}", {key[0], "Idempotency-Key: " + std::string(300, 'k')}).status, 400);
    EXPECT_EQ(textOf(chat(entryAPort, "t", 3).body), expectedChat("t", 3));
}

TEST_F(process_test, KeysRotateWithoutAStop)
{
    const std::string oldKey = "{name: k, secret: secret-of-the-tests}";
    const std::string newKey = "{name: n, secret: new-secret-of-tests}";
    const std::vector<std::string> all{"endpoint-a", "endpoint-b", "endpoint-c", "entry-a", "entry-b"};
    for (const auto &keys : {oldKey + ", " + newKey, newKey + ", " + oldKey, newKey}) {
        for (const auto &name : all) {
            replaceKeys(name, keys);
            signalProcess(name, SIGHUP);
        }
        for (const auto &name : all) {
            waitUntil(name + " has read its keys", [&] { return hasEventInLog(name, "keys_reloaded"); });
        }
    }
    endProcess("endpoint-a", SIGKILL);
    launchDaemon("endpoint-a");
    waitUntilReady("entry-a", 3);
    EXPECT_EQ(textOf(chat(entryAPort, "t", 3).body), expectedChat("t", 3));
}

/// Sends raw bytes to a port and closes, or leaves the connection half-open.
int connectRaw(int port, const std::string &bytes)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    EXPECT_EQ(connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address), 0);
    EXPECT_EQ(send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    return socket;
}

TEST_F(process_test, MalformedFramesAndHttpLeaveTheDaemonsRunning)
{
    std::vector<int> sockets;
    for (const auto &bytes : {std::string("\xff\xff\xff\xff garbage"), std::string("\0\0\0\3\x92\x63\x90", 7), std::string("GET / HTTP/1.1\r\n\r\n")}) {
        sockets.push_back(connectRaw(peerBasePort, bytes));
    }
    sockets.push_back(connectRaw(entryAPort, "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{"));
    sockets.push_back(connectRaw(entryAPort, std::string("\x16\x03\x01\0\0 no http at all\r\n\r\n", 24)));
    EXPECT_EQ(textOf(chat(entryAPort, "t", 3).body), expectedChat("t", 3));
    for (const int socket : sockets) {
        close(socket);
    }
    EXPECT_EQ(textOf(chat(entryBPort, "t", 3).body), expectedChat("t", 3));
}

TEST_F(process_test, ASecondProcessForTheSameSlotEnds)
{
    launch("intruder", {SHUNT_DAEMON, "--config=/nonexistent"});
    EXPECT_EQ(waitForEnd("intruder"), 2);
    signalProcess("endpoint-a", SIGSTOP);
    const std::string settings = ::testing::TempDir() + "/intruder.yaml";
    FILE *file = fopen(settings.c_str(), "w");
    fputs(("role: endpoint\ninstance: intruder\nzone: z\nlisten: {address: 127.0.0.1, port: " + std::to_string(peerBasePort)
           + "}\nadmin: {address: 127.0.0.1, port: 21499}\nplatform: {log: \"http://127.0.0.1:21000\", instances: \"http://127.0.0.1:21000\"}\n"
             "peerKeys: [{name: k, secret: secret-of-the-tests}]\nendpoint: {name: e-a, url: \"http://127.0.0.1:21100\"}\nlogging: {console: false}\n")
              .c_str(),
          file);
    fclose(file);
    launch("intruder", {SHUNT_DAEMON, "--config=" + settings});
    EXPECT_EQ(waitForEnd("intruder"), 1);
    signalProcess("endpoint-a", SIGCONT);
}

} // namespace
} // namespace wisteriashunt::testing

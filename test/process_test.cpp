// Tests the daemons as real processes: kills, freezes, outages, invalid input and graceful stops.
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

constexpr int streamCount = 12;
constexpr int longAnswerTokens = 120;

/// Streams that run at the same time, each on its own thread.
class running_streams
{
public:
    running_streams(int count, const std::function<caller_reply(int index, const std::function<bool(const std::string &)> &)> &call)
    {
        for (int i = 0; i < count; ++i) {
            m_replies.push_back(std::async(std::launch::async, [this, i, call] {
                bool hasStarted = false;
                return call(i, [this, &hasStarted](const std::string &) {
                    m_startedCount += hasStarted ? 0 : 1;
                    hasStarted = true;
                    return true;
                });
            }));
        }
    }

    [[nodiscard]] int startedCount() const
    {
        return m_startedCount;
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
    std::atomic<int> m_startedCount{0};
    std::vector<std::future<caller_reply>> m_replies;
};

#define EXPECT_ALL_COMPLETE(replies, length)                                                                                                                   \
    for (std::size_t i = 0; i < (replies).size(); ++i) {                                                                                                       \
        EXPECT_FALSE((replies)[i].isIncomplete) << "stream " << i << " status " << (replies)[i].status;                                                        \
        EXPECT_EQ(tokenTextOf((replies)[i].body), expectedChat("t" + std::to_string(i), length)) << "stream " << i;                                            \
    }

TEST_F(process_test, StreamsCompleteWhenAnEndpointProcessIsKilled)
{
    running_streams running(
        streamCount, [](int i, const auto &onData) { return chat(i % 2 == 0 ? entryAPort : entryBPort, "t" + std::to_string(i), longAnswerTokens, onData); });
    waitUntil("all streams have started", [&] { return running.startedCount() == streamCount; });
    signalAndWait("endpoint-a", SIGKILL);
    const auto replies = running.join();
    EXPECT_ALL_COMPLETE(replies, longAnswerTokens);
}

TEST_F(process_test, StreamsCompleteWhenAnEndpointProcessFreezesAndResumes)
{
    running_streams running(
        streamCount, [](int i, const auto &onData) { return chat(i % 2 == 0 ? entryAPort : entryBPort, "t" + std::to_string(i), longAnswerTokens, onData); });
    waitUntil("all streams have started", [&] { return running.startedCount() == streamCount; });
    signalProcess("endpoint-a", SIGSTOP);
    const auto replies = running.join();
    signalProcess("endpoint-a", SIGCONT);
    EXPECT_ALL_COMPLETE(replies, longAnswerTokens);
    waitUntil("the resumed process is used again", [&] { return nlohmann::json::parse(fetch(adminBasePort + 3, "/status")).value("usableEndpoints", 0) == 3; });
}

TEST_F(process_test, StreamsCompleteWhenAnEngineCrashes)
{
    sendControl(engineAPort, R"({"crashAfter":5,"crashCount":3})");
    sendControl(engineBPort, R"({"crashAfter":9,"crashCount":2})");
    running_streams running(streamCount, [](int i, const auto &onData) { return chat(entryAPort, "t" + std::to_string(i), longAnswerTokens, onData); });
    const auto replies = running.join();
    EXPECT_ALL_COMPLETE(replies, longAnswerTokens);
}

TEST_F(process_test, AnAnswerToAnotherRequestNeverReachesACaller)
{
    sendControl(engineAPort, R"({"crossedCount":2})");
    sendControl(engineBPort, R"({"crossedCount":1})");
    running_streams running(4, [](int i, const auto &onData) { return chat(entryAPort, "t" + std::to_string(i), 10, onData); });
    const auto replies = running.join();
    EXPECT_ALL_COMPLETE(replies, 10);
}

TEST_F(process_test, AGracefulStopOfAnEndpointProcessCutsNoStream)
{
    running_streams running(
        streamCount, [](int i, const auto &onData) { return chat(i % 2 == 0 ? entryAPort : entryBPort, "t" + std::to_string(i), longAnswerTokens, onData); });
    waitUntil("all streams have started", [&] { return running.startedCount() == streamCount; });
    EXPECT_EQ(signalAndWait("endpoint-a", SIGTERM), 0);
    const auto replies = running.join();
    EXPECT_ALL_COMPLETE(replies, longAnswerTokens);
    const auto stats = nlohmann::json::parse(fetch(engineAPort, "/stats"));
    EXPECT_EQ(stats["started"], stats["finished"]) << "engine-a started more answers than it finished: " << stats.dump();
}

TEST_F(process_test, AGracefulStopOfAnEntryCutsNoStream)
{
    running_streams running(streamCount, [](int i, const auto &onData) { return chat(entryAPort, "t" + std::to_string(i), longAnswerTokens, onData); });
    waitUntil("all streams have started", [&] { return running.startedCount() == streamCount; });
    signalProcess("entry-a", SIGTERM);
    waitUntil("new requests are refused with Retry-After", [] {
        const auto reply = chat(entryAPort, "late", 1);
        return reply.status == 503 && !reply.retryAfter.empty();
    });
    const auto replies = running.join();
    EXPECT_ALL_COMPLETE(replies, longAnswerTokens);
    EXPECT_EQ(waitForExit("entry-a"), 0);
}

TEST_F(process_test, ARepeatedOperationRunsOnceThroughBothEntriesAtOnce)
{
    sendControl(bookingPort, R"({"workMs":200})");
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
    waitUntil("the recorded outcome is returned", [&] { return book(entryBPort, "op", "key").status == 200; });
    EXPECT_EQ(bookingCount("op"), 1);
}

TEST_F(process_test, AKilledEndpointProcessLeavesAnUnknownOutcomeAndNoSecondRun)
{
    sendControl(bookingPort, R"({"workMs":1500})");
    auto first = std::async(std::launch::async, [this] { return book(entryAPort, "op", "key"); });
    waitUntil("the operation runs", [&] { return bookingCount("op") == 1; });
    signalAndWait("endpoint-c", SIGKILL);
    launchDaemon("endpoint-c");
    EXPECT_EQ(first.get().status, 502);
    waitUntilReady("entry-b", 3);
    const auto repeat = book(entryBPort, "op", "key");
    EXPECT_EQ(repeat.status, 502) << repeat.body;
    EXPECT_EQ(bookingCount("op"), 1);
}

TEST_F(process_test, AnOutcomeSurvivesAKilledEntry)
{
    sendControl(bookingPort, R"({"workMs":700})");
    auto first = std::async(std::launch::async, [this] { return book(entryAPort, "op", "key"); });
    waitUntil("the operation runs", [&] { return bookingCount("op") == 1; });
    signalAndWait("entry-a", SIGKILL);
    EXPECT_TRUE(first.get().isIncomplete);
    waitUntil("the other entry returns the recorded outcome", [&] { return book(entryBPort, "op", "key").status == 200; });
    EXPECT_EQ(bookingCount("op"), 1);
}

TEST_F(process_test, AnOperationIsNotRepeatedWhenItsAnswerIsLost)
{
    sendControl(bookingPort, R"({"loseAnswers":1})");
    const auto reply = book(entryAPort, "op");
    EXPECT_EQ(reply.status, 502) << reply.body;
    EXPECT_NE(reply.body.find("outcome_unknown"), std::string::npos) << reply.body;
    EXPECT_EQ(bookingCount("op"), 1);
}

TEST_F(process_test, ALogOutageRefusesOnlyKeyedOperations)
{
    sendControl(platformPort, R"({"down":true})");
    waitUntil("keyed operations are refused", [&] {
        const auto reply = book(entryAPort, "refused", "key-of-the-outage");
        return reply.status == 503 && !reply.retryAfter.empty();
    });
    EXPECT_EQ(bookingCount("refused"), 0);
    EXPECT_EQ(book(entryAPort, "plain").status, 200);
    const auto reply = chat(entryAPort, "t", 5);
    EXPECT_EQ(tokenTextOf(reply.body), expectedChat("t", 5));
    sendControl(platformPort, R"({"down":false})");
    waitUntil("keyed operations are accepted again", [&] { return book(entryAPort, "after", "key-after").status == 200; });
}

TEST_F(process_test, AProcessThatStartsDuringALogOutageGetsTheConfigurationFromItsPeers)
{
    sendControl(platformPort, R"({"down":true})");
    signalAndWait("endpoint-a", SIGKILL);
    signalAndWait("endpoint-b", SIGKILL);
    launchDaemon("endpoint-a");
    waitUntilReady("endpoint-a");
    waitUntil("the new process is used", [] { return tokenTextOf(chat(entryAPort, "t", 5).body) == expectedChat("t", 5); });
}

TEST_F(process_test, AnEntryIsNotReadyBeforeTheClaimLogAnswers)
{
    signalAndWait("entry-a", SIGKILL);
    sendControl(platformPort, R"({"holdStream":"claims"})");
    launchDaemon("entry-a");
    const auto status = [] { return nlohmann::json::parse(fetch(adminBasePort + 3, "/status"), nullptr, false); };
    waitUntil("all endpoints are usable", [&] {
        const auto page = status();
        return page.is_object() && page.value("usableEndpoints", 0) == 3;
    });
    EXPECT_FALSE(status().value("ready", true)) << "the entry is ready before the claim log has answered";
    sendControl(platformPort, R"({"holdStream":""})");
    waitUntilReady("entry-a", 3);
    EXPECT_EQ(book(entryAPort, "first", "key-of-first").status, 200);
}

TEST_F(process_test, EveryProcessAppliesAConfigurationChange)
{
    http_log_service log("http://127.0.0.1:" + std::to_string(platformPort));
    const traffic_class newClass{.name = "fresh", .tier = 3, .endpoints = {"e-a"}};
    const log_offset offset = log.append(
        configurationStream, {makeChangeRecord({.changeId = "x", .author = "a", .changedAt = "now", .baseVersion = 0, .isDelete = false, .value = newClass})});
    for (int index = 0; index < 5; ++index) {
        waitUntil("the change is applied",
                  [&] { return nlohmann::json::parse(fetch(adminBasePort + index, "/status")).value("configuration", log_offset{0}) >= offset; });
    }
}

TEST_F(process_test, ACallerThatDisconnectsFreesItsSlot)
{
    const auto reply = chat(entryAPort, "t", 5000, [](const std::string &received) { return received.size() < 200; });
    EXPECT_TRUE(reply.isIncomplete);
    waitUntil("both engines are idle", [] {
        return nlohmann::json::parse(fetch(engineAPort, "/stats"))["running"] == 0 && nlohmann::json::parse(fetch(engineBPort, "/stats"))["running"] == 0;
    });
}

TEST_F(process_test, InvalidRequestsGetTheirErrorStatusAndTheDaemonContinues)
{
    const std::string url = "http://127.0.0.1:" + std::to_string(entryAPort);
    const header_list key{"Authorization: Bearer key-of-the-tests"};
    EXPECT_EQ(callHttp("POST", url + "/v1/chat/completions", "{", key).status, 400);
    EXPECT_EQ(callHttp("POST", url + "/v1/chat/completions", R"({"model":"none","messages":[1]})", key).status, 404);
    EXPECT_EQ(callHttp("POST", url + "/v1/chat/completions", "{}", {}).status, 401);
    EXPECT_EQ(callHttp("GET", url + "/elsewhere", "", key).status, 404);
    EXPECT_EQ(callHttp("POST", url + "/v1/chat/completions", std::string(100000, 'x'), key).status, 413);
    EXPECT_EQ(callHttp("POST", url + "/services/booking/deposits", "{}", {key[0], "Idempotency-Key: " + std::string(300, 'k')}).status, 400);
    EXPECT_EQ(tokenTextOf(chat(entryAPort, "t", 3).body), expectedChat("t", 3));
}

TEST_F(process_test, KeysRotateWithoutARestart)
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
            waitUntil(name + " has reloaded its keys", [&] { return hasEventInLog(name, "keys_reloaded"); });
        }
    }
    signalAndWait("endpoint-a", SIGKILL);
    launchDaemon("endpoint-a");
    waitUntilReady("entry-a", 3);
    EXPECT_EQ(tokenTextOf(chat(entryAPort, "t", 3).body), expectedChat("t", 3));
}

/// Connects to a port, sends raw bytes and returns the open socket.
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
    EXPECT_EQ(tokenTextOf(chat(entryAPort, "t", 3).body), expectedChat("t", 3));
    for (const int socket : sockets) {
        close(socket);
    }
    EXPECT_EQ(tokenTextOf(chat(entryBPort, "t", 3).body), expectedChat("t", 3));
}

TEST_F(process_test, ASecondProcessForTheSameSlotExits)
{
    launch("duplicate", {SHUNT_DAEMON, "--config=/nonexistent"});
    EXPECT_EQ(waitForExit("duplicate"), 2);
    signalProcess("endpoint-a", SIGSTOP);
    const std::string settings = ::testing::TempDir() + "/duplicate.yaml";
    FILE *file = fopen(settings.c_str(), "w");
    fputs(("role: endpoint\ninstance: duplicate\nzone: z\nlisten: {address: 127.0.0.1, port: " + std::to_string(peerBasePort)
           + "}\nadmin: {address: 127.0.0.1, port: 21499}\nplatform: {log: \"http://127.0.0.1:21000\", instances: \"http://127.0.0.1:21000\"}\n"
             "peerKeys: [{name: k, secret: secret-of-the-tests}]\nendpoint: {name: e-a, url: \"http://127.0.0.1:21100\"}\nlogging: {console: false}\n")
              .c_str(),
          file);
    fclose(file);
    launch("duplicate", {SHUNT_DAEMON, "--config=" + settings});
    EXPECT_EQ(waitForExit("duplicate"), 1);
    signalProcess("endpoint-a", SIGCONT);
}

} // namespace
} // namespace wisteriashunt::testing

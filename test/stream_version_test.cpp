// Tests that streams go on only at endpoints of the software version that began them, with entries on real sockets.
#include "fault_proxy.h"
#include "gateway_fixture.h"

#include <atomic>
#include <set>

namespace wisteriashunt::testing
{
namespace
{

constexpr int eventsInStream = 6;
constexpr int eventsBeforeBreak = 2;

/// Status of an answer; 0 if there is none.
int statusOf(const std::string &answer)
{
    constexpr std::size_t begin = 9;
    constexpr std::size_t size = 3;
    return answer.size() < begin + size ? 0 : std::stoi(answer.substr(begin, size));
}

/// Versions that wrote events of the answer.
std::set<std::string> versionsIn(const std::string &answer)
{
    constexpr std::string_view field = "data: ";
    std::set<std::string> versions;
    for (auto at = answer.find(field); at != std::string::npos; at = answer.find(field, at + 1)) {
        versions.insert(answer.substr(at + field.size(), answer.find('\n', at) - at - field.size()));
    }
    return versions;
}

int lastEventIn(const std::string &answer)
{
    const auto at = answer.rfind("id: ");
    return at == std::string::npos ? 0 : std::stoi(answer.substr(at + 4));
}

bool isWhole(const std::string &answer)
{
    return statusOf(answer) == 200 && answer.ends_with("0\r\n\r\n");
}

/// Two entries in front of endpoints of two software versions. Every event names the version of the endpoint that wrote it.
class stream_version_test : public gateway_test
{
protected:
    /// Lists an endpoint of a version. It ends streams after two events that begin, or also those that go on; see m_breaksResumed.
    void addEndpoint(const std::string &version)
    {
        m_endpoints.push_back(std::make_unique<loopback_server>([this, version](const received_request &got) { return serve(got, version); }));
        m_log.putEndpoint(idOf(m_endpoints.size() - 1), m_endpoints.back()->port(), "ready", version);
    }

    static std::string idOf(std::size_t endpoint)
    {
        return "e" + std::to_string(endpoint);
    }

    void launchEntries()
    {
        launch(settingsForTests(m_ports, m_log.port(), {m_ports.control}));
        launch(settingsForTests(m_other, m_log.port(), {m_ports.control}));
        waitUntilReady(m_ports.readiness);
        waitUntilReady(m_other.readiness);
    }

    [[nodiscard]] std::string begin(const entry_ports &entry, const std::string &attempt) const
    {
        return callOnceAt(entry.callers, draft(attempt, ""));
    }

    [[nodiscard]] std::string resume(const entry_ports &entry, const std::string &attempt, const std::string &resumed, int after) const
    {
        return callOnceAt(entry.callers, draft(attempt, "Resumes: " + resumed + "\r\nLast-Event-Id: " + std::to_string(after) + "\r\n"));
    }

    static std::string draft(const std::string &attempt, const std::string &fields)
    {
        return "POST /draft/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attempt
            + "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n" + fields + "\r\n";
    }

    /// Lets entries tell each other of streams.
    static void waitForDigests()
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(600));
    }

    entry_ports m_other;
    std::atomic<bool> m_breaksResumed{false};
    std::atomic<bool> m_breaksFirst{true};

private:
    scripted_response serve(const received_request &got, const std::string &version) const
    {
        const auto after = findHeader(got.headers, "last-event-id");
        const int first = !after ? 1 : std::stoi(*after) + 1;
        const bool breaks = !after ? m_breaksFirst : m_breaksResumed;
        const int last = breaks ? std::min(first + eventsBeforeBreak - 1, eventsInStream - 1) : eventsInStream;
        scripted_response stream{.parts = {okHead(got) + "Transfer-Encoding: chunked\r\n\r\n"}, .closes = breaks};
        for (int number = first; number <= last; ++number) {
            stream.parts.push_back(chunk("id: " + std::to_string(number) + "\ndata: " + version + "\n\n"));
        }
        if (!breaks) {
            stream.parts.emplace_back("0\r\n\r\n");
        }
        return stream;
    }
};

TEST_F(stream_version_test, AnAnswerGoesOnAtTheVersionThatBeganIt)
{
    for (const std::string version : {"v1", "v1", "v2", "v2", "V1", ""}) {
        addEndpoint(version);
    }
    launchEntries();
    // Each stream takes a retry. Entries that have not heard each other allow few, and one alone fewer than 24.
    waitForDigests();
    std::set<std::string> begun;
    for (int i = 0; i < 24; ++i) {
        const auto answer = begin(i % 2 == 0 ? m_ports : m_other, "a" + std::to_string(i));
        EXPECT_EQ(versionsIn(answer).size(), 1U) << answer;
        begun.merge(versionsIn(answer));
        const bool isOnlyOne = answer.find("data: v") == std::string::npos;
        EXPECT_TRUE(isWhole(answer) || isOnlyOne) << "another endpoint of its version serves: " << answer;
    }
    EXPECT_GT(begun.size(), 1U) << "expected streams at more than one version";
}

TEST_F(stream_version_test, AnAnswerWithoutAnEndpointOfItsVersionEndsAtOnce)
{
    addEndpoint("v1");
    addEndpoint("v2");
    launchEntries();
    for (int i = 0; i < 6; ++i) {
        const auto answer = begin(m_ports, "a" + std::to_string(i));
        EXPECT_EQ(versionsIn(answer).size(), 1U) << answer;
        EXPECT_FALSE(isWhole(answer)) << answer;
    }
}

TEST_F(stream_version_test, ACallerGoesOnAtTheVersionThatBeganAtAnotherEntry)
{
    for (const std::string version : {"v1", "v1", "v2", "v2"}) {
        addEndpoint(version);
    }
    launchEntries();
    waitForDigests();
    m_breaksResumed = true;
    std::vector<std::string> answers;
    for (int i = 0; i < 16; ++i) {
        answers.push_back(begin(m_ports, "a" + std::to_string(i)));
    }
    waitForDigests();
    m_breaksResumed = false;
    int whole = 0;
    for (int i = 0; i < 16; ++i) {
        const auto first = answers[static_cast<std::size_t>(i)];
        const auto second = resume(m_other, "b" + std::to_string(i), "a" + std::to_string(i), lastEventIn(first));
        EXPECT_EQ(versionsIn(first + second).size(), 1U) << first << second;
        whole += isWhole(second) ? 1 : 0;
    }
    EXPECT_EQ(whole, 16) << "streams that went on, of 16";
}

TEST_F(stream_version_test, ACallerGoesOnAfterTwoBrokenTriesAtDifferentEntries)
{
    for (const std::string version : {"v1", "v1", "v2", "v2"}) {
        addEndpoint(version);
    }
    launchEntries();
    waitForDigests();
    for (int i = 0; i < 8; ++i) {
        const auto name = std::to_string(i);
        m_breaksResumed = true;
        const auto first = begin(m_ports, "a" + name);
        waitForDigests();
        const auto second = resume(m_other, "b" + name, "a" + name, lastEventIn(first));
        m_breaksResumed = false;
        const auto third = resume(m_ports, "c" + name, "a" + name, std::max(lastEventIn(first), lastEventIn(second)));
        EXPECT_EQ(versionsIn(first + second + third).size(), 1U) << first << second << third;
        EXPECT_TRUE(isWhole(third)) << third;
    }
}

TEST_F(stream_version_test, AResumptionWithoutAnEndpointOfItsVersionIsRefused)
{
    addEndpoint("v1");
    launchEntries();
    m_breaksResumed = true;
    const auto first = begin(m_ports, "a1");
    ASSERT_EQ(versionsIn(first), std::set<std::string>{"v1"}) << first;
    addEndpoint("v2");
    m_log.dropEndpoint(idOf(0));
    waitForDigests();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    m_breaksResumed = false;
    const auto second = resume(m_ports, "b1", "a1", lastEventIn(first));
    EXPECT_EQ(statusOf(second), 503) << second;
    EXPECT_NE(second.find("Retry-After"), std::string::npos) << second;
}

TEST_F(stream_version_test, AResumptionOfAnUnknownStreamIsRefusedWhileTwoVersionsServe)
{
    addEndpoint("v1");
    addEndpoint("v2");
    launchEntries();
    for (int i = 0; i < 4; ++i) {
        const auto answer = resume(m_ports, "b" + std::to_string(i), "unknown", 2);
        EXPECT_EQ(statusOf(answer), 503) << answer;
    }
}

TEST_F(stream_version_test, StreamsGoOnAfterAllEntriesEndedWhileTwoVersionsServe)
{
    for (const std::string version : {"v1", "v1", "v2", "v2"}) {
        addEndpoint(version);
    }
    launchEntries();
    waitForDigests();
    m_breaksResumed = true;
    std::vector<std::string> answers;
    for (int i = 0; i < 16; ++i) {
        answers.push_back(begin(i % 2 == 0 ? m_ports : m_other, "a" + std::to_string(i)));
    }
    waitForDigests();
    endEntries();
    launchEntries();
    waitForDigests();
    m_breaksResumed = false;
    int whole = 0;
    for (int i = 0; i < 16; ++i) {
        const auto first = answers[static_cast<std::size_t>(i)];
        const auto second = resume(i % 3 == 0 ? m_ports : m_other, "b" + std::to_string(i), "a" + std::to_string(i), lastEventIn(first));
        EXPECT_EQ(versionsIn(first + second).size(), 1U) << first << second;
        whole += isWhole(second) ? 1 : 0;
    }
    EXPECT_EQ(whole, 16) << "streams that went on, of 16";
}

TEST_F(stream_version_test, StreamsGoOnAfterAllEntriesEndedIfOneVersionServes)
{
    addEndpoint("v1");
    addEndpoint("v1");
    launchEntries();
    waitForDigests();
    m_breaksResumed = true;
    std::vector<std::string> answers;
    for (int i = 0; i < 8; ++i) {
        answers.push_back(begin(m_ports, "a" + std::to_string(i)));
    }
    endEntries();
    launchEntries();
    waitForDigests();
    m_breaksResumed = false;
    for (int i = 0; i < 8; ++i) {
        const auto second = resume(m_other, "b" + std::to_string(i), "a" + std::to_string(i), lastEventIn(answers[static_cast<std::size_t>(i)]));
        EXPECT_TRUE(isWhole(second)) << second;
    }
}

TEST_F(stream_version_test, AStreamOfAVersionThatLeftWhileAllEntriesWereDownIsNotContinuedByAnother)
{
    addEndpoint("v1");
    launchEntries();
    m_breaksResumed = true;
    const auto first = begin(m_ports, "a1");
    ASSERT_EQ(versionsIn(first), std::set<std::string>{"v1"}) << first;
    endEntries();
    addEndpoint("v2");
    m_log.dropEndpoint(idOf(0));
    launchEntries();
    waitForDigests();
    m_breaksResumed = false;
    const auto second = resume(m_ports, "b1", "a1", lastEventIn(first));
    EXPECT_EQ(statusOf(second), 503) << second;
}

TEST_F(stream_version_test, StreamsWhoseVersionLeftAreRefusedAfterAllEntriesEnded)
{
    addEndpoint("v1");
    addEndpoint("v2");
    launchEntries();
    waitForDigests();
    m_breaksResumed = true;
    std::vector<std::string> answers;
    for (int i = 0; i < 8; ++i) {
        answers.push_back(begin(m_ports, "a" + std::to_string(i)));
    }
    waitForDigests();
    endEntries();
    m_log.dropEndpoint(idOf(0));
    launchEntries();
    waitForDigests();
    m_breaksResumed = false;
    for (int i = 0; i < 8; ++i) {
        const auto first = answers[static_cast<std::size_t>(i)];
        const auto second = resume(m_other, "b" + std::to_string(i), "a" + std::to_string(i), lastEventIn(first));
        const bool isServed = versionsIn(first).contains("v2");
        EXPECT_EQ(statusOf(second), isServed ? 200 : 503) << second;
        EXPECT_EQ(versionsIn(first + second).size(), 1U) << first << second;
    }
}

/// An entry whose link to the log can be cut, and one that always reads it.
class cut_off_entry_test : public stream_version_test
{
protected:
    void SetUp() override
    {
        addEndpoint("v1");
        m_breaksResumed = true;
    }

    /// Starts both, and waits until they know that one version has served alone.
    void launchBoth(bool haveLink)
    {
        launch(settingsForTests(m_ports, m_logLink.port()));
        launch(settingsForTests(m_other, m_log.port(), haveLink ? std::vector{m_ports.control} : std::vector<std::uint16_t>{}));
        waitUntilReady(m_ports.readiness);
        waitUntilReady(m_other.readiness);
        waitForDigests();
    }

    fault_proxy m_logLink{m_log.port()};
};

// An entry that is cut off for a moment took streams of a version that it had not heard of for those of the one that it knew.
TEST_F(cut_off_entry_test, DoesNotTakeUpAStreamOfAVersionThatWasListedMeanwhile)
{
    launchBoth(false);
    m_logLink.set(link_state::silent);
    addEndpoint("v2");
    m_log.dropEndpoint(idOf(0));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const auto first = begin(m_other, "a1");
    ASSERT_EQ(versionsIn(first), std::set<std::string>{"v2"}) << first;
    m_breaksResumed = false;
    const auto second = resume(m_ports, "b1", "a1", lastEventIn(first));
    EXPECT_EQ(statusOf(second), 503) << second;
    m_logLink.set(link_state::up);
    const auto third = resume(m_ports, "c1", "a1", lastEventIn(first));
    EXPECT_EQ(versionsIn(first + third).size(), 1U) << first << third;
}

TEST_F(cut_off_entry_test, ReadsTheListBeforeItTakesUpAStreamThatItDoesNotKnow)
{
    launchBoth(false);
    const auto first = begin(m_other, "a1");
    ASSERT_EQ(versionsIn(first), std::set<std::string>{"v1"}) << first;
    m_breaksResumed = false;
    EXPECT_TRUE(isWhole(resume(m_ports, "b1", "a1", lastEventIn(first))));
    addEndpoint("v2");
    const auto third = resume(m_ports, "c1", "a1", lastEventIn(first));
    EXPECT_EQ(statusOf(third), 503) << "a version has come that has not been read before: " << third;
}

TEST_F(cut_off_entry_test, HasAPeerReadTheListIfTheLogDoesNotAnswer)
{
    launchBoth(true);
    m_logLink.set(link_state::reset);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    m_breaksResumed = false;
    EXPECT_TRUE(isWhole(resume(m_ports, "b1", "unknown", 2)));
}

/// Take-ups that wait for a reading of the list while the declarations change.
class waiting_take_up_test : public stream_version_test
{
protected:
    void SetUp() override
    {
        addEndpoint("v1");
        m_breaksFirst = false;
        launch(settingsForTests(m_ports, m_log.port()));
        waitUntilReady(m_ports.readiness);
        waitForDigests();
    }

    /// Sends take-ups of a stream that the entry does not know, and lets the list be read once the change has taken effect.
    [[nodiscard]] std::vector<std::string> takeUpDuring(const std::function<void()> &change)
    {
        constexpr int takeUps = 4;
        m_log.holdReads("keyed.servers");
        std::vector<std::unique_ptr<raw_caller>> callers;
        for (int i = 0; i < takeUps; ++i) {
            callers.push_back(std::make_unique<raw_caller>(m_ports.callers));
            callers.back()->send(draft("b" + std::to_string(i), "Connection: close\r\nResumes: unknown\r\nLast-Event-Id: 2\r\n"));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        change();
        std::this_thread::sleep_for(std::chrono::milliseconds(250));
        m_log.holdReads("");
        std::vector<std::string> answers;
        for (auto &caller : callers) {
            answers.push_back(caller->readAll());
        }
        return answers;
    }

    void declare(const nlohmann::json &declarations)
    {
        m_log.put("keyed.op", "config", declarations.dump());
    }

    /// The declarations in a later version, with the route of the take-ups under this name.
    [[nodiscard]] nlohmann::json nextVersion(const std::string &routeName)
    {
        auto declarations = declarationsForTests();
        declarations["version"] = ++m_version;
        declarations["routes"].back()["name"] = routeName;
        return declarations;
    }

private:
    int m_version = 1;
};

// An entry that leaves kept a pointer into a freed version of the declarations and ended by an exception, with all requests that it had taken.
TEST_F(waiting_take_up_test, AreServedByAnEntryThatLeavesAndGetsNewDeclarations)
{
    const auto answers = takeUpDuring([this] {
        declare(nextVersion("renamed-to-a-name-that-is-not-stored-in-place"));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        requestStop();
    });
    for (const auto &answer : answers) {
        EXPECT_TRUE(isWhole(answer)) << answer;
    }
}

TEST_F(waiting_take_up_test, FollowTheDeclarationsOfTheTimeAtWhichTheyGoOn)
{
    const auto statusesAfter = [this](const std::function<void(nlohmann::json &)> &change) {
        declare(nextVersion("a-route-of-resumable-streams"));
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        auto declarations = nextVersion("the-route-in-the-version-after-it");
        change(declarations);
        std::set<int> statuses;
        for (const auto &answer : takeUpDuring([&] { declare(declarations); })) {
            statuses.insert(statusOf(answer));
        }
        return statuses;
    };
    EXPECT_EQ(statusesAfter([](auto &) {}), std::set<int>{200}) << "renamed";
    EXPECT_EQ(statusesAfter([](auto &declarations) { declarations["routes"].back()["kind"] = "safe"; }), std::set<int>{200}) << "no longer a stream";
    EXPECT_EQ(statusesAfter([](auto &declarations) { declarations["tenants"][0]["api_keys"] = {"key-2"}; }), std::set<int>{401}) << "other keys";
    EXPECT_EQ(statusesAfter([](auto &declarations) { declarations["routes"].erase(declarations["routes"].size() - 1); }), std::set<int>{404}) << "removed";
}

TEST_F(stream_version_test, AStreamThatBrokeBeforeItsFirstEventMayBeginAtAnyVersion)
{
    m_endpoints.push_back(std::make_unique<loopback_server>(
        [](const received_request &got) { return scripted_response{.parts = {okHead(got) + "Transfer-Encoding: chunked\r\n\r\n"}, .closes = true}; }));
    m_log.putEndpoint(idOf(0), m_endpoints.back()->port(), "ready", "v1");
    addEndpoint("v2");
    m_breaksFirst = false;
    launchEntries();
    for (int i = 0; i < 4; ++i) {
        const auto answer = begin(m_ports, "a" + std::to_string(i));
        EXPECT_EQ(versionsIn(answer), std::set<std::string>{"v2"}) << answer;
        EXPECT_TRUE(isWhole(answer)) << answer;
    }
}

} // namespace
} // namespace wisteriashunt::testing

// Runs entry processes under load through planned restarts, kills, freezes and broken links. Checks the guarantees to callers against the
// answers that callers received and the requests that endpoints ran.
#include "child_process.h"
#include "entry_standins.h"
#include "fault_proxy.h"
#include "platform/adapter.h"
#include "rate_limit_judge.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <random>
#include <set>
#include <sys/wait.h>
#include <unistd.h>

namespace wisteriashunt::testing
{
namespace
{

constexpr int endpoints = 3;
constexpr int eventsInStream = 12;
constexpr std::string_view lastChunk = "0\r\n\r\n";

/// Number of entries, at least the three that faults hit; WISTERIASHUNT_SOAK_ENTRIES sets it.
int entryCount()
{
    constexpr int least = 3;
    const char *text = std::getenv("WISTERIASHUNT_SOAK_ENTRIES");
    return text == nullptr ? least : std::max(least, std::stoi(text));
}

const int entries = entryCount();
const int callers = std::max(12, entries);

/// Counts how often endpoints ran each attempt.
class run_counter
{
public:
    void note(const std::string &attempt)
    {
        const std::lock_guard lock(m_mutex);
        ++m_runs[attempt];
    }
    [[nodiscard]] int runsOf(const std::string &attempt) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_runs.find(attempt);
        return found == m_runs.end() ? 0 : found->second;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_runs;
};

/// One request and the bytes that its caller received.
struct outcome
{
    std::string attempt;
    std::string kind;
    std::string answer;
    int entry = 0;
    /// Streams that were taken up: the attempt that brought the first event, its software version, and the last event before this answer.
    std::string resumed;
    std::string version;
    int resumedAfter = 0;
    /// No fault had been injected when the answer ended; only planned restarts.
    bool isBeforeFaults = false;

    [[nodiscard]] int status() const
    {
        constexpr std::size_t statusBegin = 9;
        constexpr std::size_t statusSize = 3;
        return answer.size() < statusBegin + statusSize ? 0 : std::stoi(answer.substr(statusBegin, statusSize));
    }
    [[nodiscard]] bool isStream() const
    {
        return kind == "talk" || kind == "draft";
    }
    /// Bytes of the body, without the framing of chunks.
    [[nodiscard]] std::string body() const
    {
        std::string bytes;
        response_reader reader({.onHead = [](http_response_head &) {}, .onBody = [&](std::string_view part) { bytes.append(part); }, .onComplete = [] {}});
        static_cast<void>(reader.feed(answer));
        return bytes;
    }
    /// Number of the last whole event; resumedAfter if there is none.
    [[nodiscard]] int lastEvent() const
    {
        const auto text = body();
        const auto end = text.rfind("\n\n");
        const auto begin = end == std::string::npos ? end : text.rfind("id: ", end);
        return begin == std::string::npos ? resumedAfter : std::stoi(text.substr(begin + 4));
    }
    /// Software version that wrote the first event; the one that is expected if there is none.
    [[nodiscard]] std::string firstVersion() const
    {
        const auto text = body();
        const auto begin = text.find(" v");
        return begin == std::string::npos ? version : text.substr(begin + 1, 2);
    }
    [[nodiscard]] bool isWhole() const
    {
        if (isStream() && status() == 200) {
            return answer.ends_with(lastChunk);
        }
        const auto length = answer.find("Content-Length: ");
        return length != std::string::npos && body().size() == std::stoul(answer.substr(length + 16));
    }
};

/// Seed of the order of the faults; WISTERIASHUNT_SOAK_SEED sets another one.
unsigned soakSeed()
{
    const char *text = std::getenv("WISTERIASHUNT_SOAK_SEED");
    return text == nullptr ? 20261204U : static_cast<unsigned>(std::stoul(text));
}

/// Software version of an endpoint. Two versions serve all the time.
std::string versionOf(const std::string &endpointId)
{
    return endpointId == "e0" || endpointId == "e2" ? "v1" : "v2";
}

std::string eventOf(const std::string &attempt, const std::string &version, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + attempt + " " + version + "\n\n";
}

class entry_soak_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_directory = std::filesystem::temp_directory_path() / ("entry_soak_" + std::to_string(getpid()));
        std::filesystem::create_directories(m_directory);
        for (int i = 0; i < endpoints; ++i) {
            m_servers.push_back(std::make_unique<loopback_server>([this, i](const received_request &got) { return serve(got, i); }));
            m_links.push_back(std::make_unique<fault_proxy>(m_servers.back()->port()));
            putEndpoint("e" + std::to_string(i), i);
        }
        for (int i = 0; i < entries; ++i) {
            std::ofstream(settingsPath(i)) << settingsForTests(m_ports[i], m_logLink.port(), {m_ports[0].control, m_ports[1].control});
            launch(i);
        }
        waitUntil("all entries are ready", [this] { return allReady(); });
        m_threads.emplace_back([this] { runBalancer(); });
        for (int i = 0; i < callers; ++i) {
            m_threads.emplace_back([this, i] { runCaller(i); });
        }
    }

    void TearDown() override
    {
        stopCallers();
        for (const auto process : m_processes) {
            if (process > 0) {
                kill(process, SIGKILL);
                waitpid(process, nullptr, 0);
            }
        }
        std::filesystem::remove_all(m_directory);
    }

    void stopCallers()
    {
        m_isStopping = true;
        for (auto &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }

    [[nodiscard]] std::string settingsPath(int entry) const
    {
        return (m_directory / ("entry-" + std::to_string(entry) + ".json")).string();
    }

    /// Lists an endpoint at the address of a link.
    void putEndpoint(const std::string &id, int link, const std::string &state = "ready")
    {
        m_log.putEndpoint(id, m_links[static_cast<std::size_t>(link)]->port(), state, versionOf(id));
    }

    void launch(int entry)
    {
        m_processes[entry] = startProcess({SHUNT_ENTRY}, settingsPath(entry) + ".log", {std::string(platform::settingsVariable) + "=" + settingsPath(entry)});
    }

    void putDeclarations()
    {
        auto declarations = declarationsForTests();
        declarations["version"] = m_version;
        for (auto &route : declarations["routes"]) {
            route["name"] = route["name"].get<std::string>() + "-of-version-" + std::to_string(m_version);
        }
        m_log.put("keyed.op", "config", declarations.dump());
    }

    /// Brings a new version of the declarations, in which all routes have other names.
    void declareNextVersion()
    {
        ++m_version;
        putDeclarations();
    }

    /// Stops and starts entries, each while another one may still be leaving, beside new versions and signals in any order.
    void restartInSeries(std::mt19937 &random, const std::vector<int> &series)
    {
        constexpr int maxPause = 100;
        for (const int entry : series) {
            declareNextVersion();
            kill(m_processes[entry], SIGHUP);
            sleepMilliseconds(static_cast<int>(random() % maxPause));
            kill(m_processes[entry], SIGTERM);
            declareNextVersion();
            sleepMilliseconds(static_cast<int>(random() % maxPause));
            kill(m_processes[entry], SIGHUP);
        }
        for (const int entry : series) {
            EXPECT_EQ(waitForEnd(entry), 0) << "entry " << entry;
            launch(entry);
        }
        waitUntil("all entries are ready", [this] { return allReady(); });
    }

    /// Changes the limit on requests per second that an endpoint declares.
    void declareLimit(std::size_t endpoint, std::optional<double> perSecond)
    {
        const std::lock_guard lock(m_limitsMutex);
        m_limits[endpoint] = perSecond;
        m_judges[endpoint].declare(perSecond, m_clock.now());
    }

    /// Changes limits at random until the callers stop. All endpoints may have one at the same time.
    void changeLimits()
    {
        constexpr std::array<double, 5> perSecond{0, 0.5, 3, 10, 30};
        std::mt19937 random(soakSeed());
        while (!m_isStopping && !m_areLimitsOver) {
            const auto choice = random() % (perSecond.size() + 1);
            declareLimit(random() % endpoints, choice < perSecond.size() ? std::optional(perSecond[choice]) : std::nullopt);
            sleepMilliseconds(static_cast<int>(200 + random() % 2500));
        }
    }

    /// Stops the changes and withdraws all limits.
    void endLimits()
    {
        m_areLimitsOver = true;
        for (std::size_t i = 0; i < endpoints; ++i) {
            declareLimit(i, std::nullopt);
        }
    }

    /// The rule on limits does not count requests of an entry that was disturbed until it has been well for three seconds.
    void excuseFromLimits(int entry)
    {
        const std::lock_guard lock(m_limitsMutex);
        for (auto &judge : m_judges) {
            judge.excuse(std::to_string(entry), m_clock.now() + std::chrono::seconds(3));
        }
    }

    /// Returns the log from a copy that is older than the faults before; what was written since is written again somewhat later.
    void restoreLog(const std::function<void()> &meanwhile = [] {})
    {
        m_log.restore(std::chrono::milliseconds(2500));
        meanwhile();
        sleepMilliseconds(700);
        putDeclarations();
        const std::array<std::string, endpoints> ids{"e0", "e1", m_thirdEndpoint};
        for (int i = 0; i < endpoints; ++i) {
            putEndpoint(ids[i], i);
        }
        // Records of endpoints that are gone expire.
        if (m_thirdEndpoint != "e2") {
            m_log.dropEndpoint("e2");
        }
        sleepMilliseconds(700);
    }

    /// Waits until an entry exits. Returns its exit status, or the negated number of the signal that killed it.
    int waitForEnd(int entry)
    {
        int status = 0;
        waitpid(m_processes[entry], &status, 0);
        m_processes[entry] = 0;
        return exitStatusOf(status);
    }

    [[nodiscard]] bool allReady() const
    {
        return std::all_of(m_ports.begin(), m_ports.end(), [](const entry_ports &ports) { return readinessStatus(ports.readiness) == 200; });
    }

    static void sleepMilliseconds(int milliseconds)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    }

    [[nodiscard]] std::vector<outcome> outcomes() const
    {
        const std::lock_guard lock(m_mutex);
        return m_outcomes;
    }

    std::filesystem::path m_directory;
    fake_log m_log;
    fault_proxy m_logLink{m_log.port()};
    run_counter m_runCounter;
    std::vector<std::unique_ptr<loopback_server>> m_servers;
    std::vector<std::unique_ptr<fault_proxy>> m_links;
    std::vector<entry_ports> m_ports = std::vector<entry_ports>(static_cast<std::size_t>(entries));
    std::vector<pid_t> m_processes = std::vector<pid_t>(static_cast<std::size_t>(entries));
    std::atomic<bool> m_isBeforeFaults{true};
    boot_clock m_clock;
    std::mutex m_limitsMutex;
    std::array<std::optional<double>, endpoints> m_limits;
    std::array<rate_limit_judge, endpoints> m_judges;
    std::atomic<bool> m_areLimitsOver{false};
    std::atomic<bool> m_isStopping{false};
    /// ID of the endpoint behind the third link.
    std::string m_thirdEndpoint = "e2";
    int m_version = 1;

private:
    /// Probes readiness like the platform's balancer: an entry that fails two probes in a row gets no new connections.
    void runBalancer()
    {
        std::vector<int> misses(static_cast<std::size_t>(entries));
        while (!m_isStopping) {
            for (int i = 0; i < entries; ++i) {
                misses[i] = readinessStatus(m_ports[i].readiness) == 200 ? 0 : misses[i] + 1;
                m_isInRotation[i] = misses[i] < 2;
            }
            sleepMilliseconds(100);
        }
    }

    /// Records the arrival at the endpoint, and returns the field that declares the endpoint's limit, if it has one.
    std::string limitField(const received_request &got, int endpoint)
    {
        const auto entry = findHeader(got.headers, "x-entry");
        const auto name = !entry ? "" : *entry;
        const std::lock_guard lock(m_limitsMutex);
        auto &judge = m_judges[static_cast<std::size_t>(endpoint)];
        const auto &limit = m_limits[static_cast<std::size_t>(endpoint)];
        judge.receive(name, m_clock.now());
        judge.tell(name, m_clock.now());
        return limit ? "Server-Limit: " + std::to_string(*limit) + "\r\n" : "";
    }

    scripted_response serve(const received_request &got, int endpoint)
    {
        const auto attempt = attemptIdOf(got);
        const auto limit = limitField(got, endpoint);
        constexpr int rejectionInterval = 20;
        if (!m_isBeforeFaults && ++m_served % rejectionInterval == 0) {
            return {.parts = {withLength("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n" + limit, "")}};
        }
        m_runCounter.note(attempt);
        if (got.target.starts_with("/read/") || got.target.starts_with("/book/")) {
            // About a third of the duration of a stream, so that faults also hit running operations. Some last well into a grace period.
            constexpr int longInterval = 25;
            sleepMilliseconds(++m_operations % longInterval == 0 ? 1500 : 30);
            return {.parts = {withLength(okHead(got) + limit, attempt)}};
        }
        const auto version = versionOf(*findHeader(got.headers, "x-expect-instance"));
        const auto after = findHeader(got.headers, "last-event-id");
        const int first = !after ? 1 : std::stoi(*after) + 1;
        constexpr int unframedInterval = 5;
        if (!m_isBeforeFaults && m_served % unframedInterval == 0) {
            return streamWithoutLength(okHead(got) + limit, attempt, version, first);
        }
        scripted_response stream{.parts = {okHead(got) + limit + "Transfer-Encoding: chunked\r\n\r\n"}, .pause = std::chrono::milliseconds(8)};
        for (int number = first; number <= eventsInStream; ++number) {
            stream.parts.push_back(chunk(eventOf(attempt, version, number)));
        }
        stream.parts.emplace_back(lastChunk);
        return stream;
    }

    /// A stream that ends with its connection; every other one is broken off within an event.
    scripted_response streamWithoutLength(const std::string &head, const std::string &attempt, const std::string &version, int first)
    {
        const bool isBrokenOff = ++m_unframed % 2 == 0;
        scripted_response stream{.parts = {head + "\r\n"}, .pause = std::chrono::milliseconds(8), .closes = true};
        for (int number = first; number <= eventsInStream; ++number) {
            const auto event = eventOf(attempt, version, number);
            if (isBrokenOff && number == (first + eventsInStream) / 2) {
                stream.parts.push_back(event.substr(0, event.size() - 1));
                break;
            }
            stream.parts.push_back(event);
        }
        return stream;
    }

    /// Sends the request of the outcome and reads its answer.
    static void send(raw_caller &caller, outcome &result)
    {
        const auto resumption =
            result.resumed.empty() ? "" : "Resumes: " + result.resumed + "\r\nLast-Event-Id: " + std::to_string(result.resumedAfter) + "\r\n";
        caller.send("POST /" + result.kind + "/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + result.attempt + "\r\nX-Entry: "
                    + std::to_string(result.entry) + "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n" + resumption + "Content-Length: 0\r\n\r\n");
        result.answer = caller.readResponse();
    }

    /// Takes a broken stream up at any entry, at most twice.
    void takeUp(const outcome &broken, std::mt19937 &random)
    {
        constexpr int maxTries = 2;
        auto last = broken;
        for (int i = 0; i < maxTries && last.kind == "draft" && !last.isWhole() && last.lastEvent() > 0 && !m_isStopping; ++i) {
            const auto version = last.firstVersion();
            last = {.attempt = broken.attempt + "-r" + std::to_string(i),
                    .kind = broken.kind,
                    .entry = static_cast<int>(random() % entries),
                    .resumed = broken.attempt,
                    .version = version,
                    .resumedAfter = last.lastEvent()};
            sleepMilliseconds(150);
            try {
                raw_caller caller(m_ports[last.entry].callers);
                send(caller, last);
            } catch (const std::runtime_error &) {
                sleepMilliseconds(5);
            }
            const std::lock_guard lock(m_mutex);
            m_outcomes.push_back(last);
        }
    }

    void runCaller(int number)
    {
        constexpr int maxRequestsPerConnection = 20;
        constexpr std::array kinds{"read", "book", "talk", "draft"};
        std::mt19937 random(static_cast<unsigned>(20261204 + number));
        int made = 0;
        while (!m_isStopping) {
            const int entry = static_cast<int>(random() % entries);
            if (!m_isInRotation[entry]) {
                sleepMilliseconds(5);
                continue;
            }
            try {
                raw_caller caller(m_ports[entry].callers);
                bool isOpen = true;
                for (int i = 0; i < maxRequestsPerConnection && isOpen && !m_isStopping; ++i) {
                    outcome result{.attempt = "c" + std::to_string(number) + "-" + std::to_string(++made),
                                   .kind = kinds[random() % kinds.size()],
                                   .entry = entry,
                                   .isBeforeFaults = m_isBeforeFaults};
                    send(caller, result);
                    // An answer that a fault may have cut is not attributed to the planned restarts.
                    result.isBeforeFaults = result.isBeforeFaults && m_isBeforeFaults;
                    isOpen = result.isWhole() && result.answer.find("Connection: close") == std::string::npos;
                    takeUp(result, random);
                    const std::lock_guard lock(m_mutex);
                    m_outcomes.push_back(std::move(result));
                }
            } catch (const std::runtime_error &) {
                sleepMilliseconds(5);
            }
        }
    }

    std::vector<std::atomic<bool>> m_isInRotation = std::vector<std::atomic<bool>>(static_cast<std::size_t>(entries));
    std::atomic<int> m_served{0};
    std::atomic<int> m_operations{0};
    std::atomic<int> m_unframed{0};
    mutable std::mutex m_mutex;
    std::vector<outcome> m_outcomes;
    std::vector<std::thread> m_threads;
};

void expectGuaranteesKept(const outcome &got, const run_counter &runCounter)
{
    const std::set<int> notRun{408, 421, 429, 503};
    const int runs = runCounter.runsOf(got.attempt);
    const auto what = got.kind + " " + got.attempt + " at entry " + std::to_string(got.entry) + ", status " + std::to_string(got.status());
    if (got.kind == "book" || got.kind == "talk") {
        EXPECT_LE(runs, 1) << what << " ran " << runs << " times, expected at most once";
        EXPECT_TRUE(!notRun.contains(got.status()) || runs == 0) << what << " has a status for requests that did not run, but ran " << runs << " times";
    }
    if (got.status() != 200) {
        return;
    }
    if (!got.isStream()) {
        EXPECT_TRUE(!got.isWhole() || got.body() == got.attempt) << what << " expected its attempt ID as the body, found " << got.body();
        return;
    }
    std::string expected;
    const auto body = got.body();
    const auto version = got.version.empty() ? got.firstVersion() : got.version;
    int number = got.resumedAfter + 1;
    while (number <= eventsInStream && body.size() > expected.size()) {
        expected += eventOf(got.attempt, version, number++);
    }
    EXPECT_TRUE(expected.starts_with(body)) << what << " expected its own events in order, by software version " << version << ", found: " << body;
    EXPECT_TRUE(!got.isWhole() || number == eventsInStream + 1) << what << " ended after event " << number - 1 << ", expected " << eventsInStream << " events";
}

TEST_F(entry_soak_test, PlannedRestartsCutNoRequestAndFaultsBreakNoGuarantee)
{
    std::mt19937 random(soakSeed());
    for (const int entry : {0, 1, 2}) {
        restartInSeries(random, {entry});
    }
    restartInSeries(random, {0, 1});
    constexpr int mostAtOnce = 10;
    for (int first = 3; first < entries; first += mostAtOnce) {
        std::vector<int> series;
        for (int entry = first; entry < std::min(first + mostAtOnce, entries); ++entry) {
            series.push_back(entry);
        }
        restartInSeries(random, series);
    }
    m_isBeforeFaults = false;
    std::thread limits([this] { changeLimits(); });

    std::vector<std::function<void()>> faults{
        [this] {
            excuseFromLimits(0);
            kill(m_processes[0], SIGKILL);
            EXPECT_EQ(waitForEnd(0), -SIGKILL);
            sleepMilliseconds(300);
            launch(0);
            excuseFromLimits(0);
        },
        [this] {
            kill(m_processes[1], SIGSTOP);
            sleepMilliseconds(1500);
            excuseFromLimits(1);
            kill(m_processes[1], SIGCONT);
        },
        [this] {
            // Many short interruptions, so that some hit running operations.
            constexpr int cuts = 10;
            for (int i = 0; i < cuts; ++i) {
                auto &link = *m_links[static_cast<std::size_t>(i) % m_links.size()];
                link.set(link_state::reset);
                sleepMilliseconds(50);
                link.set(link_state::up);
                sleepMilliseconds(100);
            }
        },
        [this] {
            m_links[1]->set(link_state::silent);
            sleepMilliseconds(1500);
            m_links[1]->set(link_state::up);
        },
        [this] {
            m_logLink.set(link_state::reset);
            sleepMilliseconds(1500);
            m_logLink.set(link_state::up);
        },
        [this] {
            m_logLink.silenceOpenConnections();
            declareNextVersion();
            sleepMilliseconds(1500);
        },
        [this] {
            m_logLink.set(link_state::silent);
            excuseFromLimits(2);
            kill(m_processes[2], SIGKILL);
            EXPECT_EQ(waitForEnd(2), -SIGKILL);
            launch(2);
            sleepMilliseconds(1500);
            m_logLink.set(link_state::up);
            excuseFromLimits(2);
        },
        [this] {
            putEndpoint("e2", 2, "draining");
            sleepMilliseconds(800);
            m_log.dropEndpoint("e2");
            sleepMilliseconds(800);
            putEndpoint("e3", 2);
            m_thirdEndpoint = "e3";
        },
        [this] { restoreLog(); },
        [this] {
            // An entry starts while the log lacks what was written last.
            excuseFromLimits(1);
            kill(m_processes[1], SIGKILL);
            EXPECT_EQ(waitForEnd(1), -SIGKILL);
            restoreLog([this] { launch(1); });
            excuseFromLimits(1);
        },
    };
    std::shuffle(faults.begin(), faults.end(), random);
    for (const auto &fault : faults) {
        fault();
        sleepMilliseconds(400);
    }
    endLimits();
    limits.join();
    waitUntil("all entries are ready", [this] { return allReady(); });
    const auto before = outcomes().size();
    waitUntil("every entry has answered a request after the faults", [this, before] {
        const auto all = outcomes();
        std::set<int> served;
        for (auto i = before; i < all.size(); ++i) {
            if (all[i].status() == 200 && all[i].isWhole()) {
                served.insert(all[i].entry);
            }
        }
        return static_cast<int>(served.size()) == entries;
    });
    stopCallers();

    for (std::size_t i = 0; i < endpoints; ++i) {
        EXPECT_LE(m_judges[i].worstExcess(), 0) << "endpoint " << i << ": " << m_judges[i].worst();
    }
    const auto all = outcomes();
    std::map<int, int> byStatus;
    int cut = 0;
    std::map<int, int> takenUp;
    int wentOn = 0;
    for (const auto &got : all) {
        ++byStatus[got.isWhole() ? got.status() : 0];
        cut += got.isWhole() ? 0 : 1;
        takenUp[got.status()] += got.resumed.empty() ? 0 : 1;
        wentOn += !got.resumed.empty() && got.isWhole() && got.status() == 200 ? 1 : 0;
        expectGuaranteesKept(got, m_runCounter);
        if (got.isBeforeFaults) {
            EXPECT_TRUE(got.isWhole() || m_runCounter.runsOf(got.attempt) == 0)
                << got.kind << " " << got.attempt << " ran and was cut by the planned restart of an entry (entry " << got.entry << "): " << got.answer;
            EXPECT_TRUE(!got.isWhole() || got.status() == 200 || got.status() == 429 || got.status() == 503) << got.answer;
        }
    }
    for (const auto &[status, count] : byStatus) {
        RecordProperty("status_" + std::to_string(status), count);
        std::cout << (status == 0 ? "cut" : std::to_string(status)) << ": " << count << '\n';
    }
    for (const auto &[status, count] : takenUp) {
        std::cout << "taken up, status " << status << ": " << count << '\n';
    }
    std::cout << "went on to the end: " << wentOn << '\n';
    EXPECT_GT(byStatus[200], cut) << "expected more complete answers with status 200 than cut ones, of " << all.size() << " requests";
}

} // namespace
} // namespace wisteriashunt::testing

// Runs entry processes in front of endpoints that crash under one request, while entries are restarted, killed and frozen, also together.
#include "child_process.h"
#include "crash_judge.h"
#include "entry_standins.h"
#include "platform/adapter.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sys/wait.h>
#include <unistd.h>

namespace wisteriashunt::testing
{
namespace
{

using std::chrono::milliseconds;

constexpr std::size_t entries = 3;
constexpr std::size_t endpoints = 3;
constexpr milliseconds downtime{600};
constexpr milliseconds timeToLearn{3000};
const std::string deadlyBody = "deadly";

/// Seed of the faults; WISTERIASHUNT_SOAK_SEED sets another one.
unsigned soakSeed()
{
    const char *text = std::getenv("WISTERIASHUNT_SOAK_SEED");
    return text == nullptr ? 20261204U : static_cast<unsigned>(std::stoul(text));
}

class crashing_request_soak_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_directory = std::filesystem::temp_directory_path() / absl::StrCat("crashing_request_soak_", getpid());
        std::filesystem::create_directories(m_directory);
        for (std::size_t i = 0; i < endpoints; ++i) {
            m_servers.push_back(std::make_unique<loopback_server>([this, i](const received_request &got) { return serve(got, i); }));
            m_log.putEndpoint(endpointId(i), m_servers.back()->port());
        }
        for (std::size_t i = 0; i < entries; ++i) {
            std::ofstream(settingsPath(i)) << settingsForTests(m_ports[i], m_log.port(), {m_ports[0].control, m_ports[1].control});
            launch(i);
        }
        waitUntil("all entries are ready", [this] { return allReady(); });
    }

    void TearDown() override
    {
        m_isStopping = true;
        for (auto &thread : m_threads) {
            thread.join();
        }
        for (const auto process : m_processes) {
            kill(process, SIGKILL);
            waitpid(process, nullptr, 0);
        }
        std::filesystem::remove_all(m_directory);
    }

    void startCallers()
    {
        m_threads.emplace_back([this] { runBalancer(); });
        m_threads.emplace_back([this] { runCaller(deadlyBody, milliseconds(70)); });
        for (int i = 0; i < 3; ++i) {
            m_threads.emplace_back([this] { runCaller("", milliseconds(15)); });
        }
    }

    void launch(std::size_t entry)
    {
        excuse(entry);
        m_processes[entry] = startProcess({SHUNT_ENTRY}, settingsPath(entry) + ".log", {absl::StrCat(platform::settingsVariable, "=", settingsPath(entry))});
    }

    void stop(std::size_t entry, int signal)
    {
        excuse(entry);
        kill(m_processes[entry], signal);
        int status = 0;
        waitpid(m_processes[entry], &status, 0);
    }

    void freeze(const std::set<std::size_t> &frozen, milliseconds time)
    {
        for (const auto entry : frozen) {
            kill(m_processes[entry], SIGSTOP);
        }
        std::this_thread::sleep_for(time);
        for (const auto entry : frozen) {
            excuse(entry);
            kill(m_processes[entry], SIGCONT);
        }
    }

    [[nodiscard]] bool allReady() const
    {
        return std::all_of(m_ports.begin(), m_ports.end(), [](const entry_ports &ports) { return readinessStatus(ports.readiness) == 200; });
    }

    /// Number of sound requests that were answered whole, and of all.
    std::pair<int, int> soundServed()
    {
        const std::lock_guard lock(m_mutex);
        return {m_soundServed, m_sound};
    }

    std::mutex m_mutex;
    crash_judge m_judge{timeToLearn};
    /// Deadly requests whose status says that they did not run although they did.
    int m_falseRefusals = 0;

private:
    void excuse(std::size_t entry)
    {
        const std::lock_guard lock(m_mutex);
        m_judge.excuse(std::to_string(entry), m_clock.now() + timeToLearn);
    }

    [[nodiscard]] std::string settingsPath(std::size_t entry) const
    {
        return (m_directory / absl::StrCat("entry-", entry, ".json")).string();
    }

    [[nodiscard]] std::string endpointId(std::size_t index) const
    {
        return absl::StrCat("e", index, "-", m_starts[index]);
    }

    scripted_response serve(const received_request &got, std::size_t index)
    {
        constexpr milliseconds work{20};
        const auto entry = findHeader(got.headers, "x-entry");
        {
            const std::lock_guard lock(m_mutex);
            m_judge.arrive(keyOf(got), m_clock.now(), !entry ? "" : *entry);
            m_ran.insert(attemptIdOf(got));
        }
        std::this_thread::sleep_for(work);
        if (got.body != deadlyBody) {
            return ok(got, attemptIdOf(got));
        }
        const std::lock_guard lock(m_mutex);
        m_judge.crash(keyOf(got), m_clock.now());
        m_log.dropEndpoint(endpointId(index));
        ++m_starts[index];
        m_log.putEndpoint(endpointId(index), m_servers[index]->port());
        m_servers[index]->crash(downtime);
        return {.closes = true};
    }

    /// Probes readiness like the platform's balancer, but takes an entry out at once.
    void runBalancer()
    {
        while (!m_isStopping) {
            for (std::size_t i = 0; i < entries; ++i) {
                m_isInRotation[i] = readinessStatus(m_ports[i].readiness) == 200;
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

    /// Sends a request with the body, or with one of its own, to the entries by turns until the callers stop.
    void runCaller(const std::string &body, milliseconds pause)
    {
        for (std::size_t entry = 0; !m_isStopping; entry = (entry + 1) % entries) {
            if (!m_isInRotation[entry]) {
                std::this_thread::sleep_for(milliseconds(1));
                continue;
            }
            const auto attempt = absl::StrCat("a", ++m_attempts);
            const auto sent = body.empty() ? "sound " + attempt : body;
            std::string answer;
            try {
                raw_caller caller(m_ports[entry].callers);
                caller.send(absl::StrCat("POST /read/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Attempt-Id: ",
                                         attempt,
                                         "\r\nX-Entry: ",
                                         entry,
                                         "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer key-1\r\nContent-Length: ",
                                         sent.size(),
                                         "\r\n\r\n",
                                         sent));
                answer = caller.readAll();
            } catch (const std::runtime_error &) {
                // The entry is down.
            }
            note(attempt, answer, body.empty());
            std::this_thread::sleep_for(pause);
        }
    }

    void note(const std::string &attempt, const std::string &answer, bool isSound)
    {
        const std::lock_guard lock(m_mutex);
        m_falseRefusals += answer.find(" 503 ") != std::string::npos && m_ran.contains(attempt) ? 1 : 0;
        if (isSound && !answer.empty()) {
            ++m_sound;
            m_soundServed += answer.find(" 200 ") != std::string::npos && answer.ends_with(attempt) ? 1 : 0;
        }
    }

    std::filesystem::path m_directory;
    fake_log m_log;
    boot_clock m_clock;
    std::vector<std::unique_ptr<loopback_server>> m_servers;
    std::array<entry_ports, entries> m_ports;
    std::array<pid_t, entries> m_processes{};
    std::array<int, endpoints> m_starts{};
    std::array<std::atomic<bool>, entries> m_isInRotation{};
    std::atomic<bool> m_isStopping{false};
    std::atomic<int> m_attempts{0};
    std::set<std::string> m_ran;
    int m_sound = 0;
    int m_soundServed = 0;
    std::vector<std::thread> m_threads;
};

TEST_F(crashing_request_soak_test, TheRequestIsKeptFromEndpointsWhileEntriesComeAndGo)
{
    startCallers();
    std::this_thread::sleep_for(timeToLearn);
    std::mt19937 random(soakSeed());
    constexpr int faults = 8;
    for (int i = 0; i < faults; ++i) {
        const std::size_t first = random() % entries;
        const std::size_t second = (first + 1 + random() % (entries - 1)) % entries;
        switch (random() % 4) {
        case 0:
            stop(first, SIGTERM);
            launch(first);
            break;
        case 1:
            stop(first, SIGKILL);
            launch(first);
            break;
        case 2:
            freeze({first, second}, milliseconds(300 + random() % 1500));
            break;
        default:
            stop(first, SIGKILL);
            freeze({second}, milliseconds(300 + random() % 700));
            launch(first);
            break;
        }
        waitUntil("all entries are ready", [this] { return allReady(); });
        std::this_thread::sleep_for(milliseconds(random() % 1200));
    }
    const auto [servedBefore, soundBefore] = soundServed();
    std::this_thread::sleep_for(timeToLearn);
    const auto [served, sound] = soundServed();
    const std::lock_guard lock(m_mutex);
    EXPECT_LE(m_judge.mostLateArrivals(), crash_judge::maxLateArrivals) << m_judge.crashesOf({"/read/1", "north", deadlyBody}) << " crashes";
    EXPECT_EQ(m_falseRefusals, 0) << "requests that ran were answered 503";
    EXPECT_GE(served - servedBefore, (sound - soundBefore) * 9 / 10) << "of " << sound - soundBefore << " sound requests after the faults";
    std::cout << m_judge.crashesOf({"/read/1", "north", deadlyBody}) << " crashes, " << m_judge.mostLateArrivals() << " late arrivals, " << served << " of "
              << sound << " sound requests served\n";
}

} // namespace
} // namespace wisteriashunt::testing

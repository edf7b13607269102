// Runs an entry beside crowds of callers that misbehave and ordinary ones, through signals, restarts and changes of the declarations that overlap. Checks
// that it stays within its limits, ends only when it is told to, and keeps its promises to the ordinary callers.
#include "unruly_callers.h"

#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <set>

namespace wisteriashunt::testing
{
namespace
{

using std::chrono::milliseconds;

int numberFromEnvironment(const char *name, int otherwise)
{
    const char *text = std::getenv(name);
    return text == nullptr ? otherwise : std::stoi(text);
}

class unruly_callers_soak_test : public unruly_callers_test
{
protected:
    static constexpr int bookingCallers = 6;

    void startAll()
    {
        startProcesses();
        for (int i = 0; i < bookingCallers; ++i) {
            m_bookings.emplace_back([this, i] { book(i); });
        }
    }

    void noteRequest(const received_request &got) override
    {
        if (got.target.starts_with("/book/")) {
            const std::lock_guard lock(m_mutex);
            ++m_runs[attemptIdOf(got)];
        }
    }

    /// Sends bookings one after the other over a connection that is kept until the entry closes it.
    void book(int caller)
    {
        std::unique_ptr<raw_caller> kept;
        for (int number = 0; !m_isStopping; ++number) {
            const auto attempt = "b" + std::to_string(caller) + "-" + std::to_string(number);
            const auto life = m_life.load();
            std::string answer;
            try {
                if (kept == nullptr) {
                    kept = std::make_unique<raw_caller>(m_ports.callers);
                }
                kept->send("POST /book/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attempt
                           + "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nbook");
                answer = kept->readResponse();
            } catch (const std::runtime_error &) {
                // The entry is not there.
            }
            if (answer.empty() || answer.find("Connection: close") != std::string::npos) {
                kept.reset();
            }
            {
                const std::lock_guard lock(m_mutex);
                m_answers[attempt] = {.status = answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3)), .life = life};
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

    [[nodiscard]] crowd_options anyCrowd(std::mt19937 &random) const
    {
        std::vector kinds{longBody(40, 1),
                          longBody(40, 0),
                          chunkedBody(40),
                          trickledEnd(30),
                          manyLines(900, "a:\r\n", 3500),
                          manyLines(900, "!:\t \t \t\r\n", 1700),
                          manyTrailers(600),
                          halfHeads(1500),
                          sentAhead(200, emptyRequest("/read/1", repeated("a:\r\n", 3500)), 100),
                          sentAhead(100, repeated(emptyRequest("/none/"), 200), 100),
                          sentAhead(20, repeated(emptyRequest("/read/long"), 50), 100),
                          longBody(1500, maxBodyBytes - 1)};
        auto chosen = kinds[random() % kinds.size()];
        chosen.port = m_ports.callers;
        chosen.arrival = milliseconds(random() % 3 == 0 ? 0 : random() % 2000);
        chosen.reads = random() % 2 == 0;
        chosen.returns = random() % 3 == 0;
        return chosen;
    }

    void changeDeclarations(std::mt19937 &random)
    {
        auto declarations = declarationsForTests();
        declarations["version"] = ++m_version;
        declarations["limits"] = {{"max_header_bytes", maxHeadBytes},
                                  {"max_body_bytes", random() % 2 == 0 ? maxBodyBytes : maxBodyBytes / 4},
                                  {"header_timeout_ms", 3000},
                                  {"idle_timeout_ms", 15000}};
        m_log.put("keyed.op", "config", declarations.dump());
    }

    /// Ends the entry by the signal and starts it anew. Further signals come while it ends.
    void restart(int signal, std::mt19937 &random)
    {
        if (signal == SIGKILL) {
            const std::lock_guard lock(m_mutex);
            m_killedLives.insert(m_life);
        }
        ASSERT_EQ(waitpid(m_entry, nullptr, WNOHANG), 0) << "the entry has ended by itself";
        kill(m_entry, signal);
        if (signal == SIGTERM) {
            std::this_thread::sleep_for(milliseconds(random() % 1000));
            kill(m_entry, random() % 2 == 0 ? SIGTERM : SIGHUP);
        }
        int status = 0;
        waitpid(m_entry, &status, 0);
        EXPECT_EQ(exitStatusOf(status), signal == SIGTERM ? 0 : -SIGKILL);
        checkLimits();
        m_entry = 0;
        ++m_life;
        launchEntry();
    }

    void checkLimits()
    {
        EXPECT_LE(m_watch->peakBytes(), m_limits.memoryMegabytes * megabyte);
        EXPECT_LE(m_watch->peakDescriptors(), m_limits.maxDescriptors - fileDescriptors);
        m_most = std::max(m_most, m_watch->peakBytes());
    }

    void pauseEntry(std::mt19937 &random)
    {
        kill(m_entry, SIGSTOP);
        std::this_thread::sleep_for(milliseconds(100 + random() % 1500));
        kill(m_entry, SIGCONT);
    }

    void checkPromises()
    {
        const std::set<int> notRun{408, 421, 429, 503};
        std::map<int, int> statuses;
        for (const auto &[attempt, answer] : m_answers) {
            const auto runs = m_runs.count(attempt) == 0 ? 0 : m_runs[attempt];
            ++statuses[answer.status];
            EXPECT_LE(runs, 1) << attempt << " ran more than once";
            EXPECT_FALSE(notRun.count(answer.status) > 0 && runs > 0) << attempt << " ran and was answered " << answer.status;
            EXPECT_FALSE(answer.status == 0 && runs > 0 && m_killedLives.count(answer.life) == 0) << attempt << " ran and has no answer";
        }
        EXPECT_GT(statuses[200], 0);
        std::cout << "bookings by status:";
        for (const auto &[status, count] : statuses) {
            std::cout << ' ' << status << ": " << count;
        }
        std::cout << "; peak " << m_most / megabyte << " MB\n";
    }

    /// The status of an answer, 0 if there was none, and how often the entry had been started by then.
    struct booking_answer
    {
        int status = 0;
        int life = 0;
    };

    std::atomic<bool> m_isStopping{false};
    std::atomic<int> m_life{0};
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    std::map<std::string, booking_answer> m_answers;
    std::set<int> m_killedLives;
    std::vector<std::thread> m_bookings;
    std::size_t m_most = 0;
    int m_version = 10;
};

TEST_F(unruly_callers_soak_test, KeepsItsLimitsAndPromises)
{
    const auto seed = numberFromEnvironment("WISTERIASHUNT_SOAK_SEED", 20261206);
    std::cout << "seed " << seed << '\n';
    std::mt19937 random(static_cast<unsigned>(seed));
    startAll();
    std::vector<std::unique_ptr<crowd>> crowds;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(numberFromEnvironment("WISTERIASHUNT_SOAK_SECONDS", 30));
    while (std::chrono::steady_clock::now() < end && !HasFatalFailure()) {
        switch (random() % 8) {
        case 0:
            restart(random() % 4 == 0 ? SIGKILL : SIGTERM, random);
            break;
        case 1:
            kill(m_entry, SIGHUP);
            changeDeclarations(random);
            break;
        case 2:
            pauseEntry(random);
            break;
        case 3:
            if (!crowds.empty()) {
                const auto chosen = crowds.begin() + static_cast<std::ptrdiff_t>(random() % crowds.size());
                if (random() % 2 == 0) {
                    (*chosen)->resetAtEnd();
                }
                crowds.erase(chosen);
            }
            break;
        default:
            if (crowds.size() < 4) {
                crowds.push_back(std::make_unique<crowd>(anyCrowd(random)));
            }
            break;
        }
        std::this_thread::sleep_for(milliseconds(random() % 1000));
    }
    crowds.clear();
    EXPECT_TRUE(isOrdinaryRequestServed()) << "after all crowds";
    m_isStopping = true;
    for (auto &booking : m_bookings) {
        booking.join();
    }
    EXPECT_TRUE(isAlive());
    checkLimits();
    checkPromises();
}

} // namespace
} // namespace wisteriashunt::testing

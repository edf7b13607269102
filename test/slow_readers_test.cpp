// Tests an entry whose callers do not read their answers. It runs as a process of its own, so that only its memory counts.
#include "child_process.h"
#include "gateway_fixture.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

namespace wisteriashunt::testing
{
namespace
{

constexpr std::size_t megabyte = 1'000'000;
constexpr std::size_t memoryMegabytes = 120;
constexpr std::size_t slowCallers = 500;

class slow_readers_test : public gateway_test
{
protected:
    void SetUp() override
    {
        std::filesystem::create_directories(m_directory);
    }

    void TearDown() override
    {
        if (m_entry > 0) {
            kill(m_entry, SIGKILL);
            waitpid(m_entry, nullptr, 0);
        }
        m_endpoints.clear();
        std::filesystem::remove_all(m_directory);
        gateway_test::TearDown();
    }

    /// Starts an endpoint and the entry's process, and waits until the entry is ready.
    void startProcesses(const loopback_server::handler &handle)
    {
        m_endpoints.push_back(std::make_unique<loopback_server>(handle));
        m_log.putEndpoint("e0", m_endpoints.front()->port());
        // No stream is to reach its time limit before the memory is read.
        auto declarations = declarationsForTests();
        for (auto &route : declarations["routes"]) {
            route["timeout_ms"] = 60000;
        }
        m_log.put("keyed.op", "config", declarations.dump());
        const auto path = (m_directory / "entry.json").string();
        auto settings = nlohmann::json::parse(settingsForTests(m_ports, m_log.port()));
        settings["limits"]["memory_mb"] = memoryMegabytes;
        std::ofstream(path) << settings.dump();
        m_entry = startProcess({SHUNT_ENTRY}, path + ".log", {std::string(platform::settingsVariable) + "=" + path});
        waitUntilReady(m_ports.readiness);
    }

    /// The most memory that the entry has had so far.
    [[nodiscard]] std::size_t peakBytes() const
    {
        std::ifstream status("/proc/" + std::to_string(m_entry) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(line.find_first_of("0123456789"))) * 1024;
            }
        }
        throw std::runtime_error("the entry has ended");
    }

    /// Begins streams of which nothing is read. Requests that are refused are sent again by other callers; no more at a time than the endpoint accepts.
    void beginUnreadStreams(const std::string &path)
    {
        constexpr std::size_t maxAtATime = 25;
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        auto missing = slowCallers;
        while (missing > 0 && std::chrono::steady_clock::now() < end) {
            const auto before = m_callers.size();
            for (std::size_t i = 0; i < std::min(missing, maxAtATime); ++i) {
                m_callers.push_back(std::make_unique<raw_caller>(m_ports.callers));
                m_callers.back()->send("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: s" + std::to_string(before + i)
                                       + "\r\nX-Deadline-Ms: 60000\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n");
            }
            for (auto i = before; i < m_callers.size(); ++i) {
                while (!m_callers[i]->hasAnswer() && std::chrono::steady_clock::now() < end) { }
            }
            missing = slowCallers - m_endpoints.front()->requests().size();
        }
    }

    /// Lets all streams go on after their first event, and waits until they stand still because nobody reads them.
    void floodUntilStill()
    {
        constexpr std::chrono::seconds stillTime{1};
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        m_isFlooding = true;
        std::this_thread::sleep_for(std::chrono::seconds(2));
        std::size_t before = 0;
        do {
            before = m_endpoints.front()->sentBytes();
            std::this_thread::sleep_for(stillTime);
        } while (m_endpoints.front()->sentBytes() > before && std::chrono::steady_clock::now() < end);
    }

    std::vector<std::unique_ptr<raw_caller>> m_callers;
    std::atomic<std::size_t> m_begun{0};
    std::atomic<bool> m_isFlooding{false};

private:
    std::filesystem::path m_directory = std::filesystem::temp_directory_path() / ("slow_readers_" + std::to_string(getpid()));
    pid_t m_entry = 0;
};

TEST_F(slow_readers_test, StreamsThatNobodyReadsStayWithinTheMemoryAndStallNobody)
{
    const std::string event = "data: " + std::string(16 * 1024, 'x') + "\n\n";
    startProcesses([&](const received_request &got) {
        if (got.target.starts_with("/book/")) {
            return ok(got, "whole");
        }
        // All others begin beside the first ones, but do not compete with each other for the processor.
        const bool floodsAtOnce = m_begun++ < slowCallers / 5;
        return scripted_response{.parts = {okHead(got) + "Transfer-Encoding: chunked\r\n\r\n", chunk(event)},
                                 .pause = std::chrono::milliseconds(5),
                                 .mayWrite = [this, floodsAtOnce](std::size_t index) { return index == 1 || floodsAtOnce || m_isFlooding; },
                                 .isEndless = true};
    });
    beginUnreadStreams("/talk/1");
    floodUntilStill();
    EXPECT_EQ(m_endpoints.front()->requests().size(), slowCallers) << "streams that have begun";
    EXPECT_EQ(m_endpoints.front()->abandonedConnections(), 0) << "streams that the entry has given up";
    std::cout << "peak while unread: " << peakBytes() / megabyte << " MB\n";
    const auto begin = std::chrono::steady_clock::now();
    const auto booking = callOnce(request("/book/1"));
    EXPECT_TRUE(booking.ends_with("whole")) << booking;
    EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(1));

    // The endpoint ends without the end of any answer, so no answer may look whole.
    m_endpoints.clear();
    std::size_t begun = 0;
    for (auto &caller : m_callers) {
        const auto answer = caller->readAll();
        begun += answer.starts_with("HTTP/1.1 200") ? 1 : 0;
        EXPECT_FALSE(answer.ends_with("\r\n0\r\n\r\n")) << "an answer that was cut looks whole after " << answer.size() << " bytes";
        caller.reset();
    }
    EXPECT_EQ(begun, slowCallers) << "answers of which callers read the beginning";
    RecordProperty("peak_megabytes", static_cast<int>(peakBytes() / megabyte));
    std::cout << "peak at the end: " << peakBytes() / megabyte << " MB\n";
    EXPECT_LT(peakBytes(), memoryMegabytes * megabyte);
}

} // namespace
} // namespace wisteriashunt::testing

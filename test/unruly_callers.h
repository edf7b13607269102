/// Crowds of callers that misbehave, and a fixture that runs an entry as a process of its own beside them.
#pragma once

#include "child_process.h"
#include "crowd.h"
#include "gateway_fixture.h"

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

namespace wisteriashunt::testing
{

inline constexpr std::size_t megabyte = 1'000'000;
inline constexpr std::size_t maxHeadBytes = 16 * 1024;
inline constexpr std::size_t maxBodyBytes = 4 * 1024 * 1024;
inline constexpr std::size_t answerBytes = 200'000;
/// Descriptors that the platform reserves for files.
inline constexpr std::size_t fileDescriptors = 200;

/// Size of the machine that the entry runs on.
struct machine_limits
{
    std::size_t memoryMegabytes = 110;
    std::size_t maxDescriptors = 4100;
};

inline std::string head(const std::string &path = "/read/1")
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 60000\r\nAuthorization: Bearer key-1\r\n";
}

inline std::string repeated(const std::string &text, std::size_t times)
{
    std::string all;
    all.reserve(text.size() * times);
    for (std::size_t i = 0; i < times; ++i) {
        all += text;
    }
    return all;
}

/// A request whose body has the most bytes allowed, as far as `missing` bytes before its end.
inline crowd_options longBody(std::size_t connections, std::size_t missing)
{
    constexpr std::size_t partBytes = 64 * 1024;
    const auto rest = (maxBodyBytes - missing) % partBytes;
    return {.connections = connections,
            .begin = head() + "Content-Length: " + std::to_string(maxBodyBytes) + "\r\n\r\n" + std::string(rest, 'x'),
            .repeated = std::string(partBytes, 'x'),
            .repeats = (maxBodyBytes - missing) / partBytes};
}

inline crowd_options chunkedBody(std::size_t connections)
{
    constexpr std::size_t chunks = 1048;
    return {.connections = connections,
            .begin = head() + "Transfer-Encoding: chunked\r\n\r\n",
            .repeated = "fa0\r\n" + std::string(0xfa0, 'x') + "\r\n",
            .repeats = chunks};
}

inline crowd_options trickledEnd(std::size_t connections)
{
    constexpr std::size_t missing = 1000;
    auto options = longBody(connections, missing);
    options.trickled = std::string(missing, 'x');
    return options;
}

/// Heads of very many lines, whose bodies do not come.
inline crowd_options manyLines(std::size_t connections, const std::string &line, std::size_t lines)
{
    return {.connections = connections, .begin = head() + repeated(line, lines) + "Content-Length: 5\r\n\r\n"};
}

inline crowd_options manyTrailers(std::size_t connections)
{
    constexpr std::size_t lines = 3500;
    return {.connections = connections, .begin = head() + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + repeated("a:\r\n", lines)};
}

inline crowd_options halfHeads(std::size_t connections)
{
    constexpr std::size_t lengthOfOtherParts = 300;
    return {.connections = connections, .begin = head() + "X-Long: " + std::string(maxHeadBytes - lengthOfOtherParts, 'x')};
}

/// The same request again and again; nothing of the answers is read.
inline crowd_options sentAhead(std::size_t connections, std::string request, std::size_t times)
{
    return {.connections = connections, .repeated = std::move(request), .repeats = times};
}

inline std::string emptyRequest(const std::string &path, const std::string &lines = "")
{
    return head(path) + lines + "Content-Length: 0\r\n\r\n";
}

class unruly_callers_test : public gateway_test
{
protected:
    void SetUp() override
    {
        raiseDescriptorLimit();
        std::filesystem::create_directories(m_directory);
    }

    void TearDown() override
    {
        if (m_entry > 0) {
            kill(m_entry, SIGKILL);
            waitpid(m_entry, nullptr, 0);
        }
        std::filesystem::remove_all(m_directory);
        gateway_test::TearDown();
    }

    void startProcesses(const machine_limits &limits = {})
    {
        m_limits = limits;
        m_endpoints.push_back(std::make_unique<loopback_server>([this](const received_request &got) {
            noteRequest(got);
            while (got.target.starts_with("/read/held") && m_held != nullptr && *m_held) {
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            }
            return ok(got, got.target.starts_with("/read/long") ? std::string(answerBytes, 'x') : got.body);
        }));
        m_log.putEndpoint("e0", m_endpoints.front()->port());
        auto declarations = declarationsForTests();
        declarations["version"] = declarations["version"].get<int>() + 1;
        declarations["limits"] = {
            {"max_header_bytes", maxHeadBytes}, {"max_body_bytes", maxBodyBytes}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
        // No request is to reach its time limit while the crowd is there.
        for (auto &route : declarations["routes"]) {
            route["timeout_ms"] = 60000;
        }
        m_log.put("keyed.op", "config", declarations.dump());
        const auto path = (m_directory / "entry.json").string();
        auto settings = nlohmann::json::parse(settingsForTests(m_ports, m_log.port()));
        settings["limits"] = {{"memory_mb", limits.memoryMegabytes}, {"max_fds", limits.maxDescriptors}, {"link_mbps", 1000}};
        std::ofstream(path) << settings.dump();
        launchEntry();
    }

    void launchEntry()
    {
        const auto path = (m_directory / "entry.json").string();
        m_entry = startProcess({SHUNT_ENTRY}, path + ".log", {std::string(platform::settingsVariable) + "=" + path});
        waitUntilReady(m_ports.readiness);
        m_watch = std::make_unique<resource_watch>(m_entry, std::vector{m_ports.callers, m_ports.readiness});
    }

    /// Called by the endpoint's threads for each request.
    virtual void noteRequest(const received_request &)
    {
    }

    [[nodiscard]] bool isAlive() const
    {
        return waitpid(m_entry, nullptr, WNOHANG) == 0;
    }

    /// Sends an ordinary request until it is served, as callers do that are told to come back. Returns false if they would give up.
    [[nodiscard]] bool isOrdinaryRequestServed() const
    {
        constexpr int maxTries = 20;
        constexpr std::chrono::milliseconds pause{300};
        for (int attempt = 0; attempt < maxTries; ++attempt) {
            try {
                if (callOnce(request("/read/1", "", "whole")).ends_with("whole")) {
                    return true;
                }
            } catch (const std::runtime_error &) {
                // The connection was refused.
            }
            std::this_thread::sleep_for(pause);
        }
        return false;
    }

    void expectWithinLimits()
    {
        ASSERT_TRUE(isAlive());
        EXPECT_LE(m_watch->peakBytes(), m_limits.memoryMegabytes * megabyte);
        EXPECT_LE(m_watch->peakDescriptors(), m_limits.maxDescriptors - fileDescriptors);
        std::cout << "peak: " << m_watch->peakBytes() / megabyte << " MB, " << m_watch->peakDescriptors() << " descriptors\n";
    }

    /// Lets the crowds stay for a while beside an ordinary caller, and checks what the entry takes and answers.
    void withstand(std::vector<crowd_options> all)
    {
        constexpr std::chrono::seconds stay{8};
        std::vector<std::unique_ptr<crowd>> crowds;
        for (auto &options : all) {
            options.port = options.port == 0 ? m_ports.callers : options.port;
            crowds.push_back(std::make_unique<crowd>(std::move(options)));
        }
        const auto end = std::chrono::steady_clock::now() + stay;
        EXPECT_TRUE(isOrdinaryRequestServed()) << "beside the crowd";
        std::this_thread::sleep_until(end);
        EXPECT_TRUE(isOrdinaryRequestServed()) << "beside the crowd, after a while";
        crowds.clear();
        EXPECT_TRUE(isOrdinaryRequestServed()) << "after the crowd";
        expectWithinLimits();
    }

    pid_t m_entry = 0;
    machine_limits m_limits;
    /// Whether the endpoint holds requests for /read/held; none are held if unset.
    std::atomic<std::atomic<bool> *> m_held{nullptr};
    std::unique_ptr<resource_watch> m_watch;

private:
    std::filesystem::path m_directory = std::filesystem::temp_directory_path() / ("unruly_callers_" + std::to_string(getpid()));
};

} // namespace wisteriashunt::testing

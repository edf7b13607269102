// Stand-in for an application service with operations that must not run twice. Counts the runs of each operation, so that tests see repeats.
#include "transport/http_server.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <thread>

ABSL_FLAG(std::string, address, "127.0.0.1", "Address to serve at.");
ABSL_FLAG(int, port, 8200, "Port to serve at.");
ABSL_FLAG(int, work_ms, 5, "Time that an operation takes, in milliseconds.");

namespace
{

using nlohmann::json;
using wisteriashunt::server_reply;
using wisteriashunt::server_request;

/// Counts runs by the "operation" field of the request body.
class booking
{
public:
    server_reply serve(const server_request &request)
    {
        if (request.path == "/control") {
            const absl::MutexLock lock(&m_mutex);
            const json settings = json::parse(request.body, nullptr, false);
            m_workMs = settings.value("workMs", m_workMs);
            m_answersToDrop = settings.value("loseAnswers", m_answersToDrop);
            return {.body = "{}"};
        }
        if (request.path == "/counts") {
            const absl::MutexLock lock(&m_mutex);
            return {.body = json(m_counts).dump()};
        }
        if (request.method == "GET") {
            return {.body = R"({"dates":["2026-12-12","2026-12-19"]})"};
        }
        return run(request);
    }

    void setWorkMs(int milliseconds)
    {
        const absl::MutexLock lock(&m_mutex);
        m_workMs = milliseconds;
    }

private:
    server_reply run(const server_request &request)
    {
        const json parsed = json::parse(request.body, nullptr, false);
        const std::string operation = parsed.is_object() ? parsed.value("operation", "unnamed") : "unnamed";
        int workMs = 0;
        int count = 0;
        bool dropsAnswer = false;
        {
            const absl::MutexLock lock(&m_mutex);
            count = ++m_counts[operation];
            workMs = m_workMs;
            dropsAnswer = m_answersToDrop > 0;
            m_answersToDrop -= dropsAnswer ? 1 : 0;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(workMs));
        if (dropsAnswer) {
            return {.closeWithoutReply = true};
        }
        return {.body = json{{"operation", operation}, {"confirmed", true}, {"run", count}}.dump()};
    }

    absl::Mutex m_mutex;
    std::map<std::string, int> m_counts ABSL_GUARDED_BY(m_mutex);
    int m_workMs ABSL_GUARDED_BY(m_mutex) = 5;
    /// Number of further operations that run but get their connection closed instead of an answer.
    int m_answersToDrop ABSL_GUARDED_BY(m_mutex) = 0;
};

volatile std::sig_atomic_t stopRequested = 0;

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGTERM, [](int) { stopRequested = 1; });
    std::signal(SIGPIPE, SIG_IGN);
    booking service;
    service.setWorkMs(absl::GetFlag(FLAGS_work_ms));
    const wisteriashunt::http_server server(
        absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_port), [&](const server_request &request) { return service.serve(request); });
    std::cout << "booking ready" << std::endl;
    while (stopRequested == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    std::_Exit(0);
}

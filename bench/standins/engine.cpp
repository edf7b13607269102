// Stand-in for a model engine with continuous batching, which slows down as its batch fills. Streams answers, resumes them from an offset, and
// fails as /control requests.
#include "standins/engine_model.h"
#include "transport/http_server.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

ABSL_FLAG(std::string, address, "127.0.0.1", "Address to serve at.");
ABSL_FLAG(int, port, 8100, "Port to serve at.");
ABSL_FLAG(int, base_gap_us, 12000, "Time of a decoding step with an empty batch, in microseconds.");
ABSL_FLAG(int, gap_per_running_us, 600, "Added to a step by each running answer, in microseconds.");
ABSL_FLAG(int, prefill_us, 40000, "Prefill time of an empty prompt, in microseconds.");
ABSL_FLAG(int, prefill_per_token_us, 100, "Added to the prefill time by each prompt token, in microseconds.");

namespace
{

using nlohmann::json;
using wisteriashunt::server_reply;
using wisteriashunt::server_request;
using wisteriashunt::standin::engine_model;
using wisteriashunt::standin::tokenText;

constexpr std::uint32_t defaultLength = 16;
constexpr int badRequest = 400;

/// Faults set by /control.
struct engine_faults
{
    /// Number of tokens, counted from the start of the answer, after which affected answers break off; negative for never.
    int crashAfterTokens = -1;
    /// Number of further answers that break off.
    int remainingCrashes = 0;
    /// Number of further answers that carry the identifier of another request.
    int remainingWrongIds = 0;
    /// Sends no tokens while connections stay open.
    bool isFrozen = false;
};

class engine
{
public:
    explicit engine(const engine_model &model)
        : m_model(model)
    {
    }

    server_reply serve(const server_request &request)
    {
        if (request.path == "/control") {
            return control(request);
        }
        if (request.path == "/stats") {
            const absl::MutexLock lock(&m_mutex);
            return {.body = json{{"started", m_started}, {"finished", m_finished}, {"running", m_running}, {"tokens", m_tokens}}.dump()};
        }
        return completeChat(request);
    }

private:
    server_reply control(const server_request &request)
    {
        const json settings = json::parse(request.body, nullptr, false);
        if (!settings.is_object()) {
            return {.status = badRequest, .body = "{}"};
        }
        const absl::MutexLock lock(&m_mutex);
        m_model.slowness = settings.value("slowness", m_model.slowness);
        m_faults.crashAfterTokens = settings.value("crashAfter", m_faults.crashAfterTokens);
        m_faults.remainingCrashes = settings.value("crashCount", m_faults.remainingCrashes);
        m_faults.remainingWrongIds = settings.value("crossedCount", m_faults.remainingWrongIds);
        m_faults.isFrozen = settings.value("frozen", m_faults.isFrozen);
        return {.body = "{}"};
    }

    struct answer
    {
        std::string id;
        std::string tag;
        std::uint32_t next = 0;
        std::uint32_t length = 0;
        std::uint32_t promptTokens = 0;
        int crashAfterTokens = -1;
        bool isFirst = true;
        bool isClosed = false;
    };

    server_reply completeChat(const server_request &request)
    {
        const json chat = json::parse(request.body, nullptr, false);
        if (!chat.is_object() || !chat.contains("messages")) {
            return {.status = badRequest, .body = R"({"error":"bad request"})"};
        }
        // The deleter ends the answer when the caller closes its connection, so that it no longer counts as running in the batch.
        const std::shared_ptr<answer> current(new answer(startAnswer(request, chat)), [this](answer *ended) {
            endAnswer(*ended, false);
            delete ended;
        });
        if (!chat.value("stream", false)) {
            return completeWithoutStream(*current);
        }
        return {.contentType = "text/event-stream", .stream = [this, current] { return nextEvent(*current); }};
    }

    answer startAnswer(const server_request &request, const json &chat)
    {
        const auto header = [&](const char *name, const std::string &fallback) {
            const auto found = request.headers.find(name);
            return found == request.headers.end() ? fallback : found->second;
        };
        answer started;
        started.id = "chatcmpl-" + header("x-request-id", "none");
        started.tag = chat.value("user", "t");
        started.next = static_cast<std::uint32_t>(std::stoul(header("x-resume-from", "0")));
        started.length = chat.value("max_tokens", defaultLength);
        started.promptTokens = static_cast<std::uint32_t>(request.body.size() / 4);
        const absl::MutexLock lock(&m_mutex);
        ++m_started;
        ++m_running;
        if (m_faults.remainingCrashes > 0) {
            --m_faults.remainingCrashes;
            started.crashAfterTokens = m_faults.crashAfterTokens;
        }
        if (m_faults.remainingWrongIds > 0) {
            --m_faults.remainingWrongIds;
            started.id = "chatcmpl-of-another-request";
        }
        return started;
    }

    void waitForNextToken(const answer &current)
    {
        wisteriashunt::duration wait{};
        {
            const absl::MutexLock lock(&m_mutex);
            wait = current.isFirst ? m_model.timeToFirstToken(current.promptTokens, m_running) : m_model.tokenGap(m_running);
        }
        std::this_thread::sleep_for(wait);
        while (isFrozen()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    bool isFrozen()
    {
        const absl::MutexLock lock(&m_mutex);
        return m_faults.isFrozen;
    }

    void endAnswer(answer &current, bool isFinished)
    {
        if (current.isClosed) {
            return;
        }
        current.isClosed = true;
        const absl::MutexLock lock(&m_mutex);
        --m_running;
        m_finished += isFinished ? 1 : 0;
    }

    std::optional<std::string> nextEvent(answer &current)
    {
        if (current.isClosed) {
            return "";
        }
        if (current.next >= current.length) {
            endAnswer(current, true);
            return "data: [DONE]\n\n";
        }
        if (current.crashAfterTokens >= 0 && current.next >= static_cast<std::uint32_t>(current.crashAfterTokens)) {
            endAnswer(current, false);
            return std::nullopt;
        }
        waitForNextToken(current);
        current.isFirst = false;
        const std::string text = tokenText(current.tag, current.next++);
        {
            const absl::MutexLock lock(&m_mutex);
            ++m_tokens;
        }
        const json event{{"id", current.id}, {"object", "chat.completion.chunk"}, {"choices", {{{"index", 0}, {"delta", {{"content", text}}}}}}};
        return "data: " + event.dump() + "\n\n";
    }

    server_reply completeWithoutStream(answer &current)
    {
        std::string text;
        while (current.next < current.length) {
            if (current.crashAfterTokens >= 0 && current.next >= static_cast<std::uint32_t>(current.crashAfterTokens)) {
                endAnswer(current, false);
                return {.closeWithoutReply = true};
            }
            waitForNextToken(current);
            current.isFirst = false;
            text += tokenText(current.tag, current.next++);
        }
        endAnswer(current, true);
        const json body{
            {"id", current.id}, {"object", "chat.completion"}, {"choices", {{{"index", 0}, {"message", {{"role", "assistant"}, {"content", text}}}}}}};
        return {.body = body.dump()};
    }

    absl::Mutex m_mutex;
    engine_model m_model ABSL_GUARDED_BY(m_mutex);
    engine_faults m_faults ABSL_GUARDED_BY(m_mutex);
    std::size_t m_running ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_started ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_finished ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_tokens ABSL_GUARDED_BY(m_mutex) = 0;
};

volatile std::sig_atomic_t stopRequested = 0;

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGTERM, [](int) { stopRequested = 1; });
    std::signal(SIGPIPE, SIG_IGN);
    engine model({.baseGap = std::chrono::microseconds(absl::GetFlag(FLAGS_base_gap_us)),
                  .gapPerRunning = std::chrono::microseconds(absl::GetFlag(FLAGS_gap_per_running_us)),
                  .basePrefill = std::chrono::microseconds(absl::GetFlag(FLAGS_prefill_us)),
                  .prefillPerToken = std::chrono::microseconds(absl::GetFlag(FLAGS_prefill_per_token_us))});
    const wisteriashunt::http_server server(
        absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_port), [&](const server_request &request) { return model.serve(request); });
    std::cout << "engine ready" << std::endl;
    while (stopRequested == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    std::_Exit(0);
}

// Load test of running daemons: sends open-loop streams through the entries, then the same streams directly to random engines as baseline.
#include "load/workload.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>
#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

ABSL_FLAG(std::vector<std::string>, entries, {}, "Base URLs of the entries.");
ABSL_FLAG(std::vector<std::string>, engines, {}, "Base URLs of the engine stand-ins, for the baseline.");
ABSL_FLAG(std::string, key, "", "API key.");
ABSL_FLAG(double, tokens_per_second, 1000, "Offered load, in tokens per second.");
ABSL_FLAG(int, seconds, 15, "Duration of each of the two loads, in seconds.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the arrivals.");

namespace wisteriashunt::load
{
namespace
{

/// Latency targets of a class in seconds. They must match the declarations in scripts/load-daemons.
struct latency_targets
{
    double firstToken;
    double betweenTokens;
};

const std::map<std::string, latency_targets> classTargets{{"urgent", {1.0, 0.042}}, {"drafts", {1.5, 0.042}}, {"plans", {5.0, 0.060}}};

/// Numbers of requests by outcome.
struct load_counts
{
    int offered = 0;
    /// Complete answers within the latency targets of their class.
    int attained = 0;
    /// Answers with status 429 or 503.
    int refused = 0;
    /// Answers with status 200 that are incomplete or contain an unexpected token.
    int broken = 0;
    /// Answers that contain an unexpected token.
    int wrong = 0;
};

/// One streamed request that checks its tokens and records when they arrive.
class streaming_request
{
public:
    streaming_request(const std::string &base, const arrival &request, std::string tag)
        : m_request(request)
        , m_tag(std::move(tag))
        , m_url(base + "/v1/chat/completions")
    {
    }

    void run(load_counts &result, std::mutex &mutex)
    {
        const auto begin = std::chrono::steady_clock::now();
        const long status = perform();
        const bool isComplete = m_tokenCount == m_request.answerTokens && m_isDone && !m_hasWrongToken;
        const double firstTokenSeconds = std::chrono::duration<double>(m_firstTokenAt - begin).count();
        const double tokenGapSeconds = m_tokenCount > 1 ? std::chrono::duration<double>(m_lastTokenAt - m_firstTokenAt).count() / (m_tokenCount - 1) : 0;
        const latency_targets &target = classTargets.at(m_request.className);
        const std::lock_guard lock(mutex);
        ++result.offered;
        result.attained += isComplete && firstTokenSeconds <= target.firstToken && tokenGapSeconds <= target.betweenTokens ? 1 : 0;
        result.refused += status == 429 || status == 503 ? 1 : 0;
        result.broken += status == 200 && !isComplete ? 1 : 0;
        result.wrong += m_hasWrongToken ? 1 : 0;
    }

private:
    long perform()
    {
        const nlohmann::json body{{"model", m_request.className},
                                  {"stream", true},
                                  {"max_tokens", m_request.answerTokens},
                                  {"user", m_tag},
                                  {"messages", {{{"role", "user"}, {"content", "hello"}}}}};
        const std::string text = body.dump();
        CURL *easy = curl_easy_init();
        curl_slist *headers =
            curl_slist_append(curl_slist_append(nullptr, "Content-Type: application/json"), ("Authorization: Bearer " + absl::GetFlag(FLAGS_key)).c_str());
        curl_easy_setopt(easy, CURLOPT_URL, m_url.c_str());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, text.c_str());
        curl_easy_setopt(easy, CURLOPT_TIMEOUT, 90L);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &streaming_request::onData);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
        curl_easy_perform(easy);
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        curl_slist_free_all(headers);
        curl_easy_cleanup(easy);
        return status;
    }

    static std::size_t onData(char *data, std::size_t size, std::size_t count, void *context)
    {
        auto *self = static_cast<streaming_request *>(context);
        self->m_buffer.append(data, size * count);
        for (auto end = self->m_buffer.find("\n\n"); end != std::string::npos; end = self->m_buffer.find("\n\n")) {
            self->onEvent(self->m_buffer.substr(0, end));
            self->m_buffer.erase(0, end + 2);
        }
        return size * count;
    }

    void onEvent(const std::string &event)
    {
        if (event == "data: [DONE]") {
            m_isDone = true;
            return;
        }
        m_lastTokenAt = std::chrono::steady_clock::now();
        m_firstTokenAt = m_tokenCount == 0 ? m_lastTokenAt : m_firstTokenAt;
        m_hasWrongToken = m_hasWrongToken || event.find(absl::StrCat("\"", m_tag, ".", m_tokenCount, " \"")) == std::string::npos;
        ++m_tokenCount;
    }

    arrival m_request;
    std::string m_tag;
    std::string m_url;
    std::string m_buffer;
    std::uint32_t m_tokenCount = 0;
    bool m_isDone = false;
    bool m_hasWrongToken = false;
    std::chrono::steady_clock::time_point m_firstTokenAt;
    std::chrono::steady_clock::time_point m_lastTokenAt;
};

void runLoad(const char *label, const std::vector<std::string> &bases)
{
    const double tokensPerSecond = absl::GetFlag(FLAGS_tokens_per_second);
    const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    const auto arrivals =
        drawArrivals(mixedDemand(tokensPerSecond, 0.15, 0.25, 0.6), duration::zero(), std::chrono::seconds(absl::GetFlag(FLAGS_seconds)), seed);
    std::mt19937_64 random(seed);
    std::map<std::string, load_counts> results;
    std::mutex mutex;
    std::vector<std::thread> threads;
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        std::this_thread::sleep_until(begin + (arrivals[i].at - epoch));
        const std::string &base = bases[random() % bases.size()];
        load_counts *result = nullptr;
        {
            const std::lock_guard lock(mutex);
            result = &results[arrivals[i].className];
        }
        threads.emplace_back(
            [&mutex, result, base, request = arrivals[i], i] { streaming_request(base, request, "q" + std::to_string(i)).run(*result, mutex); });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    for (const auto &[name, result] : results) {
        std::printf("%-9s %-7s offered %4d attained %6.2f%% refused %4d broken %d wrong %d\n",
                    label,
                    name.c_str(),
                    result.offered,
                    100.0 * result.attained / std::max(1, result.offered),
                    result.refused,
                    result.broken,
                    result.wrong);
    }
}

} // namespace
} // namespace wisteriashunt::load

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    wisteriashunt::load::runLoad("router", absl::GetFlag(FLAGS_entries));
    wisteriashunt::load::runLoad("baseline", absl::GetFlag(FLAGS_engines));
    return 0;
}

// Measures the overhead of the router: sends the same request alternately to the engine stand-in and through the router.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <curl/curl.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

ABSL_FLAG(std::string, direct, "", "Base URL of the engine stand-in.");
ABSL_FLAG(std::string, routed, "", "Base URL of the entry.");
ABSL_FLAG(std::string, key, "", "API key for the entry.");
ABSL_FLAG(std::vector<std::string>, pids, {}, "Process IDs of the entry and of the endpoint processes whose CPU time is measured.");
ABSL_FLAG(int, requests, 1000, "Number of direct and of routed requests, shared among the connections.");
ABSL_FLAG(int, connections, 1, "Number of concurrent callers.");

namespace
{

const std::string body = R"({"model":"contracts","max_tokens":1,"messages":[{"role":"user","content":"hello"}]})";

std::size_t discardBody(char *, std::size_t size, std::size_t count, void *)
{
    return size * count;
}

/// HTTP client that reuses its connection for all requests.
class http_caller
{
public:
    explicit http_caller(const std::string &base)
        : m_easy(curl_easy_init())
        , m_headers(
              curl_slist_append(curl_slist_append(nullptr, "Content-Type: application/json"), ("Authorization: Bearer " + absl::GetFlag(FLAGS_key)).c_str()))
    {
        curl_easy_setopt(m_easy, CURLOPT_URL, (base + "/v1/chat/completions").c_str());
        curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headers);
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, body.c_str());
        curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, discardBody);
    }
    http_caller(const http_caller &) = delete;
    http_caller &operator=(const http_caller &) = delete;
    ~http_caller()
    {
        curl_slist_free_all(m_headers);
        curl_easy_cleanup(m_easy);
    }

    /// Returns the time of one request in milliseconds, or a negative number if it was not answered with 200.
    double measureCall()
    {
        const auto begin = std::chrono::steady_clock::now();
        const CURLcode code = curl_easy_perform(m_easy);
        long status = 0;
        curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
        const double milliseconds = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
        return code == CURLE_OK && status == 200 ? milliseconds : -1;
    }

private:
    CURL *m_easy;
    curl_slist *m_headers;
};

/// Returns the CPU time that the process has used, in seconds.
double cpuSeconds(const std::string &pid)
{
    std::ifstream stream("/proc/" + pid + "/stat");
    std::string line;
    std::getline(stream, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::string skipped;
    // The fields after the process name are the state and ten numbers, then user and system time in clock ticks.
    for (int i = 0; i < 11; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double totalCpuSeconds()
{
    double total = 0;
    for (const auto &pid : absl::GetFlag(FLAGS_pids)) {
        total += cpuSeconds(pid);
    }
    return total;
}

/// Sorts the values and returns the one at the given fraction of them.
double quantile(std::vector<double> &values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

void runInterleaved(int requests, std::vector<double> &direct, std::vector<double> &routed)
{
    http_caller directCaller(absl::GetFlag(FLAGS_direct));
    http_caller routedCaller(absl::GetFlag(FLAGS_routed));
    for (int i = 0; i < requests; ++i) {
        direct.push_back(directCaller.measureCall());
        routed.push_back(routedCaller.measureCall());
    }
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const int connections = absl::GetFlag(FLAGS_connections);
    const int requestsPerConnection = absl::GetFlag(FLAGS_requests) / connections;
    std::vector<std::vector<double>> direct(static_cast<std::size_t>(connections));
    std::vector<std::vector<double>> routed(static_cast<std::size_t>(connections));
    const double cpuSecondsBefore = totalCpuSeconds();
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < direct.size(); ++i) {
        threads.emplace_back([&, i] { runInterleaved(requestsPerConnection, direct[i], routed[i]); });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    const double cpuSecondsUsed = totalCpuSeconds() - cpuSecondsBefore;
    std::vector<double> allDirect;
    std::vector<double> allRouted;
    std::size_t failures = 0;
    for (std::size_t i = 0; i < direct.size(); ++i) {
        allDirect.insert(allDirect.end(), direct[i].begin(), direct[i].end());
        allRouted.insert(allRouted.end(), routed[i].begin(), routed[i].end());
    }
    failures = static_cast<std::size_t>(std::count_if(allRouted.begin(), allRouted.end(), [](double value) { return value < 0; }));
    std::printf(
        "connections %3d: direct p50 %.3f ms p95 %.3f ms, routed p50 %.3f ms p95 %.3f ms, added p50 %.3f ms, %.0f us of CPU time per request, %zu failures\n",
        connections,
        quantile(allDirect, 0.5),
        quantile(allDirect, 0.95),
        quantile(allRouted, 0.5),
        quantile(allRouted, 0.95),
        quantile(allRouted, 0.5) - quantile(allDirect, 0.5),
        cpuSecondsUsed * 1e6 / static_cast<double>(allRouted.size()),
        failures);
    return failures == 0 ? 0 : 1;
}

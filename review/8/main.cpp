// Case 8: callers send bodies in chunks, and the end of a chunk arrives apart from its data.
#include "../standins-2/rig.h"

namespace
{

using namespace rig;

constexpr int clients = 4;
constexpr int requestsEach = 50;
/// Mean size of a contract-draft's body on the site.
constexpr std::size_t bodyBytes = 18000;

std::string configuration()
{
    const json route{{"name", "r-book"},
                     {"host", "desk.example"},
                     {"path_prefix", "/book/"},
                     {"kind", "unsafe"},
                     {"timeout_ms", 5000},
                     {"target_latency_ms", 600},
                     {"priority", 1},
                     {"service", "desk"},
                     {"max_attempts", 1},
                     {"public", false},
                     {"sticky", false},
                     {"resumable", false}};
    return json{{"version", 7},
                {"routes", {route}},
                {"services", {{{"name", "desk"}, {"health_path", "/health"}, {"max_conns", 96}, {"protocol", "h1"}, {"tls", false}}}},
                {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
                {"tenants", {{{"name", "t1"}, {"api_keys", {"key1"}}, {"priority", 1}}}}}
        .dump();
}

/// Sends one request with a body of one chunk, in as many writes as there are parts, and returns the status.
int send(recorder &log, int port, const std::string &attempt, const std::vector<std::string> &parts, double pauseMs)
{
    connection peer(connectTo(port));
    for (const auto &part : parts) {
        if (&part != &parts.front()) {
            sleepMs(pauseMs);
        }
        if (!peer.write(part)) {
            break;
        }
    }
    const auto answer = peer.read(6000);
    const int status = answer ? answer->status() : 0;
    log.write("client: " + attempt + " ends with " + std::to_string(status));
    return status;
}

} // namespace

int main(int, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    recorder log(arguments[1]);
    store platform(log);
    engine desk(log, "i-desk", "desk", 20);
    platform.put("keyed.op", "config", configuration());
    platform.put("keyed.servers", desk.id(), desk.entry());
    entry front(platform, "front-zone-a-1");
    front.start();
    if (!front.waitUntilReady(10000)) {
        log.write("the entry does not become ready");
        return 2;
    }
    sleepMs(3500);

    std::mutex mutex;
    std::map<int, int> statuses;
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            for (int number = 0; number < requestsEach; ++number) {
                const auto attempt = "c" + std::to_string(client) + "-" + std::to_string(number);
                const auto head = "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key1\r\nX-Deadline-Ms: 5000\r\nX-Attempt-Id: " + attempt
                    + "\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", bodyBytes);
                const auto chunk = size + std::string(bodyBytes, 'b');
                // The same bytes, as one part or with the end of the chunk and the end of the body apart.
                const std::vector<std::string> parts =
                    hasTrouble() ? std::vector<std::string>{head + chunk, "\r\n", "0\r\n\r\n"} : std::vector<std::string>{head + chunk + "\r\n0\r\n\r\n"};
                const int status = send(log, front.front(), attempt, parts, 5);
                const std::lock_guard lock(mutex);
                ++statuses[status];
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    int denied = 0;
    std::string summary;
    for (const auto &[status, count] : statuses) {
        const bool isOwnDenial = status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
        denied += isOwnDenial ? count : 0;
        summary += std::to_string(status) + ": " + std::to_string(count) + "; ";
    }
    constexpr int requests = clients * requestsEach;
    log.write("requests: " + std::to_string(requests) + "; " + summary + "run: " + std::to_string(desk.arrivals().size())
              + "; denied: " + std::to_string(denied) + ", allowed are 5 + one in 500");
    if (front.ending()) {
        log.write("the case could not run");
        return 2;
    }
    return denied > 5 + requests / 500 ? 1 : 0;
}

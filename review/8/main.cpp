// Case 8: in a fleet in which two entries of a zone read the list for the others, these hold a removal for too long.
#include "../standins-2/rig.h"

namespace
{

using namespace rig;

constexpr double touchMs = 3000;
constexpr double drainMs = 2000;
/// For how long the engine serves after the removal: `drain_timeout_ms` and a little longer.
constexpr double servesMs = 2600;
/// The engine leaves so long after the disruption, when all machines are in touch again.
constexpr double leavesAfterMs = 3200;
/// With over 32 peers, relays read the list for the entries of their zone.
constexpr int entries = 38;
/// Entries that take traffic, and callers at each.
constexpr int usedEntries = 16;
constexpr int clientsEach = 1;

std::string configuration()
{
    const json route{{"name", "r-book"},
                     {"host", "desk.example"},
                     {"path_prefix", "/book/"},
                     {"kind", "unsafe"},
                     {"timeout_ms", 800},
                     {"target_latency_ms", 300},
                     {"priority", 2},
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

} // namespace

int main(int, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    recorder log(arguments[1]);
    store platform(log);
    engine leaving(log, "i-leaving", "desk", 60);
    engine staying(log, "i-staying", "desk", 60);
    platform.put("keyed.op", "config", configuration());
    platform.put("keyed.servers", leaving.id(), leaving.entry());
    platform.put("keyed.servers", staying.id(), staying.entry());
    const std::vector<int> seeds{freePort(), freePort(), freePort()};
    std::vector<std::unique_ptr<entry>> fleet;
    for (int number = 0; number < entries; ++number) {
        const auto control = number < static_cast<int>(seeds.size()) ? seeds[static_cast<std::size_t>(number)] : 0;
        fleet.push_back(std::make_unique<entry>(platform, "front-zone-a-" + std::to_string(number + 1), seeds, control));
        fleet.back()->start();
    }
    for (const auto &each : fleet) {
        if (!each->waitUntilReady(15000)) {
            log.write("an entry does not become ready");
            return 2;
        }
    }
    // Until all entries know each other, and relays read for the others.
    sleepMs(6000);

    std::atomic<bool> isOver{false};
    std::mutex mutex;
    std::vector<outcome> outcomes;
    std::vector<std::thread> threads;
    for (int client = 0; client < usedEntries * clientsEach; ++client) {
        threads.emplace_back([&, client] {
            const auto &used = *fleet[static_cast<std::size_t>(client % usedEntries)];
            for (int number = 0; !isOver; ++number) {
                const auto attempt = "c" + std::to_string(client) + "-" + std::to_string(number);
                const auto head =
                    std::string("POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key1\r\nX-Deadline-Ms: 1500\r\nConnection: close\r\n");
                const auto ended = ask(log, used.front(), attempt, head, "deposit " + attempt, 1500);
                const std::lock_guard lock(mutex);
                outcomes.push_back(ended);
            }
        });
    }

    sleepMs(touchMs);
    double disruption = now();
    if (hasTrouble()) {
        disruption = platform.silenceOpenConnections();
        log.write("disruption: the open connections to the store go silent");
    }
    sleepUntil(disruption + leavesAfterMs);
    const double removal = platform.put("keyed.servers", leaving.id(), "");
    sleepUntil(removal + servesMs);
    leaving.end();
    sleepMs(1500);
    isOver = true;
    for (auto &thread : threads) {
        thread.join();
    }

    std::map<std::string, outcome> byAttempt;
    for (const auto &ended : outcomes) {
        byAttempt[ended.attempt] = ended;
    }
    int late = 0;
    int lost = 0;
    for (const auto &arrived : leaving.arrivals()) {
        const auto &sent = byAttempt[arrived.attempt];
        if (arrived.isRun && arrived.at > removal + drainMs && sent.sentAt > disruption + touchMs) {
            ++late;
            lost += sent.status == 200 ? 0 : 1;
            log.write("DRAIN: " + arrived.attempt + " reached " + leaving.id() + " " + std::to_string(static_cast<long>(arrived.at - removal))
                      + " ms after its entry was gone, " + std::to_string(static_cast<long>(sent.sentAt - disruption))
                      + " ms after the disruption; the client got " + std::to_string(sent.status));
        }
    }
    int ended = 0;
    for (const auto &each : fleet) {
        ended += each->ending() ? 1 : 0;
        for (const auto &line : each->logLines("missing_after_outage")) {
            log.write("an entry: " + line);
        }
    }
    log.write("requests: " + std::to_string(outcomes.size()) + "; reached the engine too late, from a machine in touch: " + std::to_string(late)
              + "; of these not answered with success: " + std::to_string(lost));
    if (ended > 0 || outcomes.size() < 100) {
        log.write("the case could not run");
        return 2;
    }
    return late > 0 ? 1 : 0;
}

// Case 9: a beat of an engine whose answer was lost is executed seconds later, after the engine has reported that it is draining.
#include "../standins-2/rig.h"

namespace
{

using namespace rig;

constexpr double touchMs = 3000;
constexpr double drainMs = 2000;
constexpr double heartbeatMs = 1200;
/// Length of the disruption, and the time after which a write without an answer is executed: 1 to 6 s.
constexpr double lostForMs = 4500;
constexpr double lateByMs = 5950;
/// Time after the end of the disruption at which the engine reports draining, and for how long it then serves.
constexpr double drainsAfterMs = 3400;
constexpr double servesMs = 3550;
constexpr int clients = 8;

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
    platform.put("keyed.servers", leaving.id(), leaving.entry("ready", 1));
    platform.put("keyed.servers", staying.id(), staying.entry("ready", 1));
    entry front(platform, "front-zone-a-1");
    front.start();
    if (!front.waitUntilReady(10000)) {
        log.write("the entry does not become ready");
        return 2;
    }

    std::atomic<bool> isOver{false};
    std::mutex mutex;
    std::vector<outcome> outcomes;
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            for (int number = 0; !isOver; ++number) {
                const auto attempt = "c" + std::to_string(client) + "-" + std::to_string(number);
                const auto head =
                    std::string("POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key1\r\nX-Deadline-Ms: 1500\r\nConnection: close\r\n");
                const auto ended = ask(log, front.front(), attempt, head, "deposit " + attempt, 1500);
                const std::lock_guard lock(mutex);
                outcomes.push_back(ended);
            }
        });
    }

    sleepMs(touchMs);
    // The store loses answers of writes. The last beat that the engine sends in that time gets none; it says what the entry says already, so it
    // changes nothing if it is executed at once.
    const double disruptionEnd = now() + lostForMs;
    const double beatSent = disruptionEnd - 50;
    constexpr int beatSequence = 5;
    sleepUntil(beatSent);
    if (hasTrouble()) {
        log.write("disruption: the answer of a beat of i-leaving (ready, sequence 5) is lost, and the beat is executed later");
    }
    sleepUntil(disruptionEnd + drainsAfterMs);
    const double drained = platform.put("keyed.servers", leaving.id(), leaving.entry("draining", beatSequence + 3));
    // The next beats change nothing, until the late one is executed.
    if (hasTrouble()) {
        sleepUntil(beatSent + lateByMs);
        platform.put("keyed.servers", leaving.id(), leaving.entry("ready", beatSequence));
        const double nextBeat = drained + 3 * heartbeatMs;
        if (nextBeat < drained + servesMs) {
            sleepUntil(nextBeat);
            platform.put("keyed.servers", leaving.id(), leaving.entry("draining", beatSequence + 6));
        }
    }
    sleepUntil(drained + servesMs);
    leaving.end();
    platform.put("keyed.servers", leaving.id(), "");
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
        if (arrived.isRun && arrived.at > drained + drainMs && sent.sentAt > disruptionEnd + touchMs) {
            ++late;
            lost += sent.status == 200 ? 0 : 1;
            log.write("DRAIN: " + arrived.attempt + " reached " + leaving.id() + " " + std::to_string(static_cast<long>(arrived.at - drained))
                      + " ms after the store had acknowledged that it is draining; the client got " + std::to_string(sent.status));
        }
    }
    log.write("requests: " + std::to_string(outcomes.size()) + "; reached the engine too late, from a machine in touch: " + std::to_string(late)
              + "; of these not answered with success: " + std::to_string(lost));
    if (front.ending() || outcomes.size() < 100) {
        log.write("the case could not run");
        return 2;
    }
    return late > 0 ? 1 : 0;
}

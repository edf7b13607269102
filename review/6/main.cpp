// Case 6: an entry that leaves gets a new configuration while callers that take up a stream wait for a reading of the list of engines.
#include "../standins-2/rig.h"

namespace
{

using namespace rig;

json routeOf(const char *name, const char *prefix, const char *kind, const char *service)
{
    const bool isStream = std::string(kind) == "stream";
    return {{"name", name},
            {"host", "desk.example"},
            {"path_prefix", prefix},
            {"kind", kind},
            {"timeout_ms", isStream ? 5000 : 800},
            {"target_latency_ms", isStream ? 600 : 300},
            {"priority", 1},
            {"service", service},
            {"max_attempts", isStream ? 2 : 1},
            {"public", false},
            {"sticky", isStream},
            {"resumable", isStream},
            {"gap_aim_ms", 500}};
}

std::string configuration(int version, bool hasNewRoute)
{
    json routes{routeOf("r-draft", "/draft/", "stream", "llm"), routeOf("r-book", "/book/", "unsafe", "desk")};
    if (hasNewRoute) {
        routes.push_back(routeOf("r-new", "/new/", "safe", "none"));
    }
    json services = json::array();
    for (const char *name : {"llm", "desk", "none"}) {
        services.push_back({{"name", name}, {"health_path", "/health"}, {"max_conns", 96}, {"protocol", "h1"}, {"tls", false}});
    }
    services[0]["engine"] = {{"slots", 32}, {"kv_tokens", 329630}};
    return json{{"version", version},
                {"routes", routes},
                {"services", services},
                {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
                {"tenants", {{{"name", "t1"}, {"api_keys", {"key1"}}, {"priority", 1}}}}}
        .dump();
}

std::string headOf(const std::string &method, const std::string &path, const std::string &more = {})
{
    return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key1\r\nX-Deadline-Ms: 5000\r\nConnection: close\r\n" + more;
}

} // namespace

int main(int, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    recorder log(arguments[1]);
    store platform(log);
    engine model(log, "i-model", "llm", 60);
    engine desk(log, "i-desk", "desk", 500);
    platform.put("keyed.op", "config", configuration(7, false));
    platform.put("keyed.servers", model.id(), model.entry());
    platform.put("keyed.servers", desk.id(), desk.entry());
    entry front(platform, "front-zone-a-1");
    front.start();
    if (!front.waitUntilReady(10000)) {
        log.write("the entry does not become ready");
        return 2;
    }
    sleepMs(4000);

    if (hasTrouble()) {
        platform.answerMs = 240;
        log.write("disruption: the store is slow, 240 ms an answer");
    }
    // The moment at which a call for a new configuration begins, so that the next one is held when the configuration is written.
    for (const double before = platform.configurationCallAt; platform.configurationCallAt == before;) {
        sleepMs(1);
    }
    front.signal(SIGTERM);
    log.write("SIGTERM");
    const double signalled = now();
    while (front.isReady()) {
        if (now() > signalled + 1000) {
            log.write("the entry does not leave");
            return 2;
        }
        sleepMs(4);
    }
    const double leaving = now();
    std::mutex mutex;
    std::vector<outcome> takeUps;
    std::vector<outcome> orders;
    std::vector<std::thread> threads;
    for (int number = 0; number < 4; ++number) {
        threads.emplace_back([&, number] {
            sleepUntil(leaving + 2240 + 12 * number);
            const auto prompt = "Last-Event-Id: 12\r\nX-Model: m\r\nX-Token-Usage: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n";
            const auto ended = ask(log, front.front(), "takeup-" + std::to_string(number), headOf("POST", "/draft/1", prompt), "prompt", 6000);
            const std::lock_guard lock(mutex);
            takeUps.push_back(ended);
        });
    }
    sleepUntil(leaving + 2050);
    platform.put("keyed.op", "config", configuration(9, true));
    // Orders begin when the new configuration is seen to be in force.
    int probe = 0;
    for (; now() < leaving + 3000; ++probe) {
        if (ask(log, front.front(), "probe-" + std::to_string(probe), headOf("GET", "/new/1"), "", 500).status != 404) {
            break;
        }
        sleepMs(3);
    }
    for (int number = 0; number < 4; ++number) {
        threads.emplace_back([&, number] {
            const auto ended = ask(log, front.front(), "order-" + std::to_string(number), headOf("POST", "/book/1"), "deposit", 1500);
            const std::lock_guard lock(mutex);
            orders.push_back(ended);
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    // Until 1 s after `grace_period_s`.
    std::optional<std::string> ending;
    while (!(ending = front.ending()) && now() < signalled + 9000) {
        sleepMs(10);
    }
    log.write("the entry has ended by itself with " + ending.value_or("nothing: it still runs") + " " + std::to_string(static_cast<long>(now() - signalled))
              + " ms after SIGTERM");
    // What the process writes at its end by an exception is no event.
    for (const auto &line : front.logLines("")) {
        if (line.find("event=") == std::string::npos) {
            log.write("entry: " + line);
        }
    }

    std::set<std::string> run;
    for (const auto &arrived : desk.arrivals()) {
        run.insert(arrived.attempt);
    }
    int lost = 0;
    for (const auto &order : orders) {
        if (run.contains(order.attempt) && order.status == 0) {
            ++lost;
            log.write("LOST: " + order.attempt + " was passed on to " + desk.id() + " and its connection ended without an answer "
                      + std::to_string(static_cast<long>(order.endedAt - signalled)) + " ms after SIGTERM");
        }
    }
    int unanswered = 0;
    for (const auto &takeUp : takeUps) {
        unanswered += takeUp.status == 0 ? 1 : 0;
    }
    log.write("orders passed on: " + std::to_string(run.size()) + ", lost: " + std::to_string(lost)
              + "; take-ups without an answer: " + std::to_string(unanswered) + " of " + std::to_string(takeUps.size()));
    return run.empty() ? 2 : lost > 0 ? 1 : 0;
}

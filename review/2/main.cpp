// Case 2: an entry that is cut off for some seconds lets streams of a new software version go on at the old one.
#include "standins.h"

#include <algorithm>
#include <csignal>
#include <functional>

using namespace review;

namespace
{

constexpr int clientsCount = 30;
/// Engines of the old version.
constexpr int engines = 6;
constexpr int events = 40;
constexpr milliseconds eventPause{100};

/// What a client has of its stream: the versions that wrote the events, in order.
struct pieces
{
    std::vector<std::string> versions;
    int last = 0;
};

void take(pieces &got, const std::string &body)
{
    for (std::size_t begin = 0;;) {
        const auto end = body.find("\n\n", begin);
        if (end == std::string::npos) {
            return;
        }
        const auto event = body.substr(begin, end - begin);
        got.last = std::atoi(event.c_str() + 4);
        got.versions.push_back(event.substr(event.find("data: ") + 6, 2));
        begin = end + 2;
    }
}

} // namespace

int main()
{
    openRecord("review/2/record.txt");
    run_book runs;
    store platform;
    std::atomic<bool> hasNewestLeft{false};
    const auto serve = [&](const std::string &name, const std::string &version) {
        return [&, name, version](connection &caller) {
            while (const auto request = caller.read(milliseconds(60000), false)) {
                const auto attempt = request->field("x-attempt-id");
                const int after = std::atoi(request->field("last-event-id").c_str());
                runs.begin(attempt, name + " (" + version + "), after event " + std::to_string(after), 0);
                bool isOpen = caller.send(answerHead(*request, 200, "OK") + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
                for (int number = after + 1; number <= events && isOpen; ++number) {
                    sleepFor(eventPause);
                    const auto event = "id: " + std::to_string(number) + "\ndata: " + version + " piece " + std::to_string(number) + "\n\n";
                    std::array<char, 24> size{};
                    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
                    isOpen = !(hasNewestLeft && version == "v2") && caller.send(size.data() + event + "\r\n");
                }
                if (!isOpen || !caller.send("0\r\n\r\n")) {
                    return;
                }
                runs.end(attempt);
            }
        };
    };
    std::vector<std::unique_ptr<server>> old;
    const auto nameOf = [](int number) { return "i-" + std::to_string(number); };
    for (int number = 1; number <= engines; ++number) {
        old.push_back(std::make_unique<server>(serve(nameOf(number), "v1")));
        platform.putEngine(nameOf(number), "verge-llm", old.back()->port(), 32);
    }
    const auto replaced = nameOf(engines);
    const std::string added = "i-7";
    server newest(serve(added, "v2"));
    platform.putConfig(configuration(1, {{"/plan/", "stream", "verge-llm", 15000, 2, true}}, {"verge-llm"}));

    // Three entries that see each other over links only; those of the first one, and its link to the store, can be cut.
    tcp_link storeLink(platform.port());
    peer_link firstToSecond;
    peer_link firstToThird;
    peer_link secondToThird;
    entry cutOff({.name = "front-a-1", .store = storeLink.port(), .seeds = {firstToSecond.rightForLeft(), firstToThird.rightForLeft()}});
    entry other({.name = "front-a-2", .store = platform.port(), .seeds = {secondToThird.rightForLeft()}});
    entry rest({.name = "front-a-3", .store = platform.port()});
    firstToSecond.connect(cutOff.control(), other.control());
    firstToThird.connect(cutOff.control(), rest.control());
    secondToThird.connect(other.control(), rest.control());
    const auto cut = [&](bool isCut) {
        storeLink.cut(isCut);
        firstToSecond.cut(isCut);
        firstToThird.cut(isCut);
    };
    const std::array<entry *, 3> all{&rest, &other, &cutOff};
    for (auto *each : all) {
        each->start();
    }
    if (!std::all_of(all.begin(), all.end(), [](const entry *each) { return each->waitUntilReady(); })) {
        record("an entry is not ready");
        return couldNotRun;
    }
    sleepFor(milliseconds(4000));

    if (hasTrouble()) {
        record("front-a-1 is cut off from the store and from the other entries; clients and engines reach it");
        cut(true);
    }
    const double cutAt = now();
    sleepFor(milliseconds(100));
    record("a release replaces " + replaced + " (v1) by " + added + " (v2): the new one is listed, the old one drains");
    platform.putEngine(added, "verge-llm", newest.port(), 32, "ready", "v2");
    platform.putEngine(replaced, "verge-llm", old.back()->port(), 32, "draining");
    sleepFor(milliseconds(800));

    call_book calls;
    std::vector<pieces> got(clientsCount);
    std::vector<std::thread> clients;
    std::atomic<int> takenUp{0};
    for (int i = 0; i < clientsCount; ++i) {
        clients.emplace_back([&, i] {
            const auto ask = [&](std::uint16_t port, const std::string &attempt) {
                const auto client = connection::open(port);
                if (client == nullptr) {
                    return;
                }
                const auto head = requestHead("POST", "/plan/1", attempt, 12000)
                    + (got[i].last == 0 ? "" : "Last-Event-Id: " + std::to_string(got[i].last) + "\r\n") + "Content-Length: 0\r\n\r\n";
                call made{.attempt = attempt, .sentAt = now(), .wasSent = client->send(head)};
                const auto answer = client->read(milliseconds(12000), true);
                made.status = answer ? answer->status() : 0;
                made.isWhole = answer && answer->isWhole;
                made.bodyBytes = answer ? answer->body.size() : 0;
                made.endedAt = now();
                made.hasClosed = client->hasEnded();
                calls.add(made);
                if (made.status == 200) {
                    take(got[i], answer->body);
                }
            };
            ask(other.front(), "plan-" + std::to_string(i));
            if (got[i].last > 0 && got[i].last < events) {
                ++takenUp;
                ask(cutOff.front(), "plan-" + std::to_string(i) + "-again");
            }
        });
    }
    sleepFor(milliseconds(300));
    record(added + " (v2) is taken away again: it drains");
    platform.putEngine(added, "verge-llm", newest.port(), 32, "draining", "v2");
    sleepFor(milliseconds(2100));
    hasNewestLeft = true;
    record(added + " exits " + std::to_string(now() - cutAt) + " s after the cut; clients whose streams end take them up at front-a-1");
    sleepFor(milliseconds(800));
    cut(false);
    if (hasTrouble()) {
        record("the cut has healed after " + std::to_string(now() - cutAt) + " s");
    }
    for (auto &client : clients) {
        client.join();
    }

    int joined = 0;
    for (int i = 0; i < clientsCount; ++i) {
        const auto &versions = got[i].versions;
        const auto change = std::adjacent_find(versions.begin(), versions.end(), std::not_equal_to<>());
        if (change != versions.end()) {
            ++joined;
            record("plan-" + std::to_string(i) + ": pieces 1 to " + std::to_string(change - versions.begin() + 1) + " are of " + *change + ", the rest up to "
                   + std::to_string(got[i].last) + " of " + *(change + 1));
        }
    }
    calls.write(runs);
    record("streams taken up: " + std::to_string(takenUp) + "; joined from two versions: " + std::to_string(joined));
    return joined > 0 ? broken : held;
}

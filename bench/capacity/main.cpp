// Measures CPU time, bytes on the wire and memory of each component at several sizes, for the growth rates in docs/CAPACITY.md.
#include "configuration/reducer.h"
#include "endpoint/endpoint_core.h"
#include "evidence/evidence_chain.h"
#include "request/entry_core.h"
#include "transport/frame_codec.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <string>

namespace wisteriashunt
{
namespace
{

constexpr time_point start{std::chrono::seconds(1700000000)};

/// Returns the CPU time of the calling thread, in seconds.
double threadCpuSeconds()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

/// Returns the mean CPU time per repetition, in microseconds, of the fastest of several tries. Other work on the machine only adds time.
double minMicrosecondsPerRun(int repetitions, const std::function<void(int)> &work)
{
    constexpr int tries = 3;
    double best = 1e12;
    for (int attempt = 0; attempt < tries; ++attempt) {
        const double cpuBefore = threadCpuSeconds();
        for (int i = 0; i < repetitions; ++i) {
            work(attempt * repetitions + i);
        }
        best = std::min(best, (threadCpuSeconds() - cpuBefore) * 1e6 / repetitions);
    }
    return best;
}

std::size_t allocatedBytes()
{
    return mallinfo2().uordblks;
}

configuration_state makeState(int endpoints, int workspaces, int classes)
{
    configuration_state state;
    state.offset = 1;
    std::vector<std::string> names;
    for (int i = 0; i < endpoints; ++i) {
        names.push_back("engine-" + std::to_string(i));
        state.endpoints[names.back()].value = {.name = names.back(), .resumes = true};
    }
    for (int i = 0; i < workspaces; ++i) {
        const std::string name = "workspace-" + std::to_string(i);
        state.workspaces[name].value = {.name = name, .keyHashes = {std::string(64, 'a')}};
    }
    for (int i = 0; i < classes; ++i) {
        const std::string name = "class-" + std::to_string(i);
        state.classes[name].value = {.name = name, .tier = 1 + i % tierCount, .endpoints = names};
    }
    return state;
}

std::string engineName(int index)
{
    return "engine-" + std::to_string(index);
}

/// Measures one request through an entry core that reserves at `sample` endpoints and receives `tokens` chunks.
void measureEntry(int endpoints, int sample, int tokens)
{
    entry_core core(
        entry_core_options{.incarnation = 7, .reservationSample = static_cast<std::size_t>(sample), .random = [](std::uint64_t bound) { return bound - 1; }});
    core.handle(start, configuration_changed{makeState(endpoints, 1, 3)});
    for (int i = 0; i < endpoints; ++i) {
        core.handle(start, endpoint_connected{.peer = static_cast<peer_id>(i + 1), .name = engineName(i), .incarnation = 5});
    }
    std::size_t bytes = 0;
    std::size_t messages = 0;
    // Counts the frames sent and returns the peer of the last one.
    const auto countSent = [&](const std::vector<entry_action> &actions) {
        peer_id lastPeer = 0;
        for (const auto &action : actions) {
            if (const auto *send = std::get_if<send_to_peer>(&action)) {
                lastPeer = send->peer;
                ++messages;
                bytes += encodeFrame(send->content).size();
            }
        }
        return lastPeer;
    };
    const auto runRequest = [&](int i) {
        const auto caller = static_cast<caller_id>(i + 1);
        const attempt_id id{.request = {.entry = 7, .sequence = caller}, .attempt = 1};
        routed_request routed{.workspaceName = "workspace-0", .className = "class-0", .method = "POST", .path = chatPath, .streaming = true};
        const peer_id reservedPeer = countSent(core.handle(start, request_received{.caller = caller, .request = routed}));
        if (sample != 1) {
            countSent(core.handle(start, peer_message{reservedPeer, queued{.id = id}}));
        }
        countSent(core.handle(start, peer_message{reservedPeer, offer{.id = id, .endpointIncarnation = 5}}));
        for (int token = 0; token < tokens; ++token) {
            core.handle(start,
                        peer_message{reservedPeer, chunk{.id = id, .offset = static_cast<std::uint32_t>(token), .events = 1, .data = std::string(120, 'x')}});
        }
        core.handle(start, peer_message{reservedPeer, finished{.id = id, .httpStatus = 200, .events = static_cast<std::uint32_t>(tokens)}});
    };
    constexpr int repetitions = 300;
    const double microsecondsPerRequest = minMicrosecondsPerRun(repetitions, runRequest);
    constexpr double totalRequests = 3.0 * repetitions;
    std::printf("entry core     endpoints %4d sample %3d tokens %4d: %8.2f us per request, %6.1f frames and %8.0f bytes sent per request\n",
                endpoints,
                sample,
                tokens,
                microsecondsPerRequest,
                static_cast<double>(messages) / totalRequests,
                static_cast<double>(bytes) / totalRequests);
}

/// Measures ticks and heartbeats of an entry core with `openRequests` open requests, and the memory of an open request.
void measureEntryTick(int endpoints, int openRequests)
{
    entry_core core(entry_core_options{.incarnation = 7, .random = [](std::uint64_t bound) { return bound - 1; }});
    core.handle(start, configuration_changed{makeState(endpoints, 1, 3)});
    for (int i = 0; i < endpoints; ++i) {
        core.handle(start, endpoint_connected{.peer = static_cast<peer_id>(i + 1), .name = engineName(i), .incarnation = 5});
    }
    const std::size_t allocatedBefore = allocatedBytes();
    for (int i = 0; i < openRequests; ++i) {
        routed_request routed{.workspaceName = "workspace-0", .className = "class-0", .method = "POST", .path = chatPath, .body = std::string(2000, 'x')};
        core.handle(start, request_received{.caller = static_cast<caller_id>(i + 1), .request = routed});
    }
    const double bytesPerRequest = static_cast<double>(allocatedBytes() - allocatedBefore) / std::max(1, openRequests);
    const double microsecondsPerTick = minMicrosecondsPerRun(100, [&](int) { core.handle(start, tick{}); });
    const double microsecondsPerHeartbeat = minMicrosecondsPerRun(1000, [&](int i) {
        core.handle(start, peer_message{static_cast<peer_id>(i % endpoints + 1), heartbeat{.limit = 8}});
    });
    std::printf("entry core     endpoints %4d open %6d: %8.2f us per tick, %6.2f us per heartbeat, %6.0f bytes per open request with a 2000-byte body\n",
                endpoints,
                openRequests,
                microsecondsPerTick,
                microsecondsPerHeartbeat,
                bytesPerRequest);
}

/// Measures ticks and reservations of an endpoint core with `waiting` waiting reservations, and the memory of a reservation.
void measureEndpoint(int waiting, int workspaces)
{
    endpoint_core core(endpoint_core_options{.endpointName = engineName(0), .limiter = {.initial = 1, .minimum = 1, .maximum = 1}, .ledger = {}});
    auto state = makeState(1, workspaces, 4);
    for (auto &[name, declared] : state.classes) {
        declared.value.firstToken = std::chrono::hours(1);
    }
    core.handle(start, configuration_changed{state});
    const auto addReservation = [&](int i) {
        const attempt_id id{.request = {.entry = 1, .sequence = static_cast<std::uint64_t>(i + 1)}, .attempt = 1};
        core.handle(
            start,
            peer_message{1, reserve{.id = id, .className = "class-" + std::to_string(i % 4), .workspaceName = "workspace-" + std::to_string(i % workspaces)}});
    };
    const std::size_t allocatedBefore = allocatedBytes();
    for (int i = 0; i < waiting; ++i) {
        addReservation(i);
    }
    const double bytesPerReservation = static_cast<double>(allocatedBytes() - allocatedBefore) / waiting;
    // The wait predictor makes no prediction before it has seen enough departures. Reason 0, bound_elsewhere, counts as a departure.
    for (int i = 0; i < 20; ++i) {
        const attempt_id id{.request = {.entry = 1, .sequence = static_cast<std::uint64_t>(i + 2)}, .attempt = 1};
        core.handle(start, peer_message{1, withdraw{.id = id, .reason = 0}});
    }
    const double microsecondsPerTick = minMicrosecondsPerRun(20, [&](int i) { core.handle(start + std::chrono::milliseconds(20 * (i + 1)), tick{}); });
    const double microsecondsPerReservation = minMicrosecondsPerRun(300, [&](int i) {
        const int number = 1000000 + i;
        addReservation(number);
        const attempt_id id{.request = {.entry = 1, .sequence = static_cast<std::uint64_t>(number + 1)}, .attempt = 1};
        core.handle(start, peer_message{1, withdraw{.id = id, .reason = 1}});
    });
    std::printf("endpoint core  waiting %6d workspaces %3d: %9.2f us per tick, %6.2f us per reservation and its withdrawal, %5.0f bytes per reservation\n",
                waiting,
                workspaces,
                microsecondsPerTick,
                microsecondsPerReservation,
                bytesPerReservation);
}

/// Measures one change, a snapshot and the memory of the state.
void measureConfiguration(int endpoints, int workspaces)
{
    const auto state = makeState(endpoints, workspaces, 12);
    configuration_reducer reducer;
    log_page page{.firstRetained = 1, .next = 1, .records = {}};
    const auto append = [&](const resource &value, log_offset base) {
        page.records = {{.offset = page.next,
                         .data = makeChangeRecord({.changeId = std::to_string(page.next),
                                                   .author = "operator",
                                                   .changedAt = "2026-12-03T00:00:00Z",
                                                   .baseVersion = base,
                                                   .isDelete = false,
                                                   .value = value})}};
        ++page.next;
        reducer.apply(page);
        return page.records[0].data.size();
    };
    for (const auto &[name, item] : state.endpoints) {
        append(item.value, 0);
    }
    for (const auto &[name, item] : state.workspaces) {
        append(item.value, 0);
    }
    log_offset version = 0;
    std::size_t recordBytes = 0;
    std::vector<configuration_state> copies;
    const workspace changed{.name = "workspace-x", .keyHashes = {std::string(64, 'b')}};
    const double microsecondsPerChange = minMicrosecondsPerRun(50, [&](int) {
        recordBytes = append(changed, version);
        version = page.next - 1;
        // Each run includes a copy of the state, because a daemon publishes one after each change.
        copies.assign(1, reducer.state());
    });
    const double microsecondsPerSnapshot = minMicrosecondsPerRun(3, [&](int) { static_cast<void>(reducer.makeSnapshot()); });
    copies.clear();
    const std::size_t allocatedBefore = allocatedBytes();
    copies.assign(1, reducer.state());
    std::printf("configuration  endpoints %5d workspaces %3d: %8.1f us per change with a copy of the state, record %zu bytes, snapshot %zu bytes in %.0f us, "
                "state %zu bytes\n",
                endpoints,
                workspaces,
                microsecondsPerChange,
                recordBytes,
                reducer.makeSnapshot().size(),
                microsecondsPerSnapshot,
                allocatedBytes() - allocatedBefore);
}

void measureEvidence(int batch)
{
    const decision value{.event = event_number::attempt_started,
                         .at = start,
                         .request = {.entry = 123456789012345, .sequence = 1234567},
                         .attempt = 1,
                         .className = "contracts",
                         .tier = 2,
                         .workspaceName = "agency-north",
                         .endpointName = "engine-1234",
                         .reason = "fair_share",
                         .queuedAt = start,
                         .configuration = 26000,
                         .waiting = {1, 2, 3},
                         .tokens = 207};
    evidence_chain chain("endpoint-1234", 99);
    const std::vector<decision> decisions(static_cast<std::size_t>(batch), value);
    std::size_t bytes = 0;
    const double microsecondsPerBatch = minMicrosecondsPerRun(20, [&](int) { bytes = chain.seal(decisions).size(); });
    std::printf("evidence       batch %5d: %7.2f us and %5.0f bytes per decision\n", batch, microsecondsPerBatch / batch, static_cast<double>(bytes) / batch);
}

void measureFrames()
{
    const attempt_id id{.request = {.entry = 4503599627370495, .sequence = 1234567}, .attempt = 1};
    const auto measureFrame = [](const char *name, const message &content) {
        const std::string frame = encodeFrame(content);
        const double encode = minMicrosecondsPerRun(2000, [&](int) { static_cast<void>(encodeFrame(content)); });
        const double decode = minMicrosecondsPerRun(2000, [&](int) {
            frame_decoder decoder;
            decoder.feed(frame);
        });
        std::printf("frame          %-10s %4zu bytes, encode %5.2f us, decode %5.2f us\n", name, frame.size(), encode, decode);
    };
    measureFrame("heartbeat", heartbeat{.configuration = 26000, .running = 30, .limit = 40, .waiting = {1, 20, 300}});
    measureFrame("reserve", reserve{.id = id, .className = "contracts", .workspaceName = "agency-north", .waitedMicroseconds = 1500, .promptTokens = 900});
    measureFrame("queued", queued{.id = id});
    measureFrame("offer", offer{.id = id, .endpointIncarnation = 4503599627370495});
    measureFrame("withdraw", withdraw{.id = id, .reason = 0});
    measureFrame("refused", refused{.id = id, .kind = 6, .retryAfterMicroseconds = 1500000});
    measureFrame("chunk", chunk{.id = id, .offset = 100, .events = 1, .data = std::string(140, 'x')});
    measureFrame("finished", finished{.id = id, .httpStatus = 200, .contentType = "text/event-stream", .body = {}, .events = 200});
}

} // namespace
} // namespace wisteriashunt

int main()
{
    using namespace wisteriashunt;
    measureFrames();
    for (const int sample : {1, 2, 5, 10, 20}) {
        measureEntry(20, sample, 0);
    }
    measureEntry(20, 1, 200);
    for (const int endpoints : {20, 40, 80}) {
        measureEntryTick(endpoints, 1000);
    }
    measureEntryTick(40, 4000);
    for (const int waiting : {100, 400, 1600}) {
        measureEndpoint(waiting, 10);
    }
    measureEndpoint(400, 250);
    measureConfiguration(35, 20);
    measureConfiguration(10000, 250);
    measureEvidence(10);
    measureEvidence(1000);
    return 0;
}

// Measures the processor time of one placement at several sizes of a fleet, for docs/CAPACITY.md.
#include "dispatch/placement.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <string>

namespace wisteriashunt
{
namespace
{

constexpr time_point start{std::chrono::seconds(1000)};
constexpr int endpointsInDigest = 12;
constexpr int placements = 200;
constexpr int tries = 5;

double threadCpuSeconds()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

/// Returns the processor time of one placement of a long prompt, in microseconds; the fastest of several tries.
double measure(int entries, int endpoints)
{
    endpoint_roster roster;
    for (int i = 0; i < endpoints; ++i) {
        roster.apply({.id = "i-" + std::to_string(100000 + i), .service = "model", .address = {.ip = 1, .port = 80}, .slots = 16, .sequence = 1});
    }
    placement_planner planner(roster, "z", {});
    for (int entry = 1; entry < entries; ++entry) {
        load_digest digest;
        for (int i = 0; i < endpointsInDigest; ++i) {
            digest.endpoints["i-" + std::to_string(100000 + (entry * endpointsInDigest + i) % endpoints)] = {
                .waiting = 1, .waitingTokens = {1, 2000}, .shortPrompts = 1, .longPrompts = 1, .longPromptTokens = {1, 4000}, .recentTokens = 900};
        }
        planner.onPeerDigest("entry-" + std::to_string(entry), digest, start);
    }
    double best = 1e12;
    for (int attempt = 0; attempt < tries; ++attempt) {
        const double before = threadCpuSeconds();
        for (int i = 0; i < placements; ++i) {
            const auto key = static_cast<std::uint64_t>(i + 1);
            static_cast<void>(planner.place({.service = "model",
                                             .prompt = {{key, 2500}, {1000 + key, 3800}, {5000 + key, 2890}},
                                             .promptTokens = 9190,
                                             .hasPrompt = true,
                                             .requestKey = key,
                                             .rank = 1,
                                             .firstByteTarget = std::chrono::milliseconds(800),
                                             .maxFirstByteWait = std::chrono::milliseconds(2500)},
                                            start));
        }
        best = std::min(best, (threadCpuSeconds() - before) * 1e6 / placements);
    }
    return best;
}

} // namespace
} // namespace wisteriashunt

int main()
{
    std::printf("entries endpoints us_per_placement\n");
    for (const auto &[entries, endpoints] : {std::pair(4, 18), std::pair(28, 50), std::pair(103, 160), std::pair(301, 480)}) {
        std::printf("%d %d %.1f\n", entries, endpoints, wisteriashunt::measure(entries, endpoints));
    }
    return 0;
}

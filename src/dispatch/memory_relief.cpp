#include "dispatch/memory_relief.h"

#include <algorithm>
#include <tuple>

namespace wisteriashunt
{

namespace
{

/// Requests that hold less are not given up, as that would free next to nothing.
constexpr std::size_t leastBytes = 256;

/// Share of the limit that is freed beyond what exceeds it.
constexpr std::size_t marginDivisor = 8;

/// A partial request, ordered by what to give up first.
struct partial_request
{
    std::size_t holder = 0;
    bool isStalled = false;
    int rank = 0;
    /// Bytes times the seconds for which they are expected to be held.
    double occupancy = 0;

    [[nodiscard]] bool goesBefore(const partial_request &other) const
    {
        return std::tuple(isStalled, rank, occupancy) > std::tuple(other.isStalled, other.rank, other.occupancy);
    }
};

} // namespace

duration expectedArrival(const caller_holdings &holder)
{
    constexpr double leastPace = 1;
    constexpr double longest = 3600;
    const auto seconds = static_cast<double>(holder.missingBytes) / std::max(holder.bytesPerSecond, leastPace);
    // A request that has been quiet for a while is likely to be so for as long again.
    return std::max(holder.quiet, fromSeconds(std::min(seconds, longest)));
}

std::vector<relief_step>
decideOnRelief(const relief_options &options, std::size_t takenBytes, const std::vector<caller_holdings> &holders, const rank_lookup &rankOf)
{
    if (options.limitBytes == 0 || takenBytes <= options.limitBytes) {
        return {};
    }
    const auto target = options.limitBytes - options.limitBytes / marginDivisor;
    std::vector<relief_step> steps;
    const auto give = [&](std::size_t holder, relief_kind kind, std::size_t bytes) {
        steps.push_back({.holder = holder, .kind = kind});
        takenBytes -= std::min(takenBytes, bytes);
    };

    std::vector<std::size_t> pipelined;
    std::vector<partial_request> partial;
    bool hasStalled = false;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        if (holders[i].pipelinedBytes >= leastBytes) {
            pipelined.push_back(i);
        }
        if (holders[i].partialBytes >= leastBytes) {
            const auto arrival = expectedArrival(holders[i]);
            partial.push_back(
                {.holder = i, .isStalled = arrival > options.longestArrival, .occupancy = static_cast<double>(holders[i].partialBytes) * toSeconds(arrival)});
            hasStalled = hasStalled || partial.back().isStalled;
        }
    }
    std::stable_sort(
        pipelined.begin(), pipelined.end(), [&](std::size_t left, std::size_t right) { return holders[left].pipelinedBytes > holders[right].pipelinedBytes; });
    for (auto holder = pipelined.begin(); holder != pipelined.end() && takenBytes > target; ++holder) {
        give(*holder, relief_kind::drop_pipelined_requests, holders[*holder].pipelinedBytes);
    }

    const auto givePartial = [&](bool isStalled) {
        std::stable_sort(partial.begin(), partial.end(), [](const auto &left, const auto &right) { return left.goesBefore(right); });
        for (auto request = partial.begin(); request != partial.end() && takenBytes > target; ++request) {
            if (request->isStalled == isStalled) {
                give(request->holder, relief_kind::refuse_partial_request, holders[request->holder].partialBytes);
            }
        }
    };
    if (hasStalled) {
        givePartial(true);
    }
    if (takenBytes > target) {
        for (auto &request : partial) {
            request.rank = request.isStalled ? 0 : rankOf(request.holder);
        }
        givePartial(false);
    }
    return steps;
}

} // namespace wisteriashunt

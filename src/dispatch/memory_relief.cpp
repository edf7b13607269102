#include "dispatch/memory_relief.h"

#include <algorithm>
#include <tuple>

namespace wisteriashunt
{

namespace
{

/// A request that has sent this little is no relief.
constexpr std::size_t leastBytes = 256;

/// Share of the limit that is freed beyond it.
constexpr std::size_t marginDivisor = 8;

/// A request that is coming in, ordered by what to give up first.
struct incoming_request
{
    std::size_t holder = 0;
    bool isStalled = false;
    int rank = 0;
    /// Bytes times the seconds for which they are expected to be held.
    double occupancy = 0;

    [[nodiscard]] bool goesBefore(const incoming_request &other) const
    {
        return std::tuple(isStalled, rank, occupancy) > std::tuple(other.isStalled, other.rank, other.occupancy);
    }
};

} // namespace

duration expectedArrival(const message_holder &holder)
{
    constexpr double leastPace = 1;
    constexpr double longest = 3600;
    const auto seconds = static_cast<double>(holder.missingBytes) / std::max(holder.bytesPerSecond, leastPace);
    // A request that has been quiet for a while is likely to be so for as long again.
    return std::max(holder.quiet, fromSeconds(std::min(seconds, longest)));
}

std::vector<relief_step>
decideOnRelief(const relief_options &options, std::size_t takenBytes, const std::vector<message_holder> &holders, const rank_lookup &rankOf)
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

    std::vector<std::size_t> ahead;
    std::vector<incoming_request> incoming;
    bool hasStalled = false;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        if (holders[i].aheadBytes >= leastBytes) {
            ahead.push_back(i);
        }
        if (holders[i].incomingBytes >= leastBytes) {
            const auto arrival = expectedArrival(holders[i]);
            incoming.push_back(
                {.holder = i, .isStalled = arrival > options.longestArrival, .occupancy = static_cast<double>(holders[i].incomingBytes) * toSeconds(arrival)});
            hasStalled = hasStalled || incoming.back().isStalled;
        }
    }
    std::stable_sort(ahead.begin(), ahead.end(), [&](std::size_t left, std::size_t right) { return holders[left].aheadBytes > holders[right].aheadBytes; });
    for (auto holder = ahead.begin(); holder != ahead.end() && takenBytes > target; ++holder) {
        give(*holder, relief_kind::drop_requests_ahead, holders[*holder].aheadBytes);
    }

    const auto giveIncoming = [&](bool isStalled) {
        std::stable_sort(incoming.begin(), incoming.end(), [](const auto &left, const auto &right) { return left.goesBefore(right); });
        for (auto request = incoming.begin(); request != incoming.end() && takenBytes > target; ++request) {
            if (request->isStalled == isStalled) {
                give(request->holder, relief_kind::refuse_incoming, holders[request->holder].incomingBytes);
            }
        }
    };
    if (hasStalled) {
        giveIncoming(true);
    }
    if (takenBytes > target) {
        for (auto &request : incoming) {
            request.rank = request.isStalled ? 0 : rankOf(request.holder);
        }
        giveIncoming(false);
    }
    return steps;
}

} // namespace wisteriashunt

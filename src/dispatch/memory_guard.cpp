#include "dispatch/memory_guard.h"

#include <algorithm>
#include <numeric>

namespace wisteriashunt
{

namespace
{

/// Share of the memory of messages that is kept for answers and connections.
constexpr std::size_t reserveDivisor = 8;

} // namespace

bool hasRoomForRequest(const memory_use &use, std::size_t requestBytes)
{
    const auto limit = requestBytes < longBodyBytes ? use.limit - use.limit / reserveDivisor : use.runningLimit;
    return limit == 0 || use.running + requestBytes <= limit;
}

bool hasRoomForAnswer(const memory_use &use, std::size_t answerBytes)
{
    const auto excess = answerBytes < longBodyBytes ? use.limit / reserveDivisor : 0;
    return use.limit == 0 || use.taken <= use.limit + excess;
}

memory_decision decideOnMemory(const memory_options &options, std::size_t bodyBytes, const std::vector<std::size_t> &unreadAnswers)
{
    constexpr std::size_t shortDivisor = 2;
    auto taken = std::accumulate(unreadAnswers.begin(), unreadAnswers.end(), bodyBytes);
    if (options.budgetBytes == 0 || taken <= options.budgetBytes / shortDivisor) {
        return {};
    }
    memory_decision decision{.isShort = true};
    std::vector<std::size_t> bySize(unreadAnswers.size());
    std::iota(bySize.begin(), bySize.end(), std::size_t{0});
    std::stable_sort(bySize.begin(), bySize.end(), [&](std::size_t left, std::size_t right) { return unreadAnswers[left] > unreadAnswers[right]; });
    for (const auto answer : bySize) {
        if (taken <= options.budgetBytes || unreadAnswers[answer] == 0) {
            break;
        }
        taken -= unreadAnswers[answer];
        decision.dropped.push_back(answer);
    }
    return decision;
}

std::size_t answerBacklog(const memory_options &options, std::size_t openRequests, bool isShort)
{
    constexpr std::size_t backlogDivisor = 8;
    if (isShort) {
        return options.minBacklogBytes;
    }
    if (options.budgetBytes == 0) {
        return options.maxBacklogBytes;
    }
    return std::clamp(options.budgetBytes / backlogDivisor / std::max<std::size_t>(openRequests, 1), options.minBacklogBytes, options.maxBacklogBytes);
}

} // namespace wisteriashunt

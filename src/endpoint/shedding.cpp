#include "endpoint/shedding.h"

#include <algorithm>
#include <set>

namespace wisteriashunt
{

namespace
{

constexpr duration shortestRetryAfter = std::chrono::milliseconds(250);

struct assessed_work
{
    waiting_work work;
    int tier = tierCount;
    duration predicted {};
    bool isHopeless = false;
};

std::vector<assessed_work> assess(time_point now, const work_queue &queue, const wait_predictor &predictor)
{
    std::vector<assessed_work> all;
    for (const auto &[name, declared] : queue.classes()) {
        for (const auto &work : queue.workOfClass(name)) {
            const auto predicted = predictor.predict(now, queue, work);
            const duration wait = predicted.value_or(duration::zero());
            all.push_back({.work = work, .tier = declared.value.tier, .predicted = wait, .isHopeless = now + wait > work.latestStart});
        }
    }
    return all;
}

/// Orders victims: lowest tier first, within it the longest predicted wait first.
bool givesWayBefore(const assessed_work &a, const assessed_work &b)
{
    return a.tier != b.tier ? a.tier > b.tier : a.predicted > b.predicted;
}

/// Returns the oldest work of each class with a floor; the floor serves it in time, so it cannot give way.
std::set<attempt_id> protectedByFloor(const work_queue &queue)
{
    std::set<attempt_id> kept;
    for (const auto &[name, declared] : queue.classes()) {
        if (declared.value.floor <= 0) {
            continue;
        }
        const auto works = queue.workOfClass(name);
        const auto oldest = std::min_element(works.begin(), works.end(), [](const auto &a, const auto &b) { return a.arrivedAt < b.arrivedAt; });
        if (oldest != works.end()) {
            kept.insert(oldest->id);
        }
    }
    return kept;
}

duration retryAfterOf(const assessed_work &assessed)
{
    return std::max(shortestRetryAfter, assessed.predicted);
}

} // namespace

std::vector<shed_work> selectShedWork(time_point now, const work_queue &queue, const wait_predictor &predictor)
{
    auto all = assess(now, queue, predictor);
    if (std::none_of(all.begin(), all.end(), [](const assessed_work &assessed) { return assessed.isHopeless; })) {
        return {};
    }
    std::stable_sort(all.begin(), all.end(), givesWayBefore);
    const auto kept = protectedByFloor(queue);
    std::vector<shed_work> shed;
    std::vector<bool> isGone(all.size(), false);
    const auto refuse = [&](std::size_t index) {
        isGone[index] = true;
        shed.push_back({.work = all[index].work, .retryAfter = retryAfterOf(all[index])});
    };
    std::size_t nextVictim = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (!all[i].isHopeless || isGone[i]) {
            continue;
        }
        while (nextVictim < all.size() && all[nextVictim].tier > all[i].tier && (isGone[nextVictim] || kept.contains(all[nextVictim].work.id))) {
            ++nextVictim;
        }
        const bool lowerGivesWay = nextVictim < all.size() && all[nextVictim].tier > all[i].tier;
        refuse(lowerGivesWay ? nextVictim : i);
    }
    return shed;
}

} // namespace wisteriashunt

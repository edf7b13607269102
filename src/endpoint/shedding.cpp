#include "endpoint/shedding.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace wisteriashunt
{

namespace
{

constexpr duration minRetryAfter = std::chrono::milliseconds(250);

struct assessed_work
{
    const waiting_work *work = nullptr;
    int tier = tierCount;
    /// Index in the queue of its workspace.
    std::size_t position = 0;
    duration predicted{};
    bool missesDeadline = false;
};

std::vector<assessed_work> assess(time_point now, const work_queue &queue, const wait_predictor &predictor)
{
    std::vector<assessed_work> all;
    all.reserve(queue.size());
    const auto waiting = queue.waitingByTier();
    for (const auto &[name, declared] : queue.classes()) {
        queue.visitClass(name, [&, &declared = declared](const waiting_work &work, std::size_t position, std::size_t ahead) {
            const duration wait = predictor.predict(now, declared.value, ahead, waiting).value_or(duration::zero());
            const bool missesDeadline = work.isShed || now + wait > work.latestStart;
            all.push_back({.work = &work, .tier = declared.value.tier, .position = position, .predicted = wait, .missesDeadline = missesDeadline});
        });
    }
    return all;
}

/// Orders work to shed by lowest tier, then by most work ahead in the same workspace, so that a workspace that floods the queue is shed first.
/// All endpoints hold the same reservations and get the same order; a request shed at only some of them would neither run nor be refused.
bool precedesInShedOrder(const assessed_work &a, const assessed_work &b)
{
    return std::tuple(-a.tier, b.position, b.work->arrivedAt) < std::tuple(-b.tier, a.position, a.work->arrivedAt);
}

/// Returns the oldest work of each class with a floor, which the floor serves in time. The age of work is the same at every endpoint, so all
/// endpoints protect the same work and can shed the rest.
std::set<attempt_id> protectedByFloor(const work_queue &queue)
{
    std::set<attempt_id> protectedIds;
    for (const auto &[name, declared] : queue.classes()) {
        if (declared.value.floor <= 0) {
            continue;
        }
        const waiting_work *oldest = nullptr;
        queue.visitClass(name, [&oldest](const waiting_work &work, std::size_t, std::size_t) {
            oldest = oldest == nullptr || work.arrivedAt < oldest->arrivedAt ? &work : oldest;
        });
        if (oldest != nullptr) {
            protectedIds.insert(oldest->id);
        }
    }
    return protectedIds;
}

duration retryAfterOf(const assessed_work &assessed)
{
    return std::max(minRetryAfter, assessed.predicted);
}

} // namespace

std::vector<shed_work> selectShedWork(time_point now, const work_queue &queue, const wait_predictor &predictor)
{
    auto all = assess(now, queue, predictor);
    if (std::none_of(all.begin(), all.end(), [](const assessed_work &assessed) { return assessed.missesDeadline; })) {
        return {};
    }
    std::stable_sort(all.begin(), all.end(), precedesInShedOrder);
    const auto protectedIds = protectedByFloor(queue);
    std::vector<shed_work> shed;
    std::vector<bool> isAlreadyShed(all.size(), false);
    // Work that was shed here before may still wait at other endpoints. Until it ends, lower-tier work is shed for it.
    std::transform(all.begin(), all.end(), isAlreadyShed.begin(), [](const assessed_work &assessed) { return assessed.work->isShed; });
    const auto shedAt = [&](std::size_t index) {
        isAlreadyShed[index] = true;
        shed.push_back({.work = *all[index].work, .retryAfter = retryAfterOf(all[index])});
    };
    std::size_t nextVictim = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (!all[i].missesDeadline || (isAlreadyShed[i] && !all[i].work->isShed)) {
            continue;
        }
        while (nextVictim < all.size() && all[nextVictim].tier > all[i].tier
               && (isAlreadyShed[nextVictim] || protectedIds.contains(all[nextVictim].work->id))) {
            ++nextVictim;
        }
        const bool canShedLowerTier = nextVictim < all.size() && all[nextVictim].tier > all[i].tier;
        if (canShedLowerTier) {
            shedAt(nextVictim);
        } else if (!isAlreadyShed[i]) {
            shedAt(i);
        }
    }
    return shed;
}

} // namespace wisteriashunt

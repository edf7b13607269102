#include "endpoint/work_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace wisteriashunt
{

namespace
{

/// Assumed answer size, in tokens, until the first answer of a class has ended.
constexpr double initialMeanTokens = 100;
/// Weight of the newest answer in the exponential moving average of answer sizes.
constexpr double meanTokensGain = 0.05;
/// Bound of floor credit and debt, in mean answers, so that a long wait doesn't lead to a burst.
constexpr double floorCreditCapAnswers = 2;

} // namespace

std::string_view toString(start_reason reason)
{
    switch (reason) {
    case start_reason::tier:
        return "tier";
    case start_reason::floor:
        return "floor";
    case start_reason::fair_share:
        return "fair_share";
    }
    return "tier";
}

std::vector<waiting_work> work_queue::configure(const configuration_state &state)
{
    m_classes = state.classes;
    m_workspaces = state.workspaces;
    std::vector<waiting_work> workOfRemovedClasses;
    for (auto it = m_queues.begin(); it != m_queues.end();) {
        if (m_classes.contains(it->first)) {
            for (auto &[name, queue] : it->second.workspaces) {
                queue.weight = weightOf(name);
            }
            ++it;
            continue;
        }
        for (const auto &work : workOfClass(it->first)) {
            workOfRemovedClasses.push_back(work);
            m_index.erase(work.id);
        }
        it = m_queues.erase(it);
    }
    return workOfRemovedClasses;
}

bool work_queue::add(const waiting_work &work)
{
    if (!m_classes.contains(work.className) || m_index.contains(work.id)) {
        return false;
    }
    auto &queue = m_queues[work.className];
    auto &workspaceQueue = queue.workspaces[work.workspaceName];
    if (workspaceQueue.waiting.empty()) {
        workspaceQueue.weight = weightOf(work.workspaceName);
        activate(queue, workspaceQueue);
    }
    // Work that has waited at other endpoints keeps its arrival time, and with it its order within the workspace.
    auto &waiting = workspaceQueue.waiting;
    auto position =
        std::upper_bound(waiting.begin(), waiting.end(), work, [](const waiting_work &a, const waiting_work &b) { return a.arrivedAt < b.arrivedAt; });
    waiting.insert(position, work);
    ++queue.waitingCount;
    m_index.emplace(work.id, std::pair{work.className, work.workspaceName});
    return true;
}

void work_queue::activate(class_queue &queue, workspace_queue &workspaceQueue)
{
    // An idle workspace accrues no claim to service: it resumes at the virtual service of the least served active workspace.
    if (queue.waitingCount > 0) {
        double least = std::numeric_limits<double>::infinity();
        for (const auto &[name, other] : queue.workspaces) {
            if (!other.waiting.empty()) {
                least = std::min(least, other.virtualService);
            }
        }
        workspaceQueue.virtualService = std::max(workspaceQueue.virtualService, least);
        return;
    }
    queue.floorCredit = std::min(queue.floorCredit, 0.0);
    double leastClass = std::numeric_limits<double>::infinity();
    for (const auto &[name, other] : m_queues) {
        if (other.waitingCount > 0) {
            leastClass = std::min(leastClass, other.virtualService);
        }
    }
    if (std::isfinite(leastClass)) {
        queue.virtualService = std::max(queue.virtualService, leastClass);
    }
}

std::optional<waiting_work> work_queue::remove(const attempt_id &id)
{
    auto entry = m_index.find(id);
    if (entry == m_index.end()) {
        return std::nullopt;
    }
    auto &queue = m_queues.at(entry->second.first);
    auto &waiting = queue.workspaces.at(entry->second.second).waiting;
    auto position = std::find_if(waiting.begin(), waiting.end(), [&](const waiting_work &work) { return work.id == id; });
    waiting_work work = *position;
    waiting.erase(position);
    --queue.waitingCount;
    m_index.erase(entry);
    return work;
}

std::vector<waiting_work> work_queue::removeIf(const std::function<bool(const waiting_work &work)> &matches)
{
    std::vector<waiting_work> removed;
    for (const auto &[name, declared] : m_classes) {
        for (const auto &work : workOfClass(name)) {
            if (matches(work)) {
                remove(work.id);
                removed.push_back(work);
            }
        }
    }
    return removed;
}

void work_queue::markShed(const attempt_id &id)
{
    const auto entry = m_index.find(id);
    if (entry == m_index.end()) {
        return;
    }
    for (auto &work : m_queues.at(entry->second.first).workspaces.at(entry->second.second).waiting) {
        work.isShed = work.isShed || work.id == id;
    }
}

std::optional<chosen_work> work_queue::takeNext()
{
    std::string name;
    if (class_queue *withCredit = findClassWithFloorCredit(name)) {
        const bool isBelowHighestTier = tierOf(name) != highestWaitingTier();
        return takeFrom(name, *withCredit, isBelowHighestTier);
    }
    if (class_queue *highest = findLeastServedOfHighestTier(name)) {
        return takeFrom(name, *highest, false);
    }
    return std::nullopt;
}

work_queue::class_queue *work_queue::findClassWithFloorCredit(std::string &name)
{
    class_queue *best = nullptr;
    for (auto &[className, queue] : m_queues) {
        if (queue.waitingCount == 0 || m_classes.at(className).value.floor <= 0) {
            continue;
        }
        const double credit = queue.floorCredit;
        if (credit > 0 && (best == nullptr || credit > best->floorCredit)) {
            best = &queue;
            name = className;
        }
    }
    return best;
}

work_queue::class_queue *work_queue::findLeastServedOfHighestTier(std::string &name)
{
    class_queue *best = nullptr;
    const int tier = highestWaitingTier();
    for (auto &[className, queue] : m_queues) {
        if (queue.waitingCount == 0 || tierOf(className) != tier) {
            continue;
        }
        if (best == nullptr || queue.virtualService < best->virtualService) {
            best = &queue;
            name = className;
        }
    }
    return best;
}

chosen_work work_queue::takeFrom(const std::string &className, class_queue &queue, bool aheadOfHigherTier)
{
    workspace_queue *best = nullptr;
    std::size_t active = 0;
    for (auto &[name, candidate] : queue.workspaces) {
        if (candidate.waiting.empty()) {
            continue;
        }
        ++active;
        const bool isLessServed = best == nullptr || candidate.virtualService < best->virtualService;
        const bool isOlder =
            best != nullptr && candidate.virtualService == best->virtualService && candidate.waiting.front().arrivedAt < best->waiting.front().arrivedAt;
        if (isLessServed || isOlder) {
            best = &candidate;
        }
    }
    chosen_work choice{.work = best->waiting.front(), .reason = active > 1 ? start_reason::fair_share : start_reason::tier};
    if (aheadOfHigherTier) {
        choice.reason = start_reason::floor;
    }
    remove(choice.work.id);
    choice.chargedTokens = queue.meanTokens > 0 ? queue.meanTokens : initialMeanTokens;
    charge(className, choice.work.workspaceName, choice.chargedTokens);
    return choice;
}

void work_queue::charge(const std::string &className, const std::string &workspaceName, double tokens)
{
    auto &queue = m_queues[className];
    auto &workspaceQueue = queue.workspaces[workspaceName];
    workspaceQueue.virtualService += tokens / workspaceQueue.weight;
    queue.virtualService += tokens;
    const double cap = floorCreditCapAnswers * std::max(queue.meanTokens, initialMeanTokens);
    queue.floorCredit = std::clamp(queue.floorCredit - tokens, -cap, cap);
}

void work_queue::creditFloors(const std::string &className, double servedTokens)
{
    for (auto &[name, queue] : m_queues) {
        const traffic_class *declared = findClass(name);
        // Credit accrues only while work waits or is served, so that an idle class can't claim its floor retroactively.
        if (declared == nullptr || (queue.waitingCount == 0 && name != className)) {
            continue;
        }
        const double cap = floorCreditCapAnswers * std::max(queue.meanTokens, initialMeanTokens);
        queue.floorCredit = std::min(cap, queue.floorCredit + declared->floor * servedTokens);
    }
}

void work_queue::refund(const chosen_work &choice)
{
    if (m_queues.contains(choice.work.className)) {
        charge(choice.work.className, choice.work.workspaceName, -choice.chargedTokens);
    }
}

void work_queue::settle(const std::string &className, const std::string &workspaceName, double chargedTokens, double servedTokens)
{
    const auto found = m_queues.find(className);
    if (found == m_queues.end()) {
        return;
    }
    class_queue &queue = found->second;
    charge(className, workspaceName, servedTokens - chargedTokens);
    // Floors are credited for actual service only: the later correction of an estimate could reach other classes than the estimate did.
    creditFloors(className, servedTokens);
    queue.meanTokens = queue.meanTokens > 0 ? queue.meanTokens + meanTokensGain * (servedTokens - queue.meanTokens) : servedTokens;
}

bool work_queue::isEmpty() const
{
    return m_index.empty();
}

std::size_t work_queue::size() const
{
    return m_index.size();
}

bool work_queue::contains(const attempt_id &id) const
{
    return m_index.contains(id);
}

std::array<std::uint32_t, tierCount> work_queue::waitingByTier() const
{
    std::array<std::uint32_t, tierCount> counts{};
    for (const auto &[name, queue] : m_queues) {
        counts.at(static_cast<std::size_t>(tierOf(name) - 1)) += static_cast<std::uint32_t>(queue.waitingCount);
    }
    return counts;
}

void work_queue::visitClass(const std::string &className,
                            const std::function<void(const waiting_work &work, std::size_t position, std::size_t ahead)> &visit) const
{
    const auto found = m_queues.find(className);
    if (found == m_queues.end() || found->second.waitingCount == 0) {
        return;
    }
    std::vector<std::size_t> sizes;
    for (const auto &[name, queue] : found->second.workspaces) {
        sizes.push_back(queue.waiting.size());
    }
    std::sort(sizes.begin(), sizes.end());
    // Fair sharing serves the work at one position of every workspace before the next position of any workspace.
    std::vector<std::size_t> takenThroughPosition;
    std::size_t taken = 0;
    auto longer = sizes.begin();
    for (std::size_t position = 0; position < sizes.back(); ++position) {
        longer = std::upper_bound(longer, sizes.end(), position);
        taken += static_cast<std::size_t>(sizes.end() - longer);
        takenThroughPosition.push_back(taken);
    }
    for (const auto &[name, queue] : found->second.workspaces) {
        std::size_t position = 0;
        for (const auto &work : queue.waiting) {
            visit(work, position, takenThroughPosition[position] - 1);
            ++position;
        }
    }
}

std::vector<waiting_work> work_queue::workOfClass(const std::string &className) const
{
    std::vector<waiting_work> all;
    const auto found = m_queues.find(className);
    if (found == m_queues.end()) {
        return all;
    }
    for (const auto &[name, queue] : found->second.workspaces) {
        all.insert(all.end(), queue.waiting.begin(), queue.waiting.end());
    }
    return all;
}

const traffic_class *work_queue::findClass(const std::string &className) const
{
    const auto found = m_classes.find(className);
    return found == m_classes.end() ? nullptr : &found->second.value;
}

const std::map<std::string, versioned<traffic_class>> &work_queue::classes() const
{
    return m_classes;
}

int work_queue::tierOf(const std::string &className) const
{
    const traffic_class *declared = findClass(className);
    return declared == nullptr ? tierCount : declared->tier;
}

int work_queue::highestWaitingTier() const
{
    int highest = tierCount;
    for (const auto &[name, queue] : m_queues) {
        if (queue.waitingCount > 0) {
            highest = std::min(highest, tierOf(name));
        }
    }
    return highest;
}

double work_queue::weightOf(const std::string &workspaceName) const
{
    const auto found = m_workspaces.find(workspaceName);
    return found == m_workspaces.end() ? 1.0 : found->second.value.weight;
}

} // namespace wisteriashunt

/// Orders the waiting work of one endpoint by tiers, declared floors and fair sharing between workspaces by service received.
#pragma once

#include "wisteriashunt/messages.h"
#include "wisteriashunt/resources.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Why an attempt was chosen, as recorded in evidence.
enum class start_reason {
    /// Its class is in the highest tier with waiting work.
    tier,
    /// Its class had floor credit and was served ahead of a higher tier.
    floor,
    /// Several workspaces of its class had waiting work, and its workspace had received the least service.
    fair_share,
};

/// Returns the name of the reason that logs and evidence use.
[[nodiscard]] std::string_view toString(start_reason reason);

/// A reservation that waits for a slot.
struct waiting_work
{
    attempt_id id;
    std::uint64_t peer = 0;
    std::string className;
    std::string workspaceName;
    time_point arrivedAt;
    /// The first-token target is missed if the work starts later than this.
    time_point latestStart;
    bool idempotent = true;
    /// This endpoint has told the entry that it sheds the work. The work stays in the queue until the entry withdraws it.
    bool isShed = false;

    auto operator<=>(const waiting_work &) const = default;
};

/// Work that was taken from the queue to start next.
struct chosen_work
{
    waiting_work work;
    start_reason reason = start_reason::tier;
    /// Estimated service charged in advance, in tokens.
    double chargedTokens = 0;

    auto operator<=>(const chosen_work &) const = default;
};

/// Holds waiting work and decides what starts next. An estimate of its service, in tokens, is charged when work is chosen and settled when it ends.
class work_queue
{
public:
    /// Replaces the declared classes and workspaces. Removes and returns the work of classes that no longer exist.
    std::vector<waiting_work> configure(const configuration_state &state);

    /// Adds work. Returns false if the class is unknown or the attempt is already waiting.
    bool add(const waiting_work &work);

    /// Removes and returns an attempt, or returns nothing if it is not in the queue.
    std::optional<waiting_work> remove(const attempt_id &id);

    /// Removes and returns all work that matches.
    std::vector<waiting_work> removeIf(const std::function<bool(const waiting_work &work)> &matches);

    /// Marks work as shed. Does nothing if the attempt is not in the queue.
    void markShed(const attempt_id &id);

    /// Removes and returns the work that must start next, or returns nothing if the queue is empty.
    std::optional<chosen_work> takeNext();

    /// Reverses the charge of chosen work that did not start.
    void refund(const chosen_work &choice);

    /// Corrects the charge of work that has ended from the estimate to the service that it received. Both are in tokens.
    void settle(const std::string &className, const std::string &workspaceName, double chargedTokens, double servedTokens);

    [[nodiscard]] bool isEmpty() const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] bool contains(const attempt_id &id) const;
    [[nodiscard]] std::array<std::uint32_t, tierCount> waitingByTier() const;

    /// Calls `visit` for all work of the class, oldest first in each workspace. `position` is the number of items of its workspace before it,
    /// `ahead` the number of items of the class that fair sharing serves before it.
    void visitClass(const std::string &className, const std::function<void(const waiting_work &work, std::size_t position, std::size_t ahead)> &visit) const;

    /// Returns all work of a class, oldest first in each workspace.
    [[nodiscard]] std::vector<waiting_work> workOfClass(const std::string &className) const;

    /// Returns the declared class, or nullptr.
    [[nodiscard]] const traffic_class *findClass(const std::string &className) const;

    /// Returns the declared classes by name.
    [[nodiscard]] const std::map<std::string, versioned<traffic_class>> &classes() const;

private:
    struct workspace_queue
    {
        std::deque<waiting_work> waiting;
        double virtualService = 0;
        double weight = 1;
    };
    struct class_queue
    {
        std::map<std::string, workspace_queue> workspaces;
        std::size_t waitingCount = 0;
        double virtualService = 0;
        double floorCredit = 0;
        double meanTokens = 0;
    };

    class_queue *findClassWithFloorCredit(std::string &name);
    class_queue *findLeastServedOfHighestTier(std::string &name);
    chosen_work takeFrom(const std::string &className, class_queue &queue, bool aheadOfHigherTier);
    void charge(const std::string &className, const std::string &workspaceName, double tokens);
    void creditFloors(const std::string &className, double servedTokens);
    [[nodiscard]] int tierOf(const std::string &className) const;
    [[nodiscard]] int highestWaitingTier() const;
    [[nodiscard]] double weightOf(const std::string &workspaceName) const;
    void activate(class_queue &queue, workspace_queue &workspaceQueue);

    std::map<std::string, versioned<traffic_class>> m_classes;
    std::map<std::string, versioned<workspace>> m_workspaces;
    std::map<std::string, class_queue> m_queues;
    std::map<attempt_id, std::pair<std::string, std::string>> m_index;
};

} // namespace wisteriashunt

/// Queue of requests that wait at an entry for capacity at the endpoints of their service, the most urgent first.
///
/// Needed when long prompts arrive faster than engines can prefill them. Without the queue, freed capacity would go to the next arrival
/// regardless of rank, and requests that a short wait could have placed would be refused and miss their latency target.
#pragma once

#include "dispatch/placement.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace wisteriashunt
{

/// Orders requests by rank, then by arrival, in lines named by service and kind (see waitingLineOf()). Stores a hook that tries to start the request, not the
/// request itself.
class admission_queue
{
public:
    /// Rank, 0 being the most urgent, and order of arrival.
    using ticket = std::pair<int, std::uint64_t>;

    /// Tries to start the request. Returns false if there is no capacity for it yet.
    using start_hook = std::function<bool()>;

    [[nodiscard]] ticket join(const std::string &service, int rank, start_hook tryStart);

    /// Removes a request. Does nothing if the ticket is not in the queue.
    void leave(const std::string &service, const ticket &position);

    /// Returns true if a request of this rank or a more urgent one is waiting. A new request of this rank must then join the queue.
    [[nodiscard]] bool hasWaiting(const std::string &service, int rank) const;

    /// Starts the waiting requests of a service in order until one cannot start. Call when capacity may have been freed.
    void admitWaiting(const std::string &service);

    /// Calls admitWaiting() for every service.
    void admitWaitingOfAllServices();

    [[nodiscard]] std::size_t size() const;

private:
    std::map<std::string, std::map<ticket, start_hook>> m_queues;
    std::uint64_t m_nextArrival = 0;
};

/// Returns the line of the admission queue in which requests of the service wait. Short prompts wait for slots in a line of their own: long
/// prompts, which wait for prefill, would hold them up.
[[nodiscard]] std::string waitingLineOf(const std::string &service, bool isShortPrompt);

/// Returns whether a request of this rank or a more urgent one waits for the service.
[[nodiscard]] bool hasWaiting(const admission_queue &queue, const placement_request &request);

/// Returns whether any request waits for the service.
[[nodiscard]] bool isAnyWaiting(const admission_queue &queue, const std::string &service);

/// Returns whether the request must join its line, because others that are as urgent wait there for the same. Streams that go on and requests
/// that were tried before wait behind long prompts only.
[[nodiscard]] bool mustWaitInLine(const admission_queue &queue, const placement_request &request, bool isLongPrompt);

} // namespace wisteriashunt

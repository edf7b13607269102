#include "dispatch/waiting_line.h"

#include <limits>
#include <numeric>
#include <vector>

namespace wisteriashunt
{

admission_queue::ticket admission_queue::join(const std::string &service, int rank, start_hook tryStart)
{
    const ticket position{rank, m_nextArrival++};
    m_queues[service].emplace(position, std::move(tryStart));
    return position;
}

void admission_queue::leave(const std::string &service, const ticket &position)
{
    const auto queue = m_queues.find(service);
    if (queue == m_queues.end()) {
        return;
    }
    queue->second.erase(position);
    if (queue->second.empty()) {
        m_queues.erase(queue);
    }
}

bool admission_queue::hasWaiting(const std::string &service, int rank) const
{
    const auto queue = m_queues.find(service);
    return queue != m_queues.end() && queue->second.begin()->first.first <= rank;
}

void admission_queue::admitWaiting(const std::string &service)
{
    for (auto queue = m_queues.find(service); queue != m_queues.end(); queue = m_queues.find(service)) {
        const ticket position = queue->second.begin()->first;
        // The hook may call join() or leave(), so the request is removed from the queue before the call.
        auto tryStart = std::move(queue->second.begin()->second);
        leave(service, position);
        if (!tryStart()) {
            m_queues[service].emplace(position, std::move(tryStart));
            return;
        }
    }
}

void admission_queue::admitWaitingOfAllServices()
{
    std::vector<std::string> services;
    for (const auto &[service, queue] : m_queues) {
        services.push_back(service);
    }
    for (const auto &service : services) {
        admitWaiting(service);
    }
}

std::size_t admission_queue::size() const
{
    return std::accumulate(m_queues.begin(), m_queues.end(), std::size_t{0}, [](std::size_t sum, const auto &queue) { return sum + queue.second.size(); });
}

std::string waitingLineOf(const std::string &service, bool isShortPrompt)
{
    // Names of services have no line feeds.
    return isShortPrompt ? service + "\nshort" : service;
}

bool hasWaiting(const admission_queue &queue, const placement_request &request)
{
    return queue.hasWaiting(waitingLineOf(request.service, false), request.rank) || queue.hasWaiting(waitingLineOf(request.service, true), request.rank);
}

bool isAnyWaiting(const admission_queue &queue, const std::string &service)
{
    return hasWaiting(queue, {.service = service, .rank = std::numeric_limits<int>::max()});
}

bool mustWaitInLine(const admission_queue &queue, const placement_request &request, bool isLongPrompt)
{
    return request.hasPrompt && (isLongPrompt || request.isFirstTry()) && queue.hasWaiting(waitingLineOf(request.service, !isLongPrompt), request.rank);
}

} // namespace wisteriashunt

/// Requests that wait at an entry for room at the endpoints of their service, the most urgent first.
///
/// The load that it answers: more long prompts than engines can read. Whoever comes when room is made would otherwise get it, whatever
/// its rank; and a refusal that a moment's wait would have spared costs the caller its on-time answer.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace wisteriashunt
{

/// Keeps the order by rank, then by arrival. Holds no request itself: each waits with a hook that tries to start it.
class admission_queue
{
public:
    /// Rank (0 first) and order of arrival.
    using ticket = std::pair<int, std::uint64_t>;

    /// Tries to start the request. Returns false if there is no room for it yet.
    using start_hook = std::function<bool()>;

    [[nodiscard]] ticket join(const std::string &service, int rank, start_hook tryStart);

    /// Does nothing if the ticket is not in line.
    void leave(const std::string &service, const ticket &position);

    /// Whether a request that is at least as urgent waits; a new one must join the line behind it.
    [[nodiscard]] bool hasWaiting(const std::string &service, int rank) const;

    /// Room may have been made: starts requests in order until one does not fit.
    void admitWaiting(const std::string &service);

    /// The same for every service.
    void admitWaitingOfAllServices();

    [[nodiscard]] std::size_t size() const;

private:
    std::map<std::string, std::map<ticket, start_hook>> m_queues;
    std::uint64_t m_nextArrival = 0;
};

} // namespace wisteriashunt

#include "dispatch/waiting_line.h"

#include <numeric>
#include <vector>

namespace wisteriashunt
{

waiting_line::ticket waiting_line::join(const std::string &service, int rank, start_hook tryStart)
{
    const ticket place{rank, m_arrivals++};
    m_lines[service].emplace(place, std::move(tryStart));
    return place;
}

void waiting_line::leave(const std::string &service, const ticket &place)
{
    const auto line = m_lines.find(service);
    if (line == m_lines.end()) {
        return;
    }
    line->second.erase(place);
    if (line->second.empty()) {
        m_lines.erase(line);
    }
}

bool waiting_line::hasWaiting(const std::string &service, int rank) const
{
    const auto line = m_lines.find(service);
    return line != m_lines.end() && line->second.begin()->first.first <= rank;
}

void waiting_line::onRoom(const std::string &service)
{
    for (auto line = m_lines.find(service); line != m_lines.end(); line = m_lines.find(service)) {
        const ticket place = line->second.begin()->first;
        // Starting a request may reach this line again, so the hook is called while the request is no longer in it.
        auto tryStart = std::move(line->second.begin()->second);
        leave(service, place);
        if (!tryStart()) {
            m_lines[service].emplace(place, std::move(tryStart));
            return;
        }
    }
}

void waiting_line::onRoomAnywhere()
{
    std::vector<std::string> services;
    for (const auto &[service, line] : m_lines) {
        services.push_back(service);
    }
    for (const auto &service : services) {
        onRoom(service);
    }
}

std::size_t waiting_line::size() const
{
    return std::accumulate(m_lines.begin(), m_lines.end(), std::size_t{0}, [](std::size_t sum, const auto &line) { return sum + line.second.size(); });
}

} // namespace wisteriashunt

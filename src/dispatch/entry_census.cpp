#include "dispatch/entry_census.h"

#include <algorithm>

namespace wisteriashunt
{

entry_census::entry_census(const entry_census_options &options)
    : m_options(options)
{
}

void entry_census::onHeard(const std::string &peer, time_point now)
{
    m_heardAt[peer] = now;
    m_lastHeardAt = now;
}

bool entry_census::isCounted(time_point heardAt, time_point now) const
{
    return m_lastHeardAt - heardAt < m_options.peerMemory && now - m_lastHeardAt < m_options.isolatedPeerMemory;
}

bool entry_census::isCounted(const std::string &peer, time_point now) const
{
    const auto heardAt = m_heardAt.find(peer);
    return heardAt != m_heardAt.end() && isCounted(heardAt->second, now);
}

bool entry_census::knowsPeers(time_point now) const
{
    return std::any_of(m_heardAt.begin(), m_heardAt.end(), [&](const auto &peer) { return isCounted(peer.second, now); });
}

std::size_t entry_census::entries(time_point now) const
{
    const auto peers = std::count_if(m_heardAt.begin(), m_heardAt.end(), [&](const auto &peer) { return isCounted(peer.second, now); });
    return peers == 0 ? m_options.assumedEntries : 1 + static_cast<std::size_t>(peers);
}

void entry_census::discardOutdated(time_point now)
{
    std::erase_if(m_heardAt, [&](const auto &peer) { return !isCounted(peer.second, now); });
}

} // namespace wisteriashunt

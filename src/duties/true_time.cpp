#include "duties/true_time.h"

#include <algorithm>
#include <vector>

namespace wisteriashunt
{

namespace
{

constexpr duration dateStep = std::chrono::seconds(1);

} // namespace

true_time::true_time(const true_time_options &options, time_point now, time_point wall)
    : m_options(options)
    , m_offset(wall - now)
    , m_followedAt(now)
    , m_wallOffset(m_offset)
    , m_believedOffset(m_offset)
{
}

void true_time::onWall(time_point now, time_point wall)
{
    const auto offset = wall - now;
    if (std::chrono::abs(offset - m_wallOffset) > m_options.jump) {
        m_jumpedAt = now;
    }
    m_wallOffset = offset;
    if (std::chrono::abs(offset - m_believedOffset) <= m_options.jump) {
        m_jumpedAt.reset();
    } else if (m_jumpedAt && now - *m_jumpedAt >= m_options.jumpMemory) {
        m_jumpedAt.reset();
    }
    if (!m_jumpedAt) {
        m_believedOffset = offset;
    }
    const auto aim = target(now);
    const auto difference = aim - m_offset;
    if (std::chrono::abs(difference) > m_options.maxSlewed) {
        m_offset = aim;
    } else {
        const auto most = fromSeconds(toSeconds(std::max(now - m_followedAt, duration())) * m_options.slew);
        m_offset += std::clamp(difference, -most, most);
    }
    m_followedAt = now;
}

void true_time::onPeer(const std::string &peer, time_point wall, time_point now)
{
    if (m_peers.size() >= m_options.maxPeers && !m_peers.contains(peer)) {
        std::erase_if(m_peers, [&](const auto &item) { return now - item.second.at >= m_options.peerLifetime; });
        if (m_peers.size() >= m_options.maxPeers) {
            return;
        }
    }
    m_peers[peer] = {.offset = wall - now, .at = now};
}

void true_time::onPlatformDate(time_point date, time_point now, duration took)
{
    const auto lower = date - now;
    const auto upper = date + dateStep - (now - took);
    const auto isOutdated = [&](const std::optional<reading> &bound) { return !bound || now - bound->at >= m_options.dateLifetime; };
    if (isOutdated(m_lower) || lower > m_lower->offset) {
        m_lower = {.offset = lower, .at = now};
    }
    if (isOutdated(m_upper) || upper < m_upper->offset) {
        m_upper = {.offset = upper, .at = now};
    }
}

time_point true_time::at(time_point now) const
{
    return now + m_offset;
}

duration true_time::wallCorrection() const
{
    return m_offset - m_wallOffset;
}

duration true_time::target(time_point now) const
{
    std::vector<duration> offsets;
    for (const auto &[peer, reading] : m_peers) {
        if (now - reading.at < m_options.peerLifetime) {
            offsets.push_back(reading.offset);
        }
    }
    // Among others, the clock counts as it is: if it was wrong, the jump has mended it.
    offsets.push_back(offsets.empty() ? m_believedOffset : m_wallOffset);
    std::sort(offsets.begin(), offsets.end());
    const auto middle = offsets.size() / 2;
    auto median = offsets[middle];
    if (offsets.size() % 2 == 0) {
        // Two equal halves may stand against each other, so the nearer one is kept.
        median = std::clamp(m_offset, offsets[middle - 1], offsets[middle]);
    }
    const auto isFresh = [&](const std::optional<reading> &bound) { return bound && now - bound->at < m_options.dateLifetime; };
    if (isFresh(m_lower) && isFresh(m_upper) && m_lower->offset <= m_upper->offset) {
        median = std::clamp(median, m_lower->offset, m_upper->offset);
    }
    return median;
}

} // namespace wisteriashunt

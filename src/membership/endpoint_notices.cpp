#include "membership/endpoint_notices.h"

#include <algorithm>

namespace wisteriashunt
{

endpoint_notices::endpoint_notices(const endpoint_notice_options &options)
    : m_options(options)
{
}

bool endpoint_notices::noteLeaving(const endpoint_incarnation &incarnation, time_point now)
{
    auto &known = m_notices[incarnation];
    known.notedAt = now;
    if (known.notice.isLeaving) {
        return false;
    }
    known.notice.isLeaving = true;
    known.notice.leavingSince = now;
    discardOutdated(now);
    return true;
}

bool endpoint_notices::notePause(const endpoint_incarnation &incarnation, duration pause, time_point now)
{
    if (pause <= duration{}) {
        return false;
    }
    auto &known = m_notices[incarnation];
    known.notedAt = now;
    if (known.notice.pausedUntil >= now + pause) {
        return false;
    }
    known.notice.pausedUntil = now + pause;
    discardOutdated(now);
    return true;
}

endpoint_notice endpoint_notices::of(const endpoint_incarnation &incarnation) const
{
    const auto known = m_notices.find(incarnation);
    return known == m_notices.end() ? endpoint_notice{} : known->second.notice;
}

void endpoint_notices::discardOutdated(time_point now)
{
    std::erase_if(m_notices, [&](const auto &each) {
        const auto &[notice, notedAt] = each.second;
        return !notice.isPaused(now) && (!notice.isLeaving || now - notedAt > m_options.leavingMemory);
    });
    while (m_notices.size() > m_options.maxIncarnations) {
        const auto isEarlier = [now](const auto &left, const auto &right) {
            return std::pair(left.second.notice.isPaused(now), left.second.notedAt) < std::pair(right.second.notice.isPaused(now), right.second.notedAt);
        };
        m_notices.erase(std::min_element(m_notices.begin(), m_notices.end(), isEarlier));
    }
}

} // namespace wisteriashunt

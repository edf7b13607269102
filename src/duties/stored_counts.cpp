#include "duties/stored_counts.h"

#include <utility>

namespace wisteriashunt
{

stored_counts::stored_counts(const stored_counts_options &options)
    : m_options(options)
{
}

bool stored_counts::isStoreDue(std::int64_t window, duration sinceEnd, time_point now) const
{
    return m_underWay == call_kind::none && now >= m_retryAt && window > m_storedThrough && sinceEnd >= m_options.storeFrom && sinceEnd < m_options.storeUntil;
}

void stored_counts::beginStore(std::int64_t window)
{
    m_underWay = call_kind::store;
    m_storing = window;
}

void stored_counts::onStored(bool isStored, time_point now)
{
    m_underWay = call_kind::none;
    if (isStored) {
        m_storedThrough = m_storing;
    } else {
        m_retryAt = now + m_options.retryPause;
    }
}

bool stored_counts::isReadDue(duration sinceEnd, time_point now) const
{
    if (m_underWay != call_kind::none || now < m_retryAt || sinceEnd < m_options.firstRead) {
        return false;
    }
    return !hasReadAt(sinceEnd < m_options.lastRead ? m_options.firstRead : m_options.lastRead, sinceEnd, now);
}

void stored_counts::beginRead(time_point now)
{
    m_underWay = call_kind::read;
    m_readBegunAt = now;
}

void stored_counts::onRead(bool isAnswered, time_point now)
{
    m_underWay = call_kind::none;
    if (isAnswered) {
        m_readAt = m_readBegunAt;
    } else {
        m_retryAt = now + m_options.retryPause;
    }
}

bool stored_counts::hasRead(duration sinceHeard, duration peerLifetime, duration sinceEnd, time_point now) const
{
    const bool wasSilentAtEnd = sinceHeard >= sinceEnd + peerLifetime;
    return hasReadAt(wasSilentAtEnd ? m_options.firstRead : m_options.lastRead, sinceEnd, now);
}

bool stored_counts::hasReadAt(duration after, duration sinceEnd, time_point now) const
{
    return m_readAt && sinceEnd - (now - *m_readAt) >= after;
}

} // namespace wisteriashunt

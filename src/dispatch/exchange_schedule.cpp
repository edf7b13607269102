#include "dispatch/exchange_schedule.h"

#include <algorithm>

namespace wisteriashunt
{

exchange_schedule::exchange_schedule(const exchange_schedule_options &options)
    : m_options(options)
{
}

duration exchange_schedule::roundPeriod(std::size_t recipients) const
{
    const auto messages = static_cast<double>(recipients);
    const double seconds =
        std::max(messages / m_options.maxMessagesPerSecond, messages * static_cast<double>(m_lastMessageBytes) / m_options.maxBytesPerSecond);
    return std::clamp(fromSeconds(seconds / m_options.roundShare), m_options.busyPeriod, m_options.idlePeriod);
}

bool exchange_schedule::isRoundDue(std::size_t recipients, bool hasLoad, time_point now) const
{
    const auto sinceLast = now - m_lastRound + m_options.busyPeriod / 2;
    return sinceLast >= (hasLoad ? roundPeriod(recipients) : m_options.idlePeriod);
}

void exchange_schedule::onRound(std::size_t recipients, std::size_t bytesPerMessage, time_point now)
{
    accrue(now);
    spend(recipients, bytesPerMessage);
    m_lastRound = now;
    m_lastMessageBytes = bytesPerMessage;
}

bool exchange_schedule::mayTellNews(std::size_t recipients, time_point now)
{
    accrue(now);
    // A debt of bytes is paid off before the next news, so their size need not be known before.
    return m_messages >= static_cast<double>(recipients) && m_bytes > 0;
}

void exchange_schedule::onNews(std::size_t recipients, std::size_t bytesPerMessage, time_point now)
{
    accrue(now);
    spend(recipients, bytesPerMessage);
}

void exchange_schedule::accrue(time_point now)
{
    const double elapsed = toSeconds(std::min(now - m_accruedAt, m_options.burst));
    const double burst = toSeconds(m_options.burst);
    m_messages = std::min(m_messages + elapsed * m_options.maxMessagesPerSecond, burst * m_options.maxMessagesPerSecond);
    m_bytes = std::min(m_bytes + elapsed * m_options.maxBytesPerSecond, burst * m_options.maxBytesPerSecond);
    m_accruedAt = now;
}

void exchange_schedule::spend(std::size_t recipients, std::size_t bytesPerMessage)
{
    m_messages -= static_cast<double>(recipients);
    m_bytes -= static_cast<double>(recipients * bytesPerMessage);
}

} // namespace wisteriashunt

#include "membership/outage_watch.h"

#include <algorithm>

namespace wisteriashunt
{

outage_watch::outage_watch(const outage_watch_options &options)
    : m_options(options)
{
}

void outage_watch::noteAnswer(time_point answeredAt)
{
    if (m_lastAnswer && answeredAt <= *m_lastAnswer) {
        return;
    }
    if (m_lastAnswer && m_lastFailure && answeredAt - *m_lastAnswer >= m_options.minOutage) {
        // The log may have returned as soon as the last call had begun that failed.
        m_heldUntil = std::max(m_heldUntil, std::min(*m_lastFailure, answeredAt) + m_options.recovery);
    }
    m_lastAnswer = answeredAt;
    if (m_lastFailure && *m_lastFailure <= answeredAt) {
        m_lastFailure.reset();
    }
}

void outage_watch::onAnswer(time_point now)
{
    noteAnswer(now);
}

void outage_watch::onFailure(time_point askedAt)
{
    m_lastFailure = askedAt;
}

void outage_watch::onAnswerElsewhere(time_point answeredAt)
{
    noteAnswer(answeredAt);
}

void outage_watch::onHoldElsewhere(time_point until)
{
    m_heldUntil = std::max(m_heldUntil, until);
}

void outage_watch::onRestored(time_point now)
{
    m_heldUntil = std::max(m_heldUntil, now + m_options.recovery);
}

time_point outage_watch::heldUntil() const
{
    return m_heldUntil;
}

} // namespace wisteriashunt

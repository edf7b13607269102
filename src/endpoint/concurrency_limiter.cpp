#include "endpoint/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

namespace wisteriashunt
{

namespace
{

/// Share of the first-token target that is allotted to the back end; the rest is for waiting in the queue.
constexpr double firstTokenShare = 0.7;
/// Weight of the newest sample in the exponential moving average of first-token times.
constexpr double firstTokenGain = 0.1;

} // namespace

concurrency_limiter::concurrency_limiter(const limiter_options &options)
    : m_options(options)
    , m_limit(std::clamp(options.initial, options.minimum, options.maximum))
{
}

void concurrency_limiter::setTargets(duration firstToken, duration betweenTokens)
{
    m_firstTokenTarget = toSeconds(firstToken);
    m_gapTarget = toSeconds(betweenTokens);
}

void concurrency_limiter::setMaximum(int maximum)
{
    m_options.maximum = std::max(maximum, m_options.minimum);
    m_limit = std::min(m_limit, m_options.maximum);
}

void concurrency_limiter::observeGap(duration gap)
{
    m_gapSum += toSeconds(gap);
    ++m_gapCount;
}

void concurrency_limiter::observeFirstToken(duration wait)
{
    const double seconds = toSeconds(wait);
    m_firstTokenSum += seconds;
    ++m_firstTokenCount;
    m_expectedFirstToken = m_expectedFirstToken > 0 ? m_expectedFirstToken + firstTokenGain * (seconds - m_expectedFirstToken) : seconds;
}

double concurrency_limiter::worstTargetRatio() const
{
    double worst = 0;
    if (m_gapCount > 0 && m_gapTarget > 0) {
        worst = std::max(worst, m_gapSum / m_gapCount / m_gapTarget);
    }
    if (m_firstTokenCount > 0 && m_firstTokenTarget > 0) {
        worst = std::max(worst, m_firstTokenSum / m_firstTokenCount / (m_firstTokenTarget * firstTokenShare));
    }
    return worst;
}

void concurrency_limiter::adjust(time_point now, int running)
{
    if (now - m_lastAdjust < m_options.interval || m_gapCount + m_firstTokenCount < m_options.minimumSamples) {
        return;
    }
    m_lastAdjust = now;
    const double targetRatio = worstTargetRatio();
    if (targetRatio > m_options.highWater) {
        m_limit = std::max(m_options.minimum, static_cast<int>(std::floor(std::min(m_limit, std::max(running, 1)) * m_options.decreaseFactor)));
    } else if (targetRatio < m_options.lowWater && running >= m_limit) {
        m_limit = std::min(m_options.maximum, m_limit + 1);
    }
    m_isStraggling = m_limit == m_options.minimum && targetRatio > m_options.stragglerFactor;
    resetWindow();
}

void concurrency_limiter::resetWindow()
{
    m_gapSum = 0;
    m_gapCount = 0;
    m_firstTokenSum = 0;
    m_firstTokenCount = 0;
}

int concurrency_limiter::limitAt(time_point now) const
{
    return m_isStraggling && now < m_nextProbe ? 0 : m_limit;
}

int concurrency_limiter::limit() const
{
    return m_limit;
}

bool concurrency_limiter::isStraggling() const
{
    return m_isStraggling;
}

duration concurrency_limiter::expectedFirstToken() const
{
    return fromSeconds(m_expectedFirstToken);
}

void concurrency_limiter::onStart(time_point now)
{
    m_nextProbe = now + m_options.probeInterval;
}

} // namespace wisteriashunt

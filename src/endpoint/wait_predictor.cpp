#include "endpoint/wait_predictor.h"

#include <algorithm>
#include <cmath>

namespace wisteriashunt
{

namespace
{

/// Time constant of the departure rates, in seconds.
constexpr double rateTimeConstant = 2.0;
/// Departures that must have been seen before a prediction is made.
constexpr std::uint64_t minimumDepartures = 10;
/// Longest prediction, in seconds; stands for "not in sight".
constexpr double longestPrediction = 60;

} // namespace

void decaying_rate::add(time_point now)
{
    m_value = perSecond(now) + 1 / rateTimeConstant;
    m_updated = now;
}

double decaying_rate::perSecond(time_point now) const
{
    return m_value * std::exp(-std::max(0.0, toSeconds(now - m_updated)) / rateTimeConstant);
}

void wait_predictor::onDeparture(time_point now, int tier)
{
    m_departures.at(static_cast<std::size_t>(tier - 1)).add(now);
    ++m_seen;
}

std::optional<duration>
wait_predictor::predict(time_point now, const traffic_class &declared, std::size_t ahead, const std::array<std::uint32_t, tierCount> &waiting) const
{
    if (m_seen < minimumDepartures) {
        return std::nullopt;
    }
    double total = 0;
    double above = 0;
    double waitingAbove = 0;
    for (int tier = 1; tier <= tierCount; ++tier) {
        const auto index = static_cast<std::size_t>(tier - 1);
        const double rate = m_departures.at(index).perSecond(now);
        total += rate;
        if (tier < declared.tier) {
            above += rate;
            waitingAbove += waiting.at(index);
        }
    }
    if (total <= 0) {
        return fromSeconds(longestPrediction);
    }
    const double available = std::max({total - above, declared.floor * total, total * 1e-3});
    // The floor may serve the class while higher tiers wait, so the work above counts at the full rate only.
    const double seconds = static_cast<double>(ahead) / available + waitingAbove / total;
    return fromSeconds(std::min(seconds, longestPrediction));
}

} // namespace wisteriashunt

#include "endpoint/wait_predictor.h"

#include <algorithm>
#include <cmath>

namespace wisteriashunt
{

namespace
{

/// Time constant of the decay of departure rates.
constexpr double rateTimeConstantSeconds = 2.0;
/// Departures required before a prediction is made.
constexpr std::uint64_t minimumDepartures = 10;
/// Upper bound of predictions, also returned when the departure rate has decayed to zero.
constexpr double maxPredictionSeconds = 60;

} // namespace

void decaying_rate::add(time_point now)
{
    m_value = perSecond(now) + 1 / rateTimeConstantSeconds;
    m_updated = now;
}

double decaying_rate::perSecond(time_point now) const
{
    return m_value * std::exp(-std::max(0.0, toSeconds(now - m_updated)) / rateTimeConstantSeconds);
}

void wait_predictor::onDeparture(time_point now, int tier)
{
    m_departures.at(static_cast<std::size_t>(tier - 1)).add(now);
    ++m_departureCount;
}

std::optional<duration>
wait_predictor::predict(time_point now, const traffic_class &declared, std::size_t ahead, const std::array<std::uint32_t, tierCount> &waiting) const
{
    if (m_departureCount < minimumDepartures) {
        return std::nullopt;
    }
    double totalRate = 0;
    double higherTierRate = 0;
    double waitingInHigherTiers = 0;
    for (int tier = 1; tier <= tierCount; ++tier) {
        const auto index = static_cast<std::size_t>(tier - 1);
        const double rate = m_departures.at(index).perSecond(now);
        totalRate += rate;
        if (tier < declared.tier) {
            higherTierRate += rate;
            waitingInHigherTiers += waiting.at(index);
        }
    }
    if (totalRate <= 0) {
        return fromSeconds(maxPredictionSeconds);
    }
    // The lower bound of 0.1 % of the total rate prevents a division by zero when higher tiers take all departures.
    const double availableRate = std::max({totalRate - higherTierRate, declared.floor * totalRate, totalRate * 1e-3});
    // A floor may serve the class while higher tiers wait, so work of higher tiers is divided by the total rate, not by the available one.
    const double seconds = static_cast<double>(ahead) / availableRate + waitingInHigherTiers / totalRate;
    return fromSeconds(std::min(seconds, maxPredictionSeconds));
}

} // namespace wisteriashunt

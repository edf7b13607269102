/// Predicts queue waits from the rate at which reservations leave the queue of this endpoint.
#pragma once

#include "endpoint/work_queue.h"

#include <array>

namespace wisteriashunt
{

/// Exponentially decaying event rate, in events per second.
class decaying_rate
{
public:
    void add(time_point now);
    [[nodiscard]] double perSecond(time_point now) const;

private:
    double m_value = 0;
    time_point m_updated{};
};

/// Predicts waits across all endpoints that share work: each one holds the reservations of all entries and so sees every departure.
class wait_predictor
{
public:
    /// Records that work of the tier started at this or another endpoint.
    void onDeparture(time_point now, int tier);

    /// Returns the predicted wait of work with `ahead` items of its class before it, or nothing until enough departures were recorded.
    [[nodiscard]] std::optional<duration>
    predict(time_point now, const traffic_class &declared, std::size_t ahead, const std::array<std::uint32_t, tierCount> &waiting) const;

private:
    std::array<decaying_rate, tierCount> m_departures;
    std::uint64_t m_departureCount = 0;
};

} // namespace wisteriashunt

/// Predicts how long waiting work will wait, from the rate at which reservations leave this endpoint's queue.
#pragma once

#include "endpoint/work_queue.h"

#include <array>

namespace wisteriashunt
{

/// Exponentially decaying rate of events a second.
class decaying_rate
{
public:
    void add(time_point now);
    [[nodiscard]] double perSecond(time_point now) const;

private:
    double m_value = 0;
    time_point m_updated{};
};

/// Every endpoint sees the reservations of all entries, so the departures seen here are those of all endpoints that share the work.
class wait_predictor
{
public:
    /// Records that work of the tier started, here or elsewhere.
    void onDeparture(time_point now, int tier);

    /// Returns the predicted further wait of work of the class with `ahead` works of its class before it, or nothing while too little has been seen to tell.
    [[nodiscard]] std::optional<duration>
    predict(time_point now, const traffic_class &declared, std::size_t ahead, const std::array<std::uint32_t, tierCount> &waiting) const;

private:
    std::array<decaying_rate, tierCount> m_departures;
    std::uint64_t m_departureCount = 0;
};

} // namespace wisteriashunt

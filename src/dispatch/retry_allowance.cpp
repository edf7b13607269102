#include "dispatch/retry_allowance.h"

#include <algorithm>

namespace wisteriashunt
{

retry_allowance::retry_allowance(const retry_allowance_options &options)
    : m_options(options)
{
}

std::int64_t retry_allowance::numberAt(time_point now) const
{
    return now.time_since_epoch().count() * static_cast<std::int64_t>(partsOfWindow) / m_options.window.count();
}

retry_allowance::part &retry_allowance::current(time_point now)
{
    const std::int64_t number = numberAt(now);
    auto &place = m_parts[static_cast<std::size_t>(number) % m_parts.size()];
    if (place.number != number) {
        place = {.number = number};
    }
    return place;
}

void retry_allowance::onRequest(time_point now)
{
    current(now).requests += 1;
}

bool retry_allowance::trySpend(time_point now, std::size_t entries)
{
    auto &place = current(now);
    const std::int64_t oldest = place.number - static_cast<std::int64_t>(partsOfWindow);
    double requests = 0;
    double repeats = 0;
    for (const auto &each : m_parts) {
        if (each.number >= oldest) {
            requests += each.requests;
            repeats += each.repeats;
        }
    }
    const double share = 1.0 / static_cast<double>(std::max<std::size_t>(entries, 1));
    const double bound = m_options.usedShare * (m_options.ratio * requests + m_options.slack * share);
    if (repeats + 1 > bound) {
        return false;
    }
    place.repeats += 1;
    return true;
}

} // namespace wisteriashunt

#include "dispatch/retry_allowance.h"

#include <algorithm>

namespace wisteriashunt
{

retry_allowance::retry_allowance(const retry_allowance_options &options)
    : m_options(options)
{
}

std::int64_t retry_allowance::bucketIndexAt(time_point now) const
{
    return now.time_since_epoch().count() * static_cast<std::int64_t>(bucketCount) / m_options.window.count();
}

retry_allowance::bucket &retry_allowance::currentBucket(time_point now)
{
    const std::int64_t index = bucketIndexAt(now);
    auto &active = m_buckets[static_cast<std::size_t>(index) % m_buckets.size()];
    if (active.index != index) {
        active = {.index = index};
    }
    return active;
}

void retry_allowance::onRequest(time_point now)
{
    currentBucket(now).requests += 1;
}

bool retry_allowance::trySpend(time_point now, std::size_t entries, double share)
{
    auto &active = currentBucket(now);
    const std::int64_t oldest = active.index - static_cast<std::int64_t>(bucketCount);
    double requests = 0;
    double retries = 0;
    for (const auto &each : m_buckets) {
        if (each.index >= oldest) {
            requests += each.requests;
            retries += each.retries;
        }
    }
    const double slack = m_options.slack / static_cast<double>(std::max<std::size_t>(entries, 1));
    const double limit = share * m_options.usedShare * (m_options.ratio * requests + slack);
    if (retries + 1 > limit) {
        return false;
    }
    active.retries += 1;
    return true;
}

} // namespace wisteriashunt

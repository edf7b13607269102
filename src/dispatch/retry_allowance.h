/// Limits retries to a share of the requests of a service, over a sliding window. Used by wisteriashunt-entry; entry_core in wisteriashuntd
/// uses a token bucket that successes fill, see request/retry_budget.h.
#pragma once

#include "wisteriashunt/time.h"

#include <array>
#include <cstdint>

namespace wisteriashunt
{

/// The limit on retries, which applies to the sum over all entries.
struct retry_allowance_options
{
    /// Retries allowed per request.
    double ratio = 0.1;
    /// Retries allowed per window in addition to the ratio.
    double slack = 10;
    duration window = std::chrono::seconds(10);
    /// Share of the limit that entries use. The rest compensates for clocks and windows that differ between entries.
    double usedShare = 0.75;

    bool operator==(const retry_allowance_options &) const = default;
};

/// One entry's share of the limit for one service.
class retry_allowance
{
public:
    explicit retry_allowance(const retry_allowance_options &options);

    void onRequest(time_point now);

    /// Spends one retry. Returns false, and spends nothing, if the window's limit is reached.
    /// entries is the number of entries that share the slack; 0 counts as 1.
    /// share: share of the limit that this retry may fill, less than one for retries that leave the rest to more important ones.
    [[nodiscard]] bool trySpend(time_point now, std::size_t entries, double share = 1);

private:
    /// Number of buckets per window. The window slides by one bucket at a time.
    static constexpr std::size_t bucketCount = 10;

    struct bucket
    {
        std::int64_t index = -1;
        double requests = 0;
        double retries = 0;
    };

    [[nodiscard]] std::int64_t bucketIndexAt(time_point now) const;
    bucket &currentBucket(time_point now);

    retry_allowance_options m_options;
    std::array<bucket, bucketCount + 1> m_buckets{};
};

} // namespace wisteriashunt

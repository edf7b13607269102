/// Bounds repeated sends to a share of the requests of a service, over a sliding window.
#pragma once

#include "wisteriashunt/time.h"

#include <array>
#include <cstdint>

namespace wisteriashunt
{

/// The bound that holds over all entries together.
struct retry_allowance_options
{
    /// Repeats for each request.
    double ratio = 0.1;
    /// Repeats that are free in each window.
    double slack = 10;
    duration window = std::chrono::seconds(10);
    /// Part of the bound that is used; the rest covers clocks and windows that differ between entries.
    double usedShare = 0.75;

    bool operator==(const retry_allowance_options &) const = default;
};

/// One entry's part of the bound for one service.
class retry_allowance
{
public:
    explicit retry_allowance(const retry_allowance_options &options);

    void onRequest(time_point now);

    /// Takes one repeat. Returns false if the window's repeats are spent.
    /// entries: how many entries share the bound.
    [[nodiscard]] bool trySpend(time_point now, std::size_t entries);

private:
    /// Parts into which a window is divided; it slides by one of them.
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

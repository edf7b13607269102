/// Estimates how many answers a back end can run at once from the token latencies it delivers.
#pragma once

#include "wisteriashunt/time.h"

namespace wisteriashunt
{

/// Settings of a concurrency_limiter.
struct limiter_options
{
    int initial = 8;
    int minimum = 1;
    int maximum = 64;
    /// Time between two adjustments.
    duration interval = std::chrono::milliseconds(250);
    /// Samples required for an adjustment.
    int minimumSamples = 6;
    /// Observed latency, as a share of the target, above which the limit is lowered.
    double highWater = 0.95;
    /// Observed latency, as a share of the target, below which the limit is raised.
    double lowWater = 0.85;
    /// Factor by which a decrease multiplies the limit.
    double decreaseFactor = 0.85;
    /// A back end at its minimum limit whose latency exceeds this multiple of the target is a straggler.
    double stragglerFactor = 1.5;
    /// Time between two attempts that probe a straggler.
    duration probeInterval = std::chrono::seconds(5);
};

/// Additive-increase, multiplicative-decrease limit on concurrent answers. Uses observed latencies only, because load reports lag.
class concurrency_limiter
{
public:
    explicit concurrency_limiter(const limiter_options &options);

    /// Sets the latency targets, which are the strictest ones of the classes that the back end serves.
    void setTargets(duration firstToken, duration betweenTokens);

    /// Sets the upper bound of the limit; a value below the configured minimum is raised to it.
    void setMaximum(int maximum);

    /// Records the mean time per token of one chunk.
    void observeGap(duration gap);

    /// Records the time from the start of an attempt to its first token.
    void observeFirstToken(duration wait);

    /// Adjusts the limit if the interval has passed and enough samples were recorded. `running` is the current concurrency.
    void adjust(time_point now, int running);

    /// Returns the number of answers that may run at `now`, which is 0 for a straggler between two probes.
    [[nodiscard]] int limitAt(time_point now) const;

    /// Returns the limit regardless of the pause between the probes of a straggler.
    [[nodiscard]] int limit() const;

    [[nodiscard]] bool isStraggling() const;

    /// Returns the running mean of the time to the first token.
    [[nodiscard]] duration expectedFirstToken() const;

    /// Records that an attempt started. For a straggler this starts the pause before the next probe.
    void onStart(time_point now);

private:
    [[nodiscard]] double worstTargetRatio() const;
    void resetWindow();

    limiter_options m_options;
    int m_limit;
    double m_firstTokenTarget = 1.5; // This and the other `double` members are in seconds.
    double m_gapTarget = 0.042;
    double m_gapSum = 0;
    int m_gapCount = 0;
    double m_firstTokenSum = 0;
    int m_firstTokenCount = 0;
    double m_expectedFirstToken = 0;
    bool m_isStraggling = false;
    time_point m_lastAdjust{};
    time_point m_nextProbe{};
};

} // namespace wisteriashunt

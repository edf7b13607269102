/// Learns how many answers a back end can run at once from the token times that it delivers.
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
    /// Fewest samples that justify an adjustment.
    int minimumSamples = 6;
    /// Share of the target above which the limit falls.
    double highWater = 0.95;
    /// Share of the target below which the limit rises.
    double lowWater = 0.85;
    /// Factor of a decrease.
    double decreaseFactor = 0.85;
    /// A back end whose limit is at its minimum and that still misses its target this many times over counts as a straggler.
    double stragglerFactor = 1.5;
    /// Time between two probes of a straggler.
    duration probeInterval = std::chrono::seconds(5);
};

/// Additive-increase, multiplicative-decrease limit on concurrent answers. Uses observed times only, because load reports lag.
class concurrency_limiter
{
public:
    explicit concurrency_limiter(const limiter_options &options);

    /// Sets the strictest targets of the classes that the back end serves.
    void setTargets(duration firstToken, duration betweenTokens);

    /// Sets the upper bound of the limit, which is at least the declared minimum.
    void setMaximum(int maximum);

    /// Records the mean gap of `events` tokens that arrived together.
    void observeGap(duration gap);

    /// Records the time from the start of an attempt to its first token.
    void observeFirstToken(duration wait);

    /// Adjusts the limit when the interval has passed. `running` is the present concurrency.
    void adjust(time_point now, int running);

    /// Returns the number of answers that may run at `now`; 0 pauses a straggler between two probes.
    [[nodiscard]] int limitAt(time_point now) const;

    /// Returns the learnt limit without the straggler pause.
    [[nodiscard]] int limit() const;

    [[nodiscard]] bool isStraggling() const;

    /// Returns the running mean of the time to the first token.
    [[nodiscard]] duration expectedFirstToken() const;

    /// Tells the limiter that an attempt started, which ends the probe pause of a straggler.
    void onStart(time_point now);

private:
    [[nodiscard]] double worstTargetRatio() const;
    void resetWindow();

    limiter_options m_options;
    int m_limit;
    double m_firstTokenTarget = 1.5;
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

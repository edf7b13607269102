/// How fast the engines of a service prefill prompts and produce events, learnt from the answers that an entry sees.
///
/// A time to an event is modelled as a straight line: to the first event over the tokens to prefill, between two events over the number of
/// running streams. Lines are kept per service and software version; an endpoint deviates from the line of its version by one factor.
#pragma once

#include "wisteriashunt/time.h"

#include <string>
#include <unordered_map>

namespace wisteriashunt
{

/// A line that is fitted to observations whose errors grow with the predicted value. Older observations fade. Outliers count less.
class fitted_line
{
public:
    /// The line that holds before the first observation.
    struct prior_line
    {
        double intercept = 0;
        double slope = 0;
    };

    explicit fitted_line(const prior_line &prior);

    void observe(double x, double y);
    [[nodiscard]] double intercept() const
    {
        return m_line.intercept;
    }
    [[nodiscard]] double slope() const
    {
        return m_line.slope;
    }
    [[nodiscard]] double at(double x) const
    {
        return m_line.intercept + m_line.slope * x;
    }

private:
    void fade();
    void fit();

    prior_line m_prior;
    prior_line m_line;
    /// Weighted sums of 1, x, y, xx and xy.
    double m_sumW = 0;
    double m_sumX = 0;
    double m_sumY = 0;
    double m_sumXX = 0;
    double m_sumXY = 0;
};

/// Settings of an engine_model. The figures before the first observation are those of an engine of medium speed.
struct engine_model_options
{
    double priorPrefillTokensPerMillisecond = 45;
    /// Time to the first event, excluding the prefill.
    double priorBaseMilliseconds = 30;
    /// Time between two events of a stream that runs alone.
    double priorEventMilliseconds = 27;
    /// What each further running stream adds to it.
    double priorEventMillisecondsPerStream = 0.1;
    /// Number of observations of an endpoint at which its own factor counts as much as that of its version.
    double endpointInertia = 2;
    /// Time after which the observations of an endpoint count half.
    duration endpointHalfLife = std::chrono::seconds(6);
    /// Observations during which this process was paused for longer than this are dropped: they measure the process.
    duration maxProcessPause = std::chrono::milliseconds(50);
};

/// The engine that an observation or a prediction is for.
struct engine_key
{
    std::string service;
    std::string softwareVersion;
    std::string endpointId;
};

/// Learns the speed of engines. Not thread-safe.
class engine_model
{
public:
    explicit engine_model(const engine_model_options &options);

    /// Records a first event. tokensToPrefill: uncached tokens of the prompt and of those ahead of it.
    void onFirstEvent(const engine_key &engine, std::int64_t tokensToPrefill, duration sinceSent, duration processPause, time_point now);
    /// Records the mean time between events of an answer, and the number of streams that ran beside it.
    void onEvents(const engine_key &engine, int runningStreams, duration meanGap, duration processPause);
    /// Discards versions and endpoints that were not observed for long.
    void discardUnused(time_point now);

    [[nodiscard]] duration firstEventAfter(const engine_key &engine, std::int64_t tokensToPrefill, time_point now) const;
    /// Returns how many uncached tokens of a waiting prompt are left to prefill. tokensToPrefill: as at its sending.
    [[nodiscard]] std::int64_t
    tokensLeft(const engine_key &engine, std::int64_t uncachedTokens, std::int64_t tokensToPrefill, duration sinceSent, time_point now) const;
    [[nodiscard]] duration eventGap(const engine_key &engine, int runningStreams) const;
    [[nodiscard]] double prefillTokensPerMillisecond(const engine_key &engine) const;
    [[nodiscard]] double baseMilliseconds(const engine_key &engine) const;
    /// Returns the factor by which the endpoint takes longer than the engines of its version.
    [[nodiscard]] double endpointFactor(const engine_key &engine, time_point now) const;

private:
    struct version_lines
    {
        fitted_line firstEvent;
        fitted_line gap;
        time_point observedAt;
        /// Moving average of the logarithms of the endpoints' factors.
        double meanLogFactor = 0;
    };
    struct endpoint_deviation
    {
        /// Sum of the logarithms of the ratios to the line, and their number. Both fade.
        double logRatios = 0;
        double observations = 0;
        time_point observedAt;
    };

    /// Returns the lines of the engine's version, else those of its service, else the prior.
    [[nodiscard]] const version_lines &linesOf(const engine_key &engine) const;
    version_lines &linesToLearn(const engine_key &engine);
    [[nodiscard]] static std::string versionKey(const engine_key &engine);
    [[nodiscard]] double fading(time_point from, time_point now) const;

    engine_model_options m_options;
    version_lines m_prior;
    /// By service and software version.
    std::unordered_map<std::string, version_lines> m_versions;
    /// By service: the lines over all of its versions, with which a new version starts.
    std::unordered_map<std::string, version_lines> m_services;
    std::unordered_map<std::string, endpoint_deviation> m_endpoints;
};

} // namespace wisteriashunt

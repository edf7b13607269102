#include "dispatch/engine_model.h"

#include <algorithm>
#include <cmath>

namespace wisteriashunt
{

namespace
{

/// Share of the weight of earlier observations that is kept at each new one. Engines change with their load, so about the last 150 count.
constexpr double keptWeight = 1 - 1.0 / 150;

/// Weight of the prior, in observations. It only keeps the fit from swinging at the first few.
constexpr double priorWeight = 2;

/// Relative error from which an observation counts as an outlier, whose weight falls with its error.
constexpr double outlierError = 0.3;

/// The prior is laid through these points, so that few observations turn the line no further than they justify.
constexpr double priorPoint = 1000;

/// Factor by which one observation may differ from what the endpoint's factor predicts. A larger one is often no matter of speed: parts were
/// cached against the belief, or a single answer was late.
constexpr double maxSurprise = 1.7;

constexpr std::chrono::seconds unusedLifetime{60};

} // namespace

fitted_line::fitted_line(const prior_line &prior)
    : m_prior(prior)
    , m_line(prior)
{
}

void fitted_line::fade()
{
    for (auto *sum : {&m_sumW, &m_sumX, &m_sumY, &m_sumXX, &m_sumXY}) {
        *sum *= keptWeight;
    }
}

void fitted_line::fit()
{
    // The prior counts as observations at 0 and at priorPoint.
    double w = m_sumW;
    double wx = m_sumX;
    double wy = m_sumY;
    double wxx = m_sumXX;
    double wxy = m_sumXY;
    for (const double x : {0.0, priorPoint}) {
        const double y = m_prior.intercept + m_prior.slope * x;
        // Fades with the number of observations, which the sums of weights do not tell.
        const double weight = priorWeight / (y * y) / (1 + m_sumW * y * y);
        w += weight;
        wx += weight * x;
        wy += weight * y;
        wxx += weight * x * x;
        wxy += weight * x * y;
    }
    const double determinant = w * wxx - wx * wx;
    if (determinant <= 0) {
        return;
    }
    double slope = (w * wxy - wx * wy) / determinant;
    double intercept = (wy - slope * wx) / w;
    // Neither part can be negative. The other one then has to account for everything.
    if (slope < 0) {
        slope = 0;
        intercept = wy / w;
    } else if (intercept < 0) {
        intercept = 0;
        slope = wxy / wxx;
    }
    m_line = {.intercept = intercept, .slope = slope};
}

void fitted_line::observe(double x, double y)
{
    const double expected = std::max(at(x), 1.0);
    const double scale = std::max({expected, y, 1.0});
    const double error = std::abs(y - expected) / scale;
    const double weight = std::min(1.0, outlierError / std::max(error, outlierError)) / (expected * expected);
    fade();
    m_sumW += weight;
    m_sumX += weight * x;
    m_sumY += weight * y;
    m_sumXX += weight * x * x;
    m_sumXY += weight * x * y;
    fit();
}

engine_model::engine_model(const engine_model_options &options)
    : m_options(options)
    , m_prior{.firstEvent = fitted_line({.intercept = options.priorBaseMilliseconds, .slope = 1 / options.priorPrefillTokensPerMillisecond}),
              .gap = fitted_line({.intercept = options.priorEventMilliseconds, .slope = options.priorEventMillisecondsPerStream}),
              .observedAt = {}}
{
}

std::string engine_model::versionKey(const engine_key &engine)
{
    return engine.service + '\n' + engine.softwareVersion;
}

const engine_model::version_lines &engine_model::linesOf(const engine_key &engine) const
{
    if (const auto version = m_versions.find(versionKey(engine)); version != m_versions.end()) {
        return version->second;
    }
    const auto service = m_services.find(engine.service);
    return service == m_services.end() ? m_prior : service->second;
}

engine_model::version_lines &engine_model::linesToLearn(const engine_key &engine)
{
    const auto key = versionKey(engine);
    if (const auto known = m_versions.find(key); known != m_versions.end()) {
        return known->second;
    }
    return m_versions.emplace(key, linesOf(engine)).first->second;
}

double engine_model::fading(time_point from, time_point now) const
{
    return std::exp2(-toSeconds(now - from) / toSeconds(m_options.endpointHalfLife));
}

void engine_model::onFirstEvent(const engine_key &engine, std::int64_t tokensToPrefill, duration sinceSent, duration processPause, time_point now)
{
    if (processPause > m_options.maxProcessPause) {
        return;
    }
    const auto tokens = static_cast<double>(tokensToPrefill);
    auto &lines = linesToLearn(engine);
    const double ownFactor = endpointFactor(engine, now);
    const double surprise = toMilliseconds(sinceSent) / std::max(1.0, lines.firstEvent.at(tokens) * ownFactor);
    const double ratio = ownFactor * std::clamp(surprise, 1 / maxSurprise, maxSurprise);
    // A line must not learn what sets single endpoints apart, but what all of them have in common belongs to it.
    constexpr double meanWeight = 0.02;
    lines.meanLogFactor += meanWeight * (std::log(ownFactor) - lines.meanLogFactor);
    const double common = toMilliseconds(sinceSent) * std::exp(lines.meanLogFactor) / ownFactor;
    lines.firstEvent.observe(tokens, common);
    lines.observedAt = now;
    auto &service = m_services.try_emplace(engine.service, m_prior).first->second;
    service.firstEvent.observe(tokens, common);
    service.observedAt = now;
    auto &endpoint = m_endpoints[engine.endpointId];
    const double kept = fading(endpoint.observedAt, now);
    endpoint.logRatios = endpoint.logRatios * kept + std::log(ratio);
    endpoint.observations = endpoint.observations * kept + 1;
    endpoint.observedAt = now;
}

void engine_model::onEvents(const engine_key &engine, int runningStreams, duration meanGap, duration processPause)
{
    if (processPause > m_options.maxProcessPause) {
        return;
    }
    linesToLearn(engine).gap.observe(runningStreams, toMilliseconds(meanGap));
    m_services.try_emplace(engine.service, m_prior).first->second.gap.observe(runningStreams, toMilliseconds(meanGap));
}

void engine_model::discardUnused(time_point now)
{
    const auto isUnused = [&](const auto &each) { return now - each.second.observedAt > unusedLifetime; };
    std::erase_if(m_versions, isUnused);
    std::erase_if(m_endpoints, isUnused);
}

double engine_model::endpointFactor(const engine_key &engine, time_point now) const
{
    const auto known = m_endpoints.find(engine.endpointId);
    if (known == m_endpoints.end()) {
        return 1;
    }
    const double kept = fading(known->second.observedAt, now);
    return std::exp(known->second.logRatios * kept / (known->second.observations * kept + m_options.endpointInertia));
}

duration engine_model::firstEventAfter(const engine_key &engine, std::int64_t tokensToPrefill, time_point now) const
{
    const double milliseconds = linesOf(engine).firstEvent.at(static_cast<double>(tokensToPrefill)) * endpointFactor(engine, now);
    return fromSeconds(milliseconds / 1000);
}

std::int64_t
engine_model::tokensLeft(const engine_key &engine, std::int64_t uncachedTokens, std::int64_t tokensToPrefill, duration sinceSent, time_point now) const
{
    const double prefilled = prefillTokensPerMillisecond(engine) * toMilliseconds(sinceSent) / endpointFactor(engine, now);
    return std::clamp<std::int64_t>(tokensToPrefill - static_cast<std::int64_t>(prefilled), 0, uncachedTokens);
}

duration engine_model::eventGap(const engine_key &engine, int runningStreams) const
{
    return fromSeconds(linesOf(engine).gap.at(runningStreams) / 1000);
}

double engine_model::prefillTokensPerMillisecond(const engine_key &engine) const
{
    constexpr double maxTokensPerMillisecond = 10000;
    const double slope = linesOf(engine).firstEvent.slope();
    return slope * maxTokensPerMillisecond <= 1 ? maxTokensPerMillisecond : 1 / slope;
}

double engine_model::baseMilliseconds(const engine_key &engine) const
{
    return linesOf(engine).firstEvent.intercept();
}

} // namespace wisteriashunt

#include "dispatch/hedge_policy.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace wisteriashunt
{

namespace
{

/// Stands for the prediction of requests that have none.
constexpr std::chrono::milliseconds unpredicted{1};

/// Number of services from which on state of those without recent requests is discarded.
constexpr std::size_t maxServices = 256;

double secondsPredicted(duration predicted)
{
    return toSeconds(predicted > duration{} ? predicted : duration(unpredicted));
}

} // namespace

std::optional<std::string> faultOf(const hedge_limits &limits)
{
    if (!(limits.requestsShare >= 0 && limits.requestsShare <= 1)) {
        return "share of hedged requests: expected a number from 0 to 1, found " + std::to_string(limits.requestsShare);
    }
    if (!(limits.tokensPerSecond >= 0 && std::isfinite(limits.tokensPerSecond))) {
        return "tokens per second of hedges: expected a non-negative number, found " + std::to_string(limits.tokensPerSecond);
    }
    if (limits.tokensPerSecond > 0 && !limits.areOn()) {
        return "tokens per second of hedges: expected 0, since the share of hedged requests is 0";
    }
    return std::nullopt;
}

std::string_view toString(hedge_obstacle obstacle)
{
    constexpr std::array<std::string_view, 14> names{"none",
                                                     "once_only",
                                                     "begun",
                                                     "no_attempts_left",
                                                     "quarantined",
                                                     "entry_leaves",
                                                     "no_time_left",
                                                     "few_samples",
                                                     "target_safe",
                                                     "not_placed",
                                                     "busy",
                                                     "not_earlier",
                                                     "limit",
                                                     "retry_allowance"};
    return names.at(static_cast<std::size_t>(obstacle));
}

bool isFinal(hedge_obstacle obstacle)
{
    switch (obstacle) {
    case hedge_obstacle::once_only:
    case hedge_obstacle::begun:
    case hedge_obstacle::no_attempts_left:
    case hedge_obstacle::quarantined:
    case hedge_obstacle::entry_leaves:
    case hedge_obstacle::no_time_left:
        return true;
    default:
        return false;
    }
}

void hedge_policy::time_ratios::add(double ratio, double memorySamples)
{
    const double octave = std::log2(std::max(ratio, std::exp2(lowestOctave))) - lowestOctave;
    const auto step = std::min(static_cast<std::size_t>(octave * stepsPerOctave), stepCount - 1);
    m_counts[step] += 1;
    m_samples += 1;
    if (m_samples >= 2 * memorySamples) {
        for (auto &count : m_counts) {
            count /= 2;
        }
        m_samples /= 2;
    }
}

double hedge_policy::time_ratios::quantile(double share) const
{
    double counted = 0;
    std::size_t step = 0;
    while (step + 1 < stepCount && (counted += m_counts[step]) < share * m_samples) {
        ++step;
    }
    // The upper end of the step, so that no more than the rest exceeds it.
    return std::exp2(static_cast<double>(step + 1) / stepsPerOctave + lowestOctave);
}

hedge_policy::hedge_policy(const hedge_options &options)
    : m_options(options)
{
}

hedge_policy::request_count &hedge_policy::countAt(service_state &state, time_point now) const
{
    const auto index = now.time_since_epoch().count() * countsPerWindow / m_options.window.count();
    auto &active = state.counts[static_cast<std::size_t>(index) % state.counts.size()];
    if (active.index != index) {
        active = {.index = index};
    }
    return active;
}

void hedge_policy::onRequest(const std::string &service, std::size_t entries, time_point now)
{
    if (!isOn()) {
        return;
    }
    m_firstRequestAt = m_firstRequestAt.value_or(now);
    if (!m_services.contains(service)) {
        forgetUnused(now);
    }
    auto &state = m_services[service];
    auto &active = countAt(state, now);
    active.requests += 1;
    // Between two requests, as many entries as before the change may have shared the limit.
    active.mostEntries = std::max({active.mostEntries, entries, state.entries});
    state.entries = std::max<std::size_t>(entries, 1);
    state.usedAt = now;
}

void hedge_policy::forgetUnused(time_point now)
{
    if (m_services.size() < maxServices) {
        return;
    }
    std::erase_if(m_services, [&](const auto &each) { return now - each.second.usedAt > 2 * m_options.window; });
    std::erase_if(m_ratios, [this](const auto &each) { return !m_services.contains(each.first.first); });
}

void hedge_policy::onTook(const std::string &service, hedge_kind kind, duration predicted, duration took)
{
    if (isOn() && m_services.contains(service)) {
        m_ratios[{service, kind}].add(toSeconds(took) / secondsPredicted(predicted), m_options.memorySamples);
    }
}

double hedge_policy::quantileShare() const
{
    return std::clamp(1 - m_options.limits.requestsShare, m_options.minQuantile, m_options.maxQuantile);
}

const hedge_policy::time_ratios *hedge_policy::ratiosOf(const std::string &service, hedge_kind kind) const
{
    const auto found = m_ratios.find({service, kind});
    return found == m_ratios.end() || found->second.samples() < m_options.minExceeding / (1 - quantileShare()) ? nullptr : &found->second;
}

std::optional<duration> hedge_policy::delayOf(const std::string &service, hedge_kind kind, duration predicted) const
{
    const auto *ratios = ratiosOf(service, kind);
    return ratios == nullptr ? std::nullopt : std::optional(fromSeconds(ratios->quantile(quantileShare()) * secondsPredicted(predicted)));
}

duration hedge_policy::nextLook(const slow_request &request, hedge_obstacle obstacle) const
{
    const double next = m_options.nextLookFactor * toSeconds(request.running);
    // At that time, the target is at stake by what the run has taken alone.
    const double atStake = toSeconds(request.running + request.toTarget) / (1 + m_options.remainingShare);
    // Just after it, so that rounding does not take the look to before it.
    constexpr std::chrono::milliseconds margin{1};
    return margin + fromSeconds(obstacle == hedge_obstacle::target_safe ? std::max(next, atStake) : next);
}

hedge_obstacle hedge_policy::obstacleOf(const slow_request &request, const hedge_questions &ask) const
{
    const auto &state = request.state;
    if (!mayRepeat(state)) {
        return hedge_obstacle::once_only;
    }
    if (state.hasForwarded) {
        return hedge_obstacle::begun;
    }
    if (state.sentAttempts >= state.maxAttempts) {
        return hedge_obstacle::no_attempts_left;
    }
    if (state.mayCrashEndpoints) {
        return hedge_obstacle::quarantined;
    }
    if (request.isEntryLeaving) {
        return hedge_obstacle::entry_leaves;
    }
    const auto *ratios = ratiosOf(request.service, request.kind);
    if (!state.hasTime) {
        return hedge_obstacle::no_time_left;
    }
    if (ratios == nullptr) {
        return hedge_obstacle::few_samples;
    }
    constexpr double tailDivisor = 4;
    constexpr double median = 0.5;
    const double running = toSeconds(request.running);
    const double slowest = ratios->quantile(1 - (1 - quantileShare()) / tailDivisor) * secondsPredicted(request.predicted);
    const double remaining = std::max(slowest - running, m_options.remainingShare * running);
    if (remaining < toSeconds(request.toTarget)) {
        return hedge_obstacle::target_safe;
    }
    const auto target = ask.place();
    if (!target) {
        return hedge_obstacle::not_placed;
    }
    if (target->isFull || target->isBusier) {
        return hedge_obstacle::busy;
    }
    const double elsewhere = ratios->quantile(median) * secondsPredicted(target->predicted);
    if (elsewhere > toSeconds(request.toDeadline)) {
        return hedge_obstacle::no_time_left;
    }
    return elsewhere > m_options.earlierShare * remaining ? hedge_obstacle::not_earlier : hedge_obstacle::none;
}

bool hedge_policy::hasRoom(service_state &state, std::int64_t tokens, time_point now) const
{
    std::erase_if(state.hedges, [&](const hedge &each) { return now - each.at > m_options.window; });
    const auto current = countAt(state, now).index;
    double requests = 0;
    std::size_t mostEntries = state.entries;
    for (const auto &each : state.counts) {
        // The oldest count may have begun before the window: its entries count, its requests do not.
        if (each.index >= current - countsPerWindow) {
            requests += each.index == current - countsPerWindow ? 0 : each.requests;
            mostEntries = std::max(mostEntries, each.mostEntries);
        }
    }
    if (static_cast<double>(state.hedges.size() + 1) > m_options.limits.requestsShare * requests) {
        return false;
    }
    if (tokens == 0) {
        return true;
    }
    // Until then the others may have divided the limit among themselves only.
    if (!m_firstRequestAt || now - *m_firstRequestAt < m_options.window + m_options.settlingTime) {
        return false;
    }
    const double limit = m_options.limits.tokensPerSecond * toSeconds(m_options.window) / static_cast<double>(mostEntries);
    auto spent = static_cast<double>(tokens);
    for (const auto &each : state.hedges) {
        spent += static_cast<double>(each.tokens);
    }
    return spent <= limit;
}

hedge_obstacle hedge_policy::decide(const slow_request &request, const hedge_questions &ask, time_point now)
{
    if (const auto obstacle = obstacleOf(request, ask); obstacle != hedge_obstacle::none) {
        return obstacle;
    }
    const auto state = m_services.find(request.service);
    if (state == m_services.end() || !hasRoom(state->second, request.promptTokens, now)) {
        return hedge_obstacle::limit;
    }
    if (!ask.trySpendRetry(m_options.retryAllowanceShare)) {
        return hedge_obstacle::retry_allowance;
    }
    state->second.hedges.push_back({.at = now, .tokens = request.promptTokens});
    return hedge_obstacle::none;
}

} // namespace wisteriashunt

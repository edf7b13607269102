#include "duties/scaling_policy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <limits>

namespace wisteriashunt
{

namespace
{

/// First bytes that are late while less than this share of the slots is taken are not for lack of endpoints.
constexpr double minUseOfLate = 0.5;
/// Times whose loads are compared for growth.
constexpr int growthTimes = 4;

const char *nameOf(scaling_cause cause)
{
    switch (cause) {
    case scaling_cause::bounds:
        return "bounds";
    case scaling_cause::load:
        return "load";
    case scaling_cause::growth:
        return "growth";
    case scaling_cause::first_bytes:
        return "first_bytes";
    case scaling_cause::lost:
        return "lost";
    case scaling_cause::fall:
        return "fall";
    }
    return "";
}

int clampTo(const scaling_declaration &bounds, double endpoints)
{
    return static_cast<int>(std::clamp(std::ceil(endpoints), double(bounds.minEndpoints), double(bounds.maxEndpoints)));
}

} // namespace

std::string describe(const scaling_decision &decision)
{
    constexpr std::size_t maxBytes = 200;
    std::string text(maxBytes, '\0');
    const auto &load = decision.load;
    const int bytes = std::snprintf(text.data(),
                                    text.size(),
                                    "%s: %.0f run, %.0f wait, %.1f/s refused, first byte %.2f of target, needs %.1f, %d serve",
                                    nameOf(decision.cause),
                                    load.running,
                                    load.waiting,
                                    load.refusedPerSecond,
                                    load.firstByteShare,
                                    decision.needed,
                                    decision.serving);
    text.resize(std::min(maxBytes - 1, static_cast<std::size_t>(std::max(0, bytes))));
    return text;
}

scaling_policy::scaling_policy(const scaling_policy_options &options)
    : m_options(options)
{
}

std::vector<scaling_decision> scaling_policy::decide(const scaled_service &service, time_point now)
{
    std::erase_if(m_zones, [&](const auto &known) {
        return std::none_of(service.zones.begin(), service.zones.end(), [&](const auto &zone) { return zone.availabilityZone == known.first; });
    });
    if (!service.isUsable) {
        return {};
    }
    const auto times = spansOf(service);
    const auto needed = neededIn(service);
    std::vector<scaling_decision> decisions;
    for (std::size_t i = 0; i < service.zones.size(); ++i) {
        const auto &zone = service.zones[i];
        auto &history = m_zones[zone.availabilityZone];
        record(history, zone, {.at = now, .needed = needed[i], .smoothed = needed[i], .isComplete = service.isComplete}, times);
        if (auto decision = decideZone(service, zone, history, now)) {
            decisions.push_back(*std::move(decision));
        }
    }
    return decisions;
}

scaling_policy::spans scaling_policy::spansOf(const scaled_service &service) const
{
    constexpr int riseDivisor = 8;
    constexpr int growthDivisor = 3;
    constexpr int clearDivisor = 4;
    const auto start = service.bounds.startTime;
    return {.rise = std::clamp(start / riseDivisor, m_options.minRiseTime, m_options.maxRiseTime),
            .growth = std::clamp(start / growthDivisor, m_options.minGrowthTime, m_options.maxGrowthTime),
            .clear = std::clamp(start / clearDivisor, m_options.minClearTime, m_options.maxClearTime),
            .fall = std::clamp(2 * start, m_options.minFallTime, m_options.maxFallTime)};
}

std::vector<double> scaling_policy::neededIn(const scaled_service &service) const
{
    const auto perEndpoint = std::max(1.0, service.slots) * m_options.targetUse;
    const auto clearSeconds = toSeconds(spansOf(service).clear);
    const auto slotsOf = [&](const scaling_load &load, double runSeconds) {
        return load.running + load.refusedPerSecond * runSeconds + load.waiting * std::min(1.0, runSeconds / clearSeconds);
    };
    double running = 0;
    double begunPerSecond = 0;
    for (const auto &zone : service.zones) {
        running += zone.load.running;
        begunPerSecond += zone.load.begunPerSecond;
    }
    // The mean over what has begun of late; those that have hung for long are no measure.
    const auto runSeconds = begunPerSecond > 0 ? running / begunPerSecond : toSeconds(m_options.defaultRunTime);
    const auto share = slotsOf(service.elsewhere, runSeconds) / static_cast<double>(std::max<std::size_t>(1, service.zones.size()));
    const double most = service.bounds.maxEndpoints;
    std::vector<double> needed;
    double excess = 0;
    double room = 0;
    for (const auto &zone : service.zones) {
        auto endpoints = (slotsOf(zone.load, runSeconds) + share) / perEndpoint;
        const auto late = std::min(zone.load.firstByteShare, m_options.maxLateFactor);
        if (late > 1 && zone.load.running >= minUseOfLate * service.slots * zone.serving) {
            endpoints = std::max(endpoints, late * zone.serving);
        }
        excess += std::max(0.0, endpoints - most);
        room += std::max(0.0, most - endpoints);
        needed.push_back(endpoints);
    }
    for (auto &endpoints : needed) {
        const auto own = std::max(0.0, most - endpoints);
        endpoints = std::min(most, endpoints) + (room > 0 ? std::min(1.0, excess / room) * own : 0);
    }
    return needed;
}

void scaling_policy::record(zone_history &history, const scaled_zone &zone, sample newest, const spans &times) const
{
    auto &samples = history.samples;
    if (!samples.empty() && newest.at - samples.back().at > m_options.maxGap) {
        samples.clear();
    }
    if (samples.empty() || newest.at - samples.back().at >= m_options.samplePeriod) {
        if (!samples.empty()) {
            const auto &before = samples.back();
            newest.smoothed += (before.smoothed - newest.needed) * std::exp(-toSeconds(newest.at - before.at) / toSeconds(times.rise));
        }
        samples.push_back(newest);
        // One sample that is older than the memory shows that all of it is covered.
        const auto memory = std::max(times.fall, growthTimes * times.growth);
        while (samples.size() > 1 && samples[1].at <= newest.at - memory) {
            samples.pop_front();
        }
    }
    if (history.order != zone.order) {
        history.isFall = history.order && zone.order && zone.order->desired < history.order->desired;
        history.order = zone.order;
        history.mostServing = zone.serving;
        history.fewerSince.reset();
    }
    history.mostServing = std::max(history.mostServing, zone.serving);
}

std::optional<scaling_decision> scaling_policy::decideZone(const scaled_service &service, const scaled_zone &zone, zone_history &history, time_point now) const
{
    const auto times = spansOf(service);
    const auto &bounds = service.bounds;
    const auto &samples = history.samples;
    const int current = zone.order ? zone.order->desired : history.mostServing;
    scaling_decision decision{
        .availabilityZone = zone.availabilityZone, .serving = zone.serving, .load = zone.load, .needed = samples.empty() ? 0 : samples.back().needed};
    const auto decide = [&](int desired, scaling_cause cause) {
        decision.desired = desired;
        decision.cause = cause;
        return decision;
    };

    // What load has lasted is not known of less time.
    const bool isKnown = !samples.empty() && samples.front().at <= now - times.rise;
    double lasting = isKnown ? samples.back().needed : 0;
    for (auto each = samples.rbegin(); isKnown && each != samples.rend() && each->at >= now - times.rise; ++each) {
        lasting = std::min(lasting, each->needed);
    }
    const auto growth = growthOf(history, times, bounds.startTime, now);
    // Once it is known to last, all of it counts, so that one order does.
    const auto newest = isKnown ? std::min(samples.back().needed, samples.back().smoothed) : 0;
    const auto expected = std::max(lasting, newest) + growth;
    const int risen = isKnown && lasting + growth > m_options.riseBand * current ? clampTo(bounds, expected) : 0;
    // Those that have begun and are gone are not expected any more.
    const bool isStarting = zone.order && now < zone.order->at + bounds.startTime + m_options.startGrace;
    const int coming = isStarting ? std::max(0, current - history.mostServing) : 0;
    if (zone.serving + coming >= current) {
        history.fewerSince.reset();
    } else if (!history.fewerSince) {
        history.fewerSince = now;
    }
    if (current < bounds.minEndpoints || current > bounds.maxEndpoints) {
        return decide(std::max(clampTo(bounds, current), risen), scaling_cause::bounds);
    }
    if (risen > current) {
        const bool isLoad = lasting > current;
        const auto &load = zone.load;
        const bool isLate = load.firstByteShare > 1 && load.waiting == 0 && load.refusedPerSecond == 0;
        return decide(risen, !isLoad ? scaling_cause::growth : isLate ? scaling_cause::first_bytes : scaling_cause::load);
    }
    if (history.fewerSince && now - *history.fewerSince >= m_options.lossDelay) {
        return decide(current, scaling_cause::lost);
    }
    constexpr int stepDivisor = 4;
    const auto pause = history.isFall ? times.fall / stepDivisor : times.fall;
    if (samples.empty() || samples.front().at > now - times.fall || (zone.order && now - zone.order->at < pause)) {
        return std::nullopt;
    }
    double most = expected;
    for (const auto &each : samples) {
        if (each.at >= now - times.fall) {
            if (!each.isComplete) {
                return std::nullopt;
            }
            most = std::max(most, each.smoothed);
        }
    }
    const int fallen = std::max(clampTo(bounds, most), current - std::max(1, static_cast<int>(current * m_options.maxFallShare)));
    if (fallen >= current || most >= current * m_options.fallBand) {
        return std::nullopt;
    }
    return decide(fallen, scaling_cause::fall);
}

double scaling_policy::growthOf(const zone_history &history, const spans &times, duration startTime, time_point now) const
{
    if (history.samples.empty() || history.samples.front().at > now - growthTimes * times.growth) {
        return 0;
    }
    std::array<double, growthTimes> sums{};
    std::array<int, growthTimes> counts{};
    for (const auto &each : history.samples) {
        if (const auto back = static_cast<std::size_t>((now - each.at) / times.growth); back < sums.size()) {
            sums.at(back) += each.needed;
            ++counts.at(back);
        }
    }
    auto growth = std::numeric_limits<double>::infinity();
    for (std::size_t back = 0; back + 1 < sums.size(); ++back) {
        if (counts.at(back) == 0 || counts.at(back + 1) == 0) {
            return 0;
        }
        growth = std::min(growth, sums.at(back) / counts.at(back) - sums.at(back + 1) / counts.at(back + 1));
    }
    const auto newest = sums.front() / counts.front();
    const auto expected = growth * (toSeconds(startTime + times.rise) / toSeconds(times.growth));
    return std::clamp(expected, 0.0, m_options.maxGrowth * newest);
}

} // namespace wisteriashunt

/// Decides how many endpoints of a service each availability zone should have.
///
/// The load is counted in endpoints: slots that requests take or would take if they did not wait or were not refused, divided by the slots of an
/// endpoint that are meant to be taken. Numbers rise with the load that has lasted a short while, and with its growth until ordered endpoints begin;
/// they fall with the highest load of a long while.
/// Endpoints that were ordered and have not begun yet are room to come, so they are not ordered twice.
#pragma once

#include "wisteriashunt/routing.h"
#include "wisteriashunt/time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Settings of scaling_policy. Times that depend on the start-up time of endpoints are held between the bounds given for each.
struct scaling_policy_options
{
    /// Share of an endpoint's slots that is meant to be taken. The rest bears what comes until ordered endpoints begin.
    double targetUse = 0.75;
    /// Time for which a request takes a slot if no endpoint runs any that would tell.
    duration defaultRunTime = std::chrono::seconds(1);
    /// Time within which ordered endpoints are to run what waits, besides what arrives meanwhile: startTime / 4.
    duration minClearTime = std::chrono::seconds(2);
    duration maxClearTime = std::chrono::seconds(30);
    /// Time for which load must have lasted before endpoints are ordered for it: startTime / 8. Callers wait for it, shorter bursts cost nothing.
    duration minRiseTime = std::chrono::seconds(1);
    duration maxRiseTime = std::chrono::seconds(10);
    /// The number rises only if the load needs more than this factor of it.
    double riseBand = 1.1;
    /// Time over which growth is measured, three times in a row, so that a step is not taken for a slope: startTime / 3.
    duration minGrowthTime = std::chrono::seconds(3);
    duration maxGrowthTime = std::chrono::minutes(1);
    /// Most endpoints that are ordered for growth, as a share of those that the load needs by now.
    double maxGrowth = 1.0;
    /// Time over which the highest load counts before the number falls, and the least time from an order to a lower one: 2 startTime. From one fall to
    /// the next it is a quarter.
    duration minFallTime = std::chrono::seconds(30);
    duration maxFallTime = std::chrono::minutes(10);
    /// The number falls only if the load needs less than this share of it, and by no more than the other share at once.
    double fallBand = 0.85;
    double maxFallShare = 0.25;
    /// Most of the factor by which a predicted first byte that comes later than its target raises the number of endpoints.
    double maxLateFactor = 1.25;
    /// Time after startTime in which ordered endpoints are still expected, and for which lost ones are waited for.
    duration startGrace = std::chrono::seconds(2);
    duration lossDelay = std::chrono::seconds(2);
    /// Time between two samples of the load, and the longest gap between two of them that does not end what was learnt of the load.
    duration samplePeriod = std::chrono::milliseconds(500);
    duration maxGap = std::chrono::milliseconds(2500);
};

/// Load of a service in an availability zone, over all entries.
struct scaling_load
{
    /// Requests that endpoints of the zone run, and those that they have begun per second.
    double running = 0;
    double begunPerSecond = 0;
    /// Requests that wait at entries of the zone for an endpoint, and requests refused there for lack of room, per second.
    double waiting = 0;
    double refusedPerSecond = 0;
    /// Predicted time to the first byte divided by its target, where it is worst; 0 if no entry predicts one.
    double firstByteShare = 0;

    bool operator==(const scaling_load &) const = default;
};

/// The newest order for a zone. The time is when this entry first knew of it.
struct placed_order
{
    int desired = 0;
    time_point at;

    bool operator==(const placed_order &) const = default;
};

/// A zone in which a service runs.
struct scaled_zone
{
    std::string availabilityZone;
    /// Endpoints that take requests. Those that drain or were lost are gone.
    int serving = 0;
    scaling_load load;
    std::optional<placed_order> order;
};

/// What is known of a service.
struct scaled_service
{
    scaling_declaration bounds;
    /// Requests that one endpoint runs at once.
    double slots = 1;
    std::vector<scaled_zone> zones;
    /// Load at entries of zones in which the service does not run.
    scaling_load elsewhere;
    /// Whether enough entries have told their load for an order, and whether all have that may have any.
    bool isUsable = false;
    bool isComplete = false;
};

enum class scaling_cause {
    /// The declaration's bounds.
    bounds,
    /// The load needs more endpoints, now or, as it grows, when ordered ones begin.
    load,
    growth,
    /// First bytes are predicted to be later than their target.
    first_bytes,
    /// Endpoints that served are gone.
    lost,
    /// The load has needed fewer for a while.
    fall,
};

/// A number of endpoints to order, and the load that it answers.
struct scaling_decision
{
    std::string availabilityZone;
    int desired = 0;
    scaling_cause cause = scaling_cause::load;
    /// Endpoints that take requests, the load in the zone, and the endpoints that it needs.
    int serving = 0;
    scaling_load load;
    double needed = 0;

    bool operator==(const scaling_decision &) const = default;
};

/// Returns cause and figures in a few words.
[[nodiscard]] std::string describe(const scaling_decision &decision);

/// Decides for one service. Keeps the load of the last minutes; what must outlive a machine are the orders, which are the caller's. Not thread-safe.
class scaling_policy
{
public:
    explicit scaling_policy(const scaling_policy_options &options = {});

    /// Returns the orders that are due, none twice for the same zone. Each is returned until scaled_zone::order shows it or the load has changed.
    [[nodiscard]] std::vector<scaling_decision> decide(const scaled_service &service, time_point now);

private:
    /// Load at a time.
    struct sample
    {
        time_point at;
        /// Endpoints that the load needs, and the same without fast changes.
        double needed = 0;
        double smoothed = 0;
        bool isComplete = false;
    };
    struct zone_history
    {
        std::deque<sample> samples;
        /// The newest order, whether it was lower than the one before, most endpoints that have served since, and since when fewer serve or are still
        /// to begin.
        std::optional<placed_order> order;
        bool isFall = false;
        int mostServing = 0;
        std::optional<time_point> fewerSince;
    };
    /// Times that follow from the start-up time.
    struct spans
    {
        duration rise;
        duration growth;
        duration clear;
        duration fall;
    };

    [[nodiscard]] spans spansOf(const scaled_service &service) const;
    /// Endpoints that the load of each zone needs. What is more than a zone may have goes to the others.
    [[nodiscard]] std::vector<double> neededIn(const scaled_service &service) const;
    void record(zone_history &history, const scaled_zone &zone, sample newest, const spans &times) const;
    [[nodiscard]] std::optional<scaling_decision>
    decideZone(const scaled_service &service, const scaled_zone &zone, zone_history &history, time_point now) const;
    /// Endpoints by which the load is likely to grow until ordered ones begin.
    [[nodiscard]] double growthOf(const zone_history &history, const spans &times, duration startTime, time_point now) const;

    scaling_policy_options m_options;
    std::map<std::string, zone_history> m_zones;
};

} // namespace wisteriashunt

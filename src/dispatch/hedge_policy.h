/// Decides whether a request that is slow gets a second run at another endpoint while the first goes on, within a limit set by the operators.
///
/// Only requests that may run more than once are hedged, before anything of their answer has been forwarded. The delay is a quantile of the
/// times that such requests took in relation to their prediction, so it follows the prompt, the service and its load.
#pragma once

#include "dispatch/attempt_policy.h"
#include "wisteriashunt/time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace wisteriashunt
{

/// The operators' limit on the hedges of each service, for all entries together. Both are 0 by default, and then nothing is hedged.
struct hedge_limits
{
    /// Share of the requests of a service that may be hedged, up to 1.
    double requestsShare = 0;
    /// Prompt tokens per second that hedges may add. 0: only requests without a prompt are hedged.
    double tokensPerSecond = 0;

    [[nodiscard]] bool areOn() const
    {
        return requestsShare > 0;
    }

    bool operator==(const hedge_limits &) const = default;
};

/// Returns what is wrong with the limits, if anything is.
[[nodiscard]] std::optional<std::string> faultOf(const hedge_limits &limits);

/// Settings of a hedge_policy.
struct hedge_options
{
    hedge_limits limits;
    /// Span within which the limits hold.
    duration window = std::chrono::seconds(10);
    /// Time after which all entries know of one that has started.
    duration settlingTime = std::chrono::seconds(2);
    /// A kind is hedged once so many of its answers are expected to have exceeded the quantile.
    double minExceeding = 2;
    /// Answers of a kind after which the older ones count half.
    double memorySamples = 1000;
    /// Bounds of the quantile after which a request is hedged. Within them it is the one that as many requests exceed as may be hedged.
    double minQuantile = 0.9;
    double maxQuantile = 0.99;
    /// A run that has taken this long is expected to go on for at least this share of that time.
    double remainingShare = 0.5;
    /// A hedge must be expected to answer within this share of the time that the first run is expected to go on for.
    double earlierShare = 0.8;
    /// Share of the allowance for retries up to which hedges may use it. The rest is left for retries after failures.
    double retryAllowanceShare = 0.5;
    /// Factor by which a run must have taken longer when it is looked at again.
    double nextLookFactor = 1.5;
};

/// Requests whose times are alike.
enum class hedge_kind {
    /// Without a prompt; timed until the whole answer.
    plain,
    /// Timed until the first event, like all below.
    stream,
    short_prompt,
    long_prompt,
};

/// Why a request is not hedged.
enum class hedge_obstacle {
    none,
    /// It may run once only.
    once_only,
    /// Its answer has begun.
    begun,
    no_attempts_left,
    /// It is held, or an endpoint has crashed under a request like it.
    quarantined,
    entry_leaves,
    no_time_left,
    few_samples,
    /// Its answer is expected within its target.
    target_safe,
    /// No other endpoint may take it.
    not_placed,
    /// The other endpoint is full, or busier than the first.
    busy,
    /// The other endpoint would not answer clearly earlier.
    not_earlier,
    /// The operators' limit is reached.
    limit,
    /// The allowance for retries is used up to the share that hedges may use.
    retry_allowance,
};

[[nodiscard]] std::string_view toString(hedge_obstacle obstacle);
/// Returns whether the obstacle stays for as long as the run goes on.
[[nodiscard]] bool isFinal(hedge_obstacle obstacle);

/// A slow request.
struct slow_request
{
    std::string service;
    hedge_kind kind = hedge_kind::plain;
    attempt_state state;
    bool isEntryLeaving = false;
    /// Tokens of its whole prompt.
    std::int64_t promptTokens = 0;
    /// Predicted time of the run; zero if there is no prediction.
    duration predicted{};
    /// Time since the run was sent.
    duration running{};
    /// Time left to the target of the first byte; negative after it.
    duration toTarget{};
    duration toDeadline{};
};

/// Where a hedge would run.
struct hedge_target
{
    duration predicted{};
    bool isFull = false;
    /// Whether it has more requests than the endpoint of the first run.
    bool isBusier = false;
};

/// What a decision about a hedge asks for. Each is called only if all that comes before permits the hedge.
struct hedge_questions
{
    /// Places the request at another endpoint; nullopt if none may take it.
    std::function<std::optional<hedge_target>()> place;
    /// Takes one retry from the allowance if no more than the given share of it would be used.
    std::function<bool(double share)> trySpendRetry;
};

/// One entry's hedges. Not thread-safe.
class hedge_policy
{
public:
    explicit hedge_policy(const hedge_options &options = {});

    [[nodiscard]] bool isOn() const
    {
        return m_options.limits.areOn();
    }

    /// Records a caller's request. entries: the number of entries that share the limit; 0 counts as 1.
    void onRequest(const std::string &service, std::size_t entries, time_point now);

    /// Records how long a run took, or has taken at least when another run has overtaken it.
    void onTook(const std::string &service, hedge_kind kind, duration predicted, duration took);

    /// Returns the time after which a run is slow; nullopt while too little is known.
    [[nodiscard]] std::optional<duration> delayOf(const std::string &service, hedge_kind kind, duration predicted) const;

    /// Returns the time that the run must have taken when it is looked at again, after an obstacle that may pass.
    [[nodiscard]] duration nextLook(const slow_request &request, hedge_obstacle obstacle) const;

    /// Decides about a request that is slow, and counts the hedge if there is no obstacle.
    [[nodiscard]] hedge_obstacle decide(const slow_request &request, const hedge_questions &ask, time_point now);

private:
    /// Times in relation to their predictions, in steps of an eighth of an octave. The newest count most.
    class time_ratios
    {
    public:
        void add(double ratio, double memorySamples);
        [[nodiscard]] double samples() const
        {
            return m_samples;
        }
        [[nodiscard]] double quantile(double share) const;

    private:
        static constexpr int stepsPerOctave = 8;
        static constexpr int lowestOctave = -6;
        static constexpr std::size_t stepCount = 25 * stepsPerOctave;

        std::array<float, stepCount> m_counts{};
        double m_samples = 0;
    };

    struct hedge
    {
        time_point at;
        std::int64_t tokens = 0;
    };

    struct request_count
    {
        std::int64_t index = -1;
        double requests = 0;
        std::size_t mostEntries = 1;
    };

    /// Number of counts per window.
    static constexpr std::int64_t countsPerWindow = 10;

    struct service_state
    {
        std::deque<hedge> hedges;
        std::array<request_count, countsPerWindow + 2> counts{};
        std::size_t entries = 1;
        time_point usedAt;
    };

    [[nodiscard]] hedge_obstacle obstacleOf(const slow_request &request, const hedge_questions &ask) const;
    [[nodiscard]] double quantileShare() const;
    [[nodiscard]] const time_ratios *ratiosOf(const std::string &service, hedge_kind kind) const;
    request_count &countAt(service_state &state, time_point now) const;
    /// Returns whether one more hedge with these tokens is within the limits.
    [[nodiscard]] bool hasRoom(service_state &state, std::int64_t tokens, time_point now) const;
    void forgetUnused(time_point now);

    hedge_options m_options;
    std::map<std::pair<std::string, hedge_kind>, time_ratios> m_ratios;
    std::map<std::string, service_state> m_services;
    std::optional<time_point> m_firstRequestAt;
};

} // namespace wisteriashunt

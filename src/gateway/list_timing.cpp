#include "gateway/list_timing.h"

namespace wisteriashunt
{

list_timing listTimingOf(duration maxDrainDelay, duration heartbeat)
{
    constexpr double periodShare = 0.35;
    constexpr double timeoutShare = 0.4;
    constexpr double relayPeriodShare = 0.1;
    constexpr double maxRelayedAgeShare = 0.5;
    constexpr std::chrono::milliseconds holdPeriod{250};
    constexpr std::chrono::milliseconds connectTimeout{300};
    constexpr std::chrono::milliseconds initialBackoff{100};
    constexpr std::chrono::milliseconds maxBackoff{250};
    // Three heartbeats of silence, less the one that falls into the time before the log was away or after it.
    constexpr int heartbeatsOfShortestOutage = 2;
    return {.period = fromSeconds(periodShare * toSeconds(maxDrainDelay)),
            .holdPeriod = holdPeriod,
            .timeout = fromSeconds(timeoutShare * toSeconds(maxDrainDelay)),
            .connectTimeout = connectTimeout,
            .initialBackoff = initialBackoff,
            .maxBackoff = maxBackoff,
            .relayPeriod = fromSeconds(relayPeriodShare * toSeconds(maxDrainDelay)),
            .maxRelayedAge = fromSeconds(maxRelayedAgeShare * toSeconds(maxDrainDelay)),
            .outages = {.minOutage = heartbeatsOfShortestOutage * heartbeat, .recovery = reregistrationTime + holdPeriod + connectTimeout + maxBackoff}};
}

} // namespace wisteriashunt

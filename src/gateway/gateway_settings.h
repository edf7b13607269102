/// Settings of an entry that forwards to endpoints directly.
#pragma once

#include "dispatch/hedge_policy.h"
#include "dispatch/retry_allowance.h"
#include "net/byte_channel.h"

#include <optional>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Duties of one entry at a time towards the platform's API.
struct duty_settings
{
    socket_address api;
    /// Usage is reported for windows of this length; window k begins k times the length after 1970 began.
    duration usageWindow{};
    /// Time after a window's end by which its report is due.
    duration usageDelay = std::chrono::seconds(10);
    /// Shortest time for which a duty stays with its holder.
    duration leaseTime = std::chrono::seconds(3);

    bool operator==(const duty_settings &) const = default;
};

/// Orders of endpoints from the platform's API, for services that are scaled.
struct order_settings
{
    socket_address api;
    /// Shortest time for which the duty stays with its holder.
    duration leaseTime = std::chrono::seconds(3);

    bool operator==(const order_settings &) const = default;
};

/// Settings of an entry. Applied at its start only.
struct gateway_settings
{
    std::string instance;
    std::string availabilityZone;
    socket_address callerAddress;
    socket_address readinessAddress;
    /// Address that serves metrics as text; none if unset.
    std::optional<socket_address> metricsAddress;
    /// Address for messages of other entries; if unset, this entry exchanges neither loads nor records with them.
    std::optional<socket_address> controlAddress;
    /// Control addresses of entries to contact first; they may be down.
    std::vector<socket_address> seeds;
    socket_address logAddress;
    /// Time between SIGTERM and SIGKILL.
    duration gracePeriod = std::chrono::seconds(8);
    /// Time after SIGTERM during which requests are still accepted. The balancer probes every second and removes an entry from rotation
    /// after two failed probes.
    duration acceptWhileLeaving = std::chrono::milliseconds(2400);
    /// Time after the list marks an endpoint as draining, by the end of which it must get no more work.
    duration maxDrainDelay = std::chrono::seconds(2);
    /// Pause between two records of an endpoint, whose record expires after three of them.
    duration heartbeat = std::chrono::milliseconds(1200);
    /// Time within which new declarations must be in force at every entry.
    duration convergenceTime = std::chrono::seconds(2);
    retry_allowance_options retries;
    hedge_limits hedging;
    std::size_t maxDescriptors = 1024;
    /// Bandwidth of the instance's link.
    double linkBytesPerSecond = 125e6;
    /// Memory limit of the instance.
    std::size_t maxMemoryBytes = 256 * 1024 * 1024;
    /// Unset if the platform has no API or wants no usage reports.
    std::optional<duty_settings> duties;
    /// Unset if the platform has no API or takes no orders.
    std::optional<order_settings> orders;

    bool operator==(const gateway_settings &) const = default;
};

} // namespace wisteriashunt

/// Settings of an entry that forwards to endpoints directly.
#pragma once

#include "dispatch/retry_allowance.h"
#include "net/byte_channel.h"

#include <optional>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Everything that an entry must be told. Read once at start.
struct gateway_settings
{
    std::string instance;
    std::string availabilityZone;
    socket_address callerAddress;
    socket_address readinessAddress;
    /// Where metrics are served as text; nowhere if unset.
    std::optional<socket_address> metricsAddress;
    /// Where other entries reach this one; without it entries do not exchange loads.
    std::optional<socket_address> controlAddress;
    /// Entries to begin with; they may be down.
    std::vector<socket_address> seeds;
    socket_address logAddress;
    /// Time between SIGTERM and SIGKILL.
    duration gracePeriod = std::chrono::seconds(8);
    /// How long after SIGTERM requests are still taken: the balancer asks every second and needs two misses.
    duration acceptWhileLeaving = std::chrono::milliseconds(2400);
    /// Time after the list says that an endpoint leaves within which it must get no more work.
    duration maxDrainDelay = std::chrono::seconds(2);
    /// Time within which declarations must be in force everywhere.
    duration convergenceTime = std::chrono::seconds(2);
    retry_allowance_options retries;
    std::size_t maxDescriptors = 1024;
    /// Memory of the instance.
    std::size_t maxMemoryBytes = 256 * 1024 * 1024;

    bool operator==(const gateway_settings &) const = default;
};

} // namespace wisteriashunt

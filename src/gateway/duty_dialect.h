/// How an entry makes the calls to the platform's API that are the duty of one entry at a time.
#pragma once

#include "duties/duty_types.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace wisteriashunt
{

/// Who makes a call: the holder of the duty, and a number that rises when the holder changes.
struct duty_holder
{
    std::string_view instance;
    std::int64_t number = 0;
};

/// Builds calls to the API. Set by the platform's adapter.
struct duty_dialect
{
    /// Builds a complete HTTP request that reports the requests of each workspace that began to run in the window.
    std::function<std::string(const duty_holder &holder, std::int64_t window, const usage_counts &counts)> usageRequest;
    /// Builds a complete HTTP request that orders the number of endpoints of the service in the availability zone.
    std::function<std::string(const duty_holder &holder, const std::string &service, const std::string &availabilityZone, int desired)> orderRequest;
    /// What the API did, from the status of its answer.
    std::function<call_outcome(int status)> readOutcome;
    /// Topics of the platform's log that are kept for reports of usage and for orders.
    std::string topic;
    std::string ordersTopic;
    /// Topic in which entries store counts that they can't tell each other.
    std::string countsTopic;
};

} // namespace wisteriashunt

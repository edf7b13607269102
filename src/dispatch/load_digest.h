/// Load of one entry at the endpoints, as entries report it to each other.
#pragma once

#include "dispatch/endpoint_rate_limits.h"
#include "dispatch/ranked_tokens.h"

#include <map>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Work queued or running at one endpoint.
struct endpoint_load
{
    /// Requests that were sent and whose answers have not begun.
    int waiting = 0;
    /// Uncached prompt tokens of the waiting requests.
    ranked_tokens waitingTokens;
    /// Short-prompt requests, waiting or running.
    int shortPrompts = 0;
    /// Long-prompt requests, waiting or running.
    int longPrompts = 0;
    /// Uncached prompt tokens of the long-prompt requests, waiting or running.
    ranked_tokens longPromptTokens;
    /// Uncached prompt tokens that were sent recently, of long and short prompts. Decays exponentially with the time constant
    /// load_tracker_options::recentTokensDecayTime.
    std::int64_t recentTokens = 0;

    [[nodiscard]] int total() const
    {
        return shortPrompts + longPrompts;
    }
    /// Adds another load, or subtracts it if sign is -1. recentTokens, which decay with their age, are left out.
    void add(const endpoint_load &other, int sign = 1)
    {
        waiting += sign * other.waiting;
        waitingTokens.add(other.waitingTokens, sign);
        shortPrompts += sign * other.shortPrompts;
        longPrompts += sign * other.longPrompts;
        longPromptTokens.add(other.longPromptTokens, sign);
    }
    bool operator==(const endpoint_load &) const = default;
};

/// A shared part of a prompt that was sent to an endpoint, which is then expected to have it cached.
struct part_placement
{
    std::uint64_t part = 0;
    std::string endpointId;

    bool operator==(const part_placement &) const = default;
};

/// The load of one entry, as it reports it to its peers. Loads and rates replace those of the previous digest; placements accumulate.
struct load_digest
{
    std::map<std::string, endpoint_load> endpoints;
    /// Prompt tokens of short-prompt requests per second, by service.
    std::map<std::string, double> shortPromptTokensPerSecond;
    /// Placements since the last digest.
    std::vector<part_placement> placements;
    /// Limits that endpoints declare. placement_planner adds them.
    rate_limit_digest rateLimits;
    /// Set by the receiver from the rest of the message: whether the sender leaves, and other entries that it has heard recently.
    bool isSenderLeaving = false;
    std::vector<std::string> heardEntries;

    bool operator==(const load_digest &) const = default;
};

} // namespace wisteriashunt

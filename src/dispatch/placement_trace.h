/// How a placement saw the endpoints of a service, for operators who ask why a request goes where it goes.
#pragma once

#include "dispatch/load_digest.h"
#include "dispatch/placement.h"

#include <algorithm>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// One listed endpoint as a placement saw it.
struct traced_endpoint
{
    endpoint_pointer endpoint;
    endpoint_load load;
    /// Factor by which first bytes are expected to take longer than those of an ordinary endpoint.
    double slowness = 1;
    /// Prompt tokens that the endpoint is expected to have cached, and those that it would prefill.
    std::int64_t cachedTokens = 0;
    std::int64_t uncachedTokens = 0;
    /// Zero if the endpoint was ruled out before a prediction, and for services without prompts.
    duration predictedFirstByte{};
    /// Why the endpoint was not chosen; none if it was.
    placement_obstacle obstacle = placement_obstacle::none;
};

/// All listed endpoints of a request's service, in the order of the roster.
struct placement_trace
{
    std::vector<traced_endpoint> endpoints;

    /// Returns the trace of a listed endpoint, or nullptr.
    [[nodiscard]] traced_endpoint *find(const std::string &endpointId)
    {
        const auto found =
            std::find_if(endpoints.begin(), endpoints.end(), [&](const traced_endpoint &each) { return each.endpoint->record.id == endpointId; });
        return found == endpoints.end() ? nullptr : &*found;
    }
};

} // namespace wisteriashunt

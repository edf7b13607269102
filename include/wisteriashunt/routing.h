/// Declarations for traffic that an entry forwards unchanged to endpoints: routes, services, workspaces and caller limits.
#pragma once

#include "wisteriashunt/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Whether requests of a route may run more than once.
enum class repeatability {
    /// May run any number of times.
    idempotent,
    /// May run at most once.
    at_most_once,
    /// A stream of numbered events. May run at most once, unless the route is resumable.
    stream,
};

/// A service that receives a share of a route's requests.
struct route_target
{
    std::string service;
    /// Share of the requests, relative to the sum of the weights of all targets of the route.
    std::uint32_t weight = 1;

    bool operator==(const route_target &) const = default;
};

/// Targets and handling of the requests for one host and path prefix.
struct route
{
    std::string name;
    std::string host;
    /// Must begin and end with a slash.
    std::string pathPrefix;
    repeatability kind = repeatability::at_most_once;
    /// Time limit for the complete answer.
    duration timeout{};
    /// Latency target: longest time to the first byte of the answer (streams: the first event).
    duration firstByteTarget{};
    /// Streams: latency target for the longest pause between events; zero if none is declared.
    duration eventGapTarget{};
    /// Priority of the requests; 0 is the most urgent.
    int tier = 0;
    /// Maximum number of endpoints to which one request may be sent.
    int maxAttempts = 1;
    /// True if requests need no API key.
    bool isPublic = false;
    /// True if requests describe their prompt, whose shared parts endpoints cache.
    bool hasPrompt = false;
    /// True if a broken stream may resume at another endpoint after the last event.
    bool isResumable = false;
    std::vector<route_target> targets;

    bool operator==(const route &) const = default;
};

/// How many endpoints of a service may be ordered.
struct scaling_declaration
{
    /// Bounds of the number of endpoints in each availability zone in which the service runs.
    int minEndpoints = 0;
    int maxEndpoints = 0;
    /// Time from an order until the endpoints that it adds take requests.
    duration startTime{};

    bool operator==(const scaling_declaration &) const = default;
};

/// Properties of the endpoints of a service.
struct service_declaration
{
    std::string name;
    /// Maximum number of connections that one endpoint accepts, over all clients. Parsed but not used by the router.
    int maxConnections = 0;
    /// Model engines: number of requests that one engine runs concurrently; 0 for other services.
    int engineSlots = 0;
    /// Model engines: number of tokens that one engine's KV cache can hold; 0 for other services. Parsed but not used by the router.
    std::int64_t engineTokens = 0;
    /// Set if endpoints of the service are ordered as its load needs them.
    std::optional<scaling_declaration> scaling;
    /// Why the declared scaling is not followed; empty if it is, or if none is declared.
    std::string scalingFault;

    bool operator==(const service_declaration &) const = default;
};

/// Size and time limits for requests of callers.
struct caller_limits
{
    std::size_t maxHeadBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    duration headTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);

    bool operator==(const caller_limits &) const = default;
};

/// A customer with its API keys.
struct workspace_declaration
{
    std::string name;
    std::vector<std::string> apiKeys;
    /// Takes precedence over the tier of the route; 0 is the most urgent.
    std::optional<int> tier;

    bool operator==(const workspace_declaration &) const = default;
};

/// One version of all declarations. Version numbers increase, not necessarily by 1.
struct routing_declarations
{
    std::int64_t version = 0;
    std::vector<route> routes;
    std::vector<service_declaration> services;
    std::vector<workspace_declaration> workspaces;
    caller_limits limits;

    bool operator==(const routing_declarations &) const = default;
};

} // namespace wisteriashunt

/// Declarations for traffic that an entry forwards to endpoints unchanged: routes, services, workspaces and limits of callers.
#pragma once

#include "wisteriashunt/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// What may be done again with a request of a route.
enum class repeatability {
    /// May run any number of times.
    idempotent,
    /// Runs once at most.
    at_most_once,
    /// A stream of numbered events; runs once at most unless the route is resumable.
    stream,
};

/// A service that gets a share of a route's requests.
struct route_target
{
    std::string service;
    /// Relative share; shares of a route need not add up to anything.
    std::uint32_t weight = 1;

    bool operator==(const route_target &) const = default;
};

/// Where requests of one host and path prefix go, and how they are treated.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    repeatability kind = repeatability::at_most_once;
    /// Longest time that a request may wait for its complete answer.
    duration timeout{};
    /// Time to the first byte of the answer (streams: the first event) within which the answer is on time.
    duration firstByteTarget{};
    /// Streams: longest pause between events for which the answer is on time.
    duration eventGapTarget{};
    /// 0 is the most urgent.
    int tier = 0;
    /// Most endpoints to which one request may be sent.
    int maxAttempts = 1;
    /// Requests carry no API key.
    bool isPublic = false;
    /// Requests describe their prompt, whose shared parts endpoints keep.
    bool hasPrompt = false;
    /// A broken stream may go on at another endpoint after its last event.
    bool isResumable = false;
    std::vector<route_target> targets;

    bool operator==(const route &) const = default;
};

/// What is declared of the endpoints of a service.
struct service_declaration
{
    std::string name;
    /// Connections that one endpoint accepts from all callers together.
    int maxConnections = 0;
    /// Model engines: requests that run at the same time; 0 for other services.
    int engineSlots = 0;
    /// Model engines: tokens that fit into the memory of one engine; 0 for other services.
    std::int64_t engineTokens = 0;

    bool operator==(const service_declaration &) const = default;
};

/// Bounds on what callers may send and how long they may take.
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
    /// Goes before the tier of the route.
    std::optional<int> tier;

    bool operator==(const workspace_declaration &) const = default;
};

/// One version of everything that is declared. Versions grow, by steps of any size.
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

/// Resources that operators declare: classes, workspaces and endpoints.
#pragma once

#include "wisteriashunt/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Offset of a record in the platform's log. Offset 0 means that nothing has been read.
using log_offset = std::uint64_t;

/// Number of service tiers. Tier 1 is the highest.
constexpr int tierCount = 3;

/// A class of traffic with its service level.
struct traffic_class
{
    std::string name;
    int tier = tierCount;
    /// Longest acceptable time to the first token, or to the whole answer of a service.
    duration firstToken = std::chrono::milliseconds(1500);
    /// Longest acceptable mean gap between two tokens of one answer.
    duration betweenTokens = std::chrono::milliseconds(42);
    /// Share of the tokens served by each endpoint that the class is guaranteed while it has requests waiting. From 0 to 0.5.
    double floor = 0.01;
    /// Names of the endpoints that may serve the class.
    std::vector<std::string> endpoints;
    /// Operations that must run at most once, as "METHOD path-prefix".
    std::vector<std::string> nonIdempotent;
    /// Model names whose requests belong to the class when the caller names no class.
    std::vector<std::string> models;
    /// Service names whose requests belong to the class when the caller names no class.
    std::vector<std::string> services;

    auto operator<=>(const traffic_class &) const = default;
};

/// A customer of the operator, identified by its API keys.
struct workspace
{
    std::string name;
    /// Lower-case hexadecimal SHA-256 of each accepted API key.
    std::vector<std::string> keyHashes;
    /// Classes that the workspace may use; empty means all.
    std::vector<std::string> classes;
    /// Weight in the fair sharing among the workspaces of a class. Greater than 0.
    double weight = 1.0;

    auto operator<=>(const workspace &) const = default;
};

/// Kind of back end behind an endpoint process: a language-model engine or any other HTTP service.
enum class endpoint_kind {
    engine,
    service,
};

/// A back end and its capabilities.
struct endpoint
{
    std::string name;
    endpoint_kind kind = endpoint_kind::engine;
    /// The engine can continue an answer from a token offset.
    bool resumes = false;
    /// The engine returns the request identifier with each event.
    bool echoesRequestId = false;
    /// Upper bound of the adaptive concurrency limit, in requests.
    int maxConcurrency = 64;

    auto operator<=>(const endpoint &) const = default;
};

/// A resource with the offset of the change that wrote it, its author and its time.
template<typename T>
struct versioned
{
    T value;
    log_offset version = 0;
    std::string author;
    /// RFC 3339 time given by the writer, for display only.
    std::string changedAt;

    auto operator<=>(const versioned &) const = default;
};

/// The configuration in force at one offset.
struct configuration_state
{
    log_offset offset = 0;
    std::map<std::string, versioned<traffic_class>> classes;
    std::map<std::string, versioned<workspace>> workspaces;
    std::map<std::string, versioned<endpoint>> endpoints;

    auto operator<=>(const configuration_state &) const = default;
};

} // namespace wisteriashunt

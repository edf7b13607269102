/// Workloads of the load tool: classes, workspaces and open-loop arrivals, all drawn from a seed.
#pragma once

#include "wisteriashunt/resources.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace wisteriashunt::load
{

/// One request of a workload.
struct arrival
{
    time_point at;
    std::string className;
    std::string workspaceName;
    std::uint32_t promptTokens = 0;
    /// Tokens of the answer. Known to the engine only.
    std::uint32_t answerTokens = 0;
    std::uint64_t prefixHash = 0;
};

/// Demand of one class, spread evenly over its workspaces.
struct class_demand
{
    std::string className;
    std::vector<std::string> workspaces;
    double requestsPerSecond = 0;
    double meanAnswerTokens = 100;
    double meanPromptTokens = 500;
    /// Distinct prompt prefixes; few of them make the prefix cache pay.
    std::uint64_t distinctPrefixes = 40;
};

/// Time that the virtual clock shows at the start.
constexpr time_point epoch{std::chrono::seconds(1700000000)};

/// Draws Poisson arrivals with geometric answer lengths over [from, from + length).
[[nodiscard]] std::vector<arrival> drawArrivals(const std::vector<class_demand> &demands, duration from, duration length, std::uint64_t seed);

/// Returns the configuration of the cases: three tiers, each class allowed at all engines.
[[nodiscard]] configuration_state makeConfiguration(int engines);

/// Returns the demand that takes the given multiple of the engines' capacity, with the share of tokens of each class.
[[nodiscard]] std::vector<class_demand> mixedDemand(double tokensPerSecond, double urgentShare, double draftShare, double planShare);

} // namespace wisteriashunt::load

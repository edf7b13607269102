/// Workloads of the load tool: classes, workspaces and open-loop arrivals drawn from a seed.
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
    /// Length of the answer. Known to the engine only, not to the router.
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
    /// Number of different prompt prefixes. The fewer, the more often a prompt hits the prefix cache.
    std::uint64_t distinctPrefixes = 40;
};

/// Time of the virtual clock at the start of a run.
constexpr time_point epoch{std::chrono::seconds(1700000000)};

/// Draws Poisson arrivals over [from, from + length), in order of time. Prompt and answer lengths are exponentially distributed, rounded to
/// tokens and bounded to between 4 tokens and six times the mean.
[[nodiscard]] std::vector<arrival> drawArrivals(const std::vector<class_demand> &demands, duration from, duration length, std::uint64_t seed);

/// Returns the configuration of the cases: one class in each of three tiers, allowed at all engines "engine-0" to "engine-(N-1)".
[[nodiscard]] configuration_state makeConfiguration(int engines);

/// Returns the demand of classes urgent, drafts and plans for `tokensPerSecond` of answers in all, split by the given shares of tokens.
[[nodiscard]] std::vector<class_demand> mixedDemand(double tokensPerSecond, double urgentShare, double draftShare, double planShare);

} // namespace wisteriashunt::load

#include "load/workload.h"

#include <algorithm>
#include <cmath>

namespace wisteriashunt::load
{

namespace
{

// Mean answer lengths of the classes, in tokens.
constexpr double meanUrgentTokens = 60;
constexpr double meanDraftTokens = 150;
constexpr double meanPlanTokens = 300;
// Bounds of drawn prompt and answer lengths; the upper bound is a multiple of the mean.
constexpr std::uint32_t minimumLengthTokens = 4;
constexpr std::uint32_t maximumLengthFactor = 6;

traffic_class makeClass(const std::string &name, int tier, long firstTokenMs, long betweenTokensMs, double floor, const std::vector<std::string> &endpoints)
{
    return {.name = name,
            .tier = tier,
            .firstToken = std::chrono::milliseconds(firstTokenMs),
            .betweenTokens = std::chrono::milliseconds(betweenTokensMs),
            .floor = floor,
            .endpoints = endpoints};
}

std::uint32_t drawLength(double mean, std::mt19937_64 &random)
{
    std::exponential_distribution<double> draw(1 / mean);
    const double length = std::min(draw(random), mean * maximumLengthFactor);
    return std::max(minimumLengthTokens, static_cast<std::uint32_t>(std::lround(length)));
}

} // namespace

std::vector<arrival> drawArrivals(const std::vector<class_demand> &demands, duration from, duration length, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<arrival> arrivals;
    for (const auto &demand : demands) {
        if (demand.requestsPerSecond <= 0) {
            continue;
        }
        std::exponential_distribution<double> gap(demand.requestsPerSecond);
        for (double at = gap(random); at < toSeconds(length); at += gap(random)) {
            arrivals.push_back({.at = epoch + from + fromSeconds(at),
                                .className = demand.className,
                                .workspaceName = demand.workspaces.at(random() % demand.workspaces.size()),
                                .promptTokens = drawLength(demand.meanPromptTokens, random),
                                .answerTokens = drawLength(demand.meanAnswerTokens, random),
                                .prefixHash = 1 + random() % demand.distinctPrefixes});
        }
    }
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const arrival &a, const arrival &b) { return a.at < b.at; });
    return arrivals;
}

configuration_state makeConfiguration(int engines)
{
    configuration_state state;
    state.offset = 1;
    std::vector<std::string> names;
    for (int i = 0; i < engines; ++i) {
        names.push_back("engine-" + std::to_string(i));
        state.endpoints[names.back()].value = {.name = names.back(), .kind = endpoint_kind::engine, .resumes = true};
    }
    for (const auto &declared :
         {makeClass("urgent", 1, 1000, 42, 0.02, names), makeClass("drafts", 2, 1500, 42, 0.02, names), makeClass("plans", 3, 5000, 60, 0.1, names)}) {
        state.classes[declared.name].value = declared;
    }
    return state;
}

std::vector<class_demand> mixedDemand(double tokensPerSecond, double urgentShare, double draftShare, double planShare)
{
    return {{.className = "urgent",
             .workspaces = {"agency-a", "agency-b", "agency-c"},
             .requestsPerSecond = tokensPerSecond * urgentShare / meanUrgentTokens,
             .meanAnswerTokens = meanUrgentTokens,
             .meanPromptTokens = 200},
            {.className = "drafts",
             .workspaces = {"agency-a", "agency-b", "agency-c"},
             .requestsPerSecond = tokensPerSecond * draftShare / meanDraftTokens,
             .meanAnswerTokens = meanDraftTokens,
             .meanPromptTokens = 800},
            {.className = "plans",
             .workspaces = {"planner-a", "planner-b"},
             .requestsPerSecond = tokensPerSecond * planShare / meanPlanTokens,
             .meanAnswerTokens = meanPlanTokens,
             .meanPromptTokens = 1500}};
}

} // namespace wisteriashunt::load

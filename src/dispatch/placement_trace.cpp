#include "dispatch/placement_trace.h"

#include <algorithm>

namespace wisteriashunt
{

std::string_view toString(placement_obstacle obstacle)
{
    switch (obstacle) {
    case placement_obstacle::none:
        return "none";
    case placement_obstacle::token_limit:
        return "full";
    case placement_obstacle::stream_pauses:
        return "streams";
    case placement_obstacle::too_late:
        return "late";
    case placement_obstacle::not_sampled:
        return "unsampled";
    case placement_obstacle::higher_cost:
        return "dearer";
    case placement_obstacle::draining:
        return "draining";
    case placement_obstacle::leaving:
        return "leaving";
    case placement_obstacle::paused:
        return "paused";
    case placement_obstacle::other_version:
        return "other_version";
    case placement_obstacle::tried:
        return "tried";
    case placement_obstacle::unhealthy:
        return "unhealthy";
    case placement_obstacle::no_permit:
        return "no_permit";
    case placement_obstacle::no_slot:
        return "no_slot";
    }
    return "unknown";
}

placement_decision placement_planner::explain(const placement_request &request, time_point now, placement_trace &trace)
{
    // Placements resize the group of engines for short prompts.
    const auto groups = m_groups;
    auto decision = decide(request, now, &trace);
    m_groups = groups;
    if (auto *chosen = decision.refusal == placement_refusal::none ? trace.find(decision.chosen.endpoint->record.id) : nullptr) {
        chosen->obstacle = placement_obstacle::none;
        chosen->predictedFirstByte = decision.chosen.predictedFirstByte;
    }
    return decision;
}

void placement_planner::traceListed(const placement_request &request, const std::vector<candidate> &usable, time_point now, placement_trace &trace)
{
    for (const auto &endpoint : m_roster.ofService(request.service)) {
        const auto &id = endpoint->record.id;
        const auto candidateFor = std::find_if(usable.begin(), usable.end(), [&](const candidate &each) { return each.endpoint == endpoint; });
        const bool isUsable = candidateFor != usable.end();
        const auto ineligibility = ineligibilityOf(request, *endpoint, now);
        const auto unusedReason = ineligibility != placement_obstacle::none ? ineligibility
            : endpoint->notice.isLeaving                                    ? placement_obstacle::leaving
                                                                            : placement_obstacle::unhealthy;
        const auto cached = request.hasPrompt ? std::min(m_loads.cachedTokens(request.prompt, id, now), request.promptTokens) : 0;
        trace.endpoints.push_back({.endpoint = endpoint,
                                   .load = isUsable ? candidateFor->load : m_loads.loadOf(id, now),
                                   .slowness = isUsable ? candidateFor->slowness : 1,
                                   .cachedTokens = cached,
                                   .uncachedTokens = request.promptTokens - cached,
                                   .obstacle = isUsable ? placement_obstacle::higher_cost : unusedReason});
    }
}

} // namespace wisteriashunt

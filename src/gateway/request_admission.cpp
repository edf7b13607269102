#include "gateway/request_admission.h"

#include <algorithm>

namespace wisteriashunt
{

namespace
{

/// A request may be queued for its first-byte target divided by this, which is 75 ms of 600 ms. Queueing for half of the target serves
/// fewer requests on time, and an earlier refusal lets the caller retry sooner.
constexpr int queueTimeDivisor = 8;

/// Chooses the service, and for a stream that goes on the software version.
void chooseServiceAndVersion(admitted_request &admitted, stream_versions &streams, const request_metadata &metadata, time_point now)
{
    const auto &matchedRoute = *admitted.matchedRoute;
    const auto *service = chooseService(matchedRoute, metadata.attemptId);
    if (service == nullptr) {
        admitted.error = error_kind::no_endpoint;
        return;
    }
    admitted.service = *service;
    if (!isResumption(matchedRoute, metadata)) {
        return;
    }
    admitted.needsListReading = streams.needsReading(metadata.resumedAttempt, admitted.service, now);
    admitted.origin = streams.originOf(metadata.resumedAttempt, admitted.service, now);
    if (!admitted.origin) {
        admitted.error = error_kind::stream_origin_unknown;
        return;
    }
    admitted.service = admitted.origin->service;
    const auto &targets = matchedRoute.targets;
    const bool isStillTarget = std::any_of(targets.begin(), targets.end(), [&](const route_target &target) { return target.service == admitted.service; });
    if (!isStillTarget) {
        admitted.error = error_kind::no_endpoint;
    }
}

} // namespace

bool isResumption(const route &matchedRoute, const request_metadata &metadata)
{
    return matchedRoute.kind == repeatability::stream && matchedRoute.isResumable && metadata.lastEvent.has_value();
}

admitted_request admitRequest(const std::shared_ptr<const route_table> &table,
                              stream_versions &streams,
                              const std::string *host,
                              std::string_view target,
                              const request_metadata &metadata,
                              const workspace_lookup &findWorkspace,
                              time_point now)
{
    admitted_request admitted;
    admitted.matchedRoute = {table, host == nullptr ? nullptr : table->find(*host, target)};
    if (!admitted.matchedRoute) {
        admitted.error = error_kind::unknown_route;
        return admitted;
    }
    admitted.rank = table->rankOf(*admitted.matchedRoute, nullptr);
    if (!admitted.matchedRoute->isPublic && !table->declarations().workspaces.empty()) {
        const auto *workspace = findWorkspace(*table);
        if (workspace == nullptr) {
            admitted.error = error_kind::unauthenticated;
            return admitted;
        }
        admitted.workspace = workspace->name;
        admitted.rank = table->rankOf(*admitted.matchedRoute, workspace);
    }
    chooseServiceAndVersion(admitted, streams, metadata, now);
    return admitted;
}

placement_request placementRequestOf(const admitted_request &admitted, const request_metadata &metadata)
{
    const auto *service = admitted.matchedRoute.table()->findService(admitted.service);
    return {.service = admitted.service,
            .prompt = metadata.prompt,
            .promptTokens = metadata.promptTokens,
            .hasPrompt = admitted.matchedRoute->hasPrompt && service != nullptr && service->engineSlots > 0,
            .requestKey = std::hash<std::string>{}(metadata.attemptId),
            .rank = admitted.rank,
            .longestPause = admitted.matchedRoute->eventGapTarget,
            .softwareVersion = admitted.origin ? std::optional(admitted.origin->softwareVersion) : std::nullopt};
}

duration timeLimitOf(const route &matchedRoute, const request_metadata &metadata)
{
    return std::min(matchedRoute.timeout, metadata.callerTimeout.value_or(matchedRoute.timeout));
}

duration maxFirstByteWaitOf(duration timeLeft)
{
    // An answer that begins later misses its first-byte target and is unlikely to end before the deadline.
    constexpr int timeLeftDivisor = 2;
    return timeLeft / timeLeftDivisor;
}

duration queueTimeOf(const route &matchedRoute)
{
    return matchedRoute.firstByteTarget / queueTimeDivisor;
}

trait_set sharedParts(const std::vector<prompt_part> &prompt)
{
    // The last part belongs to the request itself or to its session.
    trait_set parts;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        parts.insert(prompt[i].id);
    }
    return parts;
}

std::optional<placement_decision> heldDecision(const request_quarantine &quarantine, const std::string &service, const trait_set &traits, time_point now)
{
    if (quarantine.check(service, traits, now) != quarantine_verdict::held) {
        return std::nullopt;
    }
    constexpr std::chrono::seconds minRetryAfter{1};
    return placement_decision{.refusal = quarantine.isWholeRequestHeld(service, traits) ? placement_refusal::request_quarantined
                                                                                        : placement_refusal::prompt_quarantined,
                              .retryAfter = std::max<duration>(minRetryAfter, quarantine.untilTrial(service, traits, now))};
}

error_kind errorOf(placement_refusal refusal)
{
    switch (refusal) {
    case placement_refusal::overloaded:
        return error_kind::overloaded;
    case placement_refusal::prompt_quarantined:
        return error_kind::prompt_quarantined;
    case placement_refusal::request_quarantined:
        return error_kind::request_quarantined;
    default:
        return error_kind::no_endpoint;
    }
}

} // namespace wisteriashunt

#include "gateway/explain_operation.h"

#include "dispatch/placement_trace.h"
#include "gateway/request_admission.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <tuple>

namespace wisteriashunt
{

namespace
{

using nlohmann::json;

constexpr std::string_view explainTarget = "/explain";

/// Bounds on what one question may ask for, and on the endpoints that an answer names.
constexpr std::size_t maxPromptParts = 256;
constexpr std::size_t maxEndpointsInAnswer = 64;
constexpr std::int64_t maxTokens = 100'000'000;
constexpr std::int64_t maxTimeoutMilliseconds = 86'400'000;

/// A request as an operator describes it.
struct explained_request
{
    std::string host;
    std::string path;
    std::string workspace;
    request_metadata metadata;
    std::optional<std::uint64_t> fingerprint;
};

shunt_error fieldError(const std::string &field, const std::string &expected)
{
    return {error_kind::malformed_request, "field '" + field + "': expected " + expected};
}

std::string text(const json &object, const std::string &field, const std::string &otherwise)
{
    const auto found = object.find(field);
    if (found == object.end()) {
        return otherwise;
    }
    if (!found->is_string()) {
        throw fieldError(field, "a string");
    }
    return found->get<std::string>();
}

std::optional<std::int64_t> integer(const json &object, const std::string &field, std::int64_t max)
{
    const auto found = object.find(field);
    if (found == object.end()) {
        return std::nullopt;
    }
    if (!found->is_number_integer() || found->is_number_float() || *found < 0 || *found > max) {
        throw fieldError(field, "an integer from 0 to " + std::to_string(max));
    }
    return found->get<std::int64_t>();
}

std::uint64_t hexadecimal(const std::string &field, const std::string &value)
{
    constexpr int base = 16;
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number, base);
    if (value.empty() || error != std::errc() || end != value.data() + value.size()) {
        throw fieldError(field, "a hexadecimal number of at most 16 digits");
    }
    return number;
}

std::vector<prompt_part> promptParts(const json &object)
{
    const auto found = object.find("prompt");
    if (found == object.end()) {
        return {};
    }
    if (!found->is_array() || found->size() > maxPromptParts) {
        throw fieldError("prompt", "a list of at most " + std::to_string(maxPromptParts) + " parts");
    }
    std::vector<prompt_part> parts;
    for (const auto &each : *found) {
        const auto tokens = each.is_object() ? integer(each, "tokens", maxTokens) : std::nullopt;
        if (!tokens) {
            throw fieldError("prompt", "parts with 'part' and 'tokens'");
        }
        parts.push_back({.id = hexadecimal("part", text(each, "part", "")), .tokens = *tokens});
    }
    return parts;
}

explained_request parse(const std::string &body)
{
    const auto object = json::parse(body, nullptr, false);
    if (!object.is_object()) {
        throw shunt_error(error_kind::malformed_request, "the body is not a JSON object");
    }
    explained_request request{.host = text(object, "host", ""), .path = text(object, "path", ""), .workspace = text(object, "workspace", "")};
    if (request.host.empty()) {
        throw fieldError("host", "the host of a route");
    }
    if (!request.path.starts_with('/')) {
        throw fieldError("path", "a path that begins with '/'");
    }
    request.metadata.attemptId = text(object, "request", "explained");
    request.metadata.prompt = promptParts(object);
    std::int64_t promptTokens = 0;
    for (const auto &part : request.metadata.prompt) {
        promptTokens += part.tokens;
    }
    request.metadata.promptTokens = integer(object, "promptTokens", maxTokens).value_or(promptTokens);
    request.metadata.lastEvent = integer(object, "lastEvent", std::numeric_limits<std::int64_t>::max());
    request.metadata.resumedAttempt = text(object, "resumes", "");
    if (const auto timeout = integer(object, "timeoutMs", maxTimeoutMilliseconds)) {
        request.metadata.callerTimeout = std::chrono::milliseconds(*timeout);
    }
    if (const auto fingerprint = text(object, "fingerprint", ""); !fingerprint.empty()) {
        request.fingerprint = hexadecimal("fingerprint", fingerprint);
    }
    return request;
}

std::int64_t wholeMilliseconds(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

json describe(const traced_endpoint &traced)
{
    const auto &record = traced.endpoint->record;
    return {{"endpoint", record.id},
            {"availabilityZone", record.availabilityZone},
            {"software", record.softwareVersion},
            {"slots", record.slots},
            {"obstacle", toString(traced.obstacle)},
            {"predictedFirstByteMs", wholeMilliseconds(traced.predictedFirstByte)},
            {"cachedTokens", traced.cachedTokens},
            {"unreadTokens", traced.uncachedTokens},
            {"shortPrompts", traced.load.shortPrompts},
            {"longPrompts", traced.load.longPrompts},
            {"waitingTokens", traced.load.waitingTokens.total()},
            {"slowness", traced.slowness},
            {"failureShare", traced.endpoint->health.failureShare()}};
}

/// The chosen endpoint first, then those with a prediction by their prediction, then the others.
json describeEndpoints(placement_trace &trace)
{
    const auto position = [](const traced_endpoint &each) {
        const bool hasPrediction = each.predictedFirstByte > duration{};
        return std::make_tuple(each.obstacle != placement_obstacle::none, !hasPrediction, each.predictedFirstByte);
    };
    std::stable_sort(trace.endpoints.begin(), trace.endpoints.end(), [&](const auto &left, const auto &right) { return position(left) < position(right); });
    json rows = json::array();
    for (const auto &traced : trace.endpoints) {
        if (rows.size() < maxEndpointsInAnswer) {
            rows.push_back(describe(traced));
        }
    }
    return rows;
}

void describeRefusal(json &answer, error_kind kind, duration retryAfter)
{
    const auto &row = answerFor(kind);
    answer["decision"] = "refuse";
    answer["error"] = row.name;
    answer["status"] = row.httpStatus;
    if (row.retryLater && row.runState == run_state::not_run) {
        answer["retryAfterMs"] = wholeMilliseconds(retryAfter);
    }
}

void describePlacement(json &answer, const explained_request &request, const admitted_request &admitted, gateway_context &context)
{
    const auto now = context.loop.now();
    auto placementRequest = placementRequestOf(admitted, request.metadata);
    auto traits = placementRequest.hasPrompt ? sharedParts(request.metadata.prompt) : trait_set{};
    if (request.fingerprint) {
        traits.insert({trait_kind::whole_request, *request.fingerprint});
    }
    if (const auto held = heldDecision(context.quarantine, admitted.service, traits, now)) {
        describeRefusal(answer, errorOf(held->refusal), held->retryAfter);
        return;
    }
    placementRequest.firstByteTarget = admitted.matchedRoute->firstByteTarget;
    placementRequest.maxFirstByteWait = maxFirstByteWaitOf(timeLimitOf(*admitted.matchedRoute, request.metadata));
    placementRequest.mayUsePermits = !hasWaiting(context.queue, placementRequest);
    placement_trace trace;
    const auto decision = context.planner.explain(placementRequest, now, trace);
    answer["endpointsListed"] = trace.endpoints.size();
    answer["isLongPrompt"] = placementRequest.hasPrompt && context.planner.isLongPrompt(placementRequest);
    const bool waitsBehindOthers = mustWaitInLine(context.queue, placementRequest, context.planner.isLongPrompt(placementRequest));
    answer["waitsBehindOthers"] = waitsBehindOthers;
    answer["endpoints"] = describeEndpoints(trace);
    if (decision.refusal == placement_refusal::none && !waitsBehindOthers) {
        answer["decision"] = "send";
        answer["endpoint"] = decision.chosen.endpoint->record.id;
        answer["predictedFirstByteMs"] = wholeMilliseconds(decision.chosen.predictedFirstByte);
        answer["bestCachePassedOver"] = toString(decision.chosen.cacheHolderObstacle);
        return;
    }
    if (decision.refusal != placement_refusal::none && decision.refusal != placement_refusal::overloaded) {
        describeRefusal(answer, errorOf(decision.refusal), decision.retryAfter);
        return;
    }
    describeRefusal(answer, error_kind::overloaded, context.planner.retryAfterPauses(placementRequest, now).value_or(placement_options{}.minRetryAfter));
    answer["decision"] = "wait";
    answer["waitMs"] = wholeMilliseconds(queueTimeOf(*admitted.matchedRoute));
}

json explain(const explained_request &request, gateway_context &context)
{
    json answer{{"entries", context.planner.liveEntries(context.loop.now())},
                {"oldestPeerLoadMs", wholeMilliseconds(context.planner.oldestPeerLoadAge(context.loop.now()))}};
    if (context.table == nullptr || context.refusesNewRequests) {
        describeRefusal(answer, context.table == nullptr ? error_kind::not_ready : error_kind::shutting_down, defaultRetryAfter);
        return answer;
    }
    if (!hasRoomForRequest(context.memoryUse(), 0)) {
        describeRefusal(answer, error_kind::overloaded, defaultRetryAfter);
        return answer;
    }
    answer["declarationsVersion"] = context.table->version();
    const auto findWorkspace = [&](const route_table &table) {
        const auto &workspaces = table.declarations().workspaces;
        const auto found = std::find_if(workspaces.begin(), workspaces.end(), [&](const auto &each) { return each.name == request.workspace; });
        return found == workspaces.end() ? nullptr : &*found;
    };
    const auto admitted = admitRequest(context.table, context.streams, &request.host, request.path, request.metadata, findWorkspace, context.loop.now());
    if (admitted.matchedRoute) {
        answer["class"] = admitted.matchedRoute->name;
        answer["rank"] = admitted.rank;
        answer["service"] = admitted.service;
        answer["firstByteTargetMs"] = wholeMilliseconds(admitted.matchedRoute->firstByteTarget);
        answer["timeoutMs"] = wholeMilliseconds(timeLimitOf(*admitted.matchedRoute, request.metadata));
    }
    if (admitted.error) {
        describeRefusal(answer, *admitted.error, defaultRetryAfter);
    } else {
        describePlacement(answer, request, admitted, context);
    }
    return answer;
}

} // namespace

std::optional<operation_answer> answerExplainOperation(const received_request &call, gateway_context &context)
{
    constexpr int ok = 200;
    constexpr int badRequest = 400;
    if (call.method != "POST" || call.target != explainTarget) {
        return std::nullopt;
    }
    try {
        return operation_answer{.status = ok, .text = explain(parse(call.body), context).dump() + "\n"};
    } catch (const shunt_error &error) {
        return operation_answer{.status = badRequest, .text = std::string(error.what()) + "\n"};
    } catch (const json::exception &error) {
        return operation_answer{.status = badRequest, .text = std::string("malformed_request: ") + error.what() + "\n"};
    }
}

} // namespace wisteriashunt

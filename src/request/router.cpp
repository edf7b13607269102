#include "request/router.h"

#include "configuration/sha256.h"
#include "wisteriashunt/errors.h"

#include <nlohmann/json.hpp>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace wisteriashunt
{

namespace
{

using nlohmann::json;

/// Average number of bytes of prompt text per token, used to estimate the prompt's length in tokens.
constexpr std::size_t bytesPerToken = 4;
/// Number of bytes at the start of the conversation that are hashed as its prefix.
constexpr std::size_t prefixHashBytes = 1024;
constexpr std::size_t maxIdempotencyKeyBytes = 255;

std::string headerOr(const http_request &request, const std::string &name, const std::string &fallback)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? fallback : found->second;
}

const workspace &authenticate(const configuration_state &state, const http_request &request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string authorization = headerOr(request, "authorization", "");
    if (!authorization.starts_with(scheme)) {
        throw shunt_error(error_kind::unauthenticated, "the Authorization header must be \"Bearer KEY\"");
    }
    const std::string hash = sha256Hex(authorization.substr(scheme.size()));
    for (const auto &[name, candidate] : state.workspaces) {
        const auto &hashes = candidate.value.keyHashes;
        if (std::find(hashes.begin(), hashes.end(), hash) != hashes.end()) {
            return candidate.value;
        }
    }
    throw shunt_error(error_kind::unauthenticated, "the API key belongs to no workspace");
}

const traffic_class &
findClass(const configuration_state &state, const http_request &request, std::vector<std::string> traffic_class::*servedNames, const std::string &target)
{
    const std::string requestedName = headerOr(request, "x-traffic-class", "");
    if (!requestedName.empty()) {
        const auto found = state.classes.find(requestedName);
        if (found == state.classes.end()) {
            throw shunt_error(error_kind::unknown_class, "no class is named \"" + requestedName + "\"");
        }
        return found->second.value;
    }
    for (const auto &[name, candidate] : state.classes) {
        const auto &names = candidate.value.*servedNames;
        if (std::find(names.begin(), names.end(), target) != names.end()) {
            return candidate.value;
        }
    }
    throw shunt_error(error_kind::unknown_class, "no class serves \"" + target + "\"");
}

void requireAllowed(const workspace &owner, const traffic_class &trafficClass)
{
    const auto &allowed = owner.classes;
    if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), trafficClass.name) == allowed.end()) {
        throw shunt_error(error_kind::forbidden_class, "workspace \"" + owner.name + "\" may not use class \"" + trafficClass.name + "\"");
    }
}

json parseChat(const std::string &body)
{
    json parsed = json::parse(body, nullptr, false);
    if (parsed.is_discarded() || !parsed.is_object()) {
        throw shunt_error(error_kind::malformed_request, "the body must be a JSON object");
    }
    if (!parsed.contains("model") || !parsed["model"].is_string()) {
        throw shunt_error(error_kind::malformed_request, "\"model\" must be a string");
    }
    if (!parsed.contains("messages") || !parsed["messages"].is_array() || parsed["messages"].empty()) {
        throw shunt_error(error_kind::malformed_request, "\"messages\" must be a non-empty array");
    }
    if (parsed.contains("stream") && !parsed["stream"].is_boolean()) {
        throw shunt_error(error_kind::malformed_request, "\"stream\" must be true or false");
    }
    return parsed;
}

void routeChat(const configuration_state &state, const workspace &owner, const http_request &request, routed_request &routed)
{
    const json chat = parseChat(request.body);
    const traffic_class &trafficClass = findClass(state, request, &traffic_class::models, chat["model"].get<std::string>());
    requireAllowed(owner, trafficClass);
    const std::string conversation = chat["messages"].dump(-1, ' ', false, json::error_handler_t::replace);
    routed.className = trafficClass.name;
    routed.path = chatPath;
    routed.streaming = chat.value("stream", false);
    routed.promptTokens = static_cast<std::uint32_t>(conversation.size() / bytesPerToken + 1);
    routed.prefixHash = XXH3_64bits(conversation.data(), std::min(conversation.size(), prefixHashBytes));
}

void routeService(const configuration_state &state, const workspace &owner, const http_request &request, routed_request &routed)
{
    const std::string rest = request.path.substr(std::string_view(servicePrefix).size());
    const auto slash = rest.find('/');
    const std::string service = rest.substr(0, slash);
    if (service.empty()) {
        throw shunt_error(error_kind::unknown_route, "no service name in path \"" + request.path + "\", expected \"/services/NAME/REST\"");
    }
    const traffic_class &trafficClass = findClass(state, request, &traffic_class::services, service);
    requireAllowed(owner, trafficClass);
    routed.className = trafficClass.name;
    routed.path = slash == std::string::npos ? "/" : rest.substr(slash);
    const std::string operation = request.method + " " + routed.path;
    routed.idempotent = std::none_of(
        trafficClass.nonIdempotent.begin(), trafficClass.nonIdempotent.end(), [&](const std::string &prefix) { return operation.starts_with(prefix); });
}

} // namespace

routed_request routeRequest(const configuration_state &state, const http_request &request)
{
    if (state.offset == 0) {
        throw shunt_error(error_kind::not_ready, "no configuration has been read yet");
    }
    const bool isChat = request.path == chatPath;
    if (!isChat && !request.path.starts_with(servicePrefix)) {
        throw shunt_error(error_kind::unknown_route, "no route for path \"" + request.path + "\"");
    }
    if (isChat && request.method != "POST") {
        throw shunt_error(error_kind::malformed_request, "chat completions must use POST, got " + request.method);
    }
    const workspace &owner = authenticate(state, request);
    routed_request routed;
    routed.workspaceName = owner.name;
    routed.method = request.method;
    routed.contentType = headerOr(request, "content-type", "application/json");
    routed.body = request.body;
    routed.idempotencyKey = headerOr(request, "idempotency-key", "");
    if (routed.idempotencyKey.size() > maxIdempotencyKeyBytes) {
        throw shunt_error(error_kind::malformed_request,
                          "the idempotency key must be at most 255 bytes long, got " + std::to_string(routed.idempotencyKey.size()));
    }
    if (isChat) {
        routeChat(state, owner, request, routed);
    } else {
        routeService(state, owner, request, routed);
    }
    const std::string identity = routed.method + "\n" + request.path + "\n" + routed.body;
    routed.fingerprint = XXH3_64bits(identity.data(), identity.size());
    return routed;
}

} // namespace wisteriashunt

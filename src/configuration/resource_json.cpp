#include "configuration/resource_json.h"

namespace wisteriashunt
{

namespace
{

using nlohmann::json;

constexpr const char *engineKind = "engine";
constexpr const char *serviceKind = "service";

duration readMilliseconds(const json &spec, const char *key)
{
    return std::chrono::milliseconds(spec.at(key).get<long>());
}

long toWholeMilliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

template<typename T>
json toJson(const std::map<std::string, versioned<T>> &resources)
{
    json all = json::object();
    for (const auto &[name, resource] : resources) {
        all[name] = {{"version", resource.version}, {"author", resource.author}, {"changedAt", resource.changedAt}, {"spec", toJson(resource.value)}};
    }
    return all;
}

template<typename T>
std::map<std::string, versioned<T>> resourcesFromJson(const json &all, T (*parse)(const std::string &, const json &))
{
    std::map<std::string, versioned<T>> resources;
    for (const auto &[name, item] : all.items()) {
        resources[name] = {.value = parse(name, item.at("spec")),
                           .version = item.at("version").template get<log_offset>(),
                           .author = item.at("author").template get<std::string>(),
                           .changedAt = item.at("changedAt").template get<std::string>()};
    }
    return resources;
}

} // namespace

json toJson(const traffic_class &value)
{
    return {{"tier", value.tier},
            {"firstTokenMs", toWholeMilliseconds(value.firstToken)},
            {"betweenTokensMs", toWholeMilliseconds(value.betweenTokens)},
            {"floor", value.floor},
            {"endpoints", value.endpoints},
            {"nonIdempotent", value.nonIdempotent},
            {"models", value.models},
            {"services", value.services}};
}

json toJson(const workspace &value)
{
    return {{"keyHashes", value.keyHashes}, {"classes", value.classes}, {"weight", value.weight}};
}

json toJson(const endpoint &value)
{
    return {{"kind", value.kind == endpoint_kind::engine ? engineKind : serviceKind},
            {"resumes", value.resumes},
            {"echoesRequestId", value.echoesRequestId},
            {"maxConcurrency", value.maxConcurrency}};
}

json toJson(const configuration_state &value)
{
    return {{"offset", value.offset}, {"classes", toJson(value.classes)}, {"workspaces", toJson(value.workspaces)}, {"endpoints", toJson(value.endpoints)}};
}

traffic_class classFromJson(const std::string &name, const json &spec)
{
    return {.name = name,
            .tier = spec.at("tier").get<int>(),
            .firstToken = readMilliseconds(spec, "firstTokenMs"),
            .betweenTokens = readMilliseconds(spec, "betweenTokensMs"),
            .floor = spec.at("floor").get<double>(),
            .endpoints = spec.at("endpoints").get<std::vector<std::string>>(),
            .nonIdempotent = spec.at("nonIdempotent").get<std::vector<std::string>>(),
            .models = spec.at("models").get<std::vector<std::string>>(),
            .services = spec.at("services").get<std::vector<std::string>>()};
}

workspace workspaceFromJson(const std::string &name, const json &spec)
{
    return {.name = name,
            .keyHashes = spec.at("keyHashes").get<std::vector<std::string>>(),
            .classes = spec.at("classes").get<std::vector<std::string>>(),
            .weight = spec.at("weight").get<double>()};
}

endpoint endpointFromJson(const std::string &name, const json &spec)
{
    return {.name = name,
            .kind = spec.at("kind").get<std::string>() == serviceKind ? endpoint_kind::service : endpoint_kind::engine,
            .resumes = spec.at("resumes").get<bool>(),
            .echoesRequestId = spec.at("echoesRequestId").get<bool>(),
            .maxConcurrency = spec.at("maxConcurrency").get<int>()};
}

configuration_state stateFromJson(const json &value)
{
    return {.offset = value.at("offset").get<log_offset>(),
            .classes = resourcesFromJson<traffic_class>(value.at("classes"), classFromJson),
            .workspaces = resourcesFromJson<workspace>(value.at("workspaces"), workspaceFromJson),
            .endpoints = resourcesFromJson<endpoint>(value.at("endpoints"), endpointFromJson)};
}

} // namespace wisteriashunt

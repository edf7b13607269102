#include "configuration/declarations.h"

#include "configuration/resource_json.h"
#include "configuration/yaml_fields.h"

#include <absl/strings/str_cat.h>

#include <map>

namespace wisteriashunt
{

namespace
{

constexpr long maxTargetMs = 600000;
constexpr long maxConcurrencyLimit = 4096;
constexpr double maxWeight = 1000;
constexpr std::size_t sha256HexLength = 64;

traffic_class parseClass(const std::string &name, yaml_fields &spec)
{
    const traffic_class defaults;
    traffic_class parsed{.name = name,
                         .tier = static_cast<int>(spec.readInteger("tier", 0, 1, tierCount)),
                         .firstToken = spec.readMilliseconds("firstTokenMs", defaults.firstToken, 1, maxTargetMs),
                         .betweenTokens = spec.readMilliseconds("betweenTokensMs", defaults.betweenTokens, 1, maxTargetMs),
                         .floor = spec.readNumber("floor", defaults.floor, 0, maxFloorSum),
                         .endpoints = spec.readStrings("endpoints"),
                         .nonIdempotent = spec.readStrings("nonIdempotent"),
                         .models = spec.readStrings("models"),
                         .services = spec.readStrings("services")};
    if (parsed.tier == 0) {
        spec.report("tier", "nothing", absl::StrCat("a whole number from 1 (highest) to ", tierCount));
    }
    if (parsed.endpoints.empty()) {
        spec.report("endpoints", "nothing", "at least one endpoint name");
    }
    return parsed;
}

workspace parseWorkspace(const std::string &name, yaml_fields &spec)
{
    workspace parsed{.name = name,
                     .keyHashes = spec.readStrings("keyHashes"),
                     .classes = spec.readStrings("classes"),
                     .weight = spec.readNumber("weight", 1, 0.001, maxWeight)};
    for (const auto &hash : parsed.keyHashes) {
        if (hash.size() != sha256HexLength || hash.find_first_not_of("0123456789abcdef") != std::string::npos) {
            spec.report("keyHashes", absl::StrCat("\"", hash, "\""), "the lower-case hexadecimal SHA-256 of a key");
        }
    }
    return parsed;
}

endpoint parseEndpoint(const std::string &name, yaml_fields &spec)
{
    const endpoint defaults;
    return {.name = name,
            .kind = spec.readChoice("kind", {"engine", "service"}, "engine", true) == "service" ? endpoint_kind::service : endpoint_kind::engine,
            .resumes = spec.readBoolean("resumes", defaults.resumes),
            .echoesRequestId = spec.readBoolean("echoesRequestId", defaults.echoesRequestId),
            .maxConcurrency = static_cast<int>(spec.readInteger("maxConcurrency", defaults.maxConcurrency, 1, maxConcurrencyLimit))};
}

void parseDocument(const std::string &file, const YAML::Node &document, std::vector<fault> &faults, std::vector<resource> &parsed)
{
    const std::size_t faultsBefore = faults.size();
    yaml_fields fields(document, file, "", faults);
    const std::string kind = fields.readChoice("kind", {"class", "workspace", "endpoint"}, "", true);
    const std::string name = fields.readName("name", true);
    yaml_fields spec(fields.child("spec"), file, "spec", faults);
    resource value;
    if (kind == "class") {
        value = parseClass(name, spec);
    } else if (kind == "workspace") {
        value = parseWorkspace(name, spec);
    } else if (kind == "endpoint") {
        value = parseEndpoint(name, spec);
    } else {
        return;
    }
    spec.reportUnknownKeys();
    fields.reportUnknownKeys();
    if (faults.size() == faultsBefore) {
        parsed.push_back(value);
    }
}

void emitSpec(YAML::Emitter &out, const nlohmann::json &spec)
{
    out << YAML::BeginMap;
    for (const auto &[key, value] : spec.items()) {
        out << YAML::Key << key << YAML::Value;
        if (value.is_array()) {
            out << YAML::Flow << value.get<std::vector<std::string>>();
        } else if (value.is_string()) {
            out << value.get<std::string>();
        } else {
            out << value.dump();
        }
    }
    out << YAML::EndMap;
}

} // namespace

std::string kindOf(const resource &value)
{
    constexpr const char *kinds[] = {"class", "workspace", "endpoint"};
    return kinds[value.index()];
}

std::string nameOf(const resource &value)
{
    return std::visit([](const auto &concrete) { return concrete.name; }, value);
}

std::vector<resource> parseDeclarations(const std::string &file, const std::string &text, std::vector<fault> &faults)
{
    std::vector<resource> parsed;
    try {
        for (const auto &document : YAML::LoadAll(text)) {
            if (!document.IsNull()) {
                parseDocument(file, document, faults, parsed);
            }
        }
    } catch (const YAML::Exception &error) {
        faults.push_back({.file = file, .line = error.mark.line + 1, .key = "(document)", .found = error.msg, .allowed = "well-formed YAML"});
    }
    return parsed;
}

std::string toYaml(const resource &value)
{
    YAML::Emitter out;
    out << YAML::BeginMap << YAML::Key << "kind" << YAML::Value << kindOf(value) << YAML::Key << "name" << YAML::Value << nameOf(value);
    out << YAML::Key << "spec" << YAML::Value;
    emitSpec(out, std::visit([](const auto &concrete) { return toJson(concrete); }, value));
    out << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

std::vector<std::string> checkConsistency(const configuration_state &state)
{
    std::vector<std::string> problems;
    std::map<std::string, double> floors;
    for (const auto &[name, declared] : state.classes) {
        for (const auto &endpointName : declared.value.endpoints) {
            floors[endpointName] += declared.value.floor;
            if (!state.endpoints.contains(endpointName)) {
                problems.push_back(absl::StrCat("class \"", name, "\": no endpoint is named \"", endpointName, "\""));
            }
        }
    }
    for (const auto &[name, declared] : state.workspaces) {
        for (const auto &className : declared.value.classes) {
            if (!state.classes.contains(className)) {
                problems.push_back(absl::StrCat("workspace \"", name, "\": no class is named \"", className, "\""));
            }
        }
    }
    for (const auto &[endpointName, sum] : floors) {
        constexpr double roundingTolerance = 1e-9;
        if (sum > maxFloorSum + roundingTolerance) {
            problems.push_back(absl::StrCat("endpoint \"", endpointName, "\": the floors of its classes add up to ", sum, ", allowed at most ", maxFloorSum));
        }
    }
    return problems;
}

} // namespace wisteriashunt

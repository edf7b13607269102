#include "ctl/commands.h"

#include "configuration/resource_json.h"
#include "wisteriashunt/errors.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>

namespace wisteriashunt::ctl
{

namespace
{

using nlohmann::json;
using resource_row = versioned<resource>;

constexpr const char *version = "0.1.0";
const std::vector<std::string> kinds{"class", "workspace", "endpoint"};

/// Returns the kind in the singular; accepts singular and plural.
std::string singularKind(const std::string &kind)
{
    static const std::map<std::string, std::string> plurals{{"classes", "class"}, {"workspaces", "workspace"}, {"endpoints", "endpoint"}};
    const auto found = plurals.find(kind);
    return found == plurals.end() ? kind : found->second;
}

bool isKind(const std::string &kind)
{
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

exit_code usage(const std::string &text)
{
    std::cerr << "usage: wisteriashuntctl " << text << '\n';
    return exit_usage;
}

json specOf(const resource &value)
{
    return std::visit([](const auto &concrete) { return toJson(concrete); }, value);
}

json describe(const resource_row &row)
{
    return {{"kind", kindOf(row.value)},
            {"name", nameOf(row.value)},
            {"version", row.version},
            {"author", row.author},
            {"changedAt", row.changedAt},
            {"spec", specOf(row.value)}};
}

void printTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    constexpr std::size_t columnGap = 2;
    for (const auto &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const bool isLast = i + 1 == row.size();
            std::cout << row[i] << (isLast ? "" : std::string(widths[i] + columnGap - row[i].size(), ' '));
        }
        std::cout << '\n';
    }
}

void printResources(const std::vector<resource_row> &rows, const std::string &output)
{
    if (output == "json") {
        json all = json::array();
        for (const auto &row : rows) {
            all.push_back(describe(row));
        }
        std::cout << all.dump(2) << '\n';
        return;
    }
    if (output == "yaml") {
        for (const auto &row : rows) {
            std::cout << "---\n# version " << row.version << " by " << row.author << " at " << row.changedAt << '\n' << toYaml(row.value);
        }
        return;
    }
    std::vector<std::vector<std::string>> table{{"KIND", "NAME", "VERSION", "AUTHOR", "CHANGED"}};
    for (const auto &row : rows) {
        table.push_back({kindOf(row.value), nameOf(row.value), absl::StrCat(row.version), row.author, row.changedAt});
    }
    printTable(table);
}

exit_code reportConflict(const operator_client &client, const resource &value)
{
    const auto existing = client.find(kindOf(value), nameOf(value));
    std::cerr << "conflict: " << kindOf(value) << " \"" << nameOf(value) << "\" ";
    if (existing) {
        std::cerr << "was changed by " << existing->author << " at " << existing->changedAt << " and is now version " << existing->version << '\n';
    } else {
        std::cerr << "does not exist any more\n";
    }
    return exit_conflict;
}

exit_code reportUntilInForce(operator_client &client, log_offset offset)
{
    std::size_t lastPendingCount = ~std::size_t{0};
    const auto remaining = client.waitUntilInForce(offset, [&](const std::vector<std::string> &pending, std::size_t all) {
        if (pending.size() != lastPendingCount) {
            lastPendingCount = pending.size();
            std::cerr << "offset " << offset << " is in force at " << all - pending.size() << " of " << all << " instances\n";
        }
    });
    if (remaining.empty()) {
        return exit_success;
    }
    std::cerr << "timed out: offset " << offset << " is not in force at " << absl::StrJoin(remaining, ", ") << '\n';
    return exit_wait_expired;
}

/// Parses the file with declarations and prints every fault. Returns false if there was one.
bool readDeclarations(const std::string &file, std::vector<resource> &declared)
{
    std::ifstream stream(file);
    if (!stream) {
        std::cerr << file << ": cannot open the file with declarations\n";
        return false;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    std::vector<fault> faults;
    declared = parseDeclarations(file, text.str(), faults);
    if (!faults.empty()) {
        std::cerr << toString(faults) << '\n';
    }
    return faults.empty();
}

template<typename T>
void merge(std::map<std::string, versioned<T>> &resources, const T &value)
{
    resources[value.name].value = value;
}

/// Returns the state as it would be with all declarations accepted.
configuration_state mergedState(configuration_state state, const std::vector<resource> &declared)
{
    for (const auto &value : declared) {
        if (const auto *concrete = std::get_if<traffic_class>(&value)) {
            merge(state.classes, *concrete);
        } else if (const auto *declaredWorkspace = std::get_if<workspace>(&value)) {
            merge(state.workspaces, *declaredWorkspace);
        } else {
            merge(state.endpoints, std::get<endpoint>(value));
        }
    }
    return state;
}

exit_code apply(operator_client &client, const command_options &options)
{
    std::vector<resource> declared;
    if (options.file.empty()) {
        return usage("apply -f FILE [--wait] [--if_version N]");
    }
    if (!readDeclarations(options.file, declared)) {
        return exit_invalid;
    }
    client.refresh();
    const auto problems = checkConsistency(mergedState(client.state(), declared));
    if (!problems.empty()) {
        std::cerr << absl::StrJoin(problems, "\n") << '\n';
        return exit_invalid;
    }
    log_offset newestOffset = 0;
    for (const auto &value : declared) {
        const auto existing = client.find(kindOf(value), nameOf(value));
        const std::string label = kindOf(value) + " \"" + nameOf(value) + "\"";
        if (existing && existing->value == value) {
            std::cout << label << " unchanged, version " << existing->version << '\n';
            newestOffset = std::max(newestOffset, existing->version);
            continue;
        }
        const log_offset base = options.ifVersion != 0 ? options.ifVersion : (existing ? existing->version : 0);
        const change_result result = client.write(value, base, false);
        if (result.verdict != change_verdict::accepted) {
            return reportConflict(client, value);
        }
        std::cout << label << (existing ? " changed" : " created") << ", version " << result.version << '\n';
        newestOffset = std::max(newestOffset, result.version);
    }
    return options.wait ? reportUntilInForce(client, newestOffset) : exit_success;
}

exit_code get(operator_client &client, const command_options &options)
{
    client.refresh();
    const auto &arguments = options.arguments;
    if (arguments.size() < 2 || (arguments[1] != "all" && !isKind(singularKind(arguments[1])))) {
        return usage("get class|workspace|endpoint|all [NAME] [-o table|json|yaml]");
    }
    std::vector<resource_row> rows;
    for (const auto &kind : kinds) {
        if (arguments[1] == "all" || singularKind(arguments[1]) == kind) {
            const auto ofKind = client.list(kind);
            rows.insert(rows.end(), ofKind.begin(), ofKind.end());
        }
    }
    if (arguments.size() > 2) {
        std::erase_if(rows, [&](const resource_row &row) { return nameOf(row.value) != arguments[2]; });
        if (rows.empty()) {
            std::cerr << singularKind(arguments[1]) << " \"" << arguments[2] << "\" not found\n";
            return exit_not_found;
        }
    }
    printResources(rows, options.output);
    return exit_success;
}

exit_code describeCommand(operator_client &client, const command_options &options)
{
    if (options.arguments.size() != 3) {
        return usage("describe class|workspace|endpoint NAME");
    }
    client.refresh();
    const auto existing = client.find(singularKind(options.arguments[1]), options.arguments[2]);
    if (!existing) {
        std::cerr << singularKind(options.arguments[1]) << " \"" << options.arguments[2] << "\" not found\n";
        return exit_not_found;
    }
    const json description = describe(*existing);
    if (options.output == "json") {
        std::cout << description.dump(2) << '\n';
        return exit_success;
    }
    for (const auto &[key, value] : description.items()) {
        if (key != "spec") {
            std::cout << key << ": " << (value.is_string() ? value.get<std::string>() : value.dump()) << '\n';
        }
    }
    std::cout << toYaml(existing->value);
    return exit_success;
}

exit_code remove(operator_client &client, const command_options &options)
{
    if (options.arguments.size() != 3) {
        return usage("delete class|workspace|endpoint NAME [--wait] [--if_version N]");
    }
    client.refresh();
    const auto existing = client.find(singularKind(options.arguments[1]), options.arguments[2]);
    if (!existing) {
        std::cerr << singularKind(options.arguments[1]) << " \"" << options.arguments[2] << "\" not found\n";
        return exit_not_found;
    }
    const change_result result = client.write(existing->value, options.ifVersion != 0 ? options.ifVersion : existing->version, true);
    if (result.verdict != change_verdict::accepted) {
        return reportConflict(client, existing->value);
    }
    std::cout << kindOf(existing->value) << " \"" << nameOf(existing->value) << "\" deleted\n";
    return options.wait ? reportUntilInForce(client, result.version) : exit_success;
}

exit_code diff(operator_client &client, const command_options &options)
{
    std::vector<resource> declared;
    if (options.file.empty()) {
        return usage("diff -f FILE");
    }
    if (!readDeclarations(options.file, declared)) {
        return exit_invalid;
    }
    client.refresh();
    for (const auto &value : declared) {
        const auto existing = client.find(kindOf(value), nameOf(value));
        const json before = existing ? specOf(existing->value) : json::object();
        const json after = specOf(value);
        std::cout << kindOf(value) << " \"" << nameOf(value) << "\"" << (existing ? "" : " (new)") << '\n';
        for (const auto &[key, declaredValue] : after.items()) {
            if (!before.contains(key) || before[key] != declaredValue) {
                std::cout << "  - " << key << ": " << (before.contains(key) ? before[key].dump() : "(none)") << "\n  + " << key << ": " << declaredValue.dump()
                          << '\n';
            }
        }
    }
    return exit_success;
}

exit_code watch(operator_client &client, const command_options &options)
{
    client.refresh();
    std::map<std::string, log_offset> previous;
    const auto readVersions = [&] {
        std::map<std::string, log_offset> versions;
        for (const auto &kind : kinds) {
            for (const auto &row : client.list(kind)) {
                versions[kind + " \"" + nameOf(row.value) + "\""] = row.version;
            }
        }
        return versions;
    };
    previous = readVersions();
    int changeCount = 0;
    while (options.watchCount == 0 || changeCount < options.watchCount) {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        client.refresh();
        const auto current = readVersions();
        for (const auto &[label, offset] : current) {
            if (!previous.contains(label) || previous[label] != offset) {
                std::cout << label << (previous.contains(label) ? " changed" : " created") << ", version " << offset << std::endl;
                ++changeCount;
            }
        }
        for (const auto &[label, offset] : previous) {
            if (!current.contains(label)) {
                std::cout << label << " deleted" << std::endl;
                ++changeCount;
            }
        }
        previous = current;
    }
    return exit_success;
}

exit_code status(operator_client &client, const command_options &options)
{
    const auto all = client.queryInstances();
    if (options.output == "json") {
        json rows = json::array();
        for (const auto &instance : all) {
            rows.push_back({{"name", instance.row.name}, {"listedLeaving", instance.row.leaving}, {"status", instance.status.value_or(json())}});
        }
        std::cout << rows.dump(2) << '\n';
        return exit_success;
    }
    std::vector<std::vector<std::string>> table{{"INSTANCE", "ROLE", "ENDPOINT", "ZONE", "CONFIGURATION", "READY", "LEAVING"}};
    for (const auto &[row, answer] : all) {
        const json statusFields = answer.value_or(json::object());
        table.push_back({row.name,
                         row.role,
                         row.endpointName.empty() ? "-" : row.endpointName,
                         row.availabilityZone,
                         statusFields.contains("configuration") ? statusFields["configuration"].dump() : "no answer",
                         statusFields.contains("ready") ? statusFields["ready"].dump() : "-",
                         row.leaving ? "true" : "false"});
    }
    printTable(table);
    return exit_success;
}

exit_code drain(operator_client &client, const command_options &options)
{
    if (options.arguments.size() != 2) {
        return usage("drain INSTANCE");
    }
    if (!client.drain(options.arguments[1])) {
        std::cerr << "instance \"" << options.arguments[1] << "\" is not in the platform's list\n";
        return exit_not_found;
    }
    std::cout << "drain requested for instance \"" << options.arguments[1] << "\"\n";
    return exit_success;
}

/// Returns the time as microseconds since the Unix epoch.
std::string microsecondsText(time_point at)
{
    return absl::StrCat(at.time_since_epoch().count());
}

void printDecisions(const std::vector<decision> &decisions, const std::string &output)
{
    if (output == "json") {
        json rows = json::array();
        for (const auto &value : decisions) {
            rows.push_back({{"atMicroseconds", value.at.time_since_epoch().count()},
                            {"event", toString(value.event)},
                            {"request", toString(value.request)},
                            {"attempt", value.attempt},
                            {"class", value.className},
                            {"tier", value.tier},
                            {"workspace", value.workspaceName},
                            {"endpoint", value.endpointName},
                            {"reason", value.reason},
                            {"waiting", value.waiting},
                            {"configuration", value.configuration},
                            {"tokens", value.tokens}});
        }
        std::cout << rows.dump(2) << '\n';
        return;
    }
    std::vector<std::vector<std::string>> table{{"AT_US", "EVENT", "REQUEST", "CLASS", "TIER", "WORKSPACE", "ENDPOINT", "REASON", "WAITED_MS", "WAITING"}};
    for (const auto &value : decisions) {
        const bool wasQueued = value.queuedAt != time_point{};
        table.push_back({microsecondsText(value.at),
                         std::string(toString(value.event)),
                         absl::StrCat(toString(value.request), "/", value.attempt),
                         value.className,
                         absl::StrCat(value.tier),
                         value.workspaceName,
                         value.endpointName.empty() ? "-" : value.endpointName,
                         value.reason,
                         wasQueued ? absl::StrCat(toMilliseconds(value.at - value.queuedAt)) : "-",
                         absl::StrJoin(value.waiting, "/")});
    }
    printTable(table);
}

exit_code printFindings(const audit_report &report)
{
    for (const auto &finding : report.findings) {
        std::cout << toString(finding.kind) << " at offset " << finding.offset << (finding.instance.empty() ? "" : " of " + finding.instance) << ": "
                  << finding.detail << '\n';
    }
    std::cout << report.decisions.size() << " decisions in " << report.chains << " chains, " << report.findings.size() << " findings\n";
    return report.findings.empty() ? exit_success : exit_audit_findings;
}

exit_code auditCommand(operator_client &client, const command_options &options)
{
    const std::string subcommand = options.arguments.size() > 1 ? options.arguments[1] : "";
    const bool isRequest = subcommand == "request" && options.arguments.size() == 3;
    if (subcommand != "order" && subcommand != "check" && !isRequest) {
        return usage("audit order|check|request ID [--class NAME] [--endpoint NAME] [-o table|json]");
    }
    const audit_report report = client.readEvidence();
    if (subcommand == "check") {
        return printFindings(report);
    }
    std::vector<decision> selected = report.decisions;
    std::erase_if(selected, [&](const decision &value) {
        const bool isExcluded = isRequest ? toString(value.request) != options.arguments[2] : value.event != event_number::attempt_started;
        return isExcluded || (!options.className.empty() && value.className != options.className)
            || (!options.endpointName.empty() && value.endpointName != options.endpointName);
    });
    if (isRequest && selected.empty()) {
        std::cerr << "no evidence of request " << options.arguments[2] << " is retained\n";
        return exit_not_found;
    }
    printDecisions(selected, options.output);
    return exit_success;
}

} // namespace

exit_code runCommand(operator_client &client, const command_options &options)
{
    using handler = exit_code (*)(operator_client &, const command_options &);
    static const std::map<std::string, handler> handlers{{"apply", apply},
                                                         {"get", get},
                                                         {"describe", describeCommand},
                                                         {"delete", remove},
                                                         {"diff", diff},
                                                         {"watch", watch},
                                                         {"status", status},
                                                         {"drain", drain},
                                                         {"audit", auditCommand}};
    if (!options.arguments.empty() && options.arguments[0] == "version") {
        std::cout << "wisteriashuntctl " << version << '\n';
        return exit_success;
    }
    const auto found = options.arguments.empty() ? handlers.end() : handlers.find(options.arguments[0]);
    if (found == handlers.end()) {
        return usage("apply|get|describe|delete|diff|watch|status|drain|audit|explain|version [flags]");
    }
    return found->second(client, options);
}

} // namespace wisteriashunt::ctl

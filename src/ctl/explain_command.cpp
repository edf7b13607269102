#include "ctl/explain_command.h"

#include "platform/http_client.h"
#include "wisteriashunt/errors.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <iostream>

namespace wisteriashunt::ctl
{

namespace
{

using nlohmann::json;

json promptParts(const std::string &prompt)
{
    json parts = json::array();
    for (const auto part : absl::StrSplit(prompt, ',', absl::SkipEmpty())) {
        const std::pair<std::string, std::string> fields = absl::StrSplit(part, absl::MaxSplits(':', 1));
        std::int64_t tokens = 0;
        if (fields.first.empty() || !absl::SimpleAtoi(fields.second, &tokens) || tokens < 0) {
            throw shunt_error(error_kind::malformed_request, absl::StrCat("prompt part '", part, "': expected ID:TOKENS"));
        }
        parts.push_back({{"part", fields.first}, {"tokens", tokens}});
    }
    return parts;
}

std::string textOf(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

} // namespace

json explainBody(const explain_options &options)
{
    json body{{"host", options.host}, {"path", options.path}, {"workspace", options.workspace}, {"prompt", promptParts(options.prompt)}};
    if (!options.request.empty()) {
        body["request"] = options.request;
    }
    if (options.promptTokens >= 0) {
        body["promptTokens"] = options.promptTokens;
    }
    if (options.timeoutMilliseconds >= 0) {
        body["timeoutMs"] = options.timeoutMilliseconds;
    }
    return body;
}

std::string formatExplanation(const json &answer)
{
    std::string text;
    for (const auto &[field, value] : answer.items()) {
        if (field != "endpoints") {
            absl::StrAppend(&text, absl::StrFormat("%-22s%s\n", field, textOf(value)));
        }
    }
    const auto endpoints = answer.value("endpoints", json::array());
    if (endpoints.empty()) {
        return text;
    }
    absl::StrAppend(&text,
                    absl::StrFormat("\n%-16s%-14s%-10s%9s%9s%9s%7s%7s%9s  %s\n",
                                    "ENDPOINT",
                                    "ZONE",
                                    "SOFTWARE",
                                    "FIRST_MS",
                                    "CACHED",
                                    "UNREAD",
                                    "SHORT",
                                    "LONG",
                                    "WAITING",
                                    "WHY_NOT"));
    for (const auto &each : endpoints) {
        const std::string obstacle = each.value("obstacle", "");
        absl::StrAppend(&text,
                        absl::StrFormat("%-16s%-14s%-10s%9d%9d%9d%7d%7d%9d  %s\n",
                                        each.value("endpoint", ""),
                                        each.value("availabilityZone", ""),
                                        each.value("software", ""),
                                        each.value("predictedFirstByteMs", std::int64_t{0}),
                                        each.value("cachedTokens", std::int64_t{0}),
                                        each.value("unreadTokens", std::int64_t{0}),
                                        each.value("shortPrompts", 0),
                                        each.value("longPrompts", 0),
                                        each.value("waitingTokens", std::int64_t{0}),
                                        obstacle == "none" ? "chosen" : obstacle));
    }
    return text;
}

exit_code explainRequest(const explain_options &options)
{
    constexpr std::chrono::seconds timeout{5};
    constexpr int ok = 200;
    if (options.entryUrl.empty() || options.host.empty() || options.path.empty()) {
        std::cerr << "usage: wisteriashuntctl explain --entry URL --host HOST --path PATH [--workspace NAME] [--request ID] [--prompt ID:TOKENS,...]\n"
                     "       [--tokens N] [--timeout_ms N] [--json]\n";
        return exit_usage;
    }
    const auto reply = http_client().post(options.entryUrl + "/explain", explainBody(options).dump(), timeout);
    if (reply.status != ok) {
        std::cerr << "error: the entry answered " << reply.status << ": " << reply.body;
        return exit_invalid;
    }
    const auto answer = json::parse(reply.body, nullptr, false);
    if (!answer.is_object()) {
        std::cerr << "error: the entry's answer is not a JSON object\n";
        return exit_failure;
    }
    std::cout << (options.printsJson ? answer.dump(2) + "\n" : formatExplanation(answer));
    return exit_success;
}

} // namespace wisteriashunt::ctl

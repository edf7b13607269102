// wisteriashuntctl: command-line tool for operators.
#include "ctl/commands.h"
#include "ctl/explain_command.h"

#include "wisteriashunt/errors.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <curl/curl.h>

#include <cstdlib>
#include <iostream>

ABSL_FLAG(std::string, log, "http://127.0.0.1:9000", "Base URL of the platform's log service.");
ABSL_FLAG(std::string, instances, "", "Base URL of the platform's instance list; empty for the URL given by --log.");
ABSL_FLAG(std::string, f, "", "File with declarations (YAML).");
ABSL_FLAG(std::string, o, "table", "Output: table, json or yaml.");
ABSL_FLAG(bool, wait, false, "Wait until the change is in force at every listed instance.");
ABSL_FLAG(int, timeout, 30, "Time limit for confirming a change and, with --wait, for its coming into force, in seconds.");
ABSL_FLAG(std::uint64_t, if_version, 0, "Version that the change must be based on; 0 for the current version.");
ABSL_FLAG(int, count, 0, "Number of changes after which watch stops; 0 for no limit.");
ABSL_FLAG(std::string, author, "", "Name recorded with changes; empty for the value of the USER environment variable.");
ABSL_FLAG(std::string, class, "", "Limit audit to this class; empty for all.");
ABSL_FLAG(std::string, endpoint, "", "Limit audit to this endpoint; empty for all.");
ABSL_FLAG(std::string, entry, "", "explain: base URL of the entry's address for operators, such as http://10.0.0.5:9464.");
ABSL_FLAG(std::string, host, "", "explain: host of the request.");
ABSL_FLAG(std::string, path, "", "explain: path of the request.");
ABSL_FLAG(std::string, workspace, "", "explain: name of the caller's workspace; empty for public routes.");
ABSL_FLAG(std::string, request, "", "explain: ID of the request.");
ABSL_FLAG(std::string, prompt, "", "explain: parts of the prompt as ID:TOKENS, separated by commas, the ID in hexadecimal.");
ABSL_FLAG(std::int64_t, tokens, -1, "explain: prompt tokens; -1 for the sum over the parts.");
ABSL_FLAG(std::int64_t, timeout_ms, -1, "explain: time that the caller waits, in milliseconds; -1 for the time limit of the route.");
ABSL_FLAG(bool, json, false, "explain: print the answer as JSON.");

int main(int argc, char **argv)
{
    using namespace wisteriashunt::ctl;
    absl::SetProgramUsageMessage("wisteriashuntctl apply|get|describe|delete|diff|watch|status|drain|audit|explain|version [flags]");
    const std::vector<char *> positional = absl::ParseCommandLine(argc, argv);
    const char *user = std::getenv("USER");
    const std::string instances = absl::GetFlag(FLAGS_instances);
    const std::string author = absl::GetFlag(FLAGS_author);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const client_options clientOptions{.logUrl = absl::GetFlag(FLAGS_log),
                                       .instancesUrl = instances.empty() ? absl::GetFlag(FLAGS_log) : instances,
                                       .author = !author.empty() ? author : (user != nullptr ? user : "unknown"),
                                       .timeout = std::chrono::seconds(absl::GetFlag(FLAGS_timeout))};
    const command_options options{.arguments = {positional.begin() + 1, positional.end()},
                                  .file = absl::GetFlag(FLAGS_f),
                                  .output = absl::GetFlag(FLAGS_o),
                                  .wait = absl::GetFlag(FLAGS_wait),
                                  .ifVersion = absl::GetFlag(FLAGS_if_version),
                                  .watchCount = absl::GetFlag(FLAGS_count),
                                  .className = absl::GetFlag(FLAGS_class),
                                  .endpointName = absl::GetFlag(FLAGS_endpoint)};
    try {
        if (!options.arguments.empty() && options.arguments[0] == "explain") {
            return explainRequest({.entryUrl = absl::GetFlag(FLAGS_entry),
                                   .host = absl::GetFlag(FLAGS_host),
                                   .path = absl::GetFlag(FLAGS_path),
                                   .workspace = absl::GetFlag(FLAGS_workspace),
                                   .request = absl::GetFlag(FLAGS_request),
                                   .prompt = absl::GetFlag(FLAGS_prompt),
                                   .promptTokens = absl::GetFlag(FLAGS_tokens),
                                   .timeoutMilliseconds = absl::GetFlag(FLAGS_timeout_ms),
                                   .printsJson = absl::GetFlag(FLAGS_json)});
        }
        operator_client client(clientOptions);
        return runCommand(client, options);
    } catch (const std::exception &error) {
        std::cerr << "error: " << error.what() << '\n';
        return exit_failure;
    }
}

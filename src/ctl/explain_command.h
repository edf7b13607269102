/// `wisteriashuntctl explain`: asks an entry where a request would go now, and why, without sending it.
#pragma once

#include "ctl/operator_client.h"

#include <nlohmann/json.hpp>

#include <string>

namespace wisteriashunt::ctl
{

/// The request that is explained, as given on the command line.
struct explain_options
{
    /// Base URL of the entry's address for metrics and operators.
    std::string entryUrl;
    std::string host;
    std::string path;
    /// Name of the caller's workspace; empty for public routes.
    std::string workspace;
    /// ID of the request. Requests without prompt parts are spread over endpoints by it.
    std::string request;
    /// Prompt parts as ID:TOKENS, separated by commas, the ID in hexadecimal.
    std::string prompt;
    /// Prompt tokens; -1 for the sum over the parts.
    std::int64_t promptTokens = -1;
    /// Time that the caller waits, in milliseconds; -1 for the time limit of the route.
    std::int64_t timeoutMilliseconds = -1;
    /// Prints the answer as JSON instead of text.
    bool printsJson = false;
};

/// Returns the body of the call. Throws shunt_error(malformed_request) if the prompt cannot be read.
[[nodiscard]] nlohmann::json explainBody(const explain_options &options);

/// Returns an entry's answer as text.
[[nodiscard]] std::string formatExplanation(const nlohmann::json &answer);

/// Asks the entry and prints its answer. Returns exit_usage without host or path, exit_invalid if the entry rejects the question, and exit_failure
/// if it does not answer.
[[nodiscard]] exit_code explainRequest(const explain_options &options);

} // namespace wisteriashunt::ctl

/// Maps a caller's HTTP request to a traffic class.
#pragma once

#include "wisteriashunt/resources.h"

#include <cstdint>
#include <map>
#include <string>

namespace wisteriashunt
{

/// A caller's HTTP request. Header names are in lower case.
struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// A request with its class and all fields that placement and retries depend on.
struct routed_request
{
    std::string workspaceName;
    std::string className;
    std::string method;
    /// Path that is sent to the back end.
    std::string path;
    std::string contentType;
    std::string body;
    bool streaming = false;
    /// False if the class lists the operation as one that must run at most once.
    bool idempotent = true;
    /// Empty if the caller sent none.
    std::string idempotencyKey;
    /// Hash of method, path and body.
    std::uint64_t fingerprint = 0;
    /// Hash of the start of the prompt; 0 for requests to services.
    std::uint64_t prefixHash = 0;
    /// Estimated length of the prompt; 0 for requests to services.
    std::uint32_t promptTokens = 0;

    auto operator<=>(const routed_request &) const = default;
};

/// Path of the chat completion API.
constexpr const char *chatPath = "/v1/chat/completions";
/// Path prefix of services: "/services/NAME/REST" is sent to the endpoint as "/REST".
constexpr const char *servicePrefix = "/services/";

/// Authenticates the request and finds its class. Throws `shunt_error` with the kind and detail that the caller receives.
[[nodiscard]] routed_request routeRequest(const configuration_state &state, const http_request &request);

} // namespace wisteriashunt

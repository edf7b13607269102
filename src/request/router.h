/// Turns an HTTP request of a caller into a request for a class, or says precisely why it cannot.
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

/// A request with everything that the decisions need.
struct routed_request
{
    std::string workspaceName;
    std::string className;
    std::string method;
    /// Path at the back end.
    std::string path;
    std::string contentType;
    std::string body;
    bool streaming = false;
    bool idempotent = true;
    /// Empty if the caller gave none.
    std::string idempotencyKey;
    std::uint64_t fingerprint = 0;
    /// Hash of the start of the prompt; 0 for plain services.
    std::uint64_t prefixHash = 0;
    std::uint32_t promptTokens = 0;

    auto operator<=>(const routed_request &) const = default;
};

/// Path of the chat completion interface.
constexpr const char *chatPath = "/v1/chat/completions";
/// Prefix of plain services: "/services/NAME/REST" reaches the endpoint as "/REST".
constexpr const char *servicePrefix = "/services/";

/// Routes the request. Throws `shunt_error` with the kind that the caller must see.
[[nodiscard]] routed_request route(const configuration_state &state, const http_request &request);

} // namespace wisteriashunt

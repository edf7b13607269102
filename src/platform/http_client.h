/// HTTP client for the platform's services, based on libcurl. Not thread-safe: each thread needs its own object.
#pragma once

#include "wisteriashunt/time.h"

#include <memory>
#include <string>

namespace wisteriashunt
{

/// Reply to an HTTP call.
struct http_reply
{
    int status = 0;
    std::string body;

    auto operator<=>(const http_reply &) const = default;
};

/// Keeps its connection open between calls.
class http_client
{
public:
    http_client();
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Returns the reply, whatever its status. Throws `shunt_error` with `platform_unavailable` if none arrives within `timeout`.
    http_reply get(const std::string &url, duration timeout);

    /// Sends a JSON body. Throws like `get`, and then leaves it unknown whether the call took effect.
    http_reply post(const std::string &url, const std::string &body, duration timeout);

private:
    http_reply perform(const std::string &url, const std::string *body, duration timeout);

    struct curl_handle;
    std::unique_ptr<curl_handle> m_handle;
};

} // namespace wisteriashunt

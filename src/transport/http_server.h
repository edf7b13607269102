/// Small HTTP server over libmicrohttpd for the admin port and the stand-ins: one request, one answer, which may be streamed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace wisteriashunt
{

/// Request as the handler sees it. Header names are in lower case.
struct server_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Answer of the handler. With `stream` set, `body` is ignored: the function returns the next part, an empty string at the end, or nothing to break off.
struct server_reply
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::function<std::optional<std::string>()> stream;
    /// Closes the connection without an answer.
    bool closeWithoutReply = false;
};

/// Serves each connection on its own thread, so a handler may block.
class http_server
{
public:
    using handler = std::function<server_reply(const server_request &)>;

    /// Binds at once. Throws `std::runtime_error` when the port is taken.
    http_server(const std::string &address, int port, handler serve);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace wisteriashunt

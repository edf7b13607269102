/// HTTP server over libmicrohttpd for the admin port and the benchmark stand-ins. Each request gets one reply, which may be streamed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace wisteriashunt
{

/// Request that is passed to the handler. Header names are in lower case.
struct server_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Reply of the handler.
struct server_reply
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    /// If set, supplies the body in place of `body`: returns the next part, an empty string at the end, or nothing to abort the reply.
    std::function<std::optional<std::string>()> stream;
    /// Closes the connection without a reply.
    bool closeWithoutReply = false;
};

/// Serves each connection on its own thread, so the handler may block.
class http_server
{
public:
    using handler = std::function<server_reply(const server_request &)>;

    /// Starts to listen. Throws `std::runtime_error` if that fails, for example because the port is in use.
    http_server(const std::string &address, int port, handler serve);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace wisteriashunt

/// HTTP towards callers by libmicrohttpd: takes requests, holds them while they wait and streams their answers.
#pragma once

#include "request/router.h"
#include "wisteriashunt/errors.h"
#include "wisteriashunt/time.h"

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace wisteriashunt
{

/// Settings of a caller_server.
struct caller_server_options
{
    std::string address;
    int port = 0;
    std::size_t maxBodyBytes = 1U << 20U;
    unsigned maxConnections = 4096;
    /// A connection without progress for this long is closed.
    unsigned idleSeconds = 30;
    unsigned threads = 2;
    /// Bytes that may wait for a slow caller before its stream is cut.
    std::size_t maxBacklogBytes = 4U << 20U;
    /// A complete request has come. Called on an HTTP thread; must not throw.
    std::function<void(std::uint64_t caller, http_request request)> onRequest;
    /// The caller closed its connection before the answer was complete.
    std::function<void(std::uint64_t caller)> onDisconnected;
};

/// Every call after `onRequest` may come from any thread; calls for a caller that left are passed over.
class caller_server
{
public:
    explicit caller_server(const caller_server_options &options);
    ~caller_server();
    caller_server(const caller_server &) = delete;
    caller_server &operator=(const caller_server &) = delete;

    void answerComplete(std::uint64_t caller, int status, const std::string &contentType, const std::string &body);
    void answerError(std::uint64_t caller, error_kind kind, const std::string &detail, duration retryAfter);
    void answerChunk(std::uint64_t caller, const std::string &data);
    void answerEnd(std::uint64_t caller);
    void answerAborted(std::uint64_t caller);

    /// Looks for callers that closed their connection while they waited. To be called several times a second.
    void detectDisconnects();

    /// Stops taking connections; those that exist are served to their end.
    void quiesce();

    [[nodiscard]] std::size_t openExchanges() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace wisteriashunt

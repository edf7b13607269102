/// HTTP server for callers, built on libmicrohttpd: accepts requests, suspends them while they wait and streams their answers.
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
    /// A connection that is inactive for this long is closed.
    unsigned idleSeconds = 30;
    unsigned threads = 2;
    /// A stream with more unsent bytes than this is aborted, because its caller reads too slowly.
    std::size_t maxBacklogBytes = 4U << 20U;
    /// Called with each complete request, on an HTTP thread; must not throw. `caller` identifies the request in all other calls.
    std::function<void(std::uint64_t caller, http_request request)> onRequest;
    /// Called when a caller closes its connection before its answer is complete.
    std::function<void(std::uint64_t caller)> onDisconnected;
};

/// Serves HTTP requests. The answer functions may be called from any thread; they have no effect for a caller that has disconnected.
class caller_server
{
public:
    explicit caller_server(const caller_server_options &options);
    ~caller_server();
    caller_server(const caller_server &) = delete;
    caller_server &operator=(const caller_server &) = delete;

    /// Sends a complete answer.
    void answerComplete(std::uint64_t caller, int status, const std::string &contentType, const std::string &body);
    /// Sends the HTTP status of `kind` and a JSON body; an empty `detail` stands for the default message of `kind`.
    /// If `kind` may be retried later, `Retry-After` is `retryAfter` rounded up to whole seconds, at least 1.
    void answerError(std::uint64_t caller, error_kind kind, const std::string &detail, duration retryAfter);
    /// Sends a part of an event stream, with status 200.
    void answerChunk(std::uint64_t caller, const std::string &data);
    /// Completes an event stream.
    void answerEnd(std::uint64_t caller);
    /// Closes the connection without completing the answer.
    void answerAborted(std::uint64_t caller);

    /// Calls `onDisconnected` for callers that closed their connection while they waited. To be called several times a second.
    void detectDisconnects();

    /// Stops accepting connections. Existing connections are served to their end.
    void stopAccepting();

    /// Returns the number of complete requests whose answers are not complete.
    [[nodiscard]] std::size_t openExchanges() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace wisteriashunt

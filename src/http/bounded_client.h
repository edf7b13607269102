/// Client of one server, for calls that are bounded in time and in the size of their answers.
#pragma once

#include "http/upstream_connection.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace wisteriashunt
{

/// Server and bounds of a client.
struct bounded_client_options
{
    socket_address server;
    std::chrono::milliseconds connectTimeout{500};
    /// Time after which the kernel gives up bytes that the server has not acknowledged, also when this process no longer runs; none if zero.
    std::chrono::milliseconds peerTimeout{0};
    /// Most bytes of the body of an answer.
    std::size_t maxAnswerBytes = 16 * 1024 * 1024;
    /// A connection that has been idle for longer is replaced before a call; unset: it is used as long as it is open.
    std::optional<duration> maxIdle = std::nullopt;
};

/// A call without a whole answer.
struct failed_call
{
    std::string reason;
    /// Whether the server may have received the call, and may still carry it out.
    bool mayHaveArrived = true;
};

/// Makes one call at a time over a connection that is kept between calls. After a call without a whole answer the connection is closed, since
/// nothing more comes over it.
class bounded_client
{
public:
    /// How a call ends. One of onAnswer and onFailure is called, once, unless close() is called before.
    struct hooks
    {
        /// See exchange_hooks.
        std::function<bool()> maySend = nullptr;
        std::function<void(const http_response_head &head, const std::string &body)> onAnswer;
        std::function<void(const failed_call &failed)> onFailure;
    };

    bounded_client(event_loop &loop, const bounded_client_options &options);
    ~bounded_client();
    bounded_client(const bounded_client &) = delete;
    bounded_client &operator=(const bounded_client &) = delete;

    /// Sends a complete HTTP request. The call fails if it has no whole answer within the timeout. Requires that no call is in progress.
    void call(std::string request, duration timeout, hooks callbacks);
    [[nodiscard]] bool isBusy() const;
    /// Closes the connection and abandons the call in progress, if there is one.
    void close();

private:
    void fail(const failed_call &failed);
    /// Ends the call in progress and returns its hooks.
    [[nodiscard]] hooks endCall();

    event_loop &m_loop;
    bounded_client_options m_options;
    std::shared_ptr<upstream_connection> m_connection;
    std::optional<hooks> m_hooks;
    http_response_head m_head;
    std::string m_body;
    timer_id m_timeout = 0;
};

} // namespace wisteriashunt

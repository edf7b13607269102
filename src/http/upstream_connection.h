/// Client side of a persistent HTTP connection to an endpoint, the platform's log or another entry. Carries one exchange (a request and its
/// response) at a time.
#pragma once

#include "http/message_reader.h"
#include "net/byte_channel.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace wisteriashunt
{

/// How an exchange failed.
enum class exchange_failure {
    /// The connection could not be established; no byte of the request was sent.
    never_sent,
    /// The connection closed or the peer timed out before the response was complete.
    broken,
    /// The received bytes are not a valid response.
    malformed,
};

[[nodiscard]] std::string_view toString(exchange_failure failure);

/// Callbacks of one exchange. None is called after onComplete or onFailure.
struct exchange_hooks
{
    /// Asked immediately before the request is written; if it returns false, the exchange ends as never sent. May be empty.
    std::function<bool()> maySend = nullptr;
    /// Returns false if the response belongs to another request; that response is skipped.
    std::function<bool(http_response_head &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onComplete;
    std::function<void(exchange_failure, close_reason)> onFailure;
};

/// One connection to a peer. After it has skipped a response it is not reused.
class upstream_connection : public std::enable_shared_from_this<upstream_connection>
{
public:
    [[nodiscard]] static std::shared_ptr<upstream_connection> open(event_loop &loop, const socket_address &peer, const channel_options &options);

    ~upstream_connection();
    upstream_connection(const upstream_connection &) = delete;
    upstream_connection &operator=(const upstream_connection &) = delete;

    /// Sends the request, the second part of which may be left out. Requires isIdle(). On a new connection the request is sent once the
    /// connection is established.
    void send(std::string request, exchange_hooks hooks, std::shared_ptr<const std::string> body = nullptr);

    /// Closes the connection and abandons the current exchange without calling its hooks. The connection is reset if there is one, so that bytes
    /// of the request that have not arrived never do.
    void close();

    /// True if no exchange is in progress and the connection can carry another one.
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] bool isOpen() const;
    [[nodiscard]] bool isConnected() const;
    /// Whether the connection has carried a response before, so that the next one may be a late copy of it.
    [[nodiscard]] bool mayCarryCopies() const
    {
        return m_hasCompletedExchange || m_hasSkippedResponse;
    }
    /// Notes that the peer has answered a request, named by a key, that it did not run it. A copy of that answer cannot be told from the answer
    /// to the same request sent again.
    void noteRefused(std::uint64_t requestKey);
    /// Whether the peer has answered so on this connection.
    [[nodiscard]] bool hasRefused(std::uint64_t requestKey) const;
    [[nodiscard]] time_point idleSince() const;
    /// Idle time after which the peer closes the connection, from its Keep-Alive field; zero if it announced none.
    [[nodiscard]] duration idleTimeout() const;

    /// Pauses or resumes reading, for flow control.
    void setReading(bool isReading);

private:
    upstream_connection(event_loop &loop);

    void start(const socket_address &peer, const channel_options &options);
    void writeRequest();
    void onBytes(std::string_view bytes);
    void onClosed(close_reason reason);
    void onHead(http_response_head &head);
    void onBody(std::string_view bytes);
    /// Ends the exchange, or the response that is skipped, after the reader has read a whole one.
    void endResponse(bool isFollowedByBytes);
    void fail(exchange_failure failure, close_reason reason);

    event_loop &m_loop;
    std::shared_ptr<byte_channel> m_channel;
    response_reader m_reader;
    exchange_hooks m_hooks;
    std::string m_unsentRequest;
    std::shared_ptr<const std::string> m_unsentBody;
    time_point m_idleSince;
    duration m_idleTimeout{};
    bool m_isBusy = false;
    bool m_isReusable = true;
    bool m_hasCompletedExchange = false;
    bool m_skipsResponse = false;
    bool m_hasSkippedResponse = false;
    std::size_t m_skippedBytes = 0;
    int m_skippedResponses = 0;
    bool m_hasWholeResponse = false;
    /// Keys of requests that the peer did not run, the oldest first.
    std::deque<std::uint64_t> m_refused;
};

} // namespace wisteriashunt

/// A kept connection to an endpoint that carries one exchange at a time.
#pragma once

#include "http/message_reader.h"
#include "net/byte_channel.h"

#include <memory>
#include <string>

namespace wisteriashunt
{

/// How an exchange failed.
enum class exchange_failure {
    /// No byte of the request left this process.
    never_sent,
    /// The connection ended or the silence limit passed before the response was complete.
    broken,
    /// What came is no response.
    malformed,
};

[[nodiscard]] std::string_view toString(exchange_failure failure);

/// Receivers of one exchange's progress. After onComplete or onFailure none is called again.
struct exchange_hooks
{
    /// Returns false for a response that belongs to another request; it is skipped.
    std::function<bool(http_response_head &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onComplete;
    std::function<void(exchange_failure, close_reason)> onFailure;
};

/// One connection to an endpoint.
class upstream_connection : public std::enable_shared_from_this<upstream_connection>
{
public:
    [[nodiscard]] static std::shared_ptr<upstream_connection> open(event_loop &loop, const socket_address &peer, const channel_options &options);

    ~upstream_connection();
    upstream_connection(const upstream_connection &) = delete;
    upstream_connection &operator=(const upstream_connection &) = delete;

    /// Sends the request. Only while isIdle(); on a new connection it leaves once the connection stands.
    void send(std::string request, exchange_hooks hooks);

    /// Drops the connection and with it any running exchange, without calling its hooks.
    void close();

    /// No exchange is running and the connection can carry another one.
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] bool isOpen() const;
    [[nodiscard]] bool isConnected() const;
    [[nodiscard]] time_point idleSince() const;
    /// The peer closes the connection after being idle for this long, as far as it said; zero if it did not say.
    [[nodiscard]] duration idleTimeout() const;

    void setReading(bool isReading);

private:
    upstream_connection(event_loop &loop);

    void start(const socket_address &peer, const channel_options &options);
    void onBytes(std::string_view bytes);
    void onClosed(close_reason reason);
    void onHead(http_response_head &head);
    void onComplete();
    void fail(exchange_failure failure, close_reason reason);

    event_loop &m_loop;
    std::shared_ptr<byte_channel> m_channel;
    response_reader m_reader;
    exchange_hooks m_hooks;
    std::string m_unsentRequest;
    time_point m_idleSince;
    duration m_idleTimeout{};
    bool m_isBusy = false;
    bool m_isReusable = true;
    bool m_skipsResponse = false;
    bool m_hasSkippedResponse = false;
};

} // namespace wisteriashunt

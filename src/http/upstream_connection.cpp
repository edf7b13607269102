#include "http/upstream_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace wisteriashunt
{

namespace
{

/// Limits on responses to other requests that are skipped, after which the connection is given up.
constexpr std::size_t maxSkippedBytes = 1024 * 1024;
constexpr int maxSkippedResponses = 16;

/// Most refused requests that a connection knows. A request is sent again within seconds, in which a connection carries fewer.
constexpr std::size_t maxRefusedKeys = 256;

/// Returns N seconds from "timeout=N" of a Keep-Alive field; zero if there is none.
duration announcedIdleTimeout(const header_list &headers)
{
    constexpr std::string_view key = "timeout=";
    const auto value = findHeader(headers, "keep-alive");
    const auto position = !value ? std::string::npos : value->find(key);
    if (position == std::string::npos) {
        return {};
    }
    int seconds = 0;
    std::from_chars(value->data() + position + key.size(), value->data() + value->size(), seconds);
    return std::chrono::seconds(seconds);
}

} // namespace

std::string_view toString(exchange_failure failure)
{
    switch (failure) {
    case exchange_failure::never_sent:
        return "never_sent";
    case exchange_failure::broken:
        return "broken";
    case exchange_failure::malformed:
        return "malformed";
    }
    return "unknown";
}

upstream_connection::upstream_connection(event_loop &loop)
    : m_loop(loop)
    , m_reader({.onHead = [this](http_response_head &head) { onHead(head); },
                .onBody = [this](std::string_view bytes) { onBody(bytes); },
                .onComplete = [this] { m_hasWholeResponse = true; }})
    , m_idleSince(loop.now())
{
}

std::shared_ptr<upstream_connection> upstream_connection::open(event_loop &loop, const socket_address &peer, const channel_options &options)
{
    std::shared_ptr<upstream_connection> connection(new upstream_connection(loop));
    connection->start(peer, options);
    return connection;
}

upstream_connection::~upstream_connection()
{
    if (m_channel != nullptr) {
        m_channel->close();
    }
}

void upstream_connection::start(const socket_address &peer, const channel_options &options)
{
    const auto weak = weak_from_this();
    const auto guarded = [weak](auto action) {
        return [weak, action](auto... arguments) {
            if (const auto self = weak.lock()) {
                action(*self, arguments...);
            }
        };
    };
    auto channelOptions = options;
    channelOptions.deliversAllBytes = true;
    m_channel = byte_channel::connect(m_loop,
                                      peer,
                                      channelOptions,
                                      {.onConnected = guarded([](upstream_connection &self) { self.writeRequest(); }),
                                       .onBytes = guarded([](upstream_connection &self, std::string_view bytes) { self.onBytes(bytes); }),
                                       .onClosed = guarded([](upstream_connection &self, close_reason reason) { self.onClosed(reason); })});
}

void upstream_connection::send(std::string request, exchange_hooks hooks, std::shared_ptr<const std::string> body)
{
    m_isBusy = true;
    m_hooks = std::move(hooks);
    m_skipsResponse = false;
    m_reader.reset();
    m_unsentRequest = std::move(request);
    m_unsentBody = std::move(body);
    if (m_channel->isConnected()) {
        writeRequest();
    }
}

void upstream_connection::writeRequest()
{
    const auto request = std::exchange(m_unsentRequest, {});
    auto body = std::exchange(m_unsentBody, nullptr);
    if (m_isBusy && m_hooks.maySend && !m_hooks.maySend()) {
        fail(exchange_failure::never_sent, close_reason::closed_here);
        return;
    }
    m_channel->write(request);
    if (body != nullptr) {
        m_channel->writeShared(std::move(body));
    }
}

void upstream_connection::close()
{
    const bool isAbandoned = std::exchange(m_isBusy, false);
    m_isReusable = false;
    if (m_channel != nullptr && m_channel->isOpen()) {
        // After an orderly close the kernel would go on delivering the request to a peer that reads late or has been unreachable.
        isAbandoned ? m_channel->reset() : m_channel->close();
    }
    // The hooks may hold the owner of this connection, so they are destroyed only after the current wake-up.
    m_loop.retire(std::make_shared<exchange_hooks>(std::exchange(m_hooks, {})));
}

bool upstream_connection::isIdle() const
{
    return !m_isBusy && m_isReusable && m_channel->isOpen();
}

bool upstream_connection::isOpen() const
{
    return m_channel->isOpen();
}

bool upstream_connection::isConnected() const
{
    return m_channel->isConnected();
}

time_point upstream_connection::idleSince() const
{
    return m_idleSince;
}

duration upstream_connection::idleTimeout() const
{
    return m_idleTimeout;
}

void upstream_connection::noteRefused(std::uint64_t requestKey)
{
    m_refused.push_back(requestKey);
    if (m_refused.size() > maxRefusedKeys) {
        m_refused.pop_front();
    }
}

bool upstream_connection::hasRefused(std::uint64_t requestKey) const
{
    return std::find(m_refused.begin(), m_refused.end(), requestKey) != m_refused.end();
}

void upstream_connection::setReading(bool isReading)
{
    m_channel->setReading(isReading);
}

void upstream_connection::onBytes(std::string_view bytes)
{
    if (!m_isBusy) {
        // Bytes that arrive without a request cannot be matched to any request.
        close();
        return;
    }
    while (m_isBusy && !bytes.empty()) {
        const std::size_t consumed = m_reader.feed(bytes);
        if (std::exchange(m_hasWholeResponse, false)) {
            bytes.remove_prefix(consumed);
            endResponse(!bytes.empty());
            if (m_skippedResponses > maxSkippedResponses) {
                fail(exchange_failure::malformed, close_reason::closed_by_peer);
            }
            continue;
        }
        if (m_reader.isMalformed() || m_skippedBytes > maxSkippedBytes) {
            fail(exchange_failure::malformed, close_reason::closed_by_peer);
            return;
        }
        bytes.remove_prefix(consumed);
        if (m_isBusy && consumed == 0) {
            fail(exchange_failure::malformed, close_reason::closed_by_peer);
            return;
        }
    }
    if (!bytes.empty() && m_channel->isOpen()) {
        close();
    }
}

void upstream_connection::onHead(http_response_head &head)
{
    if (!m_isBusy) {
        return;
    }
    m_idleTimeout = announcedIdleTimeout(head.headers);
    m_isReusable = head.keepsAlive && !m_hasSkippedResponse;
    m_skipsResponse = !m_hooks.onHead(head);
    m_hasSkippedResponse = m_hasSkippedResponse || m_skipsResponse;
}

void upstream_connection::onBody(std::string_view bytes)
{
    if (!m_skipsResponse) {
        if (m_hooks.onBody) {
            m_hooks.onBody(bytes);
        }
        return;
    }
    m_skippedBytes += bytes.size();
}

void upstream_connection::endResponse(bool isFollowedByBytes)
{
    // A hook may have abandoned the exchange while the rest of the same bytes is still being parsed.
    if (!m_isBusy) {
        return;
    }
    if (m_skipsResponse) {
        m_skipsResponse = false;
        ++m_skippedResponses;
        m_reader.reset();
        return;
    }
    // Bytes that no request asked for may be copies of earlier responses, of which nothing tells where they end.
    m_isReusable = m_isReusable && !isFollowedByBytes;
    // After a response that arrives before the whole request is sent, it is unknown how the peer treats the remaining bytes, so the
    // connection is not reused.
    if (m_channel->pendingBytes() > 0 || !m_unsentRequest.empty()) {
        m_isReusable = false;
    }
    m_isBusy = false;
    m_hasCompletedExchange = true;
    m_idleSince = m_loop.now();
    const auto self = shared_from_this();
    const auto hooks = std::exchange(m_hooks, {});
    if (!m_isReusable) {
        m_channel->close();
    }
    hooks.onComplete();
}

void upstream_connection::onClosed(close_reason reason)
{
    const auto self = shared_from_this();
    if (m_isBusy && reason == close_reason::closed_by_peer) {
        m_isReusable = false;
        m_reader.feedEnd();
        if (std::exchange(m_hasWholeResponse, false)) {
            endResponse(false);
        }
    }
    if (m_isBusy) {
        fail(reason == close_reason::never_connected ? exchange_failure::never_sent : exchange_failure::broken, reason);
    }
}

void upstream_connection::fail(exchange_failure failure, close_reason reason)
{
    if (!m_isBusy) {
        return;
    }
    const auto self = shared_from_this();
    m_isBusy = false;
    m_isReusable = false;
    m_channel->close();
    const auto hooks = std::exchange(m_hooks, {});
    hooks.onFailure(failure, reason);
}

} // namespace wisteriashunt

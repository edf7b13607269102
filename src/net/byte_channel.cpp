#include "net/byte_channel.h"

#include "wisteriashunt/errors.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <limits>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace wisteriashunt
{

namespace
{

/// Read buffer size. Most requests (about 18 kB) fit into one read.
constexpr std::size_t readBufferBytes = 32 * 1024;

/// Capacity up to which a channel keeps its empty write buffer. Idle connections would otherwise hold as much as their largest message.
constexpr std::size_t keptBufferBytes = 16 * 1024;

/// Reads of one channel in a row, so that a peer that sends without pause does not keep the others waiting.
constexpr int maxReadsPerWakeUp = 8;

/// Connections that are accepted before those that are open are read again.
constexpr int maxAcceptsPerWakeUp = 128;

/// Time until the next try after there were no descriptors.
constexpr std::chrono::milliseconds acceptPause{100};

/// Connections that may wait to be accepted. Covers a burst of a few hundred callers.
constexpr int listenBacklog = 1024;

/// Time without progress after which bytes that are pending when the channel closes are discarded.
constexpr std::chrono::seconds flushTimeout{10};

/// Time for the peer to receive the last bytes and close. Covers a few round trips between regions.
constexpr std::chrono::milliseconds lingerTimeout{500};

/// Unanswered keep-alive probes after which the kernel closes the connection.
constexpr int keepAliveProbes = 2;

void setOption(int descriptor, int level, int name, int value)
{
    setsockopt(descriptor, level, name, &value, sizeof value);
}

close_reason closeReasonOf(int error)
{
    return error == ETIMEDOUT || error == EHOSTUNREACH || error == ENETUNREACH ? close_reason::timed_out : close_reason::reset;
}

} // namespace

socket_address parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    const std::string host(text.substr(0, colon == std::string_view::npos ? 0 : colon));
    in_addr ip{};
    unsigned port = 0;
    const auto *first = text.data() + (colon == std::string_view::npos ? text.size() : colon + 1);
    const auto *last = text.data() + text.size();
    const auto parsed = std::from_chars(first, last, port);
    if (inet_pton(AF_INET, host.c_str(), &ip) != 1 || parsed.ec != std::errc{} || parsed.ptr != last || port == 0 || port > 65535) {
        throw shunt_error(error_kind::malformed_frame, "invalid socket address: expected a.b.c.d:port, found " + std::string(text));
    }
    return {.ip = ntohl(ip.s_addr), .port = static_cast<std::uint16_t>(port)};
}

sockaddr_in toSockaddr(const socket_address &address)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    native.sin_addr.s_addr = htonl(address.ip);
    return native;
}

std::string toString(const socket_address &address)
{
    const in_addr ip{.s_addr = htonl(address.ip)};
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &ip, text.data(), text.size());
    return std::string(text.data()) + ':' + std::to_string(address.port);
}

std::string_view toString(close_reason reason)
{
    switch (reason) {
    case close_reason::closed_by_peer:
        return "closed_by_peer";
    case close_reason::reset:
        return "reset";
    case close_reason::timed_out:
        return "timed_out";
    case close_reason::never_connected:
        return "never_connected";
    case close_reason::closed_here:
        return "closed_here";
    }
    return "unknown";
}

byte_channel::byte_channel(event_loop &loop, int descriptor, const channel_options &options, channel_hooks hooks)
    : m_loop(loop)
    , m_descriptor(descriptor)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
    applyOptions();
}

byte_channel::~byte_channel()
{
    close();
}

std::shared_ptr<byte_channel> byte_channel::adopt(event_loop &loop, int descriptor, const channel_options &options, channel_hooks hooks)
{
    const std::shared_ptr<byte_channel> channel(new byte_channel(loop, descriptor, options, std::move(hooks)));
    channel->m_interest = EPOLLIN | EPOLLRDHUP;
    loop.watch(descriptor, channel->m_interest, channel.get());
    return channel;
}

std::shared_ptr<byte_channel> byte_channel::connect(event_loop &loop, const socket_address &peer, const channel_options &options, channel_hooks hooks)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const std::shared_ptr<byte_channel> channel(new byte_channel(loop, descriptor, options, std::move(hooks)));
    channel->m_isConnecting = true;
    const sockaddr_in address = toSockaddr(peer);
    const auto fail = [weak = channel->weak_from_this()] {
        if (const auto self = weak.lock(); self != nullptr && self->m_isConnecting) {
            self->closeAndNotify(close_reason::never_connected);
        }
    };
    if (descriptor < 0 || (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 && errno != EINPROGRESS)) {
        channel->m_timer = loop.schedule(loop.now(), fail);
        return channel;
    }
    channel->m_interest = EPOLLOUT;
    loop.watch(descriptor, channel->m_interest, channel.get());
    channel->m_timer = loop.schedule(loop.now() + options.connectTimeout, fail);
    return channel;
}

void byte_channel::applyOptions()
{
    setOption(m_descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    if (m_options.peerTimeout.count() == 0) {
        return;
    }
    const int milliseconds = static_cast<int>(m_options.peerTimeout.count());
    // Without TCP_USER_TIMEOUT, the kernel waits once more after the last probe.
    const int probeSeconds = std::max(1, milliseconds / 1000 / (m_options.toleratesSlowReader ? keepAliveProbes + 1 : keepAliveProbes));
    if (!m_options.toleratesSlowReader) {
        setOption(m_descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, milliseconds);
    }
    setOption(m_descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(m_descriptor, IPPROTO_TCP, TCP_KEEPIDLE, probeSeconds);
    setOption(m_descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probeSeconds);
    setOption(m_descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
}

void byte_channel::write(std::string_view bytes)
{
    if (m_descriptor < 0 || m_closesAfterFlush) {
        return;
    }
    // A peer that reads slowly but steadily would otherwise keep all that was ever sent to it in memory.
    if (m_sent > 0 && m_sent >= m_outgoing.size() - m_sent) {
        m_outgoing.erase(0, m_sent);
        m_sent = 0;
    }
    if (m_shared != nullptr) {
        m_outgoing.append(*m_shared, m_sharedSent);
        m_shared.reset();
        m_sharedSent = 0;
    }
    m_outgoing.append(bytes);
    markDirty();
}

void byte_channel::writeShared(std::shared_ptr<const std::string> bytes)
{
    if (m_descriptor < 0 || m_closesAfterFlush || bytes->empty()) {
        return;
    }
    if (m_shared != nullptr) {
        write(*bytes);
        return;
    }
    m_shared = std::move(bytes);
    markDirty();
}

std::string_view byte_channel::unsent() const
{
    if (m_sent < m_outgoing.size()) {
        return std::string_view(m_outgoing).substr(m_sent);
    }
    return m_shared == nullptr ? std::string_view{} : std::string_view(*m_shared).substr(m_sharedSent);
}

void byte_channel::noteSent(std::size_t count)
{
    if (m_sent < m_outgoing.size()) {
        m_sent += count;
        return;
    }
    m_sharedSent += count;
    if (m_sharedSent == m_shared->size()) {
        m_shared.reset();
        m_sharedSent = 0;
    }
}

void byte_channel::dropUnsent()
{
    m_outgoing.clear();
    m_sent = 0;
    m_shared.reset();
    m_sharedSent = 0;
}

void byte_channel::markDirty()
{
    if (!m_isDirty && !m_isConnecting) {
        m_isDirty = true;
        m_loop.flushLater(this);
    }
}

void byte_channel::closeAfterFlush()
{
    m_closesAfterFlush = true;
    if (m_descriptor >= 0) {
        m_closing = shared_from_this();
        closeWithin(flushTimeout);
        markDirty();
    }
}

void byte_channel::close()
{
    m_loop.cancel(m_timer);
    if (m_descriptor < 0) {
        return;
    }
    m_loop.unwatch(m_descriptor);
    ::close(m_descriptor);
    m_descriptor = -1;
    m_isEndUnread = false;
    if (std::exchange(m_isLingering, false)) {
        --m_options.lingers->open;
    }
    if (const auto self = weak_from_this().lock()) {
        m_loop.retire(self);
    }
    m_closing.reset();
}

void byte_channel::reset()
{
    if (m_descriptor >= 0) {
        const struct linger resetOnClose
        {
            .l_onoff = 1, .l_linger = 0
        };
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
    }
    close();
}

void byte_channel::closeWithin(duration timeout)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.schedule(m_loop.now() + timeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->closeAndNotify(close_reason::timed_out);
        }
    });
}

void byte_channel::setReceiveBuffer(int bytes)
{
    setOption(m_descriptor, SOL_SOCKET, SO_RCVBUF, bytes);
}

void byte_channel::setReading(bool isReading)
{
    m_isReading = isReading;
    if (m_isReading && std::exchange(m_isEndUnread, false)) {
        m_interest = EPOLLIN | EPOLLRDHUP;
        m_loop.watch(m_descriptor, m_interest, this);
        return;
    }
    updateInterest();
}

bool byte_channel::isOpen() const
{
    return m_descriptor >= 0;
}

bool byte_channel::isConnected() const
{
    return m_descriptor >= 0 && !m_isConnecting;
}

std::size_t byte_channel::pendingBytes() const
{
    return m_outgoing.size() - m_sent + (m_shared == nullptr ? 0 : m_shared->size() - m_sharedSent);
}

void byte_channel::updateInterest()
{
    if (m_descriptor < 0 || m_isConnecting || m_isEndUnread) {
        return;
    }
    const std::uint32_t interest = EPOLLRDHUP | (m_isReading ? EPOLLIN : 0U) | (pendingBytes() > 0 ? EPOLLOUT : 0U);
    if (interest != m_interest) {
        m_interest = interest;
        m_loop.updateWatch(m_descriptor, interest, this);
    }
}

void byte_channel::finishConnecting()
{
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        closeAndNotify(close_reason::never_connected);
        return;
    }
    m_isConnecting = false;
    m_loop.cancel(m_timer);
    m_timer = 0;
    updateInterest();
    m_hooks.onConnected();
    if (pendingBytes() > 0) {
        flush();
    }
}

void byte_channel::onReady(std::uint32_t events)
{
    if (m_descriptor < 0) {
        return;
    }
    const auto self = shared_from_this();
    if (m_isConnecting) {
        finishConnecting();
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        flush();
    }
    if (m_descriptor < 0) {
        return;
    }
    constexpr std::uint32_t endEvents = EPOLLRDHUP | EPOLLHUP | EPOLLERR;
    if (m_isReading && (events & (EPOLLIN | endEvents)) != 0) {
        readAvailable();
    } else if ((events & endEvents) != 0) {
        onEndWhilePaused();
    }
}

void byte_channel::onEndWhilePaused()
{
    if (!m_options.deliversAllBytes) {
        closeAndNotify(close_reason::closed_by_peer);
        return;
    }
    // The events would be reported again and again until the bytes are read.
    m_isEndUnread = true;
    m_loop.unwatch(m_descriptor);
}

void byte_channel::readAvailable()
{
    // Shared by all channels of the thread, so hooks must copy what they keep before they return.
    thread_local std::array<char, readBufferBytes> buffer;
    for (int reads = 0; m_descriptor >= 0 && m_isReading && reads < maxReadsPerWakeUp; ++reads) {
        const ssize_t count = recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (count > 0) {
            m_hooks.onBytes(std::string_view(buffer.data(), static_cast<std::size_t>(count)));
            if (static_cast<std::size_t>(count) < buffer.size()) {
                return;
            }
        } else if (count == 0) {
            // A send takes the error of a reset with it, after which the kernel reports an orderly end.
            closeAndNotify(m_sendFailure.value_or(close_reason::closed_by_peer));
        } else if (errno == EAGAIN || errno == EINTR) {
            return;
        } else {
            closeAndNotify(closeReasonOf(errno));
        }
    }
}

void byte_channel::flush()
{
    m_isDirty = false;
    if (m_descriptor < 0) {
        return;
    }
    const auto self = shared_from_this();
    for (auto bytes = unsent(); !bytes.empty(); bytes = unsent()) {
        const ssize_t count = send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0) {
            if (errno == EAGAIN || errno == EINTR) {
                updateInterest();
                return;
            }
            // Bytes that the peer sent before it closed may still be readable.
            m_sendFailure = closeReasonOf(errno);
            if (m_isReading && !m_closesAfterFlush) {
                dropUnsent();
                readAvailable();
            }
            if (m_descriptor >= 0) {
                closeAndNotify(*m_sendFailure);
            }
            return;
        }
        noteSent(static_cast<std::size_t>(count));
        if (m_closesAfterFlush) {
            closeWithin(flushTimeout);
        }
    }
    m_sent = 0;
    if (m_outgoing.capacity() > keptBufferBytes) {
        m_outgoing = std::string();
    } else {
        m_outgoing.clear();
    }
    updateInterest();
    if (m_closesAfterFlush) {
        linger();
        return;
    }
    m_hooks.onDrained();
}

void byte_channel::linger()
{
    if (m_options.lingers != nullptr) {
        if (m_options.lingers->open >= m_options.lingers->most) {
            closeAndNotify(close_reason::closed_here);
            return;
        }
        ++m_options.lingers->open;
        m_isLingering = true;
    }
    // Closing while the peer is still sending would reset the connection, and the peer could lose bytes that it has not read yet.
    shutdown(m_descriptor, SHUT_WR);
    m_hooks.onBytes = [](std::string_view) {};
    setReading(true);
    closeWithin(lingerTimeout);
    const auto onClosed = std::exchange(m_hooks.onClosed, [](close_reason) {});
    onClosed(close_reason::closed_here);
}

void byte_channel::closeAndNotify(close_reason reason)
{
    const auto self = shared_from_this();
    close();
    m_hooks.onClosed(m_isConnecting ? close_reason::never_connected : reason);
}

channel_listener::channel_listener(event_loop &loop, const socket_address &address, accept_hook onAccept, const listener_options &options)
    : m_loop(loop)
    , m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    , m_onAccept(std::move(onAccept))
{
    setOption(m_descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    if (options.receiveBufferBytes > 0) {
        setOption(m_descriptor, SOL_SOCKET, SO_RCVBUF, options.receiveBufferBytes);
    }
    const sockaddr_in native = toSockaddr(address);
    if (bind(m_descriptor, reinterpret_cast<const sockaddr *>(&native), sizeof native) != 0 || listen(m_descriptor, listenBacklog) != 0) {
        throw shunt_error(error_kind::not_ready, "cannot listen on " + toString(address) + ": " + std::strerror(errno));
    }
    loop.watch(m_descriptor, EPOLLIN, this);
}

channel_listener::~channel_listener()
{
    stopListening();
}

socket_address channel_listener::address() const
{
    sockaddr_in native{};
    socklen_t size = sizeof native;
    getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&native), &size);
    return {.ip = ntohl(native.sin_addr.s_addr), .port = ntohs(native.sin_port)};
}

void channel_listener::close()
{
    acceptUpTo(std::numeric_limits<int>::max());
    stopListening();
}

void channel_listener::stopListening()
{
    if (m_descriptor >= 0) {
        m_loop.cancel(m_pause);
        m_loop.unwatch(m_descriptor);
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

void channel_listener::onReady(std::uint32_t)
{
    acceptUpTo(maxAcceptsPerWakeUp);
}

void channel_listener::acceptUpTo(int count)
{
    for (; m_descriptor >= 0 && count > 0; --count) {
        const int descriptor = accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
                pauseAccepting();
            }
            return;
        }
        m_onAccept(descriptor);
    }
}

void channel_listener::pauseAccepting()
{
    if (m_pause != 0) {
        return;
    }
    m_loop.unwatch(m_descriptor);
    m_pause = m_loop.schedule(m_loop.now() + acceptPause, [this] {
        m_pause = 0;
        m_loop.watch(m_descriptor, EPOLLIN, this);
    });
}

} // namespace wisteriashunt

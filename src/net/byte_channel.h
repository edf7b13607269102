/// Non-blocking TCP connections and listeners on the event loop. Writes are batched until the end of a wake-up.
#pragma once

#include "net/event_loop.h"

#include <functional>
#include <memory>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriashunt
{

/// An IPv4 address and port, both in host byte order.
struct socket_address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    auto operator<=>(const socket_address &) const = default;
};

/// Parses "a.b.c.d:port". Throws shunt_error(malformed_frame) if the text is anything else.
[[nodiscard]] socket_address parseSocketAddress(std::string_view text);

/// Formats the address as "a.b.c.d:port".
[[nodiscard]] std::string toString(const socket_address &address);

/// Converts to the socket API's address, in network byte order.
[[nodiscard]] sockaddr_in toSockaddr(const socket_address &address);

/// Why a connection closed.
enum class close_reason {
    closed_by_peer,
    reset,
    timed_out,
    never_connected,
    /// closeAfterFlush() has sent all bytes.
    closed_here,
};

[[nodiscard]] std::string_view toString(close_reason reason);

/// Callbacks of a channel. None is called after close().
struct channel_hooks
{
    std::function<void()> onConnected = [] {};
    /// Bytes have arrived. The view is valid only during the call.
    std::function<void(std::string_view)> onBytes;
    std::function<void(close_reason)> onClosed;
    /// All written bytes have been passed to the kernel.
    std::function<void()> onDrained = [] {};
};

/// Connections that wait for their peer to close after their last bytes, of all channels that share this object.
struct linger_limit
{
    std::size_t most = 0;
    std::size_t open = 0;
};

/// Timeouts of a channel.
struct channel_options
{
    /// Time without an acknowledgement after which the peer is considered unreachable (TCP_USER_TIMEOUT and keep-alive probes). 0 keeps the
    /// kernel's default.
    std::chrono::milliseconds peerTimeout{0};
    /// Whether a peer that reads nothing for longer than peerTimeout is still considered reachable. The kernel applies TCP_USER_TIMEOUT to a closed receive
    /// window too, so only keep-alive probes are used then, and bytes on their way to an unreachable peer are not given up before the channel is closed.
    bool toleratesSlowReader = false;
    /// Time for the three-way handshake.
    std::chrono::milliseconds connectTimeout{0};
    /// Whether an end of the connection that comes while reading is paused is reported only after the bytes before it have been read. Otherwise
    /// it is reported at once, and these bytes are lost.
    bool deliversAllBytes = false;
    /// Beyond the limit, a channel does not wait for its peer after closeAfterFlush(); no limit if unset.
    std::shared_ptr<linger_limit> lingers = nullptr;
};

/// Settings of a listener.
struct listener_options
{
    /// Size of the kernel's receive buffers of accepted connections, and of those that wait to be accepted; the kernel's default if 0.
    int receiveBufferBytes = 0;
};

/// One TCP connection. Owned by shared_ptr so that it stays alive until the end of the wake-up that closes it.
class byte_channel final : public io_handler, public std::enable_shared_from_this<byte_channel>
{
public:
    /// Takes ownership of a connected, non-blocking descriptor.
    [[nodiscard]] static std::shared_ptr<byte_channel> adopt(event_loop &loop, int descriptor, const channel_options &options, channel_hooks hooks);

    /// Starts a connection attempt. A failure is reported as onClosed(never_connected), never from within this call.
    [[nodiscard]] static std::shared_ptr<byte_channel>
    connect(event_loop &loop, const socket_address &peer, const channel_options &options, channel_hooks hooks);

    ~byte_channel() override;
    byte_channel(const byte_channel &) = delete;
    byte_channel &operator=(const byte_channel &) = delete;

    /// Queues bytes for sending at the end of the wake-up. Ignored once the channel is closed or closing.
    void write(std::string_view bytes);

    /// Queues bytes after those that were written before, without a copy of them. Another write() before they are sent copies the rest.
    void writeShared(std::shared_ptr<const std::string> bytes);

    /// Closes the channel once all written bytes have been passed to the kernel, and then calls onClosed. onBytes is not called after that.
    void closeAfterFlush();

    /// Closes immediately and discards unsent bytes. No hook is called.
    void close();

    /// Like close(), but the peer sees a reset.
    void reset();

    /// Sets the size of the kernel's receive buffer. The peer may still send what it has been offered before.
    void setReceiveBuffer(int bytes);

    /// Pauses or resumes reading. See channel_options::deliversAllBytes for an end of the connection while reading is paused.
    void setReading(bool isReading);

    [[nodiscard]] bool isOpen() const;
    [[nodiscard]] bool isConnected() const;
    /// Bytes that have not been passed to the kernel yet.
    [[nodiscard]] std::size_t pendingBytes() const;

    void onReady(std::uint32_t events) override;
    void flush() override;

private:
    byte_channel(event_loop &loop, int descriptor, const channel_options &options, channel_hooks hooks);

    void applyOptions();
    void updateInterest();
    void finishConnecting();
    void readAvailable();
    void onEndWhilePaused();
    void closeAndNotify(close_reason reason);
    void linger();
    /// Closes the channel when the time is over; replaces the time that was set before.
    void closeWithin(duration timeout);
    void markDirty();
    /// The bytes to send next; empty if there are none.
    [[nodiscard]] std::string_view unsent() const;
    void noteSent(std::size_t count);
    void dropUnsent();

    event_loop &m_loop;
    int m_descriptor;
    channel_options m_options;
    channel_hooks m_hooks;
    std::string m_outgoing;
    std::size_t m_sent = 0;
    /// What follows m_outgoing, and how much of it has been sent.
    std::shared_ptr<const std::string> m_shared;
    std::size_t m_sharedSent = 0;
    std::uint32_t m_interest = 0;
    /// Connect timeout; after closeAfterFlush() the time until the channel closes at the latest.
    timer_id m_timer = 0;
    bool m_isConnecting = false;
    bool m_isReading = true;
    /// Whether the connection has ended while reading was paused, so that the descriptor is not watched.
    bool m_isEndUnread = false;
    /// Why a send has failed, if one has.
    std::optional<close_reason> m_sendFailure;
    bool m_isDirty = false;
    bool m_closesAfterFlush = false;
    bool m_isLingering = false;
    /// Keeps the channel alive after closeAfterFlush() until its bytes are sent and the peer closes, or the time for that is over.
    std::shared_ptr<byte_channel> m_closing;
};

/// Accepts connections on an address.
class channel_listener final : public io_handler
{
public:
    /// Receives each accepted, non-blocking descriptor.
    using accept_hook = std::function<void(int descriptor)>;

    /// Throws shunt_error(not_ready) if the address cannot be bound.
    channel_listener(event_loop &loop, const socket_address &address, accept_hook onAccept, const listener_options &options = {});
    ~channel_listener() override;
    channel_listener(const channel_listener &) = delete;
    channel_listener &operator=(const channel_listener &) = delete;

    void onReady(std::uint32_t events) override;

    /// The address that is listened on, with the port that the system chose if none was given.
    [[nodiscard]] socket_address address() const;

    /// Accepts the connections that wait to be accepted, which would be reset otherwise, and stops listening.
    void close();

private:
    void acceptUpTo(int count);
    /// Stops watching for a while, since the event would be reported without end while there are no descriptors.
    void pauseAccepting();
    void stopListening();

    event_loop &m_loop;
    int m_descriptor;
    accept_hook m_onAccept;
    timer_id m_pause = 0;
};

} // namespace wisteriashunt

/// A TCP connection as a stream of bytes: gathers writes, reports how the connection ended.
#pragma once

#include "net/event_loop.h"

#include <functional>
#include <memory>
#include <netinet/in.h>
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

/// Writes the address as "a.b.c.d:port".
[[nodiscard]] std::string toString(const socket_address &address);

/// The address as the kernel takes it.
[[nodiscard]] sockaddr_in toSockaddr(const socket_address &address);

/// Why a connection ended.
enum class close_reason {
    closed_by_peer,
    reset,
    timed_out,
    never_connected,
};

[[nodiscard]] std::string_view toString(close_reason reason);

/// Receivers of what happens on a channel. None is called after close().
struct channel_hooks
{
    std::function<void()> onConnected = [] {};
    std::function<void(std::string_view)> onBytes;
    std::function<void(close_reason)> onClosed;
    /// All written bytes have been handed to the kernel.
    std::function<void()> onDrained = [] {};
};

/// How a channel behaves.
struct channel_options
{
    /// A peer that acknowledges nothing for this long is taken for gone (TCP_USER_TIMEOUT and keep-alive probes); 0 leaves the kernel's default.
    std::chrono::milliseconds peerTimeout{0};
    /// Time for the three-way handshake.
    std::chrono::milliseconds connectTimeout{0};
};

/// One TCP connection. Owned by shared_ptr so that it outlives the wake-up that closes it.
class byte_channel final : public io_handler, public std::enable_shared_from_this<byte_channel>
{
public:
    /// Takes over a connected, non-blocking descriptor.
    [[nodiscard]] static std::shared_ptr<byte_channel> adopt(event_loop &loop, int descriptor, const channel_options &options, channel_hooks hooks);

    /// Begins to connect. Failures arrive as onClosed(never_connected), never from within this call.
    [[nodiscard]] static std::shared_ptr<byte_channel>
    connect(event_loop &loop, const socket_address &peer, const channel_options &options, channel_hooks hooks);

    ~byte_channel() override;
    byte_channel(const byte_channel &) = delete;
    byte_channel &operator=(const byte_channel &) = delete;

    /// Queues bytes; they leave at the end of the wake-up.
    void write(std::string_view bytes);

    /// Closes once everything that was written has left.
    void closeAfterFlush();

    /// Closes at once; unsent bytes are dropped. No hook is called.
    void close();

    /// Stops or resumes reading; the end of the connection is still noticed while paused.
    void setReading(bool isReading);

    [[nodiscard]] bool isOpen() const;
    [[nodiscard]] bool isConnected() const;
    /// Bytes that have not been handed to the kernel yet.
    [[nodiscard]] std::size_t pendingBytes() const;

    void onReady(std::uint32_t events) override;
    void flush() override;

private:
    byte_channel(event_loop &loop, int descriptor, const channel_options &options, channel_hooks hooks);

    void applyOptions();
    void updateInterest();
    void finishConnecting();
    void readAvailable();
    void closeAndNotify(close_reason reason);
    void linger();
    void markDirty();

    event_loop &m_loop;
    int m_descriptor;
    channel_options m_options;
    channel_hooks m_hooks;
    std::string m_outgoing;
    std::size_t m_sent = 0;
    std::uint32_t m_interest = 0;
    timer_id m_timer = 0;
    bool m_isConnecting = false;
    bool m_isReading = true;
    bool m_isDirty = false;
    bool m_closesAfterFlush = false;
    /// Keeps the channel alive between its last write and the peer's close.
    std::shared_ptr<byte_channel> m_lingering;
};

/// Accepts connections on an address.
class channel_listener final : public io_handler
{
public:
    /// Receives each accepted, non-blocking descriptor.
    using accept_hook = std::function<void(int descriptor)>;

    /// Throws shunt_error(not_ready) if the address cannot be bound.
    channel_listener(event_loop &loop, const socket_address &address, accept_hook onAccept);
    ~channel_listener() override;
    channel_listener(const channel_listener &) = delete;
    channel_listener &operator=(const channel_listener &) = delete;

    void onReady(std::uint32_t events) override;

    /// Stops listening.
    void close();

private:
    event_loop &m_loop;
    int m_descriptor;
    accept_hook m_onAccept;
};

} // namespace wisteriashunt

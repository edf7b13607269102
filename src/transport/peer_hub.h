/// All connections between this process and its peers, on one thread.
#pragma once

#include "membership/core_events.h"
#include "transport/bounded_ring.h"
#include "transport/frame_codec.h"
#include "transport/handshake.h"
#include "wisteriashunt/time.h"

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>

namespace wisteriashunt
{

/// IPv4 address of a peer that accepts connections.
struct peer_address
{
    std::string host;
    int port = 0;

    auto operator<=>(const peer_address &) const = default;
};

/// Identity that a peer proved in the handshake. `endpointName` is empty for an entry.
struct peer_identity
{
    std::string instance;
    std::string endpointName;
    std::uint64_t incarnation = 0;

    auto operator<=>(const peer_identity &) const = default;
};

/// A change of a connection or a received message.
struct hub_event
{
    enum class event_type {
        up,
        down,
        received,
        rejected,
    };
    event_type type = event_type::up;
    peer_id peer = 0;
    /// Set for `up`, and for `rejected` if the peer had been identified.
    peer_identity identity;
    /// Set for `received`.
    message content;
    /// Set for `rejected`: the reason.
    std::string detail;
};

/// Settings of a peer_hub.
struct peer_hub_options
{
    peer_identity self;
    std::vector<peer_key> keys;
    /// Address to accept connections on; port 0 for a process that only dials. Only one process can listen on a port, so a second process
    /// for the same endpoint fails to start.
    peer_address listen;
    /// An established connection on which nothing arrives for this long is closed. Must be longer than the heartbeat interval.
    duration silenceTimeout = std::chrono::seconds(3);
    duration handshakeTimeout = std::chrono::seconds(2);
    /// Shortest time between two attempts to connect to the same address.
    duration redialInterval = std::chrono::milliseconds(200);
    /// The connection to a slow peer is closed when more unsent bytes than this have accumulated.
    std::size_t maxBacklogBytes = 64U << 20U;
    /// Frames that `send` can queue for the hub's thread before it waits.
    std::size_t ringCapacity = 65536;
    /// Called on the hub's thread with each event. If it returns false, the event is delivered again later;
    /// nothing is read until it is accepted.
    std::function<bool(hub_event &)> deliver;
};

/// Owns the sockets and the thread that serves them.
class peer_hub
{
public:
    /// Starts to listen, unless the port is 0. Throws `shunt_error` with `peer_rejected` if that fails, for example if the port is in use.
    peer_hub(const peer_hub_options &options, const clock_source &clock);
    ~peer_hub();
    peer_hub(const peer_hub &) = delete;
    peer_hub &operator=(const peer_hub &) = delete;

    void start();

    /// Ends the thread once all queued messages are written, or after 1 s.
    void stop();

    /// Queues a message for a peer. The message is dropped if the peer is no longer connected.
    void send(peer_id peer, const message &content);

    /// Replaces the addresses to which the hub keeps a connection. Existing connections stay open.
    void setTargets(const std::set<peer_address> &targets);

    /// Replaces the keys. Existing connections stay open.
    void setKeys(const std::vector<peer_key> &keys);

private:
    struct connection;
    struct outbound_frame
    {
        peer_id peer = 0;
        std::string frame;
    };

    void run();
    void accept();
    void dialUnconnectedTargets();
    void dial(const peer_address &address);
    void read(connection &peer);
    void write(connection &peer);
    void onMessage(connection &peer, message &content);
    void onHandshake(connection &peer, const message &content);
    void enqueue(connection &peer, const message &content);
    void establish(connection &peer);
    void reject(connection &peer, const std::string &detail);
    void close(peer_id peer);
    void closeTimedOut();
    void writeOutboundFrames();
    bool flushUndelivered();
    void deliver(hub_event event);
    void updatePollInterest(connection &peer);
    std::vector<peer_key> keys() const;

    peer_hub_options m_options;
    const clock_source &m_clock;
    int m_epoll = -1;
    int m_wakeup = -1;
    int m_listener = -1;
    std::thread m_thread;
    std::atomic<bool> m_isStopping{false};
    std::atomic<bool> m_isWakeupPending{false};
    bounded_ring<outbound_frame> m_outboundFrames;
    peer_id m_nextPeer = 1;
    std::map<peer_id, std::unique_ptr<connection>> m_connections;
    std::map<peer_address, time_point> m_nextDial;
    std::deque<hub_event> m_undelivered;
    mutable absl::Mutex m_mutex;
    std::set<peer_address> m_targets ABSL_GUARDED_BY(m_mutex);
    std::vector<peer_key> m_keys ABSL_GUARDED_BY(m_mutex);
};

} // namespace wisteriashunt

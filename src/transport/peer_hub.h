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

/// Address of a peer that accepts connections.
struct peer_address
{
    std::string host;
    int port = 0;

    auto operator<=>(const peer_address &) const = default;
};

/// A peer whose handshake succeeded. `endpointName` is empty for an entry.
struct peer_identity
{
    std::string instance;
    std::string endpointName;
    std::uint64_t incarnation = 0;

    auto operator<=>(const peer_identity &) const = default;
};

/// A connection changed or a message came.
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
    peer_identity identity;
    message content;
    std::string detail;
};

/// Settings of a peer_hub.
struct peer_hub_options
{
    peer_identity self;
    std::vector<peer_key> keys;
    /// Port to accept on; 0 for a process that only dials. The bind is exclusive: a second process for the same slot fails.
    peer_address listen;
    /// A connection that is silent for this long is closed. Heartbeats must come more often.
    duration silenceTimeout = std::chrono::seconds(3);
    duration handshakeTimeout = std::chrono::seconds(2);
    duration redialInterval = std::chrono::milliseconds(200);
    /// Bytes that may wait for a slow peer before its connection is closed.
    std::size_t maxBacklogBytes = 64U << 20U;
    std::size_t ringCapacity = 65536;
    /// Takes an event, or returns false to be offered it again later; meanwhile nothing is read.
    std::function<bool(hub_event &)> deliver;
};

/// Thread that owns the sockets.
class peer_hub
{
public:
    /// Binds the listening port. Throws `shunt_error` with `peer_rejected` when the port is taken.
    peer_hub(const peer_hub_options &options, const clock_source &clock);
    ~peer_hub();
    peer_hub(const peer_hub &) = delete;
    peer_hub &operator=(const peer_hub &) = delete;

    void start();

    /// Ends the thread after what was sent has been written, or after a second.
    void stop();

    /// Sends to a peer; a peer that is gone is passed over.
    void send(peer_id peer, const message &content);

    /// Replaces the addresses that are kept connected.
    void setTargets(const std::set<peer_address> &targets);

    /// Replaces the keys; connections that exist stay.
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

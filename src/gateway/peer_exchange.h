/// Entries tell each other their load by datagrams, and learn of each other that way.
///
/// A message is a msgpack array, see peer_message. Nothing is agreed on: a lost or late message only makes a load estimate older.
#pragma once

#include "dispatch/placement.h"
#include "gateway/event_log.h"
#include "net/datagram_socket.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriashunt
{

/// What an entry says of itself.
struct peer_message
{
    /// Version of the declarations in force; -1 if none.
    std::int64_t declarationsVersion = -1;
    bool isLeaving = false;
    load_digest load;
    /// Other entries that the sender has heard of lately.
    std::vector<socket_address> peers;

    bool operator==(const peer_message &) const = default;
};

[[nodiscard]] std::string encodePeerMessage(const peer_message &message);

/// Throws shunt_error(malformed_frame) if the bytes are no message.
[[nodiscard]] peer_message decodePeerMessage(std::string_view bytes);

/// How often entries speak.
struct peer_exchange_options
{
    /// Time between two messages while there is load; a tenth of the shortest first-byte target is fresh enough to place by.
    duration busyPeriod = std::chrono::milliseconds(50);
    /// Time between two messages without load.
    duration idlePeriod = std::chrono::milliseconds(500);
    /// A peer that has been silent for this long is told to others no more.
    duration peerLifetime = std::chrono::seconds(3);
    /// Entries to begin with.
    std::vector<socket_address> seeds;
    socket_address self;
};

/// Sends own messages and hands out those of others.
class peer_exchange
{
public:
    using compose_hook = std::function<peer_message()>;
    using message_hook = std::function<void(const socket_address &from, const peer_message &message)>;

    peer_exchange(event_loop &loop, event_log &log, const peer_exchange_options &options, compose_hook compose, message_hook onMessage);
    peer_exchange(const peer_exchange &) = delete;
    peer_exchange &operator=(const peer_exchange &) = delete;

    /// Peers heard of within their lifetime, the most recent version each reported.
    [[nodiscard]] std::vector<socket_address> livePeers() const;

private:
    void onDatagram(const socket_address &from, std::string_view bytes);
    void broadcast();
    [[nodiscard]] std::vector<socket_address> recipients() const;

    event_loop &m_loop;
    event_log &m_log;
    peer_exchange_options m_options;
    compose_hook m_compose;
    message_hook m_onMessage;
    datagram_socket m_socket;
    /// When each peer was last heard of, directly.
    std::map<socket_address, time_point> m_directPeers;
    /// Peers that others told of, and when.
    std::map<socket_address, time_point> m_reportedPeers;
    time_point m_lastBroadcast;
};

} // namespace wisteriashunt

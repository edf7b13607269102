/// Exchange of load and membership between entries by datagrams.
///
/// A message is a msgpack array with the version of the format and the fields of entry_message. There is no consensus: a lost or late
/// message only makes a load estimate older.
#pragma once

#include "dispatch/placement.h"
#include "dispatch/prompt_quarantine.h"
#include "dispatch/stream_versions.h"
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

/// State that an entry announces.
struct entry_message
{
    /// Version of the declarations in force; -1 if none.
    std::int64_t declarationsVersion = -1;
    bool isLeaving = false;
    load_digest load;
    stream_digest streams;
    quarantine_digest quarantine;
    /// Highest epoch of the log that the sender has seen; 0 if it has seen none.
    std::int64_t logEpoch = 0;
    /// Other entries from which the sender has received a message recently.
    std::vector<socket_address> peers;

    bool operator==(const entry_message &) const = default;
};

[[nodiscard]] std::string encodeEntryMessage(const entry_message &message);

/// Throws shunt_error(malformed_frame) if the bytes are not a valid message.
[[nodiscard]] entry_message decodeEntryMessage(std::string_view bytes);

/// Timing and addresses of the exchange.
struct peer_exchange_options
{
    /// Time between two messages while there is load: a tenth of the shortest first-byte target, so that placement uses fresh loads.
    duration busyPeriod = std::chrono::milliseconds(50);
    /// Bounds the messages that an entry sends: with many peers, rounds of messages are further apart than busyPeriod. They are never further
    /// apart than idlePeriod, because digests expire.
    double maxMessagesPerSecond = 250;
    /// Time between two messages while there is no load.
    duration idlePeriod = std::chrono::milliseconds(500);
    /// A peer from which no message has come for this long is no longer reported to others. Peers that others report are contacted for as
    /// long.
    duration peerLifetime = std::chrono::seconds(3);
    /// Entries to contact first.
    std::vector<socket_address> seeds;
    socket_address self;
};

/// Returns the time between two rounds of messages to that many recipients while there is load.
[[nodiscard]] duration messagePeriod(const peer_exchange_options &options, std::size_t recipients);

/// Sends this entry's messages periodically and passes received ones to a callback.
class peer_exchange
{
public:
    using compose_hook = std::function<entry_message()>;
    using message_hook = std::function<void(const socket_address &from, const entry_message &message)>;

    peer_exchange(event_loop &loop, event_log &log, const peer_exchange_options &options, compose_hook compose, message_hook onMessage);
    peer_exchange(const peer_exchange &) = delete;
    peer_exchange &operator=(const peer_exchange &) = delete;

    /// Sends a message to all peers without waiting for the next round.
    void sendNow();

    /// Peers from which a message has come within peerLifetime.
    [[nodiscard]] std::vector<socket_address> livePeers() const;

private:
    void onDatagram(const socket_address &from, std::string_view bytes);
    /// Sends a round of messages if one is due.
    void broadcast();
    void send(entry_message message, const std::vector<socket_address> &peers);
    [[nodiscard]] std::vector<socket_address> recipients() const;

    event_loop &m_loop;
    event_log &m_log;
    peer_exchange_options m_options;
    compose_hook m_compose;
    message_hook m_onMessage;
    datagram_socket m_socket;
    /// Time of the last message from each peer.
    std::map<socket_address, time_point> m_directPeers;
    /// Peers that other peers have reported, and when last.
    std::map<socket_address, time_point> m_reportedPeers;
    time_point m_lastBroadcast;
};

} // namespace wisteriashunt

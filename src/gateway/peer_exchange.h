/// Exchange of load and membership between entries by datagrams.
#pragma once

#include "dispatch/exchange_schedule.h"
#include "gateway/entry_message.h"
#include "gateway/event_log.h"
#include "net/datagram_socket.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriashunt
{

/// Timing and addresses of the exchange.
struct peer_exchange_options
{
    exchange_schedule_options schedule;
    zone_exchange_options zones;
    /// Time between two messages to the entries of other zones while relays tell them of loads. Limits that endpoints declare are told by these
    /// messages, and while there are any, as often as to the own zone.
    duration otherZonesPeriod = std::chrono::milliseconds(800);
    /// Bandwidth from which on a relay also reads the log for others, who call it several times a second.
    double minReaderLinkBytesPerSecond = 12.5e6;
    /// Time between two sums that a relay sends.
    duration relayPeriod = std::chrono::milliseconds(50);
    /// What this entry tells of itself; isRelay is set by the exchange.
    entry_place place;
    /// A peer from which no message has come for this long is no longer reported to others. Peers that others report are contacted for as
    /// long.
    duration peerLifetime = std::chrono::seconds(3);
    /// Most other entries of which a message tells. Messages name them by turns.
    std::size_t maxPeersInMessage = 16;
    /// Entries to contact first.
    std::vector<socket_address> seeds;
    socket_address self;
};

/// Sends this entry's messages periodically, with sums of loads if it is a relay (see zone_exchange), and passes received ones to callbacks.
class peer_exchange
{
public:
    using compose_hook = std::function<entry_message()>;
    using compose_news_hook = std::function<entry_news()>;
    using message_hook = std::function<void(const socket_address &from, const entry_message &message)>;
    using load_hook = std::function<void(load_digest load)>;
    using news_hook = std::function<void(const socket_address &from, const entry_news &news)>;
    using duty_hook = std::function<void(const socket_address &from, const duty_message &message)>;

    /// What the exchange calls.
    struct hooks
    {
        compose_hook compose;
        compose_news_hook composeNews;
        message_hook onMessage;
        news_hook onNews;
        /// Called with the sum of the loads of other zones.
        load_hook onRelayedLoad;
        duty_hook onDuties = [](const socket_address &, const duty_message &) {};
    };

    peer_exchange(event_loop &loop, event_log &log, const peer_exchange_options &options, hooks callbacks);
    peer_exchange(const peer_exchange &) = delete;
    peer_exchange &operator=(const peer_exchange &) = delete;

    /// Sends news to all peers without waiting for the next round, if the bounds on messages and bytes leave room for it.
    void tellNews();
    /// Sends news to one peer.
    void tellNewsTo(const socket_address &peer, const entry_news &news);

    /// Sends a message about duties to these peers.
    void tellDuties(const std::vector<socket_address> &peers, const duty_message &message);

    /// Peers that read the platform's log for this entry: the relays of its zone with fast links, unless it is one. Empty in small fleets.
    [[nodiscard]] std::vector<socket_address> readers() const;
    /// Peers from which a message has come within peerLifetime.
    [[nodiscard]] std::vector<socket_address> livePeers() const;

private:
    void onDatagram(const socket_address &from, std::string_view bytes);
    /// Sends a round of messages if one is due.
    void broadcast();
    /// Sends messages to the entries of other zones if they are due.
    void tellOtherZones(const std::vector<socket_address> &peers);
    /// Sends sums of loads if they are due.
    void relayLoads();
    void onMessage(const socket_address &from, entry_message message);
    /// Composes a message and keeps what the next one to other zones has to tell.
    [[nodiscard]] entry_message composeMessage();
    void send(std::string_view bytes, const std::vector<socket_address> &peers);
    [[nodiscard]] std::vector<socket_address> recipients() const;
    /// Forgets peers that have not been heard of for long.
    void discardOutdated();

    event_loop &m_loop;
    event_log &m_log;
    peer_exchange_options m_options;
    hooks m_hooks;
    exchange_schedule m_schedule;
    zone_exchange m_zones;
    time_point m_otherZonesToldAt;
    exchange_schedule m_relaySchedule;
    /// The newest message, without news: what is told only once or a few times.
    entry_message m_lastMessage;
    /// News that the own zone was told and other zones were not.
    entry_message m_untold;
    /// News of the last message to other zones, repeated in the next one in case it was lost.
    entry_message m_toldLast;
    datagram_socket m_socket;
    /// Time of the last message from each peer.
    std::map<socket_address, time_point> m_directPeers;
    /// Peers that other peers have reported, and when last.
    std::map<socket_address, time_point> m_reportedPeers;
    /// The last peer that the newest message names, after which the next one continues.
    socket_address m_lastNamed;
};

} // namespace wisteriashunt

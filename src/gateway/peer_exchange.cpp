#include "gateway/peer_exchange.h"

#include "dispatch/turns.h"
#include "wisteriashunt/errors.h"

#include <algorithm>

namespace wisteriashunt
{

peer_exchange::peer_exchange(event_loop &loop, event_log &log, const peer_exchange_options &options, hooks callbacks)
    : m_loop(loop)
    , m_log(log)
    , m_options(options)
    , m_hooks(std::move(callbacks))
    , m_schedule(options.schedule)
    , m_socket(loop, options.self, [this](const socket_address &from, std::string_view bytes) { onDatagram(from, bytes); })
{
    runPeriodically(loop, options.schedule.busyPeriod, [this] { broadcast(); });
}

std::vector<socket_address> peer_exchange::livePeers() const
{
    std::vector<socket_address> peers;
    for (const auto &[peer, lastHeard] : m_directPeers) {
        if (m_loop.now() - lastHeard < m_options.peerLifetime) {
            peers.push_back(peer);
        }
    }
    return peers;
}

std::vector<socket_address> peer_exchange::recipients() const
{
    auto peers = livePeers();
    peers.insert(peers.end(), m_options.seeds.begin(), m_options.seeds.end());
    for (const auto &[peer, lastHeard] : m_reportedPeers) {
        if (m_loop.now() - lastHeard < m_options.peerLifetime) {
            peers.push_back(peer);
        }
    }
    std::sort(peers.begin(), peers.end());
    peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
    std::erase(peers, m_options.self);
    return peers;
}

void peer_exchange::discardOutdated()
{
    const auto isOutdated = [this](const auto &peer) { return m_loop.now() - peer.second >= m_options.peerLifetime; };
    std::erase_if(m_directPeers, isOutdated);
    std::erase_if(m_reportedPeers, isOutdated);
}

void peer_exchange::broadcast()
{
    discardOutdated();
    const auto peers = recipients();
    if (!m_schedule.isRoundDue(peers.size(), true, m_loop.now())) {
        return;
    }
    auto message = m_hooks.compose();
    const bool hasLoad = message.load != load_digest{} || !message.streams.begun.empty() || message.quarantine != quarantine_digest{};
    if (!m_schedule.isRoundDue(peers.size(), hasLoad, m_loop.now())) {
        return;
    }
    message.peers = nextByTurns(livePeers(), m_options.maxPeersInMessage, m_lastNamed);
    const auto bytes = encodeEntryMessage(message);
    m_schedule.onRound(peers.size(), bytes.size(), m_loop.now());
    send(bytes, peers);
}

void peer_exchange::tellNews()
{
    const auto peers = recipients();
    if (!m_schedule.mayTellNews(peers.size(), m_loop.now())) {
        return;
    }
    const auto bytes = encodeEntryNews(m_hooks.composeNews());
    m_schedule.onNews(peers.size(), bytes.size(), m_loop.now());
    send(bytes, peers);
}

void peer_exchange::send(std::string_view bytes, const std::vector<socket_address> &peers)
{
    for (const auto &peer : peers) {
        // A failed send is treated like a lost datagram; the next message replaces it.
        m_socket.send(peer, bytes);
    }
}

void peer_exchange::onDatagram(const socket_address &from, std::string_view bytes)
{
    try {
        const auto received = decodeDatagram(bytes);
        if (const auto *news = std::get_if<entry_news>(&received)) {
            m_hooks.onNews(from, *news);
            return;
        }
        const auto &message = std::get<entry_message>(received);
        const auto [position, isNew] = m_directPeers.try_emplace(from, m_loop.now());
        if (isNew) {
            m_log.write(event_number::peer_up, {{"peer", toString(from)}});
        }
        position->second = m_loop.now();
        for (const auto &peer : message.peers) {
            m_reportedPeers[peer] = m_loop.now();
        }
        m_hooks.onMessage(from, message);
    } catch (const shunt_error &error) {
        m_log.write(event_number::peer_refused, {{"peer", toString(from)}, {"reason", error.what()}});
    }
}

} // namespace wisteriashunt

#include "gateway/peer_exchange.h"

#include "dispatch/turns.h"
#include "wisteriashunt/errors.h"

#include <algorithm>
#include <limits>

namespace wisteriashunt
{

namespace
{

exchange_schedule_options relayScheduleOf(const peer_exchange_options &options)
{
    auto schedule = options.schedule;
    schedule.busyPeriod = options.relayPeriod;
    schedule.maxMessagesPerSecond = std::numeric_limits<double>::infinity();
    return schedule;
}

template<typename T>
void append(std::vector<T> &to, const std::vector<T> &from)
{
    to.insert(to.end(), from.begin(), from.end());
}

/// Appends what is told only once or a few times: begun streams, crashes and clearances, placements, and the newest held parts.
void appendNews(entry_message &to, const entry_message &from)
{
    append(to.streams.begun, from.streams.begun);
    append(to.quarantine.crashes, from.quarantine.crashes);
    append(to.quarantine.clearances, from.quarantine.clearances);
    append(to.load.placements, from.load.placements);
    if (!from.quarantine.held.empty()) {
        to.quarantine.held = from.quarantine.held;
    }
}

void clearNews(entry_message &message)
{
    message.streams.begun.clear();
    message.quarantine = {};
    message.load.placements.clear();
}

} // namespace

peer_exchange::peer_exchange(event_loop &loop, event_log &log, const peer_exchange_options &options, hooks callbacks)
    : m_loop(loop)
    , m_log(log)
    , m_options(options)
    , m_hooks(std::move(callbacks))
    , m_schedule(options.schedule)
    , m_zones(options.self, options.place, options.zones)
    , m_relaySchedule(relayScheduleOf(options))
    , m_socket(loop, options.self, [this](const socket_address &from, std::string_view bytes) { onDatagram(from, bytes); })
{
    runPeriodically(loop, options.schedule.busyPeriod, [this] { broadcast(); });
}

std::vector<socket_address> peer_exchange::readers() const
{
    const auto now = m_loop.now();
    return m_zones.isRelay(now) ? std::vector<socket_address>{} : m_zones.knownRelaysOfOwnZone(now, m_options.minReaderLinkBytesPerSecond);
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
    m_zones.discardOutdated(m_options.peerLifetime, m_loop.now());
}

entry_message peer_exchange::composeMessage()
{
    auto message = m_hooks.compose();
    message.place = m_options.place;
    message.place.isRelay = m_zones.isRelay(m_loop.now());
    m_zones.onOwnLoad(message.load, m_loop.now());
    appendNews(m_untold, message);
    m_lastMessage = message;
    clearNews(m_lastMessage);
    return message;
}

void peer_exchange::broadcast()
{
    discardOutdated();
    auto peers = recipients();
    std::vector<socket_address> others;
    if (m_zones.usesRelays()) {
        const auto firstOther = std::partition(peers.begin(), peers.end(), [this](const socket_address &peer) { return m_zones.isNear(peer); });
        others.assign(firstOther, peers.end());
        peers.erase(firstOther, peers.end());
        relayLoads();
    }
    if (m_schedule.isRoundDue(peers.size(), true, m_loop.now())) {
        auto message = composeMessage();
        const bool hasLoad = message.load != load_digest{} || !message.streams.begun.empty() || message.quarantine != quarantine_digest{};
        if (m_schedule.isRoundDue(peers.size(), hasLoad, m_loop.now())) {
            message.peers = nextByTurns(livePeers(), m_options.maxPeersInMessage, m_lastNamed);
            const auto bytes = encodeEntryMessage(message);
            m_schedule.onRound(peers.size(), bytes.size(), m_loop.now());
            send(bytes, peers);
        }
    }
    if (m_zones.usesRelays()) {
        tellOtherZones(others);
    } else {
        m_untold = {};
    }
}

void peer_exchange::tellOtherZones(const std::vector<socket_address> &peers)
{
    const auto now = m_loop.now();
    const bool isRelayed = m_zones.hasRelay(now);
    auto message = m_lastMessage;
    const bool hasLimits = !message.load.rateLimits.notices.empty();
    const auto period = isRelayed && !hasLimits ? m_options.otherZonesPeriod : m_schedule.roundPeriod(peers.size());
    if (now - m_otherZonesToldAt < period) {
        return;
    }
    m_otherZonesToldAt = now;
    if (isRelayed) {
        message.load.endpoints.clear();
        message.load.shortPromptTokensPerSecond.clear();
        m_untold.load.placements.clear();
    }
    message.peers = nextByTurns(livePeers(), m_options.maxPeersInMessage, m_lastNamed);
    appendNews(message, m_toldLast);
    appendNews(message, m_untold);
    m_toldLast = std::exchange(m_untold, {});
    m_toldLast.load.placements.clear();
    const auto bytes = encodeEntryMessage(message);
    m_schedule.onNews(peers.size(), bytes.size(), now);
    send(bytes, peers);
}

void peer_exchange::relayLoads()
{
    const auto now = m_loop.now();
    if (!m_zones.isRelay(now)) {
        return;
    }
    const auto members = m_zones.members();
    const auto relays = m_zones.relaysOfOtherZones(now);
    if (!m_relaySchedule.isRoundDue(members.size() + relays.size(), true, now)) {
        return;
    }
    const auto forRelays = encodeZoneLoads(m_zones.loadsForRelays(now));
    send(forRelays, relays);
    if (!m_zones.tellsMembers(now)) {
        m_relaySchedule.onRound(relays.size(), forRelays.size(), now);
        return;
    }
    auto forMembers = m_zones.loadsForMembers(now);
    const auto bytes = encodeZoneLoads(forMembers);
    m_relaySchedule.onRound(members.size() + relays.size(), std::max(bytes.size(), forRelays.size()), now);
    send(bytes, members);
    m_zones.onOwnSum(forMembers, now);
    m_hooks.onRelayedLoad(std::move(forMembers.load));
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

void peer_exchange::tellNewsTo(const socket_address &peer, const entry_news &news)
{
    if (!m_schedule.mayTellNews(1, m_loop.now())) {
        return;
    }
    const auto bytes = encodeEntryNews(news);
    m_schedule.onNews(1, bytes.size(), m_loop.now());
    send(bytes, {peer});
}

void peer_exchange::tellDuties(const std::vector<socket_address> &peers, const duty_message &message)
{
    const auto bytes = encodeDutyMessage(message);
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
        auto received = decodeDatagram(bytes);
        if (const auto *news = std::get_if<entry_news>(&received)) {
            m_hooks.onNews(from, *news);
            return;
        }
        if (const auto *duties = std::get_if<duty_message>(&received)) {
            m_hooks.onDuties(from, *duties);
            return;
        }
        if (const auto *loads = std::get_if<zone_loads>(&received)) {
            if (auto load = m_zones.onZoneLoads(*loads, m_loop.now())) {
                m_hooks.onRelayedLoad(std::move(*load));
            }
            return;
        }
        onMessage(from, std::get<entry_message>(std::move(received)));
    } catch (const shunt_error &error) {
        m_log.write(event_number::peer_refused, {{"peer", toString(from)}, {"reason", error.what()}});
    }
}

void peer_exchange::onMessage(const socket_address &from, entry_message message)
{
    const auto now = m_loop.now();
    const auto [position, isNew] = m_directPeers.try_emplace(from, now);
    if (isNew) {
        m_log.write(event_number::peer_up, {{"peer", toString(from)}});
    }
    position->second = now;
    for (const auto &peer : message.peers) {
        m_reportedPeers[peer] = now;
    }
    message.load.isSenderLeaving = message.isLeaving;
    for (const auto &peer : message.peers) {
        message.load.heardEntries.push_back(toString(peer));
    }
    m_zones.onMessage(from, message.place, message.load, now);
    if (m_zones.endsRelayedLoad(message.place, message.load, now)) {
        m_hooks.onRelayedLoad({});
    }
    if (!m_zones.countsDirectLoad(message.place, now)) {
        message.load.endpoints.clear();
        message.load.shortPromptTokensPerSecond.clear();
    }
    m_hooks.onMessage(from, message);
}

} // namespace wisteriashunt

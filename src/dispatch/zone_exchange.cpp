#include "dispatch/zone_exchange.h"

#include "membership/hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace wisteriashunt
{

namespace
{

/// Name under which an entry's own load is kept among those of its zone.
const std::string ownName = "self";

std::uint64_t hashOf(const socket_address &address)
{
    constexpr unsigned portBits = 16;
    return mixBits((std::uint64_t{address.ip} << portBits) | address.port);
}

} // namespace

zone_exchange::zone_exchange(const socket_address &self, entry_place place, const zone_exchange_options &options)
    : m_self(self)
    , m_place(std::move(place))
    , m_options(options)
    , m_ownZone({.digestLifetime = options.digestLifetime, .recentTokensDecayTime = options.recentTokensDecayTime})
    , m_otherZones({.digestLifetime = options.digestLifetime,
                    .recentTokensDecayTime = options.recentTokensDecayTime,
                    .endedAfter = peer_loads_options{}.heldAtMost,
                    .followsHeardLoad = false})
{
}

void zone_exchange::remember(std::vector<part_placement> &known, const std::vector<part_placement> &added) const
{
    const auto room = m_options.maxPlacements - std::min(m_options.maxPlacements, known.size());
    known.insert(known.end(), added.begin(), added.begin() + static_cast<std::ptrdiff_t>(std::min(room, added.size())));
}

void zone_exchange::onMessage(const socket_address &peer, const entry_place &place, const load_digest &load, time_point now)
{
    m_peers[peer] = {.place = place, .heardAt = now};
    if (place.availabilityZone == m_place.availabilityZone) {
        remember(m_ownPlacements, load.placements);
        m_ownZone.onDigest(toString(peer), load, now);
    } else if (!load.endpoints.empty() && !isZoneHeard(place.availabilityZone, now)) {
        // An entry that tells other zones its load knows no relay, so the last sum of its zone no longer counts.
        m_otherZones.forget(place.availabilityZone, now);
    }
}

void zone_exchange::onOwnLoad(const load_digest &load, time_point now)
{
    if (now - m_lastOwnLoad > m_options.longestSilence) {
        m_runningSince = now;
    }
    m_lastOwnLoad = now;
    remember(m_ownPlacements, load.placements);
    m_ownZone.onDigest(ownName, load, now);
}

std::optional<load_digest> zone_exchange::onZoneLoads(const zone_loads &loads, time_point now)
{
    const auto &own = m_place.availabilityZone;
    if (std::find(loads.zones.begin(), loads.zones.end(), own) != loads.zones.end()) {
        return std::nullopt;
    }
    if (!loads.isForMembers) {
        if (loads.zones.size() == 1) {
            remember(m_otherPlacements, loads.load.placements);
            m_otherZones.onDigest(loads.zones.front(), loads.load, now);
            m_zoneHeardAt[loads.zones.front()] = now;
        }
        return std::nullopt;
    }
    m_heardZones = loads.zones.size();
    m_heardSumAt = now;
    // The other relay has told the members of them.
    m_otherPlacements.clear();
    if (loads.zones.size() < m_usedZones.size() && now - m_usedAt < m_options.sumLifetime) {
        return std::nullopt;
    }
    m_usedZones = loads.zones;
    m_usedAt = now;
    return loads.load;
}

void zone_exchange::onOwnSum(const zone_loads &loads, time_point now)
{
    m_usedZones = loads.zones;
    m_usedAt = now;
}

bool zone_exchange::isZoneHeard(const std::string &zone, time_point now) const
{
    const auto heardAt = m_zoneHeardAt.find(zone);
    return heardAt != m_zoneHeardAt.end() && now - heardAt->second < m_options.digestLifetime;
}

bool zone_exchange::tellsMembers(time_point now) const
{
    if (!isRelay(now)) {
        return false;
    }
    const auto knownZones = static_cast<std::size_t>(
        std::count_if(m_zoneHeardAt.begin(), m_zoneHeardAt.end(), [&](const auto &zone) { return now - zone.second < m_options.digestLifetime; }));
    return relaysOfOwnZone(now).front() == m_self || now - m_heardSumAt >= m_options.takeOverDelay || m_heardZones < knownZones;
}

void zone_exchange::discardOutdated(duration peerLifetime, time_point now)
{
    std::erase_if(m_peers, [&](const auto &peer) { return now - peer.second.heardAt >= peerLifetime; });
    std::erase_if(m_zoneHeardAt, [&](const auto &zone) { return now - zone.second >= m_options.digestLifetime; });
}

bool zone_exchange::usesRelays() const
{
    return m_peers.size() > m_options.maxDirectPeers;
}

std::vector<socket_address> zone_exchange::relaysOfOwnZone(time_point now) const
{
    // The fastest links first; entries with equal ones by hash, so that all entries of the zone choose the same.
    std::vector<std::tuple<double, std::uint64_t, socket_address>> ranked{{-m_place.linkBytesPerSecond, hashOf(m_self), m_self}};
    for (const auto &[address, peer] : m_peers) {
        if (peer.place.availabilityZone == m_place.availabilityZone && now - peer.heardAt < m_options.relayLifetime) {
            ranked.emplace_back(-peer.place.linkBytesPerSecond, hashOf(address), address);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), m_options.relaysPerZone));
    std::vector<socket_address> relays;
    for (const auto &[link, hash, address] : ranked) {
        relays.push_back(address);
    }
    return relays;
}

bool zone_exchange::isRelay(time_point now) const
{
    if (!usesRelays() || now - m_runningSince < m_options.relayWarmUp) {
        return false;
    }
    const auto relays = relaysOfOwnZone(now);
    return std::find(relays.begin(), relays.end(), m_self) != relays.end();
}

std::vector<socket_address> zone_exchange::knownRelaysOfOwnZone(time_point now, double minLinkBytesPerSecond) const
{
    std::vector<socket_address> relays;
    for (const auto &[address, peer] : m_peers) {
        const bool isOfOwnZone = peer.place.availabilityZone == m_place.availabilityZone;
        const bool isFast = peer.place.linkBytesPerSecond >= minLinkBytesPerSecond;
        if (usesRelays() && isOfOwnZone && isFast && peer.place.isRelay && now - peer.heardAt < m_options.relayLifetime) {
            relays.push_back(address);
        }
    }
    return relays;
}

bool zone_exchange::hasRelay(time_point now) const
{
    return isRelay(now) || !knownRelaysOfOwnZone(now).empty();
}

bool zone_exchange::endsRelayedLoad(const entry_place &peer, const load_digest &load, time_point now)
{
    if (m_usedZones.empty() || load.endpoints.empty() || peer.availabilityZone == m_place.availabilityZone || now - m_usedAt < m_options.digestLifetime) {
        return false;
    }
    m_usedZones.clear();
    return true;
}

bool zone_exchange::countsDirectLoad(const entry_place &peer, time_point now) const
{
    const bool isRelayed = std::find(m_usedZones.begin(), m_usedZones.end(), peer.availabilityZone) != m_usedZones.end();
    return !isRelayed || now - m_usedAt >= m_options.digestLifetime;
}

bool zone_exchange::isNear(const socket_address &peer) const
{
    const auto known = m_peers.find(peer);
    return known != m_peers.end() && (known->second.place.availabilityZone.empty() || known->second.place.availabilityZone == m_place.availabilityZone);
}

std::vector<socket_address> zone_exchange::members() const
{
    std::vector<socket_address> members;
    for (const auto &[address, peer] : m_peers) {
        if (peer.place.availabilityZone == m_place.availabilityZone) {
            members.push_back(address);
        }
    }
    return members;
}

std::vector<socket_address> zone_exchange::relaysOfOtherZones(time_point now) const
{
    // Messages to other zones are further apart than those within a zone.
    constexpr int missedMessages = 2;
    std::vector<socket_address> relays;
    for (const auto &[address, peer] : m_peers) {
        if (peer.place.isRelay && peer.place.availabilityZone != m_place.availabilityZone && now - peer.heardAt < missedMessages * m_options.relayLifetime) {
            relays.push_back(address);
        }
    }
    return relays;
}

zone_loads zone_exchange::loadsForRelays(time_point now)
{
    zone_loads loads{.zones = {m_place.availabilityZone}, .load = m_ownZone.sum(now)};
    loads.load.placements = std::exchange(m_ownPlacements, {});
    return loads;
}

zone_loads zone_exchange::loadsForMembers(time_point now)
{
    zone_loads loads{.isForMembers = true, .load = m_otherZones.sum(now)};
    for (const auto &[zone, heardAt] : m_zoneHeardAt) {
        if (now - heardAt < m_options.digestLifetime) {
            loads.zones.push_back(zone);
        }
    }
    loads.load.placements = std::exchange(m_otherPlacements, {});
    return loads;
}

} // namespace wisteriashunt

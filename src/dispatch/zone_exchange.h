/// Decides how entries of a large fleet tell each other of their loads.
///
/// In a small fleet every entry tells every other. In a large one, that fills links and takes so long that loads are outdated when they are
/// used. There an entry tells the entries of its own availability zone directly. Relays, the two entries of the zone with the fastest links,
/// send the sum of the zone's loads to the relays of the other zones, and the sum of the other zones' loads to the entries of their own. A
/// relay that dies or is cut off makes loads older until the other one, or its successor, is heard. Relays on fast links also read the
/// platform's log for their zone (see peer_exchange::readers()).
#pragma once

#include "dispatch/peer_loads.h"
#include "net/byte_channel.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Settings of a zone_exchange.
struct zone_exchange_options
{
    /// Up to this number of peers, every entry tells every other.
    std::size_t maxDirectPeers = 32;
    std::size_t relaysPerZone = 2;
    /// Time since its last message after which a peer is not considered as a relay. Peers without load send each half second.
    duration relayLifetime = std::chrono::milliseconds(1200);
    /// Time after which the sum of one relay is replaced by that of another that knows fewer zones.
    duration sumLifetime = std::chrono::milliseconds(400);
    /// Time without a sum of the first relay after which the next one tells the members.
    duration takeOverDelay = std::chrono::milliseconds(250);
    /// Most placements of prompt parts in one sum.
    std::size_t maxPlacements = 512;
    /// Time after its start, or after a pause of its process, during which an entry does not act as a relay: it has not heard its zone yet.
    duration relayWarmUp = std::chrono::milliseconds(1200);
    /// Time between two messages of its own that counts as a pause of the process.
    duration longestSilence = std::chrono::milliseconds(800);
    duration digestLifetime = std::chrono::milliseconds(1000);
    duration recentTokensDecayTime = std::chrono::milliseconds(300);
};

/// What an entry tells of itself so that others can choose relays.
struct entry_place
{
    /// Empty for entries of earlier versions.
    std::string availabilityZone;
    double linkBytesPerSecond = 0;
    /// Whether the entry acts as a relay.
    bool isRelay = false;

    bool operator==(const entry_place &) const = default;
};

/// Sum of the loads of one or more zones.
struct zone_loads
{
    /// Zones whose loads are contained.
    std::vector<std::string> zones;
    /// Whether the sum is for the entries of the relay's own zone; otherwise it is the relay's zone and for other relays.
    bool isForMembers = false;
    load_digest load;

    bool operator==(const zone_loads &) const = default;
};

/// Not thread-safe.
class zone_exchange
{
public:
    zone_exchange(const socket_address &self, entry_place place, const zone_exchange_options &options = {});

    /// Records a message of a peer. If the peer is in this entry's zone, its load is added to the zone's.
    void onMessage(const socket_address &peer, const entry_place &place, const load_digest &load, time_point now);
    /// Records a sum of another relay. Returns the load to place by if the sum is the one to use.
    [[nodiscard]] std::optional<load_digest> onZoneLoads(const zone_loads &loads, time_point now);
    /// Records that this entry, as a relay, places by its own sum.
    void onOwnSum(const zone_loads &loads, time_point now);
    /// Records this entry's own load and placements, which its messages tell.
    void onOwnLoad(const load_digest &load, time_point now);
    /// Forgets peers that have not been heard for a while.
    void discardOutdated(duration peerLifetime, time_point now);

    /// Whether there are so many peers that relays are used.
    [[nodiscard]] bool usesRelays() const;
    /// Whether this entry acts as a relay.
    [[nodiscard]] bool isRelay(time_point now) const;
    /// Other entries of this entry's zone that act as relays and have at least this bandwidth.
    [[nodiscard]] std::vector<socket_address> knownRelaysOfOwnZone(time_point now, double minLinkBytesPerSecond = 0) const;
    /// Whether this entry, as a relay, tells the members of its zone of the other zones: it is the first relay, or the first one is not heard, or
    /// knows fewer zones.
    [[nodiscard]] bool tellsMembers(time_point now) const;
    /// Whether a relay of this entry's zone, perhaps this entry, is known.
    [[nodiscard]] bool hasRelay(time_point now) const;
    /// Whether the loads of a peer that it has told directly count. They do not if a relayed sum contains them.
    [[nodiscard]] bool countsDirectLoad(const entry_place &peer, time_point now) const;

    /// Whether the load that a peer of another zone has told directly replaces the last relayed sum, of which no newer one came.
    [[nodiscard]] bool endsRelayedLoad(const entry_place &peer, const load_digest &load, time_point now);

    /// Whether the peer is told of all loads directly: it is in the same zone, or of an earlier version.
    [[nodiscard]] bool isNear(const socket_address &peer) const;
    /// Peers in this entry's zone.
    [[nodiscard]] std::vector<socket_address> members() const;
    [[nodiscard]] std::vector<socket_address> relaysOfOtherZones(time_point now) const;

    /// What a relay tells the relays of other zones, and the members of its own zone. Placements are told once.
    [[nodiscard]] zone_loads loadsForRelays(time_point now);
    [[nodiscard]] zone_loads loadsForMembers(time_point now);

private:
    struct peer_state
    {
        entry_place place;
        time_point heardAt;
    };

    /// Whether a relay of another zone has told the sum of its zone recently.
    [[nodiscard]] bool isZoneHeard(const std::string &zone, time_point now) const;
    [[nodiscard]] std::vector<socket_address> relaysOfOwnZone(time_point now) const;
    void remember(std::vector<part_placement> &known, const std::vector<part_placement> &added) const;

    socket_address m_self;
    entry_place m_place;
    zone_exchange_options m_options;
    std::map<socket_address, peer_state> m_peers;
    /// Loads of the own zone by entry, and of other zones by zone.
    peer_loads m_ownZone;
    peer_loads m_otherZones;
    std::map<std::string, time_point> m_zoneHeardAt;
    time_point m_lastOwnLoad;
    time_point m_runningSince;
    std::vector<part_placement> m_ownPlacements;
    std::vector<part_placement> m_otherPlacements;
    /// Zones in the sum that this entry places by, and when it came.
    std::vector<std::string> m_usedZones;
    time_point m_usedAt;
    /// The newest sum of another relay for the members of this zone: its number of zones, and when it came.
    std::size_t m_heardZones = 0;
    time_point m_heardSumAt;
};

} // namespace wisteriashunt

// Plays fleets of entries that tell each other of their loads through relays, with relays that are killed, frozen, cut off and restarted.
#include "dispatch/load_tracker.h"
#include "dispatch/zone_exchange.h"

#include <rapidcheck.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <memory>
#include <random>

namespace wisteriashunt
{
namespace
{

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds(1000)};
constexpr milliseconds step{50};
constexpr milliseconds nearPeriod{100};
constexpr milliseconds otherZonesPeriod{800};
constexpr milliseconds relayPeriod{100};
constexpr milliseconds peerLifetime{3000};
const std::string endpoint = "e1";

/// One entry of the fleet: its part of the exchange, and what it knows of the loads.
struct fleet_entry
{
    socket_address address;
    std::string zone;
    double link = 0;
    bool isAlive = true;
    time_point frozenUntil;
    std::unique_ptr<zone_exchange> exchange;
    std::unique_ptr<load_tracker> loads;
};

class fleet
{
public:
    fleet(int zones, int entriesPerZone, std::uint64_t seed, double lossShare)
        : m_random(seed)
        , m_lossShare(lossShare)
    {
        for (int zone = 0; zone < zones; ++zone) {
            for (int i = 0; i < entriesPerZone; ++i) {
                constexpr int fastEntries = 3;
                m_entries.push_back({.address = {.ip = static_cast<std::uint32_t>(1 + m_entries.size()), .port = 7000},
                                     .zone = "z" + std::to_string(zone),
                                     .link = i < fastEntries ? 25e6 : 2.5e6});
                restart(m_entries.back());
            }
        }
    }

    void restart(fleet_entry &entry)
    {
        entry.isAlive = true;
        entry.exchange = std::make_unique<zone_exchange>(entry.address, placeOf(entry));
        entry.loads = std::make_unique<load_tracker>(load_tracker_options{});
        // Each entry has one request at the endpoint.
        entry.loads->onSent({.endpointId = endpoint, .uncachedTokens = 1, .isLongPrompt = true});
    }

    void play(duration time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += step) {
            for (auto &entry : m_entries) {
                if (isRunning(entry)) {
                    act(entry);
                }
            }
        }
    }

    [[nodiscard]] int known(fleet_entry &entry)
    {
        return entry.loads->loadOf(endpoint, m_now).longPrompts;
    }

    [[nodiscard]] bool isRunning(const fleet_entry &entry) const
    {
        return entry.isAlive && m_now >= entry.frozenUntil;
    }

    std::vector<fleet_entry> &entries()
    {
        return m_entries;
    }

    [[nodiscard]] time_point now() const
    {
        return m_now;
    }

    /// Datagrams, and those of them between zones, since the start.
    std::size_t datagrams = 0;
    std::size_t datagramsBetweenZones = 0;
    /// Returns whether datagrams between two zones are lost.
    std::function<bool(const std::string &from, const std::string &to)> isCut = [](const std::string &, const std::string &) { return false; };

private:
    [[nodiscard]] entry_place placeOf(const fleet_entry &entry) const
    {
        return {.availabilityZone = entry.zone, .linkBytesPerSecond = entry.link, .isRelay = entry.exchange != nullptr && entry.exchange->isRelay(m_now)};
    }

    /// Spreads the entries over a period.
    [[nodiscard]] bool isDue(const fleet_entry &entry, duration period) const
    {
        return (m_now - start + entry.address.ip * step) % period == duration{};
    }

    void deliver(const fleet_entry &from, const socket_address &to, const std::function<void(fleet_entry &)> &action)
    {
        auto &receiver = m_entries[to.ip - 1];
        ++datagrams;
        datagramsBetweenZones += from.zone == receiver.zone ? 0 : 1;
        const bool isLost = static_cast<double>(m_random() % 1000) < m_lossShare * 1000;
        if (isRunning(receiver) && !isLost && !isCut(from.zone, receiver.zone)) {
            action(receiver);
        }
    }

    void tell(const fleet_entry &from, const fleet_entry &to, const load_digest &load)
    {
        deliver(from, to.address, [&](fleet_entry &receiver) {
            const auto place = placeOf(from);
            receiver.exchange->onMessage(from.address, place, load, m_now);
            receiver.loads->onPeerDigest(toString(from.address), receiver.exchange->countsDirectLoad(place, m_now) ? load : load_digest{}, m_now);
        });
    }

    void act(fleet_entry &entry)
    {
        auto &exchange = *entry.exchange;
        exchange.discardOutdated(peerLifetime, m_now);
        if (isDue(entry, nearPeriod)) {
            const auto load = entry.loads->digest(m_now);
            exchange.onOwnLoad(load, m_now);
            for (const auto &peer : m_entries) {
                if (peer.address != entry.address && (!exchange.usesRelays() || peer.zone == entry.zone)) {
                    tell(entry, peer, load);
                }
            }
        }
        if (exchange.usesRelays() && isDue(entry, otherZonesPeriod)) {
            const auto load = exchange.hasRelay(m_now) ? load_digest{} : entry.loads->digest(m_now);
            for (const auto &peer : m_entries) {
                if (peer.zone != entry.zone) {
                    tell(entry, peer, load);
                }
            }
        }
        if (exchange.isRelay(m_now) && isDue(entry, relayPeriod)) {
            const auto forRelays = exchange.loadsForRelays(m_now);
            for (const auto &relay : exchange.relaysOfOtherZones(m_now)) {
                deliver(entry, relay, [&](fleet_entry &receiver) { static_cast<void>(receiver.exchange->onZoneLoads(forRelays, m_now)); });
            }
            if (!exchange.tellsMembers(m_now)) {
                return;
            }
            const auto forMembers = exchange.loadsForMembers(m_now);
            for (const auto &member : exchange.members()) {
                deliver(entry, member, [&](fleet_entry &receiver) { takeSum(receiver, forMembers); });
            }
            exchange.onOwnSum(forMembers, m_now);
            entry.loads->onRelayedLoad(forMembers.load, m_now);
        }
    }

    void takeSum(fleet_entry &receiver, const zone_loads &loads)
    {
        if (const auto load = receiver.exchange->onZoneLoads(loads, m_now)) {
            receiver.loads->onRelayedLoad(*load, m_now);
        }
    }

    std::mt19937_64 m_random;
    double m_lossShare;
    time_point m_now = start;
    std::vector<fleet_entry> m_entries;
};

constexpr milliseconds settleTime{6000};

TEST(zone_exchange_fleet_test, EveryEntryOfALargeFleetKnowsTheLoadsOfAll)
{
    fleet large(5, 21, 1, 0);
    large.play(settleTime);
    for (auto &entry : large.entries()) {
        EXPECT_EQ(large.known(entry), 105) << toString(entry.address);
    }
}

TEST(zone_exchange_fleet_test, ASmallFleetUsesNoRelays)
{
    fleet small(3, 9, 1, 0);
    small.play(settleTime);
    for (auto &entry : small.entries()) {
        EXPECT_EQ(small.known(entry), 27);
        EXPECT_FALSE(entry.exchange->isRelay(small.now()));
    }
}

TEST(zone_exchange_fleet_test, RelaysAreTheEntriesWithTheFastestLinks)
{
    fleet large(5, 21, 1, 0);
    large.play(settleTime);
    std::map<std::string, int> relays;
    for (auto &entry : large.entries()) {
        if (entry.exchange->isRelay(large.now())) {
            ++relays[entry.zone];
            EXPECT_EQ(entry.link, 25e6);
        }
    }
    EXPECT_EQ(relays, (std::map<std::string, int>{{"z0", 2}, {"z1", 2}, {"z2", 2}, {"z3", 2}, {"z4", 2}}));
}

TEST(zone_exchange_fleet_test, RelaysReduceTheDatagramsBetweenZones)
{
    fleet large(5, 21, 1, 0);
    large.play(settleTime);
    const auto before = large.datagramsBetweenZones;
    constexpr int seconds = 8;
    large.play(std::chrono::seconds(seconds));
    const auto perSecond = (large.datagramsBetweenZones - before) / seconds;
    // Without relays each entry told 84 others each 0.41 s.
    constexpr std::size_t withoutRelays = 105 * 84 * 100 / 41;
    EXPECT_LE(perSecond, withoutRelays * 6 / 10) << "most of them without loads";
}

TEST(zone_exchange_fleet_test, TheOtherRelayReplacesOneThatIsKilledAtOnce)
{
    fleet large(5, 21, 1, 0);
    large.play(settleTime);
    for (auto &entry : large.entries()) {
        if (entry.exchange->isRelay(large.now())) {
            entry.isAlive = false;
            break;
        }
    }
    large.play(milliseconds(3000));
    for (auto &entry : large.entries()) {
        if (large.isRunning(entry)) {
            EXPECT_EQ(large.known(entry), 104);
        }
    }
}

TEST(zone_exchange_fleet_test, SuccessorsReplaceAllRelaysOfAZone)
{
    fleet large(5, 21, 1, 0);
    large.play(settleTime);
    int killed = 0;
    for (auto &entry : large.entries()) {
        if (entry.zone == "z0" && entry.exchange->isRelay(large.now())) {
            entry.isAlive = false;
            ++killed;
        }
    }
    EXPECT_EQ(killed, 2);
    large.play(milliseconds(4000));
    for (auto &entry : large.entries()) {
        if (large.isRunning(entry)) {
            EXPECT_EQ(large.known(entry), 103);
        }
    }
}

RC_GTEST_PROP(zone_exchange_fleet_property, LoadsAreWholeAgainAfterFaultsAndNeverMuchTooHigh, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    const auto below = [&random](int limit) { return static_cast<int>(random() % static_cast<std::uint64_t>(limit)); };
    constexpr int zones = 3;
    constexpr int perZone = 13;
    constexpr int all = zones * perZone;
    fleet entries(zones, perZone, seed, 0.02);
    entries.play(settleTime);
    constexpr int faults = 6;
    for (int fault = 0; fault < faults; ++fault) {
        // Relays are hit more often than others.
        auto *hit = &entries.entries()[static_cast<std::size_t>(below(all))];
        for (auto &entry : entries.entries()) {
            if (entry.exchange->isRelay(entries.now()) && below(4) == 0) {
                hit = &entry;
            }
        }
        switch (below(4)) {
        case 0:
            hit->isAlive = false;
            break;
        case 1:
            hit->frozenUntil = entries.now() + milliseconds(below(5000));
            break;
        case 2:
            entries.restart(*hit);
            break;
        default: {
            const auto cut = hit->zone;
            entries.isCut = [cut](const std::string &from, const std::string &to) { return from != to && (from == cut || to == cut); };
            break;
        }
        }
        entries.play(milliseconds(below(2000)));
        for (auto &entry : entries.entries()) {
            // Direct loads that came before a sum with the same loads count twice until they expire.
            RC_ASSERT(!entries.isRunning(entry) || entries.known(entry) <= 2 * all);
        }
        entries.isCut = [](const std::string &, const std::string &) { return false; };
    }
    for (auto &entry : entries.entries()) {
        if (!entry.isAlive) {
            entries.restart(entry);
        }
    }
    entries.play(std::chrono::seconds(12));
    for (auto &entry : entries.entries()) {
        // A lost message leaves a load out for a moment.
        RC_ASSERT(entries.known(entry) >= all * 9 / 10);
        RC_ASSERT(entries.known(entry) <= all);
    }
}

} // namespace
} // namespace wisteriashunt

// Plays fleets of entries before endpoints that crash, because of parts of prompts or for other reasons.
#include "dispatch/request_quarantine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace wisteriashunt
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string service = "model";
constexpr std::uint64_t popularPart = 1;
constexpr std::uint64_t firstOwnPart = 100;
constexpr std::uint64_t firstDeadlyPart = 1'000'000;

/// A fleet and its troubles.
struct fleet_case
{
    const char *name;
    std::size_t entries = 4;
    std::size_t endpoints = 18;
    double requestsPerSecond = 90;
    /// Share of the requests that have a deadly part.
    double deadlyShare = 0;
    std::uint64_t deadlyParts = 1;
    /// Crashes for reasons of their own.
    double crashesPerSecond = 0;
    /// Endpoints that each of these crashes takes at the same moment.
    std::size_t endpointsPerCrash = 1;
    /// The first endpoint crashes again and again, whatever it runs.
    bool hasBadEndpoint = false;
    /// The last entry hears no other and is heard by none.
    bool isLastEntryCutOff = false;
};

/// What the play has shown.
struct fleet_result
{
    int crashes = 0;
    /// Requests that reached endpoints later than the learning time after the fifth crash under their deadly part; the most of one part.
    int lateDeadly = 0;
    int sound = 0;
    int soundRefused = 0;
    int held = 0;
};

/// Plays a case on a virtual clock.
class crashing_fleet
{
public:
    crashing_fleet(const fleet_case &played, std::uint32_t seed)
        : m_case(played)
        , m_random(seed)
        , m_entries(played.entries)
        , m_downUntil(played.endpoints)
        , m_starts(played.endpoints)
    {
    }

    fleet_result play(seconds time)
    {
        const auto end = m_now + time;
        for (; m_now < end; m_now += milliseconds(1)) {
            deliver();
            arrive();
            crashAtRandom();
            advance();
            exchange();
        }
        return m_result;
    }

private:
    struct running_request
    {
        std::uint64_t attempt = 0;
        trait_set parts;
        /// 0 if the request has none.
        std::uint64_t deadlyPart = 0;
        std::size_t entry = 0;
        std::size_t endpoint = 0;
        time_point beginsAt;
        time_point endsAt;
        int sends = 0;
        bool hasCleared = false;
    };
    struct deadly_part
    {
        std::vector<time_point> crashes;
        int lateRequests = 0;
    };

    static constexpr milliseconds downtime{3200};
    static constexpr milliseconds answeredLongEnough{500};
    static constexpr seconds learningTime{3};

    double chance()
    {
        return std::uniform_real_distribution<>(0, 1)(m_random);
    }

    milliseconds timeBetween(int least, int most)
    {
        return milliseconds(std::uniform_int_distribution<>(least, most)(m_random));
    }

    void later(duration after, std::function<void()> action)
    {
        m_deliveries.emplace(m_now + after, std::move(action));
    }

    void deliver()
    {
        while (!m_deliveries.empty() && m_deliveries.begin()->first <= m_now) {
            const auto action = std::move(m_deliveries.begin()->second);
            m_deliveries.erase(m_deliveries.begin());
            action();
        }
    }

    void arrive()
    {
        if (chance() >= m_case.requestsPerSecond / 1000) {
            return;
        }
        running_request request{.attempt = ++m_attempts};
        constexpr double popularShare = 0.9;
        constexpr int ownParts = 400;
        if (chance() < popularShare) {
            request.parts.insert(popularPart);
        }
        request.parts.insert(firstOwnPart + static_cast<std::uint64_t>(std::uniform_int_distribution<>(0, ownParts - 1)(m_random)));
        if (m_now >= m_troubleAt && chance() < m_case.deadlyShare) {
            request.deadlyPart = firstDeadlyPart + m_attempts % m_case.deadlyParts;
            request.parts.insert(request.deadlyPart);
        }
        request.entry = std::uniform_int_distribution<std::size_t>(0, m_case.entries - 1)(m_random);
        m_result.sound += request.deadlyPart != 0 ? 0 : 1;
        send(std::move(request));
    }

    void send(running_request request)
    {
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < m_case.endpoints; ++i) {
            if (m_downUntil[i] <= m_now) {
                up.push_back(i);
            }
        }
        auto &entry = m_entries[request.entry];
        const auto verdict = entry.check(service, request.parts, m_now);
        if (verdict == quarantine_verdict::held) {
            m_result.soundRefused += request.deadlyPart != 0 ? 0 : 1;
            return;
        }
        if (up.empty()) {
            return;
        }
        if (verdict == quarantine_verdict::trial) {
            entry.onTrial(service, request.parts, m_now);
        }
        noteDeadly(request);
        request.endpoint = up[std::uniform_int_distribution<std::size_t>(0, up.size() - 1)(m_random)];
        request.beginsAt = m_now + timeBetween(50, 400);
        request.endsAt = request.beginsAt + timeBetween(200, 3000);
        ++request.sends;
        m_running.push_back(std::move(request));
    }

    /// Counts a request with a deadly part that is sent after the time to learn of the part.
    void noteDeadly(const running_request &request)
    {
        constexpr std::size_t crashesToLearn = 5;
        if (request.deadlyPart == 0) {
            return;
        }
        auto &[crashes, late] = m_deadly[request.deadlyPart];
        if (crashes.size() >= crashesToLearn && m_now - crashes[crashesToLearn - 1] > learningTime) {
            m_result.lateDeadly = std::max(m_result.lateDeadly, ++late);
        }
    }

    void crashAtRandom()
    {
        if (m_now < m_troubleAt) {
            return;
        }
        if (chance() < m_case.crashesPerSecond / 1000) {
            for (std::size_t i = 0; i < m_case.endpointsPerCrash; ++i) {
                crash(std::uniform_int_distribution<std::size_t>(0, m_case.endpoints - 1)(m_random));
            }
        }
        constexpr milliseconds badEndpointPeriod{4000};
        if (m_case.hasBadEndpoint && m_now.time_since_epoch() % badEndpointPeriod == duration{}) {
            crash(0);
        }
    }

    void advance()
    {
        std::map<std::size_t, std::uint64_t> crashed;
        for (auto &request : m_running) {
            if (request.deadlyPart != 0 && request.beginsAt <= m_now) {
                crashed.emplace(request.endpoint, request.deadlyPart);
            } else if (!request.hasCleared && std::min<time_point>(request.endsAt, request.beginsAt + answeredLongEnough) <= m_now) {
                request.hasCleared = true;
                m_entries[request.entry].onAnswered(service, request.parts, m_now);
            }
        }
        std::erase_if(m_running, [this](const running_request &request) { return request.endsAt <= m_now; });
        for (const auto &[endpoint, part] : crashed) {
            if (m_downUntil[endpoint] <= m_now) {
                m_deadly[part].crashes.push_back(m_now);
                crash(endpoint);
            }
        }
    }

    void crash(std::size_t endpoint)
    {
        if (m_downUntil[endpoint] > m_now) {
            return;
        }
        ++m_result.crashes;
        m_downUntil[endpoint] = m_now + downtime;
        const std::uint64_t incarnation = endpoint * 1000 + static_cast<std::uint64_t>(++m_starts[endpoint]);
        std::vector<running_request> broken;
        for (const auto &request : m_running) {
            if (request.endpoint == endpoint && !request.hasCleared) {
                broken.push_back(request);
            }
        }
        std::erase_if(m_running, [endpoint](const running_request &request) { return request.endpoint == endpoint; });
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            report(i, incarnation, broken);
        }
        for (auto &request : broken) {
            constexpr int maxSends = 2;
            if (request.sends < maxSends && m_entries[request.entry].mayRepeat(service, request.parts)) {
                send(std::move(request));
            }
        }
    }

    void report(std::size_t entry, std::uint64_t incarnation, const std::vector<running_request> &broken)
    {
        constexpr milliseconds noticedAfter{25};
        crash_report seen{.service = service, .endpoint = incarnation, .age = noticedAfter};
        for (const auto &request : broken) {
            if (request.entry == entry) {
                seen.suspects.push_back({.attempt = request.attempt, .traits = request.parts});
            }
        }
        if (!seen.suspects.empty()) {
            later(noticedAfter, [this, entry, seen] { m_entries[entry].onCrash(seen, m_now); });
        }
    }

    void exchange()
    {
        constexpr milliseconds period{50};
        constexpr milliseconds delay{2};
        constexpr double lossShare = 0.05;
        const bool isRound = m_now.time_since_epoch() % period == duration{};
        for (std::size_t from = 0; from < m_entries.size(); ++from) {
            for (const auto &change : m_entries[from].takeChanges()) {
                m_result.held += change.isHeld && change.reason == "crashes" ? 1 : 0;
            }
            if (!isRound && !m_entries[from].hasNews()) {
                continue;
            }
            const auto digest = std::make_shared<const quarantine_digest>(m_entries[from].digest(m_now));
            if (*digest == quarantine_digest{}) {
                continue;
            }
            for (std::size_t to = 0; to < m_entries.size(); ++to) {
                const auto last = m_entries.size() - 1;
                const bool isCut = m_case.isLastEntryCutOff && (from == last || to == last);
                if (to != from && !isCut && chance() >= lossShare) {
                    later(delay, [this, to, digest] { m_entries[to].onPeerDigest(*digest, m_now); });
                }
            }
        }
    }

    fleet_case m_case;
    std::mt19937 m_random;
    std::vector<request_quarantine> m_entries;
    std::vector<time_point> m_downUntil;
    std::vector<int> m_starts;
    std::deque<running_request> m_running;
    std::multimap<time_point, std::function<void()>> m_deliveries;
    time_point m_now{seconds(1000)};
    /// The fleet serves for a while before its trouble begins.
    time_point m_troubleAt = m_now + seconds(5);
    std::uint64_t m_attempts = 0;
    std::map<std::uint64_t, deadly_part> m_deadly;
    fleet_result m_result;
};

std::uint32_t seedCount()
{
    const char *text = std::getenv("SEEDS");
    constexpr std::uint32_t standard = 4;
    return text == nullptr ? standard : static_cast<std::uint32_t>(std::stoul(text));
}

constexpr seconds playedTime{30};

class prompt_quarantine_fleet_test : public ::testing::TestWithParam<fleet_case>
{
};

TEST_P(prompt_quarantine_fleet_test, HoldsDeadlyPartsAndServesSoundRequests)
{
    for (std::uint32_t seed = 1; seed <= seedCount(); ++seed) {
        const auto result = crashing_fleet(GetParam(), seed).play(playedTime);
        const auto told = "seed " + std::to_string(seed) + ": " + std::to_string(result.crashes) + " crashes, " + std::to_string(result.held) + " holds, "
            + std::to_string(result.soundRefused) + " of " + std::to_string(result.sound) + " sound requests refused";
        RecordProperty("seed " + std::to_string(seed), told);
        EXPECT_LE(result.lateDeadly, 3) << told;
        EXPECT_LT(result.soundRefused, result.sound / 2) << told;
    }
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         prompt_quarantine_fleet_test,
                         ::testing::Values(fleet_case{.name = "FourEntries", .deadlyShare = 0.05},
                                           fleet_case{.name = "ManyEntries", .entries = 28, .endpoints = 50, .requestsPerSecond = 350, .deadlyShare = 0.05},
                                           fleet_case{.name = "Rare", .deadlyShare = 0.005},
                                           fleet_case{.name = "Frequent", .deadlyShare = 0.3},
                                           fleet_case{
                                               .name = "FrequentAtManyEntries", .entries = 28, .endpoints = 60, .requestsPerSecond = 350, .deadlyShare = 0.3},
                                           fleet_case{.name = "TwoDeadlyParts", .deadlyShare = 0.06, .deadlyParts = 2},
                                           fleet_case{.name = "OneEndpoint", .endpoints = 1, .requestsPerSecond = 20, .deadlyShare = 0.05},
                                           fleet_case{.name = "BesideOtherCrashes", .deadlyShare = 0.05, .crashesPerSecond = 1}),
                         [](const auto &tested) { return std::string(tested.param.name); });

class other_crashes_fleet_test : public ::testing::TestWithParam<fleet_case>
{
};

TEST_P(other_crashes_fleet_test, RefuseNoRequest)
{
    for (std::uint32_t seed = 1; seed <= seedCount(); ++seed) {
        const auto result = crashing_fleet(GetParam(), seed).play(playedTime);
        EXPECT_EQ(result.soundRefused, 0) << "seed " << seed << ": " << result.crashes << " crashes, " << result.held << " holds, " << result.sound
                                          << " sound requests";
    }
}

INSTANTIATE_TEST_SUITE_P(
    Fleets,
    other_crashes_fleet_test,
    ::testing::Values(fleet_case{.name = "AtRandom", .crashesPerSecond = 4},
                      fleet_case{.name = "AtRandomAtManyEntries", .entries = 28, .endpoints = 60, .requestsPerSecond = 350, .crashesPerSecond = 4},
                      fleet_case{.name = "ManyEndpointsAtOnce", .crashesPerSecond = 0.5, .endpointsPerCrash = 6},
                      fleet_case{.name = "OneEndpoint", .endpoints = 1, .requestsPerSecond = 20, .crashesPerSecond = 0.2},
                      fleet_case{.name = "BadEndpoint", .hasBadEndpoint = true}),
    [](const auto &tested) { return std::string(tested.param.name); });

TEST(cut_off_entry_fleet_test, HoldsByWhatItSawItself)
{
    const auto result = crashing_fleet({.name = "", .deadlyShare = 0.1, .isLastEntryCutOff = true}, 1).play(playedTime);
    EXPECT_LE(result.lateDeadly, 3) << result.crashes << " crashes";
    EXPECT_LT(result.soundRefused, result.sound / 2);
}

} // namespace
} // namespace wisteriashunt

// Plays fleets of entries before endpoints of a plain service that crash, under certain requests or for other reasons.
#include "crash_judge.h"
#include "dispatch/request_quarantine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
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
using testing::crash_judge;

const std::string service = "desk";

/// A fleet and its troubles.
struct fleet_case
{
    const char *name;
    std::size_t entries = 4;
    std::size_t endpoints = 3;
    /// Sound requests, each with a body of its own.
    double soundPerSecond = 25;
    /// Sound requests that are all the same.
    double repeatedPerSecond = 5;
    /// Requests that crash each endpoint that runs them, and how often each of them comes.
    std::size_t deadlyRequests = 1;
    double deadlyPerSecond = 5;
    /// Crashes for reasons of their own, and the endpoints that each of them takes at the same moment.
    double crashesPerSecond = 0;
    std::size_t endpointsPerCrash = 1;
    /// Time between two messages of an entry to its peers, and whether news are sent between them.
    milliseconds round{50};
    bool hasNews = true;
    /// Times that a caller repeats a request which failed.
    int callerRetries = 1;
};

/// What the play has shown.
struct fleet_result
{
    int crashes = 0;
    /// Holds of requests that crash nothing, and requests refused for them.
    int soundHolds = 0;
    int soundRefused = 0;
    int mostLateArrivals = 0;
    /// Sound requests later than 5 s after the trouble began.
    int sound = 0;
    int soundServed = 0;
};

/// Plays a case on a virtual clock.
class fleet
{
public:
    fleet(const fleet_case &played, std::uint32_t seed)
        : m_case(played)
        , m_random(seed)
        , m_downUntil(played.endpoints)
        , m_starts(played.endpoints)
    {
        for (std::size_t i = 0; i < played.entries; ++i) {
            m_entries.emplace_back(request_quarantine_options{.entryKey = 7 * i + 1});
            m_entries.back().noteEntries(played.entries);
        }
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
        m_result.mostLateArrivals = m_judge.mostLateArrivals();
        return m_result;
    }

private:
    struct request
    {
        /// Fingerprint; those of deadly requests come first, then that of the repeated one.
        std::uint64_t id = 0;
        std::uint64_t attempt = 0;
        std::size_t entry = 0;
        std::size_t endpoint = 0;
        time_point endsAt;
        int sends = 0;
        int callerRetries = 0;
        bool isCounted = false;
    };

    static constexpr milliseconds downtime{3200};
    static constexpr std::uint64_t repeatedId = 1000;
    static constexpr std::uint64_t firstOwnId = 10'000;

    static trait_set traitsOf(const request &each)
    {
        return {{trait_kind::whole_request, each.id}};
    }
    static crash_judge::request_key keyOf(const request &each)
    {
        return {std::to_string(each.id), "", ""};
    }
    [[nodiscard]] bool isDeadly(const request &each) const
    {
        return each.id <= m_case.deadlyRequests;
    }

    double chance()
    {
        return std::uniform_real_distribution<>(0, 1)(m_random);
    }
    std::size_t below(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
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
        if (chance() < m_case.soundPerSecond / 1000) {
            take({.id = firstOwnId + m_attempts});
        }
        if (chance() < m_case.repeatedPerSecond / 1000) {
            take({.id = repeatedId});
        }
        for (std::uint64_t id = 1; m_now >= m_troubleAt && id <= m_case.deadlyRequests; ++id) {
            if (chance() < m_case.deadlyPerSecond / 1000) {
                take({.id = id});
            }
        }
    }

    /// A caller's attempt comes to any entry.
    void take(request each)
    {
        each.attempt = ++m_attempts;
        each.entry = below(m_entries.size());
        each.sends = 0;
        if (!isDeadly(each) && each.callerRetries == 0 && m_now > m_troubleAt + seconds(5)) {
            each.isCounted = true;
            ++m_result.sound;
        }
        send(each);
    }

    void send(request each)
    {
        auto &entry = m_entries[each.entry];
        const auto verdict = entry.check(service, traitsOf(each), m_now);
        if (verdict == quarantine_verdict::held) {
            m_result.soundRefused += isDeadly(each) ? 0 : 1;
            return;
        }
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < m_case.endpoints; ++i) {
            if (m_downUntil[i] <= m_now) {
                up.push_back(i);
            }
        }
        if (up.empty()) {
            return;
        }
        if (verdict == quarantine_verdict::trial) {
            entry.onTrial(service, traitsOf(each), m_now);
        }
        m_judge.arrive(keyOf(each), m_now);
        each.endpoint = up[below(up.size())];
        each.endsAt = m_now + milliseconds(20 + below(90));
        ++each.sends;
        m_running.push_back(each);
    }

    void crashAtRandom()
    {
        if (m_now < m_troubleAt || chance() >= m_case.crashesPerSecond / 1000) {
            return;
        }
        for (std::size_t i = 0; i < m_case.endpointsPerCrash; ++i) {
            crash(below(m_case.endpoints));
        }
    }

    void advance()
    {
        std::vector<request> ended;
        for (const auto &each : m_running) {
            if (each.endsAt <= m_now) {
                ended.push_back(each);
            }
        }
        for (const auto &each : ended) {
            if (m_downUntil[each.endpoint] > m_now) {
                continue;
            }
            if (isDeadly(each)) {
                m_judge.crash(keyOf(each), m_now);
                crash(each.endpoint);
            } else {
                std::erase_if(m_running, [&](const request &running) { return running.attempt == each.attempt; });
                m_result.soundServed += each.isCounted ? 1 : 0;
                m_entries[each.entry].onAnswered(service, traitsOf(each), m_now);
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
        std::vector<request> broken;
        std::copy_if(m_running.begin(), m_running.end(), std::back_inserter(broken), [&](const request &each) { return each.endpoint == endpoint; });
        std::erase_if(m_running, [&](const request &each) { return each.endpoint == endpoint; });
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            report(entry, incarnation, broken);
        }
        for (auto &each : broken) {
            constexpr int maxSends = 2;
            if (each.sends < maxSends && m_entries[each.entry].mayRepeat(service, traitsOf(each))) {
                send(each);
            } else if (each.callerRetries < m_case.callerRetries) {
                ++each.callerRetries;
                later(milliseconds(20), [this, each] { take(each); });
            }
        }
    }

    void report(std::size_t entry, std::uint64_t incarnation, const std::vector<request> &broken)
    {
        constexpr milliseconds noticedAfter{25};
        crash_report seen{.service = service, .endpoint = incarnation, .age = noticedAfter};
        for (const auto &each : broken) {
            if (each.entry == entry) {
                seen.suspects.push_back({.attempt = each.attempt, .traits = traitsOf(each)});
            }
        }
        if (!seen.suspects.empty()) {
            later(noticedAfter, [this, entry, seen] { m_entries[entry].onCrash(seen, m_now); });
        }
    }

    void exchange()
    {
        constexpr milliseconds delay{2};
        constexpr double lossShare = 0.05;
        for (std::size_t from = 0; from < m_entries.size(); ++from) {
            for (const auto &[held, isHeld, reason] : m_entries[from].takeChanges()) {
                const bool isOfSound = held.traits.begin()->id > m_case.deadlyRequests;
                m_result.soundHolds += isHeld && isOfSound && reason == "crashes" ? 1 : 0;
            }
            // Entries send their messages at different times.
            const bool isRound = (m_now.time_since_epoch() + milliseconds(7 * from)) % m_case.round == duration{};
            if (!isRound && !(m_case.hasNews && m_entries[from].hasNews())) {
                continue;
            }
            const auto digest = std::make_shared<const quarantine_digest>(m_entries[from].digest(m_now));
            if (*digest == quarantine_digest{}) {
                continue;
            }
            for (std::size_t to = 0; to < m_entries.size(); ++to) {
                if (to != from && chance() >= lossShare) {
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
    std::vector<request> m_running;
    std::multimap<time_point, std::function<void()>> m_deliveries;
    crash_judge m_judge;
    time_point m_now{seconds(1000)};
    /// The fleet serves for a while before its trouble begins.
    time_point m_troubleAt = m_now + seconds(5);
    std::uint64_t m_attempts = 0;
    fleet_result m_result;
};

std::uint32_t seedCount()
{
    const char *text = std::getenv("SEEDS");
    constexpr std::uint32_t standard = 4;
    return text == nullptr ? standard : static_cast<std::uint32_t>(std::stoul(text));
}

std::string describe(std::uint32_t seed, const fleet_result &result)
{
    return "seed " + std::to_string(seed) + ": " + std::to_string(result.crashes) + " crashes, " + std::to_string(result.mostLateArrivals) + " late arrivals, "
        + std::to_string(result.soundHolds) + " sound requests held, " + std::to_string(result.soundRefused) + " refused, " + std::to_string(result.soundServed)
        + " of " + std::to_string(result.sound) + " served";
}

constexpr seconds playedTime{40};

class deadly_request_fleet_test : public ::testing::TestWithParam<fleet_case>
{
};

TEST_P(deadly_request_fleet_test, KeepsDeadlyRequestsFromEndpoints)
{
    for (std::uint32_t seed = 1; seed <= seedCount(); ++seed) {
        const auto result = fleet(GetParam(), seed).play(playedTime);
        const auto told = describe(seed, result);
        RecordProperty("seed " + std::to_string(seed), told);
        if (std::getenv("SEEDS") != nullptr) {
            std::printf("%s\n", told.c_str());
        }
        EXPECT_LE(result.mostLateArrivals, crash_judge::maxLateArrivals) << told;
        EXPECT_EQ(result.soundRefused, 0) << told;
    }
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         deadly_request_fleet_test,
                         ::testing::Values(fleet_case{.name = "FourEntries"},
                                           fleet_case{.name = "Rare", .deadlyPerSecond = 0.2},
                                           fleet_case{.name = "Frequent", .deadlyPerSecond = 40},
                                           fleet_case{.name = "OneEndpoint", .endpoints = 1, .soundPerSecond = 8},
                                           fleet_case{.name = "SixtyEndpoints", .endpoints = 60, .soundPerSecond = 300},
                                           fleet_case{.name = "TwoRequests", .deadlyRequests = 2},
                                           fleet_case{.name = "FiveRequests", .deadlyRequests = 5, .deadlyPerSecond = 2},
                                           fleet_case{.name = "ManyEntries", .entries = 28, .endpoints = 3, .soundPerSecond = 100, .deadlyPerSecond = 20},
                                           fleet_case{.name = "HundredEntries",
                                                      .entries = 103,
                                                      .endpoints = 7,
                                                      .soundPerSecond = 200,
                                                      .deadlyPerSecond = 10,
                                                      .round = milliseconds(400),
                                                      .hasNews = false},
                                           fleet_case{.name = "BesideOtherCrashes", .endpoints = 18, .soundPerSecond = 90, .crashesPerSecond = 1}),
                         [](const auto &tested) { return std::string(tested.param.name); });

class accidental_crashes_fleet_test : public ::testing::TestWithParam<fleet_case>
{
};

TEST_P(accidental_crashes_fleet_test, RefuseNoRequest)
{
    for (std::uint32_t seed = 1; seed <= seedCount(); ++seed) {
        auto played = GetParam();
        played.deadlyRequests = 0;
        const auto result = fleet(played, seed).play(playedTime);
        const auto told = describe(seed, result);
        RecordProperty("seed " + std::to_string(seed), told);
        if (std::getenv("SEEDS") != nullptr) {
            std::printf("%s\n", told.c_str());
        }
        EXPECT_EQ(result.soundRefused, 0) << told;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Fleets,
    accidental_crashes_fleet_test,
    ::testing::Values(fleet_case{.name = "FortyInTenSeconds", .endpoints = 18, .soundPerSecond = 90, .crashesPerSecond = 4},
                      fleet_case{.name = "FortyInTenSecondsAtManyEntries", .entries = 28, .endpoints = 60, .soundPerSecond = 300, .crashesPerSecond = 4},
                      fleet_case{.name = "ThreeEndpoints", .crashesPerSecond = 0.5},
                      fleet_case{.name = "AllEndpointsTogether", .crashesPerSecond = 0.3, .endpointsPerCrash = 10},
                      fleet_case{.name = "AllEndpointsTogetherAndManyRepeats", .repeatedPerSecond = 200, .crashesPerSecond = 0.3, .endpointsPerCrash = 10},
                      fleet_case{.name = "OneEndpoint", .endpoints = 1, .soundPerSecond = 8, .crashesPerSecond = 0.25},
                      fleet_case{.name = "PersistentCallers", .endpoints = 18, .soundPerSecond = 90, .crashesPerSecond = 2, .callerRetries = 5}),
    [](const auto &tested) { return std::string(tested.param.name); });

} // namespace
} // namespace wisteriashunt

// Tests of how long removals are held after the log was away, against the bounds that the platform states.
#include "fault_proxy.h"
#include "gateway/list_timing.h"
#include "gateway_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace wisteriashunt::testing
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds heartbeat{1200};
/// Heartbeats of silence after which a record expires.
constexpr int heartbeatsToExpiry = 3;
/// Period of the entry's ticks, and of its looks at the age of what a relay has told.
constexpr milliseconds tick{100};
constexpr milliseconds check{50};
/// Answer of a log that is not slow, over a link of 10 Mbit/s.
constexpr milliseconds answer{20};

/// Bounds of a deployment: when a removal must be in force, and for how long an entry counts as disturbed after its links were.
struct deployment_bounds
{
    milliseconds drain;
    milliseconds disturbed;
};

constexpr std::array deployments{deployment_bounds{milliseconds(2000), milliseconds(3000)},
                                 deployment_bounds{milliseconds(3000), milliseconds(4000)},
                                 deployment_bounds{milliseconds(4000), milliseconds(5000)}};

TEST(list_timing_test, RemovalsTakeEffectWithinTheDrainTimeoutOnEachPath)
{
    for (const auto &bounds : deployments) {
        const auto timing = listTimingOf(bounds.drain, heartbeat);
        EXPECT_LT(timing.period + answer, bounds.drain) << "read by the entry";
        EXPECT_LT(timing.period + answer + timing.relayPeriod + tick + answer, bounds.drain) << "followed through a relay";
        EXPECT_LT(timing.maxRelayedAge + check + answer, bounds.drain) << "after the relay ended";
        EXPECT_LT(timing.period + timing.timeout + timing.initialBackoff + answer, bounds.disturbed) << "over a connection that has gone silent";
    }
}

TEST(list_timing_test, AHoldEndsWhileAnEntryThatWasCutOffCountsAsDisturbed)
{
    for (const auto &bounds : deployments) {
        const auto timing = listTimingOf(bounds.drain, heartbeat);
        EXPECT_LE(timing.outages.recovery + tick, bounds.disturbed);
        const auto quietWhenSilent = timing.period + timing.timeout + timing.initialBackoff + answer;
        const bool isTakenForOutage = quietWhenSilent >= timing.outages.minOutage;
        EXPECT_TRUE(!isTakenForOutage || timing.period + timing.outages.recovery + tick <= bounds.disturbed)
            << "a connection that went silent just after a reading";
    }
}

TEST(list_timing_test, AHoldLastsUntilLiveEndpointsAreBackAndWereRead)
{
    for (const auto &bounds : deployments) {
        const auto timing = listTimingOf(bounds.drain, heartbeat);
        const auto returnBeforeFirstAnswer = timing.connectTimeout + timing.maxBackoff;
        EXPECT_GE(timing.outages.recovery, reregistrationTime + timing.holdPeriod + returnBeforeFirstAnswer);
    }
}

/// The list of one entry, whose readings fail in some spans, on virtual time.
class read_schedule
{
public:
    explicit read_schedule(const list_timing &timing)
        : m_timing(timing)
        , m_watch(timing.outages)
    {
    }

    /// The log is away, or this entry is cut off from it, in the span.
    void setAway(duration from, duration to)
    {
        m_awayFrom = time_point(from);
        m_awayTo = time_point(to);
    }
    /// A peer that reads the log tells this entry of its answers.
    void setHasPeer()
    {
        m_hasPeer = true;
    }

    /// The time at which a removal takes effect that the log executes at a time.
    time_point effectOf(time_point removal, time_point phase = {})
    {
        for (time_point now = phase;;) {
            if (isAway(now)) {
                m_watch.onFailure(now);
                now += m_timing.connectTimeout + m_backoff;
                m_backoff = std::min(m_timing.maxBackoff, 2 * m_backoff);
                if (m_hasPeer) {
                    m_watch.onAnswerElsewhere(now - m_timing.period);
                }
                continue;
            }
            m_backoff = m_timing.initialBackoff;
            m_watch.onAnswer(now);
            if (now >= removal) {
                return std::max(now, m_watch.heldUntil()) + tick;
            }
            now += m_timing.period;
        }
    }

private:
    [[nodiscard]] bool isAway(time_point now) const
    {
        return m_awayFrom <= now && now < m_awayTo;
    }

    list_timing m_timing;
    outage_watch m_watch;
    duration m_backoff{m_timing.initialBackoff};
    time_point m_awayFrom;
    time_point m_awayTo;
    bool m_hasPeer = false;
};

TEST(removal_hold_test, AnEntryThatWasCutOffObeysARemovalWithinTheBoundsAtEachPhaseOfItsRetries)
{
    for (const auto &bounds : deployments) {
        const auto timing = listTimingOf(bounds.drain, heartbeat);
        for (milliseconds cut{300}; cut <= milliseconds(5500); cut += milliseconds(100)) {
            for (milliseconds phase{0}; phase < timing.period; phase += milliseconds(20)) {
                for (milliseconds removed{-2000}; removed <= milliseconds(3000); removed += milliseconds(250)) {
                    for (const bool hasPeer : {false, true}) {
                        const auto cutEnd = seconds(10) + cut;
                        read_schedule entry(timing);
                        entry.setAway(seconds(10), cutEnd);
                        if (hasPeer) {
                            entry.setHasPeer();
                        }
                        const auto removal = time_point(cutEnd + removed);
                        const auto due = std::max(removal + bounds.drain, time_point(cutEnd) + bounds.disturbed);
                        ASSERT_LE(entry.effectOf(removal, time_point(phase)), due) << "cut of " << cut.count() << " ms, phase " << phase.count()
                                                                                   << " ms, removed " << removed.count() << " ms after it, peer " << hasPeer;
                    }
                }
            }
        }
    }
}

TEST(removal_hold_test, ALiveEndpointStaysInUseUntilItIsBackAfterAnOutage)
{
    for (const auto &bounds : deployments) {
        const auto timing = listTimingOf(bounds.drain, heartbeat);
        for (const seconds outage : {seconds(1), seconds(3), seconds(5), seconds(20)}) {
            for (milliseconds phase{0}; phase < timing.period; phase += milliseconds(20)) {
                const auto logReturn = seconds(10) + outage;
                read_schedule entry(timing);
                entry.setAway(seconds(10), logReturn);
                // A record expires while the log is away, or when the log is back and misses its heartbeats.
                const bool canExpire = outage >= (heartbeatsToExpiry - 1) * heartbeat;
                const auto effect = entry.effectOf(time_point(logReturn), time_point(phase));
                if (canExpire) {
                    EXPECT_GE(effect, time_point(logReturn) + reregistrationTime + timing.holdPeriod)
                        << outage.count() << " s, phase " << phase.count() << " ms";
                } else {
                    EXPECT_LE(effect, time_point(logReturn) + bounds.drain) << "nothing expires in so short an outage";
                }
            }
        }
    }
}

TEST(outage_watch_test, APeersAnswersShowThatTheLogWasThere)
{
    outage_watch watch;
    const auto at = [](int after) { return time_point(seconds(100) + milliseconds(after)); };
    watch.onAnswer(at(0));
    for (int now = 700; now < 5000; now += 500) {
        watch.onFailure(at(now));
        watch.onAnswerElsewhere(at(now - 100));
    }
    watch.onAnswer(at(5000));
    EXPECT_LE(watch.heldUntil(), at(5000));
}

TEST(outage_watch_test, AHoldIsAdoptedFromAnotherEntryAndNeverShortened)
{
    outage_watch watch;
    watch.onHoldElsewhere(time_point(seconds(9)));
    watch.onHoldElsewhere(time_point(seconds(8)));
    watch.onAnswer(time_point(seconds(7)));
    EXPECT_EQ(watch.heldUntil(), time_point(seconds(9)));
}

/// An entry that reads the log through a proxy.
class removal_at_entry_test : public gateway_test
{
protected:
    void SetUp() override
    {
        for (const std::string body : {"leaves", "stays"}) {
            m_endpoints.push_back(std::make_unique<loopback_server>([body](const received_request &got) { return ok(got, body); }));
            m_log.putEndpoint("e" + std::to_string(m_endpoints.size() - 1), m_endpoints.back()->port());
        }
        launch(settingsForTests(m_ports, m_logLink.port()));
        waitUntilReady(m_ports.readiness);
    }

    /// Calls for the time and returns when the endpoint that leaves was last asked.
    std::chrono::steady_clock::time_point callFor(milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        auto lastAsked = std::chrono::steady_clock::time_point{};
        for (auto now = std::chrono::steady_clock::now(); now < end; now = std::chrono::steady_clock::now()) {
            const auto reply = callOnce(request("/read/1"));
            EXPECT_NE(reply.find(" 200 "), std::string::npos) << reply;
            if (reply.find("leaves") != std::string::npos) {
                lastAsked = now;
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
        return lastAsked;
    }

    fault_proxy m_logLink{m_log.port()};
};

// After a connection to the log had gone silent, an entry took each removal for an expiry and sent requests to the endpoint until it ended.
TEST_F(removal_at_entry_test, OneSilentConnectionIsNoOutage)
{
    static_cast<void>(callFor(milliseconds(800)));
    const auto silentSince = std::chrono::steady_clock::now();
    m_logLink.silenceOpenConnections();
    static_cast<void>(callFor(milliseconds(900)));
    m_log.dropEndpoint("e0");
    const auto removal = std::chrono::steady_clock::now();
    const auto due = std::max(removal + milliseconds(2000), silentSince + milliseconds(3000));
    EXPECT_LE(callFor(milliseconds(4000)), due);
}

TEST_F(removal_at_entry_test, EndpointsWhoseRecordsExpiredInAnOutageStayInUseUntilTheyAreBack)
{
    static_cast<void>(callFor(milliseconds(800)));
    m_logLink.set(link_state::reset);
    static_cast<void>(callFor(milliseconds(3200)));
    m_log.dropEndpoint("e0");
    m_log.dropEndpoint("e1");
    m_logLink.set(link_state::up);
    static_cast<void>(callFor(milliseconds(1900)));
    m_log.putEndpoint("e1", m_endpoints[1]->port());
    const auto back = std::chrono::steady_clock::now();
    EXPECT_LE(callFor(milliseconds(2000)), back + milliseconds(1200)) << "the endpoint that does not return is gone";
}

} // namespace
} // namespace wisteriashunt::testing

// Tests what an entry knows of the limits on requests per second that endpoints declare.
#include "dispatch/endpoint_rate_limits.h"

#include <gtest/gtest.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace wisteriashunt
{
namespace
{

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds(1000)};

endpoint_record engine(std::int64_t startedAt = 1)
{
    return {.id = "e", .service = "model", .startedAtMilliseconds = startedAt};
}

/// Sends a request whenever one is permitted. Calls the hook before each try. Returns the number of requests.
int sendAllThatIsPermitted(endpoint_rate_limits &limits, duration time, const std::function<void(time_point)> &beforeTry)
{
    int sent = 0;
    for (auto now = start; now < start + time; now += milliseconds(5)) {
        beforeTry(now);
        if (limits.hasPermit(engine(), 0, now)) {
            limits.onSent(engine(), now);
            ++sent;
        }
    }
    return sent;
}

TEST(endpoint_rate_limits_test, KnowsTheLimitOfTheNewestAnswer)
{
    endpoint_rate_limits limits;
    EXPECT_EQ(limits.limitOf(engine()), std::nullopt);
    limits.onAnswer(engine(), 2.5, start, start);
    limits.onAnswer(engine(), 4, start - milliseconds(1), start + milliseconds(10));
    EXPECT_EQ(limits.limitOf(engine()), 2.5) << "the request was sent before the limit was known, so its answer may be older";
    const auto change = limits.onAnswer(engine(), 4, start + milliseconds(20), start + milliseconds(30));
    EXPECT_EQ(change, (rate_limit_change{.endpointId = "e", .before = 2.5, .after = 4, .age = milliseconds(30)}));
    EXPECT_EQ(limits.limitOf(engine()), 4);
}

TEST(endpoint_rate_limits_test, AnAnswerToAnEarlierRequestMayLowerALimitOnly)
{
    endpoint_rate_limits limits;
    limits.onAnswer(engine(), 2.5, start, start + milliseconds(10));
    limits.onAnswer(engine(), 1, start, start + milliseconds(20));
    EXPECT_EQ(limits.limitOf(engine()), 1);
    limits.onAnswer(engine(), std::nullopt, start, start + milliseconds(30));
    EXPECT_EQ(limits.limitOf(engine()), 1);
}

TEST(endpoint_rate_limits_test, AnAnswerWithoutALimitWithdrawsIt)
{
    endpoint_rate_limits limits;
    limits.onAnswer(engine(), 2.5, start, start + milliseconds(10));
    limits.onAnswer(engine(), std::nullopt, start + milliseconds(10), start + milliseconds(20));
    EXPECT_EQ(limits.limitOf(engine()), std::nullopt);
    EXPECT_EQ(limits.limitedEndpoints(), 0U);
}

TEST(endpoint_rate_limits_test, ANewIncarnationHasNoLimit)
{
    endpoint_rate_limits limits;
    limits.onAnswer(engine(1), 2.5, start, start);
    EXPECT_EQ(limits.limitOf(engine(2)), std::nullopt);
    limits.onAnswer(engine(2), 5, start, start + milliseconds(10));
    limits.onAnswer(engine(1), 1, start, start + milliseconds(20));
    EXPECT_EQ(limits.limitOf(engine(2)), 5) << "an answer of the earlier incarnation came late";
}

TEST(endpoint_rate_limits_test, LearnsOfLimitsFromPeersByTheirAge)
{
    endpoint_roster roster;
    roster.apply(engine());
    endpoint_rate_limits informed;
    endpoint_rate_limits other;
    informed.onAnswer(engine(), 2.5, start, start);
    const auto changes = other.onPeerDigest("a", informed.digest(roster, start + milliseconds(50)), start + milliseconds(50));
    EXPECT_EQ(changes, (std::vector<rate_limit_change>{{.endpointId = "e", .after = 2.5}}));
    other.onAnswer(engine(), std::nullopt, start + milliseconds(60), start + milliseconds(70));
    other.onPeerDigest("a", informed.digest(roster, start + milliseconds(80)), start + milliseconds(80));
    EXPECT_EQ(other.limitOf(engine()), std::nullopt) << "the peer's observation is older than the withdrawal";
    informed.onPeerDigest("b", other.digest(roster, start + milliseconds(90)), start + milliseconds(90));
    EXPECT_EQ(informed.limitOf(engine()), std::nullopt) << "the withdrawal reaches the peer";
}

TEST(endpoint_rate_limits_test, ALateAnswerWithoutALimitDoesNotWithdrawWhatAPeerLearntMeanwhile)
{
    endpoint_roster roster;
    roster.apply(engine());
    endpoint_rate_limits slow;
    endpoint_rate_limits informed;
    slow.onAnswer(engine(), 2.5, start, start);
    slow.onAnswer(engine(), std::nullopt, start + milliseconds(10), start + milliseconds(20));
    informed.onAnswer(engine(), 4, start + milliseconds(100), start + milliseconds(130));
    // Sent before the endpoint declared the limit, and answered after a peer had learnt of it.
    slow.onAnswer(engine(), std::nullopt, start + milliseconds(90), start + milliseconds(150));
    informed.onPeerDigest("slow", slow.digest(roster, start + milliseconds(160)), start + milliseconds(160));
    EXPECT_EQ(informed.limitOf(engine()), 4);
    slow.onPeerDigest("informed", informed.digest(roster, start + milliseconds(170)), start + milliseconds(170));
    EXPECT_EQ(slow.limitOf(engine()), 4);
}

TEST(endpoint_rate_limits_test, AnEntryThatKnowsNoPeersTakesASmallShare)
{
    endpoint_rate_limits limits;
    limits.onAnswer(engine(), 80, start, start);
    EXPECT_NEAR(sendAllThatIsPermitted(limits, std::chrono::seconds(10), [](time_point) {}), 100, 2) << "an eighth of 80 a second";
}

TEST(endpoint_rate_limits_test, AnEntryThatLosesItsPeersKeepsItsShareForAWhile)
{
    endpoint_rate_limits limits;
    limits.onAnswer(engine(), 40, start, start);
    for (const std::string peer : {"a", "b", "c"}) {
        limits.onPeerDigest(peer, {}, start);
    }
    const auto arrive = [&limits](time_point now) { limits.onArrival("model", 0, now); };
    EXPECT_NEAR(sendAllThatIsPermitted(limits, std::chrono::seconds(8), arrive), 80, 2) << "a quarter of 40 a second";
}

TEST(endpoint_rate_limits_test, AnEndpointWhoseLimitIsZeroIsStillAskedNowAndThen)
{
    endpoint_rate_limits limits;
    limits.onAnswer(engine(), 0, start, start);
    const auto hearPeer = [&limits](time_point now) { limits.onPeerDigest("a", {}, now); };
    EXPECT_NEAR(sendAllThatIsPermitted(limits, std::chrono::seconds(60), hearPeer), 6, 1) << "half of one request in five seconds, as there are two entries";
}

TEST(endpoint_rate_limits_test, NoEntrySendsMoreWhenPeersHaveUsedUpTheLimit)
{
    endpoint_rate_limits limits;
    limits.onAnswer(engine(), 2, start, start);
    const auto report = [&](std::int64_t sent, time_point now) {
        limits.onPeerDigest("a", {.notices = {{.endpointId = "e", .service = "model", .startedAtMilliseconds = 1, .perSecond = 2, .sent = sent}}}, now);
    };
    const auto canSendWithin = [&](duration time) {
        const auto from = start + std::chrono::seconds(20);
        for (auto now = from; now < from + time; now += milliseconds(20)) {
            report(9, now);
            if (limits.hasPermit(engine(), 0, now)) {
                return true;
            }
        }
        return false;
    };
    EXPECT_FALSE(canSendWithin(std::chrono::seconds(3))) << "the peer sent 9 requests in 4 s";
}

TEST(endpoint_rate_limits_test, ForgetsEndpointsThatAreNoLongerListed)
{
    endpoint_roster roster;
    endpoint_rate_limits limits;
    limits.onAnswer(engine(), 2, start, start);
    static_cast<void>(limits.digest(roster, start + std::chrono::minutes(1)));
    EXPECT_EQ(limits.limitedEndpoints(), 0U);
}

TEST(endpoint_rate_limits_test, DigestsNameManyEndpointsByTurns)
{
    endpoint_roster roster;
    endpoint_rate_limits limits({.maxNotices = 2});
    std::set<std::string> named;
    for (const std::string id : {"a", "b", "c", "d", "e"}) {
        limits.onAnswer({.id = id, .service = "model"}, 1, start, start);
    }
    for (int i = 0; i < 3; ++i) {
        const auto notices = limits.digest(roster, start).notices;
        EXPECT_EQ(notices.size(), 2U);
        for (const auto &notice : notices) {
            named.insert(notice.endpointId);
        }
    }
    EXPECT_EQ(named.size(), 5U);
}

} // namespace
} // namespace wisteriashunt

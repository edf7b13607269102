// Tests which prompts and requests one entry holds for crashes of endpoints.
#include "dispatch/request_fingerprint.h"
#include "dispatch/request_quarantine.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string service = "model";
constexpr std::uint64_t popularPart = 1;
constexpr std::uint64_t deadlyPart = 2;
constexpr std::uint64_t companionPart = 3;

class prompt_quarantine_test : public ::testing::Test
{
protected:
    /// A crash of a further endpoint under one request with these parts, after others were answered.
    void crashUnder(const trait_set &parts, std::uint64_t attempt = 0)
    {
        m_now += seconds(1);
        answerOthers();
        m_quarantine.onCrash(report({{.attempt = attempt == 0 ? ++m_attempts : attempt, .traits = parts}}), m_now);
    }

    void answerOthers()
    {
        for (int i = 0; i < 10; ++i) {
            m_quarantine.onAnswered(service, {popularPart}, m_now);
        }
        m_now += milliseconds(1);
    }

    crash_report report(std::vector<suspect_request> suspects)
    {
        return {.service = service, .endpoint = ++m_endpoints, .suspects = std::move(suspects)};
    }

    quarantine_verdict check(const trait_set &parts) const
    {
        return m_quarantine.check(service, parts, m_now);
    }

    void holdDeadlyPart()
    {
        for (int i = 0; i < 3; ++i) {
            crashUnder({popularPart, deadlyPart});
        }
    }

    time_point m_now{seconds(1000)};
    request_quarantine m_quarantine;
    std::uint64_t m_attempts = 0;
    std::uint64_t m_endpoints = 0;
};

TEST_F(prompt_quarantine_test, HoldsThePartThatThreeSeparateCrashesImplicate)
{
    crashUnder({popularPart, deadlyPart});
    crashUnder({popularPart, deadlyPart});
    EXPECT_EQ(check({popularPart, deadlyPart}), quarantine_verdict::free) << "two crashes";
    crashUnder({popularPart, deadlyPart});
    EXPECT_EQ(check({popularPart, deadlyPart}), quarantine_verdict::held) << "three crashes";
    EXPECT_EQ(check({popularPart, companionPart}), quarantine_verdict::free);
}

TEST_F(prompt_quarantine_test, DoesNotHoldForCrashesOfManyEndpointsAtOnce)
{
    answerOthers();
    for (int i = 0; i < 10; ++i) {
        m_quarantine.onCrash(report({{.attempt = ++m_attempts, .traits = {deadlyPart}}}), m_now + milliseconds(i));
    }
    EXPECT_EQ(check({deadlyPart}), quarantine_verdict::free);
}

TEST_F(prompt_quarantine_test, DoesNotHoldForOneRequestThatIsRepeated)
{
    for (int i = 0; i < 4; ++i) {
        crashUnder({deadlyPart}, 7);
    }
    EXPECT_EQ(check({deadlyPart}), quarantine_verdict::free);
}

TEST_F(prompt_quarantine_test, DoesNotHoldWhileTheServiceAnswersNothing)
{
    for (int i = 0; i < 10; ++i) {
        m_now += seconds(1);
        m_quarantine.onCrash(report({{.attempt = ++m_attempts, .traits = {popularPart}}}), m_now);
    }
    EXPECT_EQ(check({popularPart}), quarantine_verdict::free);
}

TEST_F(prompt_quarantine_test, AnAnswerClearsItsParts)
{
    crashUnder({deadlyPart});
    crashUnder({deadlyPart});
    m_quarantine.onAnswered(service, {deadlyPart}, m_now);
    crashUnder({deadlyPart});
    crashUnder({deadlyPart});
    EXPECT_EQ(check({deadlyPart}), quarantine_verdict::free);
}

TEST_F(prompt_quarantine_test, AnAnswerOfAnotherServiceClearsNothing)
{
    holdDeadlyPart();
    m_quarantine.onAnswered("other", {deadlyPart}, m_now);
    EXPECT_EQ(check({deadlyPart}), quarantine_verdict::held);
    EXPECT_EQ(m_quarantine.check("other", {deadlyPart}, m_now), quarantine_verdict::free);
}

TEST_F(prompt_quarantine_test, HoldsPartsThatTheSameCrashesImplicateOnlyTogether)
{
    for (int i = 0; i < 3; ++i) {
        crashUnder({deadlyPart, companionPart});
    }
    EXPECT_EQ(check({deadlyPart, companionPart}), quarantine_verdict::held);
    EXPECT_EQ(check({companionPart}), quarantine_verdict::free);
    m_quarantine.onAnswered(service, {companionPart}, m_now);
    EXPECT_EQ(check({deadlyPart}), quarantine_verdict::held) << "the companion was answered";
}

TEST_F(prompt_quarantine_test, AFurtherCrashTellsPartsApart)
{
    for (int i = 0; i < 3; ++i) {
        crashUnder({deadlyPart, companionPart});
    }
    crashUnder({deadlyPart});
    EXPECT_EQ(check({deadlyPart}), quarantine_verdict::held);
    EXPECT_EQ(check({companionPart}), quarantine_verdict::free);
}

TEST_F(prompt_quarantine_test, CrashesUnderHeldPartsDoNotImplicateOthers)
{
    holdDeadlyPart();
    constexpr std::uint64_t besidePart = 9;
    for (int i = 0; i < 5; ++i) {
        m_now += seconds(1);
        answerOthers();
        m_quarantine.onCrash(report({{.attempt = ++m_attempts, .traits = {deadlyPart}}, {.attempt = ++m_attempts, .traits = {besidePart}}}), m_now);
    }
    EXPECT_EQ(check({besidePart}), quarantine_verdict::free);
    EXPECT_TRUE(m_quarantine.mayRepeat(service, {besidePart}));
}

TEST_F(prompt_quarantine_test, HoldsTwoDeadlyPartsApart)
{
    constexpr std::uint64_t secondDeadlyPart = 8;
    for (int i = 0; i < 4; ++i) {
        crashUnder({popularPart, deadlyPart});
        crashUnder({popularPart, secondDeadlyPart});
    }
    EXPECT_EQ(check({deadlyPart}), quarantine_verdict::held);
    EXPECT_EQ(check({secondDeadlyPart}), quarantine_verdict::held);
    EXPECT_EQ(m_quarantine.heldCombinations(), 2U);
}

TEST_F(prompt_quarantine_test, DoesNotRepeatARequestAfterTwoSeparateCrashes)
{
    crashUnder({deadlyPart});
    EXPECT_TRUE(m_quarantine.mayRepeat(service, {deadlyPart}));
    crashUnder({deadlyPart});
    EXPECT_FALSE(m_quarantine.mayRepeat(service, {deadlyPart}));
    EXPECT_EQ(check({deadlyPart}), quarantine_verdict::free) << "a new request may still be sent";
}

TEST_F(prompt_quarantine_test, TriesOneRequestAndFreesItsPartsWhenItIsAnswered)
{
    holdDeadlyPart();
    EXPECT_EQ(m_quarantine.untilTrial(service, {deadlyPart}, m_now), request_quarantine_options{}.firstTrialAfter);
    m_now += request_quarantine_options{}.firstTrialAfter;
    EXPECT_EQ(check({deadlyPart}), quarantine_verdict::trial);
    m_quarantine.onTrial(service, {deadlyPart}, m_now);
    EXPECT_EQ(check({deadlyPart}), quarantine_verdict::held) << "one trial at a time";
    m_quarantine.onAnswered(service, {deadlyPart}, m_now);
    EXPECT_EQ(check({deadlyPart}), quarantine_verdict::free);
}

TEST_F(prompt_quarantine_test, WaitsLongerAfterEachTrialThatCrashesAnEndpoint)
{
    const request_quarantine_options options;
    holdDeadlyPart();
    duration expected = options.trialPause;
    for (int trial = 0; trial < 2; ++trial) {
        m_now += m_quarantine.untilTrial(service, {deadlyPart}, m_now);
        m_quarantine.onTrial(service, {deadlyPart}, m_now);
        m_quarantine.onCrash(report({{.attempt = ++m_attempts, .traits = {deadlyPart}}}), m_now += milliseconds(100));
        expected *= options.trialBackoff;
        EXPECT_EQ(m_quarantine.untilTrial(service, {deadlyPart}, m_now), expected) << "after trial " << trial;
    }
}

TEST_F(prompt_quarantine_test, TriesAgainWhenATrialHasNoResult)
{
    holdDeadlyPart();
    m_now += request_quarantine_options{}.firstTrialAfter;
    m_quarantine.onTrial(service, {deadlyPart}, m_now);
    m_now += request_quarantine_options{}.trialTimeout;
    EXPECT_EQ(check({deadlyPart}), quarantine_verdict::trial);
}

TEST_F(prompt_quarantine_test, ForgetsCrashesAfterAWhile)
{
    crashUnder({deadlyPart});
    crashUnder({deadlyPart});
    m_now += request_quarantine_options{}.memory;
    crashUnder({deadlyPart});
    EXPECT_EQ(check({deadlyPart}), quarantine_verdict::free);
}

TEST_F(prompt_quarantine_test, TellsPeersOfCrashesClearancesAndHeldParts)
{
    holdDeadlyPart();
    EXPECT_TRUE(m_quarantine.hasNews());
    const auto told = m_quarantine.digest(m_now);
    EXPECT_FALSE(m_quarantine.hasNews());
    request_quarantine peer;
    peer.onPeerDigest(told, m_now);
    EXPECT_EQ(peer.check(service, {deadlyPart}, m_now), quarantine_verdict::held);
    peer.onAnswered(service, {deadlyPart}, m_now + milliseconds(1));
    m_quarantine.onPeerDigest(peer.digest(m_now + milliseconds(2)), m_now + milliseconds(2));
    EXPECT_EQ(check({deadlyPart}), quarantine_verdict::free);
}

TEST_F(prompt_quarantine_test, AnEntryThatHasJustStartedLearnsOfHeldPartsFromAPeer)
{
    holdDeadlyPart();
    for (int i = 0; i < 20; ++i) {
        static_cast<void>(m_quarantine.digest(m_now));
    }
    m_now += request_quarantine_options{}.heldPeriod;
    request_quarantine restarted;
    restarted.onPeerDigest(m_quarantine.digest(m_now), m_now);
    EXPECT_EQ(restarted.check(service, {deadlyPart}, m_now), quarantine_verdict::held);
}

TEST_F(prompt_quarantine_test, ALateDigestDoesNotHoldWhatWasAnsweredSince)
{
    holdDeadlyPart();
    const auto late = m_quarantine.digest(m_now);
    m_now += seconds(1);
    m_quarantine.onAnswered(service, {deadlyPart}, m_now);
    auto aged = late;
    for (auto &held : aged.held) {
        held.age += seconds(1) + milliseconds(5);
    }
    m_quarantine.onPeerDigest(aged, m_now + milliseconds(5));
    EXPECT_EQ(check({deadlyPart}), quarantine_verdict::free);
}

TEST_F(prompt_quarantine_test, CountsACrashThatSeveralEntriesSawOnce)
{
    answerOthers();
    const auto seen = report({{.attempt = 1, .traits = {deadlyPart}}});
    m_quarantine.onCrash(seen, m_now);
    for (int peer = 0; peer < 5; ++peer) {
        m_now += seconds(1);
        auto told = seen;
        told.age = seconds(peer + 1);
        told.suspects.front().attempt = static_cast<std::uint64_t>(10 + peer);
        m_quarantine.onPeerDigest({.crashes = {told}}, m_now);
    }
    EXPECT_TRUE(m_quarantine.mayRepeat(service, {deadlyPart}));
}

TEST_F(prompt_quarantine_test, KeepsNoMoreThanItsLimits)
{
    for (std::uint64_t part = 100; part < 1100; ++part) {
        for (int i = 0; i < 3; ++i) {
            crashUnder({part});
        }
    }
    EXPECT_LE(m_quarantine.heldCombinations(), request_quarantine_options{}.maxHeld);
}

constexpr request_trait deadlyRequest{trait_kind::whole_request, 77};
constexpr request_trait frequentRequest{trait_kind::whole_request, 78};

/// Whole requests of a service whose endpoints crash within milliseconds of each other and answer nothing meanwhile.
class request_quarantine_test : public ::testing::Test
{
protected:
    void crashUnder(std::vector<request_trait> requests, milliseconds after = milliseconds(60))
    {
        m_now += after;
        crash_report seen{.service = service, .endpoint = ++m_endpoints};
        for (const auto request : requests) {
            seen.suspects.push_back({.attempt = ++m_attempts, .traits = {request}});
        }
        m_quarantine.onCrash(seen, m_now);
    }

    void holdDeadlyRequest()
    {
        for (int i = 0; i < 3; ++i) {
            crashUnder({deadlyRequest});
        }
    }

    quarantine_verdict check(request_trait request) const
    {
        return m_quarantine.check(service, {request}, m_now);
    }

    time_point m_now{seconds(1000)};
    request_quarantine m_quarantine;
    std::uint64_t m_attempts = 0;
    std::uint64_t m_endpoints = 0;
};

TEST_F(request_quarantine_test, HoldsARequestAfterThreeCrashesAlthoughNothingIsAnswered)
{
    crashUnder({deadlyRequest});
    crashUnder({deadlyRequest});
    EXPECT_EQ(check(deadlyRequest), quarantine_verdict::free) << "two crashes";
    crashUnder({deadlyRequest});
    EXPECT_EQ(check(deadlyRequest), quarantine_verdict::held);
    EXPECT_TRUE(m_quarantine.isWholeRequestHeld(service, {deadlyRequest, popularPart}));
    EXPECT_EQ(check(frequentRequest), quarantine_verdict::free);
    EXPECT_EQ(m_quarantine.heldCombinations(trait_kind::whole_request), 1U);
    EXPECT_EQ(m_quarantine.heldCombinations(trait_kind::prompt_part), 0U);
}

TEST_F(request_quarantine_test, SendsARequestNoSecondTimeAfterAnEndpointHasCrashedUnderIt)
{
    EXPECT_TRUE(m_quarantine.mayRepeat(service, {deadlyRequest}));
    crashUnder({deadlyRequest});
    EXPECT_FALSE(m_quarantine.mayRepeat(service, {deadlyRequest}));
    m_quarantine.onAnswered(service, {deadlyRequest}, m_now);
    EXPECT_TRUE(m_quarantine.mayRepeat(service, {deadlyRequest}));
}

TEST_F(request_quarantine_test, DoesNotHoldAnAnsweredRequestThatSharesTheCrashesOfAnother)
{
    m_quarantine.onAnswered(service, {frequentRequest}, m_now);
    for (int i = 0; i < 3; ++i) {
        crashUnder({deadlyRequest, frequentRequest});
    }
    EXPECT_EQ(check(deadlyRequest), quarantine_verdict::held);
    EXPECT_EQ(check(frequentRequest), quarantine_verdict::free);
}

TEST_F(request_quarantine_test, HoldsAnAnsweredRequestOnlyAfterSeparateCrashes)
{
    m_quarantine.onAnswered(service, {frequentRequest}, m_now);
    for (int i = 0; i < 5; ++i) {
        crashUnder({frequentRequest}, milliseconds(1));
    }
    EXPECT_EQ(check(frequentRequest), quarantine_verdict::free) << "endpoints that end together";
    for (int i = 0; i < 3; ++i) {
        crashUnder({frequentRequest});
    }
    EXPECT_EQ(check(frequentRequest), quarantine_verdict::held);
}

TEST_F(request_quarantine_test, HoldsTwoDeadlyRequestsThatComeTogether)
{
    constexpr request_trait other{trait_kind::whole_request, 79};
    crashUnder({deadlyRequest});
    for (int i = 0; i < 3; ++i) {
        crashUnder({deadlyRequest, other});
    }
    EXPECT_EQ(check(deadlyRequest), quarantine_verdict::held);
    EXPECT_EQ(check(other), quarantine_verdict::held);
}

TEST_F(request_quarantine_test, TriesAHeldRequestAtMostThreeTimes)
{
    const request_quarantine_options options;
    holdDeadlyRequest();
    for (int trial = 0; trial < options.maxTrials; ++trial) {
        m_now += m_quarantine.untilTrial(service, {deadlyRequest}, m_now);
        ASSERT_EQ(check(deadlyRequest), quarantine_verdict::trial) << "trial " << trial;
        m_quarantine.onTrial(service, {deadlyRequest}, m_now);
        EXPECT_EQ(check(deadlyRequest), quarantine_verdict::held) << "one trial at a time";
        crashUnder({deadlyRequest});
    }
    EXPECT_GE(m_quarantine.untilTrial(service, {deadlyRequest}, m_now), options.longestHold);
}

TEST_F(request_quarantine_test, PeersThatWaitForTheirTurnDoNotPostponeATrial)
{
    request_quarantine peer;
    holdDeadlyRequest();
    const auto due = m_now + m_quarantine.untilTrial(service, {deadlyRequest}, m_now);
    for (; m_now < due; m_now += milliseconds(20)) {
        peer.onPeerDigest(m_quarantine.digest(m_now), m_now);
        m_quarantine.onPeerDigest({.held = peer.held(m_now)}, m_now);
    }
    m_now = due;
    EXPECT_EQ(check(deadlyRequest), quarantine_verdict::trial);
}

TEST_F(request_quarantine_test, APeerThatAnsweredTheRequestBeforeEndsItsHold)
{
    request_quarantine peer;
    peer.onAnswered(service, {frequentRequest}, m_now);
    for (int i = 0; i < 3; ++i) {
        crashUnder({deadlyRequest, frequentRequest});
    }
    EXPECT_EQ(check(frequentRequest), quarantine_verdict::held) << "never answered here";
    peer.onPeerDigest(m_quarantine.digest(m_now), m_now);
    EXPECT_EQ(peer.check(service, {frequentRequest}, m_now), quarantine_verdict::free);
    EXPECT_EQ(peer.check(service, {deadlyRequest}, m_now), quarantine_verdict::held);
    m_quarantine.onPeerDigest(peer.digest(m_now), m_now);
    EXPECT_EQ(check(frequentRequest), quarantine_verdict::free);
    EXPECT_EQ(check(deadlyRequest), quarantine_verdict::held);
}

TEST_F(request_quarantine_test, AnOperatorFreesARequestAtAllEntries)
{
    request_quarantine peer;
    holdDeadlyRequest();
    const auto late = m_quarantine.digest(m_now);
    peer.onPeerDigest(late, m_now);
    EXPECT_FALSE(m_quarantine.freeByOperator(frequentRequest, m_now)) << "not held";
    m_now += milliseconds(10);
    EXPECT_TRUE(m_quarantine.freeByOperator(deadlyRequest, m_now));
    EXPECT_EQ(check(deadlyRequest), quarantine_verdict::free);
    m_quarantine.onPeerDigest(late, m_now);
    EXPECT_EQ(check(deadlyRequest), quarantine_verdict::free) << "a peer tells that it holds the request before it hears that it is free";
    peer.onPeerDigest(m_quarantine.digest(m_now), m_now);
    EXPECT_EQ(peer.check(service, {deadlyRequest}, m_now), quarantine_verdict::free);
}

TEST(request_fingerprint_test, IsTheSameForRepeatsOfARequestOnly)
{
    const request_identity original{.method = "POST", .target = "/book?day=1", .workspace = "north", .body = "twelve bytes"};
    EXPECT_EQ(fingerprintOf(original), fingerprintOf({.method = "POST", .target = "/book?day=1", .workspace = "north", .body = "twelve bytes"}));
    const std::vector<request_identity> others{{.method = "PUT", .target = "/book?day=1", .workspace = "north", .body = "twelve bytes"},
                                               {.method = "POST", .target = "/book?day=2", .workspace = "north", .body = "twelve bytes"},
                                               {.method = "POST", .target = "/book?day=1", .workspace = "south", .body = "twelve bytes"},
                                               {.method = "POST", .target = "/book?day=1", .workspace = "north", .body = "twelve bytez"},
                                               {.method = "POST", .target = "/book?day=1", .workspace = "north", .body = ""},
                                               {.method = "POST", .target = "/book?day=1n", .workspace = "orth", .body = "twelve bytes"}};
    for (const auto &other : others) {
        EXPECT_NE(fingerprintOf(original), fingerprintOf(other)) << other.method << " " << other.target << " " << other.workspace << " " << other.body;
    }
}

} // namespace
} // namespace wisteriashunt

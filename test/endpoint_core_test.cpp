// Tests the scheduling logic of an endpoint process.
#include "endpoint/endpoint_core.h"

#include "support.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

using testing::makeAttempt;
using testing::makeClass;
using testing::makeState;
using testing::startOfTime;

constexpr peer_id entryPeer = 1;
constexpr std::uint64_t incarnation = 42;

class endpoint_core_test : public ::testing::Test
{
protected:
    endpoint_core_test()
    {
        handle(configuration_changed{makeState({makeClass("high", 1), makeClass("low", 3)})});
    }

    std::vector<endpoint_action> handle(const endpoint_event &event)
    {
        return m_core.handle(m_now, event);
    }

    std::vector<endpoint_action> reserveWork(std::uint64_t sequence, const std::string &className = "high", bool idempotent = true)
    {
        return handle(peer_message{entryPeer, reserve{.id = makeAttempt(sequence), .className = className, .workspaceName = "w", .idempotent = idempotent}});
    }

    std::vector<endpoint_action> startWork(std::uint64_t sequence, bool idempotent = true, std::uint64_t namedIncarnation = incarnation)
    {
        return handle(
            peer_message{entryPeer, start{.id = makeAttempt(sequence), .endpointIncarnation = namedIncarnation, .streaming = true, .idempotent = idempotent}});
    }

    /// Starts an attempt in each of the two slots.
    void fillAllSlots()
    {
        for (std::uint64_t i = 100; i < 102; ++i) {
            reserveWork(i);
            startWork(i);
        }
    }

    template<typename T>
    static std::vector<T> sent(const std::vector<endpoint_action> &actions)
    {
        return testing::sent<T, send_to_peer>(actions);
    }

    time_point m_now = startOfTime;
    endpoint_core m_core{
        endpoint_core_options{.endpointName = "e1", .incarnation = incarnation, .limiter = {.initial = 2, .minimum = 2, .maximum = 2}, .ledger = {}}};
};

TEST_F(endpoint_core_test, OffersAFreeSlotAtOnce)
{
    EXPECT_EQ(sent<offer>(reserveWork(1)).size(), 1U);
}

TEST_F(endpoint_core_test, ReportsWorkAsQueuedWhenNoSlotIsFree)
{
    fillAllSlots();
    const auto actions = reserveWork(1);
    EXPECT_EQ(sent<queued>(actions).size(), 1U);
    EXPECT_TRUE(sent<offer>(actions).empty());
}

TEST_F(endpoint_core_test, OffersAFreedSlotToTheHighestTier)
{
    fillAllSlots();
    reserveWork(1, "low");
    reserveWork(2, "high");
    const auto offers = sent<offer>(handle(upstream_finished{finished{.id = makeAttempt(100), .httpStatus = 200}}));
    ASSERT_EQ(offers.size(), 1U);
    EXPECT_EQ(offers[0].id, makeAttempt(2));
}

TEST_F(endpoint_core_test, RefusesAStartWithoutAnOffer)
{
    const auto actions = startWork(1);
    EXPECT_EQ(sent<refused>(actions).size(), 1U);
    EXPECT_TRUE(testing::actionsOfType<start_upstream>(actions).empty());
}

TEST_F(endpoint_core_test, RecordsTheWaitingCountsOfTheOfferWithTheStart)
{
    reserveWork(1, "low");
    reserveWork(2, "low");
    reserveWork(3, "high");
    const auto decisions = testing::actionsOfType<decision>(startWork(1));
    ASSERT_EQ(decisions.at(0).event, event_number::attempt_started);
    EXPECT_EQ(decisions.at(0).waiting[0], 0U) << "the higher-tier work arrived after the offer";
}

TEST_F(endpoint_core_test, RefusesAStartThatNamesAnOlderIncarnation)
{
    reserveWork(1);
    const auto actions = startWork(1, true, incarnation - 1);
    EXPECT_EQ(sent<refused>(actions).size(), 1U);
    EXPECT_TRUE(testing::actionsOfType<start_upstream>(actions).empty());
}

TEST_F(endpoint_core_test, RefusesAStartFromAPeerThatHoldsNoOffer)
{
    reserveWork(1);
    const auto actions = handle(peer_message{entryPeer + 1, start{.id = makeAttempt(1), .endpointIncarnation = incarnation}});
    EXPECT_EQ(sent<refused>(actions).size(), 1U);
    EXPECT_TRUE(testing::actionsOfType<start_upstream>(actions).empty());
}

TEST_F(endpoint_core_test, BarsAnUnstartedAttemptAfterAFateQuery)
{
    reserveWork(1, "high", false);
    const auto answers = sent<fate_answer>(handle(peer_message{entryPeer, fate_query{.id = makeAttempt(1), .endpointIncarnation = incarnation}}));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(static_cast<fate>(answers[0].state), fate::never_started);
    EXPECT_TRUE(testing::actionsOfType<start_upstream>(startWork(1, false)).empty());
}

TEST_F(endpoint_core_test, AnswersFateUnknownForAnotherIncarnation)
{
    const auto answers = sent<fate_answer>(handle(peer_message{entryPeer, fate_query{.id = makeAttempt(1), .endpointIncarnation = incarnation - 1}}));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(static_cast<fate>(answers[0].state), fate::unknown);
}

TEST_F(endpoint_core_test, ExpiresAnOfferThatIsNotAnswered)
{
    reserveWork(1);
    m_now += std::chrono::seconds(1);
    EXPECT_EQ(sent<refused>(handle(tick{})).size(), 1U);
    EXPECT_TRUE(m_core.isIdle());
}

TEST_F(endpoint_core_test, KeepsANonIdempotentAttemptRunningWhenItsEntryIsLost)
{
    reserveWork(1, "high", false);
    startWork(1, false);
    EXPECT_TRUE(testing::actionsOfType<cancel_upstream>(handle(peer_lost{entryPeer})).empty());
    handle(upstream_finished{finished{.id = makeAttempt(1), .httpStatus = 200, .body = "ok"}});
    const auto answers = sent<fate_answer>(handle(peer_message{2, fate_query{.id = makeAttempt(1), .endpointIncarnation = incarnation}}));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].outcome.body, "ok");
}

TEST_F(endpoint_core_test, CancelsAnIdempotentAttemptWhenItsEntryIsLost)
{
    reserveWork(1);
    startWork(1);
    EXPECT_EQ(testing::actionsOfType<cancel_upstream>(handle(peer_lost{entryPeer})).size(), 1U);
}

TEST_F(endpoint_core_test, RefusesNewAndWaitingWorkWhileLeaving)
{
    fillAllSlots();
    reserveWork(1);
    EXPECT_EQ(sent<refused>(handle(leave_requested{})).size(), 1U);
    EXPECT_EQ(sent<refused>(reserveWork(2)).size(), 1U);
    EXPECT_FALSE(m_core.isIdle());
}

TEST_F(endpoint_core_test, RefusesWorkBeforeTheFirstConfiguration)
{
    endpoint_core fresh(endpoint_core_options{.endpointName = "e1"});
    const auto actions = fresh.handle(m_now, peer_message{entryPeer, reserve{.id = makeAttempt(1), .className = "high"}});
    const auto refusals = sent<refused>(actions);
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(static_cast<error_kind>(refusals[0].kind), error_kind::not_ready);
}

TEST_F(endpoint_core_test, IgnoresAnOlderConfiguration)
{
    handle(configuration_changed{makeState({makeClass("new", 1)}, 9)});
    handle(configuration_changed{makeState({makeClass("old", 1)}, 5)});
    EXPECT_EQ(m_core.status(m_now).configuration, 9U);
    EXPECT_NE(m_core.queue().findClass("new"), nullptr);
}

TEST_F(endpoint_core_test, FailsAStalledStream)
{
    reserveWork(1);
    startWork(1);
    m_now += std::chrono::seconds(11);
    const auto actions = handle(tick{});
    EXPECT_EQ(sent<failed>(actions).size(), 1U);
    EXPECT_EQ(testing::actionsOfType<cancel_upstream>(actions).size(), 1U);
}

TEST_F(endpoint_core_test, DoesNotCountANonStreamedAnswerAsFirstTokenTime)
{
    // Non-streamed answers of 8 s exceed the first-token target of 1 s, but must neither lower the limit nor cause a refusal.
    for (std::uint64_t i = 1; i <= 10; ++i) {
        ASSERT_EQ(sent<offer>(reserveWork(i)).size(), 1U) << "request " << i;
        handle(peer_message{entryPeer, start{.id = makeAttempt(i), .endpointIncarnation = incarnation, .streaming = false}});
        m_now += std::chrono::seconds(8);
        handle(upstream_finished{finished{.id = makeAttempt(i), .httpStatus = 200, .body = std::string(800, 'x')}});
        handle(tick{});
    }
    fillAllSlots();
    reserveWork(11);
    EXPECT_TRUE(sent<refused>(handle(tick{})).empty());
}

TEST_F(endpoint_core_test, RefusesRatherThanFailsARequestThatWasNeverSent)
{
    reserveWork(1, "high", false);
    startWork(1, false);
    const auto actions = handle(upstream_failed{.id = makeAttempt(1), .mayHaveBeenSent = false, .detail = "connection refused"});
    EXPECT_EQ(sent<refused>(actions).size(), 1U);
    EXPECT_TRUE(sent<failed>(actions).empty());
}

} // namespace
} // namespace wisteriashunt

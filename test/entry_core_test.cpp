// Tests of entry_core against scripted messages of two endpoint processes.
#include "request/entry_core.h"

#include "support.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

using testing::makeAttempt;
using testing::makeClass;
using testing::makeState;

class entry_core_test : public ::testing::Test
{
protected:
    entry_core_test()
    {
        handle(configuration_changed{makeState({makeClass("chat", 2, 0, {"e1", "e2"})})});
        connect("e1", 1);
        connect("e2", 2);
        handle(tick{});
    }

    void connect(const std::string &name, peer_id peer, std::uint64_t incarnation = 50)
    {
        handle(endpoint_connected{.peer = peer, .name = name, .incarnation = incarnation});
    }

    std::vector<entry_action> handle(const entry_event &event)
    {
        return m_core.handle(m_now, event);
    }

    std::vector<entry_action> arrive(caller_id caller, bool idempotent = true)
    {
        return handle(request_received{
            .caller = caller,
            .request = {.workspaceName = "w", .className = "chat", .method = "POST", .path = chatPath, .streaming = true, .idempotent = idempotent}});
    }

    std::vector<entry_action> receive(peer_id peer, const message &content)
    {
        return handle(peer_message{.peer = peer, .content = content});
    }

    /// Starts a request at the endpoint that gets the first reservation. Returns that endpoint's peer.
    peer_id startAtFirst(caller_id caller, bool idempotent = true)
    {
        const auto sends = testing::actionsOfType<send_to_peer>(arrive(caller, idempotent));
        EXPECT_EQ(sends.size(), 1U);
        const peer_id peer = sends.at(0).peer;
        EXPECT_EQ(sent<start>(receive(peer, offer{.id = makeAttempt(caller), .endpointIncarnation = 50})).size(), 1U);
        return peer;
    }

    template<typename T>
    static std::vector<T> sent(const std::vector<entry_action> &actions)
    {
        return testing::sent<T, send_to_peer>(actions);
    }

    time_point m_now = testing::startOfTime;
    entry_core m_core{entry_core_options{.incarnation = 7, .random = [](std::uint64_t) { return std::uint64_t{0}; }}};
};

TEST_F(entry_core_test, ReservesAtOneEndpointFirst)
{
    EXPECT_EQ(sent<reserve>(arrive(1)).size(), 1U);
}

TEST_F(entry_core_test, ReservesAtOtherEndpointsWhenTheFirstOneQueuesTheRequest)
{
    const auto first = testing::actionsOfType<send_to_peer>(arrive(1));
    EXPECT_EQ(sent<reserve>(receive(first.at(0).peer, queued{.id = makeAttempt(1)})).size(), 1U);
}

TEST_F(entry_core_test, AcceptsTheFirstOfferAndWithdrawsOtherReservations)
{
    const auto first = testing::actionsOfType<send_to_peer>(arrive(1));
    receive(first.at(0).peer, queued{.id = makeAttempt(1)});
    const peer_id other = first.at(0).peer == 1 ? 2 : 1;
    const auto actions = receive(other, offer{.id = makeAttempt(1), .endpointIncarnation = 50});
    EXPECT_EQ(sent<start>(actions).size(), 1U);
    EXPECT_EQ(sent<withdraw>(actions).size(), 1U);
}

TEST_F(entry_core_test, DeclinesASecondOffer)
{
    const peer_id peer = startAtFirst(1);
    const auto actions = receive(peer == 1 ? 2 : 1, offer{.id = makeAttempt(1), .endpointIncarnation = 50});
    EXPECT_TRUE(sent<start>(actions).empty());
    EXPECT_EQ(sent<withdraw>(actions).size(), 1U);
}

TEST_F(entry_core_test, RefusesARequestOnceEveryEndpointIsOverloaded)
{
    const auto first = testing::actionsOfType<send_to_peer>(arrive(1));
    receive(first.at(0).peer, queued{.id = makeAttempt(1)});
    const refused refusal{.id = makeAttempt(1), .kind = static_cast<std::uint8_t>(error_kind::overloaded), .retryAfterMicroseconds = 700000};
    EXPECT_TRUE(testing::actionsOfType<answer_error>(receive(1, refusal)).empty());
    const auto errors = testing::actionsOfType<answer_error>(receive(2, refusal));
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].kind, error_kind::overloaded);
    EXPECT_EQ(errors[0].retryAfter, std::chrono::milliseconds(700));
}

TEST_F(entry_core_test, IgnoresChunksOfAnOlderAttempt)
{
    const peer_id peer = startAtFirst(1);
    receive(peer, chunk{.id = makeAttempt(1), .offset = 0, .events = 1, .data = "a"});
    receive(peer, failed{.id = makeAttempt(1), .detail = "reset"});
    EXPECT_TRUE(testing::actionsOfType<answer_chunk>(receive(peer, chunk{.id = makeAttempt(1), .offset = 1, .events = 1, .data = "b"})).empty());
}

TEST_F(entry_core_test, IgnoresARefusalOfAnOlderAttempt)
{
    const peer_id peer = startAtFirst(1);
    const peer_id other = peer == 1 ? 2 : 1;
    receive(peer, failed{.id = makeAttempt(1), .detail = "reset"});
    const refused staleRefusal{.id = makeAttempt(1), .kind = static_cast<std::uint8_t>(error_kind::overloaded)};
    EXPECT_TRUE(testing::actionsOfType<answer_error>(receive(other, staleRefusal)).empty());
    EXPECT_EQ(sent<start>(receive(other, offer{.id = makeAttempt(1, 2), .endpointIncarnation = 50})).size(), 1U);
}

TEST_F(entry_core_test, ResumesAfterTheLastForwardedEvent)
{
    const peer_id peer = startAtFirst(1);
    receive(peer, chunk{.id = makeAttempt(1), .offset = 0, .events = 3, .data = "abc"});
    receive(peer, failed{.id = makeAttempt(1), .detail = "reset"});
    const auto starts = sent<start>(receive(peer == 1 ? 2 : 1, offer{.id = makeAttempt(1, 2), .endpointIncarnation = 50}));
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].resumeFrom, 3U);
}

TEST_F(entry_core_test, ForwardsNothingAndCancelsAfterAGap)
{
    const peer_id peer = startAtFirst(1);
    receive(peer, chunk{.id = makeAttempt(1), .offset = 0, .events = 1, .data = "a"});
    const auto actions = receive(peer, chunk{.id = makeAttempt(1), .offset = 5, .events = 1, .data = "f"});
    EXPECT_TRUE(testing::actionsOfType<answer_chunk>(actions).empty());
    EXPECT_EQ(sent<cancel>(actions).size(), 1U);
}

TEST_F(entry_core_test, NeverRetriesANonIdempotentOperation)
{
    const peer_id peer = startAtFirst(1, false);
    const auto actions = receive(peer, failed{.id = makeAttempt(1), .detail = "reset"});
    const auto errors = testing::actionsOfType<answer_error>(actions);
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].kind, error_kind::outcome_unknown);
    EXPECT_TRUE(sent<reserve>(actions).empty());
}

TEST_F(entry_core_test, PlacesARefusedOperationAgain)
{
    const peer_id peer = startAtFirst(1, false);
    const auto actions = receive(peer, refused{.id = makeAttempt(1), .kind = static_cast<std::uint8_t>(error_kind::not_ready)});
    EXPECT_EQ(sent<reserve>(actions).size(), 1U);
    EXPECT_TRUE(testing::actionsOfType<answer_error>(actions).empty());
}

TEST_F(entry_core_test, QueriesTheStateOfAnOperationAfterReconnecting)
{
    const peer_id peer = startAtFirst(1, false);
    handle(peer_lost{peer});
    const auto actions = handle(endpoint_connected{.peer = 9, .name = peer == 1 ? "e1" : "e2", .incarnation = 50});
    EXPECT_EQ(sent<fate_query>(actions).size(), 1U);
}

TEST_F(entry_core_test, DoesNotRetryWithoutRetryBudget)
{
    entry_core coreWithoutRetries(
        entry_core_options{.incarnation = 7, .retries = {.retriesPerSuccess = 0, .capacity = 0}, .random = [](std::uint64_t) { return std::uint64_t{0}; }});
    coreWithoutRetries.handle(m_now, configuration_changed{makeState({makeClass("chat", 2, 0, {"e1", "e2"})})});
    coreWithoutRetries.handle(m_now, endpoint_connected{.peer = 1, .name = "e1", .incarnation = 50});
    coreWithoutRetries.handle(m_now, endpoint_connected{.peer = 2, .name = "e2", .incarnation = 50});
    const auto first = testing::actionsOfType<send_to_peer>(coreWithoutRetries.handle(
        m_now, request_received{.caller = 1, .request = {.workspaceName = "w", .className = "chat", .path = chatPath, .streaming = true}}));
    coreWithoutRetries.handle(m_now, peer_message{first.at(0).peer, offer{.id = makeAttempt(1), .endpointIncarnation = 50}});
    const auto errors =
        testing::actionsOfType<answer_error>(coreWithoutRetries.handle(m_now, peer_message{first.at(0).peer, failed{.id = makeAttempt(1), .detail = "reset"}}));
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].kind, error_kind::upstream_failed);
}

TEST_F(entry_core_test, ReportsMayHaveRunOnceAnAttemptHasStarted)
{
    const peer_id peer = startAtFirst(1);
    receive(peer, failed{.id = makeAttempt(1), .detail = "reset"});
    const refused refusal{.id = makeAttempt(1, 2), .kind = static_cast<std::uint8_t>(error_kind::overloaded)};
    const auto errors = testing::actionsOfType<answer_error>(receive(peer == 1 ? 2 : 1, refusal));
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(answerFor(errors[0].kind).runState, run_state::may_have_run);
}

TEST_F(entry_core_test, RefusesNewRequestsAndFinishesRunningOnesWhileLeaving)
{
    const peer_id peer = startAtFirst(1);
    handle(leave_requested{});
    const auto errors = testing::actionsOfType<answer_error>(arrive(2));
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].kind, error_kind::shutting_down);
    EXPECT_FALSE(m_core.isIdle());
    receive(peer, chunk{.id = makeAttempt(1), .offset = 0, .events = 1, .data = "a"});
    EXPECT_EQ(testing::actionsOfType<answer_end>(receive(peer, finished{.id = makeAttempt(1), .httpStatus = 200, .events = 1})).size(), 1U);
    EXPECT_TRUE(m_core.isIdle());
}

TEST_F(entry_core_test, SendsNoNewWorkToAnEndpointThatIsListedAsLeaving)
{
    handle(endpoints_listed_leaving{{"e1"}});
    for (caller_id caller = 1; caller < 6; ++caller) {
        for (const auto &send : testing::actionsOfType<send_to_peer>(arrive(caller))) {
            EXPECT_NE(send.peer, 1U);
        }
    }
}

TEST_F(entry_core_test, CancelsARunningStreamWhenItsCallerDisconnects)
{
    startAtFirst(1);
    EXPECT_EQ(sent<cancel>(handle(caller_disconnected{1})).size(), 1U);
    EXPECT_TRUE(m_core.isIdle());
}

} // namespace
} // namespace wisteriashunt

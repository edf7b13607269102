// Random steps and failures, checked after each step with simulated_system::violation(): operations run at most once, and every caller
// gets the complete answer to its own request or an error that is true.
#include "simulated_system.h"

#include <gtest/gtest.h>
// rapidcheck/gtest.h requires that gtest/gtest.h is included first.
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

namespace wisteriashunt
{
namespace
{

using testing::simulated_system;

/// Empty, since the checks need only the simulated system's own record of what ran.
struct no_model
{
};

using system_command = rc::state::Command<no_model, simulated_system>;

/// One step: a kind and two numbers, which the simulated system maps to valid indices.
class system_step : public system_command
{
public:
    enum class step_kind {
        submit_keyed,
        submit_plain,
        submit_stream,
        deliver_to_endpoint,
        deliver_to_entry,
        append,
        read_log,
        run_upstream,
        emit_token,
        advance,
        // Batches of steps. They let requests reach late states, so that failures occur in every state.
        deliver_all,
        append_and_read_log,
        // Failures, and recovery from them.
        append_losing_answer,
        run_losing_answer,
        fail_stream,
        disconnect,
        reconnect,
        kill_entry,
        kill_endpoint,
        freeze_entry,
        unfreeze_entry,
        log_down,
        log_up,
        disconnect_caller,
        count,
    };

    system_step()
        : m_kind(drawKind())
        , m_first(*rc::gen::inRange<std::size_t>(0, 8))
        , m_second(*rc::gen::inRange<std::size_t>(0, 4))
    {
    }

    void run(const no_model &, simulated_system &system) const override
    {
        perform(system);
        const auto violation = system.violation();
        if (violation) {
            RC_FAIL(*violation);
        }
    }

    void show(std::ostream &out) const override
    {
        out << "step " << static_cast<int>(m_kind) << " (" << m_first << ", " << m_second << ")";
    }

private:
    static step_kind drawKind()
    {
        constexpr int firstFailure = static_cast<int>(step_kind::append_losing_answer);
        constexpr int firstBatchStep = static_cast<int>(step_kind::deliver_all);
        constexpr int all = static_cast<int>(step_kind::count);
        const bool isOrdinary = *rc::gen::inRange(0, 100) < 75;
        if (isOrdinary && *rc::gen::inRange(0, 100) < 35) {
            return static_cast<step_kind>(*rc::gen::inRange(firstBatchStep, firstFailure));
        }
        return static_cast<step_kind>(isOrdinary ? *rc::gen::inRange(0, firstFailure) : *rc::gen::inRange(firstFailure, all));
    }

    void perform(simulated_system &system) const
    {
        switch (m_kind) {
        case step_kind::submit_keyed:
            return system.submitOperation(m_first, static_cast<int>(m_second), true);
        case step_kind::submit_plain:
            return system.submitOperation(m_first, 0, false);
        case step_kind::submit_stream:
            return system.submitStream(m_first, static_cast<std::uint32_t>(m_second + 1));
        case step_kind::deliver_to_endpoint:
            return system.deliver(m_first, true);
        case step_kind::deliver_to_entry:
            return system.deliver(m_first, false);
        case step_kind::append:
            return system.appendPending(m_first, false);
        case step_kind::append_losing_answer:
            return system.appendPending(m_first, true);
        case step_kind::read_log:
            return system.readLog(m_first);
        case step_kind::run_upstream:
            return system.runUpstream(m_first, false);
        case step_kind::run_losing_answer:
            return system.runUpstream(m_first, true);
        case step_kind::emit_token:
            return system.emitToken(m_first);
        case step_kind::fail_stream:
            return system.failStream(m_first);
        case step_kind::advance:
            return system.advance(std::chrono::milliseconds(50 << m_second));
        case step_kind::deliver_all:
            return system.deliverAll(m_first);
        case step_kind::append_and_read_log:
            system.appendPending(m_first, false);
            return system.readLog(m_first);
        case step_kind::disconnect:
            return system.disconnect(m_first);
        case step_kind::reconnect:
            return system.reconnect(m_first);
        case step_kind::kill_entry:
            return system.killEntry(m_first);
        case step_kind::kill_endpoint:
            return system.killEndpoint(m_first);
        case step_kind::freeze_entry:
            return system.freezeEntry(m_first, true);
        case step_kind::unfreeze_entry:
            return system.freezeEntry(m_first, false);
        case step_kind::log_down:
            return system.setLogDown(true);
        case step_kind::log_up:
            return system.setLogDown(false);
        case step_kind::disconnect_caller:
            return system.disconnectCaller(m_first);
        case step_kind::count:
            return;
        }
    }

    step_kind m_kind;
    std::size_t m_first;
    std::size_t m_second;
};

RC_GTEST_PROP(operations_property, RunAtMostOnceAndAnswerCorrectlyUnderFailures, ())
{
    constexpr std::size_t entries = 2;
    constexpr std::size_t endpoints = 2;
    simulated_system system(entries, endpoints);
    system.settle(std::chrono::seconds(2));
    rc::state::check(no_model{}, system, rc::state::gen::execOneOfWithArgs<system_step>());
    // Without further failures, every caller that is still connected gets its final answer.
    system.settle(std::chrono::seconds(20));
    const auto violation = system.violation();
    if (violation) {
        RC_FAIL(*violation);
    }
    RC_ASSERT(system.unansweredCallers() == 0U);
}

TEST(operations_test, AnswersARepeatAtAnotherEntryFromTheLog)
{
    simulated_system system(2, 2);
    system.settle(std::chrono::seconds(2));
    system.submitOperation(0, 1, true);
    system.settle(std::chrono::seconds(1));
    system.submitOperation(1, 1, true);
    system.settle(std::chrono::seconds(1));
    ASSERT_EQ(system.callers().size(), 2U);
    EXPECT_TRUE(system.callers()[0].isComplete);
    EXPECT_TRUE(system.callers()[1].isComplete);
    EXPECT_EQ(system.runsOf("keyed-1"), 1);
}

TEST(operations_test, RefusesAKeyedOperationWhileTheLogIsDown)
{
    simulated_system system(1, 1);
    system.settle(std::chrono::seconds(2));
    system.setLogDown(true);
    system.readLog(0);
    system.submitOperation(0, 1, true);
    ASSERT_TRUE(system.callers()[0].error.has_value());
    EXPECT_EQ(*system.callers()[0].error, error_kind::claim_log_unavailable);
    EXPECT_EQ(system.runsOf("keyed-1"), 0);
}

TEST(operations_test, RecoversTheOutcomeFromTheEndpointAfterItsEntryWasKilled)
{
    simulated_system system(2, 1);
    system.settle(std::chrono::seconds(2));
    system.submitOperation(0, 1, true);
    for (int i = 0; i < 4; ++i) {
        system.deliver(0, true);
        system.deliver(0, false);
        system.appendPending(0, false);
        system.readLog(0);
    }
    system.killEntry(0);
    system.runUpstream(0, false);
    ASSERT_EQ(system.runsOf("keyed-1"), 1);
    system.readLog(1);
    system.submitOperation(1, 1, true);
    system.settle(std::chrono::seconds(2));
    EXPECT_TRUE(system.callers()[1].isComplete);
    EXPECT_EQ(system.runsOf("keyed-1"), 1);
}

TEST(operations_test, ReportsOutcomeUnknownWhenTheEndpointProcessWasReplaced)
{
    simulated_system system(1, 1);
    system.settle(std::chrono::seconds(2));
    system.submitOperation(0, 0, false);
    system.deliver(0, true);
    system.deliver(0, false);
    system.deliver(0, true);
    system.runUpstream(0, false);
    system.killEndpoint(0);
    system.settle(std::chrono::seconds(10));
    ASSERT_TRUE(system.callers()[0].error.has_value());
    EXPECT_EQ(*system.callers()[0].error, error_kind::outcome_unknown);
}

} // namespace
} // namespace wisteriashunt

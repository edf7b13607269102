// Concurrent repeats of an operation with one idempotency key through two entries. An entry that loses the claim asks the endpoint process for
// the state of the winner's attempt. If the query arrives before the winner's start, it must not keep the winner from running.
#include "simulated_system.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

using testing::simulated_system;

TEST(claim_race_test, AQueryOfALosingEntryDoesNotRefuseTheWinner)
{
    constexpr std::size_t winner = 0;
    constexpr std::size_t loser = 1;
    simulated_system system(2, 1);
    system.settle(std::chrono::seconds(2));
    system.submitOperation(winner, 1, true);
    system.submitOperation(loser, 1, true);
    system.deliverAll(winner);
    system.deliverAll(loser);
    system.appendPending(winner, false);
    system.appendPending(loser, false);
    // The loser reads both claims and queries the endpoint process before the winner reads its own claim and sends its start.
    system.readLog(loser);
    system.deliverAll(loser);
    system.readLog(winner);
    system.settle(std::chrono::seconds(5));

    const auto &callers = system.callers();
    EXPECT_EQ(system.runsOf("keyed-1"), 1);
    for (const std::size_t entry : {winner, loser}) {
        const auto &error = callers[entry].error;
        EXPECT_TRUE(callers[entry].isComplete || error == error_kind::operation_in_progress)
            << "caller of entry " << entry << ": expected the complete answer or operation_in_progress, got error kind "
            << (error ? std::string(answerFor(*error).name) : "none");
    }
}

} // namespace
} // namespace wisteriashunt

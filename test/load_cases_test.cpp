// Checks that each load case meets its targets, on the virtual clock with a fixed seed.
#include "load/cases.h"

#include <gtest/gtest.h>

namespace wisteriashunt::load
{
namespace
{

class load_cases_test : public ::testing::TestWithParam<const char *>
{
};

TEST_P(load_cases_test, MeetsAllTargets)
{
    const auto outcome = runCases({.caseName = GetParam(), .firstSeed = 1, .seeds = 1, .isQuiet = true});
    EXPECT_EQ(outcome.missed, 0);
    // An unknown case name runs nothing and would miss no target.
    EXPECT_GT(outcome.met, 0);
}

INSTANTIATE_TEST_SUITE_P(all_cases, load_cases_test, ::testing::Values("overload", "flood", "straggler", "crash", "goodput"));

} // namespace
} // namespace wisteriashunt::load

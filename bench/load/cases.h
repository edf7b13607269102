/// The stated cases of the load tool.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace wisteriashunt::load
{

/// Which cases to run.
struct case_options
{
    /// Name of the one case; empty runs all that state a target.
    std::string caseName;
    std::uint64_t firstSeed = 1;
    int seeds = 3;
    bool isQuiet = false;
};

/// Result of the cases.
struct case_outcome
{
    int met = 0;
    int missed = 0;
    nlohmann::json figures;
};

/// Runs and prints the cases.
[[nodiscard]] case_outcome runCases(const case_options &options);

} // namespace wisteriashunt::load

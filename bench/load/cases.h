/// Load cases: simulated workloads, most of them with numeric targets.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace wisteriashunt::load
{

/// Selects the cases and seeds to run.
struct case_options
{
    /// Case to run. Empty runs every case that has targets, which is all but "ways". An unknown name runs nothing.
    std::string caseName;
    std::uint64_t firstSeed = 1;
    /// Number of consecutive seeds to run each case with; at least 1.
    int seeds = 3;
    /// Omits the table of each run. Lines about targets are always printed.
    bool isQuiet = false;
};

/// Targets met and missed over all cases that ran.
struct case_outcome
{
    int met = 0;
    int missed = 0;
    /// By case name, then by label of the run: one element per seed, as written by `toJson`.
    nlohmann::json figures;
};

/// Runs the selected cases and prints their results to standard output.
[[nodiscard]] case_outcome runCases(const case_options &options);

} // namespace wisteriashunt::load

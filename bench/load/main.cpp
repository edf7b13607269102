// Load tool: runs the load cases on the simulated system and reports which targets are met. Exits with 1 if any is missed.
#include "load/cases.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, only, "", "Case to run; empty runs all that have targets. \"ways\" compares variants of the configuration and has no targets.");
ABSL_FLAG(std::uint64_t, seed, 1, "First seed.");
ABSL_FLAG(int, seeds, 3, "Number of consecutive seeds; the lowest and highest value over them are printed.");
ABSL_FLAG(std::string, json, "", "File to write all figures to, as JSON.");

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("bench_load [--only=CASE] [--seed=N] [--seeds=N] [--json=FILE]");
    absl::ParseCommandLine(argc, argv);
    const auto outcome =
        wisteriashunt::load::runCases({.caseName = absl::GetFlag(FLAGS_only), .firstSeed = absl::GetFlag(FLAGS_seed), .seeds = absl::GetFlag(FLAGS_seeds)});
    if (!absl::GetFlag(FLAGS_json).empty()) {
        std::ofstream(absl::GetFlag(FLAGS_json)) << outcome.figures.dump(2) << '\n';
    }
    std::cout << outcome.met << " targets met, " << outcome.missed << " missed\n";
    return outcome.missed == 0 ? 0 : 1;
}

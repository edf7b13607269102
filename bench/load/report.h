/// Figures of a run: attainment per class, goodput, wasted work, refusals and violations.
#pragma once

#include "load/world.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace wisteriashunt::load
{

/// Figures of a class or of one workspace in a class.
struct group_figures
{
    std::uint64_t offered = 0;
    std::uint64_t attained = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t aborted = 0;
    std::uint64_t open = 0;
    double attainedTokens = 0;
    double servedTokens = 0;

    [[nodiscard]] double attainment() const
    {
        return offered == 0 ? 1.0 : static_cast<double>(attained) / static_cast<double>(offered);
    }
};

/// Figures of a run over the requests that arrived in a window.
struct run_figures
{
    std::map<std::string, group_figures> classes;
    /// By "class/workspace".
    std::map<std::string, group_figures> workspaces;
    double windowSeconds = 0;
    std::uint64_t spliced = 0;
    simulation_counts counts;
    double wastedTokens = 0;

    /// Tokens a second of answers that met both targets.
    [[nodiscard]] double goodput() const;
    /// Share of generated tokens that never reached a caller as part of a whole answer.
    [[nodiscard]] double wastedShare() const;
    /// Share of all served tokens that went to the class.
    [[nodiscard]] double serviceShare(const std::string &className) const;
};

/// Collects the figures of requests that arrived in [from, to).
[[nodiscard]] run_figures collect(const simulation &source, const configuration_state &configuration, duration from, duration to);

[[nodiscard]] nlohmann::json toJson(const run_figures &figures);

/// Prints one line for each class.
void printTable(const std::string &title, const run_figures &figures);

} // namespace wisteriashunt::load

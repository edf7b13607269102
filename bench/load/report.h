/// Figures of a run: attainment per class, goodput, wasted tokens, refusals and order violations.
#pragma once

#include "load/world.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace wisteriashunt::load
{

/// Figures of a class, or of one workspace in a class.
struct group_figures
{
    std::uint64_t offered = 0;
    /// Requests whose answer completed in sequence and met the class's targets for the first token and between tokens.
    std::uint64_t attained = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t aborted = 0;
    /// Requests that had not ended when the run did.
    std::uint64_t open = 0;
    /// Tokens of the attained requests.
    double attainedTokens = 0;
    /// Tokens that callers received, also of answers that were aborted later.
    double servedTokens = 0;

    /// Share of the offered requests that were attained; 1 if none was offered.
    [[nodiscard]] double attainment() const
    {
        return offered == 0 ? 1.0 : static_cast<double>(attained) / static_cast<double>(offered);
    }
};

/// Figures of a run. Classes and workspaces cover the requests that arrived in the window; `spliced`, `counts` and
/// `wastedTokens` cover the whole run.
struct run_figures
{
    std::map<std::string, group_figures> classes;
    /// Keyed by "class/workspace".
    std::map<std::string, group_figures> workspaces;
    double windowSeconds = 0;
    /// Requests that received a token out of sequence.
    std::uint64_t spliced = 0;
    simulation_counts counts;
    /// Generated tokens that no caller received as part of an answer that completed or is still open.
    double wastedTokens = 0;

    /// Tokens per second of the attained requests.
    [[nodiscard]] double goodput() const;
    /// Share of the generated tokens that were wasted.
    [[nodiscard]] double wastedShare() const;
    /// Share of the served tokens that went to the class; 0 if nothing was served.
    [[nodiscard]] double serviceShare(const std::string &className) const;
};

/// Collects the figures of a run with the window [from, to), as offsets from the start of the run.
[[nodiscard]] run_figures collect(const simulation &source, const configuration_state &configuration, duration from, duration to);

[[nodiscard]] nlohmann::json toJson(const run_figures &figures);

/// Prints the title, a line for each class and a line for the whole run to standard output.
void printTable(const std::string &title, const run_figures &figures);

} // namespace wisteriashunt::load

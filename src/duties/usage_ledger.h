/// Counts of the last few windows, of this entry and of those that have told it.
#pragma once

#include "duties/duty_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wisteriashunt
{

/// Settings of usage_ledger.
struct usage_ledger_options
{
    std::string instance;
    std::uint64_t incarnation = 0;
    /// Number of windows that are kept.
    std::int64_t windows = 4;
    /// Most incarnations of entries, and most workspaces of each, that are kept.
    std::size_t maxIncarnations = 512;
    std::size_t maxWorkspaces = 1024;
};

/// Not thread-safe.
class usage_ledger
{
public:
    usage_ledger(const usage_ledger_options &options, std::int64_t window);

    /// Makes the window the current one. Earlier windows of this entry are final; windows before those kept are forgotten.
    void advance(std::int64_t window);
    /// Counts a request of this entry in the current window.
    void onBegan(const std::string &workspace);
    /// Counts requests of this entry in the current or an earlier window.
    void add(std::int64_t window, const std::string &workspace, std::uint64_t count);
    /// Records counts of another entry.
    void onTold(const usage_digest &digest);

    /// What this entry tells of its counts, at most about maxBytes of it: those that it has told least since they changed come first.
    [[nodiscard]] usage_digest digest(std::size_t maxBytes);
    /// All counts of this entry.
    [[nodiscard]] usage_digest wholeDigest() const;
    /// Whether counts of this entry have changed that no digest has told yet.
    [[nodiscard]] bool hasUntold() const;
    /// Takes those incarnations as ended whose entry is none of these, in order, or has started again. Nobody else tells their counts to an entry
    /// that did not receive them.
    void setRunning(const std::vector<std::string> &running);
    /// What to tell of ended incarnations, by turns; nothing if they were told often enough.
    [[nodiscard]] std::optional<usage_digest> endedDigest(std::size_t maxBytes);
    [[nodiscard]] bool hasUntoldEnded() const;
    /// Makes the next digests tell all counts again, to new receivers.
    void tellAgain();

    /// Sum over all entries.
    [[nodiscard]] usage_counts counts(std::int64_t window) const;
    /// Whether all counts of the window are known of the entry's newest incarnation, and final.
    [[nodiscard]] bool isComplete(const std::string &instance, std::int64_t window) const;
    /// Whether any entry has told of the window.
    [[nodiscard]] bool covers(std::int64_t window) const;
    [[nodiscard]] std::int64_t current() const;

private:
    struct window_state
    {
        std::map<std::string, std::uint64_t> counts;
        /// As its entry told them; of this entry, as counted.
        std::uint64_t total = 0;
        bool isFinal = false;
    };
    struct incarnation_state
    {
        std::string instance;
        std::map<std::int64_t, window_state> windows;
        bool isEnded = false;
        /// How often all counts of an ended incarnation were told, and the row after which the next digest continues.
        int toldTimes = 0;
        std::pair<std::int64_t, std::string> toldRow;
    };
    /// How often, and as which digest of all, a count of this entry was told.
    struct told_state
    {
        int times = 0;
        std::uint64_t digest = 0;
    };

    [[nodiscard]] std::int64_t firstKept() const;

    usage_ledger_options m_options;
    std::int64_t m_current;
    std::map<std::uint64_t, incarnation_state> m_incarnations;
    std::map<std::pair<std::int64_t, std::string>, told_state> m_told;
    std::uint64_t m_digests = 0;
};

} // namespace wisteriashunt

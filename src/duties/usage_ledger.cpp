#include "duties/usage_ledger.h"

#include <algorithm>
#include <utility>

namespace wisteriashunt
{

namespace
{

/// Times that a count is told after it has changed: messages get lost.
constexpr int timesToTell = 4;
/// Bytes of a row beside the name of its workspace, and of a digest beside its rows.
constexpr std::size_t rowBytes = 16;
constexpr std::size_t digestBytes = 96;

} // namespace

usage_ledger::usage_ledger(const usage_ledger_options &options, std::int64_t window)
    : m_options(options)
    , m_current(window)
{
    auto &own = m_incarnations[m_options.incarnation];
    own.instance = m_options.instance;
    own.windows[window] = {};
}

void usage_ledger::advance(std::int64_t window)
{
    m_current = window;
    auto &own = m_incarnations[m_options.incarnation].windows;
    own[window];
    // A window without requests counts as well. After a jump back of the clock, later windows are those of a wrong time.
    for (auto earlier = std::max(own.begin()->first, firstKept()); earlier < window; ++earlier) {
        own[earlier].isFinal = true;
    }
    own[window].isFinal = false;
    for (auto it = m_incarnations.begin(); it != m_incarnations.end();) {
        std::erase_if(it->second.windows, [&](const auto &item) { return item.first < firstKept() || item.first > window + 1; });
        it = it->second.windows.empty() ? m_incarnations.erase(it) : std::next(it);
    }
    std::erase_if(m_told, [&](const auto &item) { return item.first.first < firstKept() || item.first.first > window; });
}

void usage_ledger::onBegan(const std::string &workspace)
{
    add(m_current, workspace, 1);
}

void usage_ledger::add(std::int64_t window, const std::string &workspace, std::uint64_t count)
{
    if (window < firstKept() || window > m_current) {
        return;
    }
    auto &state = m_incarnations[m_options.incarnation].windows[window];
    if (state.counts.size() >= m_options.maxWorkspaces && !state.counts.contains(workspace)) {
        return;
    }
    state.counts[workspace] += count;
    state.total += count;
    m_told[{window, workspace}] = {};
}

void usage_ledger::onTold(const usage_digest &digest)
{
    if (digest.incarnation == m_options.incarnation) {
        return;
    }
    if (m_incarnations.size() >= m_options.maxIncarnations && !m_incarnations.contains(digest.incarnation)) {
        return;
    }
    auto &told = m_incarnations[digest.incarnation];
    told.instance = digest.instance;
    const auto isKept = [&](std::int64_t window) {
        // Clocks differ a little, so a peer may be in the next window already.
        return window >= firstKept() && window <= m_current + 1;
    };
    for (const auto &total : digest.totals) {
        if (isKept(total.window)) {
            auto &state = told.windows[total.window];
            state.total = std::max(state.total, total.total);
            state.isFinal |= total.isFinal;
        }
    }
    for (const auto &row : digest.rows) {
        if (!isKept(row.window)) {
            continue;
        }
        auto &counts = told.windows[row.window].counts;
        if (counts.size() < m_options.maxWorkspaces || counts.contains(row.workspace)) {
            auto &count = counts[row.workspace];
            if (row.count > count) {
                count = row.count;
                told.toldTimes = 0;
            }
        }
    }
}

usage_digest usage_ledger::digest(std::size_t maxBytes)
{
    usage_digest digest{.instance = m_options.instance, .incarnation = m_options.incarnation};
    const auto &own = m_incarnations[m_options.incarnation].windows;
    for (const auto &[window, state] : own) {
        digest.totals.push_back({.window = window, .total = state.total, .isFinal = state.isFinal});
    }
    std::vector<std::pair<std::pair<int, std::uint64_t>, const std::pair<std::int64_t, std::string> *>> order;
    for (const auto &[row, told] : m_told) {
        if (told.times < timesToTell) {
            order.push_back({{told.times, told.digest}, &row});
        }
    }
    std::sort(order.begin(), order.end());
    ++m_digests;
    std::size_t bytes = digestBytes;
    for (const auto &[rank, row] : order) {
        bytes += rowBytes + row->second.size();
        if (bytes > maxBytes && !digest.rows.empty()) {
            break;
        }
        const auto &[window, workspace] = *row;
        digest.rows.push_back({.window = window, .workspace = workspace, .count = own.at(window).counts.at(workspace)});
        auto &told = m_told[*row];
        ++told.times;
        told.digest = m_digests;
    }
    return digest;
}

usage_digest usage_ledger::wholeDigest() const
{
    usage_digest digest{.instance = m_options.instance, .incarnation = m_options.incarnation};
    for (const auto &[window, state] : m_incarnations.at(m_options.incarnation).windows) {
        digest.totals.push_back({.window = window, .total = state.total, .isFinal = state.isFinal});
        for (const auto &[workspace, count] : state.counts) {
            digest.rows.push_back({.window = window, .workspace = workspace, .count = count});
        }
    }
    return digest;
}

bool usage_ledger::hasUntold() const
{
    return std::any_of(m_told.begin(), m_told.end(), [](const auto &item) { return item.second.times == 0; });
}

void usage_ledger::tellAgain()
{
    for (auto &[row, told] : m_told) {
        told = {};
    }
    for (auto &[incarnation, entry] : m_incarnations) {
        entry.toldTimes = 0;
    }
}

void usage_ledger::setRunning(const std::vector<std::string> &running)
{
    std::map<std::string, std::uint64_t> newest;
    for (const auto &[incarnation, entry] : m_incarnations) {
        // In order, so the last one is the newest.
        newest[entry.instance] = incarnation;
    }
    for (auto &[incarnation, entry] : m_incarnations) {
        entry.isEnded = incarnation != m_options.incarnation
            && (newest[entry.instance] != incarnation || !std::binary_search(running.begin(), running.end(), entry.instance));
    }
}

std::optional<usage_digest> usage_ledger::endedDigest(std::size_t maxBytes)
{
    auto least = m_incarnations.end();
    for (auto it = m_incarnations.begin(); it != m_incarnations.end(); ++it) {
        if (it->second.isEnded && it->second.toldTimes < timesToTell && (least == m_incarnations.end() || it->second.toldTimes < least->second.toldTimes)) {
            least = it;
        }
    }
    if (least == m_incarnations.end()) {
        return std::nullopt;
    }
    auto &entry = least->second;
    usage_digest digest{.instance = entry.instance, .incarnation = least->first};
    std::size_t bytes = digestBytes;
    for (const auto &[window, state] : entry.windows) {
        digest.totals.push_back({.window = window, .total = state.total, .isFinal = state.isFinal});
        for (const auto &[workspace, count] : state.counts) {
            if (std::pair(window, workspace) <= entry.toldRow) {
                continue;
            }
            bytes += rowBytes + workspace.size();
            if (bytes > maxBytes && !digest.rows.empty()) {
                entry.toldRow = {digest.rows.back().window, digest.rows.back().workspace};
                return digest;
            }
            digest.rows.push_back({.window = window, .workspace = workspace, .count = count});
        }
    }
    entry.toldRow = {};
    ++entry.toldTimes;
    return digest;
}

bool usage_ledger::hasUntoldEnded() const
{
    return std::any_of(m_incarnations.begin(), m_incarnations.end(), [](const auto &item) { return item.second.isEnded && item.second.toldTimes == 0; });
}

usage_counts usage_ledger::counts(std::int64_t window) const
{
    usage_counts sum;
    for (const auto &[incarnation, entry] : m_incarnations) {
        if (const auto state = entry.windows.find(window); state != entry.windows.end()) {
            for (const auto &[workspace, count] : state->second.counts) {
                sum[workspace] += count;
            }
        }
    }
    return sum;
}

bool usage_ledger::isComplete(const std::string &instance, std::int64_t window) const
{
    const incarnation_state *newest = nullptr;
    for (const auto &[incarnation, entry] : m_incarnations) {
        if (entry.instance == instance) {
            // In order, so the last one is the newest.
            newest = &entry;
        }
    }
    if (newest == nullptr) {
        return false;
    }
    const auto state = newest->windows.find(window);
    if (state == newest->windows.end()) {
        // It started after the window.
        return !newest->windows.empty() && newest->windows.begin()->first > window;
    }
    std::uint64_t sum = 0;
    for (const auto &[workspace, count] : state->second.counts) {
        sum += count;
    }
    return state->second.isFinal && sum >= state->second.total;
}

bool usage_ledger::covers(std::int64_t window) const
{
    return std::any_of(m_incarnations.begin(), m_incarnations.end(), [&](const auto &item) { return item.second.windows.contains(window); });
}

std::int64_t usage_ledger::current() const
{
    return m_current;
}

std::int64_t usage_ledger::firstKept() const
{
    return m_current - m_options.windows + 1;
}

} // namespace wisteriashunt

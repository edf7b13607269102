#include "duties/usage_duty.h"

#include "wisteriashunt/errors.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace wisteriashunt
{

namespace
{

/// Entries that are told all counts: the holder and those that follow it.
constexpr std::size_t receivers = 3;
/// Windows that are remembered after they were fixed.
constexpr std::int64_t rememberedWindows = 16;

/// Resolution of the times of requests that are counted later.
using early_slot = std::chrono::duration<std::int64_t, std::ratio<1, 20>>;

std::uint64_t totalOf(const usage_counts &counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0}, [](std::uint64_t sum, const auto &item) { return sum + item.second; });
}

} // namespace

usage_duty::usage_duty(const usage_duty_options &options, time_point now, time_point wall)
    : m_options(options)
    , m_claim(options.claim, now)
    , m_clock(options.clock, now, wall)
    , m_ledger({.instance = options.claim.instance, .incarnation = options.claim.incarnation, .windows = options.countedWindows}, windowAt(wall))
    , m_stored(options.storedCounts)
    , m_startedAt(now)
    , m_callAt(now)
    , m_countsFrom(now + options.claim.warmUp)
{
}

void usage_duty::onBegan(const std::string &workspace, time_point now)
{
    if (now < m_countsFrom) {
        ++m_early[{time_point(std::chrono::floor<early_slot>(now)), workspace}];
        return;
    }
    if (const auto window = windowAt(m_clock.at(now)); window != m_ledger.current()) {
        m_ledger.advance(window);
    }
    m_ledger.onBegan(workspace);
}

void usage_duty::onNotice(const duty_notice &notice, time_point now)
{
    if (notice.instance == m_options.claim.instance) {
        return;
    }
    m_claim.onNotice(notice, now);
    m_clock.onPeer(notice.instance, time_point(duration(notice.wallMicroseconds)), now);
    m_fixedThrough = std::max(m_fixedThrough, notice.fixedThrough);
    for (auto &[window, fixed] : m_fixed) {
        fixed.isDone |= window <= notice.reportedThrough;
    }
    m_reportedThrough = std::max(m_reportedThrough, notice.reportedThrough);
}

void usage_duty::onUsage(const usage_digest &digest, time_point /*now*/)
{
    m_ledger.onTold(digest);
}

void usage_duty::onPlatformDate(time_point date, time_point now, duration took)
{
    m_clock.onPlatformDate(date, now, took);
}

void usage_duty::setLeaving()
{
    m_claim.setLeaving();
}

duty_notice usage_duty::notice(time_point now, time_point wall) const
{
    return {.instance = m_options.claim.instance,
            .number = m_claim.number(),
            .holder = m_claim.holder(),
            .fixedThrough = m_fixedThrough,
            .reportedThrough = m_reportedThrough,
            .isAble = m_claim.isAble(now),
            .isLeaving = m_claim.isLeaving(),
            .isHolding = m_claim.isHolding(),
            .wallMicroseconds = wall.time_since_epoch().count()};
}

usage_digest usage_duty::usageToTell(std::size_t maxBytes, time_point now)
{
    auto told = usageReceivers(now);
    std::sort(told.begin(), told.end());
    if (!std::includes(m_receivers.begin(), m_receivers.end(), told.begin(), told.end())) {
        m_ledger.tellAgain();
    }
    m_receivers = std::move(told);
    if (const auto window = windowAt(m_clock.at(now)); window != m_ledger.current()) {
        m_ledger.advance(window);
    }
    // heardPeers() is in order.
    m_ledger.setRunning(m_claim.heardPeers(m_options.claim.peerLifetime, now));
    if (!m_ledger.hasUntold()) {
        if (auto ended = m_ledger.endedDigest(maxBytes)) {
            return *std::move(ended);
        }
    }
    auto digest = m_ledger.digest(maxBytes);
    for (auto &total : digest.totals) {
        total.isFinal &= m_early.empty();
    }
    return digest;
}

bool usage_duty::hasUsageToTell() const
{
    return m_ledger.hasUntold() || m_ledger.hasUntoldEnded();
}

std::vector<std::string> usage_duty::usageReceivers(time_point now) const
{
    auto names = m_claim.candidates(now);
    if (names.size() > receivers) {
        names.resize(receivers);
    }
    return names;
}

std::vector<duty_action> usage_duty::step(time_point now, time_point wall)
{
    m_clock.onWall(now, wall);
    const auto trueNow = m_clock.at(now);
    if (const auto window = windowAt(trueNow); window != m_ledger.current()) {
        m_ledger.advance(window);
    }
    countEarly(now);
    giveUpExpired(trueNow);
    if (!m_hasJoined && now >= m_countsFrom) {
        m_hasJoined = m_claim.number() > 0;
    }

    std::vector<duty_action> actions;
    const auto number = m_claim.actingNumber(now);
    const auto next = firstNotDone();
    if (number && next && !m_call && now >= m_callAt) {
        m_call = {.number = *number, .window = *next};
        actions.emplace_back(report_usage_action{.number = *number, .window = *next, .counts = m_fixed.at(*next).counts});
    }

    if (auto call = nextCountsCall(trueNow, now)) {
        actions.push_back(*std::move(call));
    }
    const auto windows = fixableWindows(trueNow, now);
    const bool hasUnreported = m_reportedThrough < m_fixedThrough;
    const bool isNeeded = !windows.empty() || (hasUnreported && !number);
    const auto isLate = [&](std::int64_t window) { return sinceEnd(window, trueNow) >= m_options.maxFixDelay + m_options.overdue; };
    const bool isOverdue = (!windows.empty() && isLate(windows.front())) || (hasUnreported && isLate(m_fixedThrough));
    switch (m_claim.next(isNeeded, isOverdue, now)) {
    case duty_claim::next_call::none:
        break;
    case duty_claim::next_call::read:
        m_claim.beginRead();
        actions.emplace_back(read_newest_action{});
        break;
    case duty_claim::next_call::append:
        actions.emplace_back(m_claim.beginAppend(contentsWith(windows), now));
        break;
    }
    return actions;
}

void usage_duty::onNewest(const newest_answer &answer, time_point now)
{
    if (m_claim.onNewest(answer, now)) {
        readContents();
    }
}

void usage_duty::onAppend(const append_answer &answer, time_point now)
{
    if (m_claim.onAppend(answer, now)) {
        readContents();
    }
}

void usage_duty::onCall(call_outcome outcome, time_point now)
{
    if (!m_call) {
        return;
    }
    const auto call = *std::exchange(m_call, std::nullopt);
    m_claim.onCall(outcome, now);
    switch (outcome) {
    case call_outcome::accepted:
        m_callFailures = 0;
        if (const auto fixed = m_fixed.find(call.window); fixed != m_fixed.end()) {
            fixed->second.isDone = true;
            ++m_reported;
            m_claim.report({.kind = duty_event_kind::reported, .number = call.number, .window = call.window, .total = totalOf(fixed->second.counts)});
        }
        break;
    case call_outcome::refused:
        m_callFailures = 0;
        giveUp(call.window, "the platform refused it");
        break;
    case call_outcome::not_sent:
        break;
    case call_outcome::superseded:
    case call_outcome::busy:
    case call_outcome::unknown:
        m_callAt = now + m_claim.pauseAfter(++m_callFailures, m_options.minCallPause, m_options.maxCallPause);
        break;
    }
    updateReportedThrough();
}

void usage_duty::onCountsStored(bool isStored, time_point now)
{
    m_stored.onStored(isStored, now);
}

void usage_duty::onCountsRead(const std::optional<std::vector<std::string>> &values, time_point now)
{
    m_stored.onRead(values.has_value(), now);
    for (const auto &value : values.value_or(std::vector<std::string>())) {
        try {
            m_ledger.onTold(decodeUsageDigest(value));
        } catch (const shunt_error &error) {
            m_claim.report({.kind = duty_event_kind::disagreement, .number = m_claim.number(), .cause = error.what()});
        }
    }
}

bool usage_duty::mayCall(std::int64_t number, time_point now) const
{
    return m_call && m_call->number == number && m_claim.actingNumber(now) == number;
}

std::vector<duty_event> usage_duty::takeEvents()
{
    return m_claim.takeEvents();
}

usage_duty_status usage_duty::status(time_point now) const
{
    return {.claim = m_claim.status(now),
            .fixedThrough = m_fixedThrough,
            .reportedThrough = m_reportedThrough,
            .reported = m_reported,
            .missed = m_missed,
            .wallCorrection = m_clock.wallCorrection()};
}

std::int64_t usage_duty::windowAt(time_point trueNow) const
{
    return trueNow.time_since_epoch() / m_options.window;
}

duration usage_duty::sinceEnd(std::int64_t window, time_point trueNow) const
{
    return trueNow.time_since_epoch() - (window + 1) * m_options.window;
}

bool usage_duty::isExpired(std::int64_t window, time_point trueNow) const
{
    return sinceEnd(window, trueNow) >= m_options.due;
}

bool usage_duty::isFixable(std::int64_t window, time_point trueNow, time_point now) const
{
    const auto passed = sinceEnd(window, trueNow);
    const bool isMinority = m_claim.isMinority(now);
    const auto latest = isMinority ? m_options.minorityFixDelay : m_options.maxFixDelay;
    if (passed < m_options.minFixDelay || passed >= latest) {
        return passed >= latest;
    }
    const auto peers = countingPeers(now);
    return knowsFleet(passed, now) && std::all_of(peers.begin(), peers.end(), [&](const auto &peer) {
               return isMinority ? m_ledger.isComplete(peer, window) : hasTold(peer, window, passed, now);
           });
}

bool usage_duty::hasTold(const std::string &peer, std::int64_t window, duration sinceEnd, time_point now) const
{
    // One that was never heard may have been cut off just before this entry started.
    const auto sinceHeard = m_claim.sinceHeard(peer, now).value_or(duration());
    return m_ledger.isComplete(peer, window) || m_stored.hasRead(sinceHeard, m_options.claim.peerLifetime, sinceEnd, now);
}

bool usage_duty::knowsFleet(duration sinceEnd, time_point now) const
{
    const auto age = now - m_startedAt;
    return !m_hasJoined.value_or(true) || age >= m_options.fixMemory || m_stored.hasRead(age, m_options.claim.peerLifetime, sinceEnd, now);
}

std::vector<std::string> usage_duty::countingPeers(time_point now) const
{
    auto peers = m_claim.heardPeers(m_options.fixMemory, now);
    const auto &holder = m_claim.holder();
    if (!holder.empty() && holder != m_options.claim.instance && !m_claim.sinceHeard(holder, now)) {
        peers.push_back(holder);
    }
    return peers;
}

std::optional<duty_action> usage_duty::nextCountsCall(time_point trueNow, time_point now)
{
    const auto ended = m_ledger.current() - 1;
    const auto passed = sinceEnd(ended, trueNow);
    if (ended <= m_fixedThrough) {
        return std::nullopt;
    }
    if (m_claim.isMinority(now) && m_early.empty() && m_stored.isStoreDue(ended, passed, now)) {
        m_stored.beginStore(ended);
        return store_counts_action{.value = encodeUsageDigest(m_ledger.wholeDigest())};
    }
    if (!m_stored.isReadDue(passed, now) || m_claim.candidates(now).front() != m_options.claim.instance) {
        return std::nullopt;
    }
    const auto peers = countingPeers(now);
    if (knowsFleet(passed, now) && std::all_of(peers.begin(), peers.end(), [&](const auto &peer) { return hasTold(peer, ended, passed, now); })) {
        return std::nullopt;
    }
    m_stored.beginRead(now);
    return read_counts_action{};
}

std::vector<std::int64_t> usage_duty::fixableWindows(time_point trueNow, time_point now) const
{
    std::vector<std::int64_t> windows;
    const auto first = std::max(m_fixedThrough, m_ledger.current() - m_options.countedWindows) + 1;
    for (auto window = first; window < m_ledger.current(); ++window) {
        if (!m_ledger.covers(window) || isExpired(window, trueNow)) {
            continue;
        }
        if (!isFixable(window, trueNow, now)) {
            break;
        }
        windows.push_back(window);
    }
    return windows;
}

std::string usage_duty::contentsWith(const std::vector<std::int64_t> &windows)
{
    usage_contents contents{.fixedThrough = m_fixedThrough, .reportedThrough = m_reportedThrough};
    for (const auto &[window, fixed] : m_fixed) {
        if (!fixed.isDone) {
            contents.windows.push_back({.window = window, .counts = fixed.counts});
        }
    }
    for (const auto window : windows) {
        contents.fixedThrough = window;
        contents.windows.push_back({.window = window, .counts = m_ledger.counts(window)});
    }
    auto bytes = encodeUsageContents(contents);
    while (!contents.windows.empty() && (contents.windows.size() > m_options.maxWindows || bytes.size() > m_options.maxRecordBytes)) {
        giveUp(contents.windows.front().window, "the record has no room for it");
        contents.windows.erase(contents.windows.begin());
        bytes = encodeUsageContents(contents);
    }
    return bytes;
}

void usage_duty::countEarly(time_point now)
{
    if (now < m_countsFrom) {
        return;
    }
    for (const auto &[when, count] : std::exchange(m_early, {})) {
        m_ledger.add(windowAt(m_clock.at(when.first)), when.second, count);
    }
}

void usage_duty::readContents()
{
    const auto *bytes = m_claim.newest();
    if (bytes == nullptr) {
        return;
    }
    usage_contents contents;
    try {
        contents = decodeUsageContents(*bytes);
    } catch (const shunt_error &error) {
        m_claim.report({.kind = duty_event_kind::disagreement, .number = m_claim.number(), .cause = error.what()});
        return;
    }
    if (contents.fixedThrough > m_ledger.current()) {
        m_claim.report({.kind = duty_event_kind::disagreement,
                        .number = m_claim.number(),
                        .window = contents.fixedThrough,
                        .cause = "the newest record is of the future"});
    }
    if (m_claim.isHolding() && m_fixedThrough >= 0 && contents.fixedThrough > m_fixedThrough) {
        // Those between were counted by no entry, or too late.
        const auto skipped = contents.fixedThrough - m_fixedThrough
            - static_cast<std::int64_t>(std::count_if(
                contents.windows.begin(), contents.windows.end(), [&](const fixed_window &window) { return window.window > m_fixedThrough; }));
        if (skipped > 0) {
            m_missed += static_cast<std::uint64_t>(skipped);
            m_claim.report({.kind = duty_event_kind::missed,
                            .number = m_claim.number(),
                            .window = m_fixedThrough + 1,
                            .cause = "no entry has counted it, or not in time",
                            .total = static_cast<std::uint64_t>(skipped)});
        }
    }
    m_fixedThrough = std::max(m_fixedThrough, contents.fixedThrough);
    m_reportedThrough = std::max(m_reportedThrough, contents.reportedThrough);
    for (auto &[window, fixed] : m_fixed) {
        fixed.isDone |= window <= m_reportedThrough;
    }
    for (auto &read : contents.windows) {
        const auto known = m_fixed.find(read.window);
        if (known == m_fixed.end()) {
            if (m_claim.isNewestProven()) {
                m_fixed[read.window] = {.counts = std::move(read.counts), .isDone = read.window <= m_reportedThrough};
            }
        } else if (known->second.counts != read.counts) {
            m_claim.report(
                {.kind = duty_event_kind::disagreement, .number = m_claim.number(), .window = read.window, .cause = "two records fix it differently"});
            giveUp(read.window, "two records fix it differently");
        }
    }
    std::erase_if(m_fixed, [&](const auto &item) { return item.second.isDone && item.first < m_fixedThrough - rememberedWindows; });
    updateReportedThrough();
}

void usage_duty::giveUp(std::int64_t window, std::string cause)
{
    if (const auto fixed = m_fixed.find(window); fixed != m_fixed.end()) {
        if (fixed->second.isDone) {
            return;
        }
        fixed->second.isDone = true;
    }
    if (m_claim.isHolding()) {
        ++m_missed;
        m_claim.report({.kind = duty_event_kind::missed, .number = m_claim.number(), .window = window, .cause = std::move(cause), .total = 1});
    }
}

void usage_duty::giveUpExpired(time_point trueNow)
{
    for (auto next = firstNotDone(); next && isExpired(*next, trueNow); next = firstNotDone()) {
        giveUp(*next, "it was not accepted in time");
    }
    if (m_reportedThrough < m_fixedThrough && isExpired(m_fixedThrough, trueNow)) {
        m_reportedThrough = m_fixedThrough;
    }
    updateReportedThrough();
}

void usage_duty::updateReportedThrough()
{
    const auto next = firstNotDone();
    if (next) {
        // Windows before it are done, or in no record any more.
        m_reportedThrough = std::max(m_reportedThrough, *next - 1);
    } else if (m_claim.isHolding()) {
        m_reportedThrough = std::max(m_reportedThrough, m_fixedThrough);
    }
}

std::optional<std::int64_t> usage_duty::firstNotDone() const
{
    const auto next = std::find_if(m_fixed.begin(), m_fixed.end(), [](const auto &item) { return !item.second.isDone; });
    return next == m_fixed.end() ? std::nullopt : std::optional(next->first);
}

} // namespace wisteriashunt

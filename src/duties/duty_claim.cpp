#include "duties/duty_claim.h"

#include "duties/duty_record.h"
#include "membership/hash.h"
#include "wisteriashunt/errors.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace wisteriashunt
{

namespace
{

/// Most appends without an answer that are remembered. Each waits for a read before the next, so there are few.
constexpr std::size_t maxOpenAppends = 8;
/// Most events that are kept until they are taken.
constexpr std::size_t maxEvents = 256;

} // namespace

duty_claim::duty_claim(const duty_claim_options &options, time_point now)
    : m_options(options)
    , m_startedAt(now)
    , m_random(mixBits(options.incarnation ^ hashText(options.instance)))
{
}

bool duty_claim::onNotice(const duty_notice &notice, time_point now)
{
    if (notice.instance.empty() || notice.instance == m_options.instance) {
        return false;
    }
    if (m_peers.size() >= m_options.maxPeers && !m_peers.contains(notice.instance)) {
        std::erase_if(m_peers, [&](const auto &item) { return now - item.second.heardAt >= m_options.peerMemory; });
        if (m_peers.size() >= m_options.maxPeers) {
            return false;
        }
    }
    m_peers[notice.instance] = {.notice = notice, .heardAt = now};
    if (notice.number <= m_number) {
        return false;
    }
    learn(notice.number, notice.holder, now);
    m_isRead = false;
    return true;
}

void duty_claim::setLeaving()
{
    m_isLeaving = true;
}

duty_claim::next_call duty_claim::next(bool isNeeded, bool isOverdue, time_point now)
{
    if (!isNeeded || (isWellHeld(now) && !isOverdue)) {
        m_waitingSince.reset();
        return next_call::none;
    }
    if (!m_waitingSince) {
        m_waitingSince = now;
    }
    if (m_underWay != next_call::none || now < m_retryAt) {
        return next_call::none;
    }
    if (m_mustRead) {
        // An append without an answer may have made this entry the holder.
        return next_call::read;
    }
    const auto order = candidates(now);
    const auto rank = std::find(order.begin(), order.end(), m_options.instance) - order.begin();
    if (m_isOwn && rank == 0) {
        return next_call::append;
    }
    // In the order also when all have waited for the same lease: the first ones know the counts of all.
    auto turn = std::max(*m_waitingSince, m_startedAt + m_options.warmUp);
    if (m_knownAt) {
        turn = std::max(turn, *m_knownAt + m_options.lease + m_options.claimMargin + (isMinority(now) ? m_options.minorityDelay : duration()));
    }
    if (now < turn + rank * m_options.turnStep) {
        return next_call::none;
    }
    return m_isRead ? next_call::append : next_call::read;
}

void duty_claim::beginRead()
{
    m_underWay = next_call::read;
    m_numberAtCall = m_number;
}

append_record_action duty_claim::beginAppend(const std::string &contents, time_point now)
{
    m_underWay = next_call::append;
    m_numberAtCall = m_number;
    m_appending = contents;
    if (m_open.size() >= maxOpenAppends) {
        m_open.erase(m_open.begin());
    }
    m_open.push_back({.nonce = m_nextNonce, .end = m_end, .begunAt = now});
    return {.value = encodeDutyRecord(
                {.holder = m_options.instance, .incarnation = m_options.incarnation, .nonce = m_nextNonce++, .epoch = m_epoch, .contents = contents}),
            .end = m_end};
}

bool duty_claim::onNewest(const newest_answer &answer, time_point now)
{
    m_underWay = next_call::none;
    if (!answer.isAnswered) {
        onLogFailure(now);
        return false;
    }
    onLogSuccess();
    std::optional<duty_record> record;
    std::optional<std::int64_t> number = 0;
    if (answer.record && answer.record->value) {
        try {
            record = decodeDutyRecord(*answer.record->value);
            number = dutyNumber({.epoch = record->epoch, .offset = answer.record->offset});
        } catch (const shunt_error &error) {
            // Whoever wrote it may act on it, so its number counts; the next record replaces it.
            report({.kind = duty_event_kind::disagreement, .cause = error.what()});
            number = dutyNumber(answer.record->position());
        }
    }
    if (number && *number < m_number && *number >= m_numberAtCall && m_number != m_numberAtCall) {
        // A peer has told of a newer record since the log was asked.
        m_retryAt = now + m_options.minRetryPause;
        return false;
    }
    // A record that was stored in another epoch than its writer had read makes nobody the holder, and its number does not count.
    const bool isProven = !record || record->epoch == answer.epoch;
    if (!number || (*number < m_number && (answer.epoch < epochOf(m_number) || (isProven && answer.epoch == epochOf(m_number))))) {
        report({.kind = duty_event_kind::disagreement, .number = m_number, .cause = "the log's newest record is older than the one known"});
        m_retryAt = now + m_options.maxRetryPause;
        m_mustRead = false;
        m_isOwn = false;
        return false;
    }
    const auto own = std::find_if(m_open.begin(), m_open.end(), [&](const open_append &append) {
        return record && record->incarnation == m_options.incarnation && record->holder == m_options.instance && record->nonce == append.nonce;
    });
    if (own != m_open.end() && isProven) {
        hold(*number, own->begunAt, "its append was stored without an answer");
    } else if (*number > m_number) {
        learn(*number, record ? record->holder : std::string(), now);
    } else if (own != m_open.end()) {
        m_isOwn = false;
    }
    if (!m_knownAt) {
        // Also if there is no record: the log may have returned from a copy without it.
        m_knownAt = now;
    }
    // Those that were to be stored where the partition ends may still take effect.
    std::erase_if(m_open, [&](const open_append &append) { return append.end < answer.end; });
    m_mustRead = false;
    m_isRead = true;
    m_end = answer.end;
    m_epoch = answer.epoch;
    m_isProven = isProven;
    m_contents.reset();
    if (record) {
        m_contents = record->contents;
    }
    return true;
}

bool duty_claim::onAppend(const append_answer &answer, time_point now)
{
    m_underWay = next_call::none;
    if (m_open.empty()) {
        return false;
    }
    const auto append = m_open.back();
    switch (answer.outcome) {
    case append_outcome::unknown:
        m_mustRead = true;
        onLogFailure(now);
        return false;
    case append_outcome::refused:
        m_open.pop_back();
        onLogFailure(now);
        return false;
    case append_outcome::condition_failed:
        onLogSuccess();
        m_open.pop_back();
        // An earlier append of this entry may be what was stored there.
        m_mustRead = !m_open.empty();
        m_isRead = false;
        if (m_isOwn && !m_mustRead) {
            report({.kind = duty_event_kind::lost, .number = m_number, .cause = "the log has another record"});
        }
        m_isOwn = false;
        if (m_number == m_numberAtCall) {
            m_holder.clear();
            // The other record may be as new as this answer.
            m_knownAt = now;
        }
        return false;
    case append_outcome::stored:
        break;
    }
    onLogSuccess();
    m_open.clear();
    const auto number = dutyNumber({.epoch = answer.epoch, .offset = answer.offset});
    if (!number || *number <= m_number || answer.epoch != m_epoch) {
        // The log has returned from a copy: the record does not follow the one that this entry has read, or another entry may be acting.
        report({.kind = duty_event_kind::disagreement, .number = m_number, .cause = "the log has changed between a read and an append"});
        m_isOwn = false;
        m_isRead = false;
        m_knownAt = now;
        return false;
    }
    hold(*number, append.begunAt, m_holder == m_options.instance ? "it started again" : "");
    m_isRead = true;
    m_isProven = true;
    m_contents = std::move(m_appending);
    m_end = answer.offset + 1;
    return true;
}

const std::string *duty_claim::newest() const
{
    return m_isRead && m_contents ? &*m_contents : nullptr;
}

bool duty_claim::isNewestProven() const
{
    return m_isProven;
}

std::optional<std::int64_t> duty_claim::actingNumber(time_point now) const
{
    if (!m_isOwn || now >= m_actUntil) {
        return std::nullopt;
    }
    return m_number;
}

void duty_claim::onCall(call_outcome outcome, time_point now)
{
    switch (outcome) {
    case call_outcome::accepted:
    case call_outcome::refused:
        m_callFailures = {};
        return;
    case call_outcome::superseded:
        report({.kind = duty_event_kind::disagreement, .number = m_number, .cause = "the platform has seen a higher number"});
        m_actUntil = now;
        return;
    case call_outcome::not_sent:
        return;
    case call_outcome::busy:
    case call_outcome::unknown:
        onFailure(m_callFailures, "calls to the platform fail", now);
        return;
    }
}

bool duty_claim::isHolding() const
{
    return m_isOwn;
}

bool duty_claim::isAble(time_point now) const
{
    return now >= m_unableUntil;
}

bool duty_claim::isLeaving() const
{
    return m_isLeaving;
}

std::int64_t duty_claim::number() const
{
    return m_number;
}

const std::string &duty_claim::holder() const
{
    return m_holder;
}

std::vector<std::string> duty_claim::candidates(time_point now) const
{
    const auto keyHash = hashText(m_options.key);
    std::vector<std::tuple<order_group, std::uint64_t, std::string>> order;
    const auto add = [&](const std::string &instance, bool isAble, bool isLeaving, bool isHolding) {
        const auto group = isLeaving ? order_group::leaving : !isAble ? order_group::unable : isHolding ? order_group::holder : order_group::able;
        order.emplace_back(group, mixBits(keyHash ^ hashText(instance)), instance);
    };
    add(m_options.instance, isAble(now), m_isLeaving, m_isOwn);
    for (const auto &[instance, peer] : m_peers) {
        if (isHeard(peer, now)) {
            const auto &notice = peer.notice;
            add(instance, notice.isAble, notice.isLeaving, notice.isHolding && notice.number == m_number);
        }
    }
    std::sort(order.begin(), order.end());
    std::vector<std::string> names;
    names.reserve(order.size());
    for (auto &[group, hash, instance] : order) {
        names.push_back(std::move(instance));
    }
    return names;
}

std::vector<std::string> duty_claim::heardPeers(duration within, time_point now) const
{
    std::vector<std::string> names;
    for (const auto &[instance, peer] : m_peers) {
        if (now - peer.heardAt < within && !(peer.notice.isLeaving && !isHeard(peer, now))) {
            names.push_back(instance);
        }
    }
    return names;
}

std::optional<duration> duty_claim::sinceHeard(const std::string &peer, time_point now) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? std::nullopt : std::optional(now - found->second.heardAt);
}

bool duty_claim::isMinority(time_point now) const
{
    const auto known = heardPeers(m_options.peerMemory, now);
    std::size_t heard = 1;
    std::string least = m_options.instance;
    bool hearsLeast = true;
    for (const auto &instance : known) {
        const bool isHeardNow = isHeard(m_peers.at(instance), now);
        heard += isHeardNow ? 1 : 0;
        if (instance < least) {
            least = instance;
            hearsLeast = isHeardNow;
        }
    }
    const auto all = known.size() + 1;
    return 2 * heard < all || (2 * heard == all && !hearsLeast);
}

duty_claim_status duty_claim::status(time_point now) const
{
    const auto order = candidates(now);
    return {.number = m_number,
            .holder = m_holder,
            .isHolder = m_isOwn,
            .isAble = isAble(now),
            .heardPeers = order.size() - 1,
            .rank = static_cast<std::size_t>(std::find(order.begin(), order.end(), m_options.instance) - order.begin())};
}

duration duty_claim::pauseAfter(int failures, duration shortest, duration longest)
{
    constexpr int maxDoublings = 20;
    constexpr std::int64_t steps = 1024;
    const auto pause = std::min(longest, shortest * (std::int64_t{1} << std::clamp(failures - 1, 0, maxDoublings)));
    m_random = mixBits(m_random);
    // From half to one and a half.
    return pause / 2 + pause * static_cast<std::int64_t>(m_random % steps) / steps;
}

void duty_claim::report(duty_event event)
{
    if (m_events.size() < maxEvents) {
        m_events.push_back(std::move(event));
    }
}

std::vector<duty_event> duty_claim::takeEvents()
{
    return std::exchange(m_events, {});
}

bool duty_claim::isHeard(const peer_state &peer, time_point now) const
{
    return now - peer.heardAt < m_options.peerLifetime;
}

bool duty_claim::isWellHeld(time_point now) const
{
    const auto found = m_peers.find(m_holder);
    if (found == m_peers.end() || !isHeard(found->second, now)) {
        return false;
    }
    const auto &notice = found->second.notice;
    return notice.isHolding && notice.isAble && !notice.isLeaving;
}

void duty_claim::learn(std::int64_t number, const std::string &holder, time_point now)
{
    if (m_isOwn) {
        report({.kind = duty_event_kind::lost, .number = number, .holder = holder, .cause = "another entry has a newer record"});
    }
    m_number = number;
    m_holder = holder;
    m_knownAt = now;
    m_isOwn = false;
}

void duty_claim::hold(std::int64_t number, time_point begunAt, std::string cause)
{
    if (!m_isOwn) {
        if (cause.empty()) {
            cause = m_holder.empty() ? "there was no holder" : "the holder was not heard, not able or late";
        }
        report({.kind = duty_event_kind::takeover, .number = number, .holder = m_holder, .cause = std::move(cause)});
    }
    m_number = number;
    m_holder = m_options.instance;
    m_knownAt = begunAt;
    m_isOwn = true;
    m_actUntil = begunAt + m_options.lease - m_options.leaseMargin;
}

void duty_claim::onLogFailure(time_point now)
{
    onFailure(m_logFailures, "calls to the log fail", now);
    m_retryAt = now + pauseAfter(m_logFailures.count, m_options.minRetryPause, m_options.maxRetryPause);
}

void duty_claim::onLogSuccess()
{
    m_logFailures = {};
}

void duty_claim::onFailure(failure_state &failures, const char *cause, time_point now)
{
    if (failures.count++ == 0) {
        failures.since = now;
    }
    if (now - failures.since >= m_options.failureTolerance && isAble(now)) {
        report({.kind = duty_event_kind::unable, .number = m_number, .cause = cause});
        m_unableUntil = now + m_options.inability;
        failures = {};
    }
}

} // namespace wisteriashunt

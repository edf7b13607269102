#include "membership/topic_records.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wisteriashunt
{

topic_records::topic_records(topic_rules rules, change_hook onChange, change_hook onOutdated)
    : m_rules(std::move(rules))
    , m_onChange(std::move(onChange))
    , m_onOutdated(std::move(onOutdated))
{
}

bool topic_records::noteEpoch(std::int64_t epoch)
{
    if (epoch <= m_epoch) {
        return false;
    }
    // An entry that knows nothing yet has no earlier epoch from which anything could change.
    if (m_next || !m_records.empty()) {
        m_change = epoch_change{.before = m_change ? m_change->before : m_epoch, .epoch = epoch};
    }
    m_epoch = epoch;
    m_next.reset();
    m_pageKey.clear();
    return true;
}

std::int64_t topic_records::epoch() const
{
    return m_epoch;
}

std::optional<log_position> topic_records::next() const
{
    return m_next;
}

log_read topic_records::nextRead() const
{
    if (m_next) {
        return {.isNewest = false, .from = *m_next};
    }
    return {.afterKey = m_pageKey, .from = {.epoch = m_epoch}};
}

read_step topic_records::onPage(const log_read &read, const keyed_page &page)
{
    if (read.isNewest) {
        return onNewestPage(read, page);
    }
    if (read.from.epoch != m_epoch) {
        // The offsets of the call were those of another epoch.
        return read_step::read_new_epoch;
    }
    for (const auto &record : page.records) {
        applyAt(record, m_epoch);
        const log_position after{.epoch = m_epoch, .offset = record.offset + 1};
        if (m_next && *m_next < after) {
            moveTo(after);
        }
    }
    // An answer is limited in size and may hold a part of the records only.
    const bool isPart = !page.records.empty() && page.records.back().offset + 1 < page.end;
    return isPart ? read_step::next_page : read_step::read_on;
}

read_step topic_records::onNewestPage(const log_read &read, const keyed_page &page)
{
    if (read.afterKey.empty()) {
        m_listed.clear();
        m_firstPageEnd = page.end;
        m_knownBeforePages = m_knownUpTo;
        m_newOnPages = 0;
    } else if (read.from.epoch != m_epoch) {
        // The pages before were those of another epoch.
        return read_step::read_new_epoch;
    }
    m_newOnPages += countNew(page.records, m_firstPageEnd);
    for (const auto &record : page.records) {
        m_listed.insert(record.key);
        applyAt(record, m_epoch);
    }
    if (page.hasMore && !page.records.empty()) {
        m_pageKey = page.records.back().key;
        return read_step::next_page;
    }
    m_pageKey.clear();
    const log_position end{.epoch = m_epoch, .offset = m_firstPageEnd};
    const auto removed = removeUnlisted(m_listed, end);
    if (!m_next || *m_next < end) {
        jump(m_knownBeforePages, end, m_newOnPages + removed);
    }
    return read_step::read_on;
}

std::int64_t topic_records::countNew(const std::vector<keyed_record> &records, std::int64_t end) const
{
    const auto isNew = [&](const keyed_record &record) { return record.offset >= m_knownUpTo.offset && record.offset < end; };
    return std::count_if(records.begin(), records.end(), isNew);
}

void topic_records::jump(const log_position &from, const log_position &to, std::int64_t seen)
{
    const bool isFirst = m_knownUpTo.offset < 0;
    const bool isWhole = from == m_knownUpTo && from.epoch == to.epoch && to.offset - from.offset == seen;
    m_hasPassedOver = m_hasPassedOver || (!isFirst && !isWhole);
    moveTo(to);
}

bool topic_records::takePassedOver()
{
    return std::exchange(m_hasPassedOver, false);
}

void topic_records::moveTo(const log_position &position)
{
    m_next = position;
    m_knownUpTo = position;
}

read_step topic_records::onMissing(const log_read &read)
{
    if (read.from.epoch != m_epoch) {
        return read_step::read_new_epoch;
    }
    m_pageKey.clear();
    m_next.reset();
    return read_step::read_newest;
}

bool topic_records::hasNewEpoch() const
{
    return m_change.has_value();
}

std::optional<epoch_change> topic_records::takeChange()
{
    return m_next ? std::exchange(m_change, std::nullopt) : std::nullopt;
}

keyed_snapshot topic_records::snapshot() const
{
    keyed_snapshot result{.next = m_knownUpTo.offset, .epoch = m_knownUpTo.epoch};
    for (const auto &[key, record] : m_records) {
        result.records.push_back(record);
    }
    return result;
}

bool topic_records::merge(const keyed_snapshot &snapshot)
{
    noteEpoch(snapshot.epoch);
    const bool isAhead = snapshot.next >= 0 && snapshot.epoch == m_epoch && (!m_next || *m_next < snapshot.position());
    std::set<std::string> listed;
    for (const auto &record : snapshot.records) {
        listed.insert(record.key);
        // A key that is unknown here was removed, unless the other entry is ahead or the log lost it before this entry read it.
        const bool mayBeLost = m_rules.keepsLostRecords && record.epoch < m_epoch;
        if (isAhead || mayBeLost || m_records.contains(record.key)) {
            apply(record);
        }
    }
    if (!isAhead) {
        return false;
    }
    const auto removed = removeUnlisted(listed, snapshot.position());
    std::vector<keyed_record> ofEpoch;
    std::copy_if(snapshot.records.begin(), snapshot.records.end(), std::back_inserter(ofEpoch), [&](const keyed_record &record) {
        return record.epoch == snapshot.epoch;
    });
    jump(m_knownUpTo, snapshot.position(), countNew(ofEpoch, snapshot.next) + removed);
    return true;
}

bool topic_records::supersedes(const keyed_record &candidate, const keyed_record &known) const
{
    if (candidate.epoch == known.epoch) {
        if (m_rules.mayBeExecutedLate && candidate.value && (m_rules.isOlder(candidate, known) || m_rules.isOlder(known, candidate))) {
            return m_rules.isOlder(known, candidate);
        }
        return candidate.offset > known.offset;
    }
    if (candidate.epoch > known.epoch) {
        return !candidate.value || !m_rules.isOlder(candidate, known);
    }
    return candidate.value && m_rules.isOlder(known, candidate);
}

void topic_records::applyAt(keyed_record record, std::int64_t epoch)
{
    record.epoch = epoch;
    // All records before m_next are known. A snapshot of another entry may have moved it during the call, and the key was removed by then.
    const bool isRemoved = m_next && record.position() < *m_next && !m_records.contains(record.key);
    if (!isRemoved) {
        apply(record);
    }
}

void topic_records::apply(const keyed_record &record)
{
    const auto known = m_records.find(record.key);
    if (known != m_records.end()) {
        const bool isOtherEpoch = record.epoch > known->second.epoch;
        if (!supersedes(record, known->second)) {
            if (m_change && isOtherEpoch) {
                ++m_change->kept;
            }
            if (known->second.position() < record.position() && !isOtherEpoch) {
                m_onOutdated(record);
            }
            return;
        }
        if (m_change && isOtherEpoch && record.value) {
            ++m_change->superseded;
        }
    }
    if (record.value) {
        m_records[record.key] = record;
    } else {
        m_records.erase(record.key);
    }
    m_onChange(record);
}

std::int64_t topic_records::removeUnlisted(const std::set<std::string> &listed, const log_position &end)
{
    std::vector<std::string> missing;
    for (const auto &[key, record] : m_records) {
        if (!listed.contains(key) && record.position() < end) {
            missing.push_back(key);
        }
    }
    std::int64_t removed = 0;
    for (const auto &key : missing) {
        const bool isLost = m_records.at(key).epoch < end.epoch;
        if (isLost && m_rules.keepsLostRecords) {
            if (m_change) {
                ++m_change->kept;
            }
            continue;
        }
        if (m_change) {
            ++m_change->removed;
        }
        apply({.key = key, .offset = end.offset, .epoch = end.epoch});
        ++removed;
    }
    return removed;
}

} // namespace wisteriashunt

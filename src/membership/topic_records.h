/// The newest known record of each key of one topic, and what to read next from the log. Without I/O and clock.
///
/// Within an epoch, offsets order the records, unless the topic's rules say that the log may execute writes late. Across epochs offsets order
/// nothing: the log may have returned from a copy that lacks its newest records. There the records' own contents decide, so that what a record
/// states never goes back.
#pragma once

#include "membership/keyed_record.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Properties of a topic's records that decide between two records of a key.
struct topic_rules
{
    /// Whether the first record is an older state of the key than the second one, by their contents. Both have values.
    std::function<bool(const keyed_record &first, const keyed_record &second)> isOlder = [](const keyed_record &, const keyed_record &) { return false; };
    /// Whether records that a new epoch lacks are kept. Otherwise they are removed.
    bool keepsLostRecords = false;
    /// Whether the contents decide within an epoch as well, where a later offset may hold an earlier write that the log has executed late.
    bool mayBeExecutedLate = false;
};

/// What the first reading of a new epoch changed.
struct epoch_change
{
    std::int64_t before = 0;
    std::int64_t epoch = 0;
    /// Records of earlier epochs that were replaced.
    int superseded = 0;
    /// Records of earlier epochs that are newer than those that were read, or that the log lacks, and are kept.
    int kept = 0;
    /// Records of earlier epochs that the log lacks and that were removed.
    int removed = 0;

    bool operator==(const epoch_change &) const = default;
};

/// A call to the log: one page of the newest record of each key, or the records from a place on.
struct log_read
{
    /// The newest records are read, starting after afterKey unless that is empty.
    bool isNewest = true;
    std::string afterKey;
    /// Place from which records are read; for newest records, its epoch alone is set, to the one known at the call.
    log_position from;

    bool operator==(const log_read &) const = default;
};

/// What to do after an answer of the log.
enum class read_step {
    /// Read on after the usual pause.
    read_on,
    /// Read the next page at once.
    next_page,
    /// The answer is of no use: read the newest records at once.
    read_newest,
    /// The same, but the log has started a new epoch, at which all entries read.
    read_new_epoch,
};

/// Known records of a topic.
class topic_records
{
public:
    /// Called with each record that replaces the known one of its key, or removes it.
    using change_hook = std::function<void(const keyed_record &record)>;

    /// onOutdated is called with each record that a newer one at an earlier offset keeps out; see topic_rules::mayBeExecutedLate.
    topic_records(
        topic_rules rules, change_hook onChange, change_hook onOutdated = [](const keyed_record &) {});

    /// Notes that the log has reached an epoch. Returns true if it is higher than all before; the topic is then read anew.
    bool noteEpoch(std::int64_t epoch);
    [[nodiscard]] std::int64_t epoch() const;
    /// Whether a higher epoch was noted and has not been read completely.
    [[nodiscard]] bool hasNewEpoch() const;
    /// Returns once, after the first complete reading or merge of a higher epoch, what it changed.
    std::optional<epoch_change> takeChange();
    /// Returns once whether records were passed over since the last call: only the newest record of each key was read or merged, and there
    /// were others in between, or the log has returned from a copy. The first reading passes over nothing.
    [[nodiscard]] bool takePassedOver();

    /// Place from which to read on; nothing if the newest records must be read first.
    [[nodiscard]] std::optional<log_position> next() const;
    [[nodiscard]] log_read nextRead() const;
    /// Applies the answer to a call. The epoch of the answer must have been noted before.
    read_step onPage(const log_read &read, const keyed_page &page);
    /// The log does not have the records that the call asked for.
    read_step onMissing(const log_read &read);

    [[nodiscard]] keyed_snapshot snapshot() const;
    /// Merges the records that another entry knows. Returns false if its place in the log is not ahead of the own one.
    bool merge(const keyed_snapshot &snapshot);

private:
    read_step onNewestPage(const log_read &read, const keyed_page &page);
    void moveTo(const log_position &position);
    /// Moves from the known position to one up to which only the newest records are known. `seen` is the number of those in between that were
    /// seen or that removed a known key.
    void jump(const log_position &from, const log_position &to, std::int64_t seen);
    /// Returns the number of records from the known position on and before the end. All must be of the end's epoch.
    [[nodiscard]] std::int64_t countNew(const std::vector<keyed_record> &records, std::int64_t end) const;
    void applyAt(keyed_record record, std::int64_t epoch);
    void apply(const keyed_record &record);
    [[nodiscard]] bool supersedes(const keyed_record &candidate, const keyed_record &known) const;
    /// Returns the number of keys that were removed.
    std::int64_t removeUnlisted(const std::set<std::string> &listed, const log_position &end);

    topic_rules m_rules;
    change_hook m_onChange;
    change_hook m_onOutdated;
    std::map<std::string, keyed_record> m_records;
    std::int64_t m_epoch = 0;
    std::optional<log_position> m_next;
    /// The last value of m_next; offset -1 if there was none.
    log_position m_knownUpTo{.offset = -1};
    /// Keys of the pages read so far, the last of them if more pages follow, and the end of the topic that the first page gave. Pages are not
    /// a consistent snapshot, so records written while they are read are read again from that end on.
    std::set<std::string> m_listed;
    std::string m_pageKey;
    std::int64_t m_firstPageEnd = 0;
    /// The known position before the first of these pages, and the number of their records from there on.
    log_position m_knownBeforePages;
    std::int64_t m_newOnPages = 0;
    bool m_hasPassedOver = false;
    /// What has changed since a higher epoch was noted.
    std::optional<epoch_change> m_change;
};

} // namespace wisteriashunt

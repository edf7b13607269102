// Property test of the configuration reducer, checked against a plain map: stale and repeated changes, retention, snapshots and restarted
// readers.
#include "configuration/reducer.h"

#include "support.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace wisteriashunt
{
namespace
{

using testing::makeClass;

constexpr std::size_t readerCount = 3;

/// A log with operators that write to it and readers that reduce it.
class configuration_simulation
{
public:
    /// Writes a change based on the version that is `staleness` versions old. Writing it twice models a retry after a lost answer.
    void change(int resourceIndex, int staleness, bool isDelete, bool writeTwice)
    {
        const std::string name = "c" + std::to_string(resourceIndex);
        const auto &history = m_versions[name];
        const std::size_t back = std::min<std::size_t>(static_cast<std::size_t>(staleness), history.size());
        const log_offset baseVersion = back == history.size() ? 0 : history[history.size() - 1 - back];
        const int tier = 1 + static_cast<int>(m_log.size()) % tierCount;
        const std::string record = makeChangeRecord({.changeId = "change-" + std::to_string(++m_changes),
                                                     .author = "operator",
                                                     .changedAt = "now",
                                                     .baseVersion = baseVersion,
                                                     .isDelete = isDelete,
                                                     .value = makeClass(name, tier)});
        append(record);
        compareAndSet(name, baseVersion, isDelete, tier);
        if (writeTwice) {
            append(record);
        }
    }

    void appendSnapshot(std::size_t reader)
    {
        append(m_readers[reader % readerCount].makeSnapshotRecord());
    }

    /// Removes the records that the newest retained snapshot covers, if there is one.
    void applyRetention()
    {
        for (std::size_t i = m_log.size(); i-- > m_firstRetainedIndex;) {
            if (m_log[i].find("\"snapshot\"") != std::string::npos) {
                const auto covered = m_coveredOffsets[i];
                m_firstRetainedIndex = std::max(m_firstRetainedIndex, static_cast<std::size_t>(covered));
                return;
            }
        }
    }

    void read(std::size_t reader, std::size_t maxRecords)
    {
        auto &subject = m_readers[reader % readerCount];
        const log_offset before = subject.state().offset;
        log_page page{.firstRetained = m_firstRetainedIndex + 1, .next = m_log.size() + 1, .records = {}};
        const log_offset from = std::max<log_offset>(subject.nextOffset(), page.firstRetained);
        for (log_offset offset = from; offset <= m_log.size() && page.records.size() < maxRecords; ++offset) {
            page.records.push_back({.offset = offset, .data = m_log[offset - 1]});
        }
        subject.apply(page);
        RC_ASSERT(subject.state().offset >= before);
    }

    void transferSnapshot(std::size_t from, std::size_t to)
    {
        auto &subject = m_readers[to % readerCount];
        const log_offset before = subject.state().offset;
        subject.adoptSnapshot(m_readers[from % readerCount].makeSnapshot());
        RC_ASSERT(subject.state().offset >= before);
    }

    void restartReader(std::size_t reader)
    {
        m_readers[reader % readerCount] = {};
    }

    void checkReadersAgree()
    {
        appendSnapshot(readToEnd(0));
        for (std::size_t i = 0; i < readerCount; ++i) {
            readToEnd(i);
            const auto &classes = m_readers[i].state().classes;
            RC_ASSERT(classes.size() == m_expected.size());
            for (const auto &[name, expected] : m_expected) {
                RC_ASSERT(classes.contains(name));
                RC_ASSERT(classes.at(name).version == expected.first);
                RC_ASSERT(classes.at(name).value.tier == expected.second);
            }
        }
    }

private:
    void append(const std::string &record)
    {
        m_log.push_back(record);
        m_coveredOffsets.push_back(m_log.size() - 1);
        if (record.find("\"snapshot\"") != std::string::npos) {
            const auto position = record.find("\"offset\":");
            m_coveredOffsets.back() = std::stoul(record.substr(position + 9));
        }
    }

    /// Reference model: a compare-and-set on the version.
    void compareAndSet(const std::string &name, log_offset baseVersion, bool isDelete, int tier)
    {
        const auto existing = m_expected.find(name);
        const log_offset version = existing == m_expected.end() ? 0 : existing->second.first;
        if (version != baseVersion || (isDelete && version == 0)) {
            return;
        }
        if (isDelete) {
            m_expected.erase(existing);
            m_versions[name].clear();
        } else {
            m_expected[name] = {m_log.size(), tier};
            m_versions[name].push_back(m_log.size());
        }
    }

    std::size_t readToEnd(std::size_t reader)
    {
        constexpr std::size_t unlimited = 100000;
        for (int i = 0; i < 3; ++i) {
            read(reader, unlimited);
        }
        return reader;
    }

    std::vector<std::string> m_log;
    /// For each record that holds a snapshot, the offset up to which the snapshot covers the log.
    std::vector<std::size_t> m_coveredOffsets;
    std::size_t m_firstRetainedIndex = 0;
    int m_changes = 0;
    std::array<configuration_reducer, readerCount> m_readers;
    /// Version and tier of each class that exists.
    std::map<std::string, std::pair<log_offset, int>> m_expected;
    /// Versions of each class since it was last created, oldest first.
    std::map<std::string, std::vector<log_offset>> m_versions;
};

RC_GTEST_PROP(configuration_property, ReadersConvergeAndTheirOffsetsNeverDecrease, ())
{
    configuration_simulation simulation;
    const auto steps =
        *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange(0, 4), rc::gen::inRange(0, 6)));
    for (const auto &[kind, first, second] : steps) {
        const auto index = static_cast<std::size_t>(first);
        if (kind < 5) {
            simulation.change(first, second < 4 ? 0 : second - 3, second == 2, second == 3);
        } else if (kind < 8) {
            simulation.read(index, static_cast<std::size_t>(second + 1));
        } else if (kind == 8) {
            simulation.appendSnapshot(index);
        } else if (kind == 9) {
            simulation.applyRetention();
        } else if (kind == 10) {
            simulation.transferSnapshot(index, static_cast<std::size_t>(second));
        } else {
            simulation.restartReader(index);
        }
    }
    simulation.checkReadersAgree();
}

} // namespace
} // namespace wisteriashunt

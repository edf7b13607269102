/// Reduces the configuration stream of the log to the configuration in force. All readers of the same records reach the same state.
#pragma once

#include "configuration/declarations.h"
#include "wisteriashunt/platform.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Name of the log stream that holds configuration changes and snapshots.
constexpr const char *configurationStream = "configuration";

/// A requested change of one resource.
struct configuration_change
{
    /// Identifier chosen by the writer. A change that is written twice is applied once.
    std::string changeId;
    std::string author;
    /// RFC 3339 time given by the writer, for display only.
    std::string changedAt;
    /// Version of the resource that the change replaces; 0 if the resource must not exist yet.
    log_offset baseVersion = 0;
    bool isDelete = false;
    /// The new value. For a delete, only its kind and name are used.
    resource value;

    auto operator<=>(const configuration_change &) const = default;
};

/// Result of a change. Snapshots store the numbers of the enumerators, so their order must not change.
enum class change_verdict {
    /// Not read yet, or no longer remembered.
    unknown,
    accepted,
    /// The resource did not have the base version of the change.
    conflict,
    /// The record could not be decoded.
    malformed,
};

/// Returns the log record of a change.
[[nodiscard]] std::string makeChangeRecord(const configuration_change &change);

/// State machine over the records of the configuration stream. Its offset never decreases.
class configuration_reducer
{
public:
    /// Applies the records of a page that follow in order. Returns false until a snapshot covers every record lost to retention.
    bool apply(const log_page &page);

    /// Replaces the state by a snapshot made by `makeSnapshot`. Returns false and changes nothing if the snapshot is invalid or not newer.
    bool adoptSnapshot(const std::string &snapshot);

    /// Returns the state, with the remembered verdicts, as JSON. The same state always gives the same text.
    [[nodiscard]] std::string makeSnapshot() const;

    /// Returns the log record that holds the snapshot.
    [[nodiscard]] std::string makeSnapshotRecord() const;

    [[nodiscard]] const configuration_state &state() const;

    /// Returns the verdict on a change, or `unknown` if the change has not been read or is no longer remembered.
    [[nodiscard]] change_verdict verdictOf(const std::string &changeId) const;

    /// Returns the offset of the last snapshot record that was read; 0 if there was none.
    [[nodiscard]] log_offset lastSnapshotOffset() const;

    /// Returns the offset to read from next.
    [[nodiscard]] log_offset nextOffset() const;

private:
    void applyRecord(const log_record &record);
    void applyChange(const log_record &record);
    /// Adopts the snapshot if it covers the gap, then applies the buffered records that follow it.
    void closeGap(const nlohmann::json &snapshotRecord);
    /// Writes or deletes the resource if its current version is the base version of the change.
    template<typename T>
    change_verdict compareAndSet(std::map<std::string, versioned<T>> &resources, const configuration_change &change, log_offset offset);
    void recordVerdict(const std::string &changeId, change_verdict verdict);

    configuration_state m_state;
    std::map<std::string, change_verdict> m_verdicts;
    /// Identifiers of the remembered changes, oldest first.
    std::vector<std::string> m_verdictOrder;
    /// Records read while the gap is open.
    std::vector<log_record> m_buffered;
    log_offset m_lastSnapshotOffset = 0;
    log_offset m_nextInGap = 1;
    bool m_hasGap = false;
    /// First offset that could be read after the gap. A snapshot closes the gap if it covers every record before this offset.
    log_offset m_firstAfterGap = 0;
};

} // namespace wisteriashunt

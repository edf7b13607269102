/// Reduces the configuration stream of the log to the configuration in force. Every reader reduces the same records to the same state.
#pragma once

#include "configuration/declarations.h"
#include "wisteriashunt/platform.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Name of the stream.
constexpr const char *configurationStream = "configuration";

/// A wanted change of one resource.
struct configuration_change
{
    /// Chosen by the writer; the same change written twice counts once.
    std::string changeId;
    std::string author;
    /// RFC 3339 time of the writer, for people only.
    std::string changedAt;
    /// Version that the change is based on; 0 for a resource that must not exist.
    log_offset baseVersion = 0;
    bool isDelete = false;
    /// The new value; for a delete only kind and name count.
    resource value;

    auto operator<=>(const configuration_change &) const = default;
};

/// How a change was judged.
enum class change_verdict {
    unknown,
    accepted,
    conflict,
    malformed,
};

/// Returns the log record of a change.
[[nodiscard]] std::string makeChangeRecord(const configuration_change &change);

/// Reducer with everything that judging a change needs. Never goes back to an older offset.
class configuration_reducer
{
public:
    /// Applies a page. Returns false if records were lost to retention and no snapshot has closed the gap yet.
    bool apply(const log_page &page);

    /// Takes a snapshot from a peer, in the form of `makeSnapshot`. An older one, or one that cannot be read, changes nothing.
    bool adoptSnapshot(const std::string &snapshot);

    /// Returns the state at `state().offset` as JSON. The same state always gives the same text.
    [[nodiscard]] std::string makeSnapshot() const;

    /// Returns the log record that holds the snapshot.
    [[nodiscard]] std::string makeSnapshotRecord() const;

    [[nodiscard]] const configuration_state &state() const;

    /// Returns how the change was judged, if it was read and is recent.
    [[nodiscard]] change_verdict verdictOf(const std::string &changeId) const;

    /// Returns the offset of the last snapshot record that was read.
    [[nodiscard]] log_offset lastSnapshotOffset() const;

    /// Returns the offset to read from next.
    [[nodiscard]] log_offset nextOffset() const;

private:
    void applyRecord(const log_record &record);
    void applyChange(const log_record &record);
    void closeGap(const nlohmann::json &snapshotRecord);
    template<typename T>
    change_verdict compareAndSet(std::map<std::string, versioned<T>> &resources, const configuration_change &change, log_offset offset);
    void recordVerdict(const std::string &changeId, change_verdict verdict);

    configuration_state m_state;
    std::map<std::string, change_verdict> m_verdicts;
    std::vector<std::string> m_verdictOrder;
    std::vector<log_record> m_buffered;
    log_offset m_lastSnapshotOffset = 0;
    log_offset m_nextInGap = 1;
    bool m_hasGap = false;
    /// First offset that was read after the gap; a snapshot closes the gap if it covers everything before.
    log_offset m_firstAfterGap = 0;
};

} // namespace wisteriashunt

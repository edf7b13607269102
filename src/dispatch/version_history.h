/// Which software versions endpoints have had, as shown by the records that the list's log still holds. Without I/O and clock.
///
/// The records bear no time. They prove something only if the log still holds the first one, since they then show all versions there ever were.
#pragma once

#include "dispatch/stream_versions.h"

#include <set>

namespace wisteriashunt
{

/// Reads the records of the list from some offset on.
class version_history
{
public:
    explicit version_history(bool isFromFirstRecord);

    void onRecord(const endpoint_record &record);

    /// Returns the versions. Any of them may have been listed until now.
    [[nodiscard]] std::vector<listed_version> versions() const;
    /// Returns the time for which no other versions than these were listed, at least.
    [[nodiscard]] duration knownFor() const;

private:
    bool m_isFromFirstRecord;
    std::set<stream_origin> m_versions;
};

} // namespace wisteriashunt

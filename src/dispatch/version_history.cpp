#include "dispatch/version_history.h"

namespace wisteriashunt
{

namespace
{

/// Longer than any stream.
constexpr std::chrono::hours allTime{1};

} // namespace

version_history::version_history(bool isFromFirstRecord)
    : m_isFromFirstRecord(isFromFirstRecord)
{
}

void version_history::onRecord(const endpoint_record &record)
{
    m_versions.insert({.service = record.service, .softwareVersion = record.softwareVersion});
}

std::vector<listed_version> version_history::versions() const
{
    std::vector<listed_version> versions;
    for (const auto &version : m_versions) {
        versions.push_back({.version = version});
    }
    return versions;
}

duration version_history::knownFor() const
{
    return m_isFromFirstRecord ? duration(allTime) : duration{};
}

} // namespace wisteriashunt

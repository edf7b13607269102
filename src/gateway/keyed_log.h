/// The platform's log as an entry reads it: topics in which only the newest record of each key counts.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriashunt
{

/// One record. Without a value the key is dropped.
struct keyed_record
{
    std::string key;
    std::optional<std::string> value;
    std::int64_t offset = 0;

    bool operator==(const keyed_record &) const = default;
};

/// Part of a topic.
struct keyed_page
{
    std::vector<keyed_record> records;
    /// Offset after the last record of the topic.
    std::int64_t end = 0;
    /// More keys follow after the last one of this page.
    bool hasMore = false;
};

/// The newest record of every key, as far as the log had been read.
struct keyed_snapshot
{
    /// Offset after the last record that was read.
    std::int64_t next = 0;
    std::vector<keyed_record> records;

    bool operator==(const keyed_snapshot &) const = default;
};

/// Builds calls to the log and reads their answers; filled in by the platform's adapter. The readers throw shunt_error(platform_unavailable)
/// with the reason if the bytes are not what was asked for.
struct keyed_log_dialect
{
    /// A complete HTTP request for the newest record of each key, after the key if one is given.
    std::function<std::string(std::string_view topic, std::string_view afterKey)> newestRequest;
    std::function<keyed_page(std::string_view body)> readNewest;
    /// A complete HTTP request for the records from the offset on, which waits for the first one that long.
    std::function<std::string(std::string_view topic, std::int64_t from, std::int64_t waitMilliseconds)> recordsRequest;
    std::function<keyed_page(std::string_view body, std::int64_t from)> readRecords;
    /// Status with which the log says that the asked-for records have been deleted.
    int deletedStatus = 0;
};

} // namespace wisteriashunt

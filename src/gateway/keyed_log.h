/// The platform's log as an entry reads it: topics in which the newest record of each key replaces the earlier ones.
#pragma once

#include "http/message.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriashunt
{

/// A place in a topic. The log starts a new epoch when it returns from a copy that lacks its newest records; offsets of different epochs are
/// unrelated.
struct log_position
{
    std::int64_t epoch = 0;
    std::int64_t offset = 0;

    auto operator<=>(const log_position &) const = default;
};

/// One record. A record without a value removes its key.
struct keyed_record
{
    std::string key;
    std::optional<std::string> value;
    std::int64_t offset = 0;
    /// Epoch in which the record was read.
    std::int64_t epoch = 0;

    [[nodiscard]] log_position position() const
    {
        return {.epoch = epoch, .offset = offset};
    }
    bool operator==(const keyed_record &) const = default;
};

/// One page of the records of a topic.
struct keyed_page
{
    std::vector<keyed_record> records;
    /// Offset after the last record of the topic.
    std::int64_t end = 0;
    /// Whether more keys follow the last one of this page.
    bool hasMore = false;
};

/// The newest record of every key up to an offset.
struct keyed_snapshot
{
    /// Offset after the last record that was read; -1 if the topic has not been read completely. Then the records are some of its newest.
    std::int64_t next = 0;
    std::vector<keyed_record> records;
    /// Epoch of that offset. Records may be of earlier ones.
    std::int64_t epoch = 0;

    [[nodiscard]] log_position position() const
    {
        return {.epoch = epoch, .offset = next};
    }

    bool operator==(const keyed_snapshot &) const = default;
};

/// Builds calls to the log and parses their answers. Set by the platform's adapter. readNewest and readRecords throw
/// shunt_error(platform_unavailable) with the reason if the body is not a valid answer.
struct keyed_log_dialect
{
    /// Builds a complete HTTP request for the newest record of each key, starting after afterKey unless that is empty.
    std::function<std::string(std::string_view topic, std::string_view afterKey)> newestRequest;
    std::function<keyed_page(std::string_view body)> readNewest;
    /// Builds a complete HTTP request for the records from the offset on. The log holds the request for up to waitMilliseconds while there
    /// is none.
    std::function<std::string(std::string_view topic, std::int64_t from, std::int64_t waitMilliseconds)> recordsRequest;
    std::function<keyed_page(std::string_view body, std::int64_t from)> readRecords;
    /// Returns the epoch that an answer of the log names, or nothing if it names none. Throws shunt_error(platform_unavailable) if the epoch
    /// is no number.
    std::function<std::optional<std::int64_t>(const header_list &headers)> readEpoch;
    /// HTTP status of the log's answer if it does not have the requested records: they have been deleted, or it ends before them.
    int deletedStatus = 0;
};

} // namespace wisteriashunt

/// Records of the platform's log: topics in which the newest record of each key replaces the earlier ones.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
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

} // namespace wisteriashunt

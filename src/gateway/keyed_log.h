/// How an entry calls the platform's log.
#pragma once

#include "http/message.h"
#include "membership/keyed_record.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriashunt
{

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
    /// Builds a complete HTTP request that appends a record; with an offset, only if the topic ends there.
    std::function<std::string(std::string_view topic, std::string_view key, std::string_view value, std::optional<std::int64_t> at)> appendRequest;
    /// Returns the offset of the record that was appended. Throws shunt_error(platform_unavailable) if the body names none.
    std::function<std::int64_t(std::string_view body)> readOffset;
    /// HTTP status of the log's answer to an append if the topic ended elsewhere; nothing was appended.
    int conflictStatus = 0;
    /// Returns the epoch that an answer of the log names, or nothing if it names none. Throws shunt_error(platform_unavailable) if the epoch
    /// is no number.
    std::function<std::optional<std::int64_t>(const header_list &headers)> readEpoch;
    /// HTTP status of the log's answer if it does not have the requested records: they have been deleted, or it ends before them.
    int deletedStatus = 0;
    /// Epoch of a log that has never returned from a copy.
    std::int64_t firstEpoch = 0;
    /// Topic of our own with one record for each entry, in which it stores the streams that began at it.
    std::string streamsTopic;
};

} // namespace wisteriashunt

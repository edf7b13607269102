/// Records of duties, and of counts, in the platform's log.
#pragma once

#include "duties/duty_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriashunt
{

/// One record, which makes its writer the holder.
struct duty_record
{
    std::string holder;
    /// Identify the process that wrote it, and its append.
    std::uint64_t incarnation = 0;
    std::uint64_t nonce = 0;
    /// Epoch of the log in which the writer had read what the record follows.
    std::int64_t epoch = 0;
    /// What the duty keeps.
    std::string contents;

    bool operator==(const duty_record &) const = default;
};

/// Final counts of a window.
struct fixed_window
{
    std::int64_t window = 0;
    usage_counts counts;

    bool operator==(const fixed_window &) const = default;
};

/// Contents of the records of usage reports.
struct usage_contents
{
    /// Counts of this window and all before it are final or given up.
    std::int64_t fixedThrough = -1;
    /// Windows up to this one were accepted or given up when the record was written.
    std::int64_t reportedThrough = -1;
    /// Fixed windows that were not reported then, in order.
    std::vector<fixed_window> windows;

    bool operator==(const usage_contents &) const = default;
};

/// The newest order of endpoints of a service in an availability zone.
struct recorded_order
{
    std::string service;
    std::string availabilityZone;
    int desired = 0;
    /// Rises with each order, over all services and zones.
    std::int64_t sequence = 0;
    /// Wall clock of its writer, in milliseconds since 1970.
    std::int64_t wallMilliseconds = 0;
    /// Whether the platform had accepted it, or refused it for good, when the record was written.
    bool isDone = false;

    bool operator==(const recorded_order &) const = default;
};

/// Returns the number under which the holder acts whose record was appended at the position, or nothing if the position is out of range. Rises
/// with the position.
[[nodiscard]] std::optional<std::int64_t> dutyNumber(const log_position &position);
/// Returns the epoch of the position that the number was made of.
[[nodiscard]] std::int64_t epochOf(std::int64_t number);

[[nodiscard]] std::string encodeDutyRecord(const duty_record &record);
[[nodiscard]] std::string encodeUsageContents(const usage_contents &contents);
[[nodiscard]] std::string encodeUsageDigest(const usage_digest &digest);
[[nodiscard]] std::string encodeOrders(const std::vector<recorded_order> &orders);
/// Throw shunt_error(malformed_frame) if the bytes are not valid.
[[nodiscard]] duty_record decodeDutyRecord(std::string_view bytes);
[[nodiscard]] usage_contents decodeUsageContents(std::string_view bytes);
[[nodiscard]] std::vector<recorded_order> decodeOrders(std::string_view bytes);
[[nodiscard]] usage_digest decodeUsageDigest(std::string_view bytes);

} // namespace wisteriashunt

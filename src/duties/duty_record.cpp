#include "duties/duty_record.h"

#include "membership/bounded_unpack.h"
#include "wisteriashunt/errors.h"

#include <msgpack.hpp>
#include <tuple>

namespace wisteriashunt
{

namespace
{

/// Raised when fields of the record or its contents change.
constexpr int formatVersion = 1;
constexpr int offsetBits = 32;
constexpr std::int64_t maxOffset = (std::int64_t{1} << offsetBits) - 2;
constexpr std::int64_t maxEpoch = (std::int64_t{1} << (62 - offsetBits));

using packed_record = std::tuple<int, std::string, std::uint64_t, std::uint64_t, std::int64_t, std::string>;
/// Service, zone, desired endpoints, sequence, wall clock and whether it is done.
using packed_orders = std::tuple<int, std::vector<std::tuple<std::string, std::string, int, std::int64_t, std::int64_t, bool>>>;
using packed_contents = std::tuple<int, std::int64_t, std::int64_t, std::vector<std::tuple<std::int64_t, usage_counts>>>;
/// Version, instance, incarnation, and for each window whether its counts are final, and the counts.
using packed_digest = std::tuple<int, std::string, std::uint64_t, std::vector<std::tuple<std::int64_t, bool, usage_counts>>>;

template<typename Packed>
std::string packed(const Packed &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

template<typename Packed>
Packed unpacked(std::string_view bytes, const char *what)
{
    try {
        const auto value = unpackBounded(bytes).get().as<Packed>();
        if (std::get<0>(value) == formatVersion) {
            return value;
        }
    } catch (const msgpack::type_error &) { // NOLINT(bugprone-empty-catch): reported below
    } catch (const msgpack::unpack_error &) { // NOLINT(bugprone-empty-catch): reported below
    }
    throw shunt_error(error_kind::malformed_frame, std::string(what) + " of a duty: " + std::to_string(bytes.size()) + " bytes are not valid");
}

} // namespace

std::optional<std::int64_t> dutyNumber(const log_position &position)
{
    if (position.epoch < 0 || position.epoch > maxEpoch || position.offset < 0 || position.offset > maxOffset) {
        return std::nullopt;
    }
    return (position.epoch << offsetBits) + position.offset + 1;
}

std::int64_t epochOf(std::int64_t number)
{
    return number >> offsetBits;
}

std::string encodeDutyRecord(const duty_record &record)
{
    return packed(packed_record{formatVersion, record.holder, record.incarnation, record.nonce, record.epoch, record.contents});
}

std::string encodeUsageContents(const usage_contents &contents)
{
    packed_contents value{formatVersion, contents.fixedThrough, contents.reportedThrough, {}};
    for (const auto &window : contents.windows) {
        std::get<3>(value).emplace_back(window.window, window.counts);
    }
    return packed(value);
}

std::string encodeUsageDigest(const usage_digest &digest)
{
    packed_digest value{formatVersion, digest.instance, digest.incarnation, {}};
    for (const auto &total : digest.totals) {
        usage_counts counts;
        for (const auto &row : digest.rows) {
            if (row.window == total.window) {
                counts[row.workspace] = row.count;
            }
        }
        std::get<3>(value).emplace_back(total.window, total.isFinal, std::move(counts));
    }
    return packed(value);
}

duty_record decodeDutyRecord(std::string_view bytes)
{
    auto [version, holder, incarnation, nonce, epoch, contents] = unpacked<packed_record>(bytes, "record");
    return {.holder = std::move(holder), .incarnation = incarnation, .nonce = nonce, .epoch = epoch, .contents = std::move(contents)};
}

usage_contents decodeUsageContents(std::string_view bytes)
{
    auto [version, fixedThrough, reportedThrough, windows] = unpacked<packed_contents>(bytes, "contents");
    usage_contents contents{.fixedThrough = fixedThrough, .reportedThrough = reportedThrough};
    for (auto &[window, counts] : windows) {
        contents.windows.push_back({.window = window, .counts = std::move(counts)});
    }
    return contents;
}

usage_digest decodeUsageDigest(std::string_view bytes)
{
    const auto [version, instance, incarnation, windows] = unpacked<packed_digest>(bytes, "counts");
    usage_digest digest{.instance = instance, .incarnation = incarnation};
    for (const auto &[window, isFinal, counts] : windows) {
        std::uint64_t total = 0;
        for (const auto &[workspace, count] : counts) {
            total += count;
            digest.rows.push_back({.window = window, .workspace = workspace, .count = count});
        }
        digest.totals.push_back({.window = window, .total = total, .isFinal = isFinal});
    }
    return digest;
}

std::string encodeOrders(const std::vector<recorded_order> &orders)
{
    packed_orders value{formatVersion, {}};
    for (const auto &order : orders) {
        std::get<1>(value).emplace_back(order.service, order.availabilityZone, order.desired, order.sequence, order.wallMilliseconds, order.isDone);
    }
    return packed(value);
}

std::vector<recorded_order> decodeOrders(std::string_view bytes)
{
    const auto [version, list] = unpacked<packed_orders>(bytes, "orders");
    std::vector<recorded_order> orders;
    for (const auto &[service, availabilityZone, desired, sequence, wallMilliseconds, isDone] : list) {
        orders.push_back({.service = service,
                          .availabilityZone = availabilityZone,
                          .desired = desired,
                          .sequence = sequence,
                          .wallMilliseconds = wallMilliseconds,
                          .isDone = isDone});
    }
    return orders;
}

} // namespace wisteriashunt

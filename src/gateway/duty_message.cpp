#include "gateway/duty_message.h"

#include "membership/bounded_unpack.h"
#include "wisteriashunt/errors.h"

#include <tuple>

namespace wisteriashunt
{

namespace
{

/// More requests of one entry, or more of them per second, are a mistake.
constexpr double maxLoad = 1e9;

/// Instance, number and holder of the newest record, whether the sender holds the duty, windows that are fixed and reported, whether the sender
/// is able and leaves, and its wall clock.
using packed_notice = std::tuple<std::string, std::int64_t, std::string, bool, std::int64_t, std::int64_t, bool, bool, std::int64_t>;
/// Window, sum, and whether it is final.
using packed_total = std::tuple<std::int64_t, std::uint64_t, bool>;
using packed_row = std::tuple<std::int64_t, std::string, std::uint64_t>;
/// Instance, incarnation, totals and rows.
using packed_usage = std::tuple<std::string, std::uint64_t, std::vector<packed_total>, std::vector<packed_row>>;
/// Service, zone, requests that run, begin per second, wait and are refused per second, and the share of the first byte's target.
using packed_scaling_row = std::tuple<std::string, std::string, double, double, double, double, double>;
/// The list of figures has one element or none.
using packed_orders = std::tuple<packed_notice, std::vector<std::vector<packed_scaling_row>>>;
/// The lists have one element or none. Entries of earlier versions end before the last, and skip it.
using packed_duty_message = std::tuple<int, packed_notice, std::vector<packed_usage>, std::vector<packed_orders>>;

packed_notice packNotice(const duty_notice &notice)
{
    return {notice.instance,
            notice.number,
            notice.holder,
            notice.isHolding,
            notice.fixedThrough,
            notice.reportedThrough,
            notice.isAble,
            notice.isLeaving,
            notice.wallMicroseconds};
}

duty_notice unpackNotice(const packed_notice &packed)
{
    const auto &[instance, number, holder, isHolding, fixedThrough, reportedThrough, isAble, isLeaving, wall] = packed;
    if (instance.empty()) {
        throw msgpack::type_error();
    }
    return {.instance = instance,
            .number = number,
            .holder = holder,
            .fixedThrough = fixedThrough,
            .reportedThrough = reportedThrough,
            .isAble = isAble,
            .isLeaving = isLeaving,
            .isHolding = isHolding,
            .wallMicroseconds = wall};
}

packed_orders packOrders(const orders_part &orders)
{
    packed_orders packed{packNotice(orders.notice), {}};
    if (orders.figures) {
        auto &rows = std::get<1>(packed).emplace_back();
        for (const auto &row : orders.figures->rows) {
            const auto &load = row.load;
            if (rows.size() < maxScalingRows) {
                rows.emplace_back(
                    row.service, row.availabilityZone, load.running, load.begunPerSecond, load.waiting, load.refusedPerSecond, load.firstByteShare);
            }
        }
    }
    return packed;
}

orders_part unpackOrders(const packed_orders &packed)
{
    const auto &[notice, figures] = packed;
    orders_part orders{.notice = unpackNotice(notice)};
    if (figures.empty()) {
        return orders;
    }
    if (figures.front().size() > maxScalingRows) {
        throw msgpack::type_error();
    }
    orders.figures.emplace();
    for (const auto &[service, availabilityZone, running, begun, waiting, refused, firstByteShare] : figures.front()) {
        // Also false for numbers that are none: what one entry tells is added to what the others do.
        const auto isLoad = [](double value) { return value >= 0 && value < maxLoad; };
        if (!isLoad(running) || !isLoad(begun) || !isLoad(waiting) || !isLoad(refused) || !isLoad(firstByteShare)) {
            throw msgpack::type_error();
        }
        orders.figures->rows.push_back(
            {.service = service,
             .availabilityZone = availabilityZone,
             .load = {.running = running, .begunPerSecond = begun, .waiting = waiting, .refusedPerSecond = refused, .firstByteShare = firstByteShare}});
    }
    return orders;
}

packed_usage packUsage(const usage_digest &usage)
{
    std::vector<packed_total> totals;
    for (const auto &each : usage.totals) {
        totals.emplace_back(each.window, each.total, each.isFinal);
    }
    std::vector<packed_row> rows;
    for (const auto &row : usage.rows) {
        rows.emplace_back(row.window, row.workspace, row.count);
    }
    return {usage.instance, usage.incarnation, totals, rows};
}

usage_digest unpackUsage(const packed_usage &packed)
{
    const auto &[instance, incarnation, totals, rows] = packed;
    usage_digest usage{.instance = instance, .incarnation = incarnation};
    for (const auto &[window, total, isFinal] : totals) {
        usage.totals.push_back({.window = window, .total = total, .isFinal = isFinal});
    }
    for (const auto &[window, workspace, count] : rows) {
        usage.rows.push_back({.window = window, .workspace = workspace, .count = count});
    }
    return usage;
}

} // namespace

std::string encodeDutyMessage(const duty_message &message)
{
    std::vector<packed_orders> orders;
    if (message.orders) {
        orders.push_back(packOrders(*message.orders));
    }
    std::vector<packed_usage> usage;
    if (message.usage) {
        usage.push_back(packUsage(*message.usage));
    }
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, packed_duty_message{dutyFormatVersion, packNotice(message.notice), usage, orders});
    return {buffer.data(), buffer.size()};
}

duty_message decodeDutyMessage(std::string_view bytes)
{
    try {
        const auto handle = unpackBounded(bytes);
        const auto [format, notice, usage, orders] = handle.get().as<packed_duty_message>();
        if (format != dutyFormatVersion) {
            throw msgpack::type_error();
        }
        duty_message message{.notice = unpackNotice(notice)};
        if (!orders.empty()) {
            message.orders = unpackOrders(orders.front());
        }
        if (!usage.empty()) {
            message.usage = unpackUsage(usage.front());
        }
        return message;
    } catch (const msgpack::type_error &) {
        throw shunt_error(error_kind::malformed_frame, "duty message: a member has an unexpected type");
    } catch (const msgpack::unpack_error &) {
        throw shunt_error(error_kind::malformed_frame, "duty message: " + std::to_string(bytes.size()) + " bytes are not valid msgpack");
    }
}

} // namespace wisteriashunt

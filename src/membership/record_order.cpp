#include "membership/record_order.h"

#include "membership/endpoint_roster.h"

#include <utility>

namespace wisteriashunt
{

bool isSameIncarnation(const endpoint_record &record, const last_record &last)
{
    return record.startedAtMilliseconds != 0 && record.startedAtMilliseconds == last.startedAtMilliseconds;
}

bool isOutdated(const endpoint_record &record, const std::optional<log_position> &place, const last_record &last)
{
    const bool isSameEpoch = place && last.place && place->epoch == last.place->epoch;
    if (!isSameEpoch) {
        return std::pair(record.startedAtMilliseconds, record.sequence) <= std::pair(last.startedAtMilliseconds, last.sequence);
    }
    if (place->offset <= last.place->offset) {
        return true;
    }
    if (isSameIncarnation(record, last)) {
        return last.isRemoved && record.sequence < last.sequence;
    }
    return record.startedAtMilliseconds != 0 && record.startedAtMilliseconds < last.startedAtMilliseconds;
}

bool mayBeLive(const endpoint_record &record, const last_record &last)
{
    return last.isRemoved && isSameIncarnation(record, last) && !last.isDraining && !record.isDraining;
}

endpoint_record withoutImpossibleNumbers(endpoint_record record, time_point wallClock)
{
    constexpr std::chrono::minutes maxClockDifference{1};
    const auto latestStart = std::chrono::duration_cast<std::chrono::milliseconds>((wallClock + maxClockDifference).time_since_epoch()).count();
    if (record.startedAtMilliseconds > latestStart) {
        record.startedAtMilliseconds = 0;
    }
    // An endpoint writes at most one record a millisecond.
    if (record.startedAtMilliseconds != 0 && record.sequence > latestStart - record.startedAtMilliseconds) {
        record.sequence = 0;
    }
    return record;
}

} // namespace wisteriashunt

/// Which of two records of an endpoint is newer by the order in which its writers wrote them.
///
/// The log may execute a write seconds after it was sent, so within an epoch the place of a record says when the log executed it. What the writers
/// cannot have meant is left out: an incarnation that leaves does not return, a newer incarnation is not followed by an older one, and a removed
/// incarnation does not return with a lower sequence.
#pragma once

#include "membership/keyed_record.h"
#include "wisteriashunt/time.h"

#include <cstdint>
#include <optional>

namespace wisteriashunt
{

struct endpoint_record;

/// What is kept of the newest record of a key, also after the key was removed.
struct last_record
{
    std::int64_t startedAtMilliseconds = 0;
    std::int64_t sequence = 0;
    /// Whether a record of this incarnation said that it leaves.
    bool isDraining = false;
    /// Whether the key has been removed since.
    bool isRemoved = false;
    std::optional<log_position> place;

    bool operator==(const last_record &) const = default;
};

/// Whether the record is of the incarnation of the last one. Records without a start belong to no known incarnation.
[[nodiscard]] bool isSameIncarnation(const endpoint_record &record, const last_record &last);

/// Whether the record was written before the last one.
[[nodiscard]] bool isOutdated(const endpoint_record &record, const std::optional<log_position> &place, const last_record &last);

/// Whether an outdated record may nevertheless be of a live endpoint. It is if the log does not remove it again: the endpoint's further heartbeats then
/// change nothing that the log would tell.
[[nodiscard]] bool mayBeLive(const endpoint_record &record, const last_record &last);

/// Returns the record without a start that lies in the future of the wall clock, and without a sequence that cannot have been reached since the
/// start. Such numbers would keep later records out.
[[nodiscard]] endpoint_record withoutImpossibleNumbers(endpoint_record record, time_point wallClock);

} // namespace wisteriashunt

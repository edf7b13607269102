/// When an entry reads the list of endpoints, and for how long it holds removals after the log was away.
#pragma once

#include "membership/outage_watch.h"
#include "wisteriashunt/time.h"

namespace wisteriashunt
{

/// Timing of the readings of the list.
///
/// An endpoint that is removed while the log answers must get no requests maxDrainDelay later. The delays until the removal takes effect add up to
///   period + answer, for an entry that reads the log itself;
///   period + answer + relayPeriod + tick + answer, for one that follows the list through another;
///   maxRelayedAge + check + answer, if that other one ends or is suspended;
///   period + timeout + initialBackoff + answer, if the connection to the log has gone silent,
/// where answer is the time of a call, tick the period in which an entry looks whether a call to a relay is due, and check that in which it looks at the age
/// of what the relay has told.
///
/// A live endpoint whose record expired while the log was away is back reregistrationTime after the log's return, and must stay in use until then. The log
/// may have returned as soon as the last failed call had begun, which is retryGap before the first answer at most, and the record must be read. So
///   recovery = reregistrationTime + holdPeriod + retryGap, where retryGap = connectTimeout + maxBackoff.
/// An entry that was cut off alone, without peers that tell it that the log was there, holds a removal until recovery + tick after the end of the cut.
struct list_timing
{
    /// Pause between two readings, and the same while removals are held.
    duration period{};
    duration holdPeriod{};
    /// Time for one call, and for its connection.
    duration timeout{};
    duration connectTimeout{};
    /// Pause after a failed call. Doubles with each further failure, up to maxBackoff.
    duration initialBackoff{};
    duration maxBackoff{};
    /// For an entry for which others read the log: the time between two calls to them, and the age of their newest answer of the log from which on the
    /// entry reads it itself.
    duration relayPeriod{};
    duration maxRelayedAge{};
    outage_watch_options outages;

    bool operator==(const list_timing &) const = default;
};

/// Time after the log's return within which the records of live endpoints are back, as the platform documents it.
inline constexpr std::chrono::milliseconds reregistrationTime{2000};

/// heartbeat: the pause between two records of an endpoint, which expires after three of them.
[[nodiscard]] list_timing listTimingOf(duration maxDrainDelay, duration heartbeat);

} // namespace wisteriashunt

/// When the platform's log was away, as far as one entry can tell, and for how long removals that this may have caused are held.
///
/// The record of a live endpoint expires when the log has been away for several heartbeats, and is back within two seconds of the log's return. A
/// removal that is read in that time may be such an expiry; at all other times it is meant, however many calls of this entry have failed. What tells
/// the two apart is whether the log answered anybody: one entry's connection may fail while the log is there.
#pragma once

#include "wisteriashunt/time.h"

#include <optional>

namespace wisteriashunt
{

/// Settings of outage_watch.
struct outage_watch_options
{
    /// Time without any answer of the log within which no record of a live endpoint expires. A record expires after three heartbeats of silence, and
    /// the log may have been away from just after one heartbeat until just before another.
    duration minOutage = std::chrono::milliseconds(2400);
    /// Time after the log's return for which removals are held; see the sum in src/gateway/list_timing.h.
    duration recovery = std::chrono::milliseconds(2800);

    bool operator==(const outage_watch_options &) const = default;
};

/// Judges the answers and failures of one topic's readings. Not thread-safe.
class outage_watch
{
public:
    explicit outage_watch(const outage_watch_options &options = {});

    /// Records that the log has answered this entry.
    void onAnswer(time_point now);
    /// Records that a call that began then has failed.
    void onFailure(time_point askedAt);
    /// Records that the log answered another entry then.
    void onAnswerElsewhere(time_point answeredAt);
    /// Records that another entry holds removals until then.
    void onHoldElsewhere(time_point until);
    /// Records that the log has returned from a copy that may lack records of live endpoints.
    void onRestored(time_point now);

    /// The time until which a removal that is read now is held; in the past if it takes effect at once.
    [[nodiscard]] time_point heldUntil() const;

private:
    /// Ends an outage with an answer, if there was one.
    void noteAnswer(time_point answeredAt);

    outage_watch_options m_options;
    std::optional<time_point> m_lastAnswer;
    /// When the last call began that failed since the last answer.
    std::optional<time_point> m_lastFailure;
    time_point m_heldUntil;
};

} // namespace wisteriashunt

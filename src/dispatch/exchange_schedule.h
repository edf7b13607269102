/// Decides when an entry sends messages to its peers, so that they take a bounded share of its link.
///
/// Load on callers' requests must not raise the traffic between entries: with a hundred entries, a message to each of them for each event of a
/// request fills a link of 20 Mbit/s.
#pragma once

#include "wisteriashunt/time.h"

#include <cstddef>

namespace wisteriashunt
{

/// Settings of an exchange_schedule.
struct exchange_schedule_options
{
    /// Time between two rounds of messages while there is load: a tenth of the shortest first-byte target, so that placement uses fresh loads.
    duration busyPeriod = std::chrono::milliseconds(50);
    /// Time between two rounds while there is no load. Also the longest time between two rounds, because digests expire.
    duration idlePeriod = std::chrono::milliseconds(500);
    /// Bounds the messages of rounds and news: with many peers, rounds are further apart than busyPeriod.
    double maxMessagesPerSecond = 310;
    /// Share of these bounds that rounds may use. News have the rest, and what rounds leave.
    double roundShare = 0.8;
    /// Bounds the bytes of rounds and news. Rounds that are due after idlePeriod are sent in any case.
    double maxBytesPerSecond = 250'000;
    /// Time whose unused allowance may be used at once.
    duration burst = std::chrono::milliseconds(1000);
};

/// Not thread-safe.
class exchange_schedule
{
public:
    explicit exchange_schedule(const exchange_schedule_options &options = {});

    /// Returns whether a round of messages to that many recipients is due. Called about every busyPeriod; a round is due at the call that is
    /// nearest to its time. hasLoad: this entry has something to report.
    [[nodiscard]] bool isRoundDue(std::size_t recipients, bool hasLoad, time_point now) const;
    /// Records that a round was sent.
    void onRound(std::size_t recipients, std::size_t bytesPerMessage, time_point now);

    /// Returns whether news may be sent to that many recipients now. If not, they wait for the next round.
    [[nodiscard]] bool mayTellNews(std::size_t recipients, time_point now);
    /// Records that news were sent.
    void onNews(std::size_t recipients, std::size_t bytesPerMessage, time_point now);

    /// Returns the time between two rounds to that many recipients while there is load.
    [[nodiscard]] duration roundPeriod(std::size_t recipients) const;

private:
    /// Adds what the time since the last call allows.
    void accrue(time_point now);
    void spend(std::size_t recipients, std::size_t bytesPerMessage);

    exchange_schedule_options m_options;
    time_point m_lastRound;
    std::size_t m_lastMessageBytes = 0;
    /// Messages and bytes that may be sent now; negative after rounds that had to be sent.
    double m_messages = 0;
    double m_bytes = 0;
    time_point m_accruedAt;
};

} // namespace wisteriashunt

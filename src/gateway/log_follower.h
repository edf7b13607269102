/// Follows one topic of the platform's log and keeps the newest record of each key.
#pragma once

#include "gateway/event_log.h"
#include "gateway/keyed_log.h"
#include "http/bounded_client.h"
#include "membership/outage_watch.h"
#include "membership/topic_records.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Topic and timing of a follower.
struct log_follower_options
{
    std::string topic;
    socket_address log;
    /// Longest time for which the log holds a call while there is no new record. Zero: the log answers at once.
    duration wait{};
    /// Pause between two calls.
    duration period{};
    /// The same while removals are held; see follower_hooks::holdsRemovals.
    duration holdPeriod{};
    /// A call fails if it has no answer this long after its wait. The log normally answers within 4 ms, and a slow log within 240 ms.
    duration timeout = std::chrono::milliseconds(800);
    duration connectTimeout = std::chrono::milliseconds(500);
    /// Pause after a failed call. Doubles with each further failure, up to maxBackoff.
    duration initialBackoff = std::chrono::milliseconds(100);
    duration maxBackoff = std::chrono::milliseconds(800);
    /// Age of the newest answer of the log from which on it is called although another entry reads the topic.
    duration maxRelayedAge{};
    /// Pause before the topic is read anew in a higher epoch. Differs between entries, so that not all read at once.
    duration rereadDelay{};
    /// Most bytes of one answer. The log ends its pages at 1 MB.
    std::size_t maxAnswerBytes = 16 * 1024 * 1024;
    topic_rules rules;
    outage_watch_options outages;
};

/// When a record was read relative to an outage of the log.
struct record_timing
{
    /// The record was read soon after the log's return: if it is a removal, the outage may have caused it, and it takes effect then. In the past
    /// otherwise.
    time_point heldUntil;

    bool operator==(const record_timing &) const = default;
};

/// How current a follower is, for entries that follow the topic through it.
struct follower_currency
{
    /// Time since the log last answered, directly or through another entry.
    duration age{};
    /// Time since the log last failed to answer.
    duration sinceFailure{};
    /// Time since the reading began that the log answered last; nullopt from entries of earlier versions.
    std::optional<duration> sinceAsked = std::nullopt;
    /// Time for which the entry still holds removals that an outage of the log may have caused; nullopt from entries of earlier versions.
    std::optional<duration> holdsFor = std::nullopt;

    bool operator==(const follower_currency &) const = default;
};

/// Callbacks of a follower.
struct follower_hooks
{
    /// Whether another entry reads the topic for this one. The log is not called then as long as what was learnt is recent; see maxRelayedAge.
    std::function<bool()> isReadElsewhere = [] { return false; };
    /// Called when a key has a newer record or was removed.
    std::function<void(const keyed_record &record, record_timing timing)> onRecord;
    /// Called with a record that the log executed late, after a newer one of its key; see topic_rules::mayBeExecutedLate.
    std::function<void(const keyed_record &record)> onOutdated = [](const keyed_record &) {};
    /// Called once, when isComplete() becomes true.
    std::function<void()> onComplete = [] {};
    /// Called when the log, or a snapshot, shows a higher epoch than all before.
    std::function<void(std::int64_t epoch)> onEpoch = [](std::int64_t) {};
    /// Called after a reading of the newest records alone, between which and the known ones there were others; see topic_records::takePassedOver().
    std::function<void()> onPassedOver = [] {};
    /// Whether removals are held that a newer record may take back.
    std::function<bool()> holdsRemovals = [] { return false; };
    /// Returns the shortest pause between the beginnings of two readings on demand.
    std::function<duration()> demandPause = [] { return duration{}; };
};

/// Follows one topic. Reads the newest record of each key first and later records from there on, and retries failed calls with backoff.
/// When the log starts a new epoch, the topic is read anew once; answers of earlier epochs are discarded.
class log_follower
{
public:
    log_follower(event_loop &loop, event_log &log, const keyed_log_dialect &dialect, const log_follower_options &options, follower_hooks hooks);
    log_follower(const log_follower &) = delete;
    log_follower &operator=(const log_follower &) = delete;

    void start();

    /// Reads the topic at once, up to its end, in a call that begins after this one, and reports whether that succeeded. Demands that come
    /// while a reading is in progress share the next one.
    using demand_hook = std::function<void(bool isRead)>;
    void readNow(demand_hook onRead);

    /// Whether the last call succeeded.
    [[nodiscard]] bool isReachable() const;
    /// Whether the whole topic has been read, or merged from a snapshot, at least once.
    [[nodiscard]] bool isComplete() const;
    /// Time of the last answer of the log, or of the last snapshot that was ahead of the known records.
    [[nodiscard]] time_point lastAnswer() const;
    [[nodiscard]] const std::string &topic() const;
    /// Highest epoch of the log that was seen.
    [[nodiscard]] std::int64_t epoch() const;
    /// Notes an epoch that was seen elsewhere. If it is higher, the next call reads the topic anew.
    void noteEpoch(std::int64_t epoch);

    /// The known records of the topic, for entries that the log does not answer.
    [[nodiscard]] keyed_snapshot snapshot() const;

    /// Merges the records of another entry; see topic_records::merge(). The entry is as current as the other one if its place in the log is not
    /// ahead of the snapshot. Returns whether records were passed over, which is not reported by the hook.
    /// sinceCall: time since the other entry was asked.
    bool merge(const keyed_snapshot &snapshot, const std::optional<follower_currency> &currency = std::nullopt, duration sinceCall = {});
    /// When the last reading that the log answered had begun, directly or through another entry; see follower_currency.
    [[nodiscard]] time_point lastAsked() const;
    [[nodiscard]] follower_currency currency() const;
    /// Place in the log up to which records are known; offset -1 if the topic has not been read completely.
    [[nodiscard]] log_position position() const;

private:
    /// Calls the log, unless another entry reads the topic for this one.
    void read();
    void call();
    void onAnswer(const log_read &asked, const http_response_head &head, const std::string &body);
    /// Notes the epoch of an answer. Returns the reason if the answer must be discarded.
    [[nodiscard]] std::optional<std::string> noteEpochOf(const header_list &headers);
    /// isRead: whether the answer shows the topic up to its end.
    void takeStep(read_step step, bool isRead);
    void beginReading();
    /// Schedules the next reading: for the demands that wait, if there are any, or after the pause.
    void endReading(duration pause);
    void becomeComplete();
    void logEpochChange();
    void succeed();
    void fail(const std::string &reason);
    void scheduleNext(duration pause);
    /// Begins a reading for the demands that wait, now or after the shortest pause between two of these.
    void scheduleDemanded();
    /// Whether the answer shows the topic up to the end that it had when the reading began, or later.
    [[nodiscard]] bool isUpToEnd(const log_read &asked, const keyed_page &page) const;

    event_loop &m_loop;
    event_log &m_log;
    const keyed_log_dialect &m_dialect;
    log_follower_options m_options;
    follower_hooks m_hooks;
    bounded_client m_client;
    topic_records m_records;
    duration m_backoff{};
    time_point m_lastAnswer;
    time_point m_lastFailure;
    outage_watch m_outages;
    bool m_isReachable = false;
    bool m_isComplete = false;
    timer_id m_nextRead = 0;
    /// When the reading in progress, and the last one that was answered, began.
    time_point m_readingSince;
    time_point m_lastAsked;
    bool m_isReading = false;
    /// Demands for which a reading has to begin, those that the one in progress serves, and when one last began for a demand.
    std::vector<demand_hook> m_demands;
    std::vector<demand_hook> m_servedDemands;
    time_point m_lastDemanded;
    /// When the call in progress began, and the position that was known then.
    time_point m_calledAt;
    log_position m_knownAtCall;
};

} // namespace wisteriashunt

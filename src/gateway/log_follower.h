/// Follows one topic of the platform's log and keeps the newest record of each key.
#pragma once

#include "gateway/event_log.h"
#include "gateway/keyed_log.h"
#include "http/upstream_connection.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace wisteriashunt
{

/// How a topic is followed.
struct follower_options
{
    std::string topic;
    socket_address log;
    /// The call waits this long for a new record; zero returns at once.
    duration wait{};
    /// Pause between two calls.
    duration period{};
    /// A call without an answer for this long after its wait has failed; the log answers in 4 ms, 60 times that when it is slow.
    duration timeout = std::chrono::milliseconds(800);
    /// Pause after a failed call; doubles up to the longest.
    duration initialBackoff = std::chrono::milliseconds(100);
    duration maxBackoff = std::chrono::milliseconds(800);
};

/// When a record was read, as far as it tells whether the record speaks of an outage of the log.
enum class record_timing {
    /// The log has been readable all along.
    steady,
    /// With the first answer after an outage: the record may have been written because of it.
    first_after_outage,
    /// Shortly after an outage.
    soon_after_outage,
};

/// How long an endpoint whose entry was dropped is still used. An entry that expired in an outage is back within about two seconds of the
/// log's return if the endpoint lives. One that is dropped after the return may be a true removal, which must be in force maxDrainDelay after
/// it was written, and reading takes a part of these. With the pause before a return is noticed (endpointsMaxBackoff) a hold ends less
/// than three seconds after the log has returned: longer than that no entry may act on what it knew before.
[[nodiscard]] duration removalHold(record_timing timing, duration maxDrainDelay);

/// Longest pause between two attempts to read the list of endpoints while the log does not answer.
inline constexpr std::chrono::milliseconds endpointsMaxBackoff{400};

/// Receivers of what the topic says.
struct follower_hooks
{
    /// A key has a newer record, or none any more.
    std::function<void(const keyed_record &record, record_timing timing)> onRecord;
    /// The whole topic has been read for the first time.
    std::function<void()> onComplete = [] {};
};

/// One topic.
class log_follower
{
public:
    log_follower(event_loop &loop, event_log &log, const keyed_log_dialect &dialect, const follower_options &options, follower_hooks hooks);
    log_follower(const log_follower &) = delete;
    log_follower &operator=(const log_follower &) = delete;

    void start();

    /// The log answers.
    [[nodiscard]] bool isReachable() const;
    /// The whole topic has been read at least once.
    [[nodiscard]] bool isComplete() const;
    [[nodiscard]] time_point lastAnswer() const;
    [[nodiscard]] const std::string &topic() const;

    /// What is known of the topic, for entries that the log refuses.
    [[nodiscard]] keyed_snapshot snapshot() const;

    /// Takes in what another entry knows; older records change nothing.
    void merge(const keyed_snapshot &snapshot);

private:
    void readNewest(const std::string &afterKey);
    void readRecords();
    void call(std::string request, duration wait, std::function<void(int status, const std::string &body)> onAnswer);
    void onNewestPage(const keyed_page &page);
    void applyRecord(const keyed_record &record);
    void dropUnlisted(const std::set<std::string> &listed, std::int64_t end);
    void markCompleteUpTo(std::int64_t next);
    void succeed();
    void fail(const std::string &reason);
    void scheduleNext(duration pause);

    event_loop &m_loop;
    event_log &m_log;
    const keyed_log_dialect &m_dialect;
    follower_options m_options;
    follower_hooks m_hooks;
    std::shared_ptr<upstream_connection> m_connection;
    std::map<std::string, keyed_record> m_records;
    std::set<std::string> m_listed;
    std::int64_t m_next = -1;
    std::int64_t m_resumeAt = 0;
    timer_id m_timeout = 0;
    duration m_backoff{};
    time_point m_lastAnswer;
    time_point m_lastFailure;
    record_timing m_timing = record_timing::steady;
    bool m_isReachable = false;
    bool m_isComplete = false;
};

} // namespace wisteriashunt

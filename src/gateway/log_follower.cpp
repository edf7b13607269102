#include "gateway/log_follower.h"

#include "wisteriashunt/errors.h"

#include <algorithm>

namespace wisteriashunt
{

namespace
{

constexpr std::chrono::milliseconds connectTimeout{500};
constexpr int okStatus = 200;

/// Time after an outage during which records of live endpoints may still be missing; the platform documents about two seconds.
constexpr std::chrono::milliseconds outageRecoveryTime{2500};

} // namespace

duration removalHold(record_timing timing, duration maxDrainDelay)
{
    constexpr double soonAfterOutageShare = 0.45;
    switch (timing) {
    case record_timing::steady:
        return {};
    case record_timing::first_after_outage:
        return std::chrono::milliseconds(2250);
    case record_timing::soon_after_outage:
        return fromSeconds(soonAfterOutageShare * toSeconds(maxDrainDelay));
    }
    return {};
}

log_follower::log_follower(event_loop &loop, event_log &log, const keyed_log_dialect &dialect, const log_follower_options &options, follower_hooks hooks)
    : m_loop(loop)
    , m_log(log)
    , m_dialect(dialect)
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_lastFailure(loop.now() - std::chrono::hours(1))
{
}

void log_follower::start()
{
    readNewest({});
}

bool log_follower::isReachable() const
{
    return m_isReachable;
}

bool log_follower::isComplete() const
{
    return m_isComplete;
}

time_point log_follower::lastAnswer() const
{
    return m_lastAnswer;
}

const std::string &log_follower::topic() const
{
    return m_options.topic;
}

keyed_snapshot log_follower::snapshot() const
{
    keyed_snapshot result{.next = m_next};
    for (const auto &[key, record] : m_records) {
        result.records.push_back(record);
    }
    return result;
}

void log_follower::merge(const keyed_snapshot &snapshot)
{
    if (snapshot.next <= m_next) {
        return;
    }
    m_timing = record_timing::steady;
    std::set<std::string> listed;
    for (const auto &record : snapshot.records) {
        listed.insert(record.key);
        applyRecord(record);
    }
    dropUnlisted(listed, snapshot.next);
    m_lastAnswer = m_loop.now();
    markCompleteUpTo(snapshot.next);
}

void log_follower::call(std::string request, duration wait, std::function<void(int, const std::string &)> onAnswer)
{
    if (m_connection == nullptr || !m_connection->isIdle()) {
        m_connection = upstream_connection::open(m_loop, m_options.log, {.connectTimeout = connectTimeout});
    }
    const auto status = std::make_shared<int>(0);
    const auto body = std::make_shared<std::string>();
    m_timeout = m_loop.schedule(m_loop.now() + wait + m_options.timeout, [this] {
        m_connection->close();
        fail("timeout");
    });
    m_connection->send(std::move(request),
                       {.onHead =
                            [status](http_response_head &head) {
                                *status = head.status;
                                return true;
                            },
                        .onBody = [body](std::string_view bytes) { body->append(bytes); },
                        .onComplete =
                            [this, status, body, onAnswer = std::move(onAnswer)] {
                                m_loop.cancel(m_timeout);
                                onAnswer(*status, *body);
                            },
                        .onFailure =
                            [this](exchange_failure failure, close_reason end) {
                                m_loop.cancel(m_timeout);
                                fail(std::string(toString(failure)) + '/' + std::string(toString(end)));
                            }});
}

void log_follower::readNewest(const std::string &afterKey)
{
    if (afterKey.empty()) {
        m_listed.clear();
        m_resumeAt = -1;
    }
    call(m_dialect.newestRequest(m_options.topic, afterKey), {}, [this](int status, const std::string &body) {
        if (status != okStatus) {
            fail("status_" + std::to_string(status));
            return;
        }
        try {
            onNewestPage(m_dialect.readNewest(body));
        } catch (const shunt_error &error) {
            fail(error.what());
        }
    });
}

void log_follower::onNewestPage(const keyed_page &page)
{
    succeed();
    // Pages are not a consistent snapshot: records written while they are read are read again, starting at the end given by the first page.
    if (m_resumeAt < 0) {
        m_resumeAt = page.end;
    }
    for (const auto &record : page.records) {
        m_listed.insert(record.key);
        applyRecord(record);
    }
    if (page.hasMore && !page.records.empty()) {
        readNewest(page.records.back().key);
        return;
    }
    dropUnlisted(m_listed, m_resumeAt);
    markCompleteUpTo(m_resumeAt);
    scheduleNext(m_options.period);
}

void log_follower::dropUnlisted(const std::set<std::string> &listed, std::int64_t end)
{
    std::vector<std::string> dropped;
    for (const auto &[key, record] : m_records) {
        if (!listed.contains(key) && record.offset < end) {
            dropped.push_back(key);
        }
    }
    for (const auto &key : dropped) {
        applyRecord({.key = key, .offset = end});
    }
}

void log_follower::markCompleteUpTo(std::int64_t next)
{
    m_next = std::max(m_next, next);
    if (!m_isComplete) {
        m_isComplete = true;
        m_hooks.onComplete();
    }
}

void log_follower::readRecords()
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.wait);
    // merge() may advance m_next during the call; the offsets of the answer are relative to the requested one.
    const std::int64_t from = m_next;
    call(m_dialect.recordsRequest(m_options.topic, from, wait.count()), m_options.wait, [this, from](int status, const std::string &body) {
        if (status == m_dialect.deletedStatus) {
            succeed();
            readNewest({});
            return;
        }
        if (status != okStatus) {
            fail("status_" + std::to_string(status));
            return;
        }
        try {
            const auto page = m_dialect.readRecords(body, from);
            succeed();
            for (const auto &record : page.records) {
                applyRecord(record);
                m_next = std::max(m_next, record.offset + 1);
            }
            scheduleNext(m_options.period);
        } catch (const shunt_error &error) {
            fail(error.what());
        }
    });
}

void log_follower::applyRecord(const keyed_record &record)
{
    const auto known = m_records.find(record.key);
    if (known != m_records.end() && known->second.offset >= record.offset) {
        return;
    }
    if (record.value) {
        m_records[record.key] = record;
    } else {
        m_records.erase(record.key);
    }
    m_hooks.onRecord(record, m_timing);
}

void log_follower::succeed()
{
    m_backoff = {};
    m_lastAnswer = m_loop.now();
    const bool hasRecovered = !m_isReachable;
    m_timing = hasRecovered                                 ? record_timing::first_after_outage
        : m_loop.now() - m_lastFailure < outageRecoveryTime ? record_timing::soon_after_outage
                                                            : record_timing::steady;
    if (hasRecovered) {
        m_isReachable = true;
        m_log.write(event_number::platform_up, {{"topic", m_options.topic}, {"next", std::to_string(m_next)}});
    }
}

void log_follower::fail(const std::string &reason)
{
    m_lastFailure = m_loop.now();
    if (m_isReachable || m_backoff == duration{}) {
        m_isReachable = false;
        m_log.write(event_number::platform_down, {{"topic", m_options.topic}, {"reason", reason}});
    }
    m_backoff = m_backoff == duration{} ? m_options.initialBackoff : std::min(m_options.maxBackoff, 2 * m_backoff);
    scheduleNext(m_backoff);
}

void log_follower::scheduleNext(duration pause)
{
    const auto action = [this] {
        if (m_next < 0) {
            readNewest({});
        } else {
            readRecords();
        }
    };
    const timer_id timer = m_loop.schedule(m_loop.now() + pause, action);
    static_cast<void>(timer);
}

} // namespace wisteriashunt

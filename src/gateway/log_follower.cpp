#include "gateway/log_follower.h"

#include "wisteriashunt/errors.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wisteriashunt
{

namespace
{

constexpr int okStatus = 200;

void report(const std::vector<log_follower::demand_hook> &demands, bool isRead)
{
    for (const auto &demand : demands) {
        demand(isRead);
    }
}

} // namespace

log_follower::log_follower(event_loop &loop, event_log &log, const keyed_log_dialect &dialect, const log_follower_options &options, follower_hooks hooks)
    : m_loop(loop)
    , m_log(log)
    , m_dialect(dialect)
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_client(loop,
               {.server = options.log,
                .connectTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(options.connectTimeout),
                .maxAnswerBytes = options.maxAnswerBytes})
    , m_records(
          m_options.rules,
          [this](const keyed_record &record) { m_hooks.onRecord(record, {.heldUntil = m_outages.heldUntil()}); },
          [this](const keyed_record &record) { m_hooks.onOutdated(record); })
    , m_lastFailure(loop.now() - std::chrono::hours(1))
    , m_outages(options.outages)
{
}

void log_follower::start()
{
    read();
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

std::int64_t log_follower::epoch() const
{
    return m_records.epoch();
}

void log_follower::noteEpoch(std::int64_t epoch)
{
    if (m_records.noteEpoch(epoch)) {
        // Live endpoints write their records again after a return of the log, as after an outage.
        m_lastFailure = m_loop.now();
        m_outages.onRestored(m_loop.now());
        m_hooks.onEpoch(epoch);
    }
}

keyed_snapshot log_follower::snapshot() const
{
    return m_records.snapshot();
}

follower_currency log_follower::currency() const
{
    const auto now = m_loop.now();
    return {.age = now - m_lastAnswer,
            .sinceFailure = now - m_lastFailure,
            .sinceAsked = now - m_lastAsked,
            .holdsFor = std::max(duration{}, m_outages.heldUntil() - now)};
}

time_point log_follower::lastAsked() const
{
    return m_lastAsked;
}

log_position log_follower::position() const
{
    return m_records.next().value_or(log_position{.epoch = m_records.epoch(), .offset = -1});
}

bool log_follower::merge(const keyed_snapshot &snapshot, const std::optional<follower_currency> &currency, duration sinceCall)
{
    if (currency) {
        m_outages.onAnswerElsewhere(m_loop.now() - currency->age);
        if (currency->holdsFor > duration{}) {
            m_outages.onHoldElsewhere(m_loop.now() - sinceCall + *currency->holdsFor);
        }
    }
    noteEpoch(snapshot.epoch);
    const bool isAhead = m_records.merge(snapshot);
    if (currency && snapshot.next >= 0 && !(snapshot.position() < position())) {
        m_lastAnswer = std::max(m_lastAnswer, m_loop.now() - currency->age);
        if (currency->sinceAsked) {
            m_lastAsked = std::max(m_lastAsked, m_loop.now() - *currency->sinceAsked);
        }
    }
    if (!isAhead) {
        return false;
    }
    if (!currency) {
        m_lastAnswer = m_loop.now();
    }
    logEpochChange();
    const bool hasPassedOver = m_records.takePassedOver();
    becomeComplete();
    return hasPassedOver;
}

void log_follower::readNow(demand_hook onRead)
{
    // A log that failed repeatedly is tried at its own pace, and nobody waits for that.
    if (!m_isReading && m_backoff > m_options.initialBackoff) {
        onRead(false);
        return;
    }
    m_demands.push_back(std::move(onRead));
    if (!m_isReading) {
        scheduleDemanded();
    }
}

void log_follower::scheduleDemanded()
{
    const auto due = m_lastDemanded + m_hooks.demandPause();
    if (due <= m_loop.now()) {
        m_loop.cancel(m_nextRead);
        beginReading();
    } else {
        scheduleNext(due - m_loop.now());
    }
}

bool log_follower::isUpToEnd(const log_read &asked, const keyed_page &page) const
{
    const log_position end{.epoch = asked.from.epoch, .offset = page.end};
    // The topic never gets shorter within an epoch.
    const bool isOutdated = m_knownAtCall.epoch == end.epoch && end.offset < m_knownAtCall.offset;
    return !isOutdated && position() >= end;
}

void log_follower::read()
{
    const bool isCurrent = m_isComplete && !m_records.hasNewEpoch() && m_loop.now() - m_lastAnswer < m_options.maxRelayedAge;
    if (m_demands.empty() && isCurrent && m_hooks.isReadElsewhere()) {
        constexpr std::chrono::milliseconds checkPeriod{50};
        scheduleNext(checkPeriod);
        return;
    }
    beginReading();
}

void log_follower::beginReading()
{
    m_isReading = true;
    m_readingSince = m_loop.now();
    m_servedDemands = std::exchange(m_demands, {});
    if (!m_servedDemands.empty()) {
        m_lastDemanded = m_loop.now();
    }
    call();
}

void log_follower::call()
{
    const auto asked = m_records.nextRead();
    m_calledAt = m_loop.now();
    m_knownAtCall = position();
    const duration wait = asked.isNewest ? duration{} : m_options.wait;
    const auto waitMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    auto request = asked.isNewest ? m_dialect.newestRequest(m_options.topic, asked.afterKey)
                                  : m_dialect.recordsRequest(m_options.topic, asked.from.offset, waitMilliseconds);
    m_client.call(std::move(request),
                  wait + m_options.timeout,
                  {.onAnswer = [this, asked](const http_response_head &head, const std::string &body) { onAnswer(asked, head, body); },
                   .onFailure = [this](const failed_call &failed) { fail(failed.reason); }});
}

std::optional<std::string> log_follower::noteEpochOf(const header_list &headers)
{
    try {
        const auto epoch = m_dialect.readEpoch(headers);
        if (epoch && *epoch < m_records.epoch()) {
            return "outdated_epoch";
        }
        noteEpoch(epoch.value_or(m_records.epoch()));
        return std::nullopt;
    } catch (const shunt_error &error) {
        return error.what();
    }
}

void log_follower::onAnswer(const log_read &asked, const http_response_head &head, const std::string &body)
{
    if (const auto fault = noteEpochOf(head.headers)) {
        // The answer may come over a connection to a part of the log that has not followed.
        m_client.close();
        fail(*fault);
        return;
    }
    const bool isMissing = !asked.isNewest && head.status == m_dialect.deletedStatus;
    if (head.status != okStatus && !isMissing) {
        fail("status_" + std::to_string(head.status));
        return;
    }
    read_step step{};
    bool isRead = false;
    try {
        const auto page = isMissing ? keyed_page{} : asked.isNewest ? m_dialect.readNewest(body) : m_dialect.readRecords(body, asked.from.offset);
        succeed();
        step = isMissing ? m_records.onMissing(asked) : m_records.onPage(asked, page);
        isRead = !isMissing && isUpToEnd(asked, page);
    } catch (const shunt_error &error) {
        fail(error.what());
        return;
    }
    takeStep(step, isRead);
}

void log_follower::takeStep(read_step step, bool isRead)
{
    switch (step) {
    case read_step::read_on:
        logEpochChange();
        if (m_records.takePassedOver()) {
            m_hooks.onPassedOver();
        }
        if (isRead) {
            m_lastAsked = std::max(m_lastAsked, m_readingSince);
        }
        becomeComplete();
        // The next reading may begin at once, for other demands.
        report(std::exchange(m_servedDemands, {}), isRead);
        endReading(m_hooks.holdsRemovals() ? m_options.holdPeriod : m_options.period);
        return;
    case read_step::next_page:
    case read_step::read_newest:
        call();
        return;
    case read_step::read_new_epoch:
        m_demands.insert(m_demands.end(), m_servedDemands.begin(), m_servedDemands.end());
        m_servedDemands.clear();
        m_isReading = false;
        scheduleNext(m_options.rereadDelay);
        return;
    }
}

void log_follower::endReading(duration pause)
{
    m_isReading = false;
    if (m_demands.empty()) {
        scheduleNext(pause);
    } else {
        scheduleDemanded();
    }
}

void log_follower::logEpochChange()
{
    const auto change = m_records.takeChange();
    if (!change) {
        return;
    }
    m_log.write(event_number::log_restored,
                {{"topic", m_options.topic},
                 {"before", std::to_string(change->before)},
                 {"epoch", std::to_string(change->epoch)},
                 {"superseded", std::to_string(change->superseded)},
                 {"kept", std::to_string(change->kept)},
                 {"removed", std::to_string(change->removed)}});
}

void log_follower::becomeComplete()
{
    if (!m_isComplete) {
        m_isComplete = true;
        m_hooks.onComplete();
    }
}

void log_follower::succeed()
{
    m_backoff = {};
    m_lastAnswer = m_loop.now();
    m_outages.onAnswer(m_loop.now());
    if (!m_isReachable) {
        m_isReachable = true;
        m_log.write(event_number::platform_up,
                    {{"topic", m_options.topic},
                     {"next", m_records.next() ? std::to_string(m_records.next()->offset) : "-"},
                     {"epoch", std::to_string(m_records.epoch())},
                     {"holds_ms", milliseconds(std::max(duration{}, m_outages.heldUntil() - m_loop.now()))}});
    }
}

void log_follower::fail(const std::string &reason)
{
    m_lastFailure = m_loop.now();
    m_outages.onFailure(m_calledAt);
    if (m_isReachable || m_backoff == duration{}) {
        m_isReachable = false;
        m_log.write(event_number::platform_down, {{"topic", m_options.topic}, {"reason", reason}});
    }
    m_backoff = m_backoff == duration{} ? m_options.initialBackoff : std::min(m_options.maxBackoff, 2 * m_backoff);
    m_isReading = false;
    scheduleNext(m_backoff);
    // Demands that came meanwhile would wait for a log that is away.
    const auto served = std::exchange(m_servedDemands, {});
    const auto waiting = std::exchange(m_demands, {});
    report(served, false);
    report(waiting, false);
}

void log_follower::scheduleNext(duration pause)
{
    m_loop.cancel(m_nextRead);
    m_nextRead = m_loop.schedule(m_loop.now() + pause, [this] { read(); });
}

} // namespace wisteriashunt

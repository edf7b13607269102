#include "gateway/endpoint_history.h"

#include "wisteriashunt/errors.h"

#include <utility>

namespace wisteriashunt
{

namespace
{

constexpr int okStatus = 200;

} // namespace

endpoint_history::endpoint_history(event_loop &loop, event_log &log, const keyed_log_dialect &dialect, endpoint_history_options options, hooks callbacks)
    : m_loop(loop)
    , m_log(log)
    , m_dialect(dialect)
    , m_options(std::move(options))
    , m_hooks(std::move(callbacks))
    , m_client(loop, {.server = m_options.log, .maxAnswerBytes = m_options.maxAnswerBytes})
{
}

void endpoint_history::onTick()
{
    if (m_hasEnded || m_client.isBusy() || m_loop.now() < m_notBefore || !m_hooks.isNeeded()) {
        return;
    }
    m_end = m_hooks.position();
    if (m_end.offset < 0) {
        return;
    }
    if (m_end.epoch > m_dialect.firstEpoch) {
        // The log has returned from a copy. Versions that only the lost records named may have begun streams.
        end("other_epoch");
        return;
    }
    m_history = version_history(true);
    m_next = 0;
    read();
}

void endpoint_history::read()
{
    if (m_next >= m_end.offset) {
        m_hooks.onHistory(m_history);
        end("read");
        return;
    }
    m_client.call(m_dialect.recordsRequest(m_options.topic, m_next, 0),
                  m_options.timeout,
                  {.onAnswer = [this](const http_response_head &head, const std::string &body) { onAnswer(head, body); },
                   .onFailure = [this](const failed_call &failed) { fail(failed.reason); }});
}

void endpoint_history::onAnswer(const http_response_head &head, const std::string &body)
{
    try {
        if (m_dialect.readEpoch(head.headers).value_or(m_end.epoch) != m_end.epoch) {
            end("other_epoch");
            return;
        }
        if (head.status == m_dialect.deletedStatus) {
            end("forgotten");
            return;
        }
        if (head.status != okStatus) {
            fail("status_" + std::to_string(head.status));
            return;
        }
        const auto page = m_dialect.readRecords(body, m_next);
        if (page.records.empty()) {
            fail("no_records");
            return;
        }
        for (const auto &record : page.records) {
            addRecord(record);
        }
        read();
    } catch (const shunt_error &error) {
        fail(error.what());
    }
}

void endpoint_history::addRecord(const keyed_record &record)
{
    m_next = record.offset + 1;
    if (!record.value) {
        return;
    }
    try {
        m_history.onRecord(m_hooks.decode(record.key, *record.value));
    } catch (const shunt_error &) {
        // No entry uses such a record, so no stream began by it.
        return;
    }
}

void endpoint_history::end(const std::string &outcome)
{
    m_hasEnded = true;
    m_log.write(event_number::endpoint_history_read,
                {{"outcome", outcome}, {"records", std::to_string(m_next)}, {"versions", std::to_string(m_history.versions().size())}});
}

void endpoint_history::fail(const std::string &reason)
{
    m_notBefore = m_loop.now() + m_options.backoff;
    if (++m_failures >= m_options.maxFailures) {
        end(reason);
    }
}

} // namespace wisteriashunt

#include "gateway/stream_store.h"

#include "gateway/entry_message.h"
#include "wisteriashunt/errors.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace wisteriashunt
{

namespace
{

constexpr int okStatus = 200;

/// Calls may be far apart, and a connection over a link that was cut meanwhile may be dead.
constexpr std::chrono::seconds maxIdle{2};

std::vector<begun_stream> decodeStreams(const std::string &value)
{
    const auto decoded = decodeDatagram(value);
    const auto *news = std::get_if<entry_news>(&decoded);
    if (news == nullptr) {
        throw shunt_error(error_kind::malformed_frame, "stored streams: the record is a message of another kind");
    }
    return news->begunStreams;
}

} // namespace

duration storePeriod(const stream_store_options &options, std::size_t liveEntries)
{
    return std::max(options.minPeriod, options.periodPerEntry * static_cast<duration::rep>(liveEntries));
}

stream_store::stream_store(
    event_loop &loop, event_log &log, stream_versions &streams, const keyed_log_dialect &dialect, stream_store_options options, hooks callbacks)
    : m_loop(loop)
    , m_log(log)
    , m_streams(streams)
    , m_dialect(dialect)
    , m_options(std::move(options))
    , m_hooks(std::move(callbacks))
    , m_client(loop, {.server = m_options.log, .maxAnswerBytes = m_options.maxAnswerBytes, .maxIdle = maxIdle})
    , m_startedAt(loop.now())
{
}

void stream_store::onTick()
{
    const auto now = m_loop.now();
    if (m_client.isBusy() || now < m_notBefore || !m_hooks.hasResumableRoutes()) {
        return;
    }
    if (!m_hasRead && now - m_startedAt < m_options.maxStreamAge) {
        read();
    } else if (m_streams.hasUnstored(now)) {
        append();
    }
}

void stream_store::read()
{
    m_client.call(m_dialect.newestRequest(m_dialect.streamsTopic, m_pageKey),
                  m_options.timeout,
                  {.onAnswer =
                       [this](const http_response_head &head, const std::string &body) {
                           if (head.status != okStatus) {
                               backOff();
                               return;
                           }
                           try {
                               onPage(m_dialect.readNewest(body));
                           } catch (const shunt_error &) {
                               backOff();
                           }
                       },
                   .onFailure = [this](const failed_call &) { backOff(); }});
}

void stream_store::onPage(const keyed_page &page)
{
    m_backoff = {};
    for (const auto &record : page.records) {
        try {
            const auto streams = record.value ? decodeStreams(*record.value) : std::vector<begun_stream>{};
            m_readStreams += streams.size();
            m_streams.onStored(streams, record.key == m_options.entry, m_loop.now());
        } catch (const shunt_error &error) {
            m_log.write(event_number::record_unusable, {{"key", record.key}, {"reason", error.what()}});
        }
    }
    if (page.hasMore && !page.records.empty()) {
        m_pageKey = page.records.back().key;
        read();
        return;
    }
    m_hasRead = true;
    m_log.write(event_number::streams_recovered,
                {{"streams", std::to_string(m_readStreams)}, {"after", std::to_string(toSeconds(m_loop.now() - m_startedAt))}});
}

void stream_store::append()
{
    m_notBefore = m_loop.now() + storePeriod(m_options, m_hooks.liveEntries());
    const auto value = encodeEntryNews({.begunStreams = m_streams.takeUnstored(m_loop.now())});
    m_client.call(m_dialect.appendRequest(m_dialect.streamsTopic, m_options.entry, value, std::nullopt),
                  m_options.timeout,
                  {.onAnswer =
                       [this](const http_response_head &head, const std::string &) {
                           if (head.status == okStatus) {
                               m_backoff = {};
                           } else {
                               onAppendFailed();
                           }
                       },
                   .onFailure = [this](const failed_call &) { onAppendFailed(); }});
}

void stream_store::onAppendFailed()
{
    m_streams.onStoreFailed();
    backOff();
}

void stream_store::backOff()
{
    m_backoff = m_backoff == duration{} ? m_options.initialBackoff : std::min(m_options.maxBackoff, 2 * m_backoff);
    m_notBefore = std::max(m_notBefore, m_loop.now() + m_backoff);
}

} // namespace wisteriashunt

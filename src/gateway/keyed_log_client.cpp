#include "gateway/keyed_log_client.h"

#include "wisteriashunt/errors.h"

#include <algorithm>
#include <utility>

namespace wisteriashunt
{

namespace
{

constexpr int okStatus = 200;

/// Calls are seconds apart, and a connection over a link that was cut meanwhile may be dead.
constexpr std::chrono::seconds maxIdle{2};

/// Whether the status says that nothing was done.
bool isRefusal(int status)
{
    constexpr int firstClientError = 400;
    constexpr int firstServerError = 500;
    constexpr int unavailable = 503;
    constexpr int insufficientStorage = 507;
    return (status >= firstClientError && status < firstServerError) || status == unavailable || status == insufficientStorage;
}

} // namespace

keyed_log_client::keyed_log_client(event_loop &loop, const keyed_log_dialect &dialect, const keyed_log_client_options &options)
    : m_dialect(dialect)
    , m_options(options)
    , m_client(loop, {.server = options.log, .maxAnswerBytes = options.maxAnswerBytes, .maxIdle = maxIdle})
{
}

bool keyed_log_client::isBusy() const
{
    return m_client.isBusy();
}

void keyed_log_client::append(std::string_view value, std::optional<std::int64_t> at, append_hook onAnswer)
{
    const auto read = [this](const http_response_head &head, const std::string &body, append_answer &answer) {
        answer.epoch = m_dialect.readEpoch(head.headers).value_or(0);
        if (head.status == okStatus) {
            answer.offset = m_dialect.readOffset(body);
            answer.outcome = append_outcome::stored;
        } else if (head.status == m_dialect.conflictStatus) {
            answer.outcome = append_outcome::condition_failed;
        } else if (isRefusal(head.status)) {
            answer.outcome = append_outcome::refused;
        }
    };
    m_client.call(m_dialect.appendRequest(m_options.topic, m_options.key, value, at),
                  m_options.timeout,
                  {.onAnswer =
                       [read, onAnswer](const http_response_head &head, const std::string &body) {
                           append_answer answer;
                           std::string reason;
                           try {
                               read(head, body, answer);
                               reason = answer.outcome == append_outcome::stored ? "" : "status_" + std::to_string(head.status);
                           } catch (const shunt_error &error) {
                               reason = error.what();
                           }
                           onAnswer(answer, reason);
                       },
                   .onFailure =
                       [onAnswer](const failed_call &failed) {
                           onAnswer({.outcome = failed.mayHaveArrived ? append_outcome::unknown : append_outcome::refused}, failed.reason);
                       }});
}

void keyed_log_client::readNewest(newest_hook onAnswer)
{
    readPage([key = m_options.key, onAnswer = std::move(onAnswer)](const std::optional<keyed_page> &page, std::int64_t epoch, const std::string &reason) {
        newest_answer answer{.isAnswered = page.has_value(), .epoch = epoch};
        if (page) {
            const auto newest = std::find_if(page->records.begin(), page->records.end(), [&](const keyed_record &each) { return each.key == key; });
            if (newest != page->records.end()) {
                answer.record = *newest;
                answer.record->epoch = epoch;
            }
            answer.end = page->end;
        }
        onAnswer(answer, reason);
    });
}

void keyed_log_client::readValues(values_hook onAnswer)
{
    readPage([onAnswer = std::move(onAnswer)](const std::optional<keyed_page> &page, std::int64_t /*epoch*/, const std::string &reason) {
        if (!page) {
            return onAnswer(std::nullopt, reason);
        }
        std::vector<std::string> values;
        for (const auto &record : page->records) {
            if (record.value) {
                values.push_back(*record.value);
            }
        }
        onAnswer(values, reason);
    });
}

void keyed_log_client::readPage(page_hook onAnswer)
{
    m_client.call(m_dialect.newestRequest(m_options.topic, ""),
                  m_options.timeout,
                  {.onAnswer =
                       [this, onAnswer](const http_response_head &head, const std::string &body) {
                           std::optional<keyed_page> page;
                           std::int64_t epoch = 0;
                           std::string reason;
                           try {
                               if (head.status == okStatus) {
                                   epoch = m_dialect.readEpoch(head.headers).value_or(0);
                                   page = m_dialect.readNewest(body);
                               } else {
                                   reason = "status_" + std::to_string(head.status);
                               }
                           } catch (const shunt_error &error) {
                               reason = error.what();
                           }
                           onAnswer(page, epoch, reason);
                       },
                   .onFailure = [onAnswer](const failed_call &failed) { onAnswer(std::nullopt, 0, failed.reason); }});
}

} // namespace wisteriashunt

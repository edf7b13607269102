/// Calls of an entry to a topic of the platform's log that entries write themselves.
#pragma once

#include "duties/duty_types.h"
#include "gateway/keyed_log.h"
#include "http/bounded_client.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriashunt
{

/// Topic and bounds of a client.
struct keyed_log_client_options
{
    std::string topic;
    /// The key of which records are read and appended.
    std::string key;
    socket_address log;
    /// The log normally answers within 4 ms, and a slow log within 240 ms.
    duration timeout = std::chrono::milliseconds(800);
    std::size_t maxAnswerBytes = 1024 * 1024;
};

/// Makes one call at a time.
class keyed_log_client
{
public:
    keyed_log_client(event_loop &loop, const keyed_log_dialect &dialect, const keyed_log_client_options &options);

    using append_hook = std::function<void(const append_answer &answer, const std::string &reason)>;
    using newest_hook = std::function<void(const newest_answer &answer, const std::string &reason)>;
    using values_hook = std::function<void(const std::optional<std::vector<std::string>> &values, const std::string &reason)>;

    /// Appends a record if the topic ends at the offset, or in any case if there is none. Requires that no call is in progress, like the reads. All
    /// pass the reason if the log did not do it, or an empty text.
    void append(std::string_view value, std::optional<std::int64_t> at, append_hook onAnswer);
    void readNewest(newest_hook onAnswer);
    /// Reads the newest values of all keys, as far as one answer of the log holds them.
    void readValues(values_hook onAnswer);
    [[nodiscard]] bool isBusy() const;

private:
    using page_hook = std::function<void(const std::optional<keyed_page> &page, std::int64_t epoch, const std::string &reason)>;
    void readPage(page_hook onAnswer);

    const keyed_log_dialect &m_dialect;
    keyed_log_client_options m_options;
    bounded_client m_client;
};

} // namespace wisteriashunt

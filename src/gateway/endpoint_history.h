/// Reads once, after the start, all records that the log holds of the list of endpoints, to learn the software versions from before.
#pragma once

#include "dispatch/version_history.h"
#include "gateway/event_log.h"
#include "gateway/keyed_log.h"
#include "http/bounded_client.h"

#include <functional>
#include <optional>
#include <string>

namespace wisteriashunt
{

/// Topic and bounds of an endpoint_history.
struct endpoint_history_options
{
    std::string topic;
    socket_address log;
    /// Pause after a failed call, and the number of calls that may fail.
    duration backoff = std::chrono::milliseconds(400);
    int maxFailures = 10;
    duration timeout = std::chrono::milliseconds(800);
    std::size_t maxAnswerBytes = 16 * 1024 * 1024;
};

/// Not thread-safe: used from the event loop's thread only.
class endpoint_history
{
public:
    struct hooks
    {
        /// Whether the history is needed: callers may take streams up, and no peer has told what it would show.
        std::function<bool()> isNeeded;
        /// Place in the log up to which the list has been read; offset -1 if it has not been read.
        std::function<log_position()> position;
        /// Throws shunt_error if the record is invalid.
        std::function<endpoint_record(const std::string &key, const std::string &value)> decode;
        std::function<void(const version_history &history)> onHistory;
    };

    /// All references must outlive this object.
    endpoint_history(event_loop &loop, event_log &log, const keyed_log_dialect &dialect, endpoint_history_options options, hooks callbacks);
    endpoint_history(const endpoint_history &) = delete;
    endpoint_history &operator=(const endpoint_history &) = delete;

    /// To be called about every 100 ms.
    void onTick();

private:
    void read();
    void onAnswer(const http_response_head &head, const std::string &body);
    void addRecord(const keyed_record &record);
    void end(const std::string &outcome);
    void fail(const std::string &reason);

    event_loop &m_loop;
    event_log &m_log;
    const keyed_log_dialect &m_dialect;
    endpoint_history_options m_options;
    hooks m_hooks;
    bounded_client m_client;
    version_history m_history{true};
    /// Place up to which the history is read, and offset of the next record.
    log_position m_end;
    std::int64_t m_next = 0;
    time_point m_notBefore;
    int m_failures = 0;
    bool m_hasEnded = false;
};

} // namespace wisteriashunt

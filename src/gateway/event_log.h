/// Structured log lines on standard output. Lines are buffered up to a bound and written in batches without blocking.
#pragma once

#include "evidence/decision.h"
#include "net/event_loop.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace wisteriashunt
{

/// One key and its value in a line.
struct log_field
{
    std::string_view key;
    std::string value;
};

/// Formats a duration as whole milliseconds.
[[nodiscard]] std::string milliseconds(duration value);

/// Destination and limits of the log.
struct event_log_options
{
    int descriptor = 1;
    /// Time between two writes of buffered lines.
    duration period = std::chrono::milliseconds(250);
    /// Size of the buffer above which new lines are dropped and counted, when the reader of the descriptor is slow.
    std::size_t capacityBytes = 256 * 1024;
};

/// Buffers lines and writes them to the descriptor without blocking.
class event_log
{
public:
    event_log(event_loop &loop, const event_log_options &options);
    ~event_log();
    event_log(const event_log &) = delete;
    event_log &operator=(const event_log &) = delete;

    /// Appends the line "TIME event=NUMBER name=NAME key=value ...". TIME is in seconds since the Unix epoch.
    void write(event_number event, std::initializer_list<log_field> fields);

    /// Writes as many buffered bytes as the descriptor accepts.
    void flush();

private:
    event_loop &m_loop;
    event_log_options m_options;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
};

} // namespace wisteriashunt

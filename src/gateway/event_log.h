/// Structured log lines on standard output: bounded, never blocking, written in batches.
#pragma once

#include "evidence/decision.h"
#include "net/event_loop.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace wisteriashunt
{

/// One key and value of a line.
struct log_field
{
    std::string_view key;
    std::string value;
};

/// A duration as a log field: whole milliseconds.
[[nodiscard]] std::string milliseconds(duration value);

/// Bounds of the log.
struct event_log_options
{
    int descriptor = 1;
    /// Lines wait at most this long.
    duration period = std::chrono::milliseconds(250);
    /// Bytes that wait for a reader; lines beyond are dropped and counted.
    std::size_t capacityBytes = 256 * 1024;
};

/// Collects lines and hands them to the descriptor without blocking.
class event_log
{
public:
    event_log(event_loop &loop, const event_log_options &options);
    ~event_log();
    event_log(const event_log &) = delete;
    event_log &operator=(const event_log &) = delete;

    /// Adds the line "TIME event=NUMBER name=NAME key=value ...". TIME is in seconds since the Unix epoch.
    void write(event_number event, std::initializer_list<log_field> fields);

    /// Writes what the descriptor takes.
    void flush();

private:
    event_loop &m_loop;
    event_log_options m_options;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
};

} // namespace wisteriashunt

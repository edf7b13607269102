/// Thread that follows one stream of the platform's log.
#pragma once

#include "wisteriashunt/platform.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace wisteriashunt
{

/// Settings of a stream_follower.
struct stream_follower_options
{
    std::string stream;
    /// Longest time for which the log waits for a new record before it answers.
    duration readWait = std::chrono::milliseconds(400);
    /// Pause after a failed read.
    duration retryInterval = std::chrono::milliseconds(200);
    /// Returns the offset to read from next.
    std::function<log_offset()> nextOffset;
    /// Called with each page; a page may be empty.
    std::function<void(const log_page &)> onPage;
    /// Called on each change: with true once the end of the stream has been read, with false once a read fails.
    std::function<void(bool available)> onAvailability;
};

/// Reads the stream until it is destroyed.
class stream_follower
{
public:
    stream_follower(const stream_follower_options &options, std::unique_ptr<log_service> log);
    ~stream_follower();
    stream_follower(const stream_follower &) = delete;
    stream_follower &operator=(const stream_follower &) = delete;

private:
    void run();

    stream_follower_options m_options;
    std::unique_ptr<log_service> m_log;
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

} // namespace wisteriashunt

/// Single-threaded event loop based on epoll, with timers and with flushes that are deferred to the end of a wake-up.
#pragma once

#include "wisteriashunt/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace wisteriashunt
{

/// Handles the readiness events of one file descriptor.
class io_handler
{
public:
    virtual ~io_handler() = default;

    /// Called with the epoll event mask.
    virtual void onReady(std::uint32_t events) = 0;

    /// Called at the end of a wake-up if requested with event_loop::flushLater().
    virtual void flush()
    {
    }
};

/// Identifies a scheduled timer; 0 means no timer.
using timer_id = std::uint64_t;

/// Runs handlers and timers on the thread that calls run(). A wake-up is one return from epoll_wait with all handlers, timers and flushes
/// that follow it. Not thread-safe.
class event_loop
{
public:
    /// Throws std::system_error if no epoll instance can be created.
    explicit event_loop(const clock_source &clock);
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /// The time at which the current wake-up began.
    [[nodiscard]] time_point now() const;

    /// Registers a descriptor for an epoll event mask. Throws std::system_error on failure, as does updateWatch().
    void watch(int descriptor, std::uint32_t events, io_handler *handler);
    void updateWatch(int descriptor, std::uint32_t events, io_handler *handler);
    void unwatch(int descriptor);

    /// Calls handler->flush() at the end of the current wake-up. The handler must live until then (see retire()).
    void flushLater(io_handler *handler);

    /// Defers the release of the object to the end of the current wake-up, since pending events may still refer to it.
    void retire(std::shared_ptr<void> object);

    /// Runs the action once, in the first wake-up at or after the due time.
    [[nodiscard]] timer_id schedule(time_point due, std::function<void()> action);
    /// Cancels the timer; ignored if it has run or does not exist.
    void cancel(timer_id timer);

    /// Runs until stop() is called.
    void run();
    void stop();

private:
    struct timer
    {
        timer_id id;
        std::function<void()> action;
    };

    [[nodiscard]] int pollTimeoutMilliseconds() const;
    void runTimers();
    void endWakeUp();

    const clock_source &m_clock;
    int m_epoll;
    bool m_isRunning = false;
    time_point m_now;
    timer_id m_nextTimer = 1;
    std::multimap<time_point, timer> m_timers;
    std::map<timer_id, time_point> m_dueTimes;
    std::vector<io_handler *> m_dirty;
    std::vector<std::shared_ptr<void>> m_retired;
};

/// Calls the action now and then repeatedly. Each further call is scheduled `period` after the wake-up of the previous one.
void runPeriodically(event_loop &loop, duration period, std::function<void()> action);

} // namespace wisteriashunt

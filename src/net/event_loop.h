/// One-threaded event loop over epoll: sockets, timers and writes that are gathered until the end of a wake-up.
#pragma once

#include "wisteriashunt/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace wisteriashunt
{

/// Receiver of readiness events of one file descriptor.
class io_handler
{
public:
    virtual ~io_handler() = default;

    /// Called with the epoll event mask.
    virtual void onReady(std::uint32_t events) = 0;

    /// Called at the end of a wake-up in which the target asked for it with event_loop::flushLater().
    virtual void flush()
    {
    }
};

/// Identifies a scheduled timer; 0 names none.
using timer_id = std::uint64_t;

/// Runs handlers on the calling thread until stop(). Not thread-safe.
class event_loop
{
public:
    /// Throws std::system_error if the kernel refuses an epoll instance.
    explicit event_loop(const clock_source &clock);
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /// The time at which the current wake-up began.
    [[nodiscard]] time_point now() const;

    void watch(int descriptor, std::uint32_t events, io_handler *handler);
    void updateWatch(int descriptor, std::uint32_t events, io_handler *handler);
    void unwatch(int descriptor);

    /// Calls target->flush() once when the current wake-up ends. The target must live until then (see retire()).
    void flushLater(io_handler *handler);

    /// Keeps the object alive until the current wake-up has ended, so that pending events can still reach it.
    void retire(std::shared_ptr<void> object);

    [[nodiscard]] timer_id schedule(time_point due, std::function<void()> action);
    void cancel(timer_id timer);

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

/// Calls the action again and again; the next call is scheduled `period` after the last one ended.
void runPeriodically(event_loop &loop, duration period, std::function<void()> action);

} // namespace wisteriashunt

#include "net/event_loop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace wisteriashunt
{

namespace
{

/// Maximum number of events per wake-up. The remaining ones are delivered in the next wake-up.
constexpr int maxEventsPerWakeUp = 256;

/// Maximum time between two wake-ups, so that signal flags are noticed even without timers.
constexpr std::chrono::milliseconds maxSleep{100};

} // namespace

event_loop::event_loop(const clock_source &clock)
    : m_clock(clock)
    , m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_now(clock.now())
{
    if (m_epoll < 0) {
        throw std::system_error(errno, std::generic_category(), "epoll_create1");
    }
}

event_loop::~event_loop()
{
    close(m_epoll);
}

time_point event_loop::now() const
{
    return m_now;
}

void event_loop::watch(int descriptor, std::uint32_t events, io_handler *handler)
{
    epoll_event event{.events = events, .data = {.ptr = handler}};
    if (epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event) != 0) {
        throw std::system_error(errno, std::generic_category(), "epoll_ctl add");
    }
}

void event_loop::updateWatch(int descriptor, std::uint32_t events, io_handler *handler)
{
    epoll_event event{.events = events, .data = {.ptr = handler}};
    if (epoll_ctl(m_epoll, EPOLL_CTL_MOD, descriptor, &event) != 0) {
        throw std::system_error(errno, std::generic_category(), "epoll_ctl mod");
    }
}

void event_loop::unwatch(int descriptor)
{
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr);
}

void event_loop::flushLater(io_handler *handler)
{
    m_dirty.push_back(handler);
}

void event_loop::retire(std::shared_ptr<void> object)
{
    m_retired.push_back(std::move(object));
}

timer_id event_loop::schedule(time_point due, std::function<void()> action)
{
    const timer_id id = m_nextTimer++;
    m_timers.emplace(due, timer{.id = id, .action = std::move(action)});
    m_dueTimes.emplace(id, due);
    return id;
}

void event_loop::cancel(timer_id timer)
{
    const auto due = m_dueTimes.find(timer);
    if (due == m_dueTimes.end()) {
        return;
    }
    const auto [first, last] = m_timers.equal_range(due->second);
    const auto position = std::find_if(first, last, [timer](const auto &entry) { return entry.second.id == timer; });
    m_timers.erase(position);
    m_dueTimes.erase(due);
}

int event_loop::pollTimeoutMilliseconds() const
{
    if (m_timers.empty()) {
        return static_cast<int>(maxSleep.count());
    }
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(m_timers.begin()->first - m_clock.now());
    return static_cast<int>(std::clamp<std::int64_t>(remaining.count(), 0, maxSleep.count()));
}

void event_loop::runTimers()
{
    while (!m_timers.empty() && m_timers.begin()->first <= m_now) {
        const auto action = std::move(m_timers.begin()->second.action);
        m_dueTimes.erase(m_timers.begin()->second.id);
        m_timers.erase(m_timers.begin());
        action();
    }
}

void event_loop::endWakeUp()
{
    // Repeats until nothing is left: a flush may close a connection, whose hook may write to another connection.
    while (!m_dirty.empty()) {
        const auto dirty = std::exchange(m_dirty, {});
        for (io_handler *handler : dirty) {
            handler->flush();
        }
    }
    while (!m_retired.empty()) {
        const auto retired = std::exchange(m_retired, {});
    }
}

void event_loop::run()
{
    std::array<epoll_event, maxEventsPerWakeUp> events{};
    m_isRunning = true;
    while (m_isRunning) {
        const int count = epoll_wait(m_epoll, events.data(), maxEventsPerWakeUp, pollTimeoutMilliseconds());
        m_now = m_clock.now();
        for (int i = 0; i < count; ++i) {
            static_cast<io_handler *>(events[i].data.ptr)->onReady(events[i].events);
        }
        runTimers();
        endWakeUp();
    }
}

void event_loop::stop()
{
    m_isRunning = false;
}

void runPeriodically(event_loop &loop, duration period, std::function<void()> action)
{
    action();
    // Capturing the loop by reference is safe because the loop owns the closure.
    const timer_id next = loop.schedule(loop.now() + period, [&loop, period, action = std::move(action)] { runPeriodically(loop, period, action); });
    static_cast<void>(next);
}

} // namespace wisteriashunt

/// Bounded queue that passes items to another thread.
#pragma once

#include "wisteriashunt/time.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <boost/circular_buffer.hpp>

#include <optional>
#include <vector>

namespace wisteriashunt
{

/// First-in, first-out queue in a ring buffer. Any number of threads may push, one thread pops.
template<typename T>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity)
        : m_items(capacity)
    {
    }

    /// Waits while the ring is full. Returns false if the ring is closed.
    bool push(T item)
    {
        const absl::MutexLock lock(&m_mutex);
        m_mutex.Await(absl::Condition(this, &bounded_ring::hasRoomOrIsClosed));
        if (m_isClosed) {
            return false;
        }
        m_items.push_back(std::move(item));
        return true;
    }

    /// Does not wait. If the ring is full or closed, returns false and leaves `item` unchanged.
    bool tryPush(T &item)
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_isClosed || m_items.full()) {
            return false;
        }
        m_items.push_back(std::move(item));
        return true;
    }

    /// Removes and returns all items. Waits up to `wait` if there are none; returns an empty vector if none arrives.
    std::vector<T> popAll(duration wait)
    {
        const absl::MutexLock lock(&m_mutex);
        m_mutex.AwaitWithTimeout(absl::Condition(this, &bounded_ring::hasItemOrIsClosed), absl::FromChrono(wait));
        std::vector<T> popped;
        popped.reserve(m_items.size());
        for (auto &item : m_items) {
            popped.push_back(std::move(item));
        }
        m_items.clear();
        return popped;
    }

    /// Makes pushes fail and wakes all waiting threads. Items that are already in the ring can still be popped.
    void close()
    {
        const absl::MutexLock lock(&m_mutex);
        m_isClosed = true;
    }

    [[nodiscard]] std::size_t size() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_items.size();
    }

private:
    [[nodiscard]] bool hasRoomOrIsClosed() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        return m_isClosed || !m_items.full();
    }

    [[nodiscard]] bool hasItemOrIsClosed() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        return m_isClosed || !m_items.empty();
    }

    mutable absl::Mutex m_mutex;
    boost::circular_buffer<T> m_items ABSL_GUARDED_BY(m_mutex);
    bool m_isClosed ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace wisteriashunt
